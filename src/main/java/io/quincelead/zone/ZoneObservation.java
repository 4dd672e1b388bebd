package io.quincelead.zone;

import io.quincelead.config.constants.ZoneConstants;

/**
 * What is seen of a zone's machines at one time.
 *
 * @param machineCount machines on record there that are up, or were
 * @param knownCount those of them whose owners were heard recently
 * @param reachableCount those of the known ones whose heartbeats reach their owners
 * @param remainingCount machines that the zone had when it first became doubtful and that are still
 *     on record; while it is up, all of them
 * @param otherZonesReachable whether other zones are heard, so that the fault isn't the observer's
 */
record ZoneObservation(
        int machineCount,
        int knownCount,
        int reachableCount,
        int remainingCount,
        boolean otherZonesReachable) {

    /** Whether hardly a machine is reachable, as far as enough is known to say so. */
    boolean isUnreachable() {
        boolean isConclusive =
                otherZonesReachable
                        && knownCount >= ZoneConstants.MIN_EVALUATED_MACHINES
                        && knownCount * 2 >= machineCount;
        return isConclusive && reachableCount < knownCount * ZoneConstants.MIN_HEARD_FRACTION;
    }

    /** Whether half of the known machines are reachable, and one at least. */
    boolean isReachable() {
        return reachableCount >= Math.max(1, knownCount / 2);
    }

    /** The evidence in words, as zone records have it. */
    String reachabilitySummary() {
        return reachableCount + " of " + knownCount + " machines are heard";
    }
}
