package io.quincelead.config.constants;

/** A controller's lease. The unit ends each name. */
public final class LeaseConstants {
    /** Margin for clock drift, of both ends, as a fraction of a lease's time. */
    public static final double CLOCK_DRIFT_FRACTION = 0.002;

    /**
     * Longest controller lease as a fraction of a worker's lease: the machines of a dead controller
     * must reach another one before their own leases expire.
     */
    public static final double CONTROLLER_LEASE_FRACTION = 0.42;

    /** Renewals sent during one lease time. */
    public static final int RENEWALS_PER_LEASE = 4;

    /**
     * How much earlier than the store, which may be 100 ms late, a controller regards its lease as
     * expired.
     */
    public static final long EXPIRY_MARGIN_MILLIS = 150;

    private LeaseConstants() {}
}
