package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.SchedulerConstants;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Walks once over the ranked jobs, first to last: places what fits, frees capacity by preemption
 * where that is allowed, and says which jobs should be escalated to the leader. Made for one plan.
 */
final class QueueWalk {
    private static final Logger LOG = LoggerFactory.getLogger(QueueWalk.class);

    /**
     * What holds for the whole walk.
     *
     * @param wallMillis milliseconds since 1970
     * @param storeUnderPressure whether writes are so short that fewer of them count more
     * @param gpusInDemand whether constrained work seeks the GPUs of some machines
     * @param bestEffortDue whether best-effort work gets its turn
     */
    record Conditions(
            long wallMillis,
            boolean storeUnderPressure,
            boolean gpusInDemand,
            boolean bestEffortDue) {}

    private final SchedulingPlan plan;
    private final Placer placer;
    private final Preemption preemption;
    private final QuotaAccumulator quotaSaving;
    private final EscalationPolicy.Decisions escalation;
    private final UnservedJobTracker unservedJobs;
    private final Conditions conditions;

    /** Records of the transaction that the walk has written for starving work. */
    private int starvingRecords;

    private boolean terminationsRecorded;

    QueueWalk(
            SchedulingPlan plan,
            Placer placer,
            Preemption preemption,
            QuotaAccumulator quotaSaving,
            EscalationPolicy.Decisions escalation,
            UnservedJobTracker unservedJobs,
            Conditions conditions) {
        this.plan = plan;
        this.placer = placer;
        this.preemption = preemption;
        this.quotaSaving = quotaSaving;
        this.escalation = escalation;
        this.unservedJobs = unservedJobs;
        this.conditions = conditions;
    }

    void walk(List<QueueOrder.QueueEntry> queue, TerminationRecorder terminations) {
        int starvingRecordBudget = starvingRecordBudget(queue);
        for (QueueOrder.QueueEntry ranked : queue) {
            Job job = ranked.job();
            boolean bestEffort = ranked.priority() == JobSpec.Priority.BEST_EFFORT.ordinal();
            if (ranked.starving() && mustYield(job, bestEffort)) {
                continue;
            }
            if (!terminationsRecorded && bestEffort && !ranked.starving()) {
                // Where writes are scarce, urgent work comes before the record of terminations, and
                // that before best-effort work.
                terminationsRecorded = true;
                terminations.recordDue(plan);
            }
            // Where writes are scarce, guaranteed work would take all records of every cycle.
            int reservedRecords =
                    ranked.tier() == QueueOrder.TIER_GUARANTEED ? starvingRecordBudget : 0;
            if (plan.isFull(reservedRecords) && !plan.containsRecordOf(job)) {
                // No further record fits, but those in the plan may hold more: a job that enters
                // with it gets its placements at once.
                plan.truncated = true;
                escalation.keepIfStuck(job);
                continue;
            }
            if (!conditions.bestEffortDue && bestEffort
                    || quotaSaving.isAccumulatedForOthers(ranked)) {
                escalation.addStuck(job);
                continue;
            }
            place(ranked);
        }
        if (!terminationsRecorded) {
            terminations.recordDue(plan);
        }
    }

    private static int starvingRecordBudget(List<QueueOrder.QueueEntry> queue) {
        int starving = 0;
        for (QueueOrder.QueueEntry ranked : queue) {
            starving += ranked.tier() == QueueOrder.TIER_STARVING ? 1 : 0;
        }
        return Math.min(SchedulerConstants.OVERDUE_RECORDS_PER_CYCLE, starving);
    }

    /**
     * Starving work gets its turn, but where writes are scarce it does not take those that urgent
     * work needs next.
     */
    private boolean mustYield(Job job, boolean bestEffort) {
        return bestEffort && !conditions.bestEffortDue
                || conditions.storeUnderPressure
                        && starvingRecords >= SchedulerConstants.OVERDUE_RECORDS_PER_CYCLE
                        && !plan.containsRecordOf(job);
    }

    private void place(QueueOrder.QueueEntry ranked) {
        Job job = ranked.job();
        int wanted = plan.unplacedTasks(job);
        quotaSaving.withholdReserved(ranked);
        quotaSaving.freeQuotaShare(job.spec, wanted);
        boolean alreadyInPlan = ranked.starving() && plan.containsRecordOf(job);
        int unplaced = placer.place(ranked, false);
        if (conditions.gpusInDemand && unplaced < Math.min(ranked.maxTasks(), wanted)) {
            unservedJobs.markServed(job);
        }
        if (ranked.starving()) {
            if (unplaced > 0) {
                helpStarving(ranked, unplaced, alreadyInPlan);
            } else {
                starvingRecords += alreadyInPlan ? 0 : 1;
            }
        } else if (unplaced > 0) {
            helpUnplaced(ranked, unplaced);
        }
    }

    private void helpStarving(QueueOrder.QueueEntry ranked, int unplaced, boolean alreadyInPlan) {
        Job job = ranked.job();
        int stillUnplaced = unplaced;
        if (!job.spec.isUnconstrained()) {
            // Unconstrained work finds machines elsewhere: those whose GPUs gangs seek are no way
            // out for it.
            stillUnplaced = placer.place(ranked, true);
        }
        starvingRecords += !alreadyInPlan && plan.containsRecordOf(job) ? 1 : 0;
        placer.reserveMachines(ranked, stillUnplaced);
        quotaSaving.accumulateFor(ranked, stillUnplaced);
        preemption.freeCapacityFor(ranked, stillUnplaced, placer.allowedZones(job));
    }

    private void helpUnplaced(QueueOrder.QueueEntry ranked, int unplaced) {
        Job job = ranked.job();
        boolean waitedLong =
                ranked.tier() <= QueueOrder.TIER_GUARANTEED
                        && conditions.wallMillis - job.acceptedAtEpochMillis()
                                > SchedulerConstants.LONG_WAIT_SECONDS * 1000;
        if (waitedLong) {
            // Urgent work comes first anyway, but single tasks of all other work fit into what is
            // too little for a gang.
            quotaSaving.accumulateFor(ranked, unplaced);
        }
        int withoutCapacity =
                preemption.freeCapacityFor(ranked, unplaced, placer.allowedZones(job));
        // What is kept for others' GPUs serves work that nothing else has served for long: empty,
        // it would serve nobody.
        boolean unservedTooLong = conditions.gpusInDemand && unservedJobs.isUnservedTooLong(job);
        int stillUnplaced = unplaced;
        if (withoutCapacity > 0
                && (ranked.priority() == JobSpec.Priority.PRODUCTION.ordinal()
                        || waitedLong
                        || unservedTooLong)) {
            stillUnplaced = placer.place(ranked, true);
        }
        if (conditions.gpusInDemand && Math.min(withoutCapacity, stillUnplaced) > 0) {
            stillUnplaced -= placer.placeOnWithheldMachine(ranked);
        }
        if (stillUnplaced > 0) {
            logWaitingGang(job, withoutCapacity);
        }
        if (stillUnplaced > 0 && !plan.leading && escalation.shouldEscalate(job)) {
            plan.jobsToEscalate.add(job);
        }
    }

    /** Tells whether a waiting gang lacks quota or machines. */
    private void logWaitingGang(Job job, int tasksWithoutCapacity) {
        if (LOG.isDebugEnabled() && job.spec.isGang()) {
            LOG.debug(
                    "gang {} waits: quota share of {} lets in {} of {} tasks, {} of them find no"
                            + " machine after preemption",
                    job.spec.jobId(),
                    job.spec.team(),
                    plan.tasksWithinQuotaShare(job.spec),
                    job.spec.taskCount(),
                    tasksWithoutCapacity);
        }
    }
}
