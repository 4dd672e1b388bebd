package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;

/** What the cloud offers: machines of a type, in a zone, spot or not. */
record InstanceOffering(MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
    /** The id of an offering, from the name of its machine type. */
    static String id(String machineType, String zone, boolean spot) {
        return machineType + "/" + zone + "/" + (spot ? "spot" : "ordinary");
    }

    String id() {
        return id(machineType.name(), zone, spot);
    }

    /** The price of one machine per hour. */
    double pricePerHour() {
        return machineType.pricePerHour(spot);
    }

    /** Whether a task of the job may run on such a machine, and fits an empty one. */
    boolean allows(JobSpec spec) {
        return MachineTypeCatalog.isAllowed(spec, machineType.name())
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.preemptible() || !spot)
                && machineType.fits(spec);
    }
}
