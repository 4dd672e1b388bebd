package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;

/** What can be rented: a type, in a zone, of a kind. */
record InstanceOffering(MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
    static String id(String machineType, String zone, boolean spot) {
        return machineType + "/" + zone + "/" + (spot ? "spot" : "ordinary");
    }

    String id() {
        return id(machineType.name(), zone, spot);
    }

    /** Whether a task of the job may run on such a machine. */
    boolean allows(JobSpec spec) {
        return MachineTypeCatalog.isAllowed(spec, machineType.name())
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.preemptible() || !spot)
                && machineType.fits(spec);
    }
}
