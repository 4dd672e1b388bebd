package io.quincelead.config.constants;

/** Constants of the evaluation and recovery of zones. Each name ends with the unit of its value. */
public final class ZoneConstants {
    /** Minimum number of machines of a zone from which conclusions about the zone are drawn. */
    public static final int MIN_EVALUATED_MACHINES = 2;

    /** A zone is considered unreachable if a smaller fraction of its machines is reachable. */
    public static final double MIN_REACHABLE_FRACTION = 0.3;

    /** Longest silence, in worker leases, that is tolerated of machines in an unreachable zone. */
    public static final double UNREACHABLE_ZONE_TIMEOUT_LEASES = 6;

    /** Interval at which the health of zones is evaluated. */
    public static final long EVALUATION_INTERVAL_MILLIS = 1_000;

    /**
     * Fraction of a zone's machines that must be missing from the cloud's list for the zone to
     * count as lost.
     */
    public static final double LOST_MACHINES_FRACTION = 0.5;

    /** Time after settling at which the loss of a zone is forgotten. */
    public static final long FORGET_LOSS_AFTER_MILLIS = 600_000;

    /**
     * Longest time for which a zone that is lost repeatedly must stay up before work is moved to
     * it.
     */
    public static final double MAX_SETTLE_MILLIS = 600_000;

    /**
     * Time after its placement and image fetch at which a replica counts as serving, so that the
     * next replica of its service may be moved.
     */
    public static final long REPLICA_STEADY_AFTER_MILLIS = 12_000;

    /**
     * Minimum time between two writes of cached large images. Each writes one record of machines.
     */
    public static final long IMAGE_RECORD_INTERVAL_MILLIS = 5_000;

    private ZoneConstants() {}
}
