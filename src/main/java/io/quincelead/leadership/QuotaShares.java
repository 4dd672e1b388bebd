package io.quincelead.leadership;

import io.quincelead.config.constants.LeadershipConstants;
import java.util.Arrays;

/**
 * How a team's limit is split over controllers: arithmetic alone, which the leader calls and a
 * model explores.
 */
public final class QuotaShares {
    private QuotaShares() {}

    /**
     * The next allowances by controller. Each may use the larger of its allowance {@code now} and
     * its {@code use} on record; {@code dead} is what tasks of lost controllers use, {@code want}
     * what waits by controller and urgency, and {@code fresh} says that some controller has had
     * none yet. Only what is free under the allowances on record is given out: what this takes away
     * can be given by a later split, when it is on record.
     */
    public static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            boolean hasNewMember) {
        int memberCount = currentShares.length;
        double[] wantedTotals = new double[memberCount];
        double usedTotal = orphanedUse;
        double committedTotal = orphanedUse;
        boolean hasUnmetDemand = false;
        for (int i = 0; i < memberCount; i++) {
            wantedTotals[i] = Arrays.stream(wantedByPriority[i]).sum();
            usedTotal += usedByMember[i];
            committedTotal += Math.max(currentShares[i], usedByMember[i]);
            hasUnmetDemand |=
                    wantedTotals[i] > 0
                            && currentShares[i] - usedByMember[i] < wantedTotals[i] - 1e-9;
        }
        if (!hasUnmetDemand && !hasNewMember) {
            return currentShares;
        }
        double[][] targetStages =
                cumulativeTargets(Math.max(0, limit - usedTotal), usedByMember, wantedByPriority);
        double[] finalTarget = targetStages[targetStages.length - 1];
        double freeQuota = Math.max(0, limit - committedTotal);
        double[] nextShares = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            // Records may show ends late and so, for a while, more use than there is; nobody's
            // allowance rises by that.
            double usable =
                    committedTotal > limit + 1e-6
                            ? currentShares[i]
                            : Math.max(currentShares[i], usedByMember[i]);
            nextShares[i] = Math.min(finalTarget[i], usable);
        }
        boolean nearlyMet =
                grantFreeQuota(
                        nextShares,
                        targetStages,
                        currentShares,
                        usedByMember,
                        freeQuota,
                        memberCount * LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit);
        for (int i = 0; i < memberCount; i++) {
            boolean hasSpare =
                    wantedTotals[i] <= 0
                            || currentShares[i] - usedByMember[i]
                                    > LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit;
            boolean reachesTarget = false;
            for (double[] stage : targetStages) {
                reachesTarget |=
                        currentShares[i] < stage[i] - 1e-9
                                && currentShares[i] - usedByMember[i] < wantedTotals[i] - 1e-9
                                && nextShares[i] >= stage[i] - 1e-9;
            }
            if (currentShares[i] > 0
                    && Math.abs(nextShares[i] - currentShares[i])
                            < minimumChange(
                                    limit,
                                    hasSpare,
                                    reachesTarget
                                            || nearlyMet && nextShares[i] < currentShares[i])) {
                nextShares[i] = currentShares[i];
            }
        }
        return nextShares;
    }

    /**
     * The least change worth a record, for each one rewrites blocks and fails the rounds in flight.
     * But what somebody is short of is taken back to the last bit, and whoever is short gets the
     * last bit of its target: a gang that lacks a tenth of a CPU waits as much as one that lacks
     * all.
     */
    private static double minimumChange(double limit, boolean hasSpare, boolean mustBeExact) {
        if (mustBeExact) {
            return 1e-6;
        }
        return Math.max(
                LeadershipConstants.MIN_QUOTA_SHARE_CHANGE_UNITS,
                hasSpare ? LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit : 0);
    }

    /**
     * Gives out what is free, the more urgent wants first; returns whether little was lacking, so
     * that the last bits which others hold would serve somebody. Where much is lacking, small
     * changes would only rewrite blocks all the time.
     */
    private static boolean grantFreeQuota(
            double[] nextShares,
            double[][] targetStages,
            double[] currentShares,
            double[] usedByMember,
            double freeQuota,
            double nearMargin) {
        boolean nearlyMet = false;
        double remaining = freeQuota;
        for (double[] stage : targetStages) {
            double[] growthByMember = new double[nextShares.length];
            for (int i = 0; i < nextShares.length; i++) {
                growthByMember[i] =
                        Math.max(
                                0,
                                stage[i]
                                        - Math.max(
                                                nextShares[i],
                                                Math.max(currentShares[i], usedByMember[i])));
            }
            double totalGrowth = Arrays.stream(growthByMember).sum();
            double fraction = totalGrowth <= remaining ? 1 : remaining / totalGrowth;
            nearlyMet |= totalGrowth > remaining + 1e-9 && totalGrowth <= remaining + nearMargin;
            for (int i = 0; i < nextShares.length; i++) {
                // From what it holds, which it may use already, up to this stage's part of its
                // target.
                nextShares[i] =
                        growthByMember[i] <= 0 || fraction <= 0
                                ? nextShares[i]
                                : Math.max(
                                                nextShares[i],
                                                Math.max(currentShares[i], usedByMember[i]))
                                        + growthByMember[i] * fraction;
            }
            remaining -= totalGrowth * fraction;
        }
        return nearlyMet;
    }

    /**
     * What each would get if everything could move at once, by urgency and summed up over it: the
     * more urgent wants first, for shared evenly, a large low job would keep an urgent gang from
     * ever fitting. Last, what nobody wants is shared evenly.
     */
    private static double[][] cumulativeTargets(
            double remaining, double[] usedByMember, double[][] wantedByPriority) {
        double[][] targetStages = new double[wantedByPriority[0].length + 1][];
        double[] target = usedByMember.clone();
        for (int priority = 0; priority < wantedByPriority[0].length; priority++) {
            double wantedTotal = 0;
            for (double[] memberWants : wantedByPriority) {
                wantedTotal += memberWants[priority];
            }
            double granted = Math.min(remaining, wantedTotal);
            for (int i = 0; i < wantedByPriority.length && wantedTotal > 0; i++) {
                target[i] += granted * wantedByPriority[i][priority] / wantedTotal;
            }
            remaining -= granted;
            targetStages[priority] = target.clone();
        }
        for (int i = 0; i < target.length; i++) {
            target[i] += remaining / target.length;
        }
        targetStages[wantedByPriority[0].length] = target;
        return targetStages;
    }
}
