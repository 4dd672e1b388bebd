package io.quincelead.config.constants;

/** Constants of messages between controllers. Each name ends with the unit of its value. */
public final class PeerConstants {
    /**
     * Time for which a peer's status of its machines is valid. The leader doesn't place work on a
     * shard without a valid status.
     */
    public static final long STATUS_VALID_MILLIS = 3_000;

    /** Interval at which controllers send the leader the status of their machines. */
    public static final long STATUS_INTERVAL_MILLIS = 700;

    private PeerConstants() {}
}
