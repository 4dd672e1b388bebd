package io.quincelead.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Collection;

/** A planned change of a page. It becomes real only when the store has confirmed it. */
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

    /** The page as it is on record. */
    public TaskStatePage page() {
        return page;
    }

    /** Whether the plan changes anything. */
    public boolean isChanged() {
        return changed;
    }

    /** Whether the task has no placement in the plan and isn't completed there. */
    public boolean isPending(int taskIndex) {
        return !placements.hasPlacement(taskIndex)
                && !completed.get(taskIndex - page.firstTaskIndex());
    }

    /**
     * Whether the plan may place the task: it waited on record, or there is evidence that it is
     * gone, which the same change puts on record. A gang's next attempt starts only when all of the
     * last one is on record as gone.
     */
    public boolean isPlaceable(int taskIndex) {
        return isPending(taskIndex)
                && !page.job.isCompletedGang()
                && (page.isPendingOnRecord(taskIndex) || !page.job.spec.isGang());
    }

    /** How many tasks the plan may place and has not placed. */
    public int placeableTaskCount() {
        int count = 0;
        for (int taskIndex = page.firstTaskIndex();
                taskIndex < page.firstTaskIndex() + page.taskCount();
                taskIndex++) {
            count += isPlaceable(taskIndex) ? 1 : 0;
        }
        return count;
    }

    /** Where the plan leaves or puts tasks; a live view, not to be changed. */
    public Collection<Placement> placements() {
        return placements;
    }

    /** Whether the plan leaves the task running: not terminated, and not told to stop. */
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

    /** Plans to record all tasks as completed that have no placement. */
    public void markPendingCompleted() {
        for (int i = 0; i < page.taskCount(); i++) {
            if (isPending(page.firstTaskIndex() + i)) {
                markCompleted(page.firstTaskIndex() + i);
            }
        }
    }

    /** Plans to record that the task has terminated without completing: it is pending again. */
    public void markGone(int taskIndex) {
        placements.remove(taskIndex);
        changed = true;
    }

    /** Plans a start of the task on the machine, as this attempt. */
    public void place(int taskIndex, String host, long attempt) {
        placements.put(new Placement(page.job, taskIndex, host, attempt, false, 0));
        lastAttempt = Math.max(lastAttempt, attempt);
        changed = true;
    }

    /** Plans to stop the task; nothing where it has no placement. */
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

    /** The record under the page's store key with this change made. */
    public ObjectNode encode() {
        ObjectNode node =
                TaskStatePageCodec.encode(
                        page.firstTaskIndex(), lastAttempt, completed, placements);
        return page.job.hasSinglePage()
                ? page.job.encode(page.job.controllerId(), page.job.cancelledAtEpochMillis(), node)
                : node;
    }
}
