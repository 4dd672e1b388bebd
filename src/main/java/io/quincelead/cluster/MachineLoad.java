package io.quincelead.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks that may be on one machine and the resources they use. The sums are recomputed from the
 * tasks only after a task has changed, so the cost of a scheduling cycle over all machines depends
 * on the changes since the last cycle, and the sums accumulate no rounding error.
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
     * Requests that the sums be recomputed, because a task was added or removed, or its phase, its
     * stop request or the cancellation of its job has changed.
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

    /** CPUs of the tasks that may be on the machine. */
    public double cpus() {
        refresh();
        return cpus;
    }

    /** Memory in GB of the tasks that may be on the machine. */
    public double memoryGb() {
        refresh();
        return memoryGb;
    }

    /** GPUs of the tasks that may be on the machine. */
    public double gpus() {
        refresh();
        return gpus;
    }

    /** The part of {@link #cpus} that belongs to tasks being stopped. */
    public double stoppingCpus() {
        refresh();
        return stoppingCpus;
    }

    /** The part of {@link #memoryGb} that belongs to tasks being stopped. */
    public double stoppingMemoryGb() {
        refresh();
        return stoppingMemoryGb;
    }

    /** The part of {@link #gpus} that belongs to tasks being stopped. */
    public double stoppingGpus() {
        refresh();
        return stoppingGpus;
    }

    /**
     * Tasks of this priority that could be preempted: those that don't belong to gangs and are not
     * being stopped yet. The list is valid until the next change and must not be modified.
     *
     * @param priority ordinal of a {@link JobSpec.Priority}
     */
    public List<Placement> stoppablePlacements(int priority) {
        refresh();
        return stoppableByPriority.get(priority);
    }
}
