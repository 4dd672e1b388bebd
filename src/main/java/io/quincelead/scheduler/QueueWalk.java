package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.constants.SchedulerConstants;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Walks once over the queue, first to last: places the tasks that fit, frees capacity by preemption
 * where that is allowed, and selects the jobs to escalate to the leader. Created for one plan.
 */
final class QueueWalk {
    private static final Logger LOG = LoggerFactory.getLogger(QueueWalk.class);

    /**
     * Conditions that hold for the whole walk.
     *
     * @param machineTypes the machine types that the cloud offers
     * @param wallMillis wall-clock time in milliseconds since 1970
     * @param storeUnderPressure whether backpressure is so high that minimising writes takes
     *     precedence over minimising lost work
     * @param gpusInDemand whether constrained work demands the GPUs of some machines
     * @param bestEffortDue whether best-effort work is placed in this walk
     */
    record Conditions(
            MachineTypeCatalog machineTypes,
            long wallMillis,
            boolean storeUnderPressure,
            boolean gpusInDemand,
            boolean bestEffortDue) {}

    private final SchedulingPlan plan;
    private final Placer placer;
    private final Preemption preemption;
    private final QuotaAccumulator quotaAccumulator;
    private final EscalationPolicy.Decisions escalation;
    private final UnservedJobTracker unservedJobs;
    private final Conditions conditions;

    /** Number of records that the walk has added to the transaction for starving work. */
    private int starvingRecords;

    private boolean terminationsRecorded;

    QueueWalk(
            SchedulingPlan plan,
            Placer placer,
            Preemption preemption,
            QuotaAccumulator quotaAccumulator,
            EscalationPolicy.Decisions escalation,
            UnservedJobTracker unservedJobs,
            Conditions conditions) {
        this.plan = plan;
        this.placer = placer;
        this.preemption = preemption;
        this.quotaAccumulator = quotaAccumulator;
        this.escalation = escalation;
        this.unservedJobs = unservedJobs;
        this.conditions = conditions;
    }

    void walk(List<QueueOrder.QueueEntry> queue, TerminationRecorder terminations) {
        int starvingRecordBudget = starvingRecordBudget(queue);
        for (QueueOrder.QueueEntry entry : queue) {
            Job job = entry.job();
            boolean bestEffort = entry.priority() == JobSpec.Priority.BEST_EFFORT.ordinal();
            if (entry.starving() && mustYield(job, bestEffort)) {
                continue;
            }
            if (!terminationsRecorded && bestEffort && !entry.starving()) {
                // Where writes are scarce, urgent work comes before recording terminations, and
                // recording terminations before best-effort work.
                terminationsRecorded = true;
                terminations.recordDue(plan);
            }
            // Without reserved records, guaranteed work would take all records of every cycle where
            // writes are scarce.
            int reservedRecords =
                    entry.tier() == QueueOrder.TIER_GUARANTEED ? starvingRecordBudget : 0;
            if (plan.isFull(reservedRecords) && !plan.containsRecordOf(job)) {
                // No further record fits, but records that are in the plan may take more
                // placements: a job that is admitted with this plan is placed at once.
                plan.truncated = true;
                escalation.keepIfStuck(job);
                continue;
            }
            if (!conditions.bestEffortDue && bestEffort
                    || quotaAccumulator.isAccumulatedForOthers(entry)) {
                escalation.addStuck(job);
                continue;
            }
            place(entry);
        }
        if (!terminationsRecorded) {
            terminations.recordDue(plan);
        }
    }

    private static int starvingRecordBudget(List<QueueOrder.QueueEntry> queue) {
        int starving = 0;
        for (QueueOrder.QueueEntry entry : queue) {
            starving += entry.tier() == QueueOrder.TIER_STARVING ? 1 : 0;
        }
        return Math.min(SchedulerConstants.STARVING_RECORDS_PER_CYCLE, starving);
    }

    /**
     * Whether a starving job is skipped: best-effort work that isn't due, and, where writes are
     * scarce, jobs that would take further records, which urgent work needs next.
     */
    private boolean mustYield(Job job, boolean bestEffort) {
        return bestEffort && !conditions.bestEffortDue
                || conditions.storeUnderPressure
                        && starvingRecords >= SchedulerConstants.STARVING_RECORDS_PER_CYCLE
                        && !plan.containsRecordOf(job);
    }

    private void place(QueueOrder.QueueEntry entry) {
        Job job = entry.job();
        int wanted = plan.unplacedTasks(job);
        quotaAccumulator.withholdReserved(entry);
        quotaAccumulator.freeQuotaShare(job.spec, wanted);
        boolean alreadyInPlan = entry.starving() && plan.containsRecordOf(job);
        int unplaced = placer.place(entry, false);
        if (conditions.gpusInDemand && unplaced < Math.min(entry.maxTasks(), wanted)) {
            unservedJobs.markServed(job);
        }
        if (entry.starving()) {
            if (unplaced > 0) {
                handleUnplacedStarving(entry, unplaced, alreadyInPlan);
            } else {
                starvingRecords += alreadyInPlan ? 0 : 1;
            }
        } else if (unplaced > 0) {
            handleUnplaced(entry, unplaced);
        }
    }

    private void handleUnplacedStarving(
            QueueOrder.QueueEntry entry, int unplaced, boolean alreadyInPlan) {
        Job job = entry.job();
        int stillUnplaced = unplaced;
        if (!conditions.machineTypes.isUnconstrained(job.spec)) {
            // Unconstrained work can find other machines, so machines whose GPUs gangs demand stay
            // withheld from it.
            stillUnplaced = placer.place(entry, true);
        }
        starvingRecords += !alreadyInPlan && plan.containsRecordOf(job) ? 1 : 0;
        placer.reserveMachines(entry, stillUnplaced);
        quotaAccumulator.accumulateFor(entry, stillUnplaced);
        preemption.freeCapacityFor(entry, stillUnplaced, placer.allowedZones(job));
    }

    private void handleUnplaced(QueueOrder.QueueEntry entry, int unplaced) {
        Job job = entry.job();
        boolean waitedLong =
                entry.tier() <= QueueOrder.TIER_GUARANTEED
                        && conditions.wallMillis - job.acceptedAtEpochMillis()
                                > SchedulerConstants.LONG_WAIT_SECONDS * 1000;
        if (waitedLong) {
            // Urgent work comes first anyway, but single tasks of all other work fit into a quota
            // share that is too small for a gang.
            quotaAccumulator.accumulateFor(entry, unplaced);
        }
        int withoutCapacity = preemption.freeCapacityFor(entry, unplaced, placer.allowedZones(job));
        // Machines that are withheld for GPU demand may be used by work that has been unserved for
        // too long; left empty, they would serve no work at all.
        boolean unservedTooLong = conditions.gpusInDemand && unservedJobs.isUnservedTooLong(job);
        int stillUnplaced = unplaced;
        if (withoutCapacity > 0
                && (entry.priority() == JobSpec.Priority.PRODUCTION.ordinal()
                        || waitedLong
                        || unservedTooLong)) {
            stillUnplaced = placer.place(entry, true);
        }
        if (conditions.gpusInDemand && Math.min(withoutCapacity, stillUnplaced) > 0) {
            stillUnplaced -= placer.placeOnWithheldMachine(entry);
        }
        if (stillUnplaced > 0) {
            logWaitingGang(job, withoutCapacity);
        }
        if (stillUnplaced > 0 && !plan.leading && escalation.shouldEscalate(job)) {
            plan.jobsToEscalate.add(job);
        }
    }

    /** Logs whether a waiting gang lacks quota or machines. */
    private void logWaitingGang(Job job, int tasksWithoutCapacity) {
        if (LOG.isDebugEnabled() && job.spec.isGang()) {
            LOG.debug(
                    "gang {} is waiting: quota share of {} admits {} of {} tasks, {} tasks find no"
                            + " machine after preemption",
                    job.spec.jobId(),
                    job.spec.team(),
                    plan.tasksWithinQuotaShare(job.spec),
                    job.spec.taskCount(),
                    tasksWithoutCapacity);
        }
    }
}
