package io.quincelead.zone;

/**
 * An offering from which machines can be provisioned in a zone that is not lost.
 *
 * @param capacity of an empty machine
 * @param bootSeconds nominal boot time of a machine
 * @param pricePerHour of one machine
 */
record RentableType(
        MachineOffering offering, Resources capacity, double bootSeconds, double pricePerHour) {}
