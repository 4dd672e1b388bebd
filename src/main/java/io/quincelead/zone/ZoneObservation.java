package io.quincelead.zone;

import io.quincelead.config.constants.ZoneConstants;

/**
 * How many of a zone's machines are reachable at one point in time.
 *
 * @param machineCount machines on record in the zone that are up or were up before
 * @param knownCount those of them whose owners have reported recently
 * @param reachableCount those of the known ones whose heartbeats reach their owners
 * @param remainingCount machines that the zone had when it first became doubtful and that are still
 *     on record; while it is up, all of them
 * @param otherZonesReachable whether another zone is reachable, so that the fault isn't on the
 *     observer's side
 */
record ZoneObservation(
        int machineCount,
        int knownCount,
        int reachableCount,
        int remainingCount,
        boolean otherZonesReachable) {

    /** Whether hardly any machine is reachable; false if too little is known to conclude that. */
    boolean isUnreachable() {
        boolean isConclusive =
                otherZonesReachable
                        && knownCount >= ZoneConstants.MIN_EVALUATED_MACHINES
                        && knownCount * 2 >= machineCount;
        return isConclusive && reachableCount < knownCount * ZoneConstants.MIN_REACHABLE_FRACTION;
    }

    /** Whether half of the known machines (rounded down) are reachable, and at least one. */
    boolean isReachable() {
        return reachableCount >= Math.max(1, knownCount / 2);
    }

    /** The evidence as text, as it is stored in zone records. */
    String reachabilitySummary() {
        return reachableCount + " of " + knownCount + " machines are heard";
    }
}
