package io.quincelead.config.constants;

/**
 * Constants of connections, HTTP requests and calls inside the cluster. Each name ends with the
 * unit of its value.
 */
public final class TransportConstants {
    /** Protocol limit, in bytes, of a request body and of a response to workers and users. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Largest response, in bytes, accepted from another service. Decoded, it takes several times as
     * much of the heap.
     */
    public static final int MAX_RESPONSE_BYTES = 2 * 1024 * 1024;

    /** Timeout of a direct call to a worker or to another controller. */
    public static final long CLUSTER_CALL_TIMEOUT_MILLIS = 1_500;

    /** Time after which inbound connections that are idle or half open are closed. */
    public static final int SERVER_IDLE_TIMEOUT_MILLIS = 75_000;

    /** Time within which an inbound request must have arrived completely. */
    public static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    /**
     * Idle time after which outbound connections are closed, before the other side may close them.
     */
    public static final long CLIENT_IDLE_TIMEOUT_MILLIS = 60_000;

    /** Maximum number of outbound connections to one address. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 6;

    /** Maximum number of inbound connections from other controllers. */
    public static final int MAX_PEER_CONNECTIONS = 32;

    /**
     * Time after which a connection attempt counts only as an open socket, so that another attempt
     * may be made.
     */
    public static final long RECENT_CONNECT_ATTEMPT_MILLIS = 1_500;

    /** Maximum number of calls that wait for a connection to one address. */
    public static final int MAX_WAITING_CALLS_PER_ADDRESS = 200;

    /**
     * Connections of the process limit that are reserved for probes, files and other descriptors.
     */
    public static final int RESERVED_CONNECTIONS = 24;

    /** Fraction of the connection limit that is used for direct calls to workers. */
    public static final double WORKER_CALLS_CONNECTION_FRACTION = 0.1;

    /**
     * Fraction of the inbound connections of users and workers above which workers' connections are
     * closed after each response.
     */
    public static final double NEAR_LIMIT_CONNECTION_FRACTION = 0.75;

    private TransportConstants() {}
}
