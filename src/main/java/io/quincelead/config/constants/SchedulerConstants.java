package io.quincelead.config.constants;

/** Fixed numbers of the scheduler code, each with its unit and the reason for its value. */
public final class SchedulerConstants {
    /**
     * ms. The least time between two rounds: gathers what comes together into one durable write.
     */
    public static final long MIN_CYCLE_INTERVAL_MILLIS = 60;

    /**
     * ms. The same while the store's changes are short: several changes of a record then share one
     * write, which every controller reads once, and a round's own cost is paid less often.
     */
    public static final long THROTTLED_CYCLE_INTERVAL_MILLIS = 200;

    /**
     * ms. Ends that nobody else waits for are gathered this long: most of a job's tasks end about
     * the same time, and each record written costs the store a change and every controller a
     * reading.
     */
    public static final long COMPLETION_BATCH_MILLIS = 2_000;

    /**
     * ms. The same while the store's changes are short: fewer, fuller records leave changes for
     * what users wait for.
     */
    public static final long THROTTLED_COMPLETION_BATCH_MILLIS = 12_000;

    /**
     * ms. Low work is placed this often while the store's changes are short: its room gathers
     * meanwhile.
     */
    public static final long THROTTLED_BEST_EFFORT_INTERVAL_MILLIS = 2_500;

    /**
     * Parts of one of that shortage from which on fewer changes count for more than the work they
     * would save.
     */
    public static final double BACKPRESSURE_THRESHOLD_FRACTION = 0.5;

    /** ms. Ends that another controller waits for are gathered this long. */
    public static final long AWAITED_COMPLETION_BATCH_MILLIS = 250;

    /**
     * ms. A job waits this long for room in its controller's block before it may go to the leader.
     */
    public static final long ESCALATE_AFTER_MILLIS = 700;

    /**
     * ms. Whether other blocks have room for jobs that wait here is looked at no oftener: it means
     * a look at every machine.
     */
    public static final long OTHER_SHARDS_CHECK_INTERVAL_MILLIS = 400;

    /**
     * ms. A gang that its team's allowance here keeps waiting this long goes to the leader;
     * allowances move every 0.75 s.
     */
    public static final long ESCALATE_GANG_AFTER_MILLIS = 2_000;

    /**
     * Tasks. A job goes to the leader if other blocks have room for this many, or for all of it.
     */
    public static final int MIN_ESCALATED_TASKS = 8;

    /**
     * ms. Or if one machine of another block has had room for one at every look for this long:
     * whose block it is has no use for it.
     */
    public static final long ESCALATE_TO_LASTING_CAPACITY_AFTER_MILLIS = 10_000;

    /**
     * ms. Less urgent work leaves room to the leader's more urgent work for this long; by then the
     * leader would have used it.
     */
    public static final long LEADER_PRECEDENCE_MILLIS = 3_000;

    /** ms. Waiting work is looked at this often though nothing was heard. */
    public static final long IDLE_CYCLE_INTERVAL_MILLIS = 500;

    /**
     * Changes. A round waits until it may make this many, so that few large ones are written
     * instead of many small.
     */
    public static final int MIN_CHANGES_PER_CYCLE = 3;

    /**
     * ms. A task that saves is moved off a closed machine only after it has run this long: starts
     * count after 30 s.
     */
    public static final long MIN_RUN_BEFORE_MOVE_MILLIS = 32_000;

    /**
     * Parts of the time within which a job should have begun from which on its first tasks come
     * before other teams' surplus: up to a quarter of that time may have passed before it was
     * accepted.
     */
    public static final double OVERDUE_RAMP_START_FRACTION = 0.375;

    /** Parts of that time by which the stated share of its tasks do. */
    public static final double OVERDUE_RAMP_END_FRACTION = 0.8;

    /**
     * s. From this age on, work for which nobody states a bound may use machines that should be
     * left to others.
     */
    public static final double LONG_WAIT_SECONDS = 90;

    /**
     * ms. And work of which nothing found a place for so long, whatever its age: users bear 90 s
     * while a machine has room.
     */
    public static final long STARVING_AFTER_MILLIS = 60_000;

    /**
     * One and so many parts of a job's tasks are what it begins with, before any other late job
     * gets more.
     */
    public static final int OVERDUE_FIRST_TASKS_DIVISOR = 100;

    /**
     * Records of each change that are kept for such tasks, and, while changes are short, as many as
     * a round writes for them.
     */
    public static final int OVERDUE_RECORDS_PER_CYCLE = 2;

    /**
     * Parts of a block's machines that are left to run empty for tasks of such jobs that find no
     * room whole.
     */
    public static final double DRAIN_RESERVE_MACHINES_FRACTION = 0.08;

    /**
     * Parts of them that may be left to run empty for one gang, whose tasks need their room at one
     * time.
     */
    public static final double GANG_DRAIN_RESERVE_MACHINES_FRACTION = 0.2;

    /** Machines that may be, however few there are. */
    public static final int MIN_DRAIN_RESERVE_MACHINES = 2;

    /**
     * ms. Machines that constrained work (GPUs, types, zones, services, no spot machines) asked for
     * are kept for more of it this long.
     */
    public static final long CONSTRAINED_DEMAND_RETENTION_MILLIS = 300_000;

    /** Kinds of constrained work remembered: each is looked at for each machine. */
    public static final int MAX_CONSTRAINED_DEMANDS = 40;

    /**
     * s. A service is ranked as if it ran this long: of machines alike, the one that starts it
     * soonest is best.
     */
    public static final double SERVICE_RANKING_RUNTIME_SECONDS = 30;

    /**
     * s. Low work leaves free what urgent work that may not use every machine would ask for in this
     * time, at the rate of late.
     */
    public static final double CONSTRAINED_RESERVE_SECONDS = 15;

    /** s. The rate is taken over this time. */
    public static final double CONSTRAINED_RATE_WINDOW_SECONDS = 45;

    /**
     * Times. Estimates are often wrong by half: a job is ranked as if it took this many times as
     * long.
     */
    public static final double ESTIMATE_MARGIN_FACTOR = 1.3;

    /** s added to twice the estimate as the due time of a job for which nobody states one. */
    public static final double UNSTATED_DEADLINE_SLACK_SECONDS = 300;

    /**
     * s. A task expected to end within this time is not stopped for another: its room comes by
     * itself.
     */
    public static final double NEARLY_DONE_SECONDS = 5;

    /** Jobs named in an explanation as being ahead. */
    public static final int MAX_EXPLAINED_AHEAD_JOBS = 10;

    private SchedulerConstants() {}
}
