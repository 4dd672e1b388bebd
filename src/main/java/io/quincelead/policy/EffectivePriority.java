package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.PolicyConstants;

/**
 * A job's position among waiting work by the operators' records.
 *
 * @param priorityClass the job's priority class; null: none matches it
 * @param rank of the class, the smaller the earlier
 * @param occurrence whose window is open and covers the job; null: none does
 * @param publicationMillis when the occurrence's publication is due, in ms since 1970; 0: none
 */
public record EffectivePriority(
        PriorityClass priorityClass,
        int rank,
        ScheduledOccurrence occurrence,
        long publicationMillis) {
    /** Covered work goes first in its tier. */
    public boolean isCovered() {
        return publicationMillis > 0;
    }

    /** Whom the job's running tasks may be preempted for. */
    public PriorityClass.PreemptionProtection preemptionProtection() {
        return priorityClass == null
                ? PriorityClass.PreemptionProtection.PROTOCOL
                : priorityClass.preemptionProtection();
    }

    /** The priority by which the job is ordered, as a number, the smaller the earlier. */
    public int orderingPriority(JobSpec spec) {
        int ownPriority = spec.priority().ordinal();
        return priorityClass == null
                ? ownPriority
                : switch (priorityClass.priorityFloor()) {
                    case NONE -> ownPriority;
                    case NORMAL -> Math.min(ownPriority, JobSpec.Priority.NORMAL.ordinal());
                    case HIGH -> Math.min(ownPriority, JobSpec.Priority.HIGH.ordinal());
                    case PRODUCTION -> JobSpec.Priority.PRODUCTION.ordinal();
                };
    }

    /** Seconds within which the job should have started its first tasks. */
    public double startWithinSeconds() {
        return priorityClass == null
                ? PolicyConstants.DEFAULT_START_WITHIN_SECONDS
                : priorityClass.startWithinSeconds();
    }

    /** Part of the job's tasks, 0 to 1, that should have started by then. */
    double minStartedShare() {
        return priorityClass == null
                ? PolicyConstants.DEFAULT_MIN_STARTED_FRACTION
                : priorityClass.minStartedShare();
    }
}
