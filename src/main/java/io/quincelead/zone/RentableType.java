package io.quincelead.zone;

/**
 * A machine type that can be rented in a zone that is not lost.
 *
 * @param capacity of an empty machine
 * @param bootSeconds nominal time until it is up
 * @param pricePerHour of one machine
 */
record RentableType(
        MachineOffering offering, Resources capacity, double bootSeconds, double pricePerHour) {}
