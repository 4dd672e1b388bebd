package io.quincelead.zone;

import io.quincelead.cluster.ZoneTable.OperatorOrder;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import io.quincelead.config.constants.ZoneConstants;

/**
 * What a zone's state is next, from what is seen of its machines: a function of record, sight and
 * time alone, the same whoever leads.
 */
final class ZoneHealthEvaluator {
    /**
     * What is seen of a zone: machines on record there that are up or were; those whose owners were
     * heard of late ({@code known}); of these the ones that are heard; and of the {@code had}
     * machines at the first doubt those that are still on record. {@code fair}: whether other zones
     * are heard, so that the fault isn't the onlooker's.
     */
    record ZoneObservation(
            int machineCount,
            int knownCount,
            int reachableCount,
            int remainingCount,
            boolean otherZonesReachable) {}

    private final double silenceThresholdMillis;
    private final double baseSettleMillis;

    /**
     * {@code silentMs}: longer silence is a dead, hung or cut machine's; {@code settleMs}: how long
     * a zone that is back must hold.
     */
    ZoneHealthEvaluator(double silenceThresholdMillis, double baseSettleMillis) {
        this.silenceThresholdMillis = silenceThresholdMillis;
        this.baseSettleMillis = baseSettleMillis;
    }

    /**
     * The next record; the same one if nothing changes, null when the zone is up and needs none.
     */
    Zone evaluate(Zone zone, ZoneObservation observation, long nowMillis) {
        boolean isConclusive =
                observation.otherZonesReachable
                        && observation.knownCount >= ZoneConstants.MIN_EVALUATED_MACHINES
                        && observation.knownCount * 2 >= observation.machineCount;
        boolean isUnreachable =
                isConclusive
                        && observation.reachableCount
                                < observation.knownCount * ZoneConstants.MIN_HEARD_FRACTION;
        boolean isReachable = observation.reachableCount >= Math.max(1, observation.knownCount / 2);
        return switch (zone.state()) {
            case UP ->
                    isUnreachable
                            ? new Zone(
                                    zone.name(),
                                    State.DOUBTFUL,
                                    nowMillis,
                                    observation.machineCount,
                                    zone.recentLossCount(),
                                    observation.reachableCount
                                            + " of "
                                            + observation.knownCount
                                            + " machines are heard",
                                    zone.operatorOrder())
                            : zone;
            case DOUBTFUL ->
                    isGone(zone, observation)
                            ? markLost(zone, observation, nowMillis)
                            : isReachable
                                    ? recover(zone, nowMillis)
                                    : nowMillis - zone.sinceEpochMillis() > silenceThresholdMillis
                                                    && isUnreachable
                                            ? zone.withState(
                                                    State.CUT,
                                                    nowMillis,
                                                    observation.reachableCount
                                                            + " of "
                                                            + observation.knownCount
                                                            + " machines are heard for "
                                                            + Math.round(
                                                                    (nowMillis
                                                                                    - zone
                                                                                            .sinceEpochMillis())
                                                                            / 1000.0)
                                                            + " s")
                                            : zone;
            // Cut never becomes lost by time: only by the cloud's word, or its answer to a release
            // that somebody decided.
            case CUT ->
                    isGone(zone, observation)
                            ? markLost(zone, observation, nowMillis)
                            : isReachable ? recover(zone, nowMillis) : zone;
            // With nobody left there to be heard, new machines are tried when it has been lost for
            // as long as it must hold.
            case LOST ->
                    observation.reachableCount >= ZoneConstants.MIN_EVALUATED_MACHINES
                                    || observation.reachableCount > 0
                                            && nowMillis - zone.sinceEpochMillis()
                                                    > silenceThresholdMillis
                            ? zone.withOperatorOrder(OperatorOrder.NONE)
                                    .withState(
                                            State.RETURNING,
                                            nowMillis,
                                            observation.reachableCount
                                                    + " machines are heard again")
                            : observation.machineCount == 0
                                            && nowMillis - zone.sinceEpochMillis()
                                                    > requiredSettleMillis(zone)
                                    ? zone.withOperatorOrder(OperatorOrder.NONE)
                                            .withState(
                                                    State.RETURNING,
                                                    nowMillis,
                                                    "machines may be rented there again")
                                    : zone;
            case RETURNING ->
                    isUnreachable
                            ? doubtAgain(zone, observation, nowMillis)
                            : observation.reachableCount > 0
                                            && nowMillis - zone.sinceEpochMillis()
                                                    > requiredSettleMillis(zone)
                                    ? zone.withState(
                                            State.SETTLED,
                                            nowMillis,
                                            "held for "
                                                    + Math.round(requiredSettleMillis(zone) / 1000)
                                                    + " s")
                                    : zone;
            case SETTLED ->
                    isUnreachable
                            ? doubtAgain(zone, observation, nowMillis)
                            : nowMillis - zone.sinceEpochMillis()
                                            > ZoneConstants.FORGET_LOSS_AFTER_MILLIS
                                    ? null
                                    : zone;
        };
    }

    /** The time for which it must hold doubles with each loss of late. */
    double requiredSettleMillis(Zone zone) {
        return Math.min(
                ZoneConstants.MAX_SETTLE_MILLIS,
                baseSettleMillis * Math.pow(2, Math.max(0, zone.recentLossCount() - 1)));
    }

    private static boolean isGone(Zone zone, ZoneObservation observation) {
        return zone.machineCountWhenDoubted() >= ZoneConstants.MIN_EVALUATED_MACHINES
                && observation.remainingCount
                        <= zone.machineCountWhenDoubted()
                                * (1 - ZoneConstants.LOST_MACHINES_FRACTION);
    }

    private static Zone markLost(Zone zone, ZoneObservation observation, long nowMillis) {
        return new Zone(
                zone.name(),
                State.LOST,
                nowMillis,
                zone.machineCountWhenDoubted(),
                zone.recentLossCount() + 1,
                zone.machineCountWhenDoubted()
                        - observation.remainingCount
                        + " of "
                        + zone.machineCountWhenDoubted()
                        + " machines are gone by the cloud's word",
                // What was given up is given up whole; otherwise the order has had its day.
                zone.operatorOrder() == OperatorOrder.RELEASE
                        ? OperatorOrder.RELEASE
                        : OperatorOrder.NONE);
    }

    /** It was only silent: what ran there has run on, and nothing needs to be restored. */
    private static Zone recover(Zone zone, long nowMillis) {
        return zone.recentLossCount() == 0
                ? null
                : zone.withOperatorOrder(OperatorOrder.NONE)
                        .withState(State.SETTLED, nowMillis, "heard again, nothing was lost");
    }

    private static Zone doubtAgain(Zone zone, ZoneObservation observation, long nowMillis) {
        return new Zone(
                zone.name(),
                State.DOUBTFUL,
                nowMillis,
                observation.machineCount,
                zone.recentLossCount(),
                observation.reachableCount
                        + " of "
                        + observation.knownCount
                        + " machines are heard, again",
                zone.operatorOrder());
    }
}
