package io.quincelead.worker;

/**
 * A worker that reports to {@code at} and isn't of its block; {@code stuck}: it has an owner, under
 * that {@code term}, and keeps coming all the same.
 */
public record MisroutedWorker(
        String host,
        String address,
        String machineType,
        String zone,
        boolean spot,
        String reportsTo,
        boolean ownedElsewhere,
        long fencingToken) {}
