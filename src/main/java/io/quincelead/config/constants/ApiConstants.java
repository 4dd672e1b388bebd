package io.quincelead.config.constants;

/** Constants of the API for users. Each name ends with the unit of its value. */
public final class ApiConstants {
    /** Protocol limit on the tasks of one job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Time after which a user's request that is still waiting is answered with 503; users wait 2 s
     * for the response to a query.
     */
    public static final long USER_REQUEST_TIMEOUT_MILLIS = 1_400;

    /** Queries that arrive within this interval share one read barrier. */
    public static final long READ_BARRIER_INTERVAL_MILLIS = 100;

    /** Maximum number of queries that wait for a read barrier. */
    public static final int MAX_WAITING_QUERIES = 300;

    /** Maximum number of unfinished jobs; further submissions are answered with 429. */
    public static final int MAX_OPEN_JOBS = 4_000;

    /**
     * Maximum number of tasks of all unfinished jobs; further submissions are answered with 429.
     */
    public static final long MAX_OPEN_TASKS = 400_000;

    /** Maximum number of final job states kept in memory; older ones are read from the store. */
    public static final int MAX_CACHED_FINAL_STATES = 5_000;

    /**
     * Value of the header Retry-After, with which users are told to retry when the service can't
     * take a request.
     */
    public static final int RETRY_AFTER_SECONDS = 1;

    private ApiConstants() {}
}
