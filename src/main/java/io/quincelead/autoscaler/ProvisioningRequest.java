package io.quincelead.autoscaler;

/**
 * A request for machines of one offering. Its outcome is not known until the cloud has answered a
 * submission under this name.
 *
 * @param name unique for ever: it is never used for another request
 * @param machineType name of the machine type
 * @param zone the zone
 * @param spot whether spot machines are asked for
 * @param machineCount how many
 */
record ProvisioningRequest(
        String name, String machineType, String zone, boolean spot, int machineCount) {}
