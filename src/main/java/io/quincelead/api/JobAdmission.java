package io.quincelead.api;

import io.quincelead.cluster.Job;
import io.quincelead.store.Transaction;

/**
 * Admits submitted jobs to the next scheduling cycle, which records them together with their first
 * placements.
 */
@FunctionalInterface
public interface JobAdmission {
    /**
     * Offers a job that has no record yet to the next scheduling cycle.
     *
     * @param job the job to be recorded
     * @param timeoutMillis how long the submission may wait for its outcome
     * @param onOutcome called once with the outcome of the commit, if the job was admitted
     * @return whether the job was admitted; if not, the caller has to record it
     */
    boolean admit(Job job, long timeoutMillis, Transaction.OutcomeHandler onOutcome);
}
