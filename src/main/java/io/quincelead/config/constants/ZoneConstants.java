package io.quincelead.config.constants;

/** Evaluation and recovery of zones. The unit ends each name. */
public final class ZoneConstants {
    /** Number of a zone's machines below which nothing is concluded about the zone. */
    public static final int MIN_EVALUATED_MACHINES = 2;

    /** A zone with a smaller fraction of its machines heard is considered cut off. */
    public static final double MIN_REACHABLE_FRACTION = 0.3;

    /**
     * Longest silence, in worker leases, that is tolerated of machines in a zone that is cut off.
     */
    public static final double UNREACHABLE_ZONE_TIMEOUT_LEASES = 6;

    /** Interval at which the health of zones is evaluated. */
    public static final long EVALUATION_INTERVAL_MILLIS = 1_000;

    /**
     * Fraction of a zone's machines that must be gone by the cloud's list for the zone to count as
     * lost.
     */
    public static final double LOST_MACHINES_FRACTION = 0.5;

    /** Time after settling at which a zone's loss is forgotten. */
    public static final long FORGET_LOSS_AFTER_MILLIS = 600_000;

    /**
     * Longest time that a zone which is lost again and again must stay up before work is moved to
     * it.
     */
    public static final double MAX_SETTLE_MILLIS = 600_000;

    /**
     * Time after its placement, in addition to the image fetch, at which a replica counts as
     * serving, so that the next one of its model may move.
     */
    public static final long REPLICA_STEADY_AFTER_MILLIS = 12_000;

    /** Minimum time between two writes of cached heavy images, one record of machines at a time. */
    public static final long IMAGE_RECORD_INTERVAL_MILLIS = 5_000;

    private ZoneConstants() {}
}
