package io.quincelead.peer;

import io.quincelead.config.constants.PeerConstants;
import java.util.Set;

/**
 * What a controller said of its shard's machines. They are named one by one, for a machine that was
 * assigned since isn't known to be up.
 *
 * @param receivedAtMillis when it arrived, by the event loop's clock
 * @param leaseId the sender's membership lease; 0: its member record wasn't known to it
 * @param sequence rises with every status of one process
 * @param schedulableHosts machines that may get tasks
 * @param bootingHosts machines whose worker hasn't sent a heartbeat yet
 */
record PeerStatus(
        long receivedAtMillis,
        long leaseId,
        long sequence,
        Set<String> schedulableHosts,
        Set<String> bootingHosts) {
    /** Whether it is recent enough to be acted on. */
    boolean isValidAt(long nowMillis) {
        return nowMillis - receivedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /**
     * Whether it was sent after another of the same controller: what the same process or its
     * predecessor sent before may arrive after what is sent now.
     */
    boolean supersedes(PeerStatus previous) {
        return leaseId == 0
                || leaseId > previous.leaseId
                || leaseId == previous.leaseId && sequence > previous.sequence;
    }
}
