package io.quincelead.api;

import io.quincelead.cluster.Job;
import io.quincelead.store.Transaction;

/**
 * Takes submitted jobs into the next scheduling cycle, which records them together with their first
 * placements.
 */
@FunctionalInterface
public interface JobAdmission {
    /**
     * Offers a job that is on no record yet.
     *
     * @param job the job to be recorded
     * @param patienceMillis how long the submission may wait for its outcome
     * @param onOutcome called once with the outcome of the commit, if the job was taken
     * @return false if the job was not taken, so that the caller has to record it by itself
     */
    boolean admit(Job job, long patienceMillis, Transaction.OutcomeHandler onOutcome);
}
