package io.quincelead.config.constants;

/**
 * Constants of the leader's work: shards, quota shares, job reassignment. Each name ends with the
 * unit of its value.
 */
public final class LeadershipConstants {
    /** Interval of the leader's periodic work: shard assignment, quota shares, job reassignment. */
    public static final long LEADER_INTERVAL_MILLIS = 250;

    /** Machines that become ready within this time are assigned to shards in one write. */
    public static final long SHARD_ASSIGNMENT_BATCH_MILLIS = 30;

    /**
     * Unexpected machines, which have no record, are registered together if their heartbeats arrive
     * within this time.
     */
    public static final long UNEXPECTED_MACHINE_BATCH_MILLIS = 4_000;

    /**
     * Time that a controller must have been up before machines are moved to its shard to balance
     * the shards.
     */
    public static final long MIN_UPTIME_BEFORE_REBALANCE_MILLIS = 4_000;

    /** Minimum number of machines that one write moves to balance the shards. */
    public static final int MIN_REBALANCE_MACHINES = 3;

    /** Fraction of the largest shard's machines that one write moves to balance the shards. */
    public static final double REBALANCE_MACHINES_FRACTION = 0.15;

    /** Minimum time between two writes that move machines to balance the shards. */
    public static final long REBALANCE_INTERVAL_MILLIS = 1_500;

    /**
     * Shards count as balanced, and no machine is moved, while the smallest shard has at least this
     * fraction of the largest one's capacity.
     */
    public static final double BALANCED_CAPACITY_FRACTION = 0.55;

    /** Smallest change of a quota share, in CPUs or GPUs, that is written. */
    public static final double MIN_QUOTA_SHARE_CHANGE_UNITS = 0.25;

    /** Interval at which quota shares are distributed. */
    public static final long QUOTA_SHARES_INTERVAL_MILLIS = 750;

    /**
     * Fraction of a team's limit: a quota share of which at least this much is free isn't changed
     * by a smaller amount.
     */
    public static final double QUOTA_SHARE_TOLERANCE_FRACTION = 0.03;

    private LeadershipConstants() {}
}
