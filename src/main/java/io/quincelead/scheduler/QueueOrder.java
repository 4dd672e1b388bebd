package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who comes first: urgent work, then the first few tasks of starving jobs, then what its team is
 * guaranteed, whatever its priority, then further tasks of starving jobs, then the rest by
 * priority; last by nearness to the deadline or objective. A guarantee that waits behind other
 * teams' surplus would be none.
 */
public final class QueueOrder {
    /** Tier of the few tasks with which a job that has waited long begins. */
    static final int TIER_FIRST_START = JobSpec.Priority.HIGH.ordinal() + 1;

    /** Tier of what its team is guaranteed. */
    static final int TIER_GUARANTEED = TIER_FIRST_START + 1;

    /** Tier of further tasks of jobs that have waited long. */
    static final int TIER_STARVING = TIER_GUARANTEED + 1;

    /** The order of the queue: what comes first is placed first. Total over different jobs. */
    public static final Comparator<QueueEntry> BY_QUEUE_ORDER = QueueOrder::compare;

    private final Map<String, Double> objectiveSecondsByClass = new HashMap<>();
    private final Map<String, Settings.Team> teams;
    private final Policy policy;

    /** An order by the objectives and teams of the settings and the operators' records. */
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
     * A job and what its position in the queue depends on. One job may have several positions, each
     * for some of its tasks.
     *
     * @param priority ordinal of its own priority, the smaller the more urgent
     * @param withinGuarantee whether its team is guaranteed what it needs
     * @param deadlineUnreachable whether its deadline has passed by more than its run time
     * @param slackSeconds until it has to start to be done in time; negative when that has passed
     * @param starving whether this position is only for tasks that are overdue to start
     * @param firstStart whether none of its tasks has started, and this position is for the first
     * @param maxTasks of the job for which this position is
     * @param effectivePriority what the operators' records make of it
     * @param replicaRank among services: 0 for the first replica of one that has none, else the
     *     larger the more it has; 1 for other jobs
     */
    public record QueueEntry(
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
        /** The same with another rank among services, for so many tasks. */
        QueueEntry withReplicaRank(double rank, int tasks) {
            return new QueueEntry(
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

        /** The same position for so many tasks. */
        QueueEntry limitedTo(int tasks) {
            return withReplicaRank(replicaRank, tasks);
        }

        /** By its own priority: what it may preempt and what may preempt it goes by this. */
        int tier() {
            return firstStart
                    ? TIER_FIRST_START
                    : QueueOrder.tier(priority, withinGuarantee, starving);
        }

        /**
         * By the priority that its class lets it be ordered by; work covered by an open window
         * doesn't wait behind starving work.
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

        /** By when it should have started, in milliseconds since 1970. */
        long startDeadlineMillis() {
            return job.acceptedAtEpochMillis()
                    + (long) (effectivePriority.startWithinSeconds() * 1000);
        }

        /** The same job's position for so many tasks that are overdue to start. */
        QueueEntry asStarving(boolean atFirstStart, int tasks) {
            return new QueueEntry(
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

    /**
     * The smaller, the earlier; work may be preempted only by work of a smaller tier, or the two
     * would preempt each other without end.
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

    private static int compare(QueueEntry a, QueueEntry b) {
        int result = Integer.compare(a.orderingTier(), b.orderingTier());
        if (result == 0
                && (a.orderingTier() == TIER_STARVING || a.orderingTier() == TIER_FIRST_START)) {
            // First open windows; then whoever has waited longest, or endless arrivals of one
            // priority would starve another.
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
     * What operators' records say, within a tier: priority, then open windows, then the rank of the
     * class.
     */
    private static int compareEffectivePriority(QueueEntry a, QueueEntry b) {
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
     * Whether running work comes before waiting work by the operators' records. It isn't preempted
     * then, whatever the protocol allows: it would take the capacity back at once, and the two
     * would take turns without end.
     */
    static boolean precedes(QueueEntry running, QueueEntry waiting) {
        int result = Integer.compare(running.orderingTier(), waiting.orderingTier());
        return (result != 0 ? result : compareEffectivePriority(running, waiting)) < 0;
    }

    /**
     * The positions in the queue of the jobs that wait, in order.
     *
     * @param replicasTakeTurns whether services get one replica each before any gets a second
     * @param wallMillis milliseconds since 1970
     */
    List<QueueEntry> queue(
            List<Job> candidates, SchedulingPlan plan, boolean replicasTakeTurns, long wallMillis) {
        List<QueueEntry> queue = new ArrayList<>(candidates.size());
        for (Job job : candidates) {
            QueueEntry ranked = entryFor(job, plan.jobsWithinGuarantee.contains(job), wallMillis);
            if (replicasTakeTurns && job.spec.isService()) {
                // One replica of every service before any second one; then those of which the
                // largest part is missing.
                ranked =
                        ranked.withReplicaRank(
                                1 + job.possiblyRunningTaskCount() / (double) job.spec.taskCount(),
                                Integer.MAX_VALUE);
                if (job.possiblyRunningTaskCount() == 0 && job.spec.taskCount() > 1) {
                    queue.add(ranked.withReplicaRank(0, 1));
                }
            }
            queue.add(ranked);
            addOverdueTasks(queue, ranked, plan.entitledTasksByStarvingJob.getOrDefault(job, 0));
        }
        queue.sort(BY_QUEUE_ORDER);
        return queue;
    }

    /** Adds the job's positions for the tasks that are overdue to start, if there are any. */
    private static void addOverdueTasks(
            List<QueueEntry> queue, QueueEntry ranked, int entitledTasks) {
        JobSpec spec = ranked.job.spec;
        int startedTasks = ranked.job.completedTaskCount() + ranked.job.possiblyRunningTaskCount();
        int overdueTasks = entitledTasks - startedTasks;
        int firstStarts;
        if (spec.isGang()) {
            firstStarts = overdueTasks;
        } else if (startedTasks > 0) {
            firstStarts = 0;
        } else {
            firstStarts =
                    Math.min(
                            overdueTasks,
                            1 + spec.taskCount() / SchedulerConstants.OVERDUE_FIRST_TASKS_DIVISOR);
        }
        if (firstStarts > 0) {
            queue.add(ranked.asStarving(true, firstStarts));
        }
        if (overdueTasks > Math.max(0, firstStarts) && ranked.tier() > TIER_STARVING) {
            queue.add(ranked.asStarving(false, overdueTasks - Math.max(0, firstStarts)));
        }
    }

    /**
     * Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
     *
     * @param byAge all unfinished jobs, the oldest first
     */
    public Set<Job> jobsWithinGuarantee(Collection<Job> byAge) {
        Map<String, TeamUsage> demandByTeam = new HashMap<>();
        Set<Job> within = new HashSet<>();
        for (Job job : byAge) {
            Settings.Team team = teams.get(job.spec.team());
            if (team == null || job.isCancelled()) {
                continue;
            }
            int unfinishedTasks = job.spec.taskCount() - job.completedTaskCount();
            TeamUsage demand = demandByTeam.computeIfAbsent(team.name(), t -> new TeamUsage());
            demand.add(job.spec, unfinishedTasks);
            if (demand.cpus() <= team.guaranteedCpus() + 1e-9
                    && demand.gpus() <= team.guaranteedGpus() + 1e-9) {
                within.add(job);
            }
        }
        return within;
    }

    /**
     * The job's position in the queue for all its tasks.
     *
     * @param wallNowMillis milliseconds since 1970
     */
    public QueueEntry entryFor(Job job, boolean withinGuarantee, long wallNowMillis) {
        double ageSeconds = (wallNowMillis - job.acceptedAtEpochMillis()) / 1000.0;
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
        return new QueueEntry(
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
