package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which controllers are alive, which one leads, and which one owns which machines under which
 * fencing tokens, as the watch cache has it. Read-only: leadership and shards change by
 * transactions of those who decide about them.
 */
public final class ClusterMembership {
    /**
     * A live controller.
     *
     * @param address where the other controllers reach it
     * @param incarnation tells this membership from every other one of the same controller
     * @param leaseId the store's lease that its keys are attached to
     */
    public record Member(String memberId, String address, long incarnation, long leaseId) {}

    /** The leadership, fixed to one incarnation of a controller. */
    public record LeaderRecord(String memberId, long incarnation, long fencingToken) {
        /** The record as it is stored. */
        public ObjectNode encode() {
            return MembershipCodec.encode(this);
        }
    }

    /** What a team may use: CPUs and GPUs. */
    public record QuotaShare(double cpus, double gpus) {
        /** Nothing. */
        public static final QuotaShare NONE = new QuotaShare(0, 0);

        /**
         * What is left when tasks on record move to another controller with their job: their use
         * moves out with them. Never less than nothing.
         */
        public QuotaShare minusTasks(int taskCount, double cpusPerTask, double gpusPerTask) {
            return new QuotaShare(
                    Math.max(0, cpus - taskCount * cpusPerTask),
                    Math.max(0, gpus - taskCount * gpusPerTask));
        }
    }

    /**
     * The machines leased to a controller, each with its fencing token, and the controller's share
     * of the teams' limits. The maps of a shard on record must not be changed; a {@link #copy} may
     * be.
     */
    public record Shard(
            String ownerId,
            Map<String, Long> fencingTokensByHost,
            Map<String, QuotaShare> quotaShares) {
        /** The team's quota share; nothing where the shard names none. */
        public QuotaShare quotaShare(String team) {
            return quotaShares.getOrDefault(team, QuotaShare.NONE);
        }

        /** A copy with maps of its own, to be changed and encoded. */
        public Shard copy() {
            return new Shard(
                    ownerId,
                    new LinkedHashMap<>(fencingTokensByHost),
                    new LinkedHashMap<>(quotaShares));
        }

        /** The store key of its record. */
        public String storeKey() {
            return StoreKeys.SHARD_PREFIX + ownerId;
        }

        /** The record as it is stored. */
        public ObjectNode encode() {
            return MembershipCodec.encode(this);
        }
    }

    private final String localMemberId;
    private final ShardTable shards;
    private final Map<String, Member> membersById = new TreeMap<>();
    private final Collection<Member> membersView =
            Collections.unmodifiableCollection(membersById.values());
    private LeaderRecord leaderRecord;
    private long latestFencingToken;

    /** Empty until the watch cache has read the store. */
    public ClusterMembership(Settings settings, WatchCache watchCache) {
        this.localMemberId = settings.memberId();
        this.shards = new ShardTable(watchCache);
        listenToMembers(watchCache);
        listenToLeader(watchCache);
        listenToTokenCounter(watchCache);
    }

    private void listenToMembers(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.MEMBER_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        String memberId = key.substring(StoreKeys.MEMBER_PREFIX.length());
                        membersById.put(memberId, MembershipCodec.decodeMember(memberId, value));
                    }

                    @Override
                    public void onRemove(String key) {
                        membersById.remove(key.substring(StoreKeys.MEMBER_PREFIX.length()));
                    }
                });
    }

    private void listenToLeader(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.LEADER,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        leaderRecord = MembershipCodec.decodeLeader(value);
                    }

                    @Override
                    public void onRemove(String key) {
                        leaderRecord = null;
                    }
                });
    }

    private void listenToTokenCounter(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.FENCING_TOKEN_COUNTER,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        latestFencingToken = MembershipCodec.decodeTokenCounter(value);
                    }

                    @Override
                    public void onRemove(String key) {
                        latestFencingToken = 0;
                    }
                });
    }

    /** Has the listener called after every change of a shard. */
    public void onShardChange(Runnable listener) {
        shards.onChange(listener);
    }

    /** Rises with every change of a shard. */
    public long shardVersion() {
        return shards.version();
    }

    /** This controller's shard; null: it has none, or none that can be read. */
    public Shard localShard() {
        return shards.getIfReadable(localMemberId);
    }

    /** The controller's shard; null: it has none. */
    public Shard shardOf(String ownerId) {
        return shards.get(ownerId);
    }

    /** All shards by the owner's name; a live, unmodifiable view. */
    public Collection<Shard> shards() {
        return shards.all();
    }

    /** The controller whose shard has the machine; null: none. */
    public String ownerOf(String host) {
        return shards.ownerOf(host);
    }

    /** All live controllers by name; a live, unmodifiable view. */
    public Collection<Member> members() {
        return membersView;
    }

    /** The controller's membership; null: it is not alive. */
    public Member member(String memberId) {
        return membersById.get(memberId);
    }

    /** The leadership on record; null: nobody leads. */
    public LeaderRecord leaderRecord() {
        return leaderRecord;
    }

    /** The name of the leader; null: nobody leads. */
    public String leaderId() {
        return leaderRecord == null ? null : leaderRecord.memberId;
    }

    /** The highest fencing token given out so far, by the ever-rising counter; 0: none. */
    public long latestFencingToken() {
        return latestFencingToken;
    }
}
