package io.quincelead.config.constants;

/**
 * Constants of the operators' priority classes and calendar. Each name ends with the unit of its
 * value.
 */
public final class PolicyConstants {
    /** Maximum number of priority classes that operators may define. */
    public static final int MAX_CLASSES = 128;

    /** Largest rank of a priority class. */
    public static final int MAX_RANK = 1_000;

    /** Rank of a job that no priority class matches. */
    public static final int DEFAULT_RANK = 500;

    /** Time within which a job should start unless its priority class says otherwise. */
    public static final double DEFAULT_START_WITHIN_SECONDS = 240;

    /** Longest time that a priority class may let its jobs wait for their start. */
    public static final double MAX_START_WITHIN_SECONDS = 86_400;

    /**
     * Fraction of a job's tasks that should have started within the time its priority class allows,
     * unless the class says otherwise.
     */
    public static final double DEFAULT_MIN_STARTED_FRACTION = 0.5;

    /**
     * Maximum number of characters of the encoded priority classes in one record; after escaping
     * they must fit 8 KiB.
     */
    public static final int MAX_CLASSES_PART_CHARS = 3_500;

    /**
     * Maximum number of records of one generation of priority classes. They share a transaction
     * with the head record.
     */
    public static final int MAX_CLASSES_PARTS = 10;

    /** Number of generations of priority classes that are kept on record for a rollback. */
    public static final int CLASSES_GENERATIONS_KEPT = 6;

    /**
     * Number of operators' changes that are remembered, so that a repeated change takes effect only
     * once.
     */
    public static final int MAX_REMEMBERED_CHANGES = 16;

    /** Maximum number of calendar entries. */
    public static final int MAX_CALENDAR_ENTRIES = 1_000;

    /** Days for which ledger records are kept. */
    public static final int LEDGER_RETENTION_DAYS = 90;

    /** Interval at which the leader reconciles the operators' records. */
    public static final long RECONCILE_INTERVAL_MILLIS = 500;

    /** Minimum time between two writes of an occurrence's counts. */
    public static final long MIN_COUNT_RECORD_INTERVAL_MILLIS = 2_000;

    /**
     * Interval at which occurrences of calendar entries are planned. They are also planned whenever
     * an entry changes.
     */
    public static final long OCCURRENCE_PLANNING_INTERVAL_MILLIS = 5_000;

    /** Maximum number of publications in one response. */
    public static final int MAX_LISTED_PUBLICATIONS = 500;

    /** Time before the opening of its window at which an occurrence is planned. */
    public static final long PLAN_AHEAD_MILLIS = 3_600_000;

    /**
     * Time for which a new leader looks back for occurrences that passed while there was no leader.
     */
    public static final long LOOK_BACK_MILLIS = 86_400_000;

    /** Time after the publication at which the verdict on an occurrence is given. */
    public static final long VERDICT_DELAY_MILLIS = 3_000;

    /**
     * Time after the publication at which an occurrence is closed even if covered jobs are
     * unfinished.
     */
    public static final long OCCURRENCE_CLOSE_DELAY_MILLIS = 3_600_000;

    /** Maximum number of unfinished covered jobs that an occurrence's record names. */
    public static final int MAX_COVERED_OPEN_JOBS = 400;

    /** Maximum number of final states that are read concurrently to count covered jobs. */
    public static final int MAX_CONCURRENT_FINAL_STATE_READS = 16;

    /** Number of past occurrences of a calendar entry from which its expected demand is taken. */
    public static final int MAX_REMEMBERED_PEAKS = 5;

    /**
     * Time after the opening of a calendar window for which machines are kept for work that hasn't
     * arrived yet.
     */
    public static final double CALENDAR_RESERVE_SECONDS = 120;

    /** Interval at which old ledger records are removed. */
    public static final long LEDGER_SWEEP_INTERVAL_MILLIS = 600_000;

    /** Maximum number of records that one sweep of the ledger removes. */
    public static final int MAX_RECORDS_PER_SWEEP = 4;

    private PolicyConstants() {}
}
