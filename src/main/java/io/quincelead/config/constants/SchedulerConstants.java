package io.quincelead.config.constants;

/**
 * Constants of the scheduling cycle, its queue and preemption. Each name ends with the unit of its
 * value.
 */
public final class SchedulerConstants {
    /** Minimum time between two scheduling cycles without backpressure. */
    public static final long MIN_CYCLE_INTERVAL_MILLIS = 60;

    /** Minimum time between two scheduling cycles under full backpressure. */
    public static final long FULL_BACKPRESSURE_CYCLE_INTERVAL_MILLIS = 200;

    /** Time for which completions that nobody waits for are batched, without backpressure. */
    public static final long COMPLETION_BATCH_MILLIS = 2_000;

    /** Time for which completions are batched under full backpressure. */
    public static final long FULL_BACKPRESSURE_COMPLETION_BATCH_MILLIS = 12_000;

    /** Interval at which best-effort work is placed under full backpressure. */
    public static final long FULL_BACKPRESSURE_BEST_EFFORT_INTERVAL_MILLIS = 2_500;

    /**
     * Backpressure (0 to 1) above which minimising writes takes precedence over minimising lost
     * work.
     */
    public static final double BACKPRESSURE_THRESHOLD_FRACTION = 0.5;

    /** Time for which completions that another controller waits for are batched. */
    public static final long AWAITED_COMPLETION_BATCH_MILLIS = 250;

    /**
     * Time for which a job waits for free capacity in its controller's shard before it may be
     * escalated to the leader.
     */
    public static final long ESCALATE_AFTER_MILLIS = 700;

    /**
     * Minimum time between two checks of other shards for free capacity. Each check visits every
     * machine.
     */
    public static final long OTHER_SHARDS_CHECK_INTERVAL_MILLIS = 400;

    /** Time for which a gang that lacks quota waits before it is escalated to the leader. */
    public static final long ESCALATE_GANG_AFTER_MILLIS = 2_000;

    /**
     * A job is escalated to the leader if other shards have free capacity for this many of its
     * tasks, or for all of them.
     */
    public static final int MIN_ESCALATED_TASKS = 8;

    /**
     * Time for which one machine of another shard must have had free capacity before a job is
     * escalated to the leader for it.
     */
    public static final long ESCALATE_TO_LASTING_CAPACITY_AFTER_MILLIS = 10_000;

    /** Time for which free capacity is reserved for the leader's work of higher priority. */
    public static final long LEADER_RESERVATION_MILLIS = 3_000;

    /** Interval of scheduling cycles for waiting work while no messages arrive. */
    public static final long IDLE_CYCLE_INTERVAL_MILLIS = 500;

    /** A scheduling cycle is delayed until it may write this many changes. */
    public static final int MIN_CHANGES_PER_CYCLE = 3;

    /**
     * Minimum time that a task with checkpoints runs before it is evicted from a cordoned machine.
     * Users' service-level objectives count a task's start only if no command stops the task within
     * 30 s.
     */
    public static final long MIN_RUN_BEFORE_MOVE_MILLIS = 32_000;

    /**
     * Fraction of the time within which a job should have started after which its first start is
     * overdue. From then on, the number of tasks that must have started for the job not to be
     * starving rises linearly; until these tasks have started, the queue orders them before
     * non-urgent work beyond the guarantee of its team.
     */
    public static final double OVERDUE_RAMP_START_FRACTION = 0.375;

    /**
     * Number of attempts after which quota is no longer reserved for a job, which may never
     * succeed.
     */
    public static final int MAX_ATTEMPTS_WITH_RESERVED_QUOTA = 3;

    /** Time for which a team's quota is reserved for one gang without a pause. */
    public static final double RESERVED_GANG_TURN_SECONDS = 120;

    /**
     * Time for which a team's quota is reserved without a pause for the first task of a job that
     * isn't a gang.
     */
    public static final double RESERVED_TASK_TURN_SECONDS = 30;

    /**
     * Time for which a team's quota isn't reserved for a job between two periods in which it is.
     */
    public static final double RESERVED_QUOTA_PAUSE_SECONDS = 30;

    /**
     * Fraction of the time within which a job should have started at which the number of tasks that
     * must have started for the job not to be starving reaches the share of its tasks that its
     * priority class requires.
     */
    public static final double OVERDUE_RAMP_END_FRACTION = 0.8;

    /**
     * Age from which a job without a time to start within may use machines that are reserved for
     * other work.
     */
    public static final double LONG_WAIT_SECONDS = 90;

    /**
     * Time for which a job may find no placement, or capacity may be withheld from it, before
     * withheld machines are available to it.
     */
    public static final long MAX_UNSERVED_MILLIS = 60_000;

    /**
     * Before any other starving job gets more, a starving job gets one first start plus its task
     * count divided by this.
     */
    public static final int FIRST_STARTS_DIVISOR = 100;

    /**
     * Records of each write that are reserved for starving jobs; under backpressure, also the
     * maximum that a scheduling cycle writes for them.
     */
    public static final int STARVING_RECORDS_PER_CYCLE = 2;

    /**
     * Fraction of a shard's machines that may be reserved and drained for overdue tasks that fit on
     * no machine's free capacity.
     */
    public static final double DRAIN_RESERVE_MACHINES_FRACTION = 0.08;

    /**
     * Fraction of a shard's machines that may be reserved and drained for one gang, whose tasks
     * need their capacity at the same time.
     */
    public static final double GANG_DRAIN_RESERVE_MACHINES_FRACTION = 0.2;

    /** Number of machines that may be reserved and drained however few machines the shard has. */
    public static final int MIN_DRAIN_RESERVE_MACHINES = 2;

    /**
     * Time for which machines that constrained work has requested are kept for further constrained
     * work.
     */
    public static final long CONSTRAINED_DEMAND_RETENTION_MILLIS = 300_000;

    /**
     * Maximum number of constrained demands that are remembered. Each is matched with each machine.
     */
    public static final int MAX_CONSTRAINED_DEMANDS = 40;

    /** Run time that is assumed for a service when machines are ranked for it. */
    public static final double SERVICE_RANKING_RUNTIME_SECONDS = 30;

    /**
     * Low priorities leave free the capacity that constrained work of high priority, arriving at
     * its recent rate, would ask for in this time.
     */
    public static final double CONSTRAINED_RESERVE_SECONDS = 15;

    /** Window over which the arrival rate of constrained work of high priority is measured. */
    public static final double CONSTRAINED_RATE_WINDOW_SECONDS = 45;

    /** Factor on estimated run times that allows for their error. */
    public static final double ESTIMATE_MARGIN_FACTOR = 1.3;

    /** A job without a stated deadline gets twice its estimated run time plus this. */
    public static final double DEFAULT_DEADLINE_SLACK_SECONDS = 300;

    /** A task that is expected to complete within this time is not preempted. */
    public static final double NEARLY_DONE_SECONDS = 5;

    /** Maximum number of jobs that an explanation names as being ahead in the queue. */
    public static final int MAX_EXPLAINED_AHEAD_JOBS = 10;

    private SchedulerConstants() {}
}
