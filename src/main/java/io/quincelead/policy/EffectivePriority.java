package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.PolicyConstants;

/**
 * What operators' records say of a job's place among waiting work. {@code rank}: of its class, the
 * smaller the earlier. {@code publicationMs}: of the open window that covers it, in ms since 1970;
 * 0: none. {@code jobClass} and {@code occurrence} say where each comes from; null: from nowhere.
 */
public record EffectivePriority(
        JobClass jobClass, int rank, ScheduledOccurrence occurrence, long publicationMillis) {
    /** Covered work goes first in its tier. */
    public boolean isCovered() {
        return publicationMillis > 0;
    }

    public JobClass.PreemptionProtection preemptionProtection() {
        return jobClass == null
                ? JobClass.PreemptionProtection.PROTOCOL
                : jobClass.preemptionProtection();
    }

    /** The urgency by which the job is ordered, as a number, the smaller the earlier. */
    public int orderingPriority(JobSpec spec) {
        int ownPriority = spec.priority().ordinal();
        return jobClass == null
                ? ownPriority
                : switch (jobClass.orderingPriority()) {
                    case NONE -> ownPriority;
                    case NORMAL -> Math.min(ownPriority, JobSpec.Priority.NORMAL.ordinal());
                    case HIGH -> Math.min(ownPriority, JobSpec.Priority.HIGH.ordinal());
                    case PRODUCTION -> JobSpec.Priority.PRODUCTION.ordinal();
                };
    }

    /** Seconds within which the job should have begun. */
    public double startWithinSeconds() {
        return jobClass == null
                ? PolicyConstants.DEFAULT_BEGIN_WITHIN_SECONDS
                : jobClass.startWithinSeconds();
    }

    double minStartedShare() {
        return jobClass == null
                ? PolicyConstants.DEFAULT_MIN_BEGUN_FRACTION
                : jobClass.minStartedShare();
    }
}
