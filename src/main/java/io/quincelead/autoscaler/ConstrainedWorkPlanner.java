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

/** Plans machines for constrained work, which only some machines may run, task by task. */
final class ConstrainedWorkPlanner {
    private static final class TeamUsage {
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

    /** Jobs of the last plan whose suitable offerings the cloud has refused. */
    private final List<JobSpec> blockedSpecs = new ArrayList<>();

    /** CPUs and GPUs that each team uses, including what this pass has planned. */
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();

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
     * Whether a machine of this offering that is only kept for recent demand should be released,
     * because the cloud lacks machines for work that can't use this one; as of the last plan.
     */
    boolean shouldYieldToBlockedWork(InstanceOffering offering) {
        return !blockedSpecs.isEmpty() && blockedSpecs.stream().noneMatch(offering::allows);
    }

    /** Begins a new plan. */
    void begin(JobTable jobs) {
        blockedSpecs.clear();
        usageByTeam.clear();
        for (Job job : jobs.all()) {
            teamUsage(job.spec).add(job.spec, job.placedTaskCount());
        }
    }

    private TeamUsage teamUsage(JobSpec spec) {
        return usageByTeam.computeIfAbsent(spec.team(), team -> new TeamUsage());
    }

    /** Plans machines for the job's pending tasks, as far as its team's limits allow them. */
    void plan(Job job, ProvisioningPlan plan) {
        plan(job, neededTasks(job), plan);
    }

    /** Plans a machine for one pending task of the job, if its team's limits allow one. */
    void planOneTask(Job job, ProvisioningPlan plan) {
        plan(job, Math.min(1, tasksWithinTeamLimit(job)), plan);
    }

    private void plan(Job job, int tasks, ProvisioningPlan plan) {
        if (tasks <= 0) {
            return;
        }
        JobSpec spec = job.spec;
        teamUsage(spec).add(spec, tasks);
        ZoneLimits zoneLimits = new ZoneLimits(job, cluster);
        int remainingTasks =
                planOn(
                        offering -> !isWithheldForGpuWork(spec, offering),
                        spec,
                        tasks,
                        zoneLimits,
                        plan);
        // Withheld machines are the last resort, as in the scheduler. Those that exist count before
        // new ones are requested; each plan would request further ones otherwise.
        remainingTasks =
                planOn(
                        offering -> isWithheldForGpuWork(spec, offering),
                        spec,
                        remainingTasks,
                        zoneLimits,
                        plan);
        if (remainingTasks > 0
                && blockedSpecs.size() < SchedulerConstants.MAX_CONSTRAINED_DEMANDS
                && isBlockedByRefusalsOnly(spec, zoneLimits)) {
            blockedSpecs.add(spec);
        }
    }

    /**
     * Plans tasks on machines of the offerings that the predicate admits, on existing machines
     * first; returns how many tasks are left over.
     */
    private int planOn(
            Predicate<InstanceOffering> isAdmitted,
            JobSpec spec,
            int neededTasks,
            ZoneLimits zoneLimits,
            ProvisioningPlan plan) {
        int remainingTasks = reserveOnExisting(isAdmitted, spec, neededTasks, zoneLimits, plan);
        while (remainingTasks > 0) {
            InstanceOffering offering =
                    cheapestOffering(isAdmitted, spec, remainingTasks, zoneLimits, plan);
            if (offering == null) {
                break;
            }
            PlannedMachine machine = new PlannedMachine(offering);
            remainingTasks -= reserve(spec, remainingTasks, machine, zoneLimits);
            plan.addNew(machine);
        }
        return remainingTasks;
    }

    /**
     * How many pending tasks need machines now, within the team's quota; of a job array, only the
     * part that must run at once to drain its backlog in the time that the operators set.
     */
    private int neededTasks(Job job) {
        JobSpec spec = job.spec;
        double startFraction =
                spec.mode() == JobSpec.Mode.ARRAY
                        ? Math.min(
                                1,
                                Math.max(spec.runtimeSeconds(), 1)
                                        / operatorSettings.drainBacklogSeconds())
                        : 1;
        return Math.min(
                tasksWithinTeamLimit(job), (int) Math.ceil(job.pendingTaskCount() * startFraction));
    }

    private int tasksWithinTeamLimit(Job job) {
        JobSpec spec = job.spec;
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        TeamUsage teamUsage = teamUsage(spec);
        return Tebas.taskCapacity(
                team.maxCpus() - teamUsage.cpus,
                Double.MAX_VALUE,
                team.maxGpus() - teamUsage.gpus,
                spec.cpus(),
                0,
                spec.gpus());
    }

    /**
     * Reserves capacity for tasks on machines of the plan; returns how many tasks are left over.
     */
    private int reserveOnExisting(
            Predicate<InstanceOffering> isAdmitted,
            JobSpec spec,
            int neededTasks,
            ZoneLimits zoneLimits,
            ProvisioningPlan plan) {
        int remainingTasks = neededTasks;
        for (PlannedMachine machine : plan.machines()) {
            if (remainingTasks <= 0) {
                break;
            }
            if (machine.offering().allows(spec) && isAdmitted.test(machine.offering())) {
                remainingTasks -= reserve(spec, remainingTasks, machine, zoneLimits);
            }
        }
        return remainingTasks;
    }

    /**
     * Whether the machine is withheld from the job because other work needs its GPUs; the scheduler
     * withholds it too.
     */
    private boolean isWithheldForGpuWork(JobSpec spec, InstanceOffering offering) {
        return spec.gpus() == 0
                && spec.machineTypes() == null
                && cluster.machineTypes().canFitWithoutGpus(spec)
                && cluster.constrainedDemand()
                        .isGpuInDemand(offering.machineType(), offering.zone(), offering.spot());
    }

    /** Reserves capacity for tasks on the machine; returns for how many. */
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

    /**
     * Whether an offering suits the job within its zone limits, so that only the cloud's refusals
     * block the job.
     */
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

    /** The available and admitted offering that costs least per task; null when there is none. */
    private InstanceOffering cheapestOffering(
            Predicate<InstanceOffering> isAdmitted,
            JobSpec spec,
            int neededTasks,
            ZoneLimits zoneLimits,
            ProvisioningPlan plan) {
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
                    if (usableTasks <= 0
                            || !isAvailable(offering, spec)
                            || !isAdmitted.test(offering)) {
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

    /**
     * Whether the offering suits the job and can be requested now. An unavailable zone is avoided,
     * unless the job may run nowhere else.
     */
    private boolean isAvailable(InstanceOffering offering, JobSpec spec) {
        return offering.allows(spec)
                && !provisioningRequests.isRefused(offering)
                && (!isZoneUnavailable.test(offering.zone()) || spec.zone() != null);
    }

    /**
     * A machine is paid for while it boots and fetches the image, so a slow start raises the cost.
     */
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
