package io.quincelead.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.LeaseConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's membership: a lease in the store that it renews, and its member record attached
 * to it. Its shard and its leadership are attached to the same lease, so all of them expire
 * together.
 */
public final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

    /** States of the membership; {@link #transitionTo} is the one function that changes them. */
    private enum Phase {
        /** No lease yet. */
        NOT_MEMBER,
        /** Has a lease; revokes its predecessor's and announces itself. */
        JOINING,
        /** Member. Whether the lease still stands is a question of time: {@link #isValid}. */
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

    /** Store revision of the announcement of the current lease. */
    private long announcedRevision;

    /**
     * A membership that isn't started.
     *
     * @param memberId this controller's name
     * @param address where peers reach this controller
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
     * Time to live, in milliseconds, of a controller's lease: the operators' setting, or less where
     * workers' own leases are shorter.
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

    /** Joins, and renews the lease from then on. To be called once. */
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
     * Whether the lease surely hasn't expired: counted from the sending of the last renewal, with a
     * margin for clock drift.
     */
    public boolean isValid() {
        return phase == Phase.MEMBER && loop.nowMillis() < validUntilMillis;
    }

    /**
     * Tells this membership from every other of the same controller. The store never issues a lease
     * id twice, while two processes that follow each other within a fraction of a second may see
     * the same time of day.
     */
    public long incarnation() {
        return leaseId;
    }

    /** The id of the current lease, to attach keys to; 0 before the first. */
    public long leaseId() {
        return leaseId;
    }

    private void join() {
        transitionTo(Phase.NOT_MEMBER);
        long sentAtMillis = loop.nowMillis();
        store.createLease(
                leaseMillis,
                (status, body) -> {
                    OptionalLong createdLeaseId =
                            status == 200 ? StoreCodec.leaseId(body) : OptionalLong.empty();
                    if (createdLeaseId.isEmpty()) {
                        loop.runAfter(StoreConstants.RETRY_DELAY_MILLIS, this::join);
                        return;
                    }
                    leaseId = createdLeaseId.getAsLong();
                    validUntilMillis = expiryMillis(sentAtMillis);
                    transitionTo(Phase.JOINING);
                    revokePredecessorLease();
                });
    }

    /**
     * The platform runs one process a member, so the owner of an existing member record is dead:
     * its lease need not expire by itself.
     */
    private void revokePredecessorLease() {
        store.get(
                StoreKeys.MEMBER_PREFIX + memberId,
                (status, body) -> {
                    if (status == 404) {
                        announce(0);
                        return;
                    }
                    if (status != 200) {
                        loop.runAfter(
                                StoreConstants.RETRY_DELAY_MILLIS, this::revokePredecessorLease);
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
     * On the precondition of the mod revision that was read (0: no record): a predecessor's
     * announcement that is still under way when its successor is a member must not replace the
     * successor's.
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
                                loop.runAfter(
                                        StoreConstants.RETRY_DELAY_MILLIS,
                                        loop.nowMillis() < validUntilMillis
                                                ? this::revokePredecessorLease
                                                : this::join);
                        default ->
                                loop.runAfter(
                                        StoreConstants.RETRY_DELAY_MILLIS,
                                        this::revokePredecessorLease);
                    }
                });
    }

    /**
     * Compares this controller's member record with what this process announced. All others regard
     * a member whose record names another lease as lost, though its own lease hasn't expired, so it
     * joins anew.
     *
     * @param recordedLeaseId the lease that the record names; 0 if there is no record
     * @param storeRevision the store revision as of which it was read
     */
    public void verifyMemberRecord(long recordedLeaseId, long storeRevision) {
        if (phase == Phase.MEMBER
                && storeRevision >= announcedRevision
                && recordedLeaseId != leaseId) {
            LOG.info(
                    "the record of {} names lease {} instead of {}",
                    memberId,
                    recordedLeaseId,
                    leaseId);
            store.revokeLease(leaseId, (status, body) -> {});
            join();
        }
    }

    /** Renews the lease unless a renewal is still without its response. */
    private void renew() {
        if (phase == Phase.NOT_MEMBER || renewalInFlight) {
            return;
        }
        renewalInFlight = true;
        long sentAtMillis = loop.nowMillis();
        long renewedLeaseId = leaseId;
        store.renewLease(
                renewedLeaseId,
                (status, body) -> {
                    renewalInFlight = false;
                    if (renewedLeaseId == leaseId) {
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

    /** Nothing can be accepted or decided without a valid lease, so a failed renewal is urgent. */
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
