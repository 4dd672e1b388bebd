package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;
import java.util.ArrayList;
import java.util.List;

/**
 * Machines of one plan that are equivalent for every job: of one type, in one zone, and all spot or
 * all on-demand.
 */
final class MachinePool {
    /** What the machines of a pool have in common. */
    record Key(String machineTypeName, String zone, boolean spot) {}

    final MachineTypeCatalog.MachineType machineType;
    final String zone;
    final boolean spot;

    /** Whether constrained work demands the GPUs of the machines. */
    boolean gpusInDemand;

    /**
     * Only work of this tier or a smaller one may use the machines ({@link QueueOrder#tier}). While
     * the pool is reserved for jobs that wait at the leader, the smallest of their tiers.
     */
    int maxTier = Integer.MAX_VALUE;

    final List<FreeCapacity> machines = new ArrayList<>();

    MachinePool(MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
    }

    /** The pool's machines, or none of them if the condition is false. */
    List<FreeCapacity> machinesIf(boolean condition) {
        return condition ? machines : List.of();
    }

    /**
     * Whether the job should be placed in this pool: the job allows it, the pool isn't reserved for
     * work of smaller tiers, and its machines aren't withheld for GPU demand.
     */
    boolean suits(JobSpec spec, int tier) {
        return allows(spec) && maxTier >= tier && !isWithheldFrom(spec);
    }

    /**
     * Whether the machines are withheld from a job that could run there, because other work demands
     * their GPUs.
     */
    boolean isWithheldFrom(JobSpec spec) {
        return gpusInDemand && spec.gpus() == 0 && spec.machineTypes() == null && allows(spec);
    }

    /** Whether the job's own constraints and demands allow the machines. */
    boolean allows(JobSpec spec) {
        return matchesConstraints(spec) && machineType.fits(spec);
    }

    /** Tasks of the job that an empty machine holds. */
    int tasksPerEmptyMachine(JobSpec spec) {
        return Tebas.taskCapacity(
                machineType.cpus(),
                machineType.memoryGb(),
                machineType.gpus(),
                spec.cpus(),
                spec.memoryGb(),
                spec.gpus());
    }

    /** Whether the job's machine types, zone and spot preference allow the machines. */
    boolean matchesConstraints(JobSpec spec) {
        return MachineTypeCatalog.isAllowed(spec, machineType.name())
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.preemptible() || !spot);
    }
}
