package io.quincelead.scheduler;

import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.RecordConstants;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Tasks that could be preempted to free capacity, cheapest first. Sorted only as far as they are
 * requested, since few are ever needed.
 */
final class PreemptionCandidates {
    /**
     * A running task that could be stopped.
     *
     * @param machine the machine it runs on
     * @param lostCpuSeconds work that stopping it would lose
     * @param starving whether the task's job has no more started tasks than it needs to avoid
     *     starving
     * @param sequence tie breaker among equal candidates
     */
    record Candidate(
            Placement placement,
            FreeCapacity machine,
            double lostCpuSeconds,
            boolean starving,
            int sequence) {}

    private final PriorityQueue<Candidate> remaining;
    private final List<Candidate> sorted = new ArrayList<>();

    /**
     * @param urgent whether urgent work waits for the capacity: a task that first writes a
     *     checkpoint would occupy it longer than one that ends at once
     * @param shareRecords whether to prefer tasks that share records, because writes are scarce
     */
    PreemptionCandidates(List<Candidate> candidates, boolean urgent, boolean shareRecords) {
        remaining =
                new PriorityQueue<>(
                        Math.max(1, candidates.size()),
                        (a, b) -> compare(a, b, urgent, shareRecords));
        remaining.addAll(candidates);
    }

    /**
     * The candidate with this index, cheapest first; null if there are no more. Indexes must be
     * requested in order.
     */
    Candidate get(int index) {
        if (index == sorted.size() && !remaining.isEmpty()) {
            sorted.add(remaining.poll());
        }
        return index < sorted.size() ? sorted.get(index) : null;
    }

    private static double checkpointSeconds(Placement placement) {
        return placement.job.spec.checkpointIntervalSeconds() > 0
                ? placement.job.spec.checkpointSeconds()
                : 0;
    }

    static int compare(Candidate a, Candidate b, boolean urgent, boolean shareRecords) {
        Placement first = a.placement;
        Placement second = b.placement;
        // The few tasks that a starving job has started come last: they would have to start again,
        // and are spread over many records.
        int result = Boolean.compare(a.starving, b.starving);
        result =
                result != 0
                        ? result
                        : urgent
                                ? Double.compare(
                                        checkpointSeconds(first), checkpointSeconds(second))
                                : 0;
        result =
                result != 0
                        ? result
                        : second.job.spec.priority().compareTo(first.job.spec.priority());
        if (result == 0 && shareRecords && first.job != second.job) {
            // The youngest jobs' tasks have run least; tasks in one record are stopped by one
            // write.
            result =
                    Long.compare(
                            second.job.acceptedAtEpochMillis(), first.job.acceptedAtEpochMillis());
            result =
                    result != 0
                            ? result
                            : first.job.spec.jobId().compareTo(second.job.spec.jobId());
        }
        result =
                result != 0 || !shareRecords
                        ? result
                        : Integer.compare(
                                first.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE,
                                second.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
        result = result != 0 ? result : Double.compare(a.lostCpuSeconds, b.lostCpuSeconds);
        return result != 0 ? result : Integer.compare(a.sequence, b.sequence);
    }
}
