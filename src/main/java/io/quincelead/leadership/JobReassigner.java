package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Gives the jobs of lost controllers to live ones.
 *
 * <p>What a job's tasks use moves with it, beside what its new owner may use by its quota share. A
 * scheduling cycle that the new owner planned before it knew of the job must not commit after the
 * move, so the new owner's shard is rewritten in the same transaction. Jobs with placements go to
 * one owner a transaction, for a shard's record is large.
 */
final class JobReassigner {
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership membership;
    private final JobTable jobs;

    /** Counts the owners that got jobs with placements; the next one follows in turn. */
    private int ownerTurn;

    JobReassigner(
            WatchCache watchCache, StoreClient store, ClusterMembership membership, JobTable jobs) {
        this.watchCache = watchCache;
        this.store = store;
        this.membership = membership;
        this.jobs = jobs;
    }

    /** Adds as many jobs' reassignments as fit the transaction and the store's rate limit. */
    void reassign(Transaction transaction) {
        List<String> liveMembers =
                membership.shards().stream()
                        .map(Shard::ownerId)
                        .filter(memberId -> membership.member(memberId) != null)
                        .toList();
        if (liveMembers.isEmpty()) {
            return;
        }
        int idleJobTurn = 0;
        String placedJobsOwner = liveMembers.get(ownerTurn % liveMembers.size());
        Shard placedJobsShard = membership.shardOf(placedJobsOwner);
        int maxWrites = store.affordableWrites();
        for (Job job : orphanedJobs()) {
            boolean hasPlacements = job.placedTaskCount() > 0;
            boolean rewritesShard =
                    hasPlacements && !transaction.writesKey(placedJobsShard.storeKey());
            int writes = rewritesShard ? 2 : 1;
            if (transaction.operationCount() + writes > maxWrites
                    || !transaction.fits(writes, 2 + writes, store.maxTransactionOperations())) {
                break;
            }
            // Only after the lost controller's shard is gone: then nothing it placed can be unknown
            // here.
            if (membership.shardOf(job.controllerId()) == null) {
                String newOwner =
                        hasPlacements
                                ? placedJobsOwner
                                : liveMembers.get(idleJobTurn++ % liveMembers.size());
                addJob(transaction, job, newOwner);
                if (rewritesShard) {
                    ownerTurn++;
                    addShardRewrite(transaction, placedJobsShard);
                }
            }
        }
    }

    /** Those first that have pending tasks or a cancellation: the others lack nothing yet. */
    private List<Job> orphanedJobs() {
        List<Job> orphanedJobs = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (membership.member(job.controllerId()) == null) {
                orphanedJobs.add(job);
            }
        }
        orphanedJobs.sort(
                Comparator.comparing((Job job) -> job.pendingTaskCount() == 0 && !job.isCancelled())
                        .thenComparing(job -> job.spec.priority()));
        return orphanedJobs;
    }

    private void addJob(Transaction transaction, Job job, String newOwner) {
        transaction
                .requireRevision(job.storeKey(), watchCache.modRevision(job.storeKey()))
                .requireRevision(StoreKeys.SHARD_PREFIX + job.controllerId(), 0)
                .put(job.storeKey(), job.encode(newOwner, job.cancelledAtEpochMillis()));
    }

    private void addShardRewrite(Transaction transaction, Shard shard) {
        transaction
                .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                .put(
                        shard.storeKey(),
                        shard.encode(),
                        membership.member(shard.ownerId()).leaseId());
    }
}
