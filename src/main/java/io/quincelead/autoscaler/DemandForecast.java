package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.QueueOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many CPUs the work needs: the usual load, from what arrived lately, and what must be there so
 * that the work in the queue is done by its due times (demand bound: for each due time, the work
 * due by then against the CPU time until then).
 */
final class DemandForecast {
    private final EventLoop eventLoop;
    private final QueueOrder queueOrder;
    private final Settings settings;
    private final Set<String> observedJobIds = new HashSet<>();
    private static final double[] WINDOWS_SECONDS = {
        AutoscalerConstants.SHORT_LOAD_WINDOW_SECONDS, AutoscalerConstants.LONG_LOAD_WINDOW_SECONDS
    };
    private final double[][] arrivedCpuSeconds =
            new double[WINDOWS_SECONDS.length][JobSpec.Priority.values().length];
    private final double[] openCpus = new double[JobSpec.Priority.values().length];
    private long observedAtMillis;
    private long observingSinceMillis = -1;

    DemandForecast(EventLoop eventLoop, QueueOrder queueOrder, Settings settings) {
        this.eventLoop = eventLoop;
        this.queueOrder = queueOrder;
        this.settings = settings;
    }

    /**
     * CPUs that are up, or will be after a while; those that come up within the same second count
     * as one.
     */
    static final class Capacity {
        private final TreeMap<Integer, Double> cpusByReadySeconds = new TreeMap<>();

        void add(double cpus, double readyInSeconds) {
            cpusByReadySeconds.merge(
                    (int) Math.ceil(Math.max(0, readyInSeconds)), cpus, Double::sum);
        }

        double totalCpus() {
            return cpusByReadySeconds.values().stream().mapToDouble(x -> x).sum();
        }

        double readyCpus() {
            return cpusByReadySeconds.getOrDefault(0, 0.0);
        }

        /** CPU seconds until then. */
        double cpuSecondsWithin(double windowSeconds) {
            double cpuSeconds = 0;
            for (Map.Entry<Integer, Double> entry :
                    cpusByReadySeconds.headMap((int) Math.ceil(windowSeconds)).entrySet()) {
                cpuSeconds += entry.getValue() * (windowSeconds - entry.getKey());
            }
            return cpuSeconds;
        }
    }

    /**
     * CPUs for the usual load, CPUs missing for what would be late, CPUs in use, CPUs the queue
     * needs in time, CPUs waiting, and CPUs that windows of the calendar will need beyond what is
     * there.
     */
    record CpuDemand(
            double steadyStateCpus,
            double shortfallCpus,
            double usedCpus,
            double deadlineCpus,
            double pendingCpus,
            double bookedCpus) {
        CpuDemand withBookedCpus(double cpus) {
            return new CpuDemand(
                    steadyStateCpus, shortfallCpus, usedCpus, deadlineCpus, pendingCpus, cpus);
        }

        /**
         * What dear machines should be kept for: what is in use and what the queue needs in time.
         */
        double costlyCpusToKeep(double reserveFraction) {
            double reserveCpus =
                    reserveFraction
                            * Math.min(
                                    usedCpus,
                                    Math.sqrt(
                                            usedCpus
                                                    * AutoscalerConstants.LINEAR_RESERVE_MAX_CPUS));
            return Math.max(usedCpus + reserveCpus, deadlineCpus) + bookedCpus;
        }

        /** What cheap machines should be kept for: the usual load too. */
        double spotCpusToKeep(double reserveFraction) {
            return Math.max(steadyStateCpus, costlyCpusToKeep(reserveFraction));
        }
    }

    /** Notes what has arrived since the last look. */
    void observe(JobTable jobs) {
        long nowMillis = eventLoop.nowMillis();
        boolean isFirstObservation = observingSinceMillis < 0;
        if (isFirstObservation) {
            observingSinceMillis = nowMillis;
            observedAtMillis = nowMillis;
        }
        for (int windowIndex = 0; windowIndex < WINDOWS_SECONDS.length; windowIndex++) {
            double decay =
                    Math.exp(
                            -(nowMillis - observedAtMillis)
                                    / 1000.0
                                    / WINDOWS_SECONDS[windowIndex]);
            for (int priorityIndex = 0;
                    priorityIndex < arrivedCpuSeconds[windowIndex].length;
                    priorityIndex++) {
                arrivedCpuSeconds[windowIndex][priorityIndex] *= decay;
            }
        }
        double openCpusDecay =
                isFirstObservation
                        ? 0
                        : Math.exp(
                                -(nowMillis - observedAtMillis)
                                        / 1000.0
                                        / AutoscalerConstants.SHORT_LOAD_WINDOW_SECONDS);
        for (int priorityIndex = 0; priorityIndex < openCpus.length; priorityIndex++) {
            openCpus[priorityIndex] *= openCpusDecay;
        }
        for (Job job : jobs.all()) {
            if (!job.isCancelled() && job.spec.isUnconstrained()) {
                openCpus[job.spec.priority().ordinal()] +=
                        (1 - openCpusDecay)
                                * (job.placedTaskCount()
                                        + AutoscalerConstants.OPEN_LOAD_WAITING_FRACTION
                                                * job.pendingTaskCount())
                                * job.spec.cpus();
            }
        }
        observedAtMillis = nowMillis;
        observedJobIds.removeIf(id -> jobs.get(id) == null);
        for (Job job : jobs.all()) {
            // What was there at the first look says nothing of the rate at which work arrives.
            if (observedJobIds.add(job.spec.jobId())
                    && job.spec.isUnconstrained()
                    && !isFirstObservation) {
                for (double[] cpuSecondsByPriority : arrivedCpuSeconds) {
                    cpuSecondsByPriority[job.spec.priority().ordinal()] +=
                            job.spec.taskCount()
                                    * job.spec.cpus()
                                    * Math.max(1, job.spec.runtimeSeconds());
                }
            }
        }
    }

    /**
     * CPUs that work arriving at the present rate keeps busy, counting only urgencies before this
     * one: the smaller of a long and a short average, so neither one large job nor a load that has
     * ended counts for long; and never more than was open on average, for estimates may be too high
     * throughout.
     */
    private double steadyStateCpus(int beforePriority) {
        double lowestCpus = 0;
        for (int priorityIndex = 0; priorityIndex < beforePriority; priorityIndex++) {
            lowestCpus += openCpus[priorityIndex];
        }
        for (int windowIndex = 0; windowIndex < WINDOWS_SECONDS.length; windowIndex++) {
            double observedSeconds =
                    Math.max(
                            AutoscalerConstants.MIN_LOAD_WINDOW_SECONDS,
                            (eventLoop.nowMillis() - observingSinceMillis) / 1000.0);
            double effectiveWindowSeconds =
                    WINDOWS_SECONDS[windowIndex]
                            * (1 - Math.exp(-observedSeconds / WINDOWS_SECONDS[windowIndex]));
            double cpuSeconds = 0;
            for (int priorityIndex = 0; priorityIndex < beforePriority; priorityIndex++) {
                cpuSeconds += arrivedCpuSeconds[windowIndex][priorityIndex];
            }
            lowestCpus = Math.min(lowestCpus, cpuSeconds / effectiveWindowSeconds);
        }
        return lowestCpus;
    }

    /**
     * Work by the second in which it is due, and by urgency; running work counts as the most
     * urgent.
     */
    private static final class WorkByDeadline {
        final TreeMap<Integer, double[]> cpuSecondsByDeadline = new TreeMap<>();

        void add(double dueInSeconds, double cpuSeconds, int priorityIndex) {
            cpuSecondsByDeadline
                            .computeIfAbsent(
                                    (int) dueInSeconds,
                                    s -> new double[JobSpec.Priority.values().length])[
                            priorityIndex] +=
                    cpuSeconds;
        }
    }

    CpuDemand estimate(JobTable jobs, Capacity capacity, long wallMillis) {
        WorkByDeadline workByDeadline = new WorkByDeadline();
        Map<String, Double> pendingCpusByTeam = new HashMap<>();
        Map<String, Double> usedCpusByTeam = new HashMap<>();
        jobs.all()
                .forEach(
                        job ->
                                usedCpusByTeam.merge(
                                        job.spec.team(),
                                        job.possiblyRunningTaskCount() * job.spec.cpus(),
                                        Double::sum));
        double usedCpus = 0;
        long nowMillis = eventLoop.nowMillis();
        for (Job job : jobs.all()) {
            JobSpec spec = job.spec;
            double runtimeSeconds = Math.max(1, spec.runtimeSeconds());
            for (TaskStatePage page : job.pages) {
                if (page == null) {
                    continue;
                }
                for (Placement placement : page.placements) {
                    if (!placement.isTerminated()) {
                        usedCpus += spec.cpus();
                        double elapsedSeconds =
                                (nowMillis - placement.recordSeenAtMillis()) / 1000.0;
                        double remainingSeconds =
                                spec.isService()
                                        ? 1e6
                                        : Math.max(
                                                runtimeSeconds - elapsedSeconds,
                                                runtimeSeconds * 0.2);
                        workByDeadline.add(remainingSeconds, remainingSeconds * spec.cpus(), 0);
                    }
                }
            }
            if (job.isCancelled()
                    || job.pendingTaskCount() == 0
                    || !spec.isUnconstrained()
                    || nowMillis < job.notBeforeMillis()) {
                continue;
            }
            double teamCpuLimit =
                    settings.teams().containsKey(spec.team())
                            ? settings.teams().get(spec.team()).maxCpus()
                            : 0;
            double placeableCpus =
                    Math.min(
                            job.pendingTaskCount() * spec.cpus(),
                            Math.max(
                                    0,
                                    teamCpuLimit
                                            - usedCpusByTeam.getOrDefault(spec.team(), 0.0)
                                            - pendingCpusByTeam.getOrDefault(spec.team(), 0.0)));
            pendingCpusByTeam.merge(spec.team(), placeableCpus, Double::sum);
            double dueInSeconds =
                    queueOrder.rank(job, true, wallMillis).slackSeconds()
                            + runtimeSeconds * SchedulerConstants.ESTIMATE_MARGIN_FACTOR;
            if (dueInSeconds < runtimeSeconds) {
                dueInSeconds = AutoscalerConstants.OVERDUE_DRAIN_SECONDS;
            }
            // Tasks run in whole waves: of the time until it is due, only whole run times count.
            double wholeRunsSeconds =
                    Math.max(
                            runtimeSeconds,
                            Math.floor(dueInSeconds / runtimeSeconds) * runtimeSeconds);
            workByDeadline.add(
                    Math.min(dueInSeconds, wholeRunsSeconds),
                    placeableCpus * runtimeSeconds,
                    spec.priority().ordinal());
        }
        double[] steadyCpusBefore = new double[JobSpec.Priority.values().length];
        for (int priorityIndex = 0; priorityIndex < steadyCpusBefore.length; priorityIndex++) {
            steadyCpusBefore[priorityIndex] = steadyStateCpus(priorityIndex);
        }
        double dueCpuSeconds = 0;
        double shortfallCpus = 0;
        double deadlineCpus = 0;
        for (Map.Entry<Integer, double[]> deadline :
                workByDeadline.cpuSecondsByDeadline.entrySet()) {
            // A machine rented now can't help what is due at once; that work counts as due when it
            // could.
            double horizonSeconds =
                    Math.max(deadline.getKey(), AutoscalerConstants.SOONEST_HELP_SECONDS);
            double availableCpuSeconds = capacity.cpuSecondsWithin(horizonSeconds);
            for (int priorityIndex = 0; priorityIndex < steadyCpusBefore.length; priorityIndex++) {
                if (deadline.getValue()[priorityIndex] <= 0) {
                    continue;
                }
                dueCpuSeconds += deadline.getValue()[priorityIndex];
                deadlineCpus = Math.max(deadlineCpus, dueCpuSeconds / horizonSeconds);
                // Until then, more urgent work will arrive and go first.
                double missingCpuSeconds =
                        dueCpuSeconds
                                + steadyCpusBefore[priorityIndex] * horizonSeconds
                                - availableCpuSeconds;
                if (missingCpuSeconds > 0) {
                    shortfallCpus =
                            Math.max(
                                    shortfallCpus,
                                    missingCpuSeconds
                                            / (horizonSeconds
                                                    - AutoscalerConstants.TYPICAL_BOOT_SECONDS));
                }
            }
        }
        return new CpuDemand(
                steadyStateCpus(arrivedCpuSeconds[0].length)
                        * AutoscalerConstants.USUAL_LOAD_MARGIN_FACTOR,
                shortfallCpus,
                usedCpus,
                deadlineCpus,
                pendingCpusByTeam.values().stream().mapToDouble(x -> x).sum(),
                0);
    }
}
