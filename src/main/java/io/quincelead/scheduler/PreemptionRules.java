package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.Placement;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.JobClass;
import io.quincelead.policy.Policy;

/** What work a job may preempt, and what that costs. Made for one plan; changes nothing. */
final class PreemptionRules {
    /**
     * One time for the whole cycle, in milliseconds on the loop's clock: time passes while the
     * cycle is planned, and a sort must see one order.
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
        if (policy.isInForce() && !policyAllows(forJob, placement, withinGuarantee)) {
            return false;
        }
        if (plan.entitledTasksByStarvingJob.containsKey(placement.job)
                && QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false)
                        >= QueueOrder.TIER_FIRST_START) {
            // The few tasks that keep a job from starving are stopped for urgent work alone: a
            // guarantee takes other surplus, or the two would take turns.
            return false;
        }
        if (victim.priority().ordinal() > forJob.spec.priority().ordinal()) {
            return plan.tier(placement.job)
                    > QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false);
        }
        return withinGuarantee && isSurplusOfSamePriority(forJob, placement);
    }

    /**
     * For a guarantee the protocol lets us stop work of any priority. We stop only work that comes
     * after this job in the queue: more urgent work would take the capacity back at once, and the
     * two would preempt each other without end. For the same reason a job within its own team's
     * guarantee is left alone, though that team runs more than that besides.
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

    /** Operators' records only narrow what may be preempted. */
    private boolean policyAllows(Job forJob, Placement placement, boolean withinGuarantee) {
        JobClass.PreemptionProtection protection =
                policy.priorityOf(placement.job).preemptionProtection();
        if (protection == JobClass.PreemptionProtection.NEVER
                || protection == JobClass.PreemptionProtection.URGENT && !forJob.spec.isUrgent()) {
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
                policy.priorityOf(job),
                1);
    }

    /** Whether its capacity is about to become free by itself. */
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
