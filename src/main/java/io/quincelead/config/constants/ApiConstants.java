package io.quincelead.config.constants;

/** The users' API. The unit ends each name. */
public final class ApiConstants {
    /** Protocol limit on the tasks of one job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /** Time after which a waiting user request is answered with 503; users wait 2 s for a query. */
    public static final long USER_REQUEST_TIMEOUT_MILLIS = 1_400;

    /** Queries that arrive within this time share one read barrier. */
    public static final long READ_BARRIER_INTERVAL_MILLIS = 100;

    /** Queries that may wait for a read barrier. */
    public static final int MAX_WAITING_QUERIES = 300;

    /** Unfinished jobs a controller accepts before it answers 429. */
    public static final int MAX_OPEN_JOBS = 4_000;

    /** Tasks of unfinished jobs accepted before 429. */
    public static final long MAX_OPEN_TASKS = 400_000;

    /** Final states kept in memory; older ones are read from the store. */
    public static final int MAX_CACHED_FINAL_STATES = 5_000;

    /** Time a user is told to wait when the service can't take a request. */
    public static final int RETRY_AFTER_SECONDS = 1;

    private ApiConstants() {}
}
