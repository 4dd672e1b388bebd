package io.quincelead.config.constants;

/** Fixed numbers of the autoscaler code, each with its unit and the reason for its value. */
public final class AutoscalerConstants {
    /** Machines in one rental request (protocol); they share one record. */
    public static final int MAX_MACHINES_PER_PROVISIONING_REQUEST = 50;

    /** Machine names in one release request (protocol). */
    public static final int MAX_MACHINES_PER_RELEASE_REQUEST = 100;

    /** ms. Cloud answers take about 250 ms; renting may take longer. */
    public static final long CLOUD_REQUEST_TIMEOUT_MILLIS = 5_000;

    /** ms. Renting and returning are decided this often. */
    public static final long AUTOSCALER_INTERVAL_MILLIS = 1_000;

    /** ms. First pause after a refusal for want of capacity; doubles to the maximum. */
    public static final long NO_CAPACITY_BACKOFF_INITIAL_MILLIS = 8_000;

    /** ms. The longest such pause. */
    public static final long NO_CAPACITY_BACKOFF_MAX_MILLIS = 45_000;

    /**
     * s. A machine is expected to stay about this long: spreads the cost of its start over its
     * work.
     */
    public static final double EXPECTED_STAY_SECONDS = 300;

    /** s. Short average of the arriving work: notices when a load has ended. */
    public static final double SHORT_LOAD_WINDOW_SECONDS = 60;

    /** s. Long average of the arriving work: one large job does not look like a load. */
    public static final double LONG_LOAD_WINDOW_SECONDS = 180;

    /** s. Less time than this says little of a rate. */
    public static final double MIN_LOAD_WINDOW_SECONDS = 40;

    /**
     * Parts of the capacity that must be missing in time before dear machines are rented for it.
     */
    public static final double COSTLY_MISSING_CAPACITY_FRACTION = 0.08;

    /**
     * Times. The usual load's work is multiplied by this: boots, fetches and gaps between tasks
     * take their part.
     */
    public static final double USUAL_LOAD_MARGIN_FACTOR = 1.1;

    /** s. A machine rented now helps after about this long. */
    public static final double TYPICAL_BOOT_SECONDS = 25;

    /**
     * s. Work due sooner than this is counted as due then: no machine rented now can help it
     * earlier.
     */
    public static final double SOONEST_HELP_SECONDS = 70;

    /**
     * Parts of the waiting CPUs for which cheap machines are rented at once, whatever the due
     * times.
     */
    public static final double SPOT_WAITING_CPUS_FRACTION = 0.6;

    /**
     * s. Within this time work that is late already should be done: hurry doesn't help it any more.
     */
    public static final double OVERDUE_DRAIN_SECONDS = 90;

    /**
     * Parts of the waiting CPUs that count as open load: most of a burst waits only until room
     * comes free.
     */
    public static final double OPEN_LOAD_WAITING_FRACTION = 1.0;

    /** CPUs. With nothing waiting, no machine is rented for a smaller usual load than this. */
    public static final double MIN_SPOT_LOAD_CPUS = 4;

    /**
     * CPUs. Up to this many in use, spare capacity is the operators' headroom of it; beyond, it
     * grows with the root only, as the ups and downs of many independent jobs do.
     */
    public static final double LINEAR_RESERVE_MAX_CPUS = 200;

    /**
     * Records of machines closed or opened in one write, if the store's share of the moment allows
     * it.
     */
    public static final int MAX_CORDON_RECORDS_PER_WRITE = 10;

    /**
     * Times its CPUs that must be spare before a machine is closed: keeps it from being opened
     * again at once.
     */
    public static final double CORDON_SPARE_FACTOR = 1.3;

    /**
     * CPUs. A dear machine of this size is counted at twice its price, for the time it takes to run
     * empty.
     */
    public static final double SLOW_DRAIN_MACHINE_CPUS = 40;

    /**
     * CPUs. Of a larger machine only this much must be spare: its tasks leave one by one, so its
     * room goes slowly.
     */
    public static final double MAX_CORDON_SPARE_CPUS = 24;

    /** s. A machine is not closed before it has been paid for this long. */
    public static final double MIN_RENTED_BEFORE_CORDON_SECONDS = 50;

    /** Rentals whose outcome is open at one time: the cloud takes few calls a second. */
    public static final int MAX_OPEN_PROVISIONING_REQUESTS = 6;

    /** ms. Marked machines are released this often. */
    public static final long RELEASE_INTERVAL_MILLIS = 300;

    /** ms. A released machine may still be listed this long. */
    public static final long FORGET_RELEASED_AFTER_MILLIS = 180_000;

    /** ms. The machine list is read this often, to find unexpected machines. */
    public static final long INVENTORY_INTERVAL_MILLIS = 10_000;

    /**
     * List lags. A leader trusts the list on unexpected machines after this time: what its
     * predecessor returned is gone from it by then.
     */
    public static final double TRUST_UNEXPECTED_AFTER_LIST_LAGS = 4;

    /** ms. Current prices are read this often. */
    public static final long CATALOG_INTERVAL_MILLIS = 60_000;

    /** s. The minimum charge of a machine (protocol). */
    public static final double MIN_CHARGE_SECONDS = 60;

    /** Times its nominal time that a boot usually takes at most (protocol). */
    public static final double USUAL_BOOT_MAX_FACTOR = 1.5;

    /** s before a window opens, beside the longest boot, at which machines for it are rented. */
    public static final double CALENDAR_PROVISIONING_SLACK_SECONDS = 20;

    private AutoscalerConstants() {}
}
