package io.quincelead.api;

import io.quincelead.cluster.Job;
import io.quincelead.store.Transaction;

/**
 * Takes jobs that are being submitted into the next round, which records them together with their
 * first places.
 */
@FunctionalInterface
public interface JobAdmission {
    /**
     * False if the job has to be recorded by itself; else {@code done} hears once what became of
     * it.
     */
    boolean admit(Job job, long patienceMillis, Transaction.OutcomeHandler onOutcome);
}
