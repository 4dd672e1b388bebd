package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.Policy;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who comes first: urgent work, then the little with which late jobs begin, then what its team is
 * guaranteed, whatever its urgency, then what would else be left behind, then the rest by urgency;
 * last by nearness to the deadline or objective. A guarantee that waits behind other teams' surplus
 * would be none.
 */
public final class QueueOrder {
    private final Map<String, Double> objectiveSecondsByClass = new HashMap<>();
    private final Map<String, Settings.Team> teams;
    private final Policy policy;

    public QueueOrder(Settings settings, Policy policy) {
        this.policy = policy;
        teams = settings.teams();
        for (Settings.ServiceLevelObjective objective : settings.objectives()) {
            if (!objective.jobClass().isEmpty() && objective.withinSeconds() > 0) {
                objectiveSecondsByClass.merge(
                        objective.jobClass(), objective.withinSeconds(), Math::min);
            }
        }
    }

    /**
     * A job and what its place in the queue depends on. {@code late}: only so many of its tasks as
     * it would else be left behind by, at most {@code most}; {@code begins}: none of its tasks has
     * begun.
     */
    public record RankedJob(
            Job job,
            int priority,
            boolean withinGuarantee,
            boolean deadlineUnreachable,
            double slackSeconds,
            boolean starving,
            boolean firstStart,
            int maxTasks,
            EffectivePriority effectivePriority,
            double replicaRank) {
        /**
         * The same with its place among services: 0 for the first replica of one that has none,
         * else the larger the more are there.
         */
        RankedJob withReplicaRank(double rank, int tasks) {
            return new RankedJob(
                    job,
                    priority,
                    withinGuarantee,
                    deadlineUnreachable,
                    slackSeconds,
                    starving,
                    firstStart,
                    tasks,
                    effectivePriority,
                    rank);
        }

        /** By its own urgency: what it may stop and what may be stopped for it goes by this. */
        int tier() {
            return firstStart
                    ? TIER_FIRST_START
                    : QueueOrder.tier(priority, withinGuarantee, starving);
        }

        /**
         * By the urgency that its class lets it be ordered by; covered work doesn't wait behind
         * work that is late to begin.
         */
        int orderingTier() {
            int tier =
                    firstStart
                            ? Math.min(TIER_FIRST_START, orderingPriority())
                            : QueueOrder.tier(orderingPriority(), withinGuarantee, starving);
            return effectivePriority.isCovered() ? Math.min(tier, TIER_STARVING) : tier;
        }

        int orderingPriority() {
            return effectivePriority.orderingPriority(job.spec);
        }

        /** By when it should have begun, in ms since 1970. */
        long startDeadlineMillis() {
            return job.acceptedAtEpochMillis
                    + (long) (effectivePriority.startWithinSeconds() * 1000);
        }

        /** The same job's place for the tasks that it would be left behind by. */
        RankedJob asStarving(boolean atFirstStart, int tasks) {
            return new RankedJob(
                    job,
                    priority,
                    withinGuarantee,
                    deadlineUnreachable,
                    slackSeconds,
                    true,
                    atFirstStart,
                    tasks,
                    effectivePriority,
                    replicaRank);
        }
    }

    /** Tier of the little with which a job begins that has waited long. */
    static final int TIER_FIRST_START = JobSpec.Priority.HIGH.ordinal() + 1;

    /** Tier of what its team is guaranteed. */
    static final int TIER_GUARANTEED = TIER_FIRST_START + 1;

    /** Tier of the first tasks of jobs that have waited long. */
    static final int TIER_STARVING = TIER_GUARANTEED + 1;

    /**
     * The smaller, the earlier; work may be stopped only for work of a smaller one, or the two
     * would displace each other without end.
     */
    static int tier(int priority, boolean withinGuarantee, boolean starving) {
        return priority < TIER_FIRST_START
                ? priority
                : withinGuarantee
                        ? TIER_GUARANTEED
                        : starving
                                ? TIER_STARVING
                                : priority + TIER_STARVING - TIER_FIRST_START + 1;
    }

    public static final Comparator<RankedJob> BY_QUEUE_ORDER = QueueOrder::compare;

    private static int compare(RankedJob a, RankedJob b) {
        int result = Integer.compare(a.orderingTier(), b.orderingTier());
        if (result == 0
                && (a.orderingTier() == TIER_STARVING || a.orderingTier() == TIER_FIRST_START)) {
            // First open windows; then whoever has waited longest, or endless arrivals of one
            // urgency would leave another behind.
            result =
                    Boolean.compare(
                            b.effectivePriority.isCovered(), a.effectivePriority.isCovered());
            result =
                    result != 0 || a.effectivePriority.isCovered()
                            ? result
                            : Long.compare(a.startDeadlineMillis(), b.startDeadlineMillis());
        }
        result = result != 0 ? result : compareEffectivePriority(a, b);
        result = result != 0 ? result : Double.compare(a.replicaRank, b.replicaRank);
        result = result != 0 ? result : Boolean.compare(!a.withinGuarantee, !b.withinGuarantee);
        result =
                result != 0
                        ? result
                        : Boolean.compare(a.deadlineUnreachable, b.deadlineUnreachable);
        result = result != 0 ? result : Double.compare(a.slackSeconds, b.slackSeconds);
        return result != 0 ? result : a.job.spec.jobId().compareTo(b.job.spec.jobId());
    }

    /**
     * What operators' records say, within a tier: urgency, then open windows, then the rank of the
     * class.
     */
    private static int compareEffectivePriority(RankedJob a, RankedJob b) {
        int result = Integer.compare(a.orderingPriority(), b.orderingPriority());
        result =
                result != 0
                        ? result
                        : Boolean.compare(
                                b.effectivePriority.isCovered(), a.effectivePriority.isCovered());
        return result != 0
                ? result
                : Integer.compare(a.effectivePriority.rank(), b.effectivePriority.rank());
    }

    /**
     * Whether running work comes before waiting work by the operators' records. It isn't stopped
     * for it then, whatever the protocol allows: it would take the room back at once, and the two
     * would take turns without end.
     */
    static boolean precedes(RankedJob running, RankedJob waiting) {
        int result = Integer.compare(running.orderingTier(), waiting.orderingTier());
        return (result != 0 ? result : compareEffectivePriority(running, waiting)) < 0;
    }

    /**
     * Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs;
     * given by age.
     */
    public Set<Job> jobsWithinGuarantee(Collection<Job> byAge) {
        Map<String, double[]> demandByTeam = new HashMap<>();
        Set<Job> within = new HashSet<>();
        for (Job job : byAge) {
            Settings.Team team = teams.get(job.spec.team());
            if (team == null || job.isCancelled()) {
                continue;
            }
            int unfinishedTasks = job.spec.taskCount() - job.completedTaskCount();
            double[] demand = demandByTeam.computeIfAbsent(team.name(), t -> new double[2]);
            demand[0] += unfinishedTasks * job.spec.cpus();
            demand[1] += unfinishedTasks * job.spec.gpus();
            if (demand[0] <= team.guaranteedCpus() + 1e-9
                    && demand[1] <= team.guaranteedGpus() + 1e-9) {
                within.add(job);
            }
        }
        return within;
    }

    public RankedJob rank(Job job, boolean withinGuarantee, long wallNowMillis) {
        double ageSeconds = (wallNowMillis - job.acceptedAtEpochMillis) / 1000.0;
        double runtimeSeconds = job.spec.runtimeSeconds();
        double dueSeconds =
                job.spec.deadlineSeconds() >= 0
                        ? job.spec.deadlineSeconds()
                        : objectiveSecondsByClass.getOrDefault(
                                job.spec.jobClass(),
                                2 * runtimeSeconds
                                        + SchedulerConstants.UNSTATED_DEADLINE_SLACK_SECONDS);
        EffectivePriority effectivePriority = policy.priorityOf(job);
        double secondsLeft = dueSeconds - ageSeconds;
        if (effectivePriority.isCovered()) {
            secondsLeft =
                    Math.min(
                            secondsLeft,
                            (effectivePriority.publicationMillis() - wallNowMillis) / 1000.0);
        }
        double slackSeconds =
                secondsLeft - runtimeSeconds * SchedulerConstants.ESTIMATE_MARGIN_FACTOR;
        return new RankedJob(
                job,
                job.spec.priority().ordinal(),
                withinGuarantee,
                slackSeconds < -runtimeSeconds && !effectivePriority.isCovered(),
                slackSeconds,
                false,
                false,
                Integer.MAX_VALUE,
                effectivePriority,
                1);
    }
}
