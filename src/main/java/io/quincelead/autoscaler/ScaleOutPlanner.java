package io.quincelead.autoscaler;

import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.scheduler.QueueOrder;
import io.quincelead.scheduler.Tebas;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What should be rented: for what the machines that are up or on their way can't finish in time.
 */
final class ScaleOutPlanner {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final OperatorSettings operatorSettings;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final QueueOrder queueOrder;
    private final ProvisioningRequests provisioningRequests;
    private final ConstrainedDemand constrainedDemand;
    private final ZoneTable zoneTable;

    /** Replicas that would move to a zone if there were room. */
    private final Supplier<Map<String, List<JobSpec>>> rebalanceDemand;

    private final Policy policy;

    /**
     * Work that only some machines may run and that waits for machines which the cloud says it
     * hasn't got.
     */
    private final List<JobSpec> starvedSpecs = new ArrayList<>();

    /**
     * CPUs that are up, on their way or planned, by zone: among equals the zone with least is
     * rented.
     */
    private final Map<String, Double> cpusByZone = new HashMap<>();

    ScaleOutPlanner(
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operatorSettings,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            QueueOrder queueOrder,
            ProvisioningRequests provisioningRequests,
            ConstrainedDemand constrainedDemand,
            ZoneTable zoneTable,
            Policy policy,
            Supplier<Map<String, List<JobSpec>>> rebalanceDemand) {
        this.rebalanceDemand = rebalanceDemand;
        this.zoneTable = zoneTable;
        this.policy = policy;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.queueOrder = queueOrder;
        this.provisioningRequests = provisioningRequests;
        this.constrainedDemand = constrainedDemand;
    }

    /** A machine, real or planned, with the room that is left in the plan. */
    private static final class PlannedMachine {
        final InstanceOffering offering;
        double freeCpus;
        double freeMemoryGb;
        double freeGpus;

        PlannedMachine(InstanceOffering offering) {
            this.offering = offering;
            freeCpus = offering.machineType().cpus();
            freeMemoryGb = offering.machineType().memoryGb();
            freeGpus = offering.machineType().gpus();
        }

        int taskCapacity(JobSpec spec) {
            return Tebas.taskCapacity(
                    freeCpus, freeMemoryGb, freeGpus, spec.cpus(), spec.memoryGb(), spec.gpus());
        }

        void reserve(JobSpec spec, int taskCount) {
            freeCpus -= taskCount * spec.cpus();
            freeMemoryGb -= taskCount * spec.memoryGb();
            freeGpus -= taskCount * spec.gpus();
        }
    }

    /**
     * Whether such a machine, if it is only kept from habit, should go back: the cloud lacks
     * machines for work that can't use this one.
     */
    boolean shouldYieldToStarvedWork(InstanceOffering offering) {
        return !starvedSpecs.isEmpty() && starvedSpecs.stream().noneMatch(offering::allows);
    }

    /**
     * How many of which to rent. Ordinary work is sized by {@link DemandForecast}; work that only
     * some machines may run is planned task by task.
     */
    Map<InstanceOffering, Integer> planScaleOut(CpuDemand demand, CapacityForecast capacity) {
        long nowMillis = eventLoop.nowMillis();
        Map<String, double[]> plannedUseByTeam = new HashMap<>();
        for (Job job : jobs.all()) {
            double[] teamUse =
                    plannedUseByTeam.computeIfAbsent(job.spec.team(), t -> new double[2]);
            teamUse[0] += job.placedTaskCount() * job.spec.cpus();
            teamUse[1] += job.placedTaskCount() * job.spec.gpus();
        }
        List<QueueOrder.RankedJob> pendingJobs = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (!job.isCancelled()
                    && job.pendingTaskCount() > 0
                    && nowMillis >= job.notBeforeMillis) {
                pendingJobs.add(queueOrder.rank(job, true, eventLoop.wallClockMillis()));
            }
        }
        pendingJobs.sort(QueueOrder.BY_QUEUE_ORDER);
        Map<InstanceOffering, Integer> purchases = new LinkedHashMap<>();
        starvedSpecs.clear();
        cpusByZone.clear();
        List<PlannedMachine> plannedMachines = listPlannedMachines();
        plannedMachines.forEach(
                r ->
                        cpusByZone.merge(
                                r.offering.zone(), r.offering.machineType().cpus(), Double::sum));
        for (QueueOrder.RankedJob ranked : pendingJobs) {
            if (!ranked.job().spec.isUnconstrained()) {
                planConstrainedJob(ranked.job(), plannedMachines, plannedUseByTeam, purchases);
            }
        }
        rebalanceDemand
                .get()
                .forEach(
                        (zone, specs) ->
                                specs.forEach(
                                        s -> planRebalance(s, zone, plannedMachines, purchases)));
        planUnconstrained(demand, capacity, strandedCpus(plannedMachines), purchases);
        return purchases;
    }

    /**
     * Cheap machines for the usual load and for what is late; ordinary ones only for what would
     * else be late.
     */
    private void planUnconstrained(
            CpuDemand demand,
            CapacityForecast capacity,
            double strandedCpus,
            Map<InstanceOffering, Integer> purchases) {
        double spotTargetCpus =
                Math.max(
                                demand.steadyStateCpus(),
                                demand.usedCpus()
                                        + Math.min(strandedCpus, demand.pendingCpus())
                                        + demand.pendingCpus()
                                                * AutoscalerConstants.SPOT_WAITING_CPUS_FRACTION)
                        + demand.bookedCpus();
        double missingCpus =
                Math.max(demand.shortfallCpus(), spotTargetCpus - capacity.totalCpus());
        double overdueCpus =
                demand.shortfallCpus()
                        - capacity.totalCpus()
                                * AutoscalerConstants.COSTLY_MISSING_CAPACITY_FRACTION;
        if (demand.bookedCpus() > 0) {
            // What the calendar books must be there, dear or not; but not more of it than is
            // missing.
            overdueCpus = Math.max(overdueCpus, Math.min(demand.bookedCpus(), missingCpus));
        }
        double toleratedCpus =
                demand.pendingCpus() + demand.bookedCpus() > 0
                        ? 0.5
                        : AutoscalerConstants.MIN_SPOT_LOAD_CPUS;
        while (missingCpus > toleratedCpus) {
            InstanceOffering bestOffering = null;
            double bestCost = Double.MAX_VALUE;
            for (MachineTypeCatalog.MachineType machineType : catalog.all()) {
                if (machineType.gpus() > 0) {
                    continue;
                }
                for (String zone : machineType.zones()) {
                    for (boolean spot : new boolean[] {true, false}) {
                        InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                        if (provisioningRequests.isRefused(offering)
                                || zoneTable.isUnavailable(zone)
                                || !spot && overdueCpus <= 0.5
                                || purchases.getOrDefault(offering, 0)
                                        >= AutoscalerConstants
                                                .MAX_MACHINES_PER_PROVISIONING_REQUEST) {
                            continue;
                        }
                        // Unused parts of a machine cost too, and so do its boot and its first
                        // fetch.
                        double usefulCpus =
                                Math.min(
                                        machineType.cpus(),
                                        Math.max(missingCpus, machineType.cpus() / 2));
                        double cost =
                                machineType.pricePerHour(spot)
                                        / usefulCpus
                                        * (1
                                                + machineType.bootSeconds()
                                                        / AutoscalerConstants
                                                                .EXPECTED_STAY_SECONDS);
                        if (!spot) {
                            // A dear machine must go again soon, and a large one takes long to run
                            // empty.
                            cost *=
                                    1
                                            + machineType.cpus()
                                                    / AutoscalerConstants.SLOW_DRAIN_MACHINE_CPUS;
                        }
                        if (isBetter(offering, cost, bestOffering, bestCost)) {
                            bestOffering = offering;
                            bestCost = cost;
                        }
                    }
                }
            }
            if (bestOffering == null) {
                return;
            }
            addPurchase(bestOffering, purchases);
            missingCpus -= bestOffering.machineType().cpus();
            overdueCpus -= bestOffering.machineType().cpus();
        }
    }

    /** Room for one replica that would move to a zone which came back. */
    private void planRebalance(
            JobSpec spec,
            String zone,
            List<PlannedMachine> plannedMachines,
            Map<InstanceOffering, Integer> purchases) {
        for (PlannedMachine plannedMachine : plannedMachines) {
            if (plannedMachine.offering.zone().equals(zone)
                    && plannedMachine.offering.allows(spec)
                    && plannedMachine.taskCapacity(spec) > 0) {
                plannedMachine.reserve(spec, 1);
                return;
            }
        }
        InstanceOffering bestOffering = null;
        for (MachineTypeCatalog.MachineType machineType : catalog.all()) {
            for (boolean spot : new boolean[] {true, false}) {
                InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                boolean isCandidate =
                        machineType.zones().contains(zone)
                                && offering.allows(spec)
                                && !provisioningRequests.isRefused(offering);
                if (isCandidate
                        && (bestOffering == null
                                || machineType.pricePerHour(spot)
                                        < bestOffering
                                                .machineType()
                                                .pricePerHour(bestOffering.spot()))) {
                    bestOffering = offering;
                }
            }
        }
        if (bestOffering != null) {
            PlannedMachine plannedMachine = new PlannedMachine(bestOffering);
            plannedMachine.reserve(spec, 1);
            plannedMachines.add(plannedMachine);
            addPurchase(bestOffering, purchases);
        }
    }

    /**
     * CPUs that are free in rooms too small for any ordinary task that waits: whole-machine tasks
     * wait beside half-filled machines.
     */
    private double strandedCpus(List<PlannedMachine> plannedMachines) {
        JobSpec smallestSpec = null;
        for (Job job : jobs.all()) {
            if (!job.isCancelled()
                    && job.pendingTaskCount() > 0
                    && job.spec.isUnconstrained()
                    && (smallestSpec == null || job.spec.cpus() < smallestSpec.cpus())) {
                smallestSpec = job.spec;
            }
        }
        double freeCpus = 0;
        for (PlannedMachine plannedMachine :
                smallestSpec == null ? List.<PlannedMachine>of() : plannedMachines) {
            freeCpus +=
                    plannedMachine.offering.machineType().gpus() == 0
                                    && plannedMachine.taskCapacity(smallestSpec) == 0
                            ? Math.max(0, plannedMachine.freeCpus)
                            : 0;
        }
        return freeCpus;
    }

    private List<PlannedMachine> listPlannedMachines() {
        List<PlannedMachine> plannedMachines = new ArrayList<>();
        for (MachineTable.Machine machine : machines.all()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
            if (!machine.releasing() && machineType != null) {
                PlannedMachine r =
                        new PlannedMachine(
                                new InstanceOffering(machineType, machine.zone(), machine.spot()));
                for (Placement placement : jobs.placementsOn(machine.host()).values()) {
                    r.reserve(placement.job.spec, 1);
                }
                plannedMachines.add(r);
            }
        }
        for (ProvisioningRequests.ProvisioningRequest r : provisioningRequests.openRequests()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(r.machineType());
            for (int i = 0; machineType != null && i < r.machineCount(); i++) {
                plannedMachines.add(
                        new PlannedMachine(new InstanceOffering(machineType, r.zone(), r.spot())));
            }
        }
        return plannedMachines;
    }

    private void planConstrainedJob(
            Job job,
            List<PlannedMachine> plannedMachines,
            Map<String, double[]> plannedUseByTeam,
            Map<InstanceOffering, Integer> purchases) {
        JobSpec spec = job.spec;
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return;
        }
        double[] teamUse = plannedUseByTeam.computeIfAbsent(spec.team(), t -> new double[2]);
        int quotaTasks =
                Tebas.taskCapacity(
                        team.maxCpus() - teamUse[0],
                        Double.MAX_VALUE,
                        team.maxGpus() - teamUse[1],
                        spec.cpus(),
                        0,
                        spec.gpus());
        double drainSeconds = operatorSettings.drainBacklogSeconds();
        double startShare =
                spec.mode() == JobSpec.Mode.ARRAY
                        ? Math.min(1, Math.max(spec.runtimeSeconds(), 1) / drainSeconds)
                        : 1;
        int neededTasks =
                Math.min(quotaTasks, (int) Math.ceil(job.pendingTaskCount() * startShare));
        teamUse[0] += neededTasks * spec.cpus();
        teamUse[1] += neededTasks * spec.gpus();
        ZoneLimits zoneLimits = new ZoneLimits(job);
        for (PlannedMachine plannedMachine : plannedMachines) {
            if (neededTasks <= 0) {
                return;
            }
            // Placing leaves machines alone whose GPUs other work seeks.
            boolean isLeftToGpuWork =
                    spec.gpus() == 0
                            && spec.machineTypes() == null
                            && constrainedDemand.isGpuInDemand(
                                    plannedMachine.offering.machineType(),
                                    plannedMachine.offering.zone(),
                                    plannedMachine.offering.spot());
            if (plannedMachine.offering.allows(spec) && !isLeftToGpuWork) {
                int taskCount =
                        Math.min(
                                Math.min(neededTasks, plannedMachine.taskCapacity(spec)),
                                zoneLimits.remainingTasks(plannedMachine.offering.zone()));
                plannedMachine.reserve(spec, taskCount);
                zoneLimits.addTasks(plannedMachine.offering.zone(), taskCount);
                neededTasks -= taskCount;
            }
        }
        while (neededTasks > 0) {
            InstanceOffering bestOffering = cheapestOffering(spec, neededTasks, zoneLimits);
            if (bestOffering == null) {
                if (starvedSpecs.size() < SchedulerConstants.MAX_CONSTRAINED_DEMANDS
                        && isBlockedByRefusalsOnly(spec, zoneLimits)) {
                    starvedSpecs.add(spec);
                }
                return;
            }
            PlannedMachine plannedMachine = new PlannedMachine(bestOffering);
            int taskCount =
                    Math.min(
                            Math.min(neededTasks, plannedMachine.taskCapacity(spec)),
                            zoneLimits.remainingTasks(bestOffering.zone()));
            plannedMachine.reserve(spec, taskCount);
            zoneLimits.addTasks(bestOffering.zone(), taskCount);
            neededTasks -= taskCount;
            plannedMachines.add(plannedMachine);
            addPurchase(bestOffering, purchases);
        }
    }

    /**
     * How many more tasks of a job its zone rules let into each zone, given where its tasks are and
     * are planned to be.
     */
    private final class ZoneLimits {
        private final JobSpec spec;
        private final Map<String, Integer> tasksByZone = new HashMap<>();
        private final int maxTasksPerZone;

        ZoneLimits(Job job) {
            spec = job.spec;
            maxTasksPerZone =
                    spec.isService() || spec.zoneSpread()
                            ? policy.maxTasksPerZone(job)
                            : Integer.MAX_VALUE;
            if (maxTasksPerZone < spec.taskCount() || spec.zoneAffinity()) {
                for (TaskStatePage page : job.pages) {
                    for (Placement placement :
                            page == null ? List.<Placement>of() : page.placements) {
                        MachineTable.Machine machine = machines.get(placement.host);
                        if (machine != null && !placement.isTerminated()) {
                            addTasks(machine.zone(), 1);
                        }
                    }
                }
            }
        }

        int remainingTasks(String zone) {
            if (spec.zoneAffinity() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone)) {
                return 0;
            }
            return Math.max(0, maxTasksPerZone - tasksByZone.getOrDefault(zone, 0));
        }

        void addTasks(String zone, int taskCount) {
            if (taskCount > 0) {
                tasksByZone.merge(zone, taskCount, Integer::sum);
            }
        }
    }

    private void addPurchase(InstanceOffering offering, Map<InstanceOffering, Integer> purchases) {
        purchases.merge(offering, 1, Integer::sum);
        cpusByZone.merge(offering.zone(), offering.machineType().cpus(), Double::sum);
    }

    /** Whether an option is the cheaper one, or as cheap in a zone with less. */
    private boolean isBetter(
            InstanceOffering offering,
            double cost,
            InstanceOffering bestOffering,
            double bestCost) {
        if (bestOffering == null || Math.abs(cost - bestCost) > 1e-9 * bestCost) {
            return cost < bestCost;
        }
        return cpusByZone.getOrDefault(offering.zone(), 0.0)
                < cpusByZone.getOrDefault(bestOffering.zone(), 0.0) - 1e-9;
    }

    /** Whether there are machines for the job that only the cloud's refusals keep it from. */
    private boolean isBlockedByRefusalsOnly(JobSpec spec, ZoneLimits zoneLimits) {
        for (MachineTypeCatalog.MachineType machineType : catalog.all()) {
            for (String zone : machineType.fits(spec) ? machineType.zones() : List.<String>of()) {
                if (zoneLimits.remainingTasks(zone) > 0
                        && (new InstanceOffering(machineType, zone, false).allows(spec)
                                || new InstanceOffering(machineType, zone, true).allows(spec))) {
                    return true;
                }
            }
        }
        return false;
    }

    private InstanceOffering cheapestOffering(
            JobSpec spec, int neededTasks, ZoneLimits zoneLimits) {
        InstanceOffering bestOffering = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineTypeCatalog.MachineType machineType : catalog.all()) {
            int tasksPerMachine =
                    machineType.fits(spec)
                            ? Tebas.taskCapacity(
                                    machineType.cpus(),
                                    machineType.memoryGb(),
                                    machineType.gpus(),
                                    spec.cpus(),
                                    spec.memoryGb(),
                                    spec.gpus())
                            : 0;
            if (tasksPerMachine <= 0) {
                continue;
            }
            for (String zone : machineType.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                    int usableTasks =
                            Math.min(
                                    Math.min(tasksPerMachine, neededTasks),
                                    zoneLimits.remainingTasks(zone));
                    if (usableTasks <= 0
                            || !offering.allows(spec)
                            || provisioningRequests.isRefused(offering)
                            || zoneTable.isUnavailable(zone) && spec.zone() == null) {
                        continue;
                    }
                    // A machine costs for its boot and the fetch too, so a slow start makes its
                    // work dearer.
                    double startSeconds =
                            machineType.bootSeconds()
                                    + spec.imageSizeGb()
                                            / Math.max(machineType.imagePullGbPerSecond(), 0.01);
                    double cost =
                            machineType.pricePerHour(spot)
                                    / usableTasks
                                    * (1
                                            + startSeconds
                                                    / AutoscalerConstants.EXPECTED_STAY_SECONDS);
                    if (spec.zoneAffinity()
                            ? cost < bestCost
                            : isBetter(offering, cost, bestOffering, bestCost)) {
                        bestOffering = offering;
                        bestCost = cost;
                    }
                }
            }
        }
        return bestOffering;
    }
}
