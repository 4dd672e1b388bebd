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
     * It is drained for a task of this tier that needs more of it than is free: only work of a
     * smaller tier may be placed there.
     */
    int reservedForTier = Integer.MAX_VALUE;

    /** Seconds until its worker can be told of a start; 0 if that doesn't count. */
    double startDelaySeconds;

    private double freeCpus;
    private double freeMemoryGb;
    private double freeGpus;

    /** What will be free when the tasks being stopped have gone, less what is promised of it. */
    private double upcomingCpus;

    private double upcomingMemoryGb;
    private double upcomingGpus;

    /**
     * @param load what is there; null for nothing
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

    /** The job's tasks go there. */
    void allocate(JobSpec spec, int tasks) {
        freeCpus -= tasks * spec.cpus();
        freeMemoryGb -= tasks * spec.memoryGb();
        freeGpus -= tasks * spec.gpus();
        allocateUpcoming(spec, tasks);
    }

    /** The job's tasks are promised what will be free. */
    void allocateUpcoming(JobSpec spec, int tasks) {
        upcomingCpus -= tasks * spec.cpus();
        upcomingMemoryGb -= tasks * spec.memoryGb();
        upcomingGpus -= tasks * spec.gpus();
    }

    /** A running task is being stopped. */
    void releaseUpcoming(JobSpec spec) {
        allocateUpcoming(spec, -1);
    }

    /** Whether anything at all could still be placed. */
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

    /** Tasks of the job that will fit if these are stopped, too. */
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

    /** Tasks of the job that will fit when those being stopped have gone. */
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
