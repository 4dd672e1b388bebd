package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.config.Settings;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.Transaction;

/** Encodes the escalation to the leader of jobs that don't fit into this controller's shard. */
final class EscalationEncoder {
    private final StoreAccess storeAccess;
    private final ClusterMembership membership;
    private final Settings settings;

    EscalationEncoder(StoreAccess storeAccess, ClusterMembership membership, Settings settings) {
        this.storeAccess = storeAccess;
        this.membership = membership;
        this.settings = settings;
    }

    /**
     * Adds the escalation of the plan's jobs to the plan's transaction, as far as it fits. The
     * quota that their placed tasks use is deducted from this shard's quota shares in the same
     * transaction, so the sum of all quota shares and usage can't exceed a team's limit.
     */
    void encode(SchedulingPlan plan) {
        String leaderId = membership.leaderId();
        if (plan.jobsToEscalate.isEmpty()
                || leaderId == null
                || leaderId.equals(settings.memberId())
                || membership.shardOf(leaderId) == null) {
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
                // The job's usage changes in this transaction; the next cycle knows it exactly.
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
