package io.quincelead.config.constants;

/** Fixed numbers of the store code, each with its unit and the reason for its value. */
public final class StoreConstants {
    /** Guards allowed for each operation of a transaction (protocol). */
    public static final int MAX_PRECONDITIONS_PER_OPERATION = 4;

    /** Items in one page of a store listing (protocol: at most 1,000). */
    public static final int MAX_ITEMS_PER_LIST_PAGE = 500;

    /** ms. Store answers usually take 10 ms and at times a few hundred. */
    public static final long REQUEST_TIMEOUT_MILLIS = 1500;

    /** ms. A watch is kept this long when nothing changes. */
    public static final long WATCH_LONG_POLL_MILLIS = 10_000;

    /** ms. A watch that says nothing this long after its hold is taken for lost. */
    public static final long WATCH_TIMEOUT_SLACK_MILLIS = 3_000;

    /**
     * Parts of one that the shortage of changes counts for more with each second in which some had
     * to wait.
     */
    public static final double BACKPRESSURE_RISE_PER_INTERVAL_FRACTION = 0.25;

    /** Parts of one by which it falls with each other second. */
    public static final double BACKPRESSURE_FALL_PER_INTERVAL_FRACTION = 0.1;

    /** ms. Wait before a failed exchange with the store is tried again. */
    public static final long RETRY_DELAY_MILLIS = 200;

    /** Parts of the store's request limit that the watches of all controllers together may use. */
    public static final double WATCH_REQUESTS_FRACTION = 0.36;

    /**
     * ms. No two looks at the store's news follow each other faster: news come together, and each
     * look costs a turn of the loop.
     */
    public static final long MIN_WATCH_INTERVAL_MILLIS = 80;

    /** ms. Pause of what users wait for when the store's limit of the moment is used up. */
    public static final long THROTTLED_COMMIT_DELAY_MILLIS = 80;

    /** ms. The share of the store's changes is looked at this often. */
    public static final long WRITE_SHARE_INTERVAL_MILLIS = 1_000;

    /** Times. A controller that had to wait asks for this much more. */
    public static final double WRITE_SHARE_GROWTH_FACTOR = 1.2;

    /** Times. After a refusal, it asks for this much. */
    public static final double WRITE_SHARE_SHRINK_FACTOR = 0.7;

    /** Parts of an even share below which no controller falls. */
    public static final double MIN_WRITE_SHARE_FRACTION = 0.8;

    /** Parts of the store's limit that one controller may take when the others need little. */
    public static final double MAX_WRITE_SHARE_FRACTION = 0.7;

    /** Submissions and cancellations that may wait for the store. */
    public static final int MAX_WAITING_COMMITS = 150;

    private StoreConstants() {}
}
