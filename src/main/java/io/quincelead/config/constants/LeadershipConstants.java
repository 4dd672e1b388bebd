package io.quincelead.config.constants;

/** Fixed numbers of the leadership code, each with its unit and the reason for its value. */
public final class LeadershipConstants {
    /** ms. Leader's housekeeping: grants, allowances, reassignment. */
    public static final long LEADER_INTERVAL_MILLIS = 250;

    /** ms. Machines that come up within this time are granted in one write. */
    public static final long SHARD_ASSIGNMENT_BATCH_MILLIS = 30;

    /**
     * ms. Unexpected machines that report within this time are taken in together, on shared
     * records; the cloud's list shows most first.
     */
    public static final long UNEXPECTED_MACHINE_BATCH_MILLIS = 4_000;

    /** ms. A controller must be up this long before machines are moved to it for balance. */
    public static final long MIN_UPTIME_BEFORE_REBALANCE_MILLIS = 4_000;

    /** Machines moved for balance in one write, at least. */
    public static final int MIN_REBALANCE_MACHINES = 3;

    /** Parts of the largest block moved in one write: each write costs two blocks and a term. */
    public static final double REBALANCE_MACHINES_FRACTION = 0.15;

    /** ms. Between two such writes the moved machines are claimed by their new owner. */
    public static final long REBALANCE_INTERVAL_MILLIS = 1_500;

    /**
     * Blocks are left alone while the smallest has at least this part of the largest one's
     * capacity.
     */
    public static final double BALANCED_CAPACITY_FRACTION = 0.55;

    /** CPUs or GPUs. Smaller changes of an allowance aren't worth a write. */
    public static final double MIN_QUOTA_SHARE_CHANGE_UNITS = 0.25;

    /**
     * ms. Allowances are looked at this often: each change rewrites blocks, and every round in
     * flight fails on it.
     */
    public static final long QUOTA_SHARES_INTERVAL_MILLIS = 750;

    /**
     * Parts of a team's limit. A controller with this much left of its allowance isn't given a
     * little more or less.
     */
    public static final double QUOTA_SHARE_TOLERANCE_FRACTION = 0.03;

    private LeadershipConstants() {}
}
