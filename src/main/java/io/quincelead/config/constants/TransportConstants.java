package io.quincelead.config.constants;

/** Connections, HTTP requests and calls inside the cluster. The unit ends each name. */
public final class TransportConstants {
    /** Protocol limit, in bytes, of a request body and of a response to workers and users. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Largest response, in bytes, accepted from another service. */
    public static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Timeout of a direct call to a worker or a peer. */
    public static final long CLUSTER_CALL_TIMEOUT_MILLIS = 1_500;

    /** Idle or half-open inbound connections are closed after this time. */
    public static final int SERVER_IDLE_TIMEOUT_MILLIS = 75_000;

    /** Time within which a request must have arrived completely. */
    public static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    /** Outbound connections idle for this time are closed before the other side may do so. */
    public static final long CLIENT_IDLE_TIMEOUT_MILLIS = 60_000;

    /** Outbound connections to one address. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 6;

    /** Inbound connections that other controllers may open. */
    public static final int MAX_PEER_CONNECTIONS = 32;

    /**
     * A connection attempt that has taken longer counts only as an open socket: another one may be
     * made.
     */
    public static final long RECENT_CONNECT_ATTEMPT_MILLIS = 1_500;

    /** Calls that may wait for a connection to one address. */
    public static final int MAX_WAITING_CALLS_PER_ADDRESS = 200;

    /**
     * Connections of the limit that are left to probes, files and whatever else a process opens.
     */
    public static final int RESERVED_CONNECTIONS = 24;

    /** Fraction of the connection limit for direct calls to workers. */
    public static final double WORKER_CALLS_CONNECTION_FRACTION = 0.1;

    /**
     * Fraction of the connections that users and workers may have before workers' are closed after
     * each response.
     */
    public static final double NEAR_LIMIT_CONNECTION_FRACTION = 0.75;

    private TransportConstants() {}
}
