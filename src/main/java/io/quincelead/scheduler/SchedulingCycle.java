package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.peer.PeerMessenger;
import io.quincelead.policy.Policy;
import io.quincelead.store.IndeterminateWriteFence;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.worker.ShardWorker;
import io.quincelead.worker.WorkerGateway;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rounds: each gathers the evidence of ends, places waiting tasks and commits all of it as one
 * durable write, guarded by this controller's block, by each job and by each chunk it touches. No
 * start leaves before that is confirmed.
 */
public final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);

    /** States of the round; {@link #transitionTo} is the one function that changes them. */
    private enum Phase {
        /** Nothing to do. */
        IDLE,
        /** It runs after the gap. */
        SCHEDULED,
        /**
         * It was due and could not be made; it is tried again after a pause that nobody shortens.
         */
        BACKING_OFF,
        /** Its change is on its way to the store. */
        COMMITTING
    }

    private final EventLoop loop;
    private final Settings settings;
    private final MembershipLease membership;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Runnable onCycleSettled;
    private final Policy policy;
    private WorkerGateway workerGateway;
    private Leader leader;
    private PeerMessenger peers;
    private Phase phase = Phase.IDLE;
    private boolean cycleRequestedMeanwhile;

    /** Whether the last plan had more to write than one change holds. */
    private boolean lastPlanTruncated;

    private long lastCycleMillis;

    /**
     * When the round that is due runs; far off if none is. A timer that finds another time here is
     * out of date.
     */
    private long scheduledAtMillis = Long.MAX_VALUE;

    private final QueuePass queuePass;

    /**
     * Two rounds that know nothing of each other may use up the same allowance, or choose two zones
     * for one job.
     */
    private final IndeterminateWriteFence fence;

    /** Chunks with ends that aren't on record, and when they should be. */
    private final Map<PageRef, Long> unrecordedTerminations = new LinkedHashMap<>();

    private record PageRef(Job job, int pageIndex) {}

    /**
     * Urgent jobs that are being submitted: recorded by the next round, with their first places if
     * there are any.
     */
    private final ArrayDeque<EnteringJob> enteringJobs = new ArrayDeque<>();

    private record EnteringJob(
            Job job, long deadlineMillis, Transaction.OutcomeHandler onOutcome) {}

    public SchedulingCycle(
            EventLoop loop,
            Settings settings,
            OperatorSettings operatorSettings,
            MembershipLease membership,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            ImageCaches imageCaches,
            ConstrainedDemand constrainedDemand,
            Policy policy,
            Runnable onCycleSettled) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.membership = membership;
        this.watchCache = watchCache;
        this.store = store;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.onCycleSettled = onCycleSettled;
        this.fence =
                new IndeterminateWriteFence(
                        loop,
                        store,
                        watchCache,
                        StoreKeys.SHARD_PREFIX + settings.memberId(),
                        () ->
                                shards.localShard() == null
                                        ? null
                                        : new Transaction()
                                                .requireRevision(
                                                        shards.localShard().storeKey(),
                                                        watchCache.modRevision(
                                                                shards.localShard().storeKey()))
                                                .put(
                                                        shards.localShard().storeKey(),
                                                        shards.localShard().encode(),
                                                        membership.leaseId()));
        this.queuePass =
                new QueuePass(
                        loop,
                        settings,
                        operatorSettings,
                        store,
                        shards,
                        jobs,
                        machines,
                        catalog,
                        imageCaches,
                        constrainedDemand,
                        policy,
                        new QueuePass.MachineStatus() {
                            @Override
                            public boolean isAcceptingTasks(String owner, String host) {
                                ShardWorker own = workerGateway.worker(host);
                                return owner.equals(settings.memberId())
                                        ? own != null && own.isSchedulable()
                                        : peers.isReportedSchedulable(owner, host);
                            }

                            @Override
                            public double secondsToReach(String host) {
                                ShardWorker own = workerGateway.worker(host);
                                return own != null
                                        ? own.startDelaySeconds()
                                        : settings.workerTimings().heartbeatSeconds() / 2;
                            }
                        });
    }

    public void setCollaborators(WorkerGateway gateway, Leader newLeader, PeerMessenger messenger) {
        workerGateway = gateway;
        leader = newLeader;
        peers = messenger;
    }

    private void transitionTo(Phase next) {
        phase = next;
    }

    /**
     * Takes in an urgent job that is being submitted. One change then records both that it is
     * accepted and where its tasks go, and its first start can leave as soon as its user is
     * answered.
     */
    public boolean admit(Job job, long patienceMillis, Transaction.OutcomeHandler onOutcome) {
        boolean urgent = job.spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
        if (!urgent
                || !job.hasSinglePage()
                || !membership.isValid()
                || shards.localShard() == null
                || enteringJobs.size() >= StoreConstants.MAX_WAITING_COMMITS
                || enteringJobs.stream()
                        .anyMatch(n -> n.job.spec.jobId().equals(job.spec.jobId()))) {
            return false;
        }
        enteringJobs.addLast(new EnteringJob(job, loop.nowMillis() + patienceMillis, onOutcome));
        requestCycle();
        return true;
    }

    private void expireEnteringJobs() {
        while (!enteringJobs.isEmpty()
                && enteringJobs.peekFirst().deadlineMillis < loop.nowMillis()) {
            enteringJobs
                    .pollFirst()
                    .onOutcome
                    .onOutcome(new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
        }
    }

    /**
     * Tells what became of the round to those who entered with it; who isn't concerned by a
     * conflict tries again.
     */
    private void answerEnteringJobs(List<EnteringJob> entering, Transaction.Outcome outcome) {
        for (int i = entering.size() - 1; i >= 0; i--) {
            EnteringJob entry = entering.get(i);
            boolean concernsThisJob =
                    outcome.failedKeys().contains(entry.job.storeKey())
                            || outcome.failedKeys()
                                    .contains(
                                            StoreKeys.FINAL_STATE_PREFIX + entry.job.spec.jobId());
            if (outcome.result() == Transaction.Result.THROTTLED
                    || outcome.result() == Transaction.Result.CONFLICT && !concernsThisJob) {
                enteringJobs.addFirst(entry);
            } else {
                entry.onOutcome.onOutcome(outcome);
            }
        }
    }

    public boolean isCyclePending() {
        return phase != Phase.IDLE;
    }

    /** Something changed: a round follows, together with whatever else comes within the gap. */
    public void requestCycle() {
        // Who is being submitted isn't kept waiting, nor what a full change had no room for; all
        // else gathers longer while
        // changes are short, and shares records.
        requestCycleAfterGap(
                lastPlanTruncated || !enteringJobs.isEmpty()
                        ? SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS
                        : store.throttledDelayMillis(
                                SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS,
                                SchedulerConstants.THROTTLED_CYCLE_INTERVAL_MILLIS));
    }

    private void requestCycleAfterGap(long gapMillis) {
        if (phase == Phase.IDLE) {
            transitionTo(Phase.SCHEDULED);
        }
        if (phase == Phase.SCHEDULED) {
            scheduleAt(lastCycleMillis + gapMillis);
        } else if (phase == Phase.COMMITTING) {
            // What came after the plan was made isn't in it: evidence would otherwise wait for the
            // next event.
            cycleRequestedMeanwhile = true;
        }
    }

    /** Runs the round then, unless it is to run sooner. */
    private void scheduleAt(long atMillis) {
        if (atMillis >= scheduledAtMillis) {
            return;
        }
        scheduledAtMillis = atMillis;
        loop.runAfter(
                Math.max(1, atMillis - loop.nowMillis()),
                () -> {
                    if (scheduledAtMillis == atMillis) {
                        runCycle();
                    }
                });
    }

    private void backOff(long delayMillis) {
        transitionTo(Phase.BACKING_OFF);
        scheduleAt(loop.nowMillis() + delayMillis);
    }

    /**
     * There is evidence of an end. It counts here at once; on record it may come later, gathered
     * with others of its chunk, unless somebody else waits to hear of it: the task's next start,
     * another controller, or the leader for room.
     */
    public void onTaskTerminated(Placement placement) {
        boolean ownJob = placement.job.controllerId.equals(settings.memberId());
        boolean gone = placement.phase() == Placement.Phase.GONE;
        // Low work that was displaced can wait for its next place while changes are short; others
        // want theirs at once.
        boolean canWait =
                gone
                        && placement.job.spec.priority() == JobSpec.Priority.BEST_EFFORT
                        && store.backpressure()
                                > SchedulerConstants.BACKPRESSURE_THRESHOLD_FRACTION;
        boolean urgent =
                gone && !canWait || placement.job.spec.isGang() || placement.job.isCancelled();
        int pageIndex = placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE;
        boolean awaitedElsewhere =
                queuePass.canLeaderUse(placement.host)
                        || !ownJob
                                && placement.job.page(pageIndex).placements.stream()
                                        .allMatch(Placement::isTerminated);
        long delayMillis =
                urgent
                        ? 0
                        : awaitedElsewhere
                                ? SchedulerConstants.AWAITED_COMPLETION_BATCH_MILLIS
                                : store.throttledDelayMillis(
                                        ownJob
                                                ? SchedulerConstants.COMPLETION_BATCH_MILLIS
                                                : SchedulerConstants
                                                        .AWAITED_COMPLETION_BATCH_MILLIS,
                                        SchedulerConstants.THROTTLED_COMPLETION_BATCH_MILLIS);
        unrecordedTerminations.merge(
                new PageRef(placement.job, pageIndex), loop.nowMillis() + delayMillis, Math::min);
        if (urgent || queuePass.hasWorkWaiting()) {
            requestCycle();
        }
    }

    /** Wakes a round if work waits or an end should be on record by now. */
    public void requestCycleIfNeeded() {
        boolean terminationDue =
                shards.localShard() != null
                        && unrecordedTerminations.values().stream()
                                .anyMatch(t -> t <= loop.nowMillis());
        if (terminationDue || hasWaitingWork()) {
            requestCycle();
        }
    }

    private boolean hasWaitingWork() {
        if (shards.localShard() == null) {
            return false;
        }
        for (Job job : jobs.all()) {
            if (!job.isCancelled()
                            && job.pendingTaskCount() > 0
                            && job.controllerId.equals(settings.memberId())
                    || job.spec.isGang()) {
                return true;
            }
        }
        return false;
    }

    private void runCycle() {
        lastCycleMillis = loop.nowMillis();
        scheduledAtMillis = Long.MAX_VALUE;
        expireEnteringJobs();
        if (!membership.isValid() || shards.localShard() == null || !watchCache.isSynced()) {
            // Evidence may be waiting: the round is only put off, or nothing might wake it again.
            backOff(StoreConstants.RETRY_DELAY_MILLIS);
            return;
        }
        if (!fence.trySettle()) {
            backOff(StoreConstants.RETRY_DELAY_MILLIS);
            return;
        }
        int writeBudget = Math.min(store.affordableWrites(), store.maxTransactionOperations());
        boolean admitting = !enteringJobs.isEmpty() && store.canAffordUrgentWrite();
        if (admitting) {
            writeBudget =
                    Math.max(
                            writeBudget,
                            Math.min(enteringJobs.size(), store.maxTransactionOperations()));
        } else if (writeBudget
                < Math.min(
                        Math.max(
                                SchedulerConstants.MIN_CHANGES_PER_CYCLE,
                                queuePass.largestGangPages()),
                        store.maxTransactionOperations())) {
            // Over our share of the store's limit: a plan made now would be out of date when it may
            // be written.
            backOff(StoreConstants.THROTTLED_COMMIT_DELAY_MILLIS);
            return;
        }
        List<EnteringJob> admitted = new ArrayList<>();
        while (admitting
                && !enteringJobs.isEmpty()
                && admitted.size()
                        < SchedulingPlan.maxRecords(
                                writeBudget,
                                shards.shards().size(),
                                store.maxTransactionOperations())) {
            EnteringJob entry = enteringJobs.pollFirst();
            if (jobs.get(entry.job.spec.jobId()) == null) {
                admitted.add(entry);
            } else {
                // Recorded since it was taken in, by another submission of the same job: it must
                // not be told as new, nor be planned twice.
                entry.onOutcome.onOutcome(
                        new Transaction.Outcome(
                                Transaction.Result.CONFLICT, 0, Set.of(entry.job.storeKey())));
            }
        }
        SchedulingPlan plan;
        try {
            plan = makePlan(writeBudget, admitted.stream().map(EnteringJob::job).toList());
        } catch (RuntimeException failure) {
            // A defect must not end all rounds: this one is given up, and what waits for it is
            // looked at again.
            transitionTo(Phase.IDLE);
            answerEnteringJobs(
                    admitted, new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
            throw failure;
        }
        // Where the store's budget is what limits a change, another one right after it would be no
        // fuller.
        lastPlanTruncated = plan.truncated && writeBudget >= store.maxTransactionOperations();
        if (plan.transaction.isEmpty()) {
            transitionTo(Phase.IDLE);
            onCycleSettled.run();
            return;
        }
        boolean moreToDo =
                plan.truncated || !plan.jobsToEscalate.isEmpty() || !enteringJobs.isEmpty();
        transitionTo(Phase.COMMITTING);
        cycleRequestedMeanwhile = false;
        store.commit(
                plan.transaction,
                outcome -> {
                    transitionTo(Phase.IDLE);
                    fence.onOutcome(plan.transaction, outcome);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(plan.transaction, outcome.storeRevision());
                    }
                    answerEnteringJobs(admitted, outcome);
                    switch (outcome.result()) {
                        case COMMITTED -> {
                            if (moreToDo || cycleRequestedMeanwhile) {
                                requestCycle();
                            }
                        }
                        case CONFLICT -> {
                            LOG.debug("round: conflict on {}", outcome.failedKeys());
                            loop.runAfter(
                                    SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS,
                                    this::requestCycle);
                        }
                        // Refused: nothing happened, the plan is made anew. Unknown: the same, once
                        // the fence has settled it.
                        default ->
                                loop.runAfter(
                                        StoreConstants.RETRY_DELAY_MILLIS, this::requestCycle);
                    }
                    onCycleSettled.run();
                });
    }

    private SchedulingPlan makePlan(int writeBudget, List<Job> admitted) {
        SchedulingPlan plan =
                new SchedulingPlan(
                        shards.localShard(),
                        leader.isLeading(),
                        shards.shards().size(),
                        writeBudget,
                        store.maxTransactionOperations());
        plan.enteringJobs.addAll(admitted);
        admitted.forEach(j -> plan.edit(j, 0));
        stopBrokenGangs(plan);
        drainMachines(plan);
        queuePass.placeWaitingJobs(
                plan,
                peers.isAcknowledgedByLeader() ? shards.leaderId() : null,
                new QueuePass.TerminationRecorder() {
                    @Override
                    public void recordDue(SchedulingPlan p) {
                        recordDueTerminations(p);
                    }

                    @Override
                    public void recordForQuota(SchedulingPlan p, JobSpec s, int tasks) {
                        recordTerminationsForQuota(p, s, tasks);
                    }
                });
        encodePlan(plan);
        escalateToLeader(plan);
        return plan;
    }

    /**
     * Puts the ends on record that are due; a chunk that is written anyway takes all its ends
     * along.
     */
    private void recordDueTerminations(SchedulingPlan plan) {
        long nowMillis = loop.nowMillis();
        for (Map.Entry<PageRef, Long> entry : new ArrayList<>(unrecordedTerminations.entrySet())) {
            PageRef ref = entry.getKey();
            TaskStatePage page =
                    jobs.get(ref.job.spec.jobId()) == ref.job ? ref.job.pages[ref.pageIndex] : null;
            if (page == null || page.placements.stream().noneMatch(Placement::isTerminated)) {
                unrecordedTerminations.remove(ref);
            } else if (entry.getValue() <= nowMillis) {
                TaskStatePage.Edit edit = plan.edit(ref.job, ref.pageIndex);
                if (edit == null) {
                    return;
                }
                if (ref.job.spec.isGang()
                        && page.placements.stream()
                                .anyMatch(p -> p.phase() == Placement.Phase.COMPLETED)) {
                    completeGang(plan, ref.job);
                }
            }
        }
    }

    private void recordTerminationsForQuota(SchedulingPlan plan, JobSpec spec, int tasks) {
        for (PageRef ref : unrecordedTerminations.keySet()) {
            if (plan.tasksWithinQuotaShare(spec) >= tasks || plan.isFull()) {
                return;
            }
            Job job = ref.job;
            if (job.spec.team().equals(spec.team())
                    && job.controllerId.equals(settings.memberId())
                    && jobs.get(job.spec.jobId()) == job) {
                plan.edit(job, ref.pageIndex);
            }
        }
    }

    /** The tasks of a gang complete together: if one is done, all are. */
    private void completeGang(SchedulingPlan plan, Job job) {
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            TaskStatePage.Edit edit = plan.edit(job, pageIndex);
            for (int i = 0; edit != null && i < edit.page().taskCount(); i++) {
                edit.markCompleted(edit.page().firstTaskIndex() + i);
            }
        }
    }

    /**
     * A gang that lost a task can't go on: the rest is stopped, and the next attempt starts when
     * all are gone.
     */
    private void stopBrokenGangs(SchedulingPlan plan) {
        for (Job job : jobs.all()) {
            if (!job.spec.isGang() || job.placedTaskCount() == 0 || job.isCancelled()) {
                continue;
            }
            boolean broken =
                    job.placedTaskCount() + job.completedTaskCount() < job.spec.taskCount();
            for (TaskStatePage page : job.pages) {
                for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                    broken |= placement.stopRequested || placement.phase() == Placement.Phase.GONE;
                }
            }
            if (broken && job.completedTaskCount() == 0) {
                stopAllTasks(plan, job);
            }
        }
    }

    private void stopAllTasks(SchedulingPlan plan, Job job) {
        for (TaskStatePage page : job.pages) {
            for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                stopTask(plan, placement);
            }
        }
    }

    private static void stopTask(SchedulingPlan plan, Placement placement) {
        if (!placement.stopRequested && !placement.isTerminated()) {
            TaskStatePage.Edit edit = plan.edit(placement);
            if (edit != null) {
                edit.requestStop(placement.taskIndex);
            }
        }
    }

    /**
     * A machine with a spot notice is drained of what can save or has not begun; the rest may still
     * finish in time. From a closed machine, only what saves and has run for a while is moved, so
     * that it can be returned sooner.
     */
    private void drainMachines(SchedulingPlan plan) {
        for (ShardWorker worker : workerGateway.workers()) {
            boolean cordoned = machines.cordonedHosts().contains(worker.host);
            if (!worker.isBeingReclaimed() && !cordoned) {
                continue;
            }
            for (Placement placement : jobs.placementsOn(worker.host).values()) {
                JobSpec spec = placement.job.spec;
                boolean checkpoints = spec.checkpointIntervalSeconds() > 0 || spec.isService();
                boolean evict =
                        worker.isBeingReclaimed()
                                ? checkpoints || placement.runningSinceMillis == 0
                                : checkpoints
                                        && !spec.isGang()
                                        && placement.runningSinceMillis > 0
                                        && loop.nowMillis() - placement.runningSinceMillis
                                                > SchedulerConstants.MIN_RUN_BEFORE_MOVE_MILLIS;
                if (evict && !placement.job.isCancelled()) {
                    stopTask(plan, placement);
                }
            }
        }
    }

    // ---- the write

    private void encodePlan(SchedulingPlan plan) {
        boolean anyChange = false;
        for (Map.Entry<TaskStatePage, TaskStatePage.Edit> entry : plan.edits.entrySet()) {
            TaskStatePage.Edit edit = entry.getValue();
            Job job = edit.page().job;
            if (plan.enteringJobs.contains(job)) {
                String leaderId = shards.leaderId();
                boolean assignedToLeader =
                        !edit.isChanged()
                                && plan.jobsToEscalate.contains(job)
                                && leaderId != null
                                && shards.shardOf(leaderId) != null;
                plan.transaction
                        .requireRevision(job.storeKey(), 0)
                        .requireRevision(StoreKeys.FINAL_STATE_PREFIX + job.spec.jobId(), 0)
                        .put(
                                job.storeKey(),
                                assignedToLeader ? job.encode(leaderId, 0) : edit.encode());
                anyChange |= edit.isChanged();
                continue;
            }
            if (!edit.isChanged()) {
                continue;
            }
            anyChange = true;
            plan.transaction.put(edit.page().storeKey(), edit.encode());
            plan.transaction.requireRevision(
                    edit.page().storeKey(), watchCache.modRevision(edit.page().storeKey()));
            plan.transaction.requireRevision(
                    job.storeKey(), watchCache.modRevision(job.storeKey()));
        }
        if (!anyChange) {
            return;
        }
        plan.transaction.requireRevision(
                plan.shard.storeKey(), watchCache.modRevision(plan.shard.storeKey()));
        policy.requireCurrentPolicy(plan.transaction);
        if (plan.leading) {
            plan.transaction.requireRevision(
                    StoreKeys.LEADER, watchCache.modRevision(StoreKeys.LEADER));
            for (ClusterMembership.Shard shard : shards.shards()) {
                plan.transaction.requireRevision(
                        shard.storeKey(), watchCache.modRevision(shard.storeKey()));
            }
        }
    }

    /**
     * Hands jobs that don't fit this block to the leader. What their tasks use moves with them, out
     * of this block's allowances and in the same change, so the sum of all allowances and uses
     * can't pass a team's limit.
     */
    private void escalateToLeader(SchedulingPlan plan) {
        String leaderId = shards.leaderId();
        if (plan.jobsToEscalate.isEmpty()
                || leaderId == null
                || leaderId.equals(settings.memberId())
                || shards.shardOf(leaderId) == null) {
            return;
        }
        ClusterMembership.Shard shard = plan.shard.copy();
        boolean shardRewritten = false;
        boolean anyEscalated = false;
        for (Job job : plan.jobsToEscalate) {
            if (!plan.transaction.fits(2, 2, store.maxTransactionOperations())) {
                break;
            }
            if (plan.hasChangesOf(job) || plan.enteringJobs.contains(job)) {
                // Its use changes in this very write; the next round knows it exactly.
                continue;
            }
            anyEscalated = true;
            plan.transaction
                    .requireRevision(job.storeKey(), watchCache.modRevision(job.storeKey()))
                    .put(job.storeKey(), job.encode(leaderId, 0));
            if (job.placedTaskCount() > 0) {
                ClusterMembership.QuotaShare quotaShare = shard.quotaShare(job.spec.team());
                shard.quotaShares()
                        .put(
                                job.spec.team(),
                                quotaShare.minusTasks(
                                        job.placedTaskCount(), job.spec.cpus(), job.spec.gpus()));
                shardRewritten = true;
            }
        }
        if (anyEscalated) {
            plan.transaction.requireRevision(
                    shard.storeKey(), watchCache.modRevision(shard.storeKey()));
        }
        if (shardRewritten) {
            plan.transaction.put(shard.storeKey(), shard.encode(), membership.leaseId());
        }
    }
}
