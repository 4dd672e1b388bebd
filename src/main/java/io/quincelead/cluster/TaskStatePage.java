package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.store.StoreKeys;
import java.util.BitSet;
import java.util.Collection;

/**
 * The recorded states of up to {@link RecordConstants#TASKS_PER_STATE_PAGE} tasks of a job:
 * completed, placed, or else pending. A page never changes: a new record makes a new page. Task
 * indexes count from the job's first task.
 */
public final class TaskStatePage {
    /** The job that the tasks belong to. */
    public final Job job;

    /** The highest attempt used so far; 0: none. */
    public final long lastAttempt;

    /** Where tasks are placed on record; read-only outside of this package. */
    public final PlacementTable placements;

    /** The completed tasks, counted from the first one of the page. */
    final BitSet completed;

    private final int pageNumber;
    private final String storeKey;

    /** The placements as they are on record; null where no record was read. */
    private final byte[] recordedPlacements;

    private TaskStatePage(
            Job job,
            int pageNumber,
            String storeKey,
            long lastAttempt,
            BitSet completed,
            PlacementTable placements,
            byte[] recordedPlacements) {
        this.job = job;
        this.storeKey = storeKey;
        this.pageNumber = pageNumber;
        this.lastAttempt = lastAttempt;
        this.completed = completed;
        this.placements = placements;
        this.recordedPlacements = recordedPlacements;
    }

    /** A page that has no record yet: all its tasks are pending. */
    static TaskStatePage empty(Job job, int pageNumber) {
        return new TaskStatePage(
                job,
                pageNumber,
                job.hasSinglePage() ? job.storeKey() : pageKey(job.spec.jobId(), pageNumber),
                0,
                new BitSet(),
                new PlacementTable(firstTaskIndex(pageNumber), taskCount(job, pageNumber)),
                null);
    }

    /** A page as read from its record, whose placements were {@code recordedPlacements}. */
    static TaskStatePage recorded(
            Job job,
            int pageNumber,
            long lastAttempt,
            BitSet completed,
            PlacementTable placements,
            byte[] recordedPlacements) {
        return new TaskStatePage(
                job,
                pageNumber,
                job.emptyPage(pageNumber).storeKey,
                lastAttempt,
                completed,
                placements,
                recordedPlacements);
    }

    /** The store key of its record: the job's own, if a single page is all there is. */
    public String storeKey() {
        return storeKey;
    }

    /** Four digits, so that a job's pages are listed in their order. */
    private static String pageKey(String jobId, int pageNumber) {
        String digits = Integer.toString(pageNumber);
        return StoreKeys.TASK_STATE_PAGE_PREFIX
                + jobId
                + "/"
                + "0".repeat(Math.max(0, 4 - digits.length()))
                + digits;
    }

    /** The index of the page's first task. */
    public int firstTaskIndex() {
        return firstTaskIndex(pageNumber);
    }

    static int firstTaskIndex(int pageNumber) {
        return pageNumber * RecordConstants.TASKS_PER_STATE_PAGE;
    }

    /** How many tasks the page has; the last page of a job may have fewer than the others. */
    public int taskCount() {
        return taskCount(job, pageNumber);
    }

    static int taskCount(Job job, int pageNumber) {
        return Math.min(
                RecordConstants.TASKS_PER_STATE_PAGE,
                job.spec.taskCount() - firstTaskIndex(pageNumber));
    }

    /** How many tasks are neither completed nor placed on record. */
    public int pendingTaskCount() {
        return taskCount() - completed.cardinality() - placements.size();
    }

    /** Whether the task waits for a placement on record. */
    public boolean isPendingOnRecord(int taskIndex) {
        return !placements.hasPlacement(taskIndex) && !completed.get(taskIndex - firstTaskIndex());
    }

    /** The text that the placements were decoded from; null where no record was read. */
    byte[] recordedPlacements() {
        return recordedPlacements;
    }

    /** Begins a change of this page. */
    public Edit edit() {
        return new Edit(this);
    }

    /** The page's record as it is known. */
    ObjectNode encode() {
        return TaskStatePageCodec.encode(firstTaskIndex(), lastAttempt, completed, placements);
    }

    /** How many tasks are completed and how many are placed, on record. */
    public record TaskCounts(int completed, int placed) {
        /** The counts of a page's record as the store has it; none where the record is missing. */
        public static TaskCounts of(JsonNode node) {
            return TaskStatePageCodec.decodeCounts(node);
        }

        /** The counts of both together. */
        public TaskCounts plus(TaskCounts other) {
            return new TaskCounts(completed + other.completed, placed + other.placed);
        }
    }

    /** A planned change of a page. It becomes real only when the store has confirmed it. */
    public static final class Edit {
        private final TaskStatePage page;
        private final BitSet completed;
        private final PlacementTable placements;
        private long lastAttempt;
        private boolean changed;

        private Edit(TaskStatePage page) {
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
         * gone, which the same change puts on record. A gang's next attempt starts only when all of
         * the last one is on record as gone.
         */
        public boolean isPlaceable(int taskIndex) {
            return isPending(taskIndex)
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
        public boolean isRunning(int taskIndex) {
            Placement placement = placements.get(taskIndex);
            return placement != null && !placement.stopRequested;
        }

        /** Plans to record the task as completed. */
        public void markCompleted(int taskIndex) {
            placements.remove(taskIndex);
            completed.set(taskIndex - page.firstTaskIndex());
            changed = true;
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
                            placement.recordSeenAtMillis));
            changed = true;
        }

        /** The record under the page's store key with this change made. */
        public ObjectNode encode() {
            ObjectNode node =
                    TaskStatePageCodec.encode(
                            page.firstTaskIndex(), lastAttempt, completed, placements);
            return page.job.hasSinglePage()
                    ? page.job.encode(page.job.controllerId, page.job.cancelledAtEpochMillis, node)
                    : node;
        }
    }
}
