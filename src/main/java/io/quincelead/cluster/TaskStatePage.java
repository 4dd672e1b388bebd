package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.store.StoreKeys;
import java.util.BitSet;

/**
 * The recorded states of up to {@link RecordConstants#TASKS_PER_STATE_PAGE} tasks of a job:
 * completed, placed, or otherwise pending. Immutable: a changed record becomes a new page. Task
 * indexes count from the job's first task.
 */
public final class TaskStatePage {
    /** The job that the tasks belong to. */
    public final Job job;

    /** The highest attempt used so far; 0: none. */
    public final long lastAttempt;

    /** The placements on record; read-only outside this package. */
    public final PlacementTable placements;

    /** The completed tasks; bit indexes count from the first task of the page. */
    final BitSet completed;

    private final int pageIndex;
    private final String storeKey;

    /** The stored text of the placements; null if the page has no record. */
    private final byte[] recordedPlacements;

    private TaskStatePage(
            Job job,
            int pageIndex,
            String storeKey,
            long lastAttempt,
            BitSet completed,
            PlacementTable placements,
            byte[] recordedPlacements) {
        this.job = job;
        this.storeKey = storeKey;
        this.pageIndex = pageIndex;
        this.lastAttempt = lastAttempt;
        this.completed = completed;
        this.placements = placements;
        this.recordedPlacements = recordedPlacements;
    }

    /** Creates a page that has no record yet: all its tasks are pending. */
    static TaskStatePage empty(Job job, int pageIndex) {
        return new TaskStatePage(
                job,
                pageIndex,
                job.hasSinglePage() ? job.storeKey() : pageKey(job.spec.jobId(), pageIndex),
                0,
                new BitSet(),
                new PlacementTable(firstTaskIndex(pageIndex), taskCount(job, pageIndex)),
                null);
    }

    /** Creates a page read from a record in which the placements are {@code recordedPlacements}. */
    static TaskStatePage recorded(
            Job job,
            int pageIndex,
            long lastAttempt,
            BitSet completed,
            PlacementTable placements,
            byte[] recordedPlacements) {
        return new TaskStatePage(
                job,
                pageIndex,
                job.emptyPage(pageIndex).storeKey,
                lastAttempt,
                completed,
                placements,
                recordedPlacements);
    }

    /** The store key of the page's record, or of the job's record if the job has a single page. */
    public String storeKey() {
        return storeKey;
    }

    /** The page index is padded to four digits so that the store lists a job's pages in order. */
    private static String pageKey(String jobId, int pageIndex) {
        String digits = Integer.toString(pageIndex);
        return StoreKeys.TASK_STATE_PAGE_PREFIX
                + jobId
                + "/"
                + "0".repeat(Math.max(0, 4 - digits.length()))
                + digits;
    }

    /** The index of the page's first task. */
    public int firstTaskIndex() {
        return firstTaskIndex(pageIndex);
    }

    static int firstTaskIndex(int pageIndex) {
        return pageIndex * RecordConstants.TASKS_PER_STATE_PAGE;
    }

    /** How many tasks the page has; the last page of a job may have fewer than the others. */
    public int taskCount() {
        return taskCount(job, pageIndex);
    }

    static int taskCount(Job job, int pageIndex) {
        return Math.min(
                RecordConstants.TASKS_PER_STATE_PAGE,
                job.spec.taskCount() - firstTaskIndex(pageIndex));
    }

    /** How many tasks are neither completed nor placed on record. */
    public int pendingTaskCount() {
        return taskCount() - completed.cardinality() - placements.size();
    }

    /** Whether the task is neither completed nor placed on record. */
    public boolean isPendingOnRecord(int taskIndex) {
        return !placements.hasPlacement(taskIndex) && !completed.get(taskIndex - firstTaskIndex());
    }

    /** The stored text that the placements were decoded from; null if the page has no record. */
    byte[] recordedPlacements() {
        return recordedPlacements;
    }

    /** Starts an edit of this page. */
    public TaskStatePageEdit edit() {
        return new TaskStatePageEdit(this);
    }

    /** Encodes the page's record. */
    ObjectNode encode() {
        return TaskStatePageCodec.encode(firstTaskIndex(), lastAttempt, completed, placements);
    }

    /** The numbers of tasks that are completed and placed on record. */
    public record TaskCounts(int completed, int placed) {
        /** The counts from the stored record of a page; zero if the record is missing. */
        public static TaskCounts of(JsonNode node) {
            return TaskStatePageCodec.decodeCounts(node);
        }

        /** The sums of both counts. */
        public TaskCounts plus(TaskCounts other) {
            return new TaskCounts(completed + other.completed, placed + other.placed);
        }
    }
}
