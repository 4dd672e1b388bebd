package io.quincelead.autoscaler;

import java.util.List;

/**
 * A page of the cloud's list of machines. The list lags behind what happened: absence from it means
 * nothing.
 *
 * @param instances in the order of the list
 * @param isTruncated whether the list goes on after the last of them
 */
record InstancePage(List<Instance> instances, boolean isTruncated) {
    /**
     * A machine as the cloud lists it.
     *
     * @param address where its worker listens; null when the cloud doesn't say yet
     * @param ageSeconds since it was provisioned
     */
    record Instance(
            String host,
            String machineType,
            String zone,
            boolean spot,
            String address,
            boolean hasFailed,
            double ageSeconds) {}
}
