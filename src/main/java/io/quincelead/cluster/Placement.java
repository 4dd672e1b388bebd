package io.quincelead.cluster;

/**
 * One task's recorded place: the task may be on that machine until evidence says that it is gone.
 * The record is in the task's chunk; what follows below it is this process's own knowledge and is
 * never stored.
 */
public final class Placement {
    public final Job job;
    public final int taskIndex;
    public final String host;
    public final long attempt;

    /** Recorded: the task is to be stopped to make room or to drain its machine. */
    public final boolean stopRequested;

    /** What this process knows of it; {@link #transitionTo} is the one function that changes it. */
    public enum Phase {
        /** Recorded; this process has not sent its start in the current term. */
        RECORDED,
        /** Its start left in the response to a report. */
        START_SENT,
        /** A report shows it. */
        OBSERVED,
        /** Fenced evidence: completed. */
        COMPLETED,
        /** Fenced evidence: not on the machine, not completed. */
        GONE
    }

    private Phase phase = Phase.RECORDED;
    private String taskName;

    /** Report (tenure, serial) whose response carried the start. */
    public long startSentAgentEpoch;

    public long startSentSerial;

    /** Last reported state, for display and choice of victims. */
    public String reportedState = "";

    /** Loop time when it was first seen running; 0 before. */
    public long runningSinceMillis;

    /** Loop time of the last kill sent; 0 before. */
    public long killSentAtMillis;

    /** Loop time at which this process first saw the record. */
    public long recordSeenAtMillis;

    /** The machine's load while this record is the one that counts there. */
    MachineLoad machineLoad;

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

    public Phase phase() {
        return phase;
    }

    /** Outcomes are absorbing while we own the machine: evidence is not taken back. */
    public void transitionTo(Phase next) {
        if (phase != next && !isTerminated()) {
            job.adjustEvidenceCounts(this, -1);
            phase = next;
            job.adjustEvidenceCounts(this, 1);
            invalidateLoad();
        }
    }

    /**
     * The machine has changed hands. What we concluded under our term no longer holds: the record
     * entitles the new owner to start the task there, so only the new owner can show that it is
     * gone.
     */
    public void resetForNewOwner() {
        job.adjustEvidenceCounts(this, -1);
        phase = Phase.RECORDED;
        job.adjustEvidenceCounts(this, 1);
        invalidateLoad();
        reportedState = "";
        runningSinceMillis = 0;
    }

    private void invalidateLoad() {
        if (machineLoad != null) {
            machineLoad.invalidate();
        }
    }

    public boolean isTerminated() {
        return phase == Phase.COMPLETED || phase == Phase.GONE;
    }

    /** Whether a newer record speaks of the same start. */
    boolean isSameStart(int otherTaskIndex, String otherHost, long otherAttempt) {
        return taskIndex == otherTaskIndex && attempt == otherAttempt && host.equals(otherHost);
    }

    /** Takes over what the process knew under an older version of the record. */
    void inheritObservations(Placement previous) {
        phase = previous.phase;
        startSentAgentEpoch = previous.startSentAgentEpoch;
        startSentSerial = previous.startSentSerial;
        reportedState = previous.reportedState;
        runningSinceMillis = previous.runningSinceMillis;
        killSentAtMillis = previous.killSentAtMillis;
        recordSeenAtMillis = previous.recordSeenAtMillis;
    }

    /** The task's name, as workers know it. */
    public String taskName() {
        if (taskName == null) {
            taskName = job.spec.jobId() + "/" + taskIndex;
        }
        return taskName;
    }
}
