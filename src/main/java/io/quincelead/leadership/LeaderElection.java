package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Election by one record that is attached to the winner's membership lease: it is created only
 * where none exists, and it lapses with the lease. Owns this controller's phase.
 */
final class LeaderElection {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    /** Phases of the election; {@link #transitionTo} is the one method that changes them. */
    private enum Phase {
        /** Another controller leads, or nobody does. */
        FOLLOWER,
        /** Our write of the leader's record is in flight. */
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

    /** {@code onLeadershipLost} runs each time that this controller stops being the leader. */
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

    /** Follows the leader's record: it names this very incarnation, or we don't lead. */
    void refreshPhase() {
        ClusterMembership.LeaderRecord leader = membership.leaderRecord();
        boolean isSelf =
                leader != null
                        && leader.memberId().equals(localMemberId)
                        && leader.incarnation() == membershipLease.incarnation();
        if (isSelf) {
            transitionTo(Phase.LEADER);
        } else if (phase == Phase.LEADER) {
            transitionTo(Phase.FOLLOWER);
            onLeadershipLost.run();
        }
    }

    /** Whether the leader's record names this process and its lease surely holds now. */
    boolean isLeading() {
        refreshPhase();
        return phase == Phase.LEADER && membershipLease.isValid();
    }

    /** Whether there is no leader and this controller's member record is known. */
    boolean canCampaign() {
        return membership.leaderRecord() == null && membership.member(localMemberId) != null;
    }

    /**
     * Becomes a candidate and returns the write that wins the election, under the next fencing
     * token. Only one of several candidates' writes meets its preconditions.
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

    /** The campaign's write was refused, or its outcome isn't known. */
    void onCampaignFailed() {
        transitionTo(Phase.FOLLOWER);
    }

    /**
     * An empty transaction that commits only while the leader's record is as this process knows it.
     */
    Transaction newTransaction() {
        return new Transaction()
                .requireRevision(StoreKeys.LEADER, watchCache.modRevision(StoreKeys.LEADER));
    }

    /** Puts the leader's record again as it is; null where there is none. */
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
