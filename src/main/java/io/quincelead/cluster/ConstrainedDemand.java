package io.quincelead.cluster;

import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What constrained work, which not every machine may run, has asked for lately. The machines that
 * it needs are reserved and left free for it, for more of the same is likely to come.
 */
public final class ConstrainedDemand {
    /** What a task demands of its machine. */
    private record Requirements(
            double cpus,
            double gpus,
            double memoryGb,
            List<String> machineTypes,
            String zone,
            boolean preemptible) {
        boolean fits(MachineTypeCatalog.MachineType machineType, String inZone, boolean spot) {
            return cpus <= machineType.cpus()
                    && gpus <= machineType.gpus()
                    && memoryGb <= machineType.memoryGb()
                    && (machineTypes == null || machineTypes.contains(machineType.name()))
                    && (zone == null || zone.equals(inZone))
                    && (preemptible || !spot);
        }
    }

    private final EventLoop loop;

    /** Event-loop time at which each demand last appeared, the oldest first. */
    private final Map<Requirements, Long> lastRequestedAtMillis = new LinkedHashMap<>();

    /** CPUs asked for by work of high priority, decaying with time. */
    private double decayedUrgentCpus;

    private long decayedAtMillis;

    /** Learns from each job that appears in the table from now on. */
    public ConstrainedDemand(EventLoop loop, JobTable jobs) {
        this.loop = loop;
        jobs.onJobAdded(this::recordDemand);
    }

    private void recordDemand(Job job) {
        JobSpec spec = job.spec;
        if (spec.isUnconstrained()) {
            return;
        }
        // When this process starts, old jobs appear all at once: they say nothing of the rate.
        if (spec.gpus() == 0
                && spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal()
                && loop.wallClockMillis() - job.acceptedAtEpochMillis
                        < SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS * 1000) {
            decay();
            decayedUrgentCpus += spec.taskCount() * spec.cpus();
        }
        Requirements requirements =
                new Requirements(
                        spec.cpus(),
                        spec.gpus(),
                        spec.memoryGb(),
                        spec.machineTypes(),
                        spec.zone(),
                        spec.preemptible());
        lastRequestedAtMillis.remove(requirements);
        lastRequestedAtMillis.put(requirements, loop.nowMillis());
        long oldestRemembered =
                loop.nowMillis() - SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS;
        while (lastRequestedAtMillis.size() > SchedulerConstants.MAX_CONSTRAINED_DEMANDS
                || lastRequestedAtMillis.values().iterator().next() < oldestRemembered) {
            lastRequestedAtMillis.remove(lastRequestedAtMillis.keySet().iterator().next());
        }
    }

    private void decay() {
        decayedUrgentCpus *=
                Math.exp(
                        -(loop.nowMillis() - decayedAtMillis)
                                / 1000.0
                                / SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS);
        decayedAtMillis = loop.nowMillis();
    }

    /**
     * CPUs that constrained work of high priority without GPUs would ask for in this time, at the
     * rate of late.
     */
    public double expectedUrgentCpus(double withinSeconds) {
        decay();
        return decayedUrgentCpus
                / SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS
                * withinSeconds;
    }

    private boolean hasRecentDemand(
            MachineTypeCatalog.MachineType machineType,
            String zone,
            boolean spot,
            boolean gpusOnly) {
        long oldestRemembered =
                loop.nowMillis() - SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS;
        for (Map.Entry<Requirements, Long> entry : lastRequestedAtMillis.entrySet()) {
            if (entry.getValue() >= oldestRemembered
                    && (!gpusOnly || entry.getKey().gpus > 0)
                    && entry.getKey().fits(machineType, zone, spot)) {
                return true;
            }
        }
        return false;
    }

    /** Whether constrained work of late could run on such a machine. */
    public boolean isInDemand(
            MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return hasRecentDemand(machineType, zone, spot, false);
    }

    /** Whether work of late needs the GPUs of such a machine: other work should leave it alone. */
    public boolean isGpuInDemand(
            MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return machineType.gpus() > 0 && hasRecentDemand(machineType, zone, spot, true);
    }
}
