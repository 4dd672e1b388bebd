package io.quincelead.scheduler;

import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.RecordConstants;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Tasks that could be stopped to make room, cheapest first. Sorted only as far as somebody looks:
 * few are ever needed.
 */
final class PreemptionCandidates {
    /**
     * A running task, the room it is in, what stopping it would lose in CPU seconds, whether its
     * job has only just begun, late, and its place among equals.
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
     * {@code hurry}: the room is waited for, and a task that first saves would keep it longer than
     * one that just ends. {@code together}: victims should share records, for the store's changes
     * are short.
     */
    PreemptionCandidates(List<Candidate> candidates, boolean urgent, boolean shareRecords) {
        remaining =
                new PriorityQueue<>(
                        Math.max(1, candidates.size()),
                        (a, b) -> compare(a, b, urgent, shareRecords));
        remaining.addAll(candidates);
    }

    /** The i-th cheapest; null if there are no more. Must be asked in order. */
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
        // The little with which a late job has begun goes last: it would have to begin again, and
        // is spread over many records.
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
            // The youngest jobs' tasks have run least; those of one record are stopped by one
            // change.
            result =
                    Long.compare(second.job.acceptedAtEpochMillis, first.job.acceptedAtEpochMillis);
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
