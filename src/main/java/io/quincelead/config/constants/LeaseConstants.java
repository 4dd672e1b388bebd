package io.quincelead.config.constants;

/**
 * Fixed numbers of a controller's lease. The unit ends each name; each comment states the reason
 * for the value.
 */
public final class LeaseConstants {
    /**
     * Margin for clock drift as a fraction of a lease's time. Steady clocks drift by 0.05%; both
     * ends may be off, and a lease must never be taken for longer than it is.
     */
    public static final double CLOCK_DRIFT_FRACTION = 0.002;

    /**
     * Longest controller lease as a fraction of a worker's lease: the machines of a dead controller
     * must reach another one before their own leases expire.
     */
    public static final double CONTROLLER_LEASE_FRACTION = 0.42;

    /** Renewals sent during one lease time: three may be lost before the lease expires. */
    public static final int RENEWALS_PER_LEASE = 4;

    /**
     * How much earlier than the store a controller regards its lease as expired. The store may
     * expire a lease up to 100 ms late, and a successor waits for the store.
     */
    public static final long EXPIRY_MARGIN_MILLIS = 150;

    private LeaseConstants() {}
}
