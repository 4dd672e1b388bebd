package io.quincelead.store;

/**
 * The layout of the store. Everything under {@code a/} is live and in every controller's watch
 * cache; final states and the ledger are under {@code z/} and read on demand. A name that ends in
 * {@code PREFIX} is the common start of many keys; the others are whole keys.
 */
public final class StoreKeys {
    private StoreKeys() {}

    /** All live keys. */
    public static final String LIVE_PREFIX = "a/";

    /** The leader's record, attached to the leader's lease. */
    public static final String LEADER = "a/lead";

    /** The ever-rising counter that all fencing tokens come from. */
    public static final String FENCING_TOKEN_COUNTER = "a/term";

    /** Member records of the controllers, attached to their leases. */
    public static final String MEMBER_PREFIX = "a/n/";

    /** Shards of machines with their quota shares, attached to the owning controllers' leases. */
    public static final String SHARD_PREFIX = "a/b/";

    /**
     * Machine types of the catalog, so that a controller knows them as soon as its watch cache is
     * synced.
     */
    public static final String MACHINE_TYPE_PREFIX = "a/c/";

    /** Jobs. */
    public static final String JOB_PREFIX = "a/j/";

    /** Machines. */
    public static final String MACHINE_PREFIX = "a/m/";

    /** Provisioning requests, recorded before use. */
    public static final String PROVISIONING_REQUEST_PREFIX = "a/r/";

    /**
     * How many provisioning requests were ever recorded: each transaction that records new ones
     * changes it, so that a duplicate of that transaction fails on its precondition.
     */
    public static final String PROVISIONING_REQUEST_COUNTER = "a/rn";

    /**
     * Changed with each registration of unexpected machines, so that a duplicate of that
     * transaction fails on its precondition.
     */
    public static final String UNEXPECTED_MACHINE_REGISTRATION = "a/ti";

    /** Task state pages: {@code <job>/<page>}. */
    public static final String TASK_STATE_PAGE_PREFIX = "a/t/";

    /**
     * Which generation of the operators' priority classes is in force, was the last good one, or is
     * proposed.
     */
    public static final String CLASSES_HEAD = "a/oc/head";

    /** The classes of a generation, in parts: {@code <generation>/<part>}. */
    public static final String CLASSES_PART_PREFIX = "a/oc/p/";

    /** Controllers that can't read the generation in force. */
    public static final String CLASSES_UNREADABLE_PREFIX = "a/oc/x/";

    /**
     * Generation of the deadline calendar: changed with its entries and with the states of its
     * occurrences.
     */
    public static final String CALENDAR_HEAD = "a/ok/head";

    /** Entries of the calendar. */
    public static final String CALENDAR_ENTRY_PREFIX = "a/ok/e/";

    /** Scheduled occurrences that are planned or under way: {@code <entry>/<date>}. */
    public static final String OCCURRENCE_PREFIX = "a/ok/o/";

    /** History of an entry's past occurrences. */
    public static final String ENTRY_HISTORY_PREFIX = "a/ok/m/";

    /** Completions of covered jobs that no occurrence's record has counted yet: {@code <job>}. */
    public static final String UNCOUNTED_COMPLETION_PREFIX = "a/ok/s/";

    /** Zones in any state but up. */
    public static final String ZONE_PREFIX = "a/oz/";

    /** The ledger: what became of each occurrence, {@code <entry>/<date>}. */
    public static final String LEDGER_PREFIX = "z/oe/";

    /** Final states of jobs. */
    public static final String FINAL_STATE_PREFIX = "z/";
}
