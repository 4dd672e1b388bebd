package io.quincelead.config.constants;

/** Fixed numbers of the transport code, each with its unit and the reason for its value. */
public final class TransportConstants {
    /** Bytes. The protocol's limit for a request body and for a response to workers and users. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Bytes. Room for the worst answers of the store: 512 KiB of items, or an unbounded watch
     * response.
     */
    public static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** ms. Direct orders and peer messages are small and near. */
    public static final long CLUSTER_CALL_TIMEOUT_MILLIS = 1_500;

    /** ms. Idle or half-open connections from outside are closed after this. */
    public static final int SERVER_IDLE_TIMEOUT_MILLIS = 75_000;

    /** ms. A request must have come in whole by then. */
    public static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    /**
     * ms. A connection of ours that is idle this long is closed before the other side may do so.
     */
    public static final long CLIENT_IDLE_TIMEOUT_MILLIS = 60_000;

    /** Connections from us to one address. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 6;

    /** Connections that other controllers may open to us. */
    public static final int MAX_PEER_CONNECTIONS = 32;

    /**
     * ms. An attempt to connect that has taken longer counts for nothing but its socket: another
     * one may be made.
     */
    public static final long CONNECT_TIMEOUT_MILLIS = 1_500;

    /** Calls that may wait for a connection to one address. */
    public static final int MAX_WAITING_CALLS_PER_ADDRESS = 200;

    /**
     * Connections of the limit that are left to probes, files and whatever else a process opens.
     */
    public static final int RESERVED_CONNECTIONS = 24;

    /** Parts of the connection limit for connections to workers that are told something at once. */
    public static final double WORKER_CALLS_CONNECTION_FRACTION = 0.1;

    /**
     * Parts of the connections that users and workers may have; beyond, workers' are closed after
     * each answer, so that a controller left alone with more workers than connections still has
     * some for users and for the platform's probe.
     */
    public static final double CROWDED_CONNECTION_FRACTION = 0.75;

    private TransportConstants() {}
}
