package io.quincelead.config.constants;

/**
 * Constants of scaling out and in, and of the cloud client. Each name ends with the unit of its
 * value.
 */
public final class AutoscalerConstants {
    /** Protocol limit on the machines of one provisioning request. They share one record. */
    public static final int MAX_MACHINES_PER_PROVISIONING_REQUEST = 50;

    /** Protocol limit on the machines of one release request. */
    public static final int MAX_MACHINES_PER_RELEASE_REQUEST = 100;

    /** Timeout of a cloud request. */
    public static final long CLOUD_REQUEST_TIMEOUT_MILLIS = 5_000;

    /** Interval of the decisions to scale out and in. */
    public static final long AUTOSCALER_INTERVAL_MILLIS = 1_000;

    /**
     * Initial backoff after the cloud refused a provisioning request for lack of capacity. It
     * doubles with each refusal up to {@link #NO_CAPACITY_BACKOFF_MAX_MILLIS}.
     */
    public static final long NO_CAPACITY_BACKOFF_INITIAL_MILLIS = 8_000;

    /** Maximum backoff after provisioning requests that the cloud refused for lack of capacity. */
    public static final long NO_CAPACITY_BACKOFF_MAX_MILLIS = 45_000;

    /**
     * Running time over which the cost of a machine's start is spread when offerings are compared.
     */
    public static final double START_COST_AMORTIZATION_SECONDS = 300;

    /** Short averaging window of the offered load. */
    public static final double SHORT_LOAD_WINDOW_SECONDS = 60;

    /** Long averaging window of the offered load. */
    public static final double LONG_LOAD_WINDOW_SECONDS = 180;

    /**
     * Minimum time over which the offered load is averaged; a rate observed for less time is not
     * meaningful.
     */
    public static final double MIN_LOAD_WINDOW_SECONDS = 40;

    /**
     * Fraction of the capacity that the shortfall before a deadline must exceed before on-demand
     * machines, which are expensive, are provisioned for it.
     */
    public static final double MIN_ON_DEMAND_SHORTFALL_FRACTION = 0.08;

    /**
     * Factor on the steady-state load that allows for boots, image fetches and gaps between tasks.
     */
    public static final double STEADY_STATE_LOAD_MARGIN_FACTOR = 1.1;

    /** Time after which a machine that is provisioned now counts as capacity. */
    public static final double TYPICAL_BOOT_SECONDS = 25;

    /** Work that is due sooner than this is planned as if it were due after this time. */
    public static final double MIN_PLANNING_HORIZON_SECONDS = 70;

    /**
     * Fraction of the pending CPUs for which spot machines are provisioned at once, regardless of
     * deadlines.
     */
    public static final double SPOT_PENDING_CPUS_FRACTION = 0.6;

    /** Time within which work should be done whose deadline can't be met any more. */
    public static final double OVERDUE_WORK_DEADLINE_SECONDS = 90;

    /** Fraction of the pending CPUs that counts as open load. */
    public static final double OPEN_LOAD_PENDING_FRACTION = 1.0;

    /**
     * While nothing is pending, no machine is provisioned for a steady-state load unless more than
     * this many CPUs are missing.
     */
    public static final double TOLERATED_MISSING_CPUS = 4;

    /**
     * Up to this many CPUs in use the reserve grows linearly with them; beyond, with their square
     * root.
     */
    public static final double LINEAR_RESERVE_MAX_CPUS = 200;

    /** Maximum number of records of machines that are cordoned or uncordoned in one write. */
    public static final int MAX_CORDON_RECORDS_PER_WRITE = 10;

    /**
     * A machine is cordoned only if at least its CPUs multiplied by this are spare; see {@link
     * #MAX_CORDON_SPARE_CPUS}.
     */
    public static final double CORDON_SPARE_FACTOR = 1.3;

    /** Size in CPUs at which an on-demand machine is ranked as if it cost twice its price. */
    public static final double ON_DEMAND_DOUBLE_COST_CPUS = 40;

    /**
     * Maximum number of CPUs of one machine that count towards the spare CPUs needed to cordon it:
     * of a larger machine only these must be spare.
     */
    public static final double MAX_CORDON_SPARE_CPUS = 24;

    /** A machine is not cordoned before the cloud has billed it for this time. */
    public static final double MIN_BILLED_BEFORE_CORDON_SECONDS = 50;

    /**
     * Time for which a job may wait for the start of its first task before a machine is provisioned
     * for that task alone. With a usual boot, the start follows within the users' 90 s.
     */
    public static final long OVERDUE_START_MILLIS = 45_000;

    /** Maximum number of provisioning requests without a known outcome. */
    public static final int MAX_OPEN_PROVISIONING_REQUESTS = 6;

    /** Interval at which the machines marked for release are released. */
    public static final long RELEASE_INTERVAL_MILLIS = 300;

    /** Time for which a released machine may still be on the cloud's list. */
    public static final long FORGET_RELEASED_AFTER_MILLIS = 180_000;

    /**
     * Interval at which the cloud's machine list is read to find unexpected machines, which have no
     * record.
     */
    public static final long INVENTORY_INTERVAL_MILLIS = 10_000;

    /**
     * Time, as a multiple of the list's lag, after which a new leader registers unexpected machines
     * that are on the cloud's list.
     */
    public static final double TRUST_UNEXPECTED_AFTER_LIST_LAGS = 4;

    /** Interval at which the cloud's current prices are read. */
    public static final long CATALOG_INTERVAL_MILLIS = 60_000;

    /** Protocol: minimum charge for a machine, in seconds of use. */
    public static final double MIN_CHARGE_SECONDS = 60;

    /** Protocol: longest usual boot time as a multiple of the nominal boot time. */
    public static final double USUAL_BOOT_MAX_FACTOR = 1.5;

    /**
     * Machines for a calendar window are provisioned ahead of its opening by the longest boot time
     * plus this.
     */
    public static final double CALENDAR_PROVISIONING_SLACK_SECONDS = 20;

    private AutoscalerConstants() {}
}
