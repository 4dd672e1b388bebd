package io.quincelead.worker;

/**
 * A worker that sends its heartbeats to a controller that doesn't own it.
 *
 * @param host the machine's ID
 * @param address the address at which the worker can be called; empty if unknown
 * @param machineType the name of the machine's type; empty if unknown
 * @param zone the machine's zone; empty if unknown
 * @param spot whether the machine is a spot machine, which the cloud may reclaim
 * @param reportsTo the member ID of the controller that receives the worker's heartbeats
 * @param ownedElsewhere whether another controller owns the machine, although the heartbeats keep
 *     arriving at {@code reportsTo}
 * @param fencingToken the fencing token of the owner's grant; 0 if there is no owner
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
