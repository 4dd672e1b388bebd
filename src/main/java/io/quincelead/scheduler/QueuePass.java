package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One walk over the queue of waiting jobs, most urgent first: reads what room there is, runs the
 * TEBAS pass for each job that could find some, makes room where that is allowed, and says which
 * jobs don't fit this block.
 */
final class QueuePass {
    /** What is known of machines beside their records. */
    interface MachineStatus {
        /** Whether new tasks may go to a machine of that controller's block. */
        boolean isAcceptingTasks(String owner, String host);

        /** Seconds until a start can leave for the machine. */
        double secondsToReach(String host);
    }

    /** How ends of tasks get on record. */
    interface TerminationRecorder {
        /** Those that are due. */
        void recordDue(SchedulingPlan plan);

        /**
         * Those of the job's team, due or not, until its allowance lets in this many tasks of the
         * job.
         */
        void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks);
    }

    private final EventLoop loop;
    private final Settings settings;
    private final OperatorSettings operatorSettings;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final ImageCaches imageCaches;
    private final ConstrainedDemand constrainedDemand;
    private final Policy policy;
    private final QueueOrder queueOrder;
    private final MachineStatus machineStatus;

    /** When low work may be placed again. */
    private long bestEffortAtMillis;

    /** Whether work of ours waits for room, and what work of the leader does. */
    private boolean workWaiting;

    private final List<JobSpec> demandsAtLeader = new ArrayList<>();

    /** Changes that the largest waiting gang needs at once. */
    private int largestGangPages;

    /** Since when a job has found no room in this block. */
    private final Map<Job, Long> stuckSinceMillis = new HashMap<>();

    /** Since when nothing of a waiting job has found a place here. */
    private final Map<Job, Long> unservedSinceMillis = new HashMap<>();

    /** A machine of another block that had room for a job at each look since then. */
    private record PersistentRoom(String host, long sinceMillis) {}

    private final Map<Job, PersistentRoom> persistentRoom = new HashMap<>();

    /** When the room of other blocks may be looked at again. */
    private long nextForeignScanMillis;

    /**
     * Machines on record that this controller may place on, by kind; made anew when a record of
     * machines or blocks has changed.
     */
    private final Map<List<Object>, List<UsableMachine>> usableMachines = new LinkedHashMap<>();

    private long seenMachinesVersion = -1;
    private long seenShardsVersion = -1;
    private boolean seenAsLeader;

    private record UsableMachine(String host, String owner, boolean inOwnShard) {}

    /** Since when there has been room here for a job that waits at the leader. */
    private final Map<Job, Long> roomForLeaderSinceMillis = new HashMap<>();

    QueuePass(
            EventLoop loop,
            Settings settings,
            OperatorSettings operatorSettings,
            StoreClient store,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            ImageCaches imageCaches,
            ConstrainedDemand constrainedDemand,
            Policy policy,
            MachineStatus machineStatus) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.store = store;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.imageCaches = imageCaches;
        this.constrainedDemand = constrainedDemand;
        this.queueOrder = new QueueOrder(settings, policy);
        this.machineStatus = machineStatus;
    }

    /** Whether work of ours waited for room at the last pass. */
    boolean hasWorkWaiting() {
        return workWaiting;
    }

    int largestGangPages() {
        return largestGangPages;
    }

    /** Whether work that waits at the leader could go where a task has just ended. */
    boolean canLeaderUse(String host) {
        MachineTable.Machine machine = machines.get(host);
        MachineTypeCatalog.MachineType machineType =
                machine == null || demandsAtLeader.isEmpty()
                        ? null
                        : catalog.get(machine.machineType());
        if (machineType == null) {
            return false;
        }
        FreeCapacity.MachinePool pool =
                new FreeCapacity.MachinePool(machineType, machine.zone(), machine.spot());
        pool.gpusInDemand =
                constrainedDemand.isGpuInDemand(machineType, machine.zone(), machine.spot());
        return demandsAtLeader.stream().anyMatch(spec -> pool.suits(spec, 0));
    }

    /**
     * Writes into the plan where waiting tasks go. {@code chief}: the leader, if it is heard of;
     * {@code ends} puts ends on record, after urgent work and before low work.
     */
    void placeWaitingJobs(SchedulingPlan plan, String leaderId, TerminationRecorder terminations) {
        List<Job> candidates = new ArrayList<>();
        List<Job> jobsAtLeader = new ArrayList<>();
        collectWaitingJobs(plan, plan.leading ? null : leaderId, candidates, jobsAtLeader);
        collectStarvingJobs(plan);
        candidates.addAll(plan.enteringJobs);
        if (!policy.isReady()) {
            // The classes that rule can't be read here: nothing is placed by others. Ends go on
            // record all the same.
            candidates.clear();
        }
        demandsAtLeader.clear();
        jobsAtLeader.forEach(job -> demandsAtLeader.add(job.spec));
        workWaiting = !candidates.isEmpty();
        largestGangPages = 0;
        for (Job job : candidates) {
            largestGangPages =
                    job.spec.isGang()
                            ? Math.max(largestGangPages, job.pages.length)
                            : largestGangPages;
        }
        if (!workWaiting) {
            stuckSinceMillis.clear();
            persistentRoom.clear();
            unservedSinceMillis.clear();
            terminations.recordDue(plan);
            return;
        }
        collectFreeCapacity(
                plan,
                candidates.stream()
                        .anyMatch(
                                job ->
                                        job.spec.priority().ordinal()
                                                <= JobSpec.Priority.HIGH.ordinal()));
        plan.reservedCpus =
                constrainedDemand.expectedUrgentCpus(SchedulerConstants.CONSTRAINED_RESERVE_SECONDS)
                        / (plan.leading ? 1 : Math.max(1, shards.shards().size()));
        plan.jobsWithinGuarantee = queueOrder.jobsWithinGuarantee(jobs.jobsOldestFirst());
        leaveRoomToLeader(plan, jobsAtLeader);
        walkQueue(plan, candidates, terminations);
    }

    /**
     * Sums up what teams use, and finds the jobs that wait: ours, and the leader's that its team's
     * allowance lets in.
     */
    private void collectWaitingJobs(
            SchedulingPlan plan, String leaderId, List<Job> candidates, List<Job> jobsAtLeader) {
        long nowMillis = loop.nowMillis();
        String memberId = settings.memberId();
        Map<String, double[]> leaderUsage = new HashMap<>();
        for (Job job : jobs.all()) {
            int placed = job.placedTaskCount();
            if (placed > 0) {
                plan.addUsage(plan.totalUsage, job.spec, job.possiblyRunningTaskCount());
                if (job.controllerId.equals(memberId)) {
                    plan.addUsage(plan.ownUsage, job.spec, placed);
                } else if (job.controllerId.equals(leaderId)) {
                    plan.addUsage(leaderUsage, job.spec, placed);
                }
            }
            if (job.isCancelled() || job.waitingTaskCount() == 0) {
                continue;
            }
            if (job.controllerId.equals(leaderId)) {
                jobsAtLeader.add(job);
            }
            if (job.controllerId.equals(memberId)
                    && nowMillis >= job.notBeforeMillis
                    && !(job.spec.isGang() && job.placedTaskCount() > 0)) {
                candidates.add(job);
            }
        }
        ClusterMembership.Shard leaderShard = leaderId == null ? null : shards.shardOf(leaderId);
        jobsAtLeader.removeIf(
                j ->
                        leaderShard == null
                                || SchedulingPlan.tasksWithinQuotaShare(
                                                leaderShard, leaderUsage, j.spec)
                                        < (j.spec.isGang() ? j.pendingTaskCount() : 1));
    }

    /**
     * Whether the team's allowance here would do for the gang when all that ends by itself has
     * ended; if not, saving for it only idles the team.
     */
    private boolean couldSaveUpFor(SchedulingPlan plan, Job gang, int tasks) {
        double serviceCpus = 0;
        for (Job job : jobs.all()) {
            if (job.spec.isService()
                    && job.spec.team().equals(gang.spec.team())
                    && job.controllerId.equals(settings.memberId())) {
                serviceCpus += job.placedTaskCount() * job.spec.cpus();
            }
        }
        return plan.shard.quotaShare(gang.spec.team()).cpus() - serviceCpus
                >= tasks * gang.spec.cpus() - 1e-9;
    }

    private void collectStarvingJobs(SchedulingPlan plan) {
        long wallMillis = loop.wallClockMillis();
        for (Job job : jobs.jobsOldestFirst()) {
            if (!policy.isInForce()
                    && wallMillis - job.acceptedAtEpochMillis
                            < PolicyConstants.DEFAULT_BEGIN_WITHIN_SECONDS
                                    * SchedulerConstants.OVERDUE_RAMP_START_FRACTION
                                    * 1000) {
                break;
            }
            int entitledTasks =
                    job.isCancelled() ? 0 : policy.requiredStartedTaskCount(job, wallMillis);
            if (entitledTasks > 0
                    && job.completedTaskCount() + job.possiblyRunningTaskCount() <= entitledTasks) {
                plan.entitledTasksOfStarving.put(job, entitledTasks);
            }
        }
    }

    private void walkQueue(
            SchedulingPlan plan, List<Job> candidates, TerminationRecorder terminations) {
        long wallMillis = loop.wallClockMillis();
        List<QueueOrder.RankedJob> queue = new ArrayList<>(candidates.size());
        for (Job waitingJob : candidates) {
            QueueOrder.RankedJob ranked =
                    queueOrder.rank(
                            waitingJob, plan.jobsWithinGuarantee.contains(waitingJob), wallMillis);
            if (operatorSettings.zoneRecovery().enabled() && waitingJob.spec.isService()) {
                // One replica of every model before any second one; then those of which the largest
                // part is missing.
                ranked =
                        ranked.withReplicaRank(
                                1
                                        + waitingJob.possiblyRunningTaskCount()
                                                / (double) waitingJob.spec.taskCount(),
                                Integer.MAX_VALUE);
                if (waitingJob.possiblyRunningTaskCount() == 0 && waitingJob.spec.taskCount() > 1) {
                    queue.add(ranked.withReplicaRank(0, 1));
                }
            }
            queue.add(ranked);
            int starvingTasks =
                    plan.entitledTasksOfStarving.getOrDefault(waitingJob, 0)
                            - waitingJob.completedTaskCount()
                            - waitingJob.possiblyRunningTaskCount();
            int firstStarts =
                    waitingJob.spec.isGang()
                            ? starvingTasks
                            : waitingJob.completedTaskCount()
                                                    + waitingJob.possiblyRunningTaskCount()
                                            > 0
                                    ? 0
                                    : Math.min(
                                            starvingTasks,
                                            1
                                                    + waitingJob.spec.taskCount()
                                                            / SchedulerConstants
                                                                    .OVERDUE_FIRST_TASKS_DIVISOR);
            if (firstStarts > 0) {
                queue.add(ranked.asStarving(true, firstStarts));
            }
            if (starvingTasks > Math.max(0, firstStarts)
                    && ranked.tier() > QueueOrder.TIER_STARVING) {
                queue.add(ranked.asStarving(false, starvingTasks - Math.max(0, firstStarts)));
            }
        }
        queue.sort(QueueOrder.BY_QUEUE_ORDER);
        Placer placer = new Placer(operatorSettings, machines, imageCaches, policy, plan);
        boolean storeUnderPressure =
                store.backpressure() > SchedulerConstants.BACKPRESSURE_THRESHOLD_FRACTION;
        Preemption preemption =
                new Preemption(loop, settings, jobs, plan, storeUnderPressure, policy);
        EscalationDecision escalation = new EscalationDecision(plan);
        boolean gpusInDemand = plan.pools.values().stream().anyMatch(k -> k.gpusInDemand);
        boolean bestEffortDue = loop.nowMillis() >= bestEffortAtMillis;
        if (bestEffortDue) {
            bestEffortAtMillis =
                    loop.nowMillis()
                            + store.throttledDelayMillis(
                                    0, SchedulerConstants.THROTTLED_BEST_EFFORT_INTERVAL_MILLIS);
        }
        Set<Job> stuckJobs = new HashSet<>();
        // Teams whose ends are all on record or in this plan, and whose allowance is short all the
        // same.
        Set<String> teamsShortOfQuota = new HashSet<>();
        Map<String, Integer> savingTierByTeam = new HashMap<>();
        int starvingRecordBudget =
                (int)
                        Math.min(
                                SchedulerConstants.OVERDUE_RECORDS_PER_CYCLE,
                                queue.stream()
                                        .filter(ranked -> ranked.tier() == QueueOrder.TIER_STARVING)
                                        .count());
        int starvingRecords = 0;
        boolean terminationsRecorded = false;
        for (QueueOrder.RankedJob ranked : queue) {
            Job job = ranked.job();
            boolean bestEffort = ranked.priority() == JobSpec.Priority.BEST_EFFORT.ordinal();
            if (ranked.starving()
                    && (bestEffort && !bestEffortDue
                            || storeUnderPressure
                                    && starvingRecords
                                            >= SchedulerConstants.OVERDUE_RECORDS_PER_CYCLE
                                    && !plan.containsRecordOf(job))) {
                // Late work gets its turn, but where changes are short not those that urgent work
                // needs next.
                continue;
            }
            if (!terminationsRecorded && bestEffort && !ranked.starving()) {
                // Where changes are short, urgent work comes before the record of ends, and that
                // before low work.
                terminationsRecorded = true;
                terminations.recordDue(plan);
            }
            // Where changes are short, what is guaranteed would take all records of every round.
            int reservedRecords =
                    ranked.tier() == QueueOrder.TIER_GUARANTEED ? starvingRecordBudget : 0;
            if (plan.isFull(reservedRecords) && !plan.containsRecordOf(job)) {
                // No further record fits, but those in the change may hold more: a job that enters
                // with it gets its places at once.
                plan.truncated = true;
                if (stuckSinceMillis.containsKey(job)) {
                    stuckJobs.add(job);
                }
                continue;
            }
            if (!bestEffortDue && bestEffort) {
                stuckJobs.add(job);
                continue;
            }
            if (ranked.tier()
                    >= savingTierByTeam.getOrDefault(job.spec.team(), Integer.MAX_VALUE)) {
                // What comes free of the team's allowance is gathered for a gang that would be left
                // behind.
                stuckJobs.add(job);
                continue;
            }
            int wanted = plan.unplacedTasks(job);
            if (plan.tasksWithinQuotaShare(job.spec) < wanted
                    && teamsShortOfQuota.add(job.spec.team())) {
                terminations.recordForQuota(plan, job.spec, wanted);
                if (plan.tasksWithinQuotaShare(job.spec) >= wanted) {
                    teamsShortOfQuota.remove(job.spec.team());
                }
            }
            boolean alreadyInPlan = ranked.starving() && plan.containsRecordOf(job);
            int unplaced = placer.place(ranked, false);
            if (gpusInDemand && unplaced < Math.min(ranked.maxTasks(), wanted)) {
                unservedSinceMillis.put(job, loop.nowMillis());
            }
            if (unplaced > 0 && ranked.starving()) {
                if (!job.spec.isUnconstrained()) {
                    // Ordinary work finds machines elsewhere: those whose GPUs gangs seek are no
                    // way out for it.
                    unplaced = placer.place(ranked, true);
                }
                starvingRecords += !alreadyInPlan && plan.containsRecordOf(job) ? 1 : 0;
                placer.reserveMachines(job.spec, unplaced);
                if (job.spec.isGang()
                        && plan.tasksWithinQuotaShare(job.spec) < unplaced
                        && couldSaveUpFor(plan, job, unplaced)) {
                    savingTierByTeam.putIfAbsent(job.spec.team(), ranked.tier());
                }
                preemption.makeRoom(ranked, unplaced, placer.allowedZones(job));
            } else if (ranked.starving()) {
                starvingRecords += alreadyInPlan ? 0 : 1;
            } else if (unplaced > 0) {
                boolean waitedLong =
                        ranked.tier() <= QueueOrder.TIER_GUARANTEED
                                && wallMillis - job.acceptedAtEpochMillis
                                        > SchedulerConstants.LONG_WAIT_SECONDS * 1000;
                if (waitedLong
                        && job.spec.isGang()
                        && plan.tasksWithinQuotaShare(job.spec) < unplaced
                        && couldSaveUpFor(plan, job, unplaced)) {
                    // Urgent work comes first anyway, but single tasks of all other work fit into
                    // what is too little for a gang.
                    savingTierByTeam.putIfAbsent(job.spec.team(), ranked.tier());
                }
                int withoutRoom = preemption.makeRoom(ranked, unplaced, placer.allowedZones(job));
                // What is kept for others' GPUs serves work that nothing else has served for long:
                // empty, it would serve nobody.
                boolean unservedTooLong =
                        gpusInDemand
                                && loop.nowMillis()
                                                - unservedSinceMillis.computeIfAbsent(
                                                        job, waitingJob -> loop.nowMillis())
                                        > SchedulerConstants.STARVING_AFTER_MILLIS;
                if (withoutRoom > 0
                        && (ranked.priority() == JobSpec.Priority.PRODUCTION.ordinal()
                                || waitedLong
                                || unservedTooLong)) {
                    unplaced = placer.place(ranked, true);
                }
                if (unplaced > 0 && !plan.leading && escalation.shouldEscalate(job, stuckJobs)) {
                    plan.jobsToEscalate.add(job);
                }
            }
        }
        if (!terminationsRecorded) {
            terminations.recordDue(plan);
        }
        stuckSinceMillis.keySet().retainAll(stuckJobs);
        persistentRoom.keySet().retainAll(stuckJobs);
        unservedSinceMillis
                .keySet()
                .removeIf(
                        waitingJob ->
                                waitingJob.waitingTaskCount() == 0
                                        || jobs.get(waitingJob.spec.jobId()) != waitingJob);
    }

    /**
     * Leaves room here to work that comes first and that the leader is placing, where it could go.
     * A leader that hasn't used the room in this time can't; waiting on would idle the block.
     */
    private void leaveRoomToLeader(SchedulingPlan plan, List<Job> jobsAtLeader) {
        roomForLeaderSinceMillis.keySet().retainAll(Set.copyOf(jobsAtLeader));
        UnsatisfiableDemands unsatisfiable = new UnsatisfiableDemands();
        for (Job job : jobsAtLeader) {
            JobSpec spec = job.spec;
            boolean hasRoom = !unsatisfiable.covers(spec) && hasRoomFor(plan, spec);
            if (!hasRoom) {
                unsatisfiable.add(spec);
                roomForLeaderSinceMillis.remove(job);
            } else if (loop.nowMillis()
                            - roomForLeaderSinceMillis.computeIfAbsent(job, x -> loop.nowMillis())
                    > SchedulerConstants.LEADER_PRECEDENCE_MILLIS) {
                continue;
            }
            for (FreeCapacity.MachinePool pool : plan.pools.values()) {
                if (pool.allows(spec)) {
                    pool.maxTier = Math.min(pool.maxTier, plan.tier(job));
                }
            }
        }
    }

    private static boolean hasRoomFor(SchedulingPlan plan, JobSpec spec) {
        for (FreeCapacity.MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine :
                    pool.allows(spec) ? pool.machines : List.<FreeCapacity>of()) {
                if (machine.hasFreeCapacity() && machine.taskCapacity(spec) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether jobs that found no room here should go to the leader. */
    private final class EscalationDecision {
        private final SchedulingPlan plan;

        /** Machines of other blocks that have room; read when first needed. */
        private Map<List<Object>, FreeCapacity.MachinePool> otherPools;

        /** Tasks that others had room for, of jobs that had too little of it. */
        private final Map<JobSpec, Integer> tasksFound = new HashMap<>();

        EscalationDecision(SchedulingPlan plan) {
            this.plan = plan;
        }

        /**
         * One whose kind of machine this block hasn't got goes at once; any other one when it has
         * waited here for a while and others have room that this block lacks. Without the second
         * condition a full cluster would hand every job to the leader, who would then place all
         * work alone. Little room counts when it lasts: it was left to a team at its limit whose
         * allowance lay with controllers without room, for as long as tasks run.
         */
        boolean shouldEscalate(Job job, Set<Job> stuckJobs) {
            JobSpec spec = job.spec;
            if (plan.tasksWithinQuotaShare(spec) < (spec.isGang() ? job.pendingTaskCount() : 1)) {
                // Its team's allowance here is what it lacks; that comes to where the want is. But
                // of two gangs on two
                // controllers each could be given half of what it needs, for ever: the leader
                // serves one after the other.
                stuckJobs.add(job);
                return spec.isGang()
                        && loop.nowMillis()
                                        - stuckSinceMillis.computeIfAbsent(
                                                job, j -> loop.nowMillis())
                                >= SchedulerConstants.ESCALATE_GANG_AFTER_MILLIS;
            }
            if (spec.isGang()
                    || spec.zoneAffinity()
                    || spec.zoneSpread()
                    || plan.pools.values().stream().noneMatch(pool -> pool.allows(spec))) {
                return true;
            }
            stuckJobs.add(job);
            long sinceMillis = stuckSinceMillis.computeIfAbsent(job, j -> loop.nowMillis());
            if (loop.nowMillis() - sinceMillis < SchedulerConstants.ESCALATE_AFTER_MILLIS
                    || loop.nowMillis() < nextForeignScanMillis && otherPools == null) {
                return false;
            }
            nextForeignScanMillis =
                    loop.nowMillis() + SchedulerConstants.OTHER_SHARDS_CHECK_INTERVAL_MILLIS;
            int minTasks = Math.min(job.pendingTaskCount(), SchedulerConstants.MIN_ESCALATED_TASKS);
            for (Map.Entry<JobSpec, Integer> entry : tasksFound.entrySet()) {
                if (entry.getValue() < minTasks
                        && UnsatisfiableDemands.isAtLeastAsDemanding(spec, entry.getKey())) {
                    return false;
                }
            }
            int tasksElsewhere = 0;
            String hostWithRoom = null;
            boolean roomPersists = false;
            PersistentRoom previous = persistentRoom.get(job);
            for (FreeCapacity.MachinePool pool : otherPools().values()) {
                for (FreeCapacity machine :
                        pool.allows(spec) ? pool.machines : List.<FreeCapacity>of()) {
                    int capacity = machine.taskCapacity(spec);
                    tasksElsewhere += capacity;
                    if (tasksElsewhere >= minTasks) {
                        return true;
                    }
                    hostWithRoom = capacity > 0 ? machine.host : hostWithRoom;
                    roomPersists |=
                            capacity > 0 && previous != null && previous.host.equals(machine.host);
                }
            }
            tasksFound.put(spec, tasksElsewhere);
            if (hostWithRoom == null) {
                persistentRoom.remove(job);
            } else if (!roomPersists) {
                persistentRoom.put(job, new PersistentRoom(hostWithRoom, loop.nowMillis()));
            }
            // Room for one serves one: all that wait here would else go to the leader for it. What
            // low work leaves to urgent arrivals lasts, too.
            boolean bestEffort =
                    spec.priority() == JobSpec.Priority.BEST_EFFORT
                            && spec.isUnconstrained()
                            && plan.reservedCpus > 0;
            if (bestEffort
                    || !roomPersists
                    || loop.nowMillis() - previous.sinceMillis
                            < SchedulerConstants.ESCALATE_TO_LASTING_CAPACITY_AFTER_MILLIS) {
                return false;
            }
            persistentRoom.clear();
            return true;
        }

        private Map<List<Object>, FreeCapacity.MachinePool> otherPools() {
            if (otherPools == null) {
                SchedulingPlan others = new SchedulingPlan(plan.shard, false, 0, 0, 0);
                for (MachineTable.Machine machine : machines.all()) {
                    MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
                    if (shards.ownerOf(machine.host()) != null
                            && !plan.shard.fencingTokensByHost().containsKey(machine.host())
                            && machineType != null
                            && !machine.releasing()
                            && !machine.cordoned()
                            && imageCaches.isKnown(machine.host())) {
                        others.addMachine(
                                new FreeCapacity(
                                        machine.host(),
                                        others.pool(machineType, machine.zone(), machine.spot()),
                                        false,
                                        jobs.loadOf(machine.host())));
                    }
                }
                otherPools = others.pools;
            }
            return otherPools;
        }
    }

    /** {@code urgent}: work waits for which it counts how soon a worker can be told. */
    private void collectFreeCapacity(SchedulingPlan plan, boolean urgent) {
        refreshUsableMachines(plan);
        usableMachines.forEach(
                (poolKey, poolMachines) -> {
                    MachineTypeCatalog.MachineType machineType =
                            catalog.get((String) poolKey.get(0));
                    if (machineType == null) {
                        return;
                    }
                    FreeCapacity.MachinePool pool =
                            plan.pool(
                                    machineType, (String) poolKey.get(1), (Boolean) poolKey.get(2));
                    for (UsableMachine usable : poolMachines) {
                        if (machineStatus.isAcceptingTasks(usable.owner, usable.host)) {
                            FreeCapacity machine =
                                    new FreeCapacity(
                                            usable.host,
                                            pool,
                                            usable.inOwnShard,
                                            jobs.loadOf(usable.host));
                            machine.reachSeconds =
                                    urgent ? machineStatus.secondsToReach(usable.host) : 0;
                            plan.addMachine(machine);
                        }
                    }
                });
        plan.pools.values().removeIf(k -> k.machines.isEmpty());
        plan.pools
                .values()
                .forEach(
                        k ->
                                k.gpusInDemand =
                                        constrainedDemand.isGpuInDemand(
                                                k.machineType, k.zone, k.spot));
    }

    /** Most rounds see the same machines as the one before. */
    private void refreshUsableMachines(SchedulingPlan plan) {
        if (seenMachinesVersion == machines.version()
                && seenShardsVersion == shards.shardVersion()
                && seenAsLeader == plan.leading) {
            return;
        }
        seenMachinesVersion = machines.version();
        seenShardsVersion = shards.shardVersion();
        seenAsLeader = plan.leading;
        usableMachines.clear();
        Map<String, Long> ownMachines = plan.shard.fencingTokensByHost();
        if (plan.leading) {
            for (MachineTable.Machine machine : machines.all()) {
                addIfUsable(machine, ownMachines.containsKey(machine.host()));
            }
        } else {
            for (String host : ownMachines.keySet()) {
                MachineTable.Machine machine = machines.get(host);
                if (machine != null) {
                    addIfUsable(machine, true);
                }
            }
        }
    }

    private void addIfUsable(MachineTable.Machine machine, boolean inOwnShard) {
        String owner = shards.ownerOf(machine.host());
        if (!machine.releasing() && !machine.cordoned() && owner != null) {
            usableMachines
                    .computeIfAbsent(
                            List.of(machine.machineType(), machine.zone(), machine.spot()),
                            k -> new ArrayList<>())
                    .add(new UsableMachine(machine.host(), owner, inOwnShard));
        }
    }
}
