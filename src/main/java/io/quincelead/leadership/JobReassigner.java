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
 * Reassigns the jobs of lost controllers to live ones.
 *
 * <p>The use of a job's tasks moves with the job and adds to what the new owner may use by its
 * quota share. A scheduling cycle that the new owner planned before it knew of the job must not
 * commit after the reassignment, so the new owner's shard is rewritten in the same transaction. All
 * jobs with placements in one transaction go to one owner, because a shard's record is large.
 */
final class JobReassigner {
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership membership;
    private final JobTable jobs;

    /** Round-robin index, modulo the live members, of the next owner of jobs with placements. */
    private int nextOwnerIndex;

    JobReassigner(
            WatchCache watchCache, StoreClient store, ClusterMembership membership, JobTable jobs) {
        this.watchCache = watchCache;
        this.store = store;
        this.membership = membership;
        this.jobs = jobs;
    }

    /**
     * Adds to the transaction as many reassignments as its size and the store's rate limit allow.
     */
    void reassign(Transaction transaction) {
        List<String> liveMembers =
                membership.shards().stream()
                        .map(Shard::ownerId)
                        .filter(memberId -> membership.member(memberId) != null)
                        .toList();
        if (liveMembers.isEmpty()) {
            return;
        }
        int unplacedJobOwnerIndex = 0;
        String placedJobsOwner = liveMembers.get(nextOwnerIndex % liveMembers.size());
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
            // Only after the lost controller's shard is deleted: from then on every placement that
            // it committed is in the watch cache.
            if (membership.shardOf(job.controllerId()) == null) {
                String newOwner =
                        hasPlacements
                                ? placedJobsOwner
                                : liveMembers.get(unplacedJobOwnerIndex++ % liveMembers.size());
                addJobReassignment(transaction, job, newOwner);
                if (rewritesShard) {
                    nextOwnerIndex++;
                    addShardRewrite(transaction, placedJobsShard);
                }
            }
        }
    }

    /**
     * The jobs of lost controllers, first those with pending tasks or a cancellation, which need a
     * controller at once, then by priority.
     */
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

    private void addJobReassignment(Transaction transaction, Job job, String newOwner) {
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
