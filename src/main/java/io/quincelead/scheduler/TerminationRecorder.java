package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;

/** How terminations that are known by evidence get on record: by edits in a plan. */
interface TerminationRecorder {
    /** Records those that are due. */
    void recordDue(SchedulingPlan plan);

    /**
     * Records those of the job's team, due or not, until its quota share lets in this many tasks of
     * the job.
     */
    void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks);
}
