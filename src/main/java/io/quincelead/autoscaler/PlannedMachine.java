package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.scheduler.Tebas;

/**
 * A machine of the plan (on record, requested or new) with the capacity that the plan leaves free.
 */
final class PlannedMachine {
    private final InstanceOffering offering;
    private double freeCpus;
    private double freeMemoryGb;
    private double freeGpus;

    /** An empty machine of this offering. */
    PlannedMachine(InstanceOffering offering) {
        this.offering = offering;
        freeCpus = offering.machineType().cpus();
        freeMemoryGb = offering.machineType().memoryGb();
        freeGpus = offering.machineType().gpus();
    }

    InstanceOffering offering() {
        return offering;
    }

    double freeCpus() {
        return freeCpus;
    }

    /** How many more tasks of the job fit. */
    int taskCapacity(JobSpec spec) {
        return Tebas.taskCapacity(
                freeCpus, freeMemoryGb, freeGpus, spec.cpus(), spec.memoryGb(), spec.gpus());
    }

    void reserve(JobSpec spec, int taskCount) {
        freeCpus -= taskCount * spec.cpus();
        freeMemoryGb -= taskCount * spec.memoryGb();
        freeGpus -= taskCount * spec.gpus();
    }
}
