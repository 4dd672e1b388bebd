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
final class QuotaShareCalculator {
    /** Smaller differences of CPUs or GPUs are rounding. */
    private static final double EPSILON = 1e-9;

    /** The least change of a share that is recorded where every bit counts, in CPUs or GPUs. */
    private static final double MIN_EXACT_CHANGE = 1e-6;

    /**
     * What overdue jobs need for their first start, before all other demand of a priority.
     *
     * @param amountByMember CPUs or GPUs by member; they are in no member's other demand
     * @param priority before whose other demand they come
     */
    record Reservation(double[] amountByMember, int priority) {
        /** Nothing is reserved. */
        static Reservation none(int memberCount) {
            return new Reservation(new double[memberCount], 0);
        }

        private boolean isEmpty() {
            return Arrays.stream(amountByMember).sum() <= EPSILON;
        }
    }

    /**
     * One member's part of the quota. Arrays are by priority, the highest priority first.
     *
     * @param share its share on record
     * @param used what tasks on record use
     * @param pendingByPriority what waits
     * @param unitByPriority the least of what waits that can start by itself: a task, or a gang; 0
     *     where nothing waits or any amount is of use
     */
    record MemberQuota(
            double share, double used, double[] pendingByPriority, double[] unitByPriority) {
        /** What the member may use now. */
        private double usable() {
            return Math.max(share, used);
        }

        private double totalWanted() {
            return Arrays.stream(pendingByPriority).sum();
        }

        @Override
        public String toString() {
            return String.format(
                    "[share %s, used %s, wanted %s]",
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

    /** The next shares by member where any amount is of use and nothing is reserved. */
    static double[] split(
            double limit,
            double orphanedUse,
            double[] currentShares,
            double[] usedByMember,
            double[][] wantedByPriority,
            boolean hasNewMember) {
        List<MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < currentShares.length; i++) {
            double[] wanted = wantedByPriority[i];
            members.add(
                    new MemberQuota(
                            currentShares[i], usedByMember[i], wanted, new double[wanted.length]));
        }
        return split(limit, orphanedUse, members, Reservation.none(members.size()), hasNewMember);
    }

    /**
     * The next shares by member. A member may use the larger of its current share and its use on
     * record. Only what is free under the shares on record is given out: what this takes away can
     * be given out by a later split, once it is on record. While what is reserved lacks quota, the
     * other members' shares fall below their use by as much: what ends there isn't replaced, and
     * the splits that follow give it to whom it is reserved for.
     *
     * @param limit the team's limit
     * @param orphanedUse what tasks of lost controllers use
     * @param members the members, in one order throughout
     * @param reservation what overdue first starts need
     * @param hasNewMember whether some member has had no share yet
     */
    static double[] split(
            double limit,
            double orphanedUse,
            List<MemberQuota> members,
            Reservation reservation,
            boolean hasNewMember) {
        QuotaShareCalculator shares =
                new QuotaShareCalculator(limit, orphanedUse, members, reservation);
        return hasNewMember || shares.hasUnmetDemand()
                ? shares.nextShares()
                : members.stream().mapToDouble(MemberQuota::share).toArray();
    }

    private double usable(int member) {
        return members.get(member).usable();
    }

    private double wantedTotal(int member) {
        return members.get(member).totalWanted() + reservation.amountByMember[member];
    }

    private boolean lacksShare(int member) {
        MemberQuota quota = members.get(member);
        return quota.share - quota.used < wantedTotal(member) - EPSILON;
    }

    private boolean hasUnmetDemand() {
        for (int i = 0; i < memberCount; i++) {
            if (wantedTotal(i) > 0 && lacksShare(i)) {
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
                                    && nextShares[i] < members.get(i).share;
            double share = members.get(i).share;
            double change = Math.abs(nextShares[i] - share);
            if (share > 0 && change < minimumChange(i, mustBeExact)) {
                nextShares[i] = share;
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
            double most = committedTotal > limit + 1e-6 ? members.get(i).share : usable(i);
            shares[i] = Math.min(finalTarget[i], most);
        }
        return shares;
    }

    /**
     * Lowers members' shares below their use by what is reserved for the others and still lacking,
     * but for those that have just been granted something for more urgent work. Each by all of it,
     * for which of them has tasks that end soon isn't known; what they give up too much returns
     * with the next split.
     *
     * @return whether something is lacking
     */
    private boolean withdrawForReservation(double[] nextShares) {
        double[] entitled = new double[memberCount];
        double[] lacking = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            entitled[i] =
                    members.get(i).used
                            + wantedBeforeReservation(i)
                            + reservation.amountByMember[i];
            boolean reserves = reservation.amountByMember[i] > 0;
            lacking[i] = reserves ? Math.max(0, entitled[i] - nextShares[i]) : 0;
        }
        double totalLacking = Arrays.stream(lacking).sum();
        if (totalLacking <= EPSILON) {
            return false;
        }
        for (int i = 0; i < memberCount; i++) {
            if (nextShares[i] <= usable(i) + EPSILON) {
                double kept = entitled[i] - (totalLacking - lacking[i]);
                nextShares[i] = Math.min(nextShares[i], Math.max(0, kept));
            }
        }
        return true;
    }

    /** What a member wants for work of higher priority than what is reserved. */
    private double wantedBeforeReservation(int member) {
        return Arrays.stream(members.get(member).pendingByPriority, 0, reservation.priority).sum();
    }

    /** Whether the next share is what a member that lacks some needs for one of the stages. */
    private boolean reachesStage(int member, double nextShare, double[][] targetStages) {
        for (double[] stage : targetStages) {
            if (members.get(member).share < stage[member] - EPSILON
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
        MemberQuota quota = members.get(member);
        boolean hasSpare = wantedTotal(member) <= 0 || quota.share - quota.used > tolerance;
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
     * priority would keep an urgent gang from ever fitting. What is reserved has a stage of its own
     * before the others of its priority. In the last stage, what nobody wants is shared evenly.
     */
    private double[][] cumulativeTargets() {
        List<double[]> targetStages = new ArrayList<>();
        double remaining = Math.max(0, limit - usedTotal);
        double[] target = members.stream().mapToDouble(MemberQuota::used).toArray();
        int priorities = members.get(0).pendingByPriority.length;
        for (int priority = 0; priority < priorities; priority++) {
            if (priority == reservation.priority && !reservation.isEmpty()) {
                remaining -= addShare(target, reservation.amountByMember, remaining);
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

    /**
     * Adds to the targets what the members want at a priority; returns the sum. Where that is more
     * than remains, each gets its part in whole units, for a part of a task is of no use to
     * anybody.
     */
    private double addWanted(double[] target, int priority, double remaining) {
        double[] wanted =
                members.stream().mapToDouble(quota -> quota.pendingByPriority[priority]).toArray();
        if (Arrays.stream(wanted).sum() <= remaining) {
            return addShare(target, wanted, remaining);
        }
        double[] before = target.clone();
        addShare(target, wanted, remaining);
        double left = remaining;
        for (int i = 0; i < memberCount; i++) {
            double unit = members.get(i).unitByPriority[priority];
            double part = target[i] - before[i];
            double whole = unit > 0 ? Math.floor((part + EPSILON) / unit) * unit : part;
            target[i] = before[i] + whole;
            left -= whole;
        }
        addLeftUnits(target, before, priority, Math.max(0, left));
        return remaining;
    }

    /**
     * Gives out what rounding left, unit by unit; what no unit fits into is gathered by one that
     * still wants some, for work of lower priority would never give it back.
     */
    private void addLeftUnits(double[] target, double[] before, int priority, double amount) {
        double left = amount;
        while (left > EPSILON) {
            int next = nextInNeed(target, before, priority, left);
            double unit = next < 0 ? 0 : members.get(next).unitByPriority[priority];
            if (next < 0) {
                next = nextInNeed(target, before, priority, Double.POSITIVE_INFINITY);
                unit = left;
            }
            if (next < 0) {
                return;
            }
            target[next] += unit;
            left -= unit;
        }
    }

    /**
     * The member that wants another unit of at most this size, first whoever may use it already, so
     * that shares stay where they are; -1: none.
     */
    private int nextInNeed(double[] target, double[] before, int priority, double mostUnit) {
        int next = -1;
        for (int i = 0; i < memberCount; i++) {
            MemberQuota quota = members.get(i);
            double unit = quota.unitByPriority[priority];
            boolean wants =
                    target[i] - before[i] + unit <= quota.pendingByPriority[priority] + EPSILON;
            if (unit > 0
                    && unit <= mostUnit + EPSILON
                    && wants
                    && (next < 0
                            || usable(i) - target[i] > usable(next) - target[next] + EPSILON)) {
                next = i;
            }
        }
        return next;
    }

    /** Adds to the targets what is wanted, or as much in proportion; returns the sum. */
    private static double addShare(double[] target, double[] wanted, double remaining) {
        double wantedTotal = Arrays.stream(wanted).sum();
        double granted = Math.min(remaining, wantedTotal);
        for (int i = 0; i < target.length && wantedTotal > 0; i++) {
            target[i] += granted * wanted[i] / wantedTotal;
        }
        return granted;
    }
}
