package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.SchedulerConstants;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves machines to be drained for tasks that need more capacity than is free on them: on a full
 * cluster, smaller tasks would take all capacity as it becomes free, indefinitely. Created for one
 * plan.
 */
final class DrainReservations {
    private final SchedulingPlan plan;

    /** Number of machines that may still be reserved for single tasks. */
    private int remaining;

    DrainReservations(SchedulingPlan plan) {
        this.plan = plan;
        this.remaining = fractionOfMachines(SchedulerConstants.DRAIN_RESERVE_MACHINES_FRACTION);
    }

    private int fractionOfMachines(double fraction) {
        return Math.max(
                SchedulerConstants.MIN_DRAIN_RESERVE_MACHINES,
                (int) (plan.machines.size() * fraction));
    }

    /**
     * Reserves the machines that are likely to have free capacity for this many tasks soonest. For
     * a gang, whose tasks start together, machines that have some free capacity now are included.
     *
     * @param tier tier of the job's queue entry; work of smaller tiers may still use the machines
     */
    void reserve(JobSpec spec, int tier, int tasks) {
        int maxMachines =
                spec.isGang()
                        ? fractionOfMachines(
                                SchedulerConstants.GANG_DRAIN_RESERVE_MACHINES_FRACTION)
                        : Math.min(tasks, remaining);
        if (maxMachines <= 0 || plan.tasksWithinQuotaShare(spec) < (spec.isGang() ? tasks : 1)) {
            return;
        }
        List<FreeCapacity> bestMachines = List.of();
        double bestFreeCpus = -1;
        for (List<FreeCapacity> machines : eligibleMachines(spec, tier).values()) {
            machines.sort(
                    Comparator.comparingDouble((FreeCapacity machine) -> -machine.freeCpus())
                            .thenComparing(machine -> machine.host));
            int uncovered = tasks;
            int count = 0;
            double freeCpus = 0;
            while (uncovered > 0 && count < Math.min(maxMachines, machines.size())) {
                FreeCapacity machine = machines.get(count++);
                freeCpus += machine.freeCpus();
                uncovered -= spec.isGang() ? machine.pool.tasksPerEmptyMachine(spec) : 1;
            }
            if (freeCpus > bestFreeCpus && (uncovered <= 0 || !spec.isGang())) {
                bestMachines = machines.subList(0, count);
                bestFreeCpus = freeCpus;
            }
        }
        for (FreeCapacity machine : bestMachines) {
            machine.reservedForTier = tier;
            remaining--;
        }
    }

    /**
     * The machines that may be reserved, by zone if the job has zone affinity, else all under one
     * key.
     */
    private Map<String, List<FreeCapacity>> eligibleMachines(JobSpec spec, int tier) {
        Map<String, List<FreeCapacity>> machinesByZone = new LinkedHashMap<>();
        for (MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine : pool.machinesIf(pool.suits(spec, tier))) {
                if (machine.reservedForTier == Integer.MAX_VALUE
                        && (machine.inOwnShard || plan.leading)
                        && (spec.isGang() || machine.taskCapacity(spec) == 0)) {
                    machinesByZone
                            .computeIfAbsent(
                                    spec.zoneAffinity() ? pool.zone : "", z -> new ArrayList<>())
                            .add(machine);
                }
            }
        }
        return machinesByZone;
    }
}
