package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.scheduler.ClusterView;
import java.util.function.Predicate;

/**
 * Plans machines for unconstrained work, which every machine may run, by the CPUs it needs in all.
 * Spot machines are provisioned for the steady-state load, pending tasks and calendar windows;
 * on-demand ones only for work that would miss its deadline otherwise and for calendar windows.
 */
final class UnconstrainedWorkPlanner {
    private final ClusterView cluster;
    private final ProvisioningRequests provisioningRequests;
    private final Predicate<String> isZoneUnavailable;

    UnconstrainedWorkPlanner(
            ClusterView cluster,
            ProvisioningRequests provisioningRequests,
            Predicate<String> isZoneUnavailable) {
        this.cluster = cluster;
        this.provisioningRequests = provisioningRequests;
        this.isZoneUnavailable = isZoneUnavailable;
    }

    void plan(CpuDemand demand, CapacityForecast capacity, ProvisioningPlan plan) {
        double strandedCpus = strandedCpus(plan);
        double spotTargetCpus =
                Math.max(
                                demand.steadyStateCpus(),
                                demand.usedCpus()
                                        + Math.min(strandedCpus, demand.pendingCpus())
                                        + demand.pendingCpus()
                                                * AutoscalerConstants.SPOT_PENDING_CPUS_FRACTION)
                        + demand.calendarCpus();
        double missingCpus =
                Math.max(demand.shortfallCpus(), spotTargetCpus - capacity.totalCpus());
        double onDemandCpus =
                demand.shortfallCpus()
                        - capacity.totalCpus()
                                * AutoscalerConstants.MIN_ON_DEMAND_SHORTFALL_FRACTION;
        if (demand.calendarCpus() > 0) {
            // The CPUs for calendar windows must be provisioned, spot or not, but no more of them
            // than are missing.
            onDemandCpus = Math.max(onDemandCpus, Math.min(demand.calendarCpus(), missingCpus));
        }
        double toleratedCpus =
                demand.pendingCpus() + demand.calendarCpus() > 0
                        ? 0.5
                        : AutoscalerConstants.TOLERATED_MISSING_CPUS;
        while (missingCpus > toleratedCpus) {
            InstanceOffering offering = cheapestOffering(missingCpus, onDemandCpus > 0.5, plan);
            if (offering == null) {
                return;
            }
            plan.addNew(new PlannedMachine(offering));
            missingCpus -= offering.machineType().cpus();
            onDemandCpus -= offering.machineType().cpus();
        }
    }

    /**
     * CPUs that are free on machines with too little free capacity for any pending unconstrained
     * task: whole-machine tasks stay pending beside half-filled machines.
     */
    private double strandedCpus(ProvisioningPlan plan) {
        JobSpec smallestSpec = smallestPendingSpec();
        if (smallestSpec == null) {
            return 0;
        }
        double strandedCpus = 0;
        for (PlannedMachine machine : plan.machines()) {
            if (machine.offering().machineType().gpus() == 0
                    && machine.taskCapacity(smallestSpec) == 0) {
                strandedCpus += Math.max(0, machine.freeCpus());
            }
        }
        return strandedCpus;
    }

    /** The unconstrained job with pending tasks whose tasks need the fewest CPUs; or null. */
    private JobSpec smallestPendingSpec() {
        JobSpec smallestSpec = null;
        for (Job job : cluster.jobs().all()) {
            if (!job.isCancelled()
                    && job.pendingTaskCount() > 0
                    && cluster.machineTypes().isUnconstrained(job.spec)
                    && (smallestSpec == null || job.spec.cpus() < smallestSpec.cpus())) {
                smallestSpec = job.spec;
            }
        }
        return smallestSpec;
    }

    /** The offering without GPUs that costs least per useful CPU; null when there is none. */
    private InstanceOffering cheapestOffering(
            double missingCpus, boolean mayBeOnDemand, ProvisioningPlan plan) {
        InstanceOffering best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType machineType : cluster.machineTypes().all()) {
            if (machineType.gpus() > 0) {
                continue;
            }
            for (String zone : machineType.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                    if (!spot && !mayBeOnDemand || !isAvailable(offering, plan)) {
                        continue;
                    }
                    double cost = costPerUsefulCpu(offering, missingCpus);
                    if (plan.isBetter(offering, cost, best, bestCost)) {
                        best = offering;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private boolean isAvailable(InstanceOffering offering, ProvisioningPlan plan) {
        return !provisioningRequests.isRefused(offering)
                && !isZoneUnavailable.test(offering.zone())
                && plan.newMachineCount(offering)
                        < AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST;
    }

    private static double costPerUsefulCpu(InstanceOffering offering, double missingCpus) {
        MachineType machineType = offering.machineType();
        // Unused parts of a machine cost too, and so do its boot and its first image fetch.
        double usefulCpus =
                Math.min(machineType.cpus(), Math.max(missingCpus, machineType.cpus() / 2));
        double cost =
                offering.pricePerHour()
                        / usefulCpus
                        * (1
                                + machineType.bootSeconds()
                                        / AutoscalerConstants.START_COST_AMORTIZATION_SECONDS);
        if (!offering.spot()) {
            // An on-demand machine must be released again soon, and a large one takes long to
            // become idle.
            cost *= 1 + machineType.cpus() / AutoscalerConstants.ON_DEMAND_DOUBLE_COST_CPUS;
        }
        return cost;
    }
}
