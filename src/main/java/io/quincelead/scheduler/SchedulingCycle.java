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
 * The scheduling cycle: each one gathers the evidence of terminated tasks, places waiting tasks and
 * commits all of it as one durable write, under preconditions on this controller's shard, on the
 * operators' records in force and on each job and task state page it touches. No start leaves
 * before the write is confirmed.
 *
 * <p>This class decides when a cycle runs and what follows its outcome; {@link QueueScheduler}
 * decides what is placed where, {@link PlanEncoder} and {@link EscalationEncoder} what is written.
 */
public final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);

    /** States of the cycle; {@link #transitionTo} is the one function that changes them. */
    private enum Phase {
        /** Nothing to do. */
        IDLE,
        /** It runs when the least time between two cycles has passed. */
        SCHEDULED,
        /** It could not run when it was due; it runs after a pause that no request shortens. */
        BACKING_OFF,
        /** Its transaction is on its way to the store. */
        COMMITTING
    }

    private final EventLoop loop;
    private final MembershipLease membership;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final ControllerComponents collaborators;
    private final String memberId;
    private final Runnable onCycleSettled;
    private final AdmissionQueue enteringJobs;
    private final UnrecordedTerminations terminations;
    private final TaskEvictor taskEvictor;
    private final QueueScheduler queuePass;
    private final PlanEncoder planEncoder;
    private final EscalationEncoder leaderEscalation;

    /**
     * Two cycles that know nothing of each other may use up the same quota share, or choose two
     * zones for one job.
     */
    private final IndeterminateWriteFence fence;

    private Phase phase = Phase.IDLE;
    private boolean cycleRequestedMeanwhile;

    /** Whether the last plan had more to write than one transaction holds. */
    private boolean lastPlanTruncated;

    private long lastCycleMillis;

    /**
     * When the next cycle runs; far off if none is scheduled. A timer that finds another time here
     * is out of date.
     */
    private long scheduledAtMillis = Long.MAX_VALUE;

    /**
     * @param onCycleSettled called after each cycle that ran, when its outcome is known: responses
     *     to workers that waited for it may leave
     */
    public SchedulingCycle(
            EventLoop loop,
            Settings settings,
            OperatorSettings operatorSettings,
            StoreAccess storeAccess,
            ClusterView cluster,
            ControllerComponents collaborators,
            Runnable onCycleSettled) {
        this.loop = loop;
        this.memberId = settings.memberId();
        this.membership = storeAccess.lease();
        this.watchCache = storeAccess.watchCache();
        this.store = storeAccess.client();
        this.shards = cluster.membership();
        this.jobs = cluster.jobs();
        this.collaborators = collaborators;
        this.onCycleSettled = onCycleSettled;
        this.enteringJobs = new AdmissionQueue(loop, jobs);
        this.terminations = new UnrecordedTerminations(loop, store, jobs, memberId);
        this.taskEvictor = new TaskEvictor(loop, cluster, collaborators.workerGateway());
        this.queuePass =
                new QueueScheduler(
                        loop,
                        settings,
                        operatorSettings,
                        store,
                        cluster,
                        new ReportedMachineStatus(settings, collaborators));
        this.planEncoder = new PlanEncoder(watchCache, shards, cluster.policy());
        this.leaderEscalation = new EscalationEncoder(storeAccess, shards, settings);
        this.fence =
                new IndeterminateWriteFence(
                        loop,
                        store,
                        watchCache,
                        StoreKeys.SHARD_PREFIX + memberId,
                        this::rewriteOwnShard);
    }

    /** Puts the own shard's record again as it is; null if there is none. */
    private Transaction rewriteOwnShard() {
        ClusterMembership.Shard shard = shards.localShard();
        if (shard == null) {
            return null;
        }
        return new Transaction()
                .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                .put(shard.storeKey(), shard.encode(), membership.leaseId());
    }

    private void transitionTo(Phase next) {
        phase = next;
    }

    /**
     * Takes in an urgent job that is being submitted. One transaction then records both that it is
     * accepted and where its tasks go, and its first start can leave as soon as its user is
     * answered.
     *
     * @param patienceMillis after which the job is rejected if no cycle could record it
     * @param onOutcome called once with the outcome, if this returns true
     * @return false if the job has to be recorded without a cycle; nothing was done then
     */
    public boolean admit(Job job, long patienceMillis, Transaction.OutcomeHandler onOutcome) {
        boolean urgent = job.spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
        if (!urgent
                || !job.hasSinglePage()
                || !membership.isValid()
                || shards.localShard() == null
                || !enteringJobs.accepts(job)) {
            return false;
        }
        enteringJobs.add(job, patienceMillis, onOutcome);
        requestCycle();
        return true;
    }

    /** Whether a cycle is scheduled or on its way to the store. */
    public boolean isCyclePending() {
        return phase != Phase.IDLE;
    }

    /** Something changed: a cycle follows, together with whatever else comes until then. */
    public void requestCycle() {
        // Jobs that are being submitted aren't kept waiting, nor what did not fit a full
        // transaction; all else gathers longer while writes are scarce, and shares records.
        requestCycleAfterGap(
                lastPlanTruncated || !enteringJobs.isEmpty()
                        ? SchedulerConstants.MIN_CYCLE_INTERVAL_MILLIS
                        : store.backpressureDelayMillis(
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

    /** Runs the cycle then, unless it is to run sooner. */
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
     * There is evidence that the task has terminated. It counts here at once; on record it may come
     * later, gathered with others.
     */
    public void onTaskTerminated(Placement placement) {
        boolean urgent = terminations.add(placement, queuePass.canLeaderUse(placement.host));
        if (urgent || queuePass.hasWorkWaiting()) {
            requestCycle();
        }
    }

    /** Requests a cycle if work waits or a termination should be on record by now. */
    public void requestCycleIfNeeded() {
        boolean terminationDue = shards.localShard() != null && terminations.isAnyDue();
        if (terminationDue || hasWaitingWork()) {
            requestCycle();
        }
    }

    private boolean hasWaitingWork() {
        if (shards.localShard() == null) {
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
        enteringJobs.expire();
        if (!mayDecide()) {
            // Evidence may be waiting: the cycle is only put off, or nothing might request it
            // again.
            backOff(StoreConstants.RETRY_DELAY_MILLIS);
            return;
        }
        int maxOperations = store.maxTransactionOperations();
        int writeBudget = Math.min(store.affordableWrites(), maxOperations);
        boolean admitting = !enteringJobs.isEmpty() && store.canAffordUrgentWrite();
        if (admitting) {
            writeBudget = Math.max(writeBudget, Math.min(enteringJobs.size(), maxOperations));
        } else if (writeBudget < minWriteBudget()) {
            // Over our share of the store's limit: a plan made now would be out of date when it may
            // be written.
            backOff(StoreConstants.THROTTLED_COMMIT_DELAY_MILLIS);
            return;
        }
        List<AdmissionQueue.Submission> admitted =
                admitting
                        ? enteringJobs.takeAtMost(
                                SchedulingPlan.maxRecords(
                                        writeBudget, shards.shards().size(), maxOperations))
                        : List.of();
        SchedulingPlan plan = planOrRejectEntering(writeBudget, admitted);
        // Where the store's budget is what limits a transaction, another one right after it would
        // be no fuller.
        lastPlanTruncated = plan.truncated && writeBudget >= maxOperations;
        if (plan.transaction.isEmpty()) {
            transitionTo(Phase.IDLE);
            onCycleSettled.run();
            return;
        }
        commit(plan, admitted);
    }

    /** Whether this controller may decide now, on records that are up to date. */
    private boolean mayDecide() {
        return membership.isValid()
                && shards.localShard() != null
                && watchCache.isSynced()
                && fence.trySettle();
    }

    private int minWriteBudget() {
        return Math.min(
                Math.max(SchedulerConstants.MIN_CHANGES_PER_CYCLE, queuePass.largestGangPages()),
                store.maxTransactionOperations());
    }

    private SchedulingPlan planOrRejectEntering(
            int writeBudget, List<AdmissionQueue.Submission> admitted) {
        try {
            return makePlan(writeBudget, admitted);
        } catch (RuntimeException failure) {
            // Any defect is rethrown as it is; but it must not end all cycles: this one is
            // abandoned, and the next event finds the cycle idle.
            transitionTo(Phase.IDLE);
            enteringJobs.respond(
                    admitted, new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
            throw failure;
        }
    }

    private SchedulingPlan makePlan(int writeBudget, List<AdmissionQueue.Submission> admitted) {
        SchedulingPlan plan =
                new SchedulingPlan(
                        shards.localShard(),
                        collaborators.leader().isLeading(),
                        shards.shards().size(),
                        writeBudget,
                        store.maxTransactionOperations());
        plan.addAdmittedJobs(admitted.stream().map(AdmissionQueue.Submission::job).toList());
        taskEvictor.reconcileGangs(plan);
        taskEvictor.drainMachines(plan);
        queuePass.placeWaitingJobs(
                plan,
                collaborators.messenger().isStatusAcknowledgedByLeader() ? shards.leaderId() : null,
                terminations);
        planEncoder.encode(plan);
        leaderEscalation.encode(plan);
        return plan;
    }

    private void commit(SchedulingPlan plan, List<AdmissionQueue.Submission> admitted) {
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
                    enteringJobs.respond(admitted, outcome);
                    requestNextCycle(outcome, moreToDo);
                    onCycleSettled.run();
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
            // Rejected: nothing happened, the plan is made anew. Indeterminate: the same, once the
            // fence has settled it.
            default -> loop.runAfter(StoreConstants.RETRY_DELAY_MILLIS, this::requestCycle);
        }
    }
}
