package io.quincelead.peer;

import io.quincelead.config.constants.PeerConstants;
import java.util.Set;

/**
 * The status of a shard's machines as reported by its controller. The machines are listed
 * individually because a machine that was assigned after the report is not known to be up.
 *
 * @param receivedAtMillis when the status was received, by the event loop's clock
 * @param leaseId the sender's membership lease; 0 if the sender did not know its own member record
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
    /** Whether the status is recent enough to act on. */
    boolean isValidAt(long nowMillis) {
        return nowMillis - receivedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /**
     * Whether this status was sent after the previously received one of the same controller.
     * Statuses of one process, or of it and its predecessor, may arrive out of order.
     */
    boolean supersedes(PeerStatus previous) {
        return leaseId == 0
                || leaseId > previous.leaseId
                || leaseId == previous.leaseId && sequence > previous.sequence;
    }
}
