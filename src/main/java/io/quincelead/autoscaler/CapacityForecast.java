package io.quincelead.autoscaler;

import java.util.Map;
import java.util.TreeMap;

/**
 * The CPUs of the machines that are up, still booting or requested, by the seconds from now until
 * they can run tasks. CPUs that become ready within the same second count as one group.
 */
final class CapacityForecast {
    private final TreeMap<Integer, Double> cpusByReadySeconds = new TreeMap<>();

    /** Adds CPUs that can run tasks in {@code readyInSeconds}; 0 or less means now. */
    void add(double cpus, double readyInSeconds) {
        cpusByReadySeconds.merge((int) Math.ceil(Math.max(0, readyInSeconds)), cpus, Double::sum);
    }

    /** All CPUs, whenever they become ready. */
    double totalCpus() {
        return cpusByReadySeconds.values().stream().mapToDouble(cpus -> cpus).sum();
    }

    /** The CPUs that can run tasks now. */
    double readyCpus() {
        return cpusByReadySeconds.getOrDefault(0, 0.0);
    }

    /**
     * The CPU seconds that these machines offer from now until {@code windowSeconds} have passed.
     */
    double cpuSecondsWithin(double windowSeconds) {
        double cpuSeconds = 0;
        for (Map.Entry<Integer, Double> entry :
                cpusByReadySeconds.headMap((int) Math.ceil(windowSeconds)).entrySet()) {
            cpuSeconds += entry.getValue() * (windowSeconds - entry.getKey());
        }
        return cpuSeconds;
    }
}
