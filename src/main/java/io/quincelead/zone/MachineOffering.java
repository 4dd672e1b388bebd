package io.quincelead.zone;

/**
 * A machine type in a zone, offered as spot machines or not.
 *
 * @param machineType name of the machine type
 * @param imagePullGbPerSecond rate at which such a machine fetches images
 */
record MachineOffering(String machineType, String zone, boolean spot, double imagePullGbPerSecond) {

    /** Whether the service's replicas may run on a machine of this offering. */
    boolean allows(RecoverableService service) {
        return (service.machineTypes() == null || service.machineTypes().contains(machineType))
                && (service.requiredZone() == null || service.requiredZone().equals(zone))
                && (service.allowsSpot() || !spot);
    }

    double fetchSeconds(double imageGb) {
        return imageGb / Math.max(imagePullGbPerSecond, 0.01);
    }
}
