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
 * An unfinished job as recorded in the store, with what this process has observed about it. The
 * recorded state changes only through {@link JobTable}; the observations are never stored.
 */
public final class Job {
    /** The job as submitted. */
    public final JobSpec spec;

    private final String storeKey;

    private String controllerId;
    private long acceptedAtEpochMillis;
    private long cancelledAtEpochMillis;

    /** The states of the job's tasks; null where a page has no record yet. Must not be modified. */
    public final TaskStatePage[] pages;

    /**
     * Substitutes for pages that have no record yet. They are created once, because a plan
     * identifies pages by object identity.
     */
    private final TaskStatePage[] emptyPages;

    private int completedTasks;
    private int placedTasks;

    /**
     * Placed tasks for which this process has evidence of completion that may not be on record yet.
     */
    private int unrecordedCompletedTasks;

    /**
     * Placed tasks for which this process has evidence, not yet on record, of termination without
     * completion.
     */
    private int unrecordedGoneTasks;

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
        for (int pageIndex = 0; pageIndex < pageCount; pageIndex++) {
            emptyPages[pageIndex] = TaskStatePage.empty(this, pageIndex);
        }
    }

    /** Creates a job that is being submitted and has no record yet. */
    public Job(JobSpec spec, String controllerId, long acceptedAtEpochMillis) {
        this(spec);
        this.controllerId = controllerId;
        this.acceptedAtEpochMillis = acceptedAtEpochMillis;
    }

    /** The store key of the job's record. */
    public String storeKey() {
        return storeKey;
    }

    /** The member id of the controller that schedules the job's tasks. */
    public String controllerId() {
        return controllerId;
    }

    /** Wall-clock time at which the job was accepted. */
    public long acceptedAtEpochMillis() {
        return acceptedAtEpochMillis;
    }

    /** Wall-clock time at which the job's cancellation was recorded; 0: not cancelled. */
    public long cancelledAtEpochMillis() {
        return cancelledAtEpochMillis;
    }

    /** Whether the job's cancellation is on record. */
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

    /**
     * The number of placed tasks that may still be on a machine: no evidence of termination is
     * known.
     */
    public int possiblyRunningTaskCount() {
        return placedTasks - unrecordedCompletedTasks - unrecordedGoneTasks;
    }

    /**
     * The number of tasks that must have started by now for the job not to be starving. It is 0 at
     * first, then rises linearly to the given share of all tasks; a gang counts as a whole. It is
     * always 0 for urgent jobs, which are scheduled first anyway.
     *
     * @param nowEpochMillis wall-clock time
     * @param startWithinSeconds time from acceptance within which the job should have started
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

    /**
     * The number of tasks that need a placement: pending tasks and, except for gangs, those that
     * have terminated without completing according to evidence that is not on record yet.
     */
    public int waitingTaskCount() {
        if (isCompletedGang()) {
            return 0;
        }
        return pendingTaskCount() + (spec.isGang() ? 0 : unrecordedGoneTasks);
    }

    /**
     * Whether the job is a gang with at least one task completed, on record or by evidence. All its
     * tasks have then completed and none is started again. Placed tasks stay on record until there
     * is evidence for each of them.
     */
    public boolean isCompletedGang() {
        return spec.isGang() && completedTasks + unrecordedCompletedTasks > 0;
    }

    /**
     * Whether every task is completed, on record or by evidence that isn't on record yet; never
     * true for a service.
     */
    public boolean isCompleteByEvidence() {
        return !spec.isService() && completedTasks + unrecordedCompletedTasks == spec.taskCount();
    }

    /**
     * Adds {@code delta} to the count of unrecorded terminations that the placement belongs to, if
     * the placement is on record and terminated.
     */
    void adjustEvidenceCounts(Placement placement, int delta) {
        TaskStatePage page =
                placement.isTerminated()
                        ? pages[placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE]
                        : null;
        if (page != null && page.placements.get(placement.taskIndex) == placement) {
            unrecordedCompletedTasks += placement.phase() == Placement.Phase.COMPLETED ? delta : 0;
            unrecordedGoneTasks += placement.phase() == Placement.Phase.GONE ? delta : 0;
        }
    }

    /** How many tasks are neither completed nor placed on record. */
    public int pendingTaskCount() {
        return spec.taskCount() - completedTasks - placedTasks;
    }

    /** Whether every task is completed on record; never true for a service. */
    public boolean isComplete() {
        return !spec.isService() && completedTasks == spec.taskCount();
    }

    /** The page, or an empty substitute (always the same object) if it has no record yet. */
    public TaskStatePage pageOrEmpty(int pageIndex) {
        return pages[pageIndex] == null ? emptyPages[pageIndex] : pages[pageIndex];
    }

    /** The substitute for a page that has no record yet. */
    TaskStatePage emptyPage(int pageIndex) {
        return emptyPages[pageIndex];
    }

    /**
     * Replaces the recorded state of a page and updates the counts; null: the record is removed.
     */
    void replacePage(int pageIndex, TaskStatePage nextPage) {
        TaskStatePage previousPage = pages[pageIndex];
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
        pages[pageIndex] = nextPage;
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

    /** Records that a task of this job has completed on a machine of this controller. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        successCount++;
    }

    /** Records that a task of this job has failed on the machine. */
    public void recordFailure(String host) {
        consecutiveFailures++;
        failedHosts.add(host);
    }

    /** The number of consecutive task failures that this process has observed. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** The number of machines on which this process has observed a task of this job fail. */
    public int failedHostCount() {
        return failedHosts.size();
    }

    /**
     * The number of task completions that this process has observed; distinguishes faulty machines
     * from faulty jobs.
     */
    public int successCount() {
        return successCount;
    }

    /** Prevents starts of this job's tasks before the given event-loop time. */
    public void postponeStarts(long untilMillis) {
        notBeforeMillis = untilMillis;
    }

    /** Event-loop time before which no task of this job is started; 0: no restriction. */
    public long notBeforeMillis() {
        return notBeforeMillis;
    }

    /** Calls the action with each placement on record, in task index order. */
    void forEachPlacement(Consumer<Placement> action) {
        for (TaskStatePage page : pages) {
            if (page != null) {
                page.placements.forEach(action);
            }
        }
    }

    /**
     * Whether the task states are stored in the job's own record, which halves the store changes
     * for most jobs.
     */
    public boolean hasSinglePage() {
        return pages.length == 1;
    }

    /** Encodes the job's record as currently known. */
    public ObjectNode encode() {
        return encode(controllerId, cancelledAtEpochMillis);
    }

    /**
     * Encodes the job's record with the given controller and time of cancellation; 0: not
     * cancelled.
     */
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

    /** Updates controller, acceptance and cancellation from the job's record. */
    void applyRecord(JsonNode node) {
        JobCodec.JobRecord record = JobCodec.decode(node);
        controllerId = record.controllerId();
        acceptedAtEpochMillis = record.acceptedAtEpochMillis();
        cancelledAtEpochMillis = record.cancelledAtEpochMillis();
    }

    /**
     * Encodes the status that users are given while the job is unfinished; a cancelled job is
     * reported as cancelled only when its tasks have terminated.
     */
    public ObjectNode encodeStatus() {
        return encodeStatus(
                spec.jobId(), new TaskStatePage.TaskCounts(completedTasks, placedTasks));
    }

    /**
     * Encodes the status of an unfinished job from task counts that were just read from the store.
     */
    public static ObjectNode encodeStatus(String jobId, TaskStatePage.TaskCounts counts) {
        return JobCodec.encodeStatus(jobId, counts);
    }
}
