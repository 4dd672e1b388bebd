package io.quincelead.cluster;

/**
 * One task's placement: the task may be on that machine until evidence says that it has terminated.
 * Job, task, machine, attempt and the request to stop are on record, in the task's {@link
 * TaskStatePage}; all else is what this process has observed and is never stored.
 */
public final class Placement {
    /** The job that the task belongs to. */
    public final Job job;

    /** The task, counted from the job's first one. */
    public final int taskIndex;

    /** The machine. */
    public final String host;

    /** Tells this start of the task from its others; never used twice. */
    public final long attempt;

    /** Whether the task is to be stopped to free capacity or to drain its machine. */
    public final boolean stopRequested;

    /** What this process has observed; changed by {@link #transitionTo} and a change of owner. */
    public enum Phase {
        /** On record; this process has not sent its start under the current fencing token. */
        RECORDED,
        /** Its start left in the response to a heartbeat. */
        START_SENT,
        /** A heartbeat shows it. */
        REPORTED,
        /** Fenced evidence: completed. */
        COMPLETED,
        /** Fenced evidence: not on the machine, not completed. */
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

    /** The machine's load while this is the task's placement on record; else null. */
    MachineLoad machineLoad;

    /** A placement of which nothing has been observed yet. */
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

    /** What this process has observed of it. */
    public Phase phase() {
        return phase;
    }

    /**
     * Notes what has been observed. Completed and gone are absorbing while this controller owns the
     * machine: evidence is not taken back.
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
     * Forgets what was observed, because the machine has a new owner. What was concluded under the
     * old fencing token no longer holds: the record entitles the new owner to start the task there,
     * so only the new owner can show that it is gone.
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
     * Notes that the start left in the response to the heartbeat of this agent epoch and serial.
     */
    public void recordStartSent(long agentEpoch, long serial) {
        transitionTo(Phase.START_SENT);
        startSentAgentEpoch = agentEpoch;
        startSentSerial = serial;
    }

    /** Notes the event-loop time at which the task was first seen running. */
    public void recordRunningSince(long nowMillis) {
        runningSinceMillis = nowMillis;
    }

    /** Notes the state in which a heartbeat shows the task. */
    public void recordReportedState(String state) {
        reportedState = state;
    }

    /** Notes the event-loop time at which a kill was sent. */
    public void recordKillSent(long nowMillis) {
        killSentAtMillis = nowMillis;
    }

    /** Agent epoch of the heartbeat whose response carried the start; 0: none has. */
    public long startSentAgentEpoch() {
        return startSentAgentEpoch;
    }

    /** Serial of the heartbeat whose response carried the start; 0: none has. */
    public long startSentSerial() {
        return startSentSerial;
    }

    /** The last state that a heartbeat showed; empty: none. */
    public String reportedState() {
        return reportedState;
    }

    /** Event-loop time at which it was first seen running; 0: not yet. */
    public long runningSinceMillis() {
        return runningSinceMillis;
    }

    /** Event-loop time of the last kill sent; 0: none. */
    public long killSentAtMillis() {
        return killSentAtMillis;
    }

    /** Event-loop time at which this process first saw the record. */
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

    /** Whether the task should be on its machine; else it is not started there, and stopped. */
    public boolean shouldRun() {
        return !stopRequested && !job.isCancelled() && !job.isCompletedGang();
    }

    /** Whether a newer record speaks of the same start. */
    boolean isSameStart(int otherTaskIndex, String otherHost, long otherAttempt) {
        return taskIndex == otherTaskIndex && attempt == otherAttempt && host.equals(otherHost);
    }

    /** Takes over what was observed under an older version of the record. */
    void inheritObservations(Placement previous) {
        phase = previous.phase;
        startSentAgentEpoch = previous.startSentAgentEpoch;
        startSentSerial = previous.startSentSerial;
        reportedState = previous.reportedState;
        runningSinceMillis = previous.runningSinceMillis;
        killSentAtMillis = previous.killSentAtMillis;
        recordSeenAtMillis = previous.recordSeenAtMillis;
    }

    /** The task's name on the wire: job and task index. */
    public String taskId() {
        if (taskId == null) {
            taskId = job.spec.jobId() + "/" + taskIndex;
        }
        return taskId;
    }
}
