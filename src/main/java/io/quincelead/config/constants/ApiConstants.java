package io.quincelead.config.constants;

/** Fixed numbers of the api code, each with its unit and the reason for its value. */
public final class ApiConstants {
    /** Tasks. The protocol's limit for one job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /** ms. Users wait 2 s for a poll and 5 s for a submission; we answer 503 well before. */
    public static final long USER_REQUEST_TIMEOUT_MILLIS = 1_400;

    /** ms. Polls that come within this time share one read barrier. */
    public static final long READ_BARRIER_INTERVAL_MILLIS = 100;

    /** Polls that may wait for a barrier. */
    public static final int MAX_WAITING_QUERIES = 300;

    /** Unfinished jobs a controller takes before it answers 429: about 10 MB of records. */
    public static final int MAX_OPEN_JOBS = 4_000;

    /** Tasks of unfinished jobs taken before 429: their placements must fit the heap. */
    public static final long MAX_OPEN_TASKS = 400_000;

    /** Final states kept in memory; older ones are read from the store. */
    public static final int MAX_CACHED_FINAL_STATES = 5_000;

    /** s. What a user is told to wait when the service can't take a request. */
    public static final int RETRY_AFTER_SECONDS = 1;

    private ApiConstants() {}
}
