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
 * Orders the queue: urgent work first, then the first few tasks of starving jobs, then work within
 * its team's guarantee, whatever its priority, then further tasks of starving jobs, then the rest
 * by priority; last by nearness to the deadline or objective. Guaranteed work comes before other
 * teams' surplus (what a team uses beyond its guarantee), or the guarantee would have no effect.
 */
public final class QueueOrder {
    /** Tier of the first few tasks of a starving job. */
    static final int TIER_FIRST_START = JobSpec.Priority.HIGH.ordinal() + 1;

    /** Tier of work within its team's guarantee. */
    static final int TIER_GUARANTEED = TIER_FIRST_START + 1;

    /** Tier of further tasks of starving jobs. */
    static final int TIER_STARVING = TIER_GUARANTEED + 1;

    /**
     * The order of the queue: entries that come first are placed first. A total order over entries
     * of different jobs.
     */
    public static final Comparator<QueueEntry> BY_QUEUE_ORDER = QueueOrder::compare;

    private final Map<String, Double> objectiveSecondsByClass = new HashMap<>();
    private final Map<String, Settings.Team> teams;
    private final Policy policy;

    /**
     * Creates an order by the objectives and teams of the settings and by the operators' records.
     */
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
     * A job's entry in the queue, with the values that its position depends on. One job may have
     * several entries, each for some of its tasks.
     *
     * @param priority ordinal of the job's own priority; a smaller one is more urgent
     * @param withinGuarantee whether the job is within its team's guarantee
     * @param deadlineUnreachable whether the time by which the job had to start to meet its
     *     deadline has passed by more than its run time
     * @param slackSeconds seconds until the job has to start to meet its deadline; negative when
     *     that time has passed
     * @param starving whether this entry is only for overdue tasks
     * @param firstStart whether none of the job's tasks has started and this entry is for the first
     *     ones
     * @param maxTasks maximum number of the job's tasks that this entry is for
     * @param effectivePriority the job's priority by the operators' records
     * @param replicaRank order among services: 0 for the first replica of a service that has none,
     *     else larger the more replicas it has; 1 for other jobs
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
        /** Returns a copy of this entry with this replica rank, for at most this many tasks. */
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

        /** This entry limited to this many tasks. */
        QueueEntry limitedTo(int tasks) {
            return withReplicaRank(replicaRank, tasks);
        }

        /**
         * Tier by the job's own priority; it decides what the job may preempt and what may preempt
         * the job.
         */
        int tier() {
            return firstStart
                    ? TIER_FIRST_START
                    : QueueOrder.tier(priority, withinGuarantee, starving);
        }

        /**
         * Tier by the job's priority in the queue's order, which its class may raise; work covered
         * by an open window doesn't wait behind starving work.
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

        /** Time by which the job should have started, in milliseconds since 1970. */
        long startDeadlineMillis() {
            return job.acceptedAtEpochMillis()
                    + (long) (effectivePriority.startWithinSeconds() * 1000);
        }

        /** Returns a copy of this entry for at most this many overdue tasks of the job. */
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
     * Tier of a job; smaller tiers come earlier. Work may be preempted only by work of a smaller
     * tier, or the two would preempt each other endlessly.
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
            // Work covered by open windows comes first, then the job that should have started
            // earliest; otherwise endless arrivals of one priority would starve another.
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
     * Compares by the operators' records, within a tier: priority, then open windows, then the rank
     * of the class.
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
     * Whether running work comes before waiting work by the operators' records. Such work isn't
     * preempted, whatever the protocol allows: it would take the capacity back at once, and the two
     * would preempt each other endlessly.
     */
    static boolean precedes(QueueEntry running, QueueEntry waiting) {
        int result = Integer.compare(running.orderingTier(), waiting.orderingTier());
        return (result != 0 ? result : compareEffectivePriority(running, waiting)) < 0;
    }

    /**
     * The queue entries of the waiting jobs, in order.
     *
     * @param spreadReplicas whether every service gets one replica before any gets a second
     * @param wallMillis wall-clock time in milliseconds since 1970
     */
    List<QueueEntry> queue(
            List<Job> candidates, SchedulingPlan plan, boolean spreadReplicas, long wallMillis) {
        List<QueueEntry> queue = new ArrayList<>(candidates.size());
        for (Job job : candidates) {
            QueueEntry entry = entryFor(job, plan.jobsWithinGuarantee.contains(job), wallMillis);
            if (spreadReplicas && job.spec.isService()) {
                // One replica of every service comes before any second one; then come the services
                // that lack the largest part of their replicas.
                entry =
                        entry.withReplicaRank(
                                1 + job.possiblyRunningTaskCount() / (double) job.spec.taskCount(),
                                Integer.MAX_VALUE);
                if (job.possiblyRunningTaskCount() == 0 && job.spec.taskCount() > 1) {
                    queue.add(entry.withReplicaRank(0, 1));
                }
            }
            queue.add(entry);
            addOverdueTasks(queue, entry, plan.entitledTasksByStarvingJob.getOrDefault(job, 0));
        }
        queue.sort(BY_QUEUE_ORDER);
        return queue;
    }

    /** Adds the job's entries for its overdue tasks, if there are any. */
    private static void addOverdueTasks(
            List<QueueEntry> queue, QueueEntry entry, int entitledTasks) {
        JobSpec spec = entry.job.spec;
        int startedTasks = entry.job.completedTaskCount() + entry.job.possiblyRunningTaskCount();
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
                            1 + spec.taskCount() / SchedulerConstants.FIRST_STARTS_DIVISOR);
        }
        if (firstStarts > 0) {
            queue.add(entry.asStarving(true, firstStarts));
        }
        if (overdueTasks > Math.max(0, firstStarts) && entry.tier() > TIER_STARVING) {
            queue.add(entry.asStarving(false, overdueTasks - Math.max(0, firstStarts)));
        }
    }

    /**
     * Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
     *
     * @param oldestFirst all unfinished jobs, the oldest first
     */
    public Set<Job> jobsWithinGuarantee(Collection<Job> oldestFirst) {
        Map<String, TeamUsage> demandByTeam = new HashMap<>();
        Set<Job> within = new HashSet<>();
        for (Job job : oldestFirst) {
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
     * The job's queue entry for all its tasks.
     *
     * @param wallMillis wall-clock time in milliseconds since 1970
     */
    public QueueEntry entryFor(Job job, boolean withinGuarantee, long wallMillis) {
        double ageSeconds = (wallMillis - job.acceptedAtEpochMillis()) / 1000.0;
        double runtimeSeconds = job.spec.runtimeSeconds();
        double dueSeconds =
                job.spec.deadlineSeconds() >= 0
                        ? job.spec.deadlineSeconds()
                        : objectiveSecondsByClass.getOrDefault(
                                job.spec.jobClass(),
                                2 * runtimeSeconds
                                        + SchedulerConstants.DEFAULT_DEADLINE_SLACK_SECONDS);
        EffectivePriority effectivePriority = policy.effectivePriorityOf(job);
        double secondsLeft = dueSeconds - ageSeconds;
        if (effectivePriority.isCovered()) {
            secondsLeft =
                    Math.min(
                            secondsLeft,
                            (effectivePriority.publicationMillis() - wallMillis) / 1000.0);
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
