package io.quincelead.autoscaler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The plan of one scaling pass: the machines on record, requested and new, and how many new
 * machines of which offering to provision.
 */
final class ProvisioningPlan {
    private final List<PlannedMachine> machines = new ArrayList<>();
    private final Map<InstanceOffering, Integer> newMachineCounts = new LinkedHashMap<>();

    /**
     * CPUs on record, requested and new: of equally cheap offerings, the one in the zone with
     * fewest is taken.
     */
    private final Map<String, Double> cpusByZone = new HashMap<>();

    /** Adds a machine that is on record or requested. */
    void addExisting(PlannedMachine machine) {
        machines.add(machine);
        addCpus(machine.offering());
    }

    /** Adds a new machine; its free capacity can be reserved for further tasks. */
    void addNew(PlannedMachine machine) {
        machines.add(machine);
        InstanceOffering offering = machine.offering();
        newMachineCounts.merge(offering, 1, Integer::sum);
        addCpus(offering);
    }

    private void addCpus(InstanceOffering offering) {
        cpusByZone.merge(offering.zone(), offering.machineType().cpus(), Double::sum);
    }

    /** The machines on which capacity can be reserved for tasks. */
    List<PlannedMachine> machines() {
        return Collections.unmodifiableList(machines);
    }

    /**
     * How many new machines of each offering to provision, in the order in which the offerings were
     * first added.
     */
    Map<InstanceOffering, Integer> newMachineCounts() {
        return Collections.unmodifiableMap(newMachineCounts);
    }

    int newMachineCount(InstanceOffering offering) {
        return newMachineCounts.getOrDefault(offering, 0);
    }

    /**
     * Whether an offering is cheaper than the best one so far, or as cheap in a zone with fewer
     * CPUs.
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
