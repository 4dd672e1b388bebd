package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.constants.AutoscalerConstants;
import java.util.HashSet;
import java.util.Set;

/**
 * The load that arriving unconstrained work offers, estimated from exponentially decaying averages
 * by priority. The averages are kept in memory only: a new leader starts without them.
 */
final class OfferedLoad {
    private static final double[] WINDOWS_SECONDS = {
        AutoscalerConstants.SHORT_LOAD_WINDOW_SECONDS, AutoscalerConstants.LONG_LOAD_WINDOW_SECONDS
    };

    private final MachineTypeCatalog machineTypes;
    private final Set<String> observedJobIds = new HashSet<>();

    /** CPU seconds of the jobs that arrived, decaying; by window, then by priority. */
    private final double[][] arrivedCpuSeconds =
            new double[WINDOWS_SECONDS.length][JobSpec.Priority.values().length];

    /** CPUs of the placed and pending tasks, averaged over the short window, by priority. */
    private final double[] openCpus = new double[JobSpec.Priority.values().length];

    private long observedAtMillis;

    /** When the first observation was made; negative: there was none yet. */
    private long observingSinceMillis = -1;

    OfferedLoad(MachineTypeCatalog machineTypes) {
        this.machineTypes = machineTypes;
    }

    /**
     * Updates the averages with the jobs that have arrived and the tasks that are placed or pending
     * at this time.
     */
    void observe(JobTable jobs, long nowMillis) {
        boolean isFirstObservation = observingSinceMillis < 0;
        if (isFirstObservation) {
            observingSinceMillis = nowMillis;
            observedAtMillis = nowMillis;
        }
        for (int window = 0; window < WINDOWS_SECONDS.length; window++) {
            double decay =
                    Math.exp(-(nowMillis - observedAtMillis) / 1000.0 / WINDOWS_SECONDS[window]);
            for (int priority = 0; priority < arrivedCpuSeconds[window].length; priority++) {
                arrivedCpuSeconds[window][priority] *= decay;
            }
        }
        double openCpusDecay =
                isFirstObservation
                        ? 0
                        : Math.exp(
                                -(nowMillis - observedAtMillis)
                                        / 1000.0
                                        / AutoscalerConstants.SHORT_LOAD_WINDOW_SECONDS);
        observedAtMillis = nowMillis;
        averageOpenCpus(jobs, openCpusDecay);
        addArrivals(jobs, isFirstObservation);
    }

    private void averageOpenCpus(JobTable jobs, double decay) {
        for (int priority = 0; priority < openCpus.length; priority++) {
            openCpus[priority] *= decay;
        }
        for (Job job : jobs.all()) {
            if (!job.isCancelled() && machineTypes.isUnconstrained(job.spec)) {
                openCpus[job.spec.priority().ordinal()] +=
                        (1 - decay)
                                * (job.placedTaskCount()
                                        + AutoscalerConstants.OPEN_LOAD_PENDING_FRACTION
                                                * job.pendingTaskCount())
                                * job.spec.cpus();
            }
        }
    }

    private void addArrivals(JobTable jobs, boolean isFirstObservation) {
        observedJobIds.removeIf(id -> jobs.get(id) == null);
        for (Job job : jobs.all()) {
            // Jobs present at the first observation say nothing about the arrival rate.
            if (observedJobIds.add(job.spec.jobId())
                    && machineTypes.isUnconstrained(job.spec)
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

    /** CPUs that work of every priority keeps busy when it arrives at the present rate. */
    double steadyStateCpus(long nowMillis) {
        return steadyStateCpus(openCpus.length, nowMillis);
    }

    /**
     * CPUs that work more urgent than this priority keeps busy when it arrives at the present rate:
     * the smaller of a long and a short average, so that neither one large job nor a load that has
     * ended counts for long, and at most the average CPUs of placed and pending tasks, because run
     * time estimates may be too high for all jobs.
     *
     * @param beforePriority ordinal of the first priority that does not count
     */
    double steadyStateCpus(int beforePriority, long nowMillis) {
        double lowestCpus = 0;
        for (int priority = 0; priority < beforePriority; priority++) {
            lowestCpus += openCpus[priority];
        }
        for (int window = 0; window < WINDOWS_SECONDS.length; window++) {
            double observedSeconds =
                    Math.max(
                            AutoscalerConstants.MIN_LOAD_WINDOW_SECONDS,
                            (nowMillis - observingSinceMillis) / 1000.0);
            double effectiveWindowSeconds =
                    WINDOWS_SECONDS[window]
                            * (1 - Math.exp(-observedSeconds / WINDOWS_SECONDS[window]));
            double cpuSeconds = 0;
            for (int priority = 0; priority < beforePriority; priority++) {
                cpuSeconds += arrivedCpuSeconds[window][priority];
            }
            lowestCpus = Math.min(lowestCpus, cpuSeconds / effectiveWindowSeconds);
        }
        return lowestCpus;
    }
}
