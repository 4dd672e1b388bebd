package io.quincelead.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the final states of jobs: moves each job whose tasks have all terminated to its final
 * key.
 */
final class JobCompleter {
    private static final Logger LOG = LoggerFactory.getLogger(JobCompleter.class);

    private final EventLoop loop;
    private final ApiStore store;
    private final ApiCluster cluster;
    private final Policy policy;
    private final FinalStates finalStates;

    /** IDs of the jobs whose completion is being committed or waits for a retry. */
    private final Set<String> completingJobIds = new HashSet<>();

    private boolean removingOrphans;

    JobCompleter(
            EventLoop loop,
            ApiStore store,
            ApiCluster cluster,
            Policy policy,
            FinalStates finalStates) {
        this.loop = loop;
        this.store = store;
        this.cluster = cluster;
        this.policy = policy;
        this.finalStates = finalStates;
    }

    /** Moves terminated jobs to their final keys. A response says "done" only after that commit. */
    void completeTerminatedJobs() {
        if (!store.lease().isValid() || store.committer().isFull()) {
            return;
        }
        for (Job job : cluster.jobs().all()) {
            if (isTerminated(job) && isResponsibleFor(job)) {
                complete(job);
            }
        }
        removeOrphanedPages();
    }

    private boolean isTerminated(Job job) {
        return job.isComplete()
                || job.isCancelled() && job.placedTaskCount() == 0
                || job.isCompleteByEvidence()
                        && cluster.membership().localShard() != null
                        && job.pages.length <= store.client().maxTransactionOperations() - 2;
    }

    /**
     * Whether this controller completes the job: as its owner, or as the leader if the job's owner
     * is no longer a member.
     */
    private boolean isResponsibleFor(Job job) {
        return job.controllerId().equals(cluster.settings().memberId())
                || cluster.membership().member(job.controllerId()) == null && cluster.isLeader();
    }

    /** Moves one terminated job to its final key, unless that is in progress already. */
    void complete(Job job) {
        if (!completingJobIds.contains(job.spec.jobId())) {
            recordCompletion(job);
        }
    }

    private void recordCompletion(Job job) {
        String jobId = job.spec.jobId();
        String status = job.isCancelled() ? ApiCodec.CANCELLED : ApiCodec.DONE;
        int completedTasks = job.isCancelled() ? job.completedTaskCount() : job.spec.taskCount();
        ObjectNode finalRecord = ApiCodec.encodeFinalRecord(status, completedTasks);
        Transaction transaction =
                new Transaction()
                        .requireRevision(job.storeKey(), store.cache().modRevision(job.storeKey()))
                        .remove(job.storeKey())
                        .put(StoreKeys.FINAL_STATE_PREFIX + jobId, finalRecord);
        policy.recordCompletion(job, finalRecord, transaction, loop.wallClockMillis());
        requireAndRemovePages(job, transaction);
        if (!job.isComplete() && !job.isCancelled()) {
            // Some terminations are known by evidence that isn't on record yet. Evidence is valid
            // only while this controller owns the machines, so its shard must be unchanged.
            String shardKey = cluster.membership().localShard().storeKey();
            transaction.requireRevision(shardKey, store.cache().modRevision(shardKey));
        }
        ObjectNode response = ApiCodec.encodeFinalStatus(jobId, status, completedTasks);
        completingJobIds.add(jobId);
        store.committer()
                .submit(
                        transaction,
                        StoreConstants.REQUEST_TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome.result() == Transaction.Result.COMMITTED) {
                                finalStates.cacheCommitted(jobId, response);
                                completingJobIds.remove(jobId);
                            } else {
                                LOG.debug(
                                        "the completion of {} was not recorded: {}",
                                        jobId,
                                        outcome.result());
                                loop.runAfter(
                                        StoreConstants.RETRY_DELAY_MILLIS,
                                        () -> {
                                            completingJobIds.remove(jobId);
                                            completeTerminatedJobs();
                                        });
                            }
                        });
    }

    /**
     * Adds preconditions on the job's separate task state pages, and their removal, for as many
     * pages as fit the transaction.
     */
    private void requireAndRemovePages(Job job, Transaction transaction) {
        int maxOperations = store.client().maxTransactionOperations();
        List<String> keys = TaskPageKeys.of(job);
        for (int pageIndex = 0; pageIndex < keys.size(); pageIndex++) {
            boolean exists = job.pages[pageIndex] != null;
            if (!transaction.fits(exists ? 1 : 0, 1, maxOperations)) {
                continue;
            }
            // The precondition is also needed for a page that this controller doesn't know: one
            // that completes another controller's job may not have seen yet that tasks were placed.
            String key = keys.get(pageIndex);
            transaction.requireRevision(key, store.cache().modRevision(key));
            if (exists) {
                transaction.remove(key);
            }
        }
    }

    /** Removes task state pages that were left on record when a large job was completed. */
    private void removeOrphanedPages() {
        if (removingOrphans || cluster.jobs().orphanPageKeys().isEmpty() || !cluster.isLeader()) {
            return;
        }
        Transaction transaction = new Transaction();
        for (String key : cluster.jobs().orphanPageKeys()) {
            // The job must have no record any more: after a relist a page may be seen before its
            // job.
            String jobKey =
                    StoreKeys.JOB_PREFIX
                            + key.substring(
                                    StoreKeys.TASK_STATE_PAGE_PREFIX.length(),
                                    key.lastIndexOf('/'));
            if (!transaction.fits(1, 1, store.client().maxTransactionOperations())) {
                break;
            }
            transaction.requireRevision(jobKey, 0).remove(key);
        }
        removingOrphans = true;
        store.committer()
                .submit(
                        transaction,
                        StoreConstants.REQUEST_TIMEOUT_MILLIS,
                        outcome ->
                                loop.runAfter(
                                        StoreConstants.RETRY_DELAY_MILLIS,
                                        () -> {
                                            removingOrphans = false;
                                            completeTerminatedJobs();
                                        }));
    }
}
