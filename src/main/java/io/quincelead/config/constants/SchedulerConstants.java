package io.quincelead.config.constants;

/** The scheduling cycle, its queue and its preemption. The unit ends each name. */
public final class SchedulerConstants {
    /** Minimum time between two scheduling cycles. */
    public static final long MIN_CYCLE_INTERVAL_MILLIS = 60;

    /** The same under full backpressure. */
    public static final long FULL_BACKPRESSURE_CYCLE_INTERVAL_MILLIS = 200;

    /** How long completions that nobody waits for are batched. */
    public static final long COMPLETION_BATCH_MILLIS = 2_000;

    /** The same under full backpressure. */
    public static final long FULL_BACKPRESSURE_COMPLETION_BATCH_MILLIS = 12_000;

    /** How often best-effort work is placed under full backpressure. */
    public static final long FULL_BACKPRESSURE_BEST_EFFORT_INTERVAL_MILLIS = 2_500;

    /** Backpressure (0 to 1) from which saving writes comes before saving work. */
    public static final double BACKPRESSURE_THRESHOLD_FRACTION = 0.5;

    /** How long completions that another controller waits for are batched. */
    public static final long AWAITED_COMPLETION_BATCH_MILLIS = 250;

    /**
     * How long a job waits for free capacity in its controller's shard before it may be escalated
     * to the leader.
     */
    public static final long ESCALATE_AFTER_MILLIS = 700;

    /**
     * Minimum time between two checks of other shards for free capacity; each visits every machine.
     */
    public static final long OTHER_SHARDS_CHECK_INTERVAL_MILLIS = 400;

    /** How long a gang that lacks quota waits before it is escalated to the leader. */
    public static final long ESCALATE_GANG_AFTER_MILLIS = 2_000;

    /**
     * A job is escalated to the leader if other shards have free capacity for this many of its
     * tasks, or for all of them.
     */
    public static final int MIN_ESCALATED_TASKS = 8;

    /**
     * How long one machine of another shard must have had free capacity for a job to be escalated.
     */
    public static final long ESCALATE_TO_LASTING_CAPACITY_AFTER_MILLIS = 10_000;

    /** How long lower priorities leave free capacity to the leader's work of higher priority. */
    public static final long LEADER_RESERVATION_MILLIS = 3_000;

    /** Interval of scheduling cycles for waiting work when nothing was received. */
    public static final long IDLE_CYCLE_INTERVAL_MILLIS = 500;

    /** A scheduling cycle waits until it may write this many changes. */
    public static final int MIN_CHANGES_PER_CYCLE = 3;

    /**
     * How long a task with checkpoints runs before it is moved off a cordoned machine; starts count
     * after 30 s.
     */
    public static final long MIN_RUN_BEFORE_MOVE_MILLIS = 32_000;

    /**
     * Fraction of the time within which a job should have begun from which its first tasks come
     * before other teams' surplus.
     */
    public static final double OVERDUE_RAMP_START_FRACTION = 0.375;

    /** Attempts after which a job's team no longer reserves quota for it: it may never succeed. */
    public static final int MAX_ATTEMPTS_WITH_RESERVED_QUOTA = 3;

    /** How long a team's quota is reserved for one gang at a stretch. */
    public static final double RESERVED_GANG_TURN_SECONDS = 120;

    /** How long it is reserved for the first task of one other job. */
    public static final double RESERVED_TASK_TURN_SECONDS = 30;

    /** How long it is left to others before the same job's next turn. */
    public static final double RESERVED_QUOTA_PAUSE_SECONDS = 30;

    /** Fraction of that time by which the stated fraction of its tasks comes first. */
    public static final double OVERDUE_RAMP_END_FRACTION = 0.8;

    /**
     * Age from which work without a stated bound may use machines that should be left to others.
     */
    public static final double LONG_WAIT_SECONDS = 90;

    /**
     * How long nothing of a job has found a placement before it may use machines left to others.
     */
    public static final long MAX_UNSERVED_MILLIS = 60_000;

    /**
     * An overdue job begins with one task plus this part (one in so many) of its tasks, before any
     * other overdue job gets more.
     */
    public static final int FIRST_STARTS_DIVISOR = 100;

    /**
     * Records of each write that are reserved for overdue tasks and, under backpressure, as many as
     * a scheduling cycle writes for them.
     */
    public static final int STARVING_RECORDS_PER_CYCLE = 2;

    /**
     * Fraction of a shard's machines that are left to drain for overdue tasks that no machine has
     * enough free capacity for.
     */
    public static final double DRAIN_RESERVE_MACHINES_FRACTION = 0.08;

    /**
     * Fraction of them that may be left to drain for one gang, whose tasks need their capacity at
     * one time.
     */
    public static final double GANG_DRAIN_RESERVE_MACHINES_FRACTION = 0.2;

    /** Number of machines that may be left to drain however few there are. */
    public static final int MIN_DRAIN_RESERVE_MACHINES = 2;

    /** How long machines that constrained work asked for are kept for more of it. */
    public static final long CONSTRAINED_DEMAND_RETENTION_MILLIS = 300_000;

    /** Constrained demands remembered: each is matched with each machine. */
    public static final int MAX_CONSTRAINED_DEMANDS = 40;

    /** Run time for which machines are ranked for a service. */
    public static final double SERVICE_RANKING_RUNTIME_SECONDS = 30;

    /**
     * Low priorities leave free what constrained work of high priority would ask for in this time,
     * at its recent rate.
     */
    public static final double CONSTRAINED_RESERVE_SECONDS = 15;

    /** Window over which that rate is measured. */
    public static final double CONSTRAINED_RATE_WINDOW_SECONDS = 45;

    /** Factor on estimated run times. */
    public static final double ESTIMATE_MARGIN_FACTOR = 1.3;

    /**
     * Time added to twice the estimated run time to get the deadline of a job without a stated one.
     */
    public static final double DEFAULT_DEADLINE_SLACK_SECONDS = 300;

    /** A task expected to complete within this time is not preempted. */
    public static final double NEARLY_DONE_SECONDS = 5;

    /** Jobs named in an explanation as being ahead in the queue. */
    public static final int MAX_EXPLAINED_AHEAD_JOBS = 10;

    private SchedulerConstants() {}
}
