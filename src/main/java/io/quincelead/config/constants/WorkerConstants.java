package io.quincelead.config.constants;

/** Fixed numbers of the worker code, each with its unit and the reason for its value. */
public final class WorkerConstants {
    /** ms. The longest a report's answer waits for the round that its contents caused. */
    public static final long HEARTBEAT_CYCLE_WAIT_MILLIS = 400;

    /** ms. Machine health is checked this often. */
    public static final long HEALTH_CHECK_INTERVAL_MILLIS = 500;

    /** ms added to a worker's lease before its silence is taken for a dead or hung machine. */
    public static final long SILENCE_SLACK_MILLIS = 2_000;

    /**
     * Parts of a worker's lease for which a controller cut off from the store answers another one's
     * worker before it sends it on.
     */
    public static final double MISROUTED_KEEP_ALIVE_LEASE_FRACTION = 0.3;

    /**
     * ms. A worker waits 4 s for a controller's answer and 1 s before it tries the next one
     * (protocol).
     */
    public static final long CONTROLLER_RETRY_INTERVAL_MILLIS = 5_000;

    /**
     * Times that a worker must be able to try all other controllers within its lease to be sent
     * looking for its owner.
     */
    public static final double MIN_CONTROLLER_SWEEPS_PER_LEASE = 1.5;

    /**
     * Reports. A machine from which none of this many came counts as not heard when a zone is
     * judged.
     */
    public static final double HEARD_WITHIN_HEARTBEATS = 2.5;

    /**
     * ms. A machine that reports to the wrong controller this long is moved: its owner can't be
     * reached.
     */
    public static final long REASSIGN_MISROUTED_AFTER_MILLIS = 2_500;

    /**
     * Failures in a row of one job, all on the same machine, after which that machine is given up
     * though nothing else failed there.
     */
    public static final int SINGLE_JOB_FAILURES_BEFORE_DECLARED_LOST = 8;

    /**
     * Reports of a worker, with what was asked for the check itself, by which it may have moved on
     * since it reported here.
     */
    public static final int MAX_MISROUTED_SERIAL_ADVANCE_HEARTBEATS = 3;

    /**
     * ms between questions to a machine that doesn't report: rare enough for hundreds of them, each
     * of which may cost a connection that hangs.
     */
    public static final long SILENT_WORKER_PROBE_INTERVAL_MILLIS = 4_000;

    /**
     * Reports in a row that lack what the answers before them started: one answer may be late or
     * lost, more are no accident.
     */
    public static final int UNREACHABLE_INBOUND_AFTER_HEARTBEATS = 2;

    /** Failures in a row, without a success between, that make a machine suspect. */
    public static final int SUSPECT_AFTER_FAILURES = 3;

    /** ms. First pause of a job whose tasks fail everywhere; doubles with each failure. */
    public static final long JOB_BACKOFF_INITIAL_MILLIS = 1_000;

    /** ms. The longest such pause. */
    public static final long JOB_BACKOFF_MAX_MILLIS = 30_000;

    /** ms. A machine that refused a start for want of room gets no new one for this long. */
    public static final long REFUSED_START_PAUSE_MILLIS = 2_000;

    /**
     * Parts of cancel_s after which a machine that hasn't shown a cancelled task gone is returned.
     */
    public static final double CANCEL_RELEASE_FRACTION = 0.5;

    /** Orders in one message: 400 of them stay well under 64 KiB. */
    public static final int MAX_COMMANDS_PER_MESSAGE = 400;

    /** ms. A kill without effect is repeated after this. */
    public static final long KILL_RETRY_MILLIS = 2_000;

    /**
     * Parts of report_s for which the answer to an idle machine's report is kept open for a start.
     */
    public static final double DEFER_IDLE_HEARTBEAT_FRACTION = 0.9;

    /**
     * The same for a machine whose tasks end: its next report, maybe of an end, waits for the
     * answer.
     */
    public static final double DEFER_BUSY_HEARTBEAT_FRACTION = 0.3;

    /** ms. Workers drop answers after 4 s; none is kept open longer than this. */
    public static final long MAX_DEFERRED_RESPONSE_MILLIS = 3_300;

    /**
     * ms. Answers whose time is up within the same such span leave together, in one turn of the
     * loop.
     */
    public static final long DEFERRED_RESPONSE_BATCH_MILLIS = 50;

    /** Times the nominal boot time after which a booting machine is given up. */
    public static final double BOOT_TIMEOUT_FACTOR = 2.6;

    /** ms added to that for the worker's first report. */
    public static final long BOOT_TIMEOUT_SLACK_MILLIS = 15_000;

    private WorkerConstants() {}
}
