package io.quincelead.zone;

import io.quincelead.cluster.ZoneTable.OperatorOrder;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import io.quincelead.config.constants.ZoneConstants;

/**
 * Decides a zone's next state from its record, an observation and the time alone, so that every
 * leader decides alike. A zone becomes lost by evidence only, never because of elapsed time.
 */
final class ZoneHealthEvaluator {
    private final double silenceThresholdMillis;
    private final double baseSettleMillis;

    /**
     * @param silenceThresholdMillis a machine that is silent for longer is dead, hung or cut off
     * @param baseSettleMillis how long a zone that was lost once must stay up after its return
     *     before work is moved to it
     */
    ZoneHealthEvaluator(double silenceThresholdMillis, double baseSettleMillis) {
        this.silenceThresholdMillis = silenceThresholdMillis;
        this.baseSettleMillis = baseSettleMillis;
    }

    /**
     * The zone's next record; the same one if nothing changes, null if the zone is up and needs no
     * record.
     *
     * @param nowEpochMillis the wall-clock time, in milliseconds since 1970
     */
    Zone evaluate(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        return switch (zone.state()) {
            case UP ->
                    observation.isUnreachable()
                            ? markDoubtful(zone, observation, nowEpochMillis, "")
                            : zone;
            case DOUBTFUL -> evaluateDoubtful(zone, observation, nowEpochMillis);
            case CUT -> evaluateCutOff(zone, observation, nowEpochMillis);
            case LOST -> evaluateLost(zone, observation, nowEpochMillis);
            case RETURNING -> evaluateReturning(zone, observation, nowEpochMillis);
            case SETTLED -> evaluateSettled(zone, observation, nowEpochMillis);
        };
    }

    private Zone evaluateDoubtful(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        if (isMostlyGone(zone, observation)) {
            return markLost(zone, observation, nowEpochMillis);
        }
        if (observation.isReachable()) {
            return markReachable(zone, nowEpochMillis);
        }
        long silentMillis = nowEpochMillis - zone.sinceEpochMillis();
        return silentMillis > silenceThresholdMillis && observation.isUnreachable()
                ? zone.withState(
                        State.CUT,
                        nowEpochMillis,
                        observation.reachabilitySummary()
                                + " for "
                                + Math.round(silentMillis / 1000.0)
                                + " s")
                : zone;
    }

    /**
     * A zone that is cut off never becomes lost because of elapsed time, only by the cloud's list
     * of machines or by the cloud's response to a release that was decided explicitly.
     */
    private Zone evaluateCutOff(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        if (isMostlyGone(zone, observation)) {
            return markLost(zone, observation, nowEpochMillis);
        }
        return observation.isReachable() ? markReachable(zone, nowEpochMillis) : zone;
    }

    /**
     * A lost zone returns when its machines are reachable again. If no machine is left there that
     * could be reachable, it returns once it has been lost for as long as it must then stay up to
     * settle, so that new machines are tried.
     */
    private Zone evaluateLost(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        long lostMillis = nowEpochMillis - zone.sinceEpochMillis();
        if (observation.reachableCount() >= ZoneConstants.MIN_EVALUATED_MACHINES
                || observation.reachableCount() > 0 && lostMillis > silenceThresholdMillis) {
            return zone.withOperatorOrder(OperatorOrder.NONE)
                    .withState(
                            State.RETURNING,
                            nowEpochMillis,
                            observation.reachableCount() + " machines are heard again");
        }
        if (observation.machineCount() == 0 && lostMillis > requiredSettleMillis(zone)) {
            return zone.withOperatorOrder(OperatorOrder.NONE)
                    .withState(
                            State.RETURNING, nowEpochMillis, "machines may be rented there again");
        }
        return zone;
    }

    private Zone evaluateReturning(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        if (observation.isUnreachable()) {
            return markDoubtful(zone, observation, nowEpochMillis, ", again");
        }
        double settleMillis = requiredSettleMillis(zone);
        return observation.reachableCount() > 0
                        && nowEpochMillis - zone.sinceEpochMillis() > settleMillis
                ? zone.withState(
                        State.SETTLED,
                        nowEpochMillis,
                        "held for " + Math.round(settleMillis / 1000) + " s")
                : zone;
    }

    private Zone evaluateSettled(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        if (observation.isUnreachable()) {
            return markDoubtful(zone, observation, nowEpochMillis, ", again");
        }
        return nowEpochMillis - zone.sinceEpochMillis() > ZoneConstants.FORGET_LOSS_AFTER_MILLIS
                ? null
                : zone;
    }

    /**
     * The time for which a returning zone must stay up to settle; it doubles with each recent loss.
     */
    double requiredSettleMillis(Zone zone) {
        return Math.min(
                ZoneConstants.MAX_SETTLE_MILLIS,
                baseSettleMillis * Math.pow(2, Math.max(0, zone.recentLossCount() - 1)));
    }

    private static boolean isMostlyGone(Zone zone, ZoneObservation observation) {
        return zone.machineCountWhenDoubted() >= ZoneConstants.MIN_EVALUATED_MACHINES
                && observation.remainingCount()
                        <= zone.machineCountWhenDoubted()
                                * (1 - ZoneConstants.LOST_MACHINES_FRACTION);
    }

    private static Zone markLost(Zone zone, ZoneObservation observation, long nowEpochMillis) {
        return new Zone(
                zone.name(),
                State.LOST,
                nowEpochMillis,
                zone.machineCountWhenDoubted(),
                zone.recentLossCount() + 1,
                zone.machineCountWhenDoubted()
                        - observation.remainingCount()
                        + " of "
                        + zone.machineCountWhenDoubted()
                        + " machines are gone by the cloud's word",
                // An order to release still applies to the zone's remaining machines; an order to
                // hold has no effect any more.
                zone.operatorOrder() == OperatorOrder.RELEASE
                        ? OperatorOrder.RELEASE
                        : OperatorOrder.NONE);
    }

    /**
     * The next record of a zone that was only silent: its tasks kept running, and nothing needs to
     * be restored.
     */
    private static Zone markReachable(Zone zone, long nowEpochMillis) {
        return zone.recentLossCount() == 0
                ? null
                : zone.withOperatorOrder(OperatorOrder.NONE)
                        .withState(State.SETTLED, nowEpochMillis, "heard again, nothing was lost");
    }

    private static Zone markDoubtful(
            Zone zone, ZoneObservation observation, long nowEpochMillis, String reasonSuffix) {
        return new Zone(
                zone.name(),
                State.DOUBTFUL,
                nowEpochMillis,
                observation.machineCount(),
                zone.recentLossCount(),
                observation.reachabilitySummary() + reasonSuffix,
                zone.operatorOrder());
    }
}
