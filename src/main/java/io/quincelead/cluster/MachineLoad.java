package io.quincelead.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks that may be on one machine, with what they use. The sums are computed anew from the
 * tasks only after one of them has changed, so a scheduling cycle over all machines costs what has
 * changed since the last one, and no sum ever drifts.
 */
public final class MachineLoad {
    private static final int PRIORITY_COUNT = JobSpec.Priority.values().length;

    final Map<String, Placement> placementsByTask = new LinkedHashMap<>();
    private boolean stale = true;
    private double cpus;
    private double memoryGb;
    private double gpus;
    private double stoppingCpus;
    private double stoppingMemoryGb;
    private double stoppingGpus;
    private final List<List<Placement>> stoppableByPriority =
            new ArrayList<>(Collections.nCopies(PRIORITY_COUNT, List.of()));

    /**
     * Has the sums computed anew, because something about one of the tasks has changed: its phase,
     * whether it is to stop, or whether its job is cancelled.
     */
    void invalidate() {
        stale = true;
    }

    private void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        cpus = memoryGb = gpus = stoppingCpus = stoppingMemoryGb = stoppingGpus = 0;
        Collections.fill(stoppableByPriority, List.of());
        for (Placement placement : placementsByTask.values()) {
            if (placement.isTerminated()) {
                continue;
            }
            JobSpec spec = placement.job.spec;
            cpus += spec.cpus();
            memoryGb += spec.memoryGb();
            gpus += spec.gpus();
            if (placement.stopRequested || placement.job.isCancelled()) {
                stoppingCpus += spec.cpus();
                stoppingMemoryGb += spec.memoryGb();
                stoppingGpus += spec.gpus();
            } else if (!spec.isGang()) {
                int priority = spec.priority().ordinal();
                if (stoppableByPriority.get(priority).isEmpty()) {
                    stoppableByPriority.set(priority, new ArrayList<>());
                }
                stoppableByPriority.get(priority).add(placement);
            }
        }
    }

    /** CPUs of tasks that may be there. */
    public double cpus() {
        refresh();
        return cpus;
    }

    /** Memory in GB of tasks that may be there. */
    public double memoryGb() {
        refresh();
        return memoryGb;
    }

    /** GPUs of tasks that may be there. */
    public double gpus() {
        refresh();
        return gpus;
    }

    /** Of {@link #cpus}: those of tasks that are being stopped. */
    public double stoppingCpus() {
        refresh();
        return stoppingCpus;
    }

    /** Of {@link #memoryGb}: that of tasks that are being stopped. */
    public double stoppingMemoryGb() {
        refresh();
        return stoppingMemoryGb;
    }

    /** Of {@link #gpus}: those of tasks that are being stopped. */
    public double stoppingGpus() {
        refresh();
        return stoppingGpus;
    }

    /**
     * Tasks of this priority that could be preempted: not of gangs, and not being stopped yet.
     * Valid until the next change; not to be changed.
     *
     * @param priority ordinal of a {@link JobSpec.Priority}
     */
    public List<Placement> stoppablePlacements(int priority) {
        refresh();
        return stoppableByPriority.get(priority);
    }
}
