package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.store.StoreKeys;
import java.util.BitSet;

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
    public TaskStatePageEdit edit() {
        return new TaskStatePageEdit(this);
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
}
