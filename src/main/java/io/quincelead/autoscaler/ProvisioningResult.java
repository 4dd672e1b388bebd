package io.quincelead.autoscaler;

import java.util.List;

/** The cloud's response to a provisioning request. */
sealed interface ProvisioningResult {
    /** These machines were provisioned; they may be fewer than were asked for. */
    record Provisioned(List<String> hosts) implements ProvisioningResult {}

    /** The cloud has none of these machines now. */
    record NoCapacity() implements ProvisioningResult {}

    /** The cloud calls the request malformed: asking again would not help. */
    record Malformed() implements ProvisioningResult {}

    /** No response, or one that says nothing of the outcome: the request must be repeated. */
    record Unknown() implements ProvisioningResult {}
}
