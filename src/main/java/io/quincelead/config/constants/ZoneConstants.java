package io.quincelead.config.constants;

/** Fixed numbers of the zone code, each with its unit and the reason for its value. */
public final class ZoneConstants {
    /** Machines of a zone below which nothing is concluded about the zone. */
    public static final int MIN_EVALUATED_MACHINES = 2;

    /** Parts of a zone's machines: with fewer heard, the zone is taken for cut off. */
    public static final double MIN_HEARD_FRACTION = 0.3;

    /** Leases of a worker for which the silence of machines in a zone that is cut off is borne. */
    public static final double CUT_OFF_PATIENCE_LEASES = 6;

    /** ms. Zones are judged this often. */
    public static final long EVALUATION_INTERVAL_MILLIS = 1_000;

    /** Parts of a zone's machines that must be gone by the cloud's word for it to count as lost. */
    public static final double LOST_MACHINES_FRACTION = 0.5;

    /** ms after settling at which a zone's loss is forgotten. */
    public static final long FORGET_LOSS_AFTER_MILLIS = 600_000;

    /** ms. The longest that a zone which keeps being lost must hold before work is moved to it. */
    public static final double MAX_SETTLE_MILLIS = 600_000;

    /**
     * ms. So long after it got its place, beside the fetch, a replica counts as serving, and the
     * next one of its model may move.
     */
    public static final long REPLICA_STEADY_AFTER_MILLIS = 12_000;

    /** ms. Heavy images are recorded this often at most, a record of machines at a time. */
    public static final long IMAGE_RECORD_INTERVAL_MILLIS = 5_000;

    private ZoneConstants() {}
}
