package io.quincelead.store;

/**
 * The layout of the store. Everything under {@code a/} is live and mirrored by every controller;
 * final states lie under {@code z/} and are read when asked for.
 */
public final class StoreKeys {
    private StoreKeys() {}

    public static final String LIVE_PREFIX = "a/";

    /** Who leads, attached to the leader's hold. */
    public static final String LEADER = "a/lead";

    /** The ever-rising counter that all tokens come from. */
    public static final String FENCING_TOKEN_COUNTER = "a/term";

    /** Controllers alive, attached to their holds. */
    public static final String MEMBER_PREFIX = "a/n/";

    /**
     * Blocks of machines and allowances, leased to controllers, attached to the controllers' holds.
     */
    public static final String SHARD_PREFIX = "a/b/";

    /** Machine types of the catalog, so a controller knows them as soon as it has the mirror. */
    public static final String MACHINE_TYPE_PREFIX = "a/c/";

    /** Jobs. */
    public static final String JOB_PREFIX = "a/j/";

    /** Machines. */
    public static final String MACHINE_PREFIX = "a/m/";

    /** Rental requests, recorded before use. */
    public static final String PROVISIONING_REQUEST_PREFIX = "a/r/";

    /**
     * How many rentals were ever recorded: each record of new ones changes it, so that a copy of
     * that change finds its guard gone.
     */
    public static final String PROVISIONING_REQUEST_COUNTER = "a/rn";

    /**
     * Changed with each taking-in of unexpected machines, so that a copy of that change finds its
     * guard gone.
     */
    public static final String UNEXPECTED_MACHINE_INTAKE = "a/ti";

    /** Chunks of a job's tasks. */
    public static final String TASK_STATE_PAGE_PREFIX = "a/t/";

    /**
     * Which generation of the operators' priority classes rules, was the last good one, or is
     * proposed.
     */
    public static final String CLASSES_HEAD = "a/oc/head";

    /** The classes of a generation, in parts: {@code <generation>/<part>}. */
    public static final String CLASSES_PART_PREFIX = "a/oc/p/";

    /** Controllers that can't read the ruling generation. */
    public static final String CLASSES_OBJECTION_PREFIX = "a/oc/x/";

    /**
     * Generation of the deadline calendar: changed with its entries and with the states of its
     * occurrences.
     */
    public static final String CALENDAR_HEAD = "a/ok/head";

    /** Entries of the calendar. */
    public static final String CALENDAR_ENTRY_PREFIX = "a/ok/e/";

    /** Occurrences that are planned or under way: {@code <entry>/<date>}. */
    public static final String OCCURRENCE_PREFIX = "a/ok/o/";

    /** What is remembered of an entry's past occurrences. */
    public static final String ENTRY_HISTORY_PREFIX = "a/ok/m/";

    /** Ends of covered jobs that no occurrence's record has named yet: {@code <job>}. */
    public static final String UNCOUNTED_COMPLETION_PREFIX = "a/ok/s/";

    /** Zones that aren't simply up. */
    public static final String ZONE_PREFIX = "a/oz/";

    /** The ledger: what became of each occurrence, {@code <entry>/<date>}. */
    public static final String LEDGER_PREFIX = "z/oe/";

    /** Final states of jobs. */
    public static final String FINAL_STATE_PREFIX = "z/";
}
