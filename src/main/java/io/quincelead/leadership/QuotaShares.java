package io.quincelead.leadership;

import io.quincelead.config.constants.LeadershipConstants;
import java.util.Arrays;

/**
 * How a team's limit on one resource is split over the live members: arithmetic alone, which the
 * leader calls and a model checker explores. All amounts are CPUs or GPUs; arrays are by member, in
 * one order throughout.
 */
final class QuotaShares {
    /** Smaller differences of CPUs or GPUs are rounding. */
    private static final double EPSILON = 1e-9;

    /** The least change of a share that is recorded where every bit counts, in CPUs or GPUs. */
    private static final double MIN_EXACT_CHANGE = 1e-6;

    private final double limit;
    private final double[] currentShares;
    private final double[] usedByMember;

    /** By member and priority, the highest priority first. */
    private final double[][] wantedByPriority;

    private final int memberCount;
    private final double[] wantedTotals;
    private final double usedTotal;
    private final double committedTotal;

    private QuotaShares(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority) {
        this.limit = limit;
        this.currentShares = currentShares;
        this.usedByMember = usedByMember;
        this.wantedByPriority = wantedByPriority;
        memberCount = currentShares.length;
        wantedTotals = new double[memberCount];
        double used = orphanedUse;
        double committed = orphanedUse;
        for (int i = 0; i < memberCount; i++) {
            wantedTotals[i] = Arrays.stream(wantedByPriority[i]).sum();
            used += usedByMember[i];
            committed += usable(i);
        }
        usedTotal = used;
        committedTotal = committed;
    }

    /**
     * The next shares by member. A member may use the larger of its current share and its use on
     * record. Only what is free under the shares on record is given out: what this takes away can
     * be given out by a later split, once it is on record.
     *
     * @param limit the team's limit
     * @param orphanedUse what tasks of lost controllers use
     * @param currentShares the shares on record
     * @param usedByMember what tasks on record use
     * @param wantedByPriority what waits, by member and priority, the highest priority first
     * @param hasNewMember whether some member has had no share yet
     * @return {@code currentShares} itself where nothing is to change
     */
    static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            boolean hasNewMember) {
        QuotaShares shares =
                new QuotaShares(limit, orphanedUse, currentShares, usedByMember, wantedByPriority);
        return hasNewMember || shares.hasUnmetDemand() ? shares.nextShares() : currentShares;
    }

    /** What a member may use now. */
    private double usable(int member) {
        return Math.max(currentShares[member], usedByMember[member]);
    }

    private boolean lacksShare(int member) {
        return currentShares[member] - usedByMember[member] < wantedTotals[member] - EPSILON;
    }

    private boolean hasUnmetDemand() {
        for (int i = 0; i < memberCount; i++) {
            if (wantedTotals[i] > 0 && lacksShare(i)) {
                return true;
            }
        }
        return false;
    }

    private double[] nextShares() {
        double[][] targetStages = cumulativeTargets();
        double[] finalTarget = targetStages[targetStages.length - 1];
        double[] nextShares = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            // Terminations of tasks may be recorded late and the use on record pass the limit for a
            // while; nobody's share rises by that.
            double most = committedTotal > limit + 1e-6 ? currentShares[i] : usable(i);
            nextShares[i] = Math.min(finalTarget[i], most);
        }
        boolean nearlyMet = grantFreeQuota(nextShares, targetStages);
        for (int i = 0; i < memberCount; i++) {
            boolean mustBeExact =
                    reachesStage(i, nextShares[i], targetStages)
                            || nearlyMet && nextShares[i] < currentShares[i];
            double change = Math.abs(nextShares[i] - currentShares[i]);
            if (currentShares[i] > 0 && change < minimumChange(i, mustBeExact)) {
                nextShares[i] = currentShares[i];
            }
        }
        return nextShares;
    }

    /** Whether the next share is what a member that lacks some needs for one of the stages. */
    private boolean reachesStage(int member, double nextShare, double[][] targetStages) {
        for (double[] stage : targetStages) {
            if (currentShares[member] < stage[member] - EPSILON
                    && lacksShare(member)
                    && nextShare >= stage[member] - EPSILON) {
                return true;
            }
        }
        return false;
    }

    /**
     * The least change worth a record, for each one rewrites shards and fails the scheduling cycles
     * in flight. But what somebody is short of is taken back to the last bit, and whoever is short
     * gets the last bit of its target: a gang that lacks a tenth of a CPU waits as much as one that
     * lacks all.
     */
    private double minimumChange(int member, boolean mustBeExact) {
        if (mustBeExact) {
            return MIN_EXACT_CHANGE;
        }
        double tolerance = LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit;
        boolean hasSpare =
                wantedTotals[member] <= 0
                        || currentShares[member] - usedByMember[member] > tolerance;
        return Math.max(LeadershipConstants.MIN_QUOTA_SHARE_CHANGE_UNITS, hasSpare ? tolerance : 0);
    }

    /**
     * Gives out what is free, demand of higher priority first.
     *
     * @return whether little was lacking, so that the last bits which others hold would serve
     *     somebody; where much is lacking, small changes would only rewrite shards all the time
     */
    private boolean grantFreeQuota(double[] nextShares, double[][] targetStages) {
        double nearMargin =
                memberCount * LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit;
        boolean nearlyMet = false;
        double remaining = Math.max(0, limit - committedTotal);
        for (double[] stage : targetStages) {
            double[] growthByMember = new double[memberCount];
            for (int i = 0; i < memberCount; i++) {
                growthByMember[i] = Math.max(0, stage[i] - Math.max(nextShares[i], usable(i)));
            }
            double totalGrowth = Arrays.stream(growthByMember).sum();
            double fraction = totalGrowth <= remaining ? 1 : remaining / totalGrowth;
            nearlyMet |= totalGrowth > remaining + EPSILON && totalGrowth <= remaining + nearMargin;
            for (int i = 0; i < memberCount; i++) {
                // From what it may use already up to this stage's part of its target.
                nextShares[i] =
                        growthByMember[i] <= 0 || fraction <= 0
                                ? nextShares[i]
                                : Math.max(nextShares[i], usable(i)) + growthByMember[i] * fraction;
            }
            remaining -= totalGrowth * fraction;
        }
        return nearlyMet;
    }

    /**
     * What each member would get if everything could move at once, one stage a priority, each on
     * top of the one before: demand of higher priority first, for shared evenly, a large job of low
     * priority would keep an urgent gang from ever fitting. In the last stage, what nobody wants is
     * shared evenly.
     */
    private double[][] cumulativeTargets() {
        int priorities = wantedByPriority[0].length;
        double remaining = Math.max(0, limit - usedTotal);
        double[][] targetStages = new double[priorities + 1][];
        double[] target = usedByMember.clone();
        for (int priority = 0; priority < priorities; priority++) {
            double wantedTotal = 0;
            for (double[] memberWants : wantedByPriority) {
                wantedTotal += memberWants[priority];
            }
            double granted = Math.min(remaining, wantedTotal);
            for (int i = 0; i < memberCount && wantedTotal > 0; i++) {
                target[i] += granted * wantedByPriority[i][priority] / wantedTotal;
            }
            remaining -= granted;
            targetStages[priority] = target.clone();
        }
        for (int i = 0; i < memberCount; i++) {
            target[i] += remaining / memberCount;
        }
        targetStages[priorities] = target;
        return targetStages;
    }
}
