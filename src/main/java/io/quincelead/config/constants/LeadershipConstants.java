package io.quincelead.config.constants;

/** The leader's work: shards, quota shares, job reassignment. The unit ends each name. */
public final class LeadershipConstants {
    /** Interval of the leader's periodic work: shard assignment, quota shares, job reassignment. */
    public static final long LEADER_INTERVAL_MILLIS = 250;

    /** Machines that come up within this time are assigned to shards in one write. */
    public static final long SHARD_ASSIGNMENT_BATCH_MILLIS = 30;

    /** Unexpected machines whose heartbeats arrive within this time are registered together. */
    public static final long UNEXPECTED_MACHINE_BATCH_MILLIS = 4_000;

    /** How long a controller must be up before machines are moved to it to balance the shards. */
    public static final long MIN_UPTIME_BEFORE_REBALANCE_MILLIS = 4_000;

    /** Machines moved to balance the shards in one write, at least. */
    public static final int MIN_REBALANCE_MACHINES = 3;

    /** Fraction of the largest shard moved in one write. */
    public static final double REBALANCE_MACHINES_FRACTION = 0.15;

    /** Minimum time between two such writes. */
    public static final long REBALANCE_INTERVAL_MILLIS = 1_500;

    /**
     * Shards are left alone while the smallest has at least this fraction of the largest one's
     * capacity.
     */
    public static final double BALANCED_CAPACITY_FRACTION = 0.55;

    /** Smallest change of a quota share, in CPUs or GPUs, that is worth a write. */
    public static final double MIN_QUOTA_SHARE_CHANGE_UNITS = 0.25;

    /** Interval at which quota shares are distributed. */
    public static final long QUOTA_SHARES_INTERVAL_MILLIS = 750;

    /** Fraction of a team's limit: a share with this much left isn't changed by less. */
    public static final double QUOTA_SHARE_TOLERANCE_FRACTION = 0.03;

    private LeadershipConstants() {}
}
