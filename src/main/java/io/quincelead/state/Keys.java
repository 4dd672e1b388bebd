package io.quincelead.state;

/**
 * The layout of the store. Everything under {@code a/} is live and mirrored by every controller; final states lie
 * under {@code z/} and are read when asked for.
 */
public final class Keys {
    private Keys() { }

    public static final String LIVE = "a/";
    /** Who leads, attached to the leader's hold. */
    public static final String LEAD = "a/lead";
    /** The ever-rising counter that all tokens come from. */
    public static final String TERM = "a/term";
    /** Controllers alive, attached to their holds. */
    public static final String NODE = "a/n/";
    /** Blocks of machines and allowances, leased to controllers, attached to the controllers' holds. */
    public static final String BLOCK = "a/b/";
    /** Machine types of the catalog, so a controller knows them as soon as it has the mirror. */
    public static final String SHAPE = "a/c/";
    /** Jobs. */
    public static final String JOB = "a/j/";
    /** Machines. */
    public static final String MACHINE = "a/m/";
    /** Rental requests, recorded before use. */
    public static final String RENTAL = "a/r/";
    /** How many rentals were ever recorded: each record of new ones changes it, so that a copy of that change finds its guard gone. */
    public static final String RENTALS = "a/rn";
    /** Changed with each taking-in of unexpected machines, so that a copy of that change finds its guard gone. */
    public static final String TAKEN_IN = "a/ti";
    /** Chunks of a job's tasks. */
    public static final String CHUNK = "a/t/";
    /** Which generation of the operators' priority classes rules, was the last good one, or is proposed. */
    public static final String CLASSES = "a/oc/head";
    /** The classes of a generation, in parts: {@code <generation>/<part>}. */
    public static final String CLASSES_PART = "a/oc/p/";
    /** Controllers that can't read the ruling generation. */
    public static final String CLASSES_OBJECTION = "a/oc/x/";
    /** Generation of the deadline calendar: changed with its entries and with the states of its occurrences. */
    public static final String CALENDAR = "a/ok/head";
    /** Entries of the calendar. */
    public static final String ENTRY = "a/ok/e/";
    /** Occurrences that are planned or under way: {@code <entry>/<date>}. */
    public static final String OCCURRENCE = "a/ok/o/";
    /** What is remembered of an entry's past occurrences. */
    public static final String MEMORY = "a/ok/m/";
    /** Ends of covered jobs that no occurrence's record has named yet: {@code <job>}. */
    public static final String LATE_END = "a/ok/s/";
    /** Zones that aren't simply up. */
    public static final String ZONE = "a/oz/";
    /** The ledger: what became of each occurrence, {@code <entry>/<date>}. */
    public static final String LEDGER = "z/oe/";
    /** Final states of jobs. */
    public static final String FINAL = "z/";
}
