package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.SchedulerConstants;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves the machines that other controllers drain for overdue first starts, so that the leader,
 * which may place on all shards, doesn't use capacity that becomes free there. Drains aren't on
 * record, so the leader derives them from the waiting jobs, as the jobs' owners do.
 */
final class PeerDrainReservations {
    private final ClusterView cluster;

    PeerDrainReservations(ClusterView cluster) {
        this.cluster = cluster;
    }

    /** Reserves in the leader's plan the machines that other controllers are likely to drain. */
    void reserve(SchedulingPlan plan) {
        Map<String, List<JobSpec>> overdueByOwner = overdueFirstStarts(plan);
        if (overdueByOwner.isEmpty()) {
            return;
        }
        Map<String, List<FreeCapacity>> machinesByOwner = new HashMap<>();
        for (FreeCapacity machine : plan.machines.values()) {
            if (!machine.inOwnShard) {
                machinesByOwner
                        .computeIfAbsent(
                                cluster.membership().ownerOf(machine.host),
                                owner -> new ArrayList<>())
                        .add(machine);
            }
        }
        overdueByOwner.forEach(
                (owner, specs) -> {
                    List<FreeCapacity> machines = machinesByOwner.getOrDefault(owner, List.of());
                    specs.forEach(spec -> reserveOne(spec, machines));
                });
    }

    /**
     * By owner, the demands of other controllers' oldest jobs whose first start is overdue, a few
     * for each owner.
     */
    private Map<String, List<JobSpec>> overdueFirstStarts(SchedulingPlan plan) {
        Map<String, List<JobSpec>> overdueByOwner = new HashMap<>();
        for (Job job : cluster.jobs().jobsOldestFirst()) {
            boolean overdue =
                    plan.entitledTasksByStarvingJob.containsKey(job)
                            && job.completedTaskCount() + job.placedTaskCount() == 0;
            if (!overdue || job.controllerId().equals(plan.shard.ownerId())) {
                continue;
            }
            List<JobSpec> specs =
                    overdueByOwner.computeIfAbsent(job.controllerId(), owner -> new ArrayList<>());
            if (specs.size() < SchedulerConstants.MIN_DRAIN_RESERVE_MACHINES) {
                specs.add(job.spec);
            }
        }
        return overdueByOwner;
    }

    /** Reserves the machine that is likely to have free capacity for one task soonest. */
    private static void reserveOne(JobSpec spec, List<FreeCapacity> machines) {
        FreeCapacity best = null;
        for (FreeCapacity machine : machines) {
            boolean eligible =
                    machine.reservedForTier == Integer.MAX_VALUE
                            && machine.pool.suits(spec, QueueOrder.TIER_FIRST_START)
                            && machine.taskCapacity(spec) == 0;
            if (eligible && (best == null || machine.freeCpus() > best.freeCpus())) {
                best = machine;
            }
        }
        if (best != null) {
            best.reservedForTier = QueueOrder.TIER_FIRST_START;
        }
    }
}
