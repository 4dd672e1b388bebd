package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.transport.WireFormat;

/** An unfinished job as the store has it. */
public final class Job {
    public final JobSpec spec;
    private final String storeKey;

    /** The controller that places its tasks. */
    public String controllerId;

    /** Time of day in ms at which it was accepted. */
    public long acceptedAtEpochMillis;

    /** Time of day in ms at which its cancellation was recorded; 0: not cancelled. */
    public long cancelledAtEpochMillis;

    public final TaskStatePage[] pages;

    /**
     * Stand in for chunks that have no record yet; always the same ones, so that a plan can tell
     * them by identity.
     */
    private final TaskStatePage[] emptyPages;

    private int completedTasks;
    private int placedTasks;

    /**
     * Of the placed: those whose end this process has evidence of, though it may not be on record
     * yet.
     */
    private int unrecordedCompleted;

    private int unrecordedGone;

    /**
     * This process's own notes: failures in a row, and the loop time before which no task is to be
     * started.
     */
    public int consecutiveFailures;

    /** Machines on which a task of it has failed, as far as this process saw. */
    public final java.util.Set<String> failedHosts = new java.util.HashSet<>(2);

    public long notBeforeMillis;

    /**
     * Machines types on which a task of it has completed or run well; used to tell faulty machines
     * from faulty jobs.
     */
    public int successCount;

    Job(JobSpec spec) {
        this.spec = spec;
        this.storeKey = StoreKeys.JOB_PREFIX + spec.jobId();
        this.pages =
                new TaskStatePage
                        [(spec.taskCount() + RecordConstants.TASKS_PER_STATE_PAGE - 1)
                                / RecordConstants.TASKS_PER_STATE_PAGE];
        this.emptyPages = new TaskStatePage[pages.length];
        for (int pageNumber = 0; pageNumber < emptyPages.length; pageNumber++) {
            emptyPages[pageNumber] = TaskStatePage.empty(this, pageNumber);
        }
    }

    /** A job that is being submitted: on no record yet. */
    public Job(JobSpec spec, String controllerId, long acceptedAtEpochMillis) {
        this(spec);
        this.controllerId = controllerId;
        this.acceptedAtEpochMillis = acceptedAtEpochMillis;
    }

    public String storeKey() {
        return storeKey;
    }

    public boolean isCancelled() {
        return cancelledAtEpochMillis > 0;
    }

    public int completedTaskCount() {
        return completedTasks;
    }

    public int placedTaskCount() {
        return placedTasks;
    }

    /** Tasks that may still be on a machine, as far as this process knows. */
    public int possiblyRunningTaskCount() {
        return placedTasks - unrecordedCompleted - unrecordedGone;
    }

    /**
     * How many tasks must have begun by now, so that nobody is left behind: none at first, then
     * more and more of the stated share of all; a gang begins as a whole. Urgent work goes first
     * anyway. {@code beginWithinS}: seconds within which it should have begun.
     */
    public int requiredStartedTaskCount(
            long nowEpochMillis, double startWithinSeconds, double minimumShare) {
        double ageSeconds = (nowEpochMillis - acceptedAtEpochMillis) / 1000.0;
        double fromSeconds = startWithinSeconds * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
        if (ageSeconds < fromSeconds
                || minimumShare <= 0
                || spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal()) {
            return 0;
        }
        double share =
                Math.min(
                        1,
                        (ageSeconds - fromSeconds)
                                / (startWithinSeconds
                                        * (SchedulerConstants.OVERDUE_RAMP_END_FRACTION
                                                - SchedulerConstants.OVERDUE_RAMP_START_FRACTION)));
        return spec.isGang()
                ? spec.taskCount()
                : (int) Math.max(1, Math.ceil(spec.taskCount() * minimumShare * share));
    }

    /** Tasks without a place, on record or by evidence. */
    public int waitingTaskCount() {
        return pendingTaskCount() + (spec.isGang() ? 0 : unrecordedGone);
    }

    /** Whether every task is done, on record or by evidence that isn't on record yet. */
    public boolean isCompleteByEvidence() {
        return !spec.isService() && completedTasks + unrecordedCompleted == spec.taskCount();
    }

    /** Keeps the counts of evidence in step with a placement that is on record. */
    void adjustEvidenceCounts(Placement placement, int delta) {
        TaskStatePage page =
                placement.isTerminated()
                        ? pages[placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE]
                        : null;
        if (page != null && page.placements.get(placement.taskIndex) == placement) {
            unrecordedCompleted += placement.phase() == Placement.Phase.COMPLETED ? delta : 0;
            unrecordedGone += placement.phase() == Placement.Phase.GONE ? delta : 0;
        }
    }

    public int pendingTaskCount() {
        return spec.taskCount() - completedTasks - placedTasks;
    }

    public boolean isComplete() {
        return !spec.isService() && completedTasks == spec.taskCount();
    }

    public TaskStatePage page(int pageNumber) {
        return pages[pageNumber] == null ? emptyPages[pageNumber] : pages[pageNumber];
    }

    /** A chunk as it is before it has a record. */
    TaskStatePage emptyPage(int pageNumber) {
        return emptyPages[pageNumber];
    }

    void replacePage(int pageNumber, TaskStatePage nextPage) {
        TaskStatePage previousPage = pages[pageNumber];
        PlacementTable before = previousPage == null ? null : previousPage.placements;
        PlacementTable after = nextPage == null ? null : nextPage.placements;
        PlacementTable.forEachChange(
                before,
                after,
                (was, is) -> {
                    if (was != null) {
                        adjustEvidenceCounts(was, -1);
                    }
                });
        pages[pageNumber] = nextPage;
        if (previousPage != null) {
            completedTasks -= previousPage.completed.cardinality();
            placedTasks -= previousPage.placements.size();
        }
        if (nextPage != null) {
            completedTasks += nextPage.completed.cardinality();
            placedTasks += nextPage.placements.size();
        }
        PlacementTable.forEachChange(
                before,
                after,
                (was, is) -> {
                    if (is != null) {
                        adjustEvidenceCounts(is, 1);
                    }
                });
    }

    /**
     * Whether its tasks' states are kept in the job's own record: most jobs then cost the store
     * half the changes.
     */
    public boolean hasSinglePage() {
        return pages.length == 1;
    }

    /** The job's record as it is known. */
    public ObjectNode encode() {
        return encode(controllerId, cancelledAtEpochMillis);
    }

    /** The job's record with the given controller and time of cancellation. */
    public ObjectNode encode(String newControllerId, long cancelledEpochMillis) {
        return encode(
                newControllerId,
                cancelledEpochMillis,
                hasSinglePage() && pages[0] != null ? pages[0].encode() : null);
    }

    ObjectNode encode(String newControllerId, long cancelledEpochMillis, ObjectNode tasks) {
        ObjectNode node = WireFormat.newMap();
        node.set("s", spec.encode());
        node.put("c", newControllerId).put("at", acceptedAtEpochMillis);
        if (cancelledEpochMillis > 0) {
            node.put("x", cancelledEpochMillis);
        }
        if (tasks != null) {
            node.set("k", tasks);
        }
        return node;
    }

    void applyRecord(JsonNode node) {
        controllerId = node.path("c").asText();
        acceptedAtEpochMillis = node.path("at").asLong();
        cancelledAtEpochMillis = node.path("x").asLong();
    }

    /**
     * The state that users are told while the job is not finished; a cancelled one is called so
     * when its tasks are gone.
     */
    public ObjectNode encodeStatus() {
        return encodeStatus(
                spec.jobId(), new TaskStatePage.TaskCounts(completedTasks, placedTasks));
    }

    /** The same of a job whose records have just been read. */
    public static ObjectNode encodeStatus(String jobId, TaskStatePage.TaskCounts counts) {
        return WireFormat.newMap()
                .put("nameId", jobId)
                .put("status", counts.placed() > 0 ? "running" : "pending")
                .put("done", counts.completed())
                .put("running", counts.placed());
    }
}
