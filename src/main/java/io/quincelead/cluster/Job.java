package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.store.StoreKeys;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An unfinished job as the store has it, with what this process has observed of it. The record
 * changes only through {@link JobTable}; the observations are never stored.
 */
public final class Job {
    /** The job as submitted. */
    public final JobSpec spec;

    private final String storeKey;

    private String controllerId;
    private long acceptedAtEpochMillis;
    private long cancelledAtEpochMillis;

    /** The states of its tasks; null where a page has no record yet. Not to be changed. */
    public final TaskStatePage[] pages;

    /**
     * Stand in for pages that have no record yet; always the same ones, so that a plan can tell
     * them by identity.
     */
    private final TaskStatePage[] emptyPages;

    private int completedTasks;
    private int placedTasks;

    /**
     * Of the placed tasks: those that this process has evidence of having completed, though it may
     * not be on record yet.
     */
    private int unrecordedCompleted;

    /** Likewise: those that have terminated without completing. */
    private int unrecordedGone;

    private int consecutiveFailures;
    private final Set<String> failedHosts = new HashSet<>(2);
    private long notBeforeMillis;
    private int successCount;

    Job(JobSpec spec) {
        this.spec = spec;
        this.storeKey = StoreKeys.JOB_PREFIX + spec.jobId();
        int pageCount =
                (spec.taskCount() + RecordConstants.TASKS_PER_STATE_PAGE - 1)
                        / RecordConstants.TASKS_PER_STATE_PAGE;
        this.pages = new TaskStatePage[pageCount];
        this.emptyPages = new TaskStatePage[pageCount];
        for (int pageNumber = 0; pageNumber < pageCount; pageNumber++) {
            emptyPages[pageNumber] = TaskStatePage.empty(this, pageNumber);
        }
    }

    /** A job that is being submitted: on no record yet. */
    public Job(JobSpec spec, String controllerId, long acceptedAtEpochMillis) {
        this(spec);
        this.controllerId = controllerId;
        this.acceptedAtEpochMillis = acceptedAtEpochMillis;
    }

    /** The store key of its record. */
    public String storeKey() {
        return storeKey;
    }

    /** The controller that schedules its tasks. */
    public String controllerId() {
        return controllerId;
    }

    /** Wall-clock time at which it was accepted. */
    public long acceptedAtEpochMillis() {
        return acceptedAtEpochMillis;
    }

    /** Wall-clock time at which its cancellation was recorded; 0: not cancelled. */
    public long cancelledAtEpochMillis() {
        return cancelledAtEpochMillis;
    }

    /** Whether its cancellation is on record. */
    public boolean isCancelled() {
        return cancelledAtEpochMillis > 0;
    }

    /** How many tasks are completed on record. */
    public int completedTaskCount() {
        return completedTasks;
    }

    /** How many tasks are placed on record. */
    public int placedTaskCount() {
        return placedTasks;
    }

    /** How many tasks may still be on a machine, as far as this process knows. */
    public int possiblyRunningTaskCount() {
        return placedTasks - unrecordedCompleted - unrecordedGone;
    }

    /**
     * How many tasks must have started by now, so that the job isn't starving: none at first, then
     * more and more of the stated share of all; a gang starts as a whole. None for high priorities,
     * which go first anyway.
     *
     * @param nowEpochMillis wall-clock time
     * @param startWithinSeconds time within which the job should have started
     * @param minimumShare share of the tasks that must have started by then, from 0 to 1
     */
    public int requiredStartedTaskCount(
            long nowEpochMillis, double startWithinSeconds, double minimumShare) {
        double ageSeconds = (nowEpochMillis - acceptedAtEpochMillis) / 1000.0;
        double fromSeconds = startWithinSeconds * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
        if (ageSeconds < fromSeconds || minimumShare <= 0 || spec.isUrgent()) {
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

    /** How many tasks have no placement, on record or by evidence, and need one. */
    public int waitingTaskCount() {
        if (isCompletedGang()) {
            return 0;
        }
        return pendingTaskCount() + (spec.isGang() ? 0 : unrecordedGone);
    }

    /**
     * Whether it is a gang of which a task has completed, on record or by evidence: then all have,
     * and none starts again. Those that are placed stay on record until there is evidence of each.
     */
    public boolean isCompletedGang() {
        return spec.isGang() && completedTasks + unrecordedCompleted > 0;
    }

    /** Whether every task is completed, on record or by evidence that isn't on record yet. */
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

    /** How many tasks are neither completed nor placed on record. */
    public int pendingTaskCount() {
        return spec.taskCount() - completedTasks - placedTasks;
    }

    /** Whether every task is completed on record; a service never is. */
    public boolean isComplete() {
        return !spec.isService() && completedTasks == spec.taskCount();
    }

    /** The page, or the empty one that stands in for it before it has a record. */
    public TaskStatePage pageOrEmpty(int pageNumber) {
        return pages[pageNumber] == null ? emptyPages[pageNumber] : pages[pageNumber];
    }

    /** A page as it is before it has a record. */
    TaskStatePage emptyPage(int pageNumber) {
        return emptyPages[pageNumber];
    }

    /** Replaces what is on record of a page and counts anew; null: it has no record any more. */
    void replacePage(int pageNumber, TaskStatePage nextPage) {
        TaskStatePage previousPage = pages[pageNumber];
        PlacementTable before = previousPage == null ? null : previousPage.placements;
        PlacementTable after = nextPage == null ? null : nextPage.placements;
        PlacementTable.forEachChange(
                before,
                after,
                (previous, current) -> {
                    if (previous != null) {
                        adjustEvidenceCounts(previous, -1);
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
                (previous, current) -> {
                    if (current != null) {
                        adjustEvidenceCounts(current, 1);
                    }
                });
    }

    /** Notes that a task of it has completed on a machine of this controller. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        successCount++;
    }

    /** Notes that a task of it has failed on the machine. */
    public void recordFailure(String host) {
        consecutiveFailures++;
        failedHosts.add(host);
    }

    /** How often its tasks have failed in a row, as far as this process has observed. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** On how many machines a task of it has failed, as far as this process has observed. */
    public int failedHostCount() {
        return failedHosts.size();
    }

    /**
     * How often a task of it has completed, as far as this process has observed; tells faulty
     * machines from faulty jobs.
     */
    public int successCount() {
        return successCount;
    }

    /** Has no task of it started before this event-loop time. */
    public void postponeStarts(long untilMillis) {
        notBeforeMillis = untilMillis;
    }

    /** Event-loop time before which no task of it is to be started; 0: at any time. */
    public long notBeforeMillis() {
        return notBeforeMillis;
    }

    /** Calls the action with each placement on record, in the order of the tasks. */
    void forEachPlacement(Consumer<Placement> action) {
        for (TaskStatePage page : pages) {
            if (page != null) {
                page.placements.forEach(action);
            }
        }
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

    /** The job's record with the given controller and time of cancellation; 0: not cancelled. */
    public ObjectNode encode(String newControllerId, long cancelledEpochMillis) {
        return encode(
                newControllerId,
                cancelledEpochMillis,
                hasSinglePage() && pages[0] != null ? pages[0].encode() : null);
    }

    ObjectNode encode(String newControllerId, long cancelledEpochMillis, ObjectNode taskStates) {
        return JobCodec.encode(
                spec,
                new JobCodec.JobRecord(
                        newControllerId, acceptedAtEpochMillis, cancelledEpochMillis),
                taskStates);
    }

    /** Takes over what the job's record says now. */
    void applyRecord(JsonNode node) {
        JobCodec.JobRecord record = JobCodec.decode(node);
        controllerId = record.controllerId();
        acceptedAtEpochMillis = record.acceptedAtEpochMillis();
        cancelledAtEpochMillis = record.cancelledAtEpochMillis();
    }

    /**
     * The status that users are told while the job is not finished; a cancelled one is called so
     * when its tasks are gone.
     */
    public ObjectNode encodeStatus() {
        return encodeStatus(
                spec.jobId(), new TaskStatePage.TaskCounts(completedTasks, placedTasks));
    }

    /** The same of a job whose records have just been read. */
    public static ObjectNode encodeStatus(String jobId, TaskStatePage.TaskCounts counts) {
        return JobCodec.encodeStatus(jobId, counts);
    }
}
