package io.quincelead.cluster;

/**
 * The placement of a task on a machine: the task may be on that machine until there is evidence
 * that it has terminated. Job, task index, host, attempt and stop request are on record in the
 * task's {@link TaskStatePage}; all other fields are observations of this process and are never
 * stored.
 */
public final class Placement {
    /** The job that the task belongs to. */
    public final Job job;

    /** The index of the task within the job. */
    public final int taskIndex;

    /** The host of the machine that the task is placed on. */
    public final String host;

    /** Identifies this start of the task among all its starts; never reused. */
    public final long attempt;

    /** Whether the task must stop, to free capacity or to drain its machine. */
    public final boolean stopRequested;

    /**
     * What this process has observed of the placement; changes by {@link #transitionTo} and when
     * the machine's owner changes.
     */
    public enum Phase {
        /** On record; this process has not sent the start under the current fencing token. */
        RECORDED,
        /** The start was sent in the response to a heartbeat. */
        START_SENT,
        /** A heartbeat has reported the task. */
        REPORTED,
        /** There is fenced evidence that the task has completed. */
        COMPLETED,
        /** There is fenced evidence that the task is not on the machine and has not completed. */
        GONE
    }

    private Phase phase = Phase.RECORDED;
    private String taskId;

    private long startSentAgentEpoch;
    private long startSentSerial;
    private String reportedState = "";
    private long runningSinceMillis;
    private long killSentAtMillis;
    private long recordSeenAtMillis;

    /** The load of the machine while this is the task's placement on record; otherwise null. */
    MachineLoad machineLoad;

    /** Creates a placement with no observations yet. */
    public Placement(
            Job job,
            int taskIndex,
            String host,
            long attempt,
            boolean stopRequested,
            long recordSeenAtMillis) {
        this.job = job;
        this.taskIndex = taskIndex;
        this.host = host;
        this.attempt = attempt;
        this.stopRequested = stopRequested;
        this.recordSeenAtMillis = recordSeenAtMillis;
    }

    /** What this process has observed of the placement. */
    public Phase phase() {
        return phase;
    }

    /**
     * Records an observation. {@link Phase#COMPLETED} and {@link Phase#GONE} are final while this
     * controller owns the machine: evidence is not revoked.
     */
    public void transitionTo(Phase next) {
        if (phase != next && !isTerminated()) {
            job.adjustEvidenceCounts(this, -1);
            phase = next;
            job.adjustEvidenceCounts(this, 1);
            invalidateLoad();
        }
    }

    /**
     * Discards the observations because the machine has a new owner. Conclusions drawn under the
     * old fencing token are no longer valid: the record entitles the new owner to start the task on
     * the machine, so only the new owner can establish that the task has terminated.
     */
    public void resetForNewOwner() {
        job.adjustEvidenceCounts(this, -1);
        phase = Phase.RECORDED;
        job.adjustEvidenceCounts(this, 1);
        invalidateLoad();
        reportedState = "";
        runningSinceMillis = 0;
    }

    /**
     * Records that the start was sent in the response to the heartbeat with this agent epoch and
     * serial.
     */
    public void recordStartSent(long agentEpoch, long serial) {
        transitionTo(Phase.START_SENT);
        startSentAgentEpoch = agentEpoch;
        startSentSerial = serial;
    }

    /** Records the event-loop time at which the task was first seen running. */
    public void recordRunningSince(long nowMillis) {
        runningSinceMillis = nowMillis;
    }

    /** Records the state of the task that a heartbeat reported. */
    public void recordReportedState(String state) {
        reportedState = state;
    }

    /** Records the event-loop time at which a kill was sent. */
    public void recordKillSent(long nowMillis) {
        killSentAtMillis = nowMillis;
    }

    /** Agent epoch of the heartbeat whose response carried the start; 0: not sent. */
    public long startSentAgentEpoch() {
        return startSentAgentEpoch;
    }

    /** Serial of the heartbeat whose response carried the start; 0: not sent. */
    public long startSentSerial() {
        return startSentSerial;
    }

    /** The last state of the task that a heartbeat reported; empty: none. */
    public String reportedState() {
        return reportedState;
    }

    /** Event-loop time at which the task was first seen running; 0: not yet. */
    public long runningSinceMillis() {
        return runningSinceMillis;
    }

    /** Event-loop time of the last kill sent; 0: none. */
    public long killSentAtMillis() {
        return killSentAtMillis;
    }

    /** Event-loop time at which this process first saw the placement on record. */
    public long recordSeenAtMillis() {
        return recordSeenAtMillis;
    }

    private void invalidateLoad() {
        if (machineLoad != null) {
            machineLoad.invalidate();
        }
    }

    /** Whether there is evidence that the task is no longer on the machine. */
    public boolean isTerminated() {
        return phase == Phase.COMPLETED || phase == Phase.GONE;
    }

    /**
     * Whether the task should run on its machine; if not, it is not started there, or is stopped.
     */
    public boolean shouldRun() {
        return !stopRequested && !job.isCancelled() && !job.isCompletedGang();
    }

    /** Whether the given task, host and attempt identify the same start as this placement. */
    boolean isSameStart(int otherTaskIndex, String otherHost, long otherAttempt) {
        return taskIndex == otherTaskIndex && attempt == otherAttempt && host.equals(otherHost);
    }

    /** Copies the observations of the placement in the previous version of the record. */
    void inheritObservations(Placement previous) {
        phase = previous.phase;
        startSentAgentEpoch = previous.startSentAgentEpoch;
        startSentSerial = previous.startSentSerial;
        reportedState = previous.reportedState;
        runningSinceMillis = previous.runningSinceMillis;
        killSentAtMillis = previous.killSentAtMillis;
        recordSeenAtMillis = previous.recordSeenAtMillis;
    }

    /** The task's id on the wire: job id and task index. */
    public String taskId() {
        if (taskId == null) {
            taskId = job.spec.jobId() + "/" + taskIndex;
        }
        return taskId;
    }
}
