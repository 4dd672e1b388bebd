package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.scheduler.Tebas;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Plans machines for work that only some machines may run, task by task. */
final class ConstrainedWorkPlanner {
    private static final class TeamUse {
        private double cpus;
        private double gpus;

        private void add(JobSpec spec, int taskCount) {
            cpus += taskCount * spec.cpus();
            gpus += taskCount * spec.gpus();
        }
    }

    private final Settings settings;
    private final OperatorSettings operatorSettings;
    private final ClusterView cluster;
    private final ProvisioningRequests provisioningRequests;
    private final Predicate<String> isZoneUnavailable;

    /** Jobs of the last plan that wait for machines which the cloud says it hasn't got. */
    private final List<JobSpec> starvedSpecs = new ArrayList<>();

    /** CPUs and GPUs that teams use, with what this pass has planned. */
    private final Map<String, TeamUse> useByTeam = new HashMap<>();

    ConstrainedWorkPlanner(
            Settings settings,
            OperatorSettings operatorSettings,
            ClusterView cluster,
            ProvisioningRequests provisioningRequests,
            Predicate<String> isZoneUnavailable) {
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.cluster = cluster;
        this.provisioningRequests = provisioningRequests;
        this.isZoneUnavailable = isZoneUnavailable;
    }

    /**
     * Whether a machine of this offering that is only kept for recent demand should be returned:
     * the cloud lacks machines for work that can't use this one.
     */
    boolean shouldYieldToBlockedWork(InstanceOffering offering) {
        return !starvedSpecs.isEmpty() && starvedSpecs.stream().noneMatch(offering::allows);
    }

    /** Begins a new plan. */
    void begin(JobTable jobs) {
        starvedSpecs.clear();
        useByTeam.clear();
        for (Job job : jobs.all()) {
            teamUse(job.spec).add(job.spec, job.placedTaskCount());
        }
    }

    private TeamUse teamUse(JobSpec spec) {
        return useByTeam.computeIfAbsent(spec.team(), team -> new TeamUse());
    }

    /** Plans machines for the job's pending tasks, as far as its team's limits allow them. */
    void plan(Job job, ProvisioningPlan plan) {
        JobSpec spec = job.spec;
        int neededTasks = neededTasks(job);
        if (neededTasks <= 0) {
            return;
        }
        teamUse(spec).add(spec, neededTasks);
        ZoneLimits zoneLimits = new ZoneLimits(job, cluster);
        neededTasks = reserveOnExisting(spec, neededTasks, zoneLimits, plan);
        while (neededTasks > 0) {
            InstanceOffering offering = cheapestOffering(spec, neededTasks, zoneLimits, plan);
            if (offering == null) {
                if (starvedSpecs.size() < SchedulerConstants.MAX_CONSTRAINED_DEMANDS
                        && isBlockedByRefusalsOnly(spec, zoneLimits)) {
                    starvedSpecs.add(spec);
                }
                return;
            }
            PlannedMachine machine = new PlannedMachine(offering);
            neededTasks -= reserve(spec, neededTasks, machine, zoneLimits);
            plan.addNew(machine);
        }
    }

    /** Tasks for which there should be machines now: of a long job array, only a part. */
    private int neededTasks(Job job) {
        JobSpec spec = job.spec;
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        TeamUse teamUse = teamUse(spec);
        int quotaTasks =
                Tebas.taskCapacity(
                        team.maxCpus() - teamUse.cpus,
                        Double.MAX_VALUE,
                        team.maxGpus() - teamUse.gpus,
                        spec.cpus(),
                        0,
                        spec.gpus());
        double startFraction =
                spec.mode() == JobSpec.Mode.ARRAY
                        ? Math.min(
                                1,
                                Math.max(spec.runtimeSeconds(), 1)
                                        / operatorSettings.drainBacklogSeconds())
                        : 1;
        return Math.min(quotaTasks, (int) Math.ceil(job.pendingTaskCount() * startFraction));
    }

    /** Returns how many tasks are left over. */
    private int reserveOnExisting(
            JobSpec spec, int neededTasks, ZoneLimits zoneLimits, ProvisioningPlan plan) {
        int leftTasks = neededTasks;
        for (PlannedMachine machine : plan.machines()) {
            if (leftTasks <= 0) {
                break;
            }
            if (!isLeftToGpuWork(spec, machine.offering()) && machine.offering().allows(spec)) {
                leftTasks -= reserve(spec, leftTasks, machine, zoneLimits);
            }
        }
        return leftTasks;
    }

    /** The scheduler leaves machines alone whose GPUs other work seeks; so does the plan. */
    private boolean isLeftToGpuWork(JobSpec spec, InstanceOffering offering) {
        return spec.gpus() == 0
                && spec.machineTypes() == null
                && cluster.constrainedDemand()
                        .isGpuInDemand(offering.machineType(), offering.zone(), offering.spot());
    }

    /** Returns how many tasks were reserved. */
    private static int reserve(
            JobSpec spec, int neededTasks, PlannedMachine machine, ZoneLimits zoneLimits) {
        String zone = machine.offering().zone();
        int taskCount =
                Math.min(
                        Math.min(neededTasks, machine.taskCapacity(spec)),
                        zoneLimits.remainingTasks(zone));
        machine.reserve(spec, taskCount);
        zoneLimits.addTasks(zone, taskCount);
        return taskCount;
    }

    /** Whether there are machines for the job that only the cloud's refusals keep it from. */
    private boolean isBlockedByRefusalsOnly(JobSpec spec, ZoneLimits zoneLimits) {
        for (MachineType machineType : cluster.machineTypes().all()) {
            if (!machineType.fits(spec)) {
                continue;
            }
            for (String zone : machineType.zones()) {
                if (zoneLimits.remainingTasks(zone) > 0
                        && (new InstanceOffering(machineType, zone, false).allows(spec)
                                || new InstanceOffering(machineType, zone, true).allows(spec))) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The offering that costs least per task; null when there is none. */
    private InstanceOffering cheapestOffering(
            JobSpec spec, int neededTasks, ZoneLimits zoneLimits, ProvisioningPlan plan) {
        InstanceOffering best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType machineType : cluster.machineTypes().all()) {
            int tasksPerMachine = tasksPerMachine(machineType, spec);
            for (String zone : tasksPerMachine > 0 ? machineType.zones() : List.<String>of()) {
                for (boolean spot : new boolean[] {true, false}) {
                    InstanceOffering offering = new InstanceOffering(machineType, zone, spot);
                    int usableTasks =
                            Math.min(
                                    Math.min(tasksPerMachine, neededTasks),
                                    zoneLimits.remainingTasks(zone));
                    if (usableTasks <= 0 || !isAvailable(offering, spec)) {
                        continue;
                    }
                    double cost = costPerTask(offering, spec, usableTasks);
                    if (spec.zoneAffinity()
                            ? cost < bestCost
                            : plan.isBetter(offering, cost, best, bestCost)) {
                        best = offering;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private static int tasksPerMachine(MachineType machineType, JobSpec spec) {
        return machineType.fits(spec)
                ? Tebas.taskCapacity(
                        machineType.cpus(),
                        machineType.memoryGb(),
                        machineType.gpus(),
                        spec.cpus(),
                        spec.memoryGb(),
                        spec.gpus())
                : 0;
    }

    /** A zone that is unavailable is avoided, unless the job may run nowhere else. */
    private boolean isAvailable(InstanceOffering offering, JobSpec spec) {
        return offering.allows(spec)
                && !provisioningRequests.isRefused(offering)
                && (!isZoneUnavailable.test(offering.zone()) || spec.zone() != null);
    }

    /** A machine is paid while it boots and fetches the image, so a slow start raises the cost. */
    private static double costPerTask(InstanceOffering offering, JobSpec spec, int taskCount) {
        MachineType machineType = offering.machineType();
        double startSeconds =
                machineType.bootSeconds()
                        + spec.imageSizeGb() / Math.max(machineType.imagePullGbPerSecond(), 0.01);
        return offering.pricePerHour()
                / taskCount
                * (1 + startSeconds / AutoscalerConstants.START_COST_AMORTIZATION_SECONDS);
    }
}
