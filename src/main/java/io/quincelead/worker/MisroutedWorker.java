package io.quincelead.worker;

/**
 * A worker that sends its heartbeats to a controller that doesn't own it.
 *
 * @param host the machine's name
 * @param address where the worker can be called; empty if unknown
 * @param machineType the label of its machine type; empty if unknown
 * @param zone its zone; empty if unknown
 * @param spot whether the cloud may take the machine back
 * @param reportsTo the member ID of the controller that gets its heartbeats
 * @param ownedElsewhere whether another controller owns it, and it keeps coming all the same
 * @param fencingToken the token of that owner's grant; 0 without an owner
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
