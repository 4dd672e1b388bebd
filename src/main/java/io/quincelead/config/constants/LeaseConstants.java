package io.quincelead.config.constants;

/** Fixed numbers of the lease code, each with its unit and the reason for its value. */
public final class LeaseConstants {
    /**
     * Parts of one. Steady clocks drift by 0.05%; both ends may be off, and a lease must never be
     * thought longer.
     */
    public static final double CLOCK_DRIFT_FRACTION = 0.002;

    /**
     * Parts of a worker's lease that a controller's lease may last: a dead controller's machines
     * must reach another one before their own lease ends.
     */
    public static final double CONTROLLER_LEASE_FRACTION = 0.42;

    /** Renewals in one lease time: three may get lost before the lease does. */
    public static final int RENEWALS_PER_LEASE = 4;

    /**
     * ms. The store's hold may end up to 100 ms late; a successor waits for the store, we stop this
     * much earlier.
     */
    public static final long EXPIRY_MARGIN_MILLIS = 150;

    private LeaseConstants() {}
}
