package io.quincelead.config.constants;

/** The operators' priority classes and calendar. The unit ends each name. */
public final class PolicyConstants {
    /** Priority classes that operators may define. */
    public static final int MAX_CLASSES = 128;

    /** Largest rank of a class. */
    public static final int MAX_RANK = 1_000;

    /** Rank of a job that no class matches. */
    public static final int DEFAULT_RANK = 500;

    /** Time within which a job should begin unless its class says otherwise. */
    public static final double DEFAULT_START_WITHIN_SECONDS = 240;

    /** Longest time that a class may let its jobs wait. */
    public static final double MAX_START_WITHIN_SECONDS = 86_400;

    /** Fraction of a job's tasks that should have begun by then. */
    public static final double DEFAULT_MIN_STARTED_FRACTION = 0.5;

    /** Characters of the classes' text in one record; escaped, they must fit 8 KiB. */
    public static final int MAX_CLASSES_PART_CHARS = 3_500;

    /** Records of one generation of classes; they share a transaction with the head record. */
    public static final int MAX_CLASSES_PARTS = 10;

    /** Generations of classes kept on record, to go back to. */
    public static final int CLASSES_GENERATIONS_KEPT = 6;

    /** Operators' changes that are remembered, so that a repeated one takes effect once. */
    public static final int MAX_REMEMBERED_CHANGES = 16;

    /** Entries of the calendar. */
    public static final int MAX_CALENDAR_ENTRIES = 1_000;

    /** Days for which the ledger is kept. */
    public static final int LEDGER_RETENTION_DAYS = 90;

    /** Interval at which the leader reconciles the operators' records. */
    public static final long RECONCILE_INTERVAL_MILLIS = 500;

    /** Minimum time between two writes of what an occurrence has counted. */
    public static final long MIN_COUNT_RECORD_INTERVAL_MILLIS = 2_000;

    /**
     * Interval at which occurrences of the calendar entries are planned; also done whenever an
     * entry has changed.
     */
    public static final long OCCURRENCE_PLANNING_INTERVAL_MILLIS = 5_000;

    /** Publications shown by one response. */
    public static final int MAX_LISTED_PUBLICATIONS = 500;

    /** How long before its window opens an occurrence is planned. */
    public static final long PLAN_AHEAD_MILLIS = 3_600_000;

    /** How far a new leader looks back for occurrences that passed while there was no leader. */
    public static final long LOOK_BACK_MILLIS = 86_400_000;

    /** Time after the publication at which the verdict is given. */
    public static final long VERDICT_DELAY_MILLIS = 3_000;

    /**
     * Time after the publication at which an occurrence is closed though covered jobs are still
     * open.
     */
    public static final long OCCURRENCE_CLOSE_DELAY_MILLIS = 3_600_000;

    /** Unfinished covered jobs named in an occurrence's record. */
    public static final int MAX_COVERED_OPEN_JOBS = 400;

    /** Final states that are read at one time for the count. */
    public static final int MAX_CONCURRENT_FINAL_STATE_READS = 16;

    /** Past occurrences of an entry from which its expected demand is taken. */
    public static final int MAX_REMEMBERED_PEAKS = 5;

    /** Time after the window's opening for which machines are kept for work that hasn't arrived. */
    public static final double CALENDAR_RESERVE_SECONDS = 120;

    /** Interval at which old ledger records are removed. */
    public static final long LEDGER_SWEEP_INTERVAL_MILLIS = 600_000;

    /** Records removed by one sweep. */
    public static final int MAX_RECORDS_PER_SWEEP = 4;

    private PolicyConstants() {}
}
