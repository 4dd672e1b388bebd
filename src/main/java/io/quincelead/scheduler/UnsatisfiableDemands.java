package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * Demands for which a cycle found no free capacity. Free capacity only shrinks while a cycle is
 * planned, so a job that demands at least as much, and may use no other machines, finds none either
 * and need not be tried. This pays off because most waiting jobs are alike.
 */
final class UnsatisfiableDemands {
    private final List<JobSpec> minimalDemands = new ArrayList<>();

    /** Whether a demand no larger than this one has found no free capacity. */
    boolean covers(JobSpec spec) {
        for (JobSpec known : minimalDemands) {
            if (isAtLeastAsDemanding(spec, known)) {
                return true;
            }
        }
        return false;
    }

    void add(JobSpec spec) {
        minimalDemands.removeIf(known -> isAtLeastAsDemanding(known, spec));
        minimalDemands.add(spec);
    }

    void clear() {
        minimalDemands.clear();
    }

    /**
     * Whether every machine that suits a task of {@code demand} also suits one of {@code
     * reference}, and {@code demand} has no higher priority.
     */
    static boolean isAtLeastAsDemanding(JobSpec demand, JobSpec reference) {
        boolean asksNoLess =
                demand.cpus() >= reference.cpus()
                        && demand.memoryGb() >= reference.memoryGb()
                        && demand.gpus() >= reference.gpus()
                        && demand.priority().ordinal() >= reference.priority().ordinal();
        boolean allowsNoMoreMachines =
                (reference.preemptible() || !demand.preemptible())
                        && (reference.zone() == null || reference.zone().equals(demand.zone()))
                        && (reference.machineTypes() == null
                                || demand.machineTypes() != null
                                        && reference
                                                .machineTypes()
                                                .containsAll(demand.machineTypes()));
        // Machines whose GPUs are in demand are withheld from work that needs no GPUs and names no
        // machine types.
        boolean seesGpus =
                reference.gpus() > 0
                        || reference.machineTypes() != null
                        || demand.gpus() == 0 && demand.machineTypes() == null;
        return asksNoLess && allowsNoMoreMachines && seesGpus;
    }
}
