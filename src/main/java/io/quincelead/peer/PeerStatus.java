package io.quincelead.peer;

import io.quincelead.config.constants.PeerConstants;
import java.util.Set;

/**
 * The status of a shard's machines as reported by its controller. The machines are listed
 * individually because a machine that was assigned after the report is not known to be up.
 *
 * @param receivedAtMillis when the status was received, by the event loop's clock
 * @param leaseId the sender's membership lease, or {@link #UNKNOWN_LEASE}
 * @param sequence increases with every status of one process
 * @param schedulableHosts machines that may get tasks
 * @param bootingHosts machines whose worker has not sent a heartbeat yet
 */
record PeerStatus(
        long receivedAtMillis,
        long leaseId,
        long sequence,
        Set<String> schedulableHosts,
        Set<String> bootingHosts) {
    /** The lease ID of a sender that doesn't know its own member record. */
    static final long UNKNOWN_LEASE = 0;

    /** Whether the status is recent enough to act on. */
    boolean isValidAt(long nowMillis) {
        return nowMillis - receivedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /**
     * Whether this status was sent by the sender's current process, and after the previously
     * received one. Statuses of one process, or of it and its predecessor, may arrive out of order;
     * lease IDs are in no order, so only the sender's member record tells which lease is current.
     *
     * @param previous the last accepted status of the sender; null if there is none
     * @param recordedLeaseId the lease in the sender's member record; 0 if there is no record
     */
    boolean isNewest(PeerStatus previous, long recordedLeaseId) {
        if (leaseId == UNKNOWN_LEASE || leaseId != recordedLeaseId) {
            return false;
        }
        return previous == null || previous.leaseId != leaseId || sequence > previous.sequence;
    }
}
