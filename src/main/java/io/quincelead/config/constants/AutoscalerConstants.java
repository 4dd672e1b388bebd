package io.quincelead.config.constants;

/** Scaling out and in, and the cloud client. The unit ends each name. */
public final class AutoscalerConstants {
    /** Protocol limit on the machines of one provisioning request; they share one record. */
    public static final int MAX_MACHINES_PER_PROVISIONING_REQUEST = 50;

    /** Protocol limit on the machine names in one release request. */
    public static final int MAX_MACHINES_PER_RELEASE_REQUEST = 100;

    /** Timeout of a cloud request. */
    public static final long CLOUD_REQUEST_TIMEOUT_MILLIS = 5_000;

    /** Interval at which scaling out and in is decided. */
    public static final long AUTOSCALER_INTERVAL_MILLIS = 1_000;

    /**
     * First backoff after a provisioning request refused for lack of capacity; it doubles up to the
     * maximum.
     */
    public static final long NO_CAPACITY_BACKOFF_INITIAL_MILLIS = 8_000;

    /** Longest such backoff. */
    public static final long NO_CAPACITY_BACKOFF_MAX_MILLIS = 45_000;

    /** Time over which the cost of a machine's start is spread. */
    public static final double START_COST_AMORTIZATION_SECONDS = 300;

    /** Short averaging window of the arriving work. */
    public static final double SHORT_LOAD_WINDOW_SECONDS = 60;

    /** Long averaging window of the arriving work. */
    public static final double LONG_LOAD_WINDOW_SECONDS = 180;

    /** Shortest observation that says anything about a rate. */
    public static final double MIN_LOAD_WINDOW_SECONDS = 40;

    /**
     * Fraction of the capacity that must be missing in time before costly machines are rented for
     * it.
     */
    public static final double MIN_ON_DEMAND_SHORTFALL_FRACTION = 0.08;

    /** Factor on the work of the usual load, for boots, fetches and gaps between tasks. */
    public static final double STEADY_STATE_LOAD_MARGIN_FACTOR = 1.1;

    /** Time after which a machine rented now counts as helping. */
    public static final double TYPICAL_BOOT_SECONDS = 25;

    /** Work due sooner than this is counted as due then. */
    public static final double MIN_PLANNING_HORIZON_SECONDS = 70;

    /**
     * Fraction of the waiting CPUs for which spot machines are rented at once, whatever the
     * deadlines.
     */
    public static final double SPOT_PENDING_CPUS_FRACTION = 0.6;

    /** Time within which work that is overdue already should be done. */
    public static final double OVERDUE_WORK_DEADLINE_SECONDS = 90;

    /** Fraction of the waiting CPUs that counts as open load. */
    public static final double OPEN_LOAD_PENDING_FRACTION = 1.0;

    /** With nothing waiting, no machine is rented for a smaller usual load, in CPUs, than this. */
    public static final double TOLERATED_MISSING_CPUS = 4;

    /** CPUs in use up to which the reserve grows with them; beyond, with their square root. */
    public static final double LINEAR_RESERVE_MAX_CPUS = 200;

    /** Records of machines cordoned or uncordoned in one write. */
    public static final int MAX_CORDON_RECORDS_PER_WRITE = 10;

    /** A machine is cordoned only if its CPUs multiplied by this are spare. */
    public static final double CORDON_SPARE_FACTOR = 1.3;

    /** Size, in CPUs, at which a costly machine is counted at twice its price. */
    public static final double ON_DEMAND_DOUBLE_COST_CPUS = 40;

    /** Of a larger machine only this many CPUs must be spare to cordon it. */
    public static final double MAX_CORDON_SPARE_CPUS = 24;

    /** A machine is not cordoned before it has been paid for this long. */
    public static final double MIN_BILLED_BEFORE_CORDON_SECONDS = 50;

    /** Provisioning requests whose outcome is open at one time. */
    public static final int MAX_OPEN_PROVISIONING_REQUESTS = 6;

    /** Interval at which machines marked for release are released. */
    public static final long RELEASE_INTERVAL_MILLIS = 300;

    /** How long a released machine may still be listed by the cloud. */
    public static final long FORGET_RELEASED_AFTER_MILLIS = 180_000;

    /** Interval at which the cloud's machine list is read, to find unexpected machines. */
    public static final long INVENTORY_INTERVAL_MILLIS = 10_000;

    /** List lags after which a new leader trusts the list on unexpected machines. */
    public static final double TRUST_UNEXPECTED_AFTER_LIST_LAGS = 4;

    /** Interval at which the current prices are read. */
    public static final long CATALOG_INTERVAL_MILLIS = 60_000;

    /** Protocol: the minimum charge of a machine, in seconds of use. */
    public static final double MIN_CHARGE_SECONDS = 60;

    /** Protocol: longest usual boot time as a multiple of the nominal one. */
    public static final double USUAL_BOOT_MAX_FACTOR = 1.5;

    /**
     * Time before a window opens, in addition to the longest boot, at which machines for it are
     * rented.
     */
    public static final double CALENDAR_PROVISIONING_SLACK_SECONDS = 20;

    private AutoscalerConstants() {}
}
