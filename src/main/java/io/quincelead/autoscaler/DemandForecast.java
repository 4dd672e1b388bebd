package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.QueueOrder;
import java.util.HashMap;
import java.util.Map;

/**
 * Forecasts how many CPUs the unconstrained work needs: for the load that arrives, and for the
 * placed and pending work to end by its deadlines.
 */
final class DemandForecast {
    private final EventLoop eventLoop;
    private final QueueOrder queueOrder;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final OfferedLoad offeredLoad;

    DemandForecast(
            EventLoop eventLoop,
            QueueOrder queueOrder,
            Settings settings,
            MachineTypeCatalog machineTypes) {
        this.eventLoop = eventLoop;
        this.queueOrder = queueOrder;
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.offeredLoad = new OfferedLoad(machineTypes);
    }

    /**
     * Updates the offered load with the jobs that arrived since the last call; called once in each
     * scaling pass.
     */
    void observe(JobTable jobs) {
        offeredLoad.observe(jobs, eventLoop.nowMillis());
    }

    /**
     * The present demand, with the shortfall against this capacity and without what calendar
     * windows need.
     */
    CpuDemand estimate(JobTable jobs, CapacityForecast capacity, long wallClockMillis) {
        WorkByDeadline workByDeadline = new WorkByDeadline();
        Map<String, Double> pendingCpusByTeam = new HashMap<>();
        Map<String, Double> usedCpusByTeam = new HashMap<>();
        for (Job job : jobs.all()) {
            usedCpusByTeam.merge(
                    job.spec.team(), job.possiblyRunningTaskCount() * job.spec.cpus(), Double::sum);
        }
        double usedCpus = 0;
        long nowMillis = eventLoop.nowMillis();
        for (Job job : jobs.all()) {
            usedCpus = addRunningWork(job, nowMillis, workByDeadline, usedCpus);
            if (!job.isCancelled()
                    && job.pendingTaskCount() > 0
                    && machineTypes.isUnconstrained(job.spec)
                    && nowMillis >= job.notBeforeMillis()) {
                double placeableCpus = placeableCpus(job, usedCpusByTeam, pendingCpusByTeam);
                pendingCpusByTeam.merge(job.spec.team(), placeableCpus, Double::sum);
                addPendingWork(job, placeableCpus, wallClockMillis, workByDeadline);
            }
        }
        double[] steadyCpusBefore = new double[JobSpec.Priority.values().length];
        for (int priority = 0; priority < steadyCpusBefore.length; priority++) {
            steadyCpusBefore[priority] = offeredLoad.steadyStateCpus(priority, nowMillis);
        }
        WorkByDeadline.Requirement requirement =
                workByDeadline.compareWith(capacity, steadyCpusBefore);
        return new CpuDemand(
                offeredLoad.steadyStateCpus(nowMillis)
                        * AutoscalerConstants.STEADY_STATE_LOAD_MARGIN_FACTOR,
                requirement.shortfallCpus(),
                usedCpus,
                requirement.deadlineCpus(),
                pendingCpusByTeam.values().stream().mapToDouble(cpus -> cpus).sum(),
                0);
    }

    /**
     * Adds the remaining work of the job's placed tasks to {@code workByDeadline}.
     *
     * @return {@code usedCpus} plus the CPUs of these tasks
     */
    private static double addRunningWork(
            Job job, long nowMillis, WorkByDeadline workByDeadline, double usedCpus) {
        JobSpec spec = job.spec;
        double sumCpus = usedCpus;
        double runtimeSeconds = Math.max(1, spec.runtimeSeconds());
        for (TaskStatePage page : job.pages) {
            if (page == null) {
                continue;
            }
            for (Placement placement : page.placements) {
                if (!placement.isTerminated()) {
                    sumCpus += spec.cpus();
                    double elapsedSeconds = (nowMillis - placement.recordSeenAtMillis()) / 1000.0;
                    // A service never ends; a task near or past its estimate is assumed to have a
                    // fifth of it left.
                    double remainingSeconds =
                            spec.isService()
                                    ? 1e6
                                    : Math.max(
                                            runtimeSeconds - elapsedSeconds, runtimeSeconds * 0.2);
                    workByDeadline.add(remainingSeconds, remainingSeconds * spec.cpus(), 0);
                }
            }
        }
        return sumCpus;
    }

    /** CPUs of the job's pending tasks, as far as they fit its team's limit. */
    private double placeableCpus(
            Job job, Map<String, Double> usedCpusByTeam, Map<String, Double> pendingCpusByTeam) {
        String team = job.spec.team();
        double teamCpuLimit =
                settings.teams().containsKey(team) ? settings.teams().get(team).maxCpus() : 0;
        return Math.min(
                job.pendingTaskCount() * job.spec.cpus(),
                Math.max(
                        0,
                        teamCpuLimit
                                - usedCpusByTeam.getOrDefault(team, 0.0)
                                - pendingCpusByTeam.getOrDefault(team, 0.0)));
    }

    private void addPendingWork(
            Job job, double placeableCpus, long wallClockMillis, WorkByDeadline workByDeadline) {
        double runtimeSeconds = Math.max(1, job.spec.runtimeSeconds());
        double dueInSeconds =
                queueOrder.entryFor(job, true, wallClockMillis).slackSeconds()
                        + runtimeSeconds * SchedulerConstants.ESTIMATE_MARGIN_FACTOR;
        if (dueInSeconds < runtimeSeconds) {
            dueInSeconds = AutoscalerConstants.OVERDUE_WORK_DEADLINE_SECONDS;
        }
        // Tasks run in whole waves: of the time until the deadline, only whole run times count.
        double wholeRunsSeconds =
                Math.max(
                        runtimeSeconds, Math.floor(dueInSeconds / runtimeSeconds) * runtimeSeconds);
        workByDeadline.add(
                Math.min(dueInSeconds, wholeRunsSeconds),
                placeableCpus * runtimeSeconds,
                job.spec.priority().ordinal());
    }
}
