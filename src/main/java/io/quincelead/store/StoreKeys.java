package io.quincelead.store;

/**
 * The layout of the store. All keys under {@code a/} are live and in every controller's watch
 * cache; final states and the ledger are under {@code z/} and are read on demand. A constant whose
 * name ends in {@code PREFIX} is the common prefix of many keys; the others are complete keys.
 */
public final class StoreKeys {
    private StoreKeys() {}

    /** Prefix of all live keys. */
    public static final String LIVE_PREFIX = "a/";

    /** The leader's record, attached to the leader's lease. */
    public static final String LEADER = "a/lead";

    /** The monotonic counter from which all fencing tokens are issued. */
    public static final String FENCING_TOKEN_COUNTER = "a/term";

    /** Member records of the controllers, attached to their leases. */
    public static final String MEMBER_PREFIX = "a/n/";

    /** Shards of machines with their quota shares, attached to the owning controllers' leases. */
    public static final String SHARD_PREFIX = "a/b/";

    /**
     * Machine types of the catalog, stored so that a controller knows them as soon as its watch
     * cache is synced.
     */
    public static final String MACHINE_TYPE_PREFIX = "a/c/";

    /** Job records. */
    public static final String JOB_PREFIX = "a/j/";

    /** Machine records, one for each group of machines. */
    public static final String MACHINE_PREFIX = "a/m/";

    /** Provisioning requests, recorded before they are sent to the cloud. */
    public static final String PROVISIONING_REQUEST_PREFIX = "a/r/";

    /**
     * The number of provisioning requests ever recorded. Each transaction that records new requests
     * changes it, so that a duplicate of that transaction fails on its precondition.
     */
    public static final String PROVISIONING_REQUEST_COUNTER = "a/rn";

    /**
     * A record without content that each transaction that registers unexpected machines rewrites,
     * so that a duplicate of that transaction fails on its precondition.
     */
    public static final String UNEXPECTED_MACHINE_REGISTRATION = "a/ti";

    /** Task state pages: {@code <job>/<page>}. */
    public static final String TASK_STATE_PAGE_PREFIX = "a/t/";

    /**
     * The active generation of the operators' priority classes, the last good one and the proposed
     * one.
     */
    public static final String CLASSES_HEAD = "a/oc/head";

    /** The priority classes of each generation, split into parts: {@code <generation>/<part>}. */
    public static final String CLASSES_PART_PREFIX = "a/oc/p/";

    /** Controllers that can't read the active generation of the priority classes, by member ID. */
    public static final String CLASSES_UNREADABLE_PREFIX = "a/oc/x/";

    /**
     * The generation of the deadline calendar, which changes with its entries and with the states
     * of its occurrences.
     */
    public static final String CALENDAR_HEAD = "a/ok/head";

    /** Entries of the deadline calendar. */
    public static final String CALENDAR_ENTRY_PREFIX = "a/ok/e/";

    /** Scheduled occurrences that are planned or in progress: {@code <entry>/<date>}. */
    public static final String OCCURRENCE_PREFIX = "a/ok/o/";

    /** History of the past occurrences of each calendar entry. */
    public static final String ENTRY_HISTORY_PREFIX = "a/ok/m/";

    /**
     * Completions of jobs covered by an occurrence that the occurrence's record doesn't count yet:
     * {@code <job>}.
     */
    public static final String UNCOUNTED_COMPLETION_PREFIX = "a/ok/s/";

    /** Zones in any state other than up. */
    public static final String ZONE_PREFIX = "a/oz/";

    /** The ledger: the result of each occurrence, {@code <entry>/<date>}. */
    public static final String LEDGER_PREFIX = "z/oe/";

    /** Final states of jobs. */
    public static final String FINAL_STATE_PREFIX = "z/";
}
