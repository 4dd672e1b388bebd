package io.quincelead.config.constants;

/** Constants of a controller's lease. Each name ends with the unit of its value. */
public final class LeaseConstants {
    /** Margin for clock drift at both ends, as a fraction of a lease's duration. */
    public static final double CLOCK_DRIFT_FRACTION = 0.002;

    /**
     * Longest lease of a controller as a fraction of a worker's lease: the machines of a dead
     * controller must be taken over by another one before their own leases expire.
     */
    public static final double CONTROLLER_LEASE_FRACTION = 0.42;

    /** Number of renewals sent during a lease's duration. */
    public static final int RENEWALS_PER_LEASE = 4;

    /**
     * Time by which a controller regards its lease as expired before the store does. The store may
     * be 100 ms late.
     */
    public static final long EXPIRY_MARGIN_MILLIS = 150;

    private LeaseConstants() {}
}
