package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.config.Settings;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.Transaction;

/** Escalates jobs that don't fit this controller's shard to the leader. */
final class EscalationEncoder {
    private final StoreAccess storeAccess;
    private final ClusterMembership shards;
    private final Settings settings;

    EscalationEncoder(StoreAccess storeAccess, ClusterMembership shards, Settings settings) {
        this.storeAccess = storeAccess;
        this.shards = shards;
        this.settings = settings;
    }

    /**
     * Adds to the plan's transaction what escalates its jobs to the leader, as far as that fits.
     * What their tasks use moves with them, out of this shard's quota shares and in the same
     * transaction, so the sum of all quota shares and uses can't pass a team's limit.
     */
    void encode(SchedulingPlan plan) {
        String leaderId = shards.leaderId();
        if (plan.jobsToEscalate.isEmpty()
                || leaderId == null
                || leaderId.equals(settings.memberId())
                || shards.shardOf(leaderId) == null) {
            return;
        }
        Transaction transaction = plan.transaction;
        ClusterMembership.Shard shard = plan.shard.copy();
        boolean shardRewritten = false;
        boolean anyEscalated = false;
        for (Job job : plan.jobsToEscalate) {
            if (!transaction.fits(2, 2, storeAccess.client().maxTransactionOperations())) {
                break;
            }
            if (plan.hasChangesOf(job) || plan.admittedJobs.contains(job)) {
                // Its use changes in this very write; the next cycle knows it exactly.
                continue;
            }
            anyEscalated = true;
            requireCurrent(transaction, job.storeKey());
            transaction.put(job.storeKey(), job.encode(leaderId, 0));
            if (job.placedTaskCount() > 0) {
                releaseQuotaShare(shard, job);
                shardRewritten = true;
            }
        }
        if (anyEscalated) {
            requireCurrent(transaction, shard.storeKey());
        }
        if (shardRewritten) {
            transaction.put(shard.storeKey(), shard.encode(), storeAccess.lease().leaseId());
        }
    }

    private static void releaseQuotaShare(ClusterMembership.Shard shard, Job job) {
        ClusterMembership.QuotaShare quotaShare = shard.quotaShare(job.spec.team());
        shard.quotaShares()
                .put(
                        job.spec.team(),
                        quotaShare.minusTasks(
                                job.placedTaskCount(), job.spec.cpus(), job.spec.gpus()));
    }

    private void requireCurrent(Transaction transaction, String key) {
        transaction.requireRevision(key, storeAccess.watchCache().modRevision(key));
    }
}
