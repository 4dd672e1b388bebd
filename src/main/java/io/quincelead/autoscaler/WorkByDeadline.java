package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.AutoscalerConstants;
import java.util.Map;
import java.util.TreeMap;

/**
 * CPU seconds of work by deadline, in seconds from now, and by priority. Running work counts as the
 * most urgent.
 */
final class WorkByDeadline {
    private final TreeMap<Integer, double[]> cpuSecondsByDeadline = new TreeMap<>();

    /** The CPUs needed to meet all deadlines, and the CPUs that are missing for that. */
    record Requirement(double deadlineCpus, double shortfallCpus) {}

    /** Adds work that must be done in {@code dueInSeconds}; {@code priority} is an ordinal. */
    void add(double dueInSeconds, double cpuSeconds, int priority) {
        cpuSecondsByDeadline
                        .computeIfAbsent(
                                (int) dueInSeconds,
                                second -> new double[JobSpec.Priority.values().length])[priority] +=
                cpuSeconds;
    }

    /**
     * Compares the work due by each deadline with the CPU time that the capacity offers until then
     * (a demand bound test).
     *
     * @param steadyCpusBefore CPUs that arriving work more urgent than each priority keeps busy
     */
    Requirement compareWith(CapacityForecast capacity, double[] steadyCpusBefore) {
        double dueCpuSeconds = 0;
        double shortfallCpus = 0;
        double deadlineCpus = 0;
        for (Map.Entry<Integer, double[]> deadline : cpuSecondsByDeadline.entrySet()) {
            // A machine provisioned now is ready too late for work due at once; that work counts as
            // due when the machine could run it.
            double horizonSeconds =
                    Math.max(deadline.getKey(), AutoscalerConstants.MIN_PLANNING_HORIZON_SECONDS);
            double availableCpuSeconds = capacity.cpuSecondsWithin(horizonSeconds);
            for (int priority = 0; priority < steadyCpusBefore.length; priority++) {
                if (deadline.getValue()[priority] <= 0) {
                    continue;
                }
                dueCpuSeconds += deadline.getValue()[priority];
                deadlineCpus = Math.max(deadlineCpus, dueCpuSeconds / horizonSeconds);
                // More urgent work that arrives before the deadline runs first.
                double missingCpuSeconds =
                        dueCpuSeconds
                                + steadyCpusBefore[priority] * horizonSeconds
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
        return new Requirement(deadlineCpus, shortfallCpus);
    }
}
