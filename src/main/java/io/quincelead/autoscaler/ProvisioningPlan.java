package io.quincelead.autoscaler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The plan of one scaling pass: all machines there will be, and how many of which offering are to
 * be rented for it.
 */
final class ProvisioningPlan {
    private final List<PlannedMachine> machines = new ArrayList<>();
    private final Map<InstanceOffering, Integer> newMachineCounts = new LinkedHashMap<>();

    /** CPUs that are up, requested or planned: of equal offerings, the zone with least is taken. */
    private final Map<String, Double> cpusByZone = new HashMap<>();

    /** Adds a machine that is on record or requested. */
    void addExisting(PlannedMachine machine) {
        machines.add(machine);
        addCpus(machine.offering());
    }

    /** Plans to rent a machine on which no tasks are reserved. */
    void addNew(InstanceOffering offering) {
        newMachineCounts.merge(offering, 1, Integer::sum);
        addCpus(offering);
    }

    /** Plans to rent a machine; further tasks may be reserved on what it has left. */
    void addNew(PlannedMachine machine) {
        machines.add(machine);
        addNew(machine.offering());
    }

    private void addCpus(InstanceOffering offering) {
        cpusByZone.merge(offering.zone(), offering.machineType().cpus(), Double::sum);
    }

    /** The machines on which tasks can be reserved. */
    List<PlannedMachine> machines() {
        return Collections.unmodifiableList(machines);
    }

    /** What is to be rented, in the order in which it was planned. */
    Map<InstanceOffering, Integer> newMachineCounts() {
        return Collections.unmodifiableMap(newMachineCounts);
    }

    int newMachineCount(InstanceOffering offering) {
        return newMachineCounts.getOrDefault(offering, 0);
    }

    /**
     * Whether an offering is the cheaper one, or as cheap in a zone with fewer CPUs.
     *
     * @param best the best one so far; null when there is none
     */
    boolean isBetter(
            InstanceOffering offering, double cost, InstanceOffering best, double bestCost) {
        if (best == null || Math.abs(cost - bestCost) > 1e-9 * bestCost) {
            return cost < bestCost;
        }
        return cpusByZone.getOrDefault(offering.zone(), 0.0)
                < cpusByZone.getOrDefault(best.zone(), 0.0) - 1e-9;
    }
}
