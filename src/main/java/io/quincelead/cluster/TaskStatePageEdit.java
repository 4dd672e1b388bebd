package io.quincelead.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collection;

/** A planned change of a page. It takes effect only when the store has confirmed it. */
public final class TaskStatePageEdit {
    private final TaskStatePage page;
    private final BitSet completed;
    private final PlacementTable placements;
    private long lastAttempt;
    private boolean changed;

    TaskStatePageEdit(TaskStatePage page) {
        this.page = page;
        this.completed = (BitSet) page.completed.clone();
        this.placements = new PlacementTable(page.placements);
        this.lastAttempt = page.lastAttempt;
    }

    /** The page on record that this edit changes. */
    public TaskStatePage page() {
        return page;
    }

    /** Whether the plan changes anything. */
    public boolean isChanged() {
        return changed;
    }

    /** Whether the task is neither placed nor completed in the plan. */
    public boolean isPending(int taskIndex) {
        return !placements.hasPlacement(taskIndex)
                && !completed.get(taskIndex - page.firstTaskIndex());
    }

    /**
     * Whether the plan may place the task: either it is pending on record, or there is evidence
     * that it has terminated, which the same change records. A gang's next attempt starts only when
     * the termination of all tasks of the last attempt is on record.
     */
    public boolean isPlaceable(int taskIndex) {
        return isPending(taskIndex)
                && !page.job.isCompletedGang()
                && (page.isPendingOnRecord(taskIndex) || !page.job.spec.isGang());
    }

    /** The number of tasks that the plan may place and has not placed yet. */
    public int placeableTaskCount() {
        int count = 0;
        for (int taskIndex = page.firstTaskIndex();
                taskIndex < page.firstTaskIndex() + page.taskCount();
                taskIndex++) {
            count += isPlaceable(taskIndex) ? 1 : 0;
        }
        return count;
    }

    /** The placements after the planned change; a live view that must not be modified. */
    public Collection<Placement> placements() {
        return placements;
    }

    /** Whether the task has a placement in the plan that is not requested to stop. */
    public boolean hasActivePlacement(int taskIndex) {
        Placement placement = placements.get(taskIndex);
        return placement != null && !placement.stopRequested;
    }

    /** Plans to record the task as completed. */
    public void markCompleted(int taskIndex) {
        placements.remove(taskIndex);
        completed.set(taskIndex - page.firstTaskIndex());
        changed = true;
    }

    /** Plans to record all tasks without a placement as completed. */
    public void markPendingCompleted() {
        for (int i = 0; i < page.taskCount(); i++) {
            if (isPending(page.firstTaskIndex() + i)) {
                markCompleted(page.firstTaskIndex() + i);
            }
        }
    }

    /** Plans to record that the task has terminated without completing, so it is pending again. */
    public void markGone(int taskIndex) {
        placements.remove(taskIndex);
        changed = true;
    }

    /** Plans a start of the task on the machine with this attempt. */
    public void place(int taskIndex, String host, long attempt) {
        placements.put(new Placement(page.job, taskIndex, host, attempt, false, 0));
        lastAttempt = Math.max(lastAttempt, attempt);
        changed = true;
    }

    /** Plans to stop the task; does nothing if it has no placement. */
    public void requestStop(int taskIndex) {
        Placement placement = placements.get(taskIndex);
        if (placement == null) {
            return;
        }
        placements.put(
                new Placement(
                        placement.job,
                        placement.taskIndex,
                        placement.host,
                        placement.attempt,
                        true,
                        placement.recordSeenAtMillis()));
        changed = true;
    }

    /** Encodes the record under the page's store key with this change applied. */
    public ObjectNode encode() {
        ObjectNode node =
                TaskStatePageCodec.encode(
                        page.firstTaskIndex(), lastAttempt, completed, placements);
        return page.job.hasSinglePage()
                ? page.job.encode(page.job.controllerId(), page.job.cancelledAtEpochMillis(), node)
                : node;
    }
}
