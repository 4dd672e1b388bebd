package io.quincelead.config.constants;

/** Fixed numbers of the policy code, each with its unit and the reason for its value. */
public final class PolicyConstants {
    /** Priority classes that operators may define. */
    public static final int MAX_CLASSES = 128;

    /** The largest rank of a class. */
    public static final int MAX_RANK = 1_000;

    /**
     * Rank of a job that no class matches: in the middle, so that classes can be set before and
     * behind the rest.
     */
    public static final int DEFAULT_RANK = 500;

    /** s. The users want every job begun within four minutes; a class may say otherwise. */
    public static final double DEFAULT_BEGIN_WITHIN_SECONDS = 240;

    /** s. The longest that a class may let its jobs wait. */
    public static final double MAX_BEGIN_WITHIN_SECONDS = 86_400;

    /** Parts of a job's tasks that should have begun by then. */
    public static final double DEFAULT_MIN_BEGUN_FRACTION = 0.5;

    /**
     * Characters of the classes' text in one record; escaped, they still fit the 8 KiB that a value
     * may have.
     */
    public static final int MAX_CLASSES_PART_CHARS = 3_500;

    /** Records of one generation of classes: with the head they fit one change of 12. */
    public static final int MAX_CLASSES_PARTS = 10;

    /** Generations of classes kept on record, to go back to. */
    public static final int CLASSES_GENERATIONS_KEPT = 6;

    /** Changes of the operators that are remembered, so that a repeat takes effect once. */
    public static final int MAX_REMEMBERED_CHANGES = 16;

    /** Entries of the calendar. */
    public static final int MAX_CALENDAR_ENTRIES = 1_000;

    /** Days for which the ledger is kept. */
    public static final int LEDGER_RETENTION_DAYS = 90;

    /** ms. The leader's part with operators' records is looked at this often. */
    public static final long RECONCILE_INTERVAL_MILLIS = 500;

    /** ms. What an occurrence has counted is recorded this often at most. */
    public static final long MIN_COUNT_RECORD_INTERVAL_MILLIS = 2_000;

    /**
     * ms. Entries are gone through this often for occurrences to plan, and whenever one has
     * changed.
     */
    public static final long OCCURRENCE_PLANNING_INTERVAL_MILLIS = 5_000;

    /** Publications shown by one answer. */
    public static final int MAX_LISTED_PUBLICATIONS = 500;

    /** ms. An occurrence is planned this long before its window opens. */
    public static final long PLAN_AHEAD_MILLIS = 3_600_000;

    /** ms. A leader looks back this long for occurrences that passed while nobody led. */
    public static final long LOOK_BACK_MILLIS = 86_400_000;

    /**
     * ms after the publication at which the verdict is given: jobs accepted before it are in every
     * mirror by then, clocks allowed for.
     */
    public static final long VERDICT_DELAY_MILLIS = 3_000;

    /**
     * ms after the publication at which an occurrence is closed though covered jobs are still open.
     */
    public static final long OCCURRENCE_CLOSE_DELAY_MILLIS = 3_600_000;

    /** Unfinished covered jobs named in an occurrence's record: 400 names take 4 KiB. */
    public static final int MAX_COVERED_OPEN_JOBS = 400;

    /** Finals that are read at one time for the count. */
    public static final int MAX_CONCURRENT_FINAL_STATE_READS = 16;

    /** Past occurrences of an entry that its expected want is taken from. */
    public static final int MAX_REMEMBERED_PEAKS = 5;

    /** s after the opening for which machines are kept for work that hasn't come. */
    public static final double CALENDAR_RESERVE_SECONDS = 120;

    /** ms. The ledger is swept this often. */
    public static final long LEDGER_SWEEP_INTERVAL_MILLIS = 600_000;

    /** Records removed by one sweep. */
    public static final int MAX_RECORDS_PER_SWEEP = 4;

    private PolicyConstants() {}
}
