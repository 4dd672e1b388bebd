package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.eventloop.IndependentSteps;
import io.quincelead.store.IndeterminateWriteFence;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs scheduling cycles. Each cycle collects the evidence of terminated tasks, places waiting
 * tasks and commits both as one durable write, with preconditions on this controller's shard, on
 * the operators' records in force and on each job and task state page it touches. No start is sent
 * before the write is confirmed.
 *
 * <p>This class decides when a cycle runs and handles its outcome; {@link QueueScheduler} decides
 * what is placed where, {@link PlanEncoder} and {@link EscalationEncoder} what is written.
 */
public final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);

    /** Phases of the cycle; only {@link #transitionTo} changes the phase. */
    private enum Phase {
        /** No cycle is scheduled or being committed. */
        IDLE,
        /** A cycle runs when the minimum time between two cycles has passed. */
        SCHEDULED,
        /**
         * A cycle could not run when it was due; it runs after a delay that no request shortens.
         */
        BACKING_OFF,
        /** The cycle's transaction is being committed. */
        COMMITTING
    }

    private final EventLoop loop;
    private final MembershipLease lease;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership membership;
    private final JobTable jobs;
    private final ControllerComponents components;
    private final String memberId;
    private final Runnable onCycleFinished;
    private final AdmissionQueue admissionQueue;
    private final UnrecordedTerminations terminations;
    private final TaskEvictor taskEvictor;
    private final QueueScheduler queueScheduler;
    private final PlanEncoder planEncoder;
    private final EscalationEncoder escalationEncoder;

    /**
     * Blocks cycles while a write is indeterminate: two cycles unaware of each other could use up
     * the same quota share, or choose two zones for one job.
     */
    private final IndeterminateWriteFence fence;

    private final TransactionSizeLimit sizeLimit;
    private Phase phase = Phase.IDLE;
    private boolean cycleRequestedMeanwhile;

    /** Whether the last plan had more to write than one transaction holds. */
    private boolean lastPlanTruncated;

    private long lastCycleMillis;

    /**
     * Event-loop time at which the next cycle runs; {@link Long#MAX_VALUE} if none is scheduled. A
     * timer set for another time than this is stale.
     */
    private long scheduledAtMillis = Long.MAX_VALUE;

    /**
     * @param onCycleFinished called after each cycle that ran, when its outcome is known: responses
     *     to workers that waited for it may be sent
     */
    public SchedulingCycle(
            EventLoop loop,
            Settings settings,
            OperatorSettings operatorSettings,
            StoreAccess storeAccess,
            ClusterView cluster,
            ControllerComponents components,
            Runnable onCycleFinished) {
        this.loop = loop;
        this.memberId = settings.memberId();
        this.lease = storeAccess.lease();
        this.watchCache = storeAccess.watchCache();
        this.store = storeAccess.client();
        this.membership = cluster.membership();
        this.jobs = cluster.jobs();
        this.components = components;
        this.onCycleFinished = onCycleFinished;
        this.admissionQueue = new AdmissionQueue(loop, jobs);
        this.terminations = new UnrecordedTerminations(loop, store, jobs, memberId);
        this.taskEvictor = new TaskEvictor(loop, cluster, components.workerGateway());
        this.queueScheduler =
                new QueueScheduler(
                        loop,
                        settings,
                        operatorSettings,
                        store,
                        cluster,
                        new ReportedMachineStatus(settings, components));
        this.sizeLimit = new TransactionSizeLimit(store.maxTransactionOperations());
        this.planEncoder = new PlanEncoder(watchCache, membership, cluster.policy());
        this.escalationEncoder = new EscalationEncoder(storeAccess, membership, settings);
        this.fence =
                new IndeterminateWriteFence(
                        loop,
                        store,
                        watchCache,
                        StoreKeys.SHARD_PREFIX + memberId,
                        this::rewriteOwnShard);
    }

    /**
     * Returns a transaction that rewrites this controller's shard record unchanged; null if there
     * is none.
     */
    private Transaction rewriteOwnShard() {
        ClusterMembership.Shard shard = membership.localShard();
        if (shard == null) {
            return null;
        }
        return new Transaction()
                .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                .put(shard.storeKey(), shard.encode(), lease.leaseId());
    }

    private void transitionTo(Phase next) {
        phase = next;
    }

    /**
     * Admits an urgent job that is being submitted to the next cycle. One transaction then records
     * both that it is accepted and where its tasks are placed, and its first start can be sent as
     * soon as its user is answered.
     *
     * @param timeoutMillis time after which the job is rejected if no cycle could record it
     * @param onOutcome called once with the outcome, if this returns true
     * @return false if the job must be recorded without a cycle; nothing has been done then
     */
    public boolean admit(Job job, long timeoutMillis, Transaction.OutcomeHandler onOutcome) {
        boolean urgent = job.spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
        if (!urgent
                || !job.hasSinglePage()
                || !lease.isValid()
                || membership.localShard() == null
                || !admissionQueue.accepts(job)) {
            return false;
        }
        admissionQueue.add(job, timeoutMillis, onOutcome);
        requestCycle();
        return true;
    }

    /** Whether a cycle is scheduled, backing off or being committed. */
    public boolean isCyclePending() {
        return phase != Phase.IDLE;
    }

    /** Requests a cycle after a change; all requests until it runs share that cycle. */
    public void requestCycle() {
        // Jobs that are being submitted, and changes that did not fit into a full transaction, wait
        // for the minimum interval only; everything else is batched for longer while writes are
        // scarce, so that it shares records.
        requestCycleAfterGap(
                lastPlanTruncated || !admissionQueue.isEmpty()
                        ? SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS
                        : store.backpressureDelayMillis(
                                SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS,
                                SchedulerConstants.FULL_BACKPRESSURE_CYCLE_INTERVAL_MILLIS));
    }

    private void requestCycleAfterGap(long gapMillis) {
        if (phase == Phase.IDLE) {
            transitionTo(Phase.SCHEDULED);
        }
        if (phase == Phase.SCHEDULED) {
            scheduleAt(lastCycleMillis + gapMillis);
        } else if (phase == Phase.COMMITTING) {
            // The plan being committed lacks what arrived after it was made; without another cycle,
            // that evidence would wait for the next event.
            cycleRequestedMeanwhile = true;
        }
    }

    /** Schedules the cycle for this time, unless it is already scheduled no later. */
    private void scheduleAt(long atMillis) {
        if (atMillis >= scheduledAtMillis) {
            return;
        }
        scheduledAtMillis = atMillis;
        loop.runAfter(
                Math.max(1, atMillis - loop.nowMillis()),
                () -> {
                    if (scheduledAtMillis == atMillis) {
                        runCycleOrBecomeIdle();
                    }
                });
    }

    /**
     * Runs a cycle. An exception abandons the cycle and is thrown again, but doesn't prevent the
     * next one.
     */
    private void runCycleOrBecomeIdle() {
        try {
            runCycle();
        } catch (RuntimeException failure) {
            if (scheduledAtMillis == Long.MAX_VALUE && phase != Phase.COMMITTING) {
                transitionTo(Phase.IDLE);
            }
            throw failure;
        }
    }

    private void backOff(long delayMillis) {
        transitionTo(Phase.BACKING_OFF);
        scheduleAt(loop.nowMillis() + delayMillis);
    }

    /**
     * Handles evidence that the task has terminated. This controller takes it into account at once,
     * but may record it later, batched with others.
     */
    public void onTaskTerminated(Placement placement) {
        boolean urgent = terminations.add(placement, queueScheduler.canLeaderUse(placement.host));
        if (urgent || queueScheduler.hasWorkWaiting()) {
            requestCycle();
        }
    }

    /** Requests a cycle if work waits or a termination is due to be recorded. */
    public void requestCycleIfNeeded() {
        boolean terminationDue = membership.localShard() != null && terminations.isAnyDue();
        if (terminationDue || hasWaitingWork()) {
            requestCycle();
        }
    }

    private boolean hasWaitingWork() {
        if (membership.localShard() == null) {
            return false;
        }
        for (Job job : jobs.all()) {
            boolean ownJobWaits =
                    !job.isCancelled()
                            && job.pendingTaskCount() > 0
                            && job.controllerId().equals(memberId);
            if (ownJobWaits || job.spec.isGang()) {
                return true;
            }
        }
        return false;
    }

    private void runCycle() {
        lastCycleMillis = loop.nowMillis();
        scheduledAtMillis = Long.MAX_VALUE;
        admissionQueue.expire();
        if (!mayDecide()) {
            // The cycle is postponed rather than dropped: evidence may be waiting, and nothing else
            // might request a cycle.
            backOff(StoreConstants.RETRY_DELAY_MILLIS);
            return;
        }
        int maxOperations = store.maxTransactionOperations();
        int writeBudget = plannableWrites();
        boolean admitting = !admissionQueue.isEmpty() && store.canAffordUrgentWrite();
        if (admitting) {
            writeBudget = Math.max(writeBudget, Math.min(admissionQueue.size(), maxOperations));
        } else if (writeBudget < minWriteBudget()) {
            // This controller is over its share of the store's limit: a plan made now would be out
            // of date by the time it may be written.
            backOff(StoreConstants.THROTTLED_COMMIT_DELAY_MILLIS);
            return;
        }
        List<AdmissionQueue.Submission> admitted =
                admitting
                        ? admissionQueue.takeAtMost(
                                SchedulingPlan.maxRecords(
                                        Math.min(writeBudget, sizeLimit.maxRecords()),
                                        membership.shards().size(),
                                        maxOperations))
                        : List.of();
        SchedulingPlan plan = planOrRejectAdmitted(writeBudget, admitted);
        // If the store's write budget is what limits the transaction, another one right after it
        // could write no more than this one.
        lastPlanTruncated = plan.truncated && writeBudget >= maxOperations;
        if (plan.transaction.isEmpty()) {
            transitionTo(Phase.IDLE);
            onCycleFinished.run();
            return;
        }
        commit(plan, admitted);
    }

    /** Whether this controller may schedule now, with records that are up to date. */
    private boolean mayDecide() {
        return lease.isValid()
                && membership.localShard() != null
                && watchCache.isSynced()
                && fence.trySettle();
    }

    /**
     * How many changes a plan made now may write. All pages of a gang must be in one write: a full
     * budget may be overdrawn for a gang with more pages than the budget ever holds.
     */
    private int plannableWrites() {
        int maxOperations = store.maxTransactionOperations();
        int affordableWrites = Math.min(store.affordableWrites(), maxOperations);
        if (affordableWrites < store.maxAffordableWrites()) {
            return affordableWrites;
        }
        return Math.max(
                affordableWrites, Math.min(queueScheduler.largestGangPages(), maxOperations));
    }

    /** How many changes a cycle waits for; never more than the budget can reach. */
    private int minWriteBudget() {
        int attainableWrites =
                Math.min(store.maxAffordableWrites(), store.maxTransactionOperations());
        return Math.min(
                Math.max(
                        SchedulerConstants.MIN_CHANGES_PER_CYCLE,
                        queueScheduler.largestGangPages()),
                attainableWrites);
    }

    private SchedulingPlan planOrRejectAdmitted(
            int writeBudget, List<AdmissionQueue.Submission> admitted) {
        try {
            return makePlan(writeBudget, admitted);
        } catch (RuntimeException failure) {
            admissionQueue.respond(
                    admitted, new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
            throw failure;
        }
    }

    private SchedulingPlan makePlan(int writeBudget, List<AdmissionQueue.Submission> admitted) {
        SchedulingPlan plan =
                new SchedulingPlan(
                        membership.localShard(),
                        components.leader().isLeading(),
                        membership.shards().size(),
                        Math.min(writeBudget, sizeLimit.maxRecords()),
                        store.maxTransactionOperations());
        plan.unrecordableJobs = sizeLimit.unrecordableJobs();
        plan.addAdmittedJobs(admitted.stream().map(AdmissionQueue.Submission::job).toList());
        taskEvictor.reconcileGangs(plan);
        taskEvictor.drainMachines(plan);
        queueScheduler.placeWaitingJobs(
                plan,
                components.messenger().isStatusAcknowledgedByLeader()
                        ? membership.leaderId()
                        : null,
                terminations);
        planEncoder.encode(plan);
        escalationEncoder.encode(plan);
        return plan;
    }

    private void commit(SchedulingPlan plan, List<AdmissionQueue.Submission> admitted) {
        boolean moreToDo =
                plan.truncated || !plan.jobsToEscalate.isEmpty() || !admissionQueue.isEmpty();
        transitionTo(Phase.COMMITTING);
        cycleRequestedMeanwhile = false;
        store.commit(
                plan.transaction,
                outcome -> {
                    transitionTo(Phase.IDLE);
                    fence.onOutcome(plan.transaction, outcome);
                    sizeLimit.onOutcome(outcome.result(), plan.recordedJobs());
                    IndependentSteps steps = new IndependentSteps();
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        steps.run(
                                () ->
                                        watchCache.applyCommitted(
                                                plan.transaction, outcome.storeRevision()));
                    }
                    steps.run(() -> admissionQueue.respond(admitted, outcome));
                    steps.run(() -> requestNextCycle(outcome, moreToDo));
                    steps.run(onCycleFinished);
                    steps.throwFirstFailure();
                });
    }

    private void requestNextCycle(Transaction.Outcome outcome, boolean moreToDo) {
        switch (outcome.result()) {
            case COMMITTED -> {
                if (moreToDo || cycleRequestedMeanwhile) {
                    requestCycle();
                }
            }
            case CONFLICT -> {
                LOG.debug("scheduling cycle: conflict on {}", outcome.failedKeys());
                loop.runAfter(SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS, this::requestCycle);
            }
            // Rejected: nothing was written, so the next cycle makes a new plan. Indeterminate: the
            // same, once the fence has settled the write.
            default -> loop.runAfter(StoreConstants.RETRY_DELAY_MILLIS, this::requestCycle);
        }
    }
}
