package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.Map;

/**
 * Encodes a plan's edits into its transaction. The preconditions make a cycle safe: the revision of
 * this controller's shard (the fencing token), that of each job and page the plan touches, the
 * generations of the operators' records it was planned by, and for the leader those of the
 * leadership and of all shards.
 */
final class PlanEncoder {
    private final WatchCache watchCache;
    private final ClusterMembership membership;
    private final Policy policy;

    PlanEncoder(WatchCache watchCache, ClusterMembership membership, Policy policy) {
        this.watchCache = watchCache;
        this.membership = membership;
        this.policy = policy;
    }

    void encode(SchedulingPlan plan) {
        boolean anyChange = false;
        for (Map.Entry<TaskStatePage, TaskStatePageEdit> entry : plan.edits.entrySet()) {
            TaskStatePageEdit edit = entry.getValue();
            if (plan.admittedJobs.contains(edit.page().job)) {
                encodeAdmittedJob(plan, edit);
                anyChange |= edit.isChanged();
            } else if (edit.isChanged()) {
                anyChange = true;
                encodePage(plan.transaction, edit);
            }
        }
        if (anyChange) {
            requireUnchangedAuthority(plan);
        }
    }

    /**
     * Encodes a job that is admitted with this plan: neither the job nor a final state of the same
     * id may be on record yet.
     */
    private void encodeAdmittedJob(SchedulingPlan plan, TaskStatePageEdit edit) {
        Job job = edit.page().job;
        String leaderId = membership.leaderId();
        boolean assignedToLeader =
                !edit.isChanged()
                        && plan.jobsToEscalate.contains(job)
                        && leaderId != null
                        && membership.shardOf(leaderId) != null;
        plan.transaction
                .requireRevision(job.storeKey(), 0)
                .requireRevision(StoreKeys.FINAL_STATE_PREFIX + job.spec.jobId(), 0)
                .put(job.storeKey(), assignedToLeader ? job.encode(leaderId, 0) : edit.encode());
    }

    private void encodePage(Transaction transaction, TaskStatePageEdit edit) {
        String pageKey = edit.page().storeKey();
        transaction.put(pageKey, edit.encode());
        requireCurrent(transaction, pageKey);
        requireCurrent(transaction, edit.page().job.storeKey());
    }

    private void requireUnchangedAuthority(SchedulingPlan plan) {
        requireCurrent(plan.transaction, plan.shard.storeKey());
        policy.requireCurrentPolicy(plan.transaction);
        if (plan.leading) {
            requireCurrent(plan.transaction, StoreKeys.LEADER);
            for (ClusterMembership.Shard shard : membership.shards()) {
                requireCurrent(plan.transaction, shard.storeKey());
            }
        }
    }

    private void requireCurrent(Transaction transaction, String key) {
        transaction.requireRevision(key, watchCache.modRevision(key));
    }
}
