package io.quincelead.autoscaler;

import java.util.List;

/** The cloud's response to a provisioning request. */
sealed interface ProvisioningResult {
    /** These machines were provisioned; they may be fewer than were asked for. */
    record Provisioned(List<String> hosts) implements ProvisioningResult {}

    /** The cloud has no capacity for these machines now. */
    record NoCapacity() implements ProvisioningResult {}

    /** The cloud rejects the request as malformed: submitting it again would not help. */
    record Malformed() implements ProvisioningResult {}

    /** No response, or one that doesn't tell the outcome: the request must be submitted again. */
    record Unknown() implements ProvisioningResult {}
}
