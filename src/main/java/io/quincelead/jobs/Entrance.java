package io.quincelead.jobs;

import io.quincelead.records.Job;
import io.quincelead.state.Txn;

/** Takes jobs that are being submitted into the next round, which records them together with their first places. */
@FunctionalInterface
public interface Entrance {
    /** False if the job has to be recorded by itself; else {@code done} hears once what became of it. */
    boolean admit(Job job, long patienceMillis, Txn.Done onOutcome);
}
