package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects the leader by means of one record in the store, attached to the winner's membership lease.
 * The record can be created only while none exists, and it expires with the lease. Owns this
 * controller's election phase.
 */
final class LeaderElection {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    /** This controller's election phase; only {@link #transitionTo} changes it. */
    private enum Phase {
        /** Another controller is the leader, or there is none. */
        FOLLOWER,
        /** This controller's write of the leader's record is in flight. */
        CANDIDATE,
        /** The leader's record names this process. */
        LEADER
    }

    private final String localMemberId;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final ClusterMembership membership;
    private final Runnable onLeadershipLost;
    private Phase phase = Phase.FOLLOWER;

    /**
     * Starts as a follower.
     *
     * @param onLeadershipLost runs each time this controller stops being the leader
     */
    LeaderElection(
            String localMemberId,
            MembershipLease membershipLease,
            WatchCache watchCache,
            ClusterMembership membership,
            Runnable onLeadershipLost) {
        this.localMemberId = localMemberId;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.membership = membership;
        this.onLeadershipLost = onLeadershipLost;
    }

    private void transitionTo(Phase next) {
        if (phase != next) {
            LOG.info("leadership {} -> {}", phase, next);
            phase = next;
        }
    }

    /**
     * Updates the phase from the leader's record: this controller is the leader only while the
     * record names its current incarnation.
     */
    void refreshPhase() {
        ClusterMembership.LeaderRecord leader = membership.leaderRecord();
        boolean namesThisProcess =
                leader != null
                        && leader.memberId().equals(localMemberId)
                        && leader.incarnation() == membershipLease.incarnation();
        if (namesThisProcess) {
            transitionTo(Phase.LEADER);
        } else if (phase == Phase.LEADER) {
            transitionTo(Phase.FOLLOWER);
            onLeadershipLost.run();
        }
    }

    /** Whether the leader's record names this process and its lease is certainly still valid. */
    boolean isLeading() {
        refreshPhase();
        return phase == Phase.LEADER && membershipLease.isValid();
    }

    /** Whether there is no leader and this controller's member record is in the watch cache. */
    boolean canCampaign() {
        return membership.leaderRecord() == null && membership.member(localMemberId) != null;
    }

    /**
     * Becomes a candidate and returns the write that wins the election if it commits, under the
     * next fencing token. Of several candidates' writes, the preconditions let only one commit.
     */
    Transaction beginCampaign() {
        transitionTo(Phase.CANDIDATE);
        long fencingToken = membership.latestFencingToken() + 1;
        Transaction campaign =
                new Transaction()
                        .requireRevision(StoreKeys.LEADER, 0)
                        .put(
                                StoreKeys.LEADER,
                                new ClusterMembership.LeaderRecord(
                                                localMemberId,
                                                membershipLease.incarnation(),
                                                fencingToken)
                                        .encode(),
                                membershipLease.leaseId());
        return FencingTokenCounter.raise(campaign, watchCache, fencingToken);
    }

    /**
     * Becomes a follower again after the campaign's write was rejected or its outcome is unknown.
     */
    void onCampaignFailed() {
        transitionTo(Phase.FOLLOWER);
    }

    /**
     * Creates an empty transaction that commits only while the leader's record has the mod revision
     * that this process knows.
     */
    Transaction newTransaction() {
        return new Transaction()
                .requireRevision(StoreKeys.LEADER, watchCache.modRevision(StoreKeys.LEADER));
    }

    /** A transaction that rewrites the leader's record unchanged; null if there is no record. */
    Transaction rewriteLeaderRecord() {
        return membership.leaderRecord() == null
                ? null
                : newTransaction()
                        .put(
                                StoreKeys.LEADER,
                                membership.leaderRecord().encode(),
                                membershipLease.leaseId());
    }
}
