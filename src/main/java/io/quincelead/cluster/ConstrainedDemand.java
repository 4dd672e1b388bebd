package io.quincelead.cluster;

import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent demand of constrained work, which may not run on every machine. The machines that it needs
 * are reserved and withheld from other work, because more of the same is likely to arrive.
 */
public final class ConstrainedDemand {
    /** What a task requires of its machine. */
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
    private final MachineTypeCatalog machineTypes;

    /** Event-loop time at which a job with these requirements last appeared; oldest first. */
    private final Map<Requirements, Long> lastRequestedAtMillis = new LinkedHashMap<>();

    /** CPUs requested by urgent constrained work without GPUs, decaying exponentially over time. */
    private double decayedUrgentCpus;

    private long lastDecayMillis;

    /** Creates an instance that records the demand of each job added to the table from now on. */
    public ConstrainedDemand(EventLoop loop, JobTable jobs, MachineTypeCatalog machineTypes) {
        this.loop = loop;
        this.machineTypes = machineTypes;
        jobs.onJobAdded(this::recordDemand);
    }

    private void recordDemand(Job job) {
        JobSpec spec = job.spec;
        if (machineTypes.isUnconstrained(spec)) {
            return;
        }
        // Old jobs are not counted: they all appear at once when this process starts, which says
        // nothing about the arrival rate.
        if (spec.gpus() == 0
                && spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal()
                && loop.wallClockMillis() - job.acceptedAtEpochMillis()
                        < SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS * 1000) {
            applyDecay();
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
        long retentionStartMillis =
                loop.nowMillis() - SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS;
        while (lastRequestedAtMillis.size() > SchedulerConstants.MAX_CONSTRAINED_DEMANDS
                || lastRequestedAtMillis.values().iterator().next() < retentionStartMillis) {
            lastRequestedAtMillis.remove(lastRequestedAtMillis.keySet().iterator().next());
        }
    }

    private void applyDecay() {
        decayedUrgentCpus *=
                Math.exp(
                        -(loop.nowMillis() - lastDecayMillis)
                                / 1000.0
                                / SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS);
        lastDecayMillis = loop.nowMillis();
    }

    /**
     * CPUs that urgent constrained work without GPUs is expected to request within this time, at
     * its recent rate.
     */
    public double expectedUrgentCpus(double withinSeconds) {
        applyDecay();
        return decayedUrgentCpus
                / SchedulerConstants.CONSTRAINED_RATE_WINDOW_SECONDS
                * withinSeconds;
    }

    private boolean hasRecentDemand(
            MachineTypeCatalog.MachineType machineType,
            String zone,
            boolean spot,
            boolean gpusOnly) {
        long retentionStartMillis =
                loop.nowMillis() - SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS;
        for (Map.Entry<Requirements, Long> entry : lastRequestedAtMillis.entrySet()) {
            if (entry.getValue() >= retentionStartMillis
                    && (!gpusOnly || entry.getKey().gpus > 0)
                    && entry.getKey().fits(machineType, zone, spot)) {
                return true;
            }
        }
        return false;
    }

    /** Whether recent constrained work could run on a machine of this type, zone and pricing. */
    public boolean isInDemand(
            MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return hasRecentDemand(machineType, zone, spot, false);
    }

    /**
     * Whether recent work needs the GPUs of a machine of this type, zone and pricing, so that other
     * work should not use it.
     */
    public boolean isGpuInDemand(
            MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return machineType.gpus() > 0 && hasRecentDemand(machineType, zone, spot, true);
    }
}
