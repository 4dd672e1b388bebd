package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.Placement;
import java.util.List;

/** A machine's free capacity in one plan. */
final class FreeCapacity {
    final String host;
    final MachinePool pool;
    final boolean inOwnShard;

    /**
     * Tier of the task that the machine is drained for, which needs more capacity than is free:
     * only work of a smaller tier may be placed on the machine.
     */
    int reservedForTier = Integer.MAX_VALUE;

    /** Seconds until a start can be sent to the machine's worker; 0 if the delay doesn't matter. */
    double startDelaySeconds;

    private double freeCpus;
    private double freeMemoryGb;
    private double freeGpus;

    /**
     * CPUs that will be free when the tasks being stopped have terminated, less those already
     * allocated to other tasks.
     */
    private double upcomingCpus;

    private double upcomingMemoryGb;
    private double upcomingGpus;

    /**
     * @param load the load of the tasks on the machine; null if there are none
     */
    FreeCapacity(String host, MachinePool pool, boolean inOwnShard, MachineLoad load) {
        this.host = host;
        this.pool = pool;
        this.inOwnShard = inOwnShard;
        this.freeCpus = upcomingCpus = pool.machineType.cpus();
        this.freeMemoryGb = upcomingMemoryGb = pool.machineType.memoryGb();
        this.freeGpus = upcomingGpus = pool.machineType.gpus();
        if (load != null) {
            freeCpus -= load.cpus();
            freeMemoryGb -= load.memoryGb();
            freeGpus -= load.gpus();
            upcomingCpus = freeCpus + load.stoppingCpus();
            upcomingMemoryGb = freeMemoryGb + load.stoppingMemoryGb();
            upcomingGpus = freeGpus + load.stoppingGpus();
        }
    }

    /** Allocates free capacity to tasks of the job. */
    void allocate(JobSpec spec, int tasks) {
        freeCpus -= tasks * spec.cpus();
        freeMemoryGb -= tasks * spec.memoryGb();
        freeGpus -= tasks * spec.gpus();
        allocateUpcoming(spec, tasks);
    }

    /** Allocates upcoming capacity to tasks of the job. */
    void allocateUpcoming(JobSpec spec, int tasks) {
        upcomingCpus -= tasks * spec.cpus();
        upcomingMemoryGb -= tasks * spec.memoryGb();
        upcomingGpus -= tasks * spec.gpus();
    }

    /** Adds the capacity of a running task that is being stopped to the upcoming capacity. */
    void releaseUpcoming(JobSpec spec) {
        allocateUpcoming(spec, -1);
    }

    /** Whether any task at all could still be placed on the machine. */
    boolean hasFreeCapacity() {
        return freeCpus > 1e-6 && freeMemoryGb > 1e-6;
    }

    double freeCpus() {
        return freeCpus;
    }

    /** Tasks of the job that fit now. */
    int taskCapacity(JobSpec spec) {
        return Tebas.taskCapacity(
                freeCpus, freeMemoryGb, freeGpus, spec.cpus(), spec.memoryGb(), spec.gpus());
    }

    /** Tasks of the job that will fit if these placements are stopped, too. */
    int upcomingTaskCapacityWith(List<Placement> leaving, JobSpec spec) {
        double cpus = upcomingCpus;
        double memoryGb = upcomingMemoryGb;
        double gpus = upcomingGpus;
        for (Placement placement : leaving) {
            cpus += placement.job.spec.cpus();
            memoryGb += placement.job.spec.memoryGb();
            gpus += placement.job.spec.gpus();
        }
        return Tebas.taskCapacity(cpus, memoryGb, gpus, spec.cpus(), spec.memoryGb(), spec.gpus());
    }

    /** Tasks of the job that will fit when the tasks being stopped have terminated. */
    int upcomingTaskCapacity(JobSpec spec) {
        return Tebas.taskCapacity(
                upcomingCpus,
                upcomingMemoryGb,
                upcomingGpus,
                spec.cpus(),
                spec.memoryGb(),
                spec.gpus());
    }
}
