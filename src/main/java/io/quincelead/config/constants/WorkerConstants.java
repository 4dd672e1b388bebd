package io.quincelead.config.constants;

/**
 * Constants of heartbeats, commands to workers and failure detection. Each name ends with the unit
 * of its value.
 */
public final class WorkerConstants {
    /**
     * Longest time that the response to a heartbeat waits for the scheduling cycle that the
     * heartbeat caused.
     */
    public static final long HEARTBEAT_CYCLE_WAIT_MILLIS = 400;

    /** Interval at which the health of machines is checked. */
    public static final long HEALTH_CHECK_INTERVAL_MILLIS = 500;

    /**
     * Time added to a worker's lease before a machine without heartbeats is considered dead or
     * hung.
     */
    public static final long SILENCE_SLACK_MILLIS = 2_000;

    /**
     * Fraction of a worker's lease for which a controller without a connection to the store answers
     * a misrouted worker before it redirects it.
     */
    public static final double MISROUTED_KEEP_ALIVE_LEASE_FRACTION = 0.3;

    /**
     * Protocol: a worker waits 4 s for a controller's response and then 1 s before it tries the
     * next controller.
     */
    public static final long CONTROLLER_RETRY_INTERVAL_MILLIS = 5_000;

    /**
     * Number of times that a worker must be able to try all other controllers within its lease to
     * be redirected to find its owner.
     */
    public static final double MIN_CONTROLLER_SWEEPS_PER_LEASE = 1.5;

    /**
     * When a zone is evaluated, a machine counts as reachable if a heartbeat arrived within this
     * many heartbeat intervals.
     */
    public static final double REACHABLE_WITHIN_HEARTBEATS = 2.5;

    /**
     * Time after which a machine that sends its heartbeats to a controller other than its owner is
     * reassigned.
     */
    public static final long REASSIGN_MISROUTED_AFTER_MILLIS = 2_500;

    /** Consecutive failures of one job on one machine after which the machine is declared lost. */
    public static final int SINGLE_JOB_FAILURES_BEFORE_DECLARED_LOST = 8;

    /**
     * Maximum number of heartbeats that a misrouted worker has sent since the heartbeat being
     * checked, including the one that the check itself requests.
     */
    public static final int MAX_MISROUTED_SERIAL_ADVANCE_HEARTBEATS = 3;

    /** Minimum time between two probes of a machine without heartbeats. */
    public static final long SILENT_WORKER_PROBE_INTERVAL_MILLIS = 4_000;

    /**
     * Number of consecutive heartbeats lacking the tasks that earlier responses started after which
     * a machine is considered unreachable inbound.
     */
    public static final int UNREACHABLE_INBOUND_AFTER_HEARTBEATS = 2;

    /**
     * Consecutive failures on a machine, without a success in between, after which the machine is
     * declared lost.
     */
    public static final int FAILURES_BEFORE_DECLARED_LOST = 3;

    /**
     * Initial backoff of a job whose tasks fail on every machine. It doubles with each failure up
     * to {@link #JOB_BACKOFF_MAX_MILLIS}.
     */
    public static final long JOB_BACKOFF_INITIAL_MILLIS = 1_000;

    /** Maximum backoff of a job whose tasks fail on every machine. */
    public static final long JOB_BACKOFF_MAX_MILLIS = 30_000;

    /**
     * Time for which a machine gets no new start after it refused one for lack of free capacity.
     */
    public static final long REFUSED_START_PAUSE_MILLIS = 2_000;

    /**
     * Fraction of the cancellation time ({@code cancel_s}) after which a machine is declared lost
     * if it hasn't shown that a cancelled task is gone.
     */
    public static final double CANCEL_DECLARED_LOST_FRACTION = 0.5;

    /** Maximum number of commands in one message; 400 of them stay well under 64 KiB. */
    public static final int MAX_COMMANDS_PER_MESSAGE = 400;

    /** Time after which a kill without effect is repeated. */
    public static final long KILL_RETRY_MILLIS = 2_000;

    /**
     * Fraction of the heartbeat interval for which the response to an idle machine is deferred so
     * that it can carry a start.
     */
    public static final double DEFER_IDLE_HEARTBEAT_FRACTION = 0.9;

    /**
     * Fraction of the heartbeat interval for which the response to a machine with tasks that will
     * complete is deferred so that it can carry a start.
     */
    public static final double DEFER_BUSY_HEARTBEAT_FRACTION = 0.3;

    /** Longest time for which a response is deferred; workers drop responses after 4 s. */
    public static final long MAX_DEFERRED_RESPONSE_MILLIS = 3_300;

    /**
     * Deferred responses that are due within the same interval of this length are sent together.
     */
    public static final long DEFERRED_RESPONSE_BATCH_MILLIS = 50;

    /**
     * A booting machine is declared lost after its nominal boot time multiplied by this, plus
     * {@link #BOOT_TIMEOUT_SLACK_MILLIS}.
     */
    public static final double BOOT_TIMEOUT_FACTOR = 2.6;

    /** Time added to the boot timeout of a machine for its worker's first heartbeat. */
    public static final long BOOT_TIMEOUT_SLACK_MILLIS = 15_000;

    private WorkerConstants() {}
}
