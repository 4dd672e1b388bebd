package io.quincelead.config.constants;

/**
 * Constants of the store client, the watch cache and the group commit. Each name ends with the unit
 * of its value.
 */
public final class StoreConstants {
    /** Protocol limit on the preconditions of a transaction for each of its operations. */
    public static final int MAX_PRECONDITIONS_PER_OPERATION = 4;

    /** Number of items requested in one page of a store listing (protocol limit: 1,000). */
    public static final int MAX_ITEMS_PER_LIST_PAGE = 500;

    /** Timeout of a store request. */
    public static final long REQUEST_TIMEOUT_MILLIS = 1500;

    /** Time for which the store keeps a watch request open when nothing changes. */
    public static final long WATCH_LONG_POLL_MILLIS = 10_000;

    /**
     * Time after the end of the long poll at which a watch without a response is considered lost.
     */
    public static final long WATCH_TIMEOUT_SLACK_MILLIS = 3_000;

    /**
     * Increase of the backpressure (0 to 1) for each interval in which this controller's writes
     * were delayed or throttled.
     */
    public static final double BACKPRESSURE_RISE_PER_INTERVAL_FRACTION = 0.25;

    /**
     * Decrease of the backpressure (0 to 1) for each interval in which none of this controller's
     * writes was delayed or throttled.
     */
    public static final double BACKPRESSURE_FALL_PER_INTERVAL_FRACTION = 0.1;

    /** Delay before a failed request to the store is retried. */
    public static final long RETRY_DELAY_MILLIS = 200;

    /**
     * Fraction of the store's request limit that the watches of all controllers together may use.
     */
    public static final double WATCH_REQUESTS_FRACTION = 0.36;

    /** Interval at which it is checked whether the watch has delivered what it must. */
    public static final long WATCH_CHECK_INTERVAL_MILLIS = 1_000;

    /**
     * Number of successive checks at which the watch lacks a change, while the store answers other
     * requests, after which it counts as stalled. Checks are counted, not time, because a process
     * that stood still hasn't handled the responses that have arrived meanwhile.
     */
    public static final int STALLED_WATCH_CHECKS = 8;

    /** Minimum time between two watch requests of a controller. */
    public static final long MIN_WATCH_INTERVAL_MILLIS = 80;

    /**
     * Delay of a commit that users wait for while this controller's share of the store's write
     * limit is used up.
     */
    public static final long THROTTLED_COMMIT_DELAY_MILLIS = 80;

    /** Interval at which a controller adjusts its share of the store's write limit. */
    public static final long WRITE_SHARE_INTERVAL_MILLIS = 1_000;

    /**
     * Factor by which a controller whose writes were delayed raises its share of the store's write
     * limit.
     */
    public static final double WRITE_SHARE_GROWTH_FACTOR = 1.2;

    /**
     * Factor by which a controller whose writes were throttled lowers its share of the store's
     * write limit.
     */
    public static final double WRITE_SHARE_SHRINK_FACTOR = 0.7;

    /**
     * Smallest share of the store's write limit that a controller keeps, as a fraction of an even
     * share.
     */
    public static final double MIN_WRITE_SHARE_FRACTION = 0.8;

    /**
     * Fraction of the store's write limit that one controller may take while the others need
     * little.
     */
    public static final double MAX_WRITE_SHARE_FRACTION = 0.7;

    /** Maximum number of submissions and cancellations that wait to be committed. */
    public static final int MAX_PENDING_COMMITS = 150;

    /** Fraction of its share of the store's limits that a controller plans to use. */
    public static final double PLANNED_RATE_FRACTION = 0.95;

    /** Size of a controller's largest burst of store requests, in seconds of its request rate. */
    public static final double REQUEST_BURST_SECONDS = 0.9;

    private StoreConstants() {}
}
