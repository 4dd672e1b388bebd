package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.QuotaReservations;
import io.quincelead.store.StoreClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Schedules the queue of waiting jobs. Each pass collects the waiting jobs and the free capacity,
 * orders the jobs and places them by a {@link QueueWalk}. Remembers from pass to pass how long work
 * has waited.
 */
final class QueueScheduler {
    private final EventLoop loop;
    private final Settings settings;
    private final OperatorSettings operatorSettings;
    private final StoreClient store;
    private final ClusterView cluster;
    private final QueueOrder queueOrder;
    private final QuotaReservations quotaReservations;
    private final CapacityReader capacityReader;
    private final LeaderReservations leaderReservations;
    private final PeerDrainReservations peerDrainReservations;
    private final EscalationPolicy escalationPolicy;
    private final UnservedJobTracker unservedJobs;
    private final CapacityWithholdingTimer gpuWithholdingTimer;

    /** Event-loop time in milliseconds from which best-effort work may be placed again. */
    private long bestEffortAtMillis;

    private boolean workWaiting;
    private int largestGangPages;

    QueueScheduler(
            EventLoop loop,
            Settings settings,
            OperatorSettings operatorSettings,
            StoreClient store,
            ClusterView cluster,
            MachineStatus machineStatus) {
        this.loop = loop;
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.store = store;
        this.cluster = cluster;
        this.queueOrder = new QueueOrder(settings, cluster.policy());
        this.quotaReservations =
                new QuotaReservations(
                        settings.teams(),
                        cluster.jobs(),
                        cluster.machines(),
                        cluster.machineTypes(),
                        cluster.policy());
        this.capacityReader = new CapacityReader(loop, cluster, machineStatus);
        this.leaderReservations = new LeaderReservations(loop, cluster);
        this.peerDrainReservations = new PeerDrainReservations(cluster);
        this.escalationPolicy = new EscalationPolicy(loop, capacityReader);
        this.unservedJobs = new UnservedJobTracker(loop, cluster.jobs());
        this.gpuWithholdingTimer = new CapacityWithholdingTimer(loop);
    }

    /** Whether work of this controller waited for free capacity at the last pass. */
    boolean hasWorkWaiting() {
        return workWaiting;
    }

    /** Records that the largest waiting gang needs in one transaction; 0 if none waits. */
    int largestGangPages() {
        return largestGangPages;
    }

    /**
     * Whether work that waits at the leader could be placed on the machine, where a task has just
     * terminated.
     */
    boolean canLeaderUse(String host) {
        return leaderReservations.canLeaderUse(host);
    }

    /**
     * Places waiting tasks in the plan.
     *
     * @param leaderId member id of the leader, if it acknowledges this controller's status; else
     *     null
     * @param terminations records terminations, after urgent work and before best-effort work
     */
    void placeWaitingJobs(SchedulingPlan plan, String leaderId, TerminationRecorder terminations) {
        List<Job> candidates = new ArrayList<>();
        List<Job> jobsAtLeader = new ArrayList<>();
        collectWaitingJobs(plan, plan.leading ? null : leaderId, candidates, jobsAtLeader);
        collectStarvingJobs(plan);
        candidates.addAll(plan.admittedJobs);
        candidates.removeAll(plan.unrecordableJobs);
        if (!cluster.policy().isActiveGenerationReadable()) {
            // This controller can't read the priority classes in force, and nothing may be placed
            // by any others. Terminations are recorded all the same.
            candidates.clear();
        }
        leaderReservations.setJobsAtLeader(jobsAtLeader);
        workWaiting = !candidates.isEmpty();
        largestGangPages = largestGangPages(candidates);
        if (!workWaiting) {
            escalationPolicy.clear();
            unservedJobs.clear();
            gpuWithholdingTimer.reset();
            terminations.recordDue(plan);
            return;
        }
        capacityReader.collectFreeCapacity(plan, isAnyUrgent(candidates));
        plan.urgentReserveCpus =
                cluster.constrainedDemand()
                                .expectedUrgentCpus(SchedulerConstants.CONSTRAINED_RESERVE_SECONDS)
                        / (plan.leading ? 1 : Math.max(1, cluster.membership().shards().size()));
        plan.gpuWithholding =
                gpuWithholdingTimer.beginPass(isAnyOnGpus(candidates) || isAnyOnGpus(jobsAtLeader));
        plan.jobsWithinGuarantee = queueOrder.jobsWithinGuarantee(cluster.jobs().jobsOldestFirst());
        leaderReservations.reserveCapacityForLeader(plan, jobsAtLeader);
        if (plan.leading) {
            peerDrainReservations.reserve(plan);
        }
        walkQueue(plan, candidates, terminations);
    }

    private static int largestGangPages(List<Job> candidates) {
        int largest = 0;
        for (Job job : candidates) {
            largest = job.spec.isGang() ? Math.max(largest, job.pages.length) : largest;
        }
        return largest;
    }

    private static boolean isAnyOnGpus(List<Job> candidates) {
        return candidates.stream().anyMatch(job -> job.spec.gpus() > 0);
    }

    private static boolean isAnyUrgent(List<Job> candidates) {
        for (Job job : candidates) {
            if (job.spec.isUrgent()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sums up the teams' usage and collects the waiting jobs: those of this controller, and those
     * of the leader that their teams' quota shares at the leader admit.
     */
    private void collectWaitingJobs(
            SchedulingPlan plan, String leaderId, List<Job> candidates, List<Job> jobsAtLeader) {
        long nowMillis = loop.nowMillis();
        String memberId = settings.memberId();
        Map<String, TeamUsage> leaderUsage = new HashMap<>();
        for (Job job : cluster.jobs().all()) {
            int placed = job.placedTaskCount();
            if (placed > 0) {
                TeamUsage.add(plan.totalUsage, job.spec, job.possiblyRunningTaskCount());
                if (job.controllerId().equals(memberId)) {
                    TeamUsage.add(plan.ownUsage, job.spec, placed);
                } else if (job.controllerId().equals(leaderId)) {
                    TeamUsage.add(leaderUsage, job.spec, placed);
                }
            }
            if (job.isCancelled() || job.waitingTaskCount() == 0) {
                continue;
            }
            if (job.controllerId().equals(leaderId)) {
                jobsAtLeader.add(job);
            }
            if (job.controllerId().equals(memberId)
                    && nowMillis >= job.notBeforeMillis()
                    && !(job.spec.isGang() && job.placedTaskCount() > 0)) {
                candidates.add(job);
            }
        }
        ClusterMembership.Shard leaderShard =
                leaderId == null ? null : cluster.membership().shardOf(leaderId);
        jobsAtLeader.removeIf(
                job ->
                        leaderShard == null
                                || SchedulingPlan.tasksWithinQuotaShare(
                                                leaderShard, leaderUsage, job.spec)
                                        < (job.spec.isGang() ? job.pendingTaskCount() : 1));
    }

    /** Collects the jobs of which no more tasks have started than are due by their age. */
    private void collectStarvingJobs(SchedulingPlan plan) {
        long wallMillis = loop.wallClockMillis();
        for (Job job : cluster.jobs().jobsOldestFirst()) {
            if (!cluster.policy().hasPriorityRules()
                    && wallMillis - job.acceptedAtEpochMillis()
                            < PolicyConstants.DEFAULT_START_WITHIN_SECONDS
                                    * SchedulerConstants.OVERDUE_RAMP_START_FRACTION
                                    * 1000) {
                break;
            }
            int entitledTasks =
                    job.isCancelled()
                            ? 0
                            : cluster.policy().requiredStartedTaskCount(job, wallMillis);
            if (entitledTasks > 0
                    && job.completedTaskCount() + job.possiblyRunningTaskCount() <= entitledTasks) {
                plan.entitledTasksByStarvingJob.put(job, entitledTasks);
            }
        }
    }

    private void walkQueue(
            SchedulingPlan plan, List<Job> candidates, TerminationRecorder terminations) {
        long wallMillis = loop.wallClockMillis();
        List<QueueOrder.QueueEntry> queue =
                queueOrder.queue(
                        candidates, plan, operatorSettings.zoneRecovery().enabled(), wallMillis);
        Placer placer = new Placer(operatorSettings, cluster, plan);
        boolean storeUnderPressure =
                store.backpressure() > SchedulerConstants.BACKPRESSURE_THRESHOLD_FRACTION;
        Preemption preemption =
                new Preemption(
                        loop, settings, cluster.jobs(), plan, storeUnderPressure, cluster.policy());
        QuotaAccumulator quotaAccumulator =
                new QuotaAccumulator(plan, cluster.jobs(), settings.memberId(), terminations);
        reserveQuota(queue, quotaAccumulator, wallMillis);
        EscalationPolicy.Decisions escalation = escalationPolicy.decisionsFor(plan);
        boolean gpusInDemand = plan.pools.values().stream().anyMatch(pool -> pool.gpusInDemand);
        QueueWalk.Conditions conditions =
                new QueueWalk.Conditions(
                        cluster.machineTypes(),
                        wallMillis,
                        storeUnderPressure,
                        gpusInDemand,
                        takeBestEffortTurn());
        new QueueWalk(
                        plan,
                        placer,
                        preemption,
                        quotaAccumulator,
                        escalation,
                        unservedJobs,
                        conditions)
                .walk(queue, terminations);
        if (conditions.bestEffortDue()) {
            gpuWithholdingTimer.endPass(plan.gpuWithholding);
        }
        escalation.forgetPlacedJobs();
        unservedJobs.forgetFinishedJobs();
    }

    /**
     * Reserves quota for those of this controller's jobs that are their teams' first to get
     * reserved quota.
     */
    private void reserveQuota(
            List<QueueOrder.QueueEntry> queue, QuotaAccumulator quotaAccumulator, long wallMillis) {
        Map<String, List<Job>> reservedByTeam = new HashMap<>();
        for (QueueOrder.QueueEntry entry : queue) {
            Job job = entry.job();
            if (quotaReservations.isEligibleForReservedQuota(job, wallMillis)
                    && reservedByTeam
                            .computeIfAbsent(
                                    job.spec.team(),
                                    team ->
                                            quotaReservations.jobsWithReservedQuota(
                                                    team, wallMillis))
                            .contains(job)) {
                quotaAccumulator.reserveFor(entry);
            }
        }
    }

    /**
     * Whether best-effort work is placed in this pass: while writes are scarce, only at intervals,
     * during which free capacity for it builds up.
     */
    private boolean takeBestEffortTurn() {
        boolean due = loop.nowMillis() >= bestEffortAtMillis;
        if (due) {
            bestEffortAtMillis =
                    loop.nowMillis()
                            + store.backpressureDelayMillis(
                                    0,
                                    SchedulerConstants
                                            .FULL_BACKPRESSURE_BEST_EFFORT_INTERVAL_MILLIS);
        }
        return due;
    }
}
