package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import java.util.ArrayList;
import java.util.List;

/** A machine's room in one round's plan. */
final class FreeCapacity {
    /** What machines that every job sees alike have in common: type, zone and kind of rental. */
    static final class MachinePool {
        final MachineTypeCatalog.MachineType machineType;
        final String zone;
        final boolean spot;

        /** Whether other work needs their GPUs. */
        boolean gpusInDemand;

        /**
         * Only work of this tier or a smaller one may use them ({@link QueueOrder#tier}): the
         * leader is placing some.
         */
        int maxTier = Integer.MAX_VALUE;

        final List<FreeCapacity> machines = new ArrayList<>();

        MachinePool(MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
            this.machineType = machineType;
            this.zone = zone;
            this.spot = spot;
        }

        /**
         * Whether the job should go there: it may, nobody who comes first is about to, and it takes
         * no GPUs from those who seek them.
         */
        boolean suits(JobSpec spec, int tier) {
            return allows(spec)
                    && maxTier >= tier
                    && !(gpusInDemand && spec.gpus() == 0 && spec.machineTypes() == null);
        }

        /** Whether the job's own demands let it go there. */
        boolean allows(JobSpec spec) {
            return matchesConstraints(spec) && machineType.fits(spec);
        }

        /** Tasks of the job that an empty one holds. */
        int tasksPerEmptyMachine(JobSpec spec) {
            return Tebas.taskCapacity(
                    machineType.cpus(),
                    machineType.memoryGb(),
                    machineType.gpus(),
                    spec.cpus(),
                    spec.memoryGb(),
                    spec.gpus());
        }

        /** Whether it is one of the machines that the job names. */
        boolean matchesConstraints(JobSpec spec) {
            return MachineTypeCatalog.isAllowed(spec, machineType.name())
                    && (spec.zone() == null || spec.zone().equals(zone))
                    && (spec.preemptible() || !spot);
        }
    }

    final String host;
    final MachinePool pool;
    final boolean inOwnShard;

    /**
     * It runs empty for a task of this tier that needs more of it than is free: only work of a
     * smaller one may take from it.
     */
    int reservedForTier = Integer.MAX_VALUE;

    /** Seconds until its worker can be told of a start. */
    double reachSeconds;

    private double freeCpus;
    private double freeMemoryGb;
    private double freeGpus;

    /** Room that tasks being stopped will leave, less what has been promised of it. */
    private double upcomingCpus;

    private double upcomingMemoryGb;
    private double upcomingGpus;

    /** {@code load}: what is there; null for nothing. */
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

    void allocateUpcoming(JobSpec spec, int tasks) {
        upcomingCpus -= tasks * spec.cpus();
        upcomingMemoryGb -= tasks * spec.memoryGb();
        upcomingGpus -= tasks * spec.gpus();
    }

    /** A task that held room is being stopped. */
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

    int taskCapacity(JobSpec spec) {
        return Tebas.taskCapacity(
                freeCpus, freeMemoryGb, freeGpus, spec.cpus(), spec.memoryGb(), spec.gpus());
    }

    /** The same if these left, too. */
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
