package io.quincelead.zone;

import io.quincelead.cluster.ZoneTable.OperatorOrder;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import io.quincelead.config.constants.ZoneConstants;

/**
 * Decides a zone's next state: a function of its record, an observation and the time alone, the
 * same whoever leads. A zone is lost by evidence only, never by time.
 */
final class ZoneHealthEvaluator {
    private final double silenceThresholdMillis;
    private final double baseSettleMillis;

    /**
     * @param silenceThresholdMillis longer silence is that of a machine that is dead, hung or cut
     *     off
     * @param baseSettleMillis how long a zone that came back must stay up until work is moved to it
     */
    ZoneHealthEvaluator(double silenceThresholdMillis, double baseSettleMillis) {
        this.silenceThresholdMillis = silenceThresholdMillis;
        this.baseSettleMillis = baseSettleMillis;
    }

    /**
     * The zone's next record; the same one if nothing changes, null when the zone is up and needs
     * none.
     *
     * @param nowMillis the time on the wall clock, in milliseconds since 1970
     */
    Zone evaluate(Zone zone, ZoneObservation observation, long nowMillis) {
        return switch (zone.state()) {
            case UP -> observation.isUnreachable() ? doubt(zone, observation, nowMillis, "") : zone;
            case DOUBTFUL -> afterDoubt(zone, observation, nowMillis);
            case CUT -> afterCut(zone, observation, nowMillis);
            case LOST -> afterLoss(zone, observation, nowMillis);
            case RETURNING -> afterReturn(zone, observation, nowMillis);
            case SETTLED -> afterSettling(zone, observation, nowMillis);
        };
    }

    private Zone afterDoubt(Zone zone, ZoneObservation observation, long nowMillis) {
        if (isMostlyGone(zone, observation)) {
            return markLost(zone, observation, nowMillis);
        }
        if (observation.isReachable()) {
            return recover(zone, nowMillis);
        }
        long silentMillis = nowMillis - zone.sinceEpochMillis();
        return silentMillis > silenceThresholdMillis && observation.isUnreachable()
                ? zone.withState(
                        State.CUT,
                        nowMillis,
                        observation.reachabilitySummary()
                                + " for "
                                + Math.round(silentMillis / 1000.0)
                                + " s")
                : zone;
    }

    /**
     * A zone that is cut off is never lost by time: only by the cloud's list, or its response to a
     * release that somebody decided.
     */
    private Zone afterCut(Zone zone, ZoneObservation observation, long nowMillis) {
        if (isMostlyGone(zone, observation)) {
            return markLost(zone, observation, nowMillis);
        }
        return observation.isReachable() ? recover(zone, nowMillis) : zone;
    }

    /**
     * With no machine left there that could be reachable, new machines are tried when it has been
     * lost for as long as it must then stay up.
     */
    private Zone afterLoss(Zone zone, ZoneObservation observation, long nowMillis) {
        long lostMillis = nowMillis - zone.sinceEpochMillis();
        if (observation.reachableCount() >= ZoneConstants.MIN_EVALUATED_MACHINES
                || observation.reachableCount() > 0 && lostMillis > silenceThresholdMillis) {
            return zone.withOperatorOrder(OperatorOrder.NONE)
                    .withState(
                            State.RETURNING,
                            nowMillis,
                            observation.reachableCount() + " machines are heard again");
        }
        if (observation.machineCount() == 0 && lostMillis > requiredSettleMillis(zone)) {
            return zone.withOperatorOrder(OperatorOrder.NONE)
                    .withState(State.RETURNING, nowMillis, "machines may be rented there again");
        }
        return zone;
    }

    private Zone afterReturn(Zone zone, ZoneObservation observation, long nowMillis) {
        if (observation.isUnreachable()) {
            return doubt(zone, observation, nowMillis, ", again");
        }
        double settleMillis = requiredSettleMillis(zone);
        return observation.reachableCount() > 0
                        && nowMillis - zone.sinceEpochMillis() > settleMillis
                ? zone.withState(
                        State.SETTLED,
                        nowMillis,
                        "held for " + Math.round(settleMillis / 1000) + " s")
                : zone;
    }

    private Zone afterSettling(Zone zone, ZoneObservation observation, long nowMillis) {
        if (observation.isUnreachable()) {
            return doubt(zone, observation, nowMillis, ", again");
        }
        return nowMillis - zone.sinceEpochMillis() > ZoneConstants.FORGET_LOSS_AFTER_MILLIS
                ? null
                : zone;
    }

    /** The time for which a zone that came back must stay up doubles with each recent loss. */
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

    private static Zone markLost(Zone zone, ZoneObservation observation, long nowMillis) {
        return new Zone(
                zone.name(),
                State.LOST,
                nowMillis,
                zone.machineCountWhenDoubted(),
                zone.recentLossCount() + 1,
                zone.machineCountWhenDoubted()
                        - observation.remainingCount()
                        + " of "
                        + zone.machineCountWhenDoubted()
                        + " machines are gone by the cloud's word",
                // An order to release applies to the rest of the zone's machines too; an order to
                // hold has no use any more.
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

    private static Zone doubt(
            Zone zone, ZoneObservation observation, long nowMillis, String reasonSuffix) {
        return new Zone(
                zone.name(),
                State.DOUBTFUL,
                nowMillis,
                observation.machineCount(),
                zone.recentLossCount(),
                observation.reachabilitySummary() + reasonSuffix,
                zone.operatorOrder());
    }
}
