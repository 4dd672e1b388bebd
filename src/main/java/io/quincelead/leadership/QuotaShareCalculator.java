package io.quincelead.leadership;

import io.quincelead.config.constants.LeadershipConstants;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Calculates how a team's limit on one resource is split among the live members. A pure calculation
 * that the leader calls and a model checker explores. All amounts are in CPUs or GPUs. Arrays are
 * indexed by member, in the same order throughout.
 */
final class QuotaShareCalculator {
    /** Differences smaller than this, in CPUs or GPUs, are rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The smallest change written for a share that must be exact, in CPUs or GPUs. */
    private static final double MIN_EXACT_CHANGE = 1e-6;

    /**
     * Quota reserved for the first start of overdue jobs, ahead of all other demand of a priority.
     *
     * @param amountByMember CPUs or GPUs by member, not part of the members' pending demand
     * @param priority ordinal of the priority whose other demand the reservation precedes
     */
    record Reservation(double[] amountByMember, int priority) {
        /** A reservation of nothing. */
        static Reservation none(int memberCount) {
            return new Reservation(new double[memberCount], 0);
        }

        private boolean isEmpty() {
            return Arrays.stream(amountByMember).sum() <= ROUNDING_TOLERANCE;
        }
    }

    /**
     * One member's quota share, use and demand. Arrays are by priority, the highest priority first.
     *
     * @param share the member's share on record
     * @param used the use of tasks with a placement on record
     * @param pendingByPriority the demand of pending tasks
     * @param unitByPriority the allocation unit: the smallest pending amount that can start by
     *     itself, a task or a gang; 0 if nothing is pending or any amount is useful
     */
    record MemberQuota(
            double share, double used, double[] pendingByPriority, double[] unitByPriority) {
        /** The amount that the member may use now. */
        private double usable() {
            return Math.max(share, used);
        }

        private double totalPending() {
            return Arrays.stream(pendingByPriority).sum();
        }

        @Override
        public String toString() {
            return String.format(
                    "[share %s, used %s, pending %s]",
                    share, used, Arrays.toString(pendingByPriority));
        }
    }

    private final double limit;
    private final List<MemberQuota> members;
    private final Reservation reservation;
    private final int memberCount;
    private final double usedTotal;
    private final double committedTotal;

    private QuotaShareCalculator(
            double limit, double orphanedUse, List<MemberQuota> members, Reservation reservation) {
        this.limit = limit;
        this.members = members;
        this.reservation = reservation;
        memberCount = members.size();
        usedTotal = orphanedUse + members.stream().mapToDouble(MemberQuota::used).sum();
        committedTotal = orphanedUse + members.stream().mapToDouble(MemberQuota::usable).sum();
    }

    /** Calculates the next shares by member where any amount is useful and nothing is reserved. */
    static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] pendingByMember,
            boolean hasNewMember) {
        List<MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < currentShares.length; i++) {
            double[] pendingByPriority = pendingByMember[i];
            members.add(
                    new MemberQuota(
                            currentShares[i],
                            usedByMember[i],
                            pendingByPriority,
                            new double[pendingByPriority.length]));
        }
        return split(limit, orphanedUse, members, Reservation.none(members.size()), hasNewMember);
    }

    /**
     * Calculates the next shares by member. A member may use the larger of its current share and
     * its use on record. Only quota that is free under the shares on record is granted; quota that
     * this split withdraws can be granted by a later split, once the withdrawal is on record. While
     * the reservation lacks quota, the other members' shares fall below their use by the same
     * amount: tasks that end there are not replaced, and the following splits grant their quota to
     * the members with the reservation.
     *
     * @param limit the team's limit
     * @param orphanedUse the use of tasks of lost controllers
     * @param members the members, in the order of the result
     * @param reservation the need of overdue first starts
     * @param hasNewMember whether some member has no share on record yet
     */
    static double[] split(
            double limit,
            double orphanedUse,
            List<MemberQuota> members,
            Reservation reservation,
            boolean hasNewMember) {
        QuotaShareCalculator calculator =
                new QuotaShareCalculator(limit, orphanedUse, members, reservation);
        return hasNewMember || calculator.hasUnmetDemand()
                ? calculator.nextShares()
                : members.stream().mapToDouble(MemberQuota::share).toArray();
    }

    private double usable(int member) {
        return members.get(member).usable();
    }

    private double totalDemand(int member) {
        return members.get(member).totalPending() + reservation.amountByMember[member];
    }

    private boolean lacksShare(int member) {
        MemberQuota quota = members.get(member);
        return quota.share - quota.used < totalDemand(member) - ROUNDING_TOLERANCE;
    }

    private boolean hasUnmetDemand() {
        for (int i = 0; i < memberCount; i++) {
            if (totalDemand(i) > 0 && lacksShare(i)) {
                return true;
            }
        }
        return false;
    }

    private double[] nextShares() {
        double[][] targetStages = cumulativeTargets();
        double[] nextShares = reducedToTarget(targetStages[targetStages.length - 1]);
        boolean nearlyMet = grantFreeQuota(nextShares, targetStages);
        boolean hasReservationShortfall = withdrawForReservation(nextShares);
        for (int i = 0; i < memberCount; i++) {
            boolean mustBeExact =
                    reachesStage(i, nextShares[i], targetStages)
                            || (nearlyMet || hasReservationShortfall)
                                    && nextShares[i] < members.get(i).share;
            double share = members.get(i).share;
            double change = Math.abs(nextShares[i] - share);
            if (share > 0 && change < minimumChange(i, mustBeExact)) {
                nextShares[i] = share;
            }
        }
        return nextShares;
    }

    /** The amount that each member may use now, reduced to its final target. */
    private double[] reducedToTarget(double[] finalTarget) {
        double[] shares = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            // Terminations of tasks may be recorded late, so the use on record may exceed the limit
            // for a while; no share may rise because of that.
            double maxShare = committedTotal > limit + 1e-6 ? members.get(i).share : usable(i);
            shares[i] = Math.min(finalTarget[i], maxShare);
        }
        return shares;
    }

    /**
     * Lowers members' shares below their use by the shortfall of the other members' reservations,
     * except those of members that this split grants quota for more urgent work. Each share falls
     * by the whole shortfall, because it is unknown which member has tasks that end soon; the next
     * split returns any excess.
     *
     * @return whether the reservation has a shortfall
     */
    private boolean withdrawForReservation(double[] nextShares) {
        double[] entitled = new double[memberCount];
        double[] shortfall = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            entitled[i] =
                    members.get(i).used
                            + pendingAboveReservation(i)
                            + reservation.amountByMember[i];
            boolean hasReservation = reservation.amountByMember[i] > 0;
            shortfall[i] = hasReservation ? Math.max(0, entitled[i] - nextShares[i]) : 0;
        }
        double totalShortfall = Arrays.stream(shortfall).sum();
        if (totalShortfall <= ROUNDING_TOLERANCE) {
            return false;
        }
        for (int i = 0; i < memberCount; i++) {
            if (nextShares[i] <= usable(i) + ROUNDING_TOLERANCE) {
                double kept = entitled[i] - (totalShortfall - shortfall[i]);
                nextShares[i] = Math.min(nextShares[i], Math.max(0, kept));
            }
        }
        return true;
    }

    /** A member's pending demand of higher priority than the reservation. */
    private double pendingAboveReservation(int member) {
        return Arrays.stream(members.get(member).pendingByPriority, 0, reservation.priority).sum();
    }

    /** Whether the next share raises a member that lacks quota to its target of some stage. */
    private boolean reachesStage(int member, double nextShare, double[][] targetStages) {
        for (double[] stage : targetStages) {
            if (members.get(member).share < stage[member] - ROUNDING_TOLERANCE
                    && lacksShare(member)
                    && nextShare >= stage[member] - ROUNDING_TOLERANCE) {
                return true;
            }
        }
        return false;
    }

    /**
     * The smallest change of a share that is worth a write: each write rewrites shards and fails
     * the scheduling cycles in flight. But shares that give up quota which other members lack, and
     * shares that reach a target, must be exact: a gang that lacks a tenth of a CPU can start no
     * more than one that lacks all.
     */
    private double minimumChange(int member, boolean mustBeExact) {
        if (mustBeExact) {
            return MIN_EXACT_CHANGE;
        }
        double tolerance = LeadershipConstants.QUOTA_SHARE_TOLERANCE_FRACTION * limit;
        MemberQuota quota = members.get(member);
        boolean hasSpare = totalDemand(member) <= 0 || quota.share - quota.used > tolerance;
        return Math.max(LeadershipConstants.MIN_QUOTA_SHARE_CHANGE_UNITS, hasSpare ? tolerance : 0);
    }

    /**
     * Grants the free quota, to demand of higher priority first.
     *
     * @return whether the free quota falls short of some stage by only a little, so that small
     *     amounts which other members hold would complete it; if much is lacking, small changes
     *     would only rewrite shards all the time
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
            nearlyMet |=
                    totalGrowth > remaining + ROUNDING_TOLERANCE
                            && totalGrowth <= remaining + nearMargin;
            for (int i = 0; i < memberCount; i++) {
                // Raised from what the member may already use towards its target of this stage.
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
     * The shares that each member would get if all quota could move at once, in cumulative stages,
     * one per priority. Demand of higher priority comes first: if all demand shared the quota
     * evenly, a large job of low priority would keep an urgent gang from ever fitting. The
     * reservation has its own stage before the other demand of its priority. In the last stage,
     * quota without demand is shared evenly.
     */
    private double[][] cumulativeTargets() {
        List<double[]> targetStages = new ArrayList<>();
        double remaining = Math.max(0, limit - usedTotal);
        double[] target = members.stream().mapToDouble(MemberQuota::used).toArray();
        int priorities = members.get(0).pendingByPriority.length;
        for (int priority = 0; priority < priorities; priority++) {
            if (priority == reservation.priority && !reservation.isEmpty()) {
                remaining -= addProportionally(target, reservation.amountByMember, remaining);
                targetStages.add(target.clone());
            }
            remaining -= addPending(target, priority, remaining);
            targetStages.add(target.clone());
        }
        for (int i = 0; i < memberCount; i++) {
            target[i] += remaining / memberCount;
        }
        targetStages.add(target);
        return targetStages.toArray(new double[0][]);
    }

    /**
     * Adds the members' pending demand of a priority to the targets and returns the sum added. If
     * the demand exceeds what remains, each member gets its proportional part in whole allocation
     * units, because quota for part of a task is useless; all that remains then counts as added.
     */
    private double addPending(double[] target, int priority, double remaining) {
        double[] pending =
                members.stream().mapToDouble(quota -> quota.pendingByPriority[priority]).toArray();
        if (Arrays.stream(pending).sum() <= remaining) {
            return addProportionally(target, pending, remaining);
        }
        double[] before = target.clone();
        addProportionally(target, pending, remaining);
        double unallocated = remaining;
        for (int i = 0; i < memberCount; i++) {
            double unit = members.get(i).unitByPriority[priority];
            double proportionalPart = target[i] - before[i];
            double wholeUnits =
                    unit > 0
                            ? Math.floor((proportionalPart + ROUNDING_TOLERANCE) / unit) * unit
                            : proportionalPart;
            target[i] = before[i] + wholeUnits;
            unallocated -= wholeUnits;
        }
        allocateRemainder(target, before, priority, Math.max(0, unallocated));
        return remaining;
    }

    /**
     * Allocates what rounding to whole units left, unit by unit. An amount that no unit fits into
     * goes to one member with further demand, because work of lower priority would never give it
     * back.
     */
    private void allocateRemainder(
            double[] target, double[] before, int priority, double remainder) {
        double unallocated = remainder;
        while (unallocated > ROUNDING_TOLERANCE) {
            int next = nextMemberForUnit(target, before, priority, unallocated);
            double unit = next < 0 ? 0 : members.get(next).unitByPriority[priority];
            if (next < 0) {
                next = nextMemberForUnit(target, before, priority, Double.POSITIVE_INFINITY);
                unit = unallocated;
            }
            if (next < 0) {
                return;
            }
            target[next] += unit;
            unallocated -= unit;
        }
    }

    /**
     * The member that needs another unit of at most this size; -1 if there is none. Prefers the
     * member whose usable quota exceeds its target the most, so that shares stay where they are.
     */
    private int nextMemberForUnit(double[] target, double[] before, int priority, double maxUnit) {
        int next = -1;
        for (int i = 0; i < memberCount; i++) {
            MemberQuota quota = members.get(i);
            double unit = quota.unitByPriority[priority];
            boolean needsUnit =
                    target[i] - before[i] + unit
                            <= quota.pendingByPriority[priority] + ROUNDING_TOLERANCE;
            if (unit > 0
                    && unit <= maxUnit + ROUNDING_TOLERANCE
                    && needsUnit
                    && (next < 0
                            || usable(i) - target[i]
                                    > usable(next) - target[next] + ROUNDING_TOLERANCE)) {
                next = i;
            }
        }
        return next;
    }

    /**
     * Adds the demand to the targets, or as much of it as remains in proportion; returns the sum
     * added.
     */
    private static double addProportionally(double[] target, double[] demand, double remaining) {
        double totalDemand = Arrays.stream(demand).sum();
        double granted = Math.min(remaining, totalDemand);
        for (int i = 0; i < target.length && totalDemand > 0; i++) {
            target[i] += granted * demand[i] / totalDemand;
        }
        return granted;
    }
}
