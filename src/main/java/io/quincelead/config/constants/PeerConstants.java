package io.quincelead.config.constants;

/** Messages between controllers. The unit ends each name. */
public final class PeerConstants {
    /**
     * How long a peer's status of its machines is valid; without one the leader leaves that shard
     * alone.
     */
    public static final long STATUS_VALID_MILLIS = 3_000;

    /** Interval at which controllers send the leader the status of their machines. */
    public static final long STATUS_INTERVAL_MILLIS = 700;

    private PeerConstants() {}
}
