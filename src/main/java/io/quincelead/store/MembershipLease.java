package io.quincelead.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.LeaseConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's membership: a lease in the store that the controller renews, and its member
 * record, which is attached to the lease. The controller's shard and its leadership are attached to
 * the same lease, so all of them expire together.
 */
public final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

    /** States of the membership; {@link #transitionTo} is the one function that changes them. */
    private enum Phase {
        /** This controller has no lease. */
        NOT_MEMBER,
        /**
         * This controller has given up its lease, because it can't follow the records; it doesn't
         * join.
         */
        SUSPENDED,
        /**
         * This controller has a lease; it revokes its predecessor's lease and announces its member
         * record.
         */
        JOINING,
        /**
         * The member record has been announced. The lease may have expired since: see {@link
         * #isValid}.
         */
        MEMBER
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String memberId;
    private final String address;
    private final long leaseMillis;
    private Phase phase = Phase.NOT_MEMBER;
    private long leaseId;
    private long validUntilMillis;
    private boolean renewalInFlight;
    private boolean renewalRetryScheduled;

    /** Store revision at which the member record of the current lease was announced. */
    private long announcedRevision;

    /**
     * Creates a membership that isn't started.
     *
     * @param memberId this controller's member ID
     * @param address the address at which peers reach this controller
     * @param leaseMillis the lease's time to live
     */
    public MembershipLease(
            EventLoop loop, StoreClient store, String memberId, String address, long leaseMillis) {
        this.loop = loop;
        this.store = store;
        this.memberId = memberId;
        this.address = address;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Time to live, in milliseconds, of a controller's lease: the operators' setting, or a fraction
     * of the workers' leases if that is shorter.
     */
    public static long leaseMillis(double shardLeaseSeconds, double workerLeaseSeconds) {
        return (long)
                (Math.min(
                                shardLeaseSeconds,
                                workerLeaseSeconds * LeaseConstants.CONTROLLER_LEASE_FRACTION)
                        * 1000);
    }

    private void transitionTo(Phase next) {
        LOG.info("membership {} -> {}", phase, next);
        phase = next;
    }

    /** Joins the cluster and then renews the lease periodically. Must be called only once. */
    public void start() {
        join();
        loop.runEvery(leaseMillis / LeaseConstants.RENEWALS_PER_LEASE, this::renew);
    }

    /**
     * Whether the member record has been announced; the lease may have expired since ({@link
     * #isValid}).
     */
    public boolean isMember() {
        return phase == Phase.MEMBER;
    }

    /**
     * Whether the lease certainly hasn't expired: its time is counted from when the last successful
     * renewal was sent, with a margin for clock drift.
     */
    public boolean isValid() {
        return phase == Phase.MEMBER && loop.nowMillis() < validUntilMillis;
    }

    /**
     * Identifies this membership among all memberships of the same controller. It is the lease ID,
     * because the store never issues one twice; a timestamp would not do, because two consecutive
     * processes started within a fraction of a second may see the same time of day.
     */
    public long incarnation() {
        return leaseId;
    }

    /**
     * The ID of the current lease, to which keys are attached; 0 before the first lease is created.
     */
    public long leaseId() {
        return leaseId;
    }

    /**
     * Gives up the membership, and with it the shard and the leadership, so that the other
     * controllers take over at once. Lasts until {@link #resume}.
     */
    public void suspend() {
        if (phase == Phase.SUSPENDED) {
            return;
        }
        boolean hasLease = phase != Phase.NOT_MEMBER;
        transitionTo(Phase.SUSPENDED);
        if (hasLease) {
            // If the store doesn't get this, the lease expires, since it isn't renewed any more.
            revoke(leaseId);
        }
    }

    /** Joins again after {@link #suspend}. */
    public void resume() {
        if (phase == Phase.SUSPENDED) {
            join();
        }
    }

    private void revoke(long revokedLeaseId) {
        store.revokeLease(revokedLeaseId, (status, body) -> {});
    }

    /** Takes a step of joining after a delay, unless the phase isn't the expected one by then. */
    private void retryIn(Phase expected, Runnable step) {
        loop.runAfter(
                StoreConstants.RETRY_DELAY_MILLIS,
                () -> {
                    if (phase == expected) {
                        step.run();
                    }
                });
    }

    private void join() {
        transitionTo(Phase.NOT_MEMBER);
        long sentAtMillis = loop.nowMillis();
        store.createLease(
                leaseMillis,
                (status, body) -> {
                    OptionalLong createdLeaseId =
                            status == 200 ? StoreCodec.leaseId(body) : OptionalLong.empty();
                    if (phase != Phase.NOT_MEMBER) {
                        createdLeaseId.ifPresent(this::revoke);
                        return;
                    }
                    if (createdLeaseId.isEmpty()) {
                        retryIn(Phase.NOT_MEMBER, this::join);
                        return;
                    }
                    leaseId = createdLeaseId.getAsLong();
                    validUntilMillis = expiryMillis(sentAtMillis);
                    transitionTo(Phase.JOINING);
                    revokePredecessorLease();
                });
    }

    /**
     * Revokes the lease of this member's previous process. The platform runs only one process per
     * member, so a process that left a member record is dead, and its lease need not run until it
     * expires.
     */
    private void revokePredecessorLease() {
        if (phase != Phase.JOINING) {
            return;
        }
        store.get(
                StoreKeys.MEMBER_PREFIX + memberId,
                (status, body) -> {
                    if (status == 404) {
                        announce(0);
                        return;
                    }
                    if (status != 200) {
                        retryIn(Phase.JOINING, this::revokePredecessorLease);
                        return;
                    }
                    OptionalLong recordedLeaseId = StoreCodec.leaseId(body);
                    if (recordedLeaseId.isPresent() && recordedLeaseId.getAsLong() != leaseId) {
                        store.revokeLease(
                                recordedLeaseId.getAsLong(),
                                (revokeStatus, revokeBody) ->
                                        loop.runAfter(
                                                revokeStatus == 200 || revokeStatus == 404
                                                        ? 0
                                                        : StoreConstants.RETRY_DELAY_MILLIS,
                                                this::revokePredecessorLease));
                    } else {
                        announce(StoreCodec.modRevision(body));
                    }
                });
    }

    /**
     * Writes the member record, with the mod revision that was read (0 if there is no record) as
     * the precondition: an announcement of the predecessor that is still in transit when its
     * successor is a member must not replace the successor's record.
     */
    private void announce(long modRevision) {
        ObjectNode memberRecord = StoreCodec.encodeMemberRecord(address, leaseId);
        long announcedLeaseId = leaseId;
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.MEMBER_PREFIX + memberId, modRevision)
                        .put(StoreKeys.MEMBER_PREFIX + memberId, memberRecord, announcedLeaseId),
                outcome -> {
                    if (announcedLeaseId != leaseId || phase != Phase.JOINING) {
                        return;
                    }
                    switch (outcome.result()) {
                        case COMMITTED -> {
                            announcedRevision = outcome.storeRevision();
                            transitionTo(Phase.MEMBER);
                        }
                        case REJECTED ->
                                retryIn(
                                        Phase.JOINING,
                                        loop.nowMillis() < validUntilMillis
                                                ? this::revokePredecessorLease
                                                : this::join);
                        default -> retryIn(Phase.JOINING, this::revokePredecessorLease);
                    }
                });
    }

    /**
     * Compares this controller's member record with the one that this process announced. If the
     * record names another lease, all other controllers regard this one as lost although its lease
     * hasn't expired, so it joins again under a new lease.
     *
     * @param recordedLeaseId the lease that the record names; 0 if there is no record
     * @param storeRevision the store revision at which the record was read
     */
    public void verifyMemberRecord(long recordedLeaseId, long storeRevision) {
        if (phase == Phase.MEMBER
                && storeRevision >= announcedRevision
                && recordedLeaseId != leaseId) {
            LOG.info(
                    "the member record of {} names lease {} instead of {}",
                    memberId,
                    recordedLeaseId,
                    leaseId);
            revoke(leaseId);
            join();
        }
    }

    /** Renews the lease unless a renewal is still in flight. */
    private void renew() {
        if (phase == Phase.NOT_MEMBER || phase == Phase.SUSPENDED || renewalInFlight) {
            return;
        }
        renewalInFlight = true;
        long sentAtMillis = loop.nowMillis();
        long renewedLeaseId = leaseId;
        store.renewLease(
                renewedLeaseId,
                (status, body) -> {
                    renewalInFlight = false;
                    if (renewedLeaseId == leaseId && phase != Phase.SUSPENDED) {
                        onRenewalResponse(status, sentAtMillis);
                    }
                });
    }

    private void onRenewalResponse(int status, long sentAtMillis) {
        if (status == 200) {
            boolean hadExpired = !isValid();
            validUntilMillis = Math.max(validUntilMillis, expiryMillis(sentAtMillis));
            if (hadExpired && isValid()) {
                LOG.info("the lease {} is valid again", leaseId);
            }
        } else if (status != 404) {
            retryRenewal();
        } else if (phase != Phase.NOT_MEMBER) {
            LOG.info("the lease {} has expired", leaseId);
            join();
        }
    }

    /**
     * Schedules another renewal after a failed one, without waiting for the periodic renewal:
     * without a valid lease this controller can accept no requests and make no decisions.
     */
    private void retryRenewal() {
        if (renewalRetryScheduled) {
            return;
        }
        renewalRetryScheduled = true;
        loop.runAfter(
                StoreConstants.RETRY_DELAY_MILLIS,
                () -> {
                    renewalRetryScheduled = false;
                    renew();
                });
    }

    private long expiryMillis(long sentAtMillis) {
        return sentAtMillis
                + (long) (leaseMillis * (1 - LeaseConstants.CLOCK_DRIFT_FRACTION))
                - LeaseConstants.EXPIRY_MARGIN_MILLIS;
    }
}
