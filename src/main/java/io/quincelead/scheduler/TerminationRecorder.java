package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;

/** Records terminations that are known by evidence, by edits in a plan. */
interface TerminationRecorder {
    /** Records the terminations that are due. */
    void recordDue(SchedulingPlan plan);

    /**
     * Records terminations of the job's team, due or not, until the team's quota share admits this
     * many tasks of the job.
     */
    void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks);
}
