package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.config.constants.LeadershipConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Moves a few machines at a time from the largest shard to the smallest, if the smallest one's
 * controller has been up for a while and the shards' CPUs are very uneven.
 */
final class ShardRebalancer {
    private final EventLoop eventLoop;
    private final ClusterMembership membership;
    private final ShardCapacity capacity;
    private final Map<String, Long> aliveSinceMillis = new HashMap<>();
    private long rebalancedAtMillis;

    ShardRebalancer(EventLoop eventLoop, ClusterMembership membership, ShardCapacity capacity) {
        this.eventLoop = eventLoop;
        this.membership = membership;
        this.capacity = capacity;
    }

    /**
     * Records since when each member has been live. To be called in every cycle of the leader, also
     * in one that changes nothing.
     */
    void recordLiveMembers() {
        for (ClusterMembership.Member member : membership.members()) {
            aliveSinceMillis.putIfAbsent(member.memberId(), eventLoop.nowMillis());
        }
        aliveSinceMillis.keySet().removeIf(memberId -> membership.member(memberId) == null);
    }

    /**
     * Adds moves to the update if the shards are out of balance. Does nothing if the update already
     * has changes: assignments take precedence over rebalancing.
     */
    void rebalance(ShardUpdate update) {
        if (update.hasChanges() || update.memberIds().size() < 2) {
            return;
        }
        Shard smallest =
                update.shards().stream()
                        .min(Comparator.comparingDouble(capacity::shardCpus))
                        .orElseThrow();
        Shard largest =
                update.shards().stream()
                        .max(Comparator.comparingDouble(capacity::shardCpus))
                        .orElseThrow();
        long now = eventLoop.nowMillis();
        if (now - aliveSinceMillis.getOrDefault(smallest.ownerId(), now)
                        < LeadershipConstants.MIN_UPTIME_BEFORE_REBALANCE_MILLIS
                || now - rebalancedAtMillis < LeadershipConstants.REBALANCE_INTERVAL_MILLIS
                || largest.fencingTokensByHost().size() < 2) {
            return;
        }
        moveMachines(update, largest, smallest);
        if (update.hasChanges()) {
            rebalancedAtMillis = now;
        }
    }

    /**
     * Moves machines until the shards are balanced, up to a fraction of the larger shard's
     * machines.
     */
    private void moveMachines(ShardUpdate update, Shard from, Shard to) {
        double fromCpus = capacity.shardCpus(from);
        double toCpus = capacity.shardCpus(to);
        int machineCount = from.fencingTokensByHost().size();
        int maxMoves =
                Math.max(
                        LeadershipConstants.MIN_REBALANCE_MACHINES,
                        (int) (machineCount * LeadershipConstants.REBALANCE_MACHINES_FRACTION));
        int moved = 0;
        for (String host : new ArrayList<>(from.fencingTokensByHost().keySet())) {
            double hostCpus = capacity.machineCpus(host);
            if (moved >= maxMoves
                    || toCpus > fromCpus * LeadershipConstants.BALANCED_CAPACITY_FRACTION
                    || toCpus + hostCpus > fromCpus - hostCpus) {
                break;
            }
            update.assign(host, to.ownerId());
            update.revoke(host, from.ownerId());
            toCpus += hostCpus;
            fromCpus -= hostCpus;
            moved++;
        }
    }
}
