package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.QuotaShare;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes to the shards of all live members that one cycle of the leader will write: modifiable
 * copies of the shards, and which of them changed. All machines that one update assigns get the
 * same new fencing token.
 */
final class ShardUpdate {
    private static final Logger LOG = LoggerFactory.getLogger(ShardUpdate.class);

    private final ClusterMembership membership;
    private final Map<String, Shard> shardsByOwner = new LinkedHashMap<>();

    /** Members whose shards changed, in the order of their first change and of their writes. */
    private final Set<String> changedMembers = new LinkedHashSet<>();

    private final long fencingToken;
    private boolean hasAssignments;

    /** Starts from the shards on record; a member without one gets an empty shard. */
    ShardUpdate(ClusterMembership membership) {
        this.membership = membership;
        this.fencingToken = membership.latestFencingToken() + 1;
        for (ClusterMembership.Member member : membership.members()) {
            Shard shard = membership.shardOf(member.memberId());
            if (shard == null) {
                changedMembers.add(member.memberId());
                shard = new Shard(member.memberId(), new LinkedHashMap<>(), new LinkedHashMap<>());
            } else {
                shard = shard.copy();
            }
            shardsByOwner.put(member.memberId(), shard);
        }
    }

    /** The live members, in the order of their records; unmodifiable. */
    Set<String> memberIds() {
        return Collections.unmodifiableSet(shardsByOwner.keySet());
    }

    /** The live members' shards as changed so far; only this update's methods may change them. */
    Collection<Shard> shards() {
        return Collections.unmodifiableCollection(shardsByOwner.values());
    }

    /** A member's shard as changed so far; null if the member is not live. */
    Shard shardOf(String memberId) {
        return shardsByOwner.get(memberId);
    }

    boolean isLiveMember(String memberId) {
        return shardsByOwner.containsKey(memberId);
    }

    boolean hasChanges() {
        return !changedMembers.isEmpty();
    }

    /** Whether the machine is in any live member's shard as changed so far. */
    boolean isAssigned(String host) {
        for (Shard shard : shardsByOwner.values()) {
            if (shard.fencingTokensByHost().containsKey(host)) {
                return true;
            }
        }
        return false;
    }

    /** Adds a machine to a live member's shard, under this update's fencing token. */
    void assign(String host, String memberId) {
        shardsByOwner.get(memberId).fencingTokensByHost().put(host, fencingToken);
        changedMembers.add(memberId);
        hasAssignments = true;
    }

    /** Removes a machine from a live member's shard. */
    void revoke(String host, String memberId) {
        shardsByOwner.get(memberId).fencingTokensByHost().remove(host);
        changedMembers.add(memberId);
    }

    /** Removes the machines that meet the condition from all live members' shards. */
    void revokeIf(Predicate<String> condition) {
        shardsByOwner.forEach(
                (memberId, shard) -> {
                    if (shard.fencingTokensByHost().keySet().removeIf(condition)) {
                        changedMembers.add(memberId);
                    }
                });
    }

    void setQuotaShare(String memberId, String team, QuotaShare share) {
        shardsByOwner.get(memberId).quotaShares().put(team, share);
        changedMembers.add(memberId);
    }

    /**
     * Adds the changed shards' records to a transaction. The preconditions cover every shard on
     * record, also those of members that are no longer live, because the decisions of this update
     * depend on all of them.
     *
     * @param maxRecordLength the longest record that the store accepts, in bytes
     */
    void addTo(Transaction transaction, WatchCache watchCache, int maxRecordLength) {
        if (hasAssignments) {
            FencingTokenCounter.raise(transaction, watchCache, fencingToken);
        }
        for (Shard shard : membership.shards()) {
            transaction.requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()));
        }
        for (String memberId : changedMembers) {
            Shard shard = shardsByOwner.get(memberId);
            trimToRecordLimit(shard, maxRecordLength);
            if (shard.equals(membership.shardOf(memberId))) {
                continue;
            }
            transaction
                    .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                    .put(shard.storeKey(), shard.encode(), membership.member(memberId).leaseId());
        }
    }

    /**
     * Revokes machines that this update assigned, the last one first, until the record is short
     * enough.
     */
    private void trimToRecordLimit(Shard shard, int maxRecordLength) {
        List<String> assignedHosts = new ArrayList<>(shard.fencingTokensByHost().keySet());
        assignedHosts.removeIf(host -> shard.fencingTokensByHost().get(host) != fencingToken);
        while (shard.encode().toString().length() > maxRecordLength && !assignedHosts.isEmpty()) {
            String host = assignedHosts.remove(assignedHosts.size() - 1);
            LOG.info(
                    "machine {} stays unassigned: the shard of {} would exceed the record size"
                            + " limit",
                    host,
                    shard.ownerId());
            shard.fencingTokensByHost().remove(host);
        }
    }
}
