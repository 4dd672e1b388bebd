package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.PolicyConstants;

/**
 * A job's position among waiting work by the operators' records.
 *
 * @param priorityClass the job's priority class; null: none matches it
 * @param rank rank of the class; smaller ranks go first
 * @param occurrence occurrence that covers the job and raises its priority; null: none does
 * @param publicationMillis when the occurrence's publication is due, in ms since 1970; 0: none
 */
public record EffectivePriority(
        PriorityClass priorityClass,
        int rank,
        ScheduledOccurrence occurrence,
        long publicationMillis) {
    /** Whether an occurrence covers the job; covered work goes first in its tier. */
    public boolean isCovered() {
        return publicationMillis > 0;
    }

    /** Which work may preempt the job's running tasks. */
    public PriorityClass.PreemptionProtection preemptionProtection() {
        return priorityClass == null
                ? PriorityClass.PreemptionProtection.PROTOCOL
                : priorityClass.preemptionProtection();
    }

    /** The priority by which the job is ordered, as a number; smaller ones go first. */
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

    /**
     * Share of the job's tasks, 0 to 1, that should have started within {@link
     * #startWithinSeconds}.
     */
    double minStartedShare() {
        return priorityClass == null
                ? PolicyConstants.DEFAULT_MIN_STARTED_FRACTION
                : priorityClass.minStartedShare();
    }
}
