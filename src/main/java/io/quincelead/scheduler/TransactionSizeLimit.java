package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.store.Transaction;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits how many records a scheduling transaction holds after the store has called one invalid,
 * for example as too large: half as many each time, down to one, so that the other records get
 * through. A single record that the store refuses belongs to a job of which this process records
 * nothing any more; the same transaction would be refused again and again.
 */
final class TransactionSizeLimit {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionSizeLimit.class);

    private final int maxTransactionOperations;
    private final Set<Job> unrecordableJobs = Collections.newSetFromMap(new WeakHashMap<>());
    private int maxRecords;

    TransactionSizeLimit(int maxTransactionOperations) {
        this.maxTransactionOperations = maxTransactionOperations;
        this.maxRecords = maxTransactionOperations;
    }

    /** The most records that the next transaction should hold; at least one. */
    int maxRecords() {
        return maxRecords;
    }

    /** Jobs whose record the store refused although it was the only one; a live view. */
    Set<Job> unrecordableJobs() {
        return Collections.unmodifiableSet(unrecordableJobs);
    }

    /**
     * Adapts the limit to a transaction's result.
     *
     * @param recordedJobs the jobs whose records the transaction wrote, one for each record
     */
    void onOutcome(Transaction.Result result, List<Job> recordedJobs) {
        if (result == Transaction.Result.COMMITTED) {
            maxRecords = Math.min(maxTransactionOperations, 2 * maxRecords);
        } else if (result == Transaction.Result.INVALID) {
            if (recordedJobs.size() == 1) {
                Job job = recordedJobs.get(0);
                unrecordableJobs.add(job);
                LOG.error("the record of job {} can't be written", job.spec.jobId());
            }
            maxRecords = Math.max(1, Math.min(maxRecords, recordedJobs.size()) / 2);
        }
    }
}
