package io.quincelead.zone;

/**
 * Of what machine type a machine is, in which zone, and whether it is a spot machine.
 *
 * @param machineType name of the machine type
 * @param imagePullGbPerSecond how fast it fetches images
 */
record MachineOffering(String machineType, String zone, boolean spot, double imagePullGbPerSecond) {

    /** Whether the service's replicas may run on such a machine. */
    boolean allows(RecoverableService service) {
        return (service.machineTypes() == null || service.machineTypes().contains(machineType))
                && (service.requiredZone() == null || service.requiredZone().equals(zone))
                && (service.allowsSpot() || !spot);
    }

    double fetchSeconds(double imageGb) {
        return imageGb / Math.max(imagePullGbPerSecond, 0.01);
    }
}
