package io.quincelead.leadership;

import io.quincelead.config.constants.LeadershipConstants;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

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

    /**
     * What one gang needs at one time, before all other demand of its priority.
     *
     * @param member whose gang it is
     * @param amount CPUs or GPUs of the whole gang; it is in no member's other demand
     * @param priority before whose other demand it comes
     */
    record Reservation(int member, double amount, int priority) {
        /** Nothing is reserved. */
        static final Reservation NONE = new Reservation(0, 0, 0);
    }

    private final double limit;
    private final double[] currentShares;
    private final double[] usedByMember;

    /** By member and priority, the highest priority first. */
    private final double[][] wantedByPriority;

    private final Reservation reservation;
    private final int memberCount;
    private final double[] wantedTotals;
    private final double usedTotal;
    private final double committedTotal;

    private QuotaShares(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            Reservation reservation) {
        this.limit = limit;
        this.currentShares = currentShares;
        this.usedByMember = usedByMember;
        this.wantedByPriority = wantedByPriority;
        this.reservation = reservation;
        memberCount = currentShares.length;
        wantedTotals = new double[memberCount];
        double used = orphanedUse;
        double committed = orphanedUse;
        for (int i = 0; i < memberCount; i++) {
            wantedTotals[i] = Arrays.stream(wantedByPriority[i]).sum();
            used += usedByMember[i];
            committed += usable(i);
        }
        wantedTotals[reservation.member] += reservation.amount;
        usedTotal = used;
        committedTotal = committed;
    }

    /** The next shares by member where nothing is reserved. */
    static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            boolean hasNewMember) {
        return split(
                limit,
                orphanedUse,
                currentShares,
                usedByMember,
                wantedByPriority,
                Reservation.NONE,
                hasNewMember);
    }

    /**
     * The next shares by member. A member may use the larger of its current share and its use on
     * record. Only what is free under the shares on record is given out: what this takes away can
     * be given out by a later split, once it is on record. While a reserved gang lacks quota, the
     * other members' shares fall below their use by as much: what ends there isn't replaced, and
     * the splits that follow give it to the gang's member.
     *
     * @param limit the team's limit
     * @param orphanedUse what tasks of lost controllers use
     * @param currentShares the shares on record
     * @param usedByMember what tasks on record use
     * @param wantedByPriority what waits, by member and priority, the highest priority first
     * @param reservation what the one gang needs that comes first
     * @param hasNewMember whether some member has had no share yet
     * @return {@code currentShares} itself where nothing is to change
     */
    static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            Reservation reservation,
            boolean hasNewMember) {
        QuotaShares shares =
                new QuotaShares(
                        limit,
                        orphanedUse,
                        currentShares,
                        usedByMember,
                        wantedByPriority,
                        reservation);
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
        double[] nextShares = reducedToTarget(targetStages[targetStages.length - 1]);
        boolean nearlyMet = grantFreeQuota(nextShares, targetStages);
        boolean reservationLacking = withdrawForReservation(nextShares);
        for (int i = 0; i < memberCount; i++) {
            boolean mustBeExact =
                    reachesStage(i, nextShares[i], targetStages)
                            || (nearlyMet || reservationLacking)
                                    && nextShares[i] < currentShares[i];
            double change = Math.abs(nextShares[i] - currentShares[i]);
            if (currentShares[i] > 0 && change < minimumChange(i, mustBeExact)) {
                nextShares[i] = currentShares[i];
            }
        }
        return nextShares;
    }

    /** What each member may use now, but for what it should not keep. */
    private double[] reducedToTarget(double[] finalTarget) {
        double[] shares = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            // Terminations of tasks may be recorded late and the use on record pass the limit for a
            // while; nobody's share rises by that.
            double most = committedTotal > limit + 1e-6 ? currentShares[i] : usable(i);
            shares[i] = Math.min(finalTarget[i], most);
        }
        return shares;
    }

    /**
     * Lowers the other members' shares below their use by what the reserved gang still lacks, but
     * for those that have just been granted something for more urgent work. Each by all of it, for
     * which of them has tasks that end soon isn't known; what they give up too much returns with
     * the next split.
     *
     * @return whether the gang lacks something
     */
    private boolean withdrawForReservation(double[] nextShares) {
        int member = reservation.member;
        double lacking =
                usedByMember[member]
                        + wantedBeforeReservation(member)
                        + reservation.amount
                        - nextShares[member];
        if (reservation.amount <= 0 || lacking <= EPSILON) {
            return false;
        }
        for (int i = 0; i < memberCount; i++) {
            if (i != member && nextShares[i] <= usable(i) + EPSILON) {
                double kept = usedByMember[i] + wantedBeforeReservation(i) - lacking;
                nextShares[i] = Math.min(nextShares[i], Math.max(0, kept));
            }
        }
        return true;
    }

    /** What a member wants for work of higher priority than the reserved gang. */
    private double wantedBeforeReservation(int member) {
        return Arrays.stream(wantedByPriority[member], 0, reservation.priority).sum();
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
     * priority would keep an urgent gang from ever fitting. The reserved gang has a stage of its
     * own before the others of its priority. In the last stage, what nobody wants is shared evenly.
     */
    private double[][] cumulativeTargets() {
        List<double[]> targetStages = new ArrayList<>();
        double remaining = Math.max(0, limit - usedTotal);
        double[] target = usedByMember.clone();
        for (int priority = 0; priority < wantedByPriority[0].length; priority++) {
            if (reservation.amount > 0 && priority == reservation.priority) {
                double reserved = Math.min(remaining, reservation.amount);
                target[reservation.member] += reserved;
                remaining -= reserved;
                targetStages.add(target.clone());
            }
            remaining -= addWanted(target, priority, remaining);
            targetStages.add(target.clone());
        }
        for (int i = 0; i < memberCount; i++) {
            target[i] += remaining / memberCount;
        }
        targetStages.add(target);
        return targetStages.toArray(new double[0][]);
    }

    /** Adds to the targets what the members want at a priority, in proportion; returns the sum. */
    private double addWanted(double[] target, int priority, double remaining) {
        double wantedTotal = 0;
        for (double[] memberWants : wantedByPriority) {
            wantedTotal += memberWants[priority];
        }
        double granted = Math.min(remaining, wantedTotal);
        for (int i = 0; i < memberCount && wantedTotal > 0; i++) {
            target[i] += granted * wantedByPriority[i][priority] / wantedTotal;
        }
        return granted;
    }
}
