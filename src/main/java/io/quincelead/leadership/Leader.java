package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterRecords;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.LeadershipConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.IndeterminateWriteFence;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.worker.MisroutedWorker;
import java.util.function.BooleanSupplier;

/**
 * Runs the election and, while this controller leads, the leader's periodic duties, one write at a
 * time: shard assignment, quota distribution and reassignment of lost controllers' jobs. Every
 * write carries preconditions on the leader's record and on the revisions of the shards it changes.
 * Other components that decide for the whole cluster also start from {@link #newTransaction}.
 */
public final class Leader {
    private final EventLoop eventLoop;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership membership;
    private final LeaderElection election;
    private final ShardAssigner shardAssigner;
    private final ShardRebalancer shardRebalancer;
    private final QuotaDistributor quotaDistributor;
    private final JobReassigner jobReassigner;
    private final IndeterminateWriteFence writeFence;
    private final int maxRecordLength;
    private boolean commitInFlight;

    /** Whether to run another cycle as soon as the write in flight has committed. */
    private boolean rerunRequested;

    private long quotaDistributedAtMillis;

    /**
     * Starts as a follower and schedules the first cycle one interval later.
     *
     * @param provisioningPending whether some provisioning request may have machines that are not
     *     on record yet
     */
    public Leader(
            EventLoop eventLoop,
            Settings settings,
            StoreAccess access,
            ClusterRecords records,
            Policy policy,
            BooleanSupplier provisioningPending) {
        this.eventLoop = eventLoop;
        membershipLease = access.lease();
        watchCache = access.watchCache();
        store = access.client();
        membership = records.membership();
        maxRecordLength = (int) (settings.storeLimits().maxValueKb() * 1024);
        ShardCapacity capacity = new ShardCapacity(records.machines(), records.machineTypes());
        shardAssigner =
                new ShardAssigner(
                        eventLoop,
                        watchCache,
                        store,
                        membership,
                        records.machines(),
                        capacity,
                        provisioningPending);
        shardRebalancer = new ShardRebalancer(eventLoop, membership, capacity);
        quotaDistributor =
                new QuotaDistributor(eventLoop, settings.teams(), watchCache, records, policy);
        jobReassigner = new JobReassigner(watchCache, store, membership, records.jobs());
        election =
                new LeaderElection(
                        settings.memberId(),
                        membershipLease,
                        watchCache,
                        membership,
                        shardAssigner::clearMisroutedWorkers);
        writeFence =
                new IndeterminateWriteFence(
                        eventLoop,
                        store,
                        watchCache,
                        StoreKeys.LEADER,
                        election::rewriteLeaderRecord);
        eventLoop.runEvery(LeadershipConstants.LEADER_INTERVAL_MILLIS, this::runCycle);
        watchCache.addChangeListener(election::refreshPhase);
    }

    /** Whether this controller is the leader and its membership lease is certainly still valid. */
    public boolean isLeading() {
        return election.isLeading();
    }

    /**
     * Creates an empty transaction that commits only while the leader's record has the mod revision
     * that this process knows.
     */
    public Transaction newTransaction() {
        return election.newTransaction();
    }

    /** Handles the outcome of a write that was started with {@link #newTransaction}. */
    public void onOutcome(Transaction transaction, Transaction.Outcome outcome) {
        writeFence.onOutcome(transaction, outcome);
    }

    /**
     * Returns whether no write under the precondition on the leader's record is indeterminate; if
     * false, no decision may be based on the local copy of the records. Starts to settle
     * indeterminate writes where that is due.
     */
    public boolean trySettleWrites() {
        return writeFence.trySettle();
    }

    /**
     * Whether an unexpected machine may be registered. It may not while it could belong to a
     * provisioning request that is not settled, or whose settlement the watch has not delivered to
     * this process yet.
     */
    public boolean mayRegisterUnexpectedMachines() {
        return shardAssigner.mayRegisterUnexpectedMachines();
    }

    /**
     * Whether this leader knows of heartbeats from machines that are on no record. No machine
     * should be provisioned until those are registered.
     */
    public boolean hasUnexpectedMachines() {
        return shardAssigner.hasUnexpectedMachines();
    }

    /**
     * Handles a worker whose machine has no owner, or that can't reach its owner; does nothing on a
     * follower.
     */
    public void onMisroutedWorker(MisroutedWorker worker) {
        if (isLeading() && shardAssigner.addMisroutedWorker(worker)) {
            if (commitInFlight) {
                rerunRequested = true;
            } else {
                eventLoop.runAfter(
                        LeadershipConstants.SHARD_ASSIGNMENT_BATCH_MILLIS, this::runCycle);
            }
        }
    }

    private void runCycle() {
        if (!membershipLease.isValid() || !watchCache.isSynced() || commitInFlight) {
            return;
        }
        if (election.canCampaign()) {
            commit(election.beginCampaign(), election::onCampaignFailed);
        } else if (isLeading()
                && trySettleWrites()
                && (store.canAffordUrgentWrite() || membership.localShard() == null)) {
            // Even the leader's writes may exceed the store's rate limit only a little: more would
            // delay the writes that users wait for.
            runLeaderDuties();
        }
    }

    private void runLeaderDuties() {
        shardRebalancer.recordLiveMembers();
        if (membership.members().isEmpty()) {
            return;
        }
        Transaction transaction = newTransaction();
        ShardUpdate update = new ShardUpdate(membership);
        if (!shardAssigner.assign(update, transaction)) {
            rerunRequested = true;
        }
        shardRebalancer.rebalance(update);
        long now = eventLoop.nowMillis();
        if (now - quotaDistributedAtMillis >= LeadershipConstants.QUOTA_SHARES_INTERVAL_MILLIS
                || update.hasChanges()) {
            quotaDistributedAtMillis = now;
            quotaDistributor.distribute(update);
        }
        if (update.hasChanges()) {
            update.addTo(transaction, watchCache, maxRecordLength);
        } else {
            jobReassigner.reassign(transaction);
        }
        if (!transaction.isEmpty()) {
            commit(transaction, () -> {});
        }
    }

    private void commit(Transaction transaction, Runnable onFailure) {
        commitInFlight = true;
        store.commit(
                transaction,
                outcome -> {
                    commitInFlight = false;
                    onOutcome(transaction, outcome);
                    if (outcome.result() != Transaction.Result.COMMITTED) {
                        onFailure.run();
                        return;
                    }
                    watchCache.applyCommitted(transaction, outcome.storeRevision());
                    if (rerunRequested) {
                        rerunRequested = false;
                        eventLoop.runAfter(0, this::runCycle);
                    }
                });
    }
}
