package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reserves free capacity of this controller's shard for jobs that wait at the leader, so that work
 * of later tiers isn't placed there.
 */
final class LeaderReservations {
    private final EventLoop loop;
    private final ClusterView cluster;
    private final List<JobSpec> demandsAtLeader = new ArrayList<>();

    /** By job that waits at the leader, since when this shard has had free capacity for it. */
    private final Map<Job, Long> capacitySinceMillis = new HashMap<>();

    LeaderReservations(EventLoop loop, ClusterView cluster) {
        this.loop = loop;
        this.cluster = cluster;
    }

    /**
     * Sets the jobs that wait at the leader and that their teams' quota shares at the leader admit.
     */
    void setJobsAtLeader(List<Job> jobsAtLeader) {
        demandsAtLeader.clear();
        for (Job job : jobsAtLeader) {
            demandsAtLeader.add(job.spec);
        }
    }

    /** Whether work that waits at the leader could be placed on the machine. */
    boolean canLeaderUse(String host) {
        MachineTable.Machine machine = cluster.machines().get(host);
        MachineTypeCatalog.MachineType machineType =
                machine == null || demandsAtLeader.isEmpty()
                        ? null
                        : cluster.machineTypes().get(machine.machineType());
        if (machineType == null) {
            return false;
        }
        MachinePool pool = new MachinePool(machineType, machine.zone(), machine.spot());
        pool.gpusInDemand =
                cluster.constrainedDemand()
                        .isGpuInDemand(machineType, machine.zone(), machine.spot());
        return demandsAtLeader.stream().anyMatch(spec -> pool.suits(spec, 0));
    }

    /**
     * Closes each pool that a job waiting at the leader may use to work of later tiers than the
     * job's ({@link MachinePool#maxTier}). A leader that hasn't used this shard's free capacity for
     * the job within {@link SchedulerConstants#LEADER_RESERVATION_MILLIS} can't use it; reserving
     * it for longer would idle the shard.
     */
    void reserveCapacityForLeader(SchedulingPlan plan, List<Job> jobsAtLeader) {
        capacitySinceMillis.keySet().retainAll(Set.copyOf(jobsAtLeader));
        UnsatisfiableDemands unsatisfiable = new UnsatisfiableDemands();
        for (Job job : jobsAtLeader) {
            JobSpec spec = job.spec;
            boolean hasCapacity = !unsatisfiable.covers(spec) && hasCapacityFor(plan, spec);
            if (!hasCapacity) {
                unsatisfiable.add(spec);
                capacitySinceMillis.remove(job);
            } else if (loop.nowMillis()
                            - capacitySinceMillis.computeIfAbsent(job, j -> loop.nowMillis())
                    > SchedulerConstants.LEADER_RESERVATION_MILLIS) {
                continue;
            }
            for (MachinePool pool : plan.pools.values()) {
                if (pool.allows(spec)) {
                    pool.maxTier = Math.min(pool.maxTier, plan.tier(job));
                }
            }
        }
    }

    private static boolean hasCapacityFor(SchedulingPlan plan, JobSpec spec) {
        for (MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine : pool.machinesIf(pool.allows(spec))) {
                if (machine.hasFreeCapacity() && machine.taskCapacity(spec) > 0) {
                    return true;
                }
            }
        }
        return false;
    }
}
