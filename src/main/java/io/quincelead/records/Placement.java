package io.quincelead.records;

/**
 * One task's recorded place: the task may be on that machine until evidence says that it is gone. The record is in
 * the task's chunk; what follows below it is this process's own knowledge and is never stored.
 */
public final class Placement {
    public final Job job;
    public final int index;
    public final String host;
    public final long attempt;
    /** Recorded: the task is to be stopped to make room or to drain its machine. */
    public final boolean stop;

    /** What this process knows of it; {@link #become} is the one function that changes it. */
    public enum Phase {
        /** Recorded; this process has not sent its start in the current term. */
        RECORDED,
        /** Its start left in the response to a report. */
        SENT,
        /** A report shows it. */
        SEEN,
        /** Fenced evidence: completed. */
        DONE,
        /** Fenced evidence: not on the machine, not completed. */
        GONE
    }

    private Phase phase = Phase.RECORDED;
    private String name;
    /** Report (tenure, serial) whose response carried the start. */
    public long sentTenure;
    public long sentSerial;
    /** Last reported state, for display and choice of victims. */
    public String reported = "";
    /** Loop time when it was first seen running; 0 before. */
    public long runningSince;
    /** Loop time of the last kill sent; 0 before. */
    public long killedAt;
    /** Loop time at which this process first saw the record. */
    public long since;
    /** The machine's load while this record is the one that counts there. */
    HostLoad load;

    public Placement(Job job, int index, String host, long attempt, boolean stop, long since) {
        this.job = job;
        this.index = index;
        this.host = host;
        this.attempt = attempt;
        this.stop = stop;
        this.since = since;
    }

    public Phase phase() {
        return phase;
    }

    /** Outcomes are absorbing while we own the machine: evidence is not taken back. */
    public void become(Phase next) {
        if (phase != next && !over()) {
            job.count(this, -1);
            phase = next;
            job.count(this, 1);
            touch();
        }
    }

    /**
     * The machine has changed hands. What we concluded under our term no longer holds: the record entitles the new
     * owner to start the task there, so only the new owner can show that it is gone.
     */
    public void handedOver() {
        job.count(this, -1);
        phase = Phase.RECORDED;
        job.count(this, 1);
        touch();
        reported = "";
        runningSince = 0;
    }

    private void touch() {
        if (load != null) {
            load.touch();
        }
    }

    public boolean over() {
        return phase == Phase.DONE || phase == Phase.GONE;
    }

    /** Whether a newer record speaks of the same start. */
    boolean same(int otherIndex, String otherHost, long otherAttempt) {
        return index == otherIndex && attempt == otherAttempt && host.equals(otherHost);
    }

    /** Takes over what the process knew under an older version of the record. */
    void inherit(Placement old) {
        phase = old.phase;
        sentTenure = old.sentTenure;
        sentSerial = old.sentSerial;
        reported = old.reported;
        runningSince = old.runningSince;
        killedAt = old.killedAt;
        since = old.since;
    }

    /** The task's name, as workers know it. */
    public String name() {
        if (name == null) {
            name = job.spec.id() + "/" + index;
        }
        return name;
    }
}
