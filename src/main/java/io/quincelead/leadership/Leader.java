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
 * Other components that decide for the whole cluster write under {@link #newTransaction} too.
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

    /** Whether another cycle is due as soon as the write in flight has committed. */
    private boolean rerunRequested;

    private long quotaDistributedAtMillis;

    /**
     * Starts as a follower; the first cycle is due one interval later.
     *
     * @param provisioningPending whether machines of some provisioning request may not all be on
     *     record yet
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

    /** Whether this controller leads and its lease surely holds now. */
    public boolean isLeading() {
        return election.isLeading();
    }

    /**
     * An empty transaction that commits only while the leader's record is as this process knows it.
     */
    public Transaction newTransaction() {
        return election.newTransaction();
    }

    /** Takes the outcome of a write that began as {@link #newTransaction}. */
    public void onOutcome(Transaction transaction, Transaction.Outcome outcome) {
        writeFence.onOutcome(transaction, outcome);
    }

    /**
     * Whether no write under the leader's precondition is indeterminate; until then nothing may be
     * decided by the records here. Starts settling where it is due.
     */
    public boolean trySettleWrites() {
        return writeFence.trySettle();
    }

    /**
     * Whether an unexpected machine may be registered: not while it could be one of a provisioning
     * request that isn't settled here or whose settling the watch has not brought yet.
     */
    public boolean mayRegisterUnexpectedMachines() {
        return shardAssigner.mayRegisterUnexpectedMachines();
    }

    /**
     * Whether heartbeats of machines that are on no record arrive here: until they are registered,
     * nothing should be provisioned.
     */
    public boolean hasUnregisteredMachines() {
        return shardAssigner.hasUnregisteredMachines();
    }

    /** A worker whose machine has no owner, or that can't reach its owner; ignored by followers. */
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
            // Even the leader's writes overdraw the store's rate limit only a little: what users
            // wait for would pay for it.
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
