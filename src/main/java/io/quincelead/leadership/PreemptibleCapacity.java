package io.quincelead.leadership;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import java.util.HashMap;
import java.util.Map;

/** The capacity of the machines on record if all less urgent work on them were preempted. */
final class PreemptibleCapacity {
    /** Differences smaller than this, in tasks, are rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final MachineTable machines;
    private final MachineTypeCatalog machineTypes;
    private final JobTable jobs;

    PreemptibleCapacity(MachineTable machines, MachineTypeCatalog machineTypes, JobTable jobs) {
        this.machines = machines;
        this.machineTypes = machineTypes;
        this.jobs = jobs;
    }

    /** Whether all tasks of the gang would fit, under its zone constraints. */
    boolean fits(JobSpec gang) {
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (MachineTable.Machine machine : machines.all()) {
            tasksByZone.merge(machine.zone(), taskCapacity(machine, gang), Integer::sum);
        }
        if (gang.zoneAffinity()) {
            return tasksByZone.values().stream().anyMatch(tasks -> tasks >= gang.taskCount());
        }
        int maxPerZone = gang.zoneSpread() ? (gang.taskCount() + 1) / 2 : gang.taskCount();
        return tasksByZone.values().stream().mapToInt(tasks -> Math.min(tasks, maxPerZone)).sum()
                >= gang.taskCount();
    }

    private int taskCapacity(MachineTable.Machine machine, JobSpec spec) {
        MachineTypeCatalog.MachineType type = machineTypes.get(machine.machineType());
        if (type == null
                || machine.releasing()
                || machine.cordoned()
                || machine.spot() && !spec.preemptible()
                || spec.zone() != null && !spec.zone().equals(machine.zone())
                || !MachineTypeCatalog.isAllowed(spec, type.name())) {
            return 0;
        }
        double cpus = type.cpus();
        double gpus = type.gpus();
        double memoryGb = type.memoryGb();
        MachineLoad load = jobs.loadOf(machine.host());
        if (load != null) {
            cpus -= load.cpus() - load.stoppingCpus();
            gpus -= load.gpus() - load.stoppingGpus();
            memoryGb -= load.memoryGb() - load.stoppingMemoryGb();
            for (JobSpec.Priority priority : JobSpec.Priority.values()) {
                if (priority.compareTo(spec.priority()) <= 0) {
                    continue;
                }
                for (Placement placement : load.stoppablePlacements(priority.ordinal())) {
                    cpus += placement.job.spec.cpus();
                    gpus += placement.job.spec.gpus();
                    memoryGb += placement.job.spec.memoryGb();
                }
            }
        }
        double tasks = Math.min(cpus / spec.cpus(), memoryGb / spec.memoryGb());
        tasks = spec.gpus() > 0 ? Math.min(tasks, gpus / spec.gpus()) : tasks;
        return (int) Math.floor(tasks + ROUNDING_TOLERANCE);
    }
}
