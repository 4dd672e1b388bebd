package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.Placement;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.Policy;
import io.quincelead.policy.PriorityClass;

/**
 * Decides which tasks a job may preempt, and what that costs. Created for one plan; changes
 * nothing.
 */
final class PreemptionRules {
    /**
     * Event-loop time, fixed for the whole cycle: the clock advances while the cycle is planned,
     * and a sort needs a consistent order.
     */
    private final long nowMillis;

    private final Settings settings;
    private final SchedulingPlan plan;
    private final Policy policy;

    PreemptionRules(long nowMillis, Settings settings, SchedulingPlan plan, Policy policy) {
        this.nowMillis = nowMillis;
        this.settings = settings;
        this.plan = plan;
        this.policy = policy;
    }

    /**
     * Whether the running task may be stopped for the job.
     *
     * @param withinGuarantee whether the job is within its team's guarantee
     */
    boolean mayPreempt(Job forJob, Placement placement, boolean withinGuarantee) {
        JobSpec victim = placement.job.spec;
        if (placement.job == forJob) {
            return false;
        }
        if (policy.hasPriorityRules() && !policyAllows(forJob, placement, withinGuarantee)) {
            return false;
        }
        if (plan.entitledTasksByStarvingJob.containsKey(placement.job)
                && QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false)
                        >= QueueOrder.TIER_FIRST_START) {
            // The few tasks that keep a job from starving are preempted by urgent work only. Work
            // within a guarantee preempts surplus (what a team uses beyond its guarantee) of jobs
            // that aren't starving; otherwise it and these few tasks would preempt each other in
            // turn.
            return false;
        }
        if (victim.priority().ordinal() > forJob.spec.priority().ordinal()) {
            return plan.tier(placement.job)
                    > QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false);
        }
        return withinGuarantee && isSurplusOfSamePriority(forJob, placement);
    }

    /**
     * Whether the task is surplus of its team and has the same priority as the job, which is within
     * its team's guarantee. The protocol lets such a job preempt work of any priority, but only
     * work that comes after it in the queue is preempted: more urgent work would take the capacity
     * back at once, and the two would preempt each other endlessly. For the same reason a job
     * within its own team's guarantee isn't preempted, even if that team also runs more than its
     * guarantee.
     */
    private boolean isSurplusOfSamePriority(Job forJob, Placement placement) {
        JobSpec victim = placement.job.spec;
        Settings.Team team = settings.teams().get(victim.team());
        TeamUsage usage = TeamUsage.of(plan.totalUsage, victim.team());
        return victim.priority() == forJob.spec.priority()
                && !plan.jobsWithinGuarantee.contains(placement.job)
                && !victim.team().equals(forJob.spec.team())
                && team != null
                && (usage.cpus() - victim.cpus() >= team.guaranteedCpus()
                        || victim.gpus() > 0
                                && usage.gpus() - victim.gpus() >= team.guaranteedGpus());
    }

    /** Whether the operators' records, which can only restrict preemption, allow it. */
    private boolean policyAllows(Job forJob, Placement placement, boolean withinGuarantee) {
        PriorityClass.PreemptionProtection protection =
                policy.effectivePriorityOf(placement.job).preemptionProtection();
        if (protection == PriorityClass.PreemptionProtection.NEVER
                || protection == PriorityClass.PreemptionProtection.URGENT
                        && !forJob.spec.isUrgent()) {
            return false;
        }
        return !QueueOrder.precedes(
                rankOf(
                        placement.job,
                        plan.jobsWithinGuarantee.contains(placement.job),
                        plan.entitledTasksByStarvingJob.containsKey(placement.job)),
                rankOf(forJob, withinGuarantee, false));
    }

    private QueueOrder.QueueEntry rankOf(Job job, boolean withinGuarantee, boolean starving) {
        return new QueueOrder.QueueEntry(
                job,
                job.spec.priority().ordinal(),
                withinGuarantee,
                false,
                0,
                starving,
                false,
                0,
                policy.effectivePriorityOf(job),
                1);
    }

    /** Whether the task is about to complete and free its capacity without preemption. */
    boolean isNearlyDone(Placement placement) {
        JobSpec spec = placement.job.spec;
        double ranSeconds =
                placement.runningSinceMillis() == 0
                        ? 0
                        : (nowMillis - placement.runningSinceMillis()) / 1000.0;
        return spec.runtimeSeconds() > 0
                && ranSeconds > 0
                && spec.runtimeSeconds() - ranSeconds < SchedulerConstants.NEARLY_DONE_SECONDS
                && ranSeconds < 2 * spec.runtimeSeconds();
    }

    /** CPU seconds of work that stopping the task would lose. */
    double lostCpuSeconds(Placement placement) {
        if (placement.runningSinceMillis() == 0) {
            return 0;
        }
        double ranSeconds = (nowMillis - placement.runningSinceMillis()) / 1000.0;
        return (placement.job.spec.checkpointIntervalSeconds() > 0
                        ? placement.job.spec.checkpointSeconds()
                        : ranSeconds)
                * placement.job.spec.cpus();
    }
}
