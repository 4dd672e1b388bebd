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
 * The live controllers, the leader, and the shards: which controller owns which machines under
 * which fencing tokens. Follows the watch cache. Read-only: leadership and shards are changed by
 * store transactions of the components that decide on them.
 */
public final class ClusterMembership {
    /**
     * A live controller.
     *
     * @param address the address at which other controllers reach this one
     * @param incarnation distinguishes this membership from all others of the same controller
     * @param leaseId the store lease that the controller's keys are attached to
     */
    public record Member(String memberId, String address, long incarnation, long leaseId) {}

    /** The leadership record; it is bound to one incarnation of a controller. */
    public record LeaderRecord(String memberId, long incarnation, long fencingToken) {
        /** Encodes the leadership record. */
        public ObjectNode encode() {
            return MembershipCodec.encode(this);
        }
    }

    /** The CPUs and GPUs that a controller may use for a team. */
    public record QuotaShare(double cpus, double gpus) {
        /** An empty share. */
        public static final QuotaShare NONE = new QuotaShare(0, 0);

        /**
         * The remaining share after tasks on record move to another controller with their job,
         * taking their quota use with them. Never negative.
         */
        public QuotaShare minusTasks(int taskCount, double cpusPerTask, double gpusPerTask) {
            return new QuotaShare(
                    Math.max(0, cpus - taskCount * cpusPerTask),
                    Math.max(0, gpus - taskCount * gpusPerTask));
        }
    }

    /**
     * The machines leased to a controller, each with its fencing token, and the controller's shares
     * of the teams' quotas. The maps of a recorded shard must not be modified; those of a {@link
     * #copy} may be.
     */
    public record Shard(
            String ownerId,
            Map<String, Long> fencingTokensByHost,
            Map<String, QuotaShare> quotaShares) {
        /** The team's quota share; {@link QuotaShare#NONE} if the shard has none for the team. */
        public QuotaShare quotaShare(String team) {
            return quotaShares.getOrDefault(team, QuotaShare.NONE);
        }

        /** Returns a copy with its own maps, which may be modified and encoded. */
        public Shard copy() {
            return new Shard(
                    ownerId,
                    new LinkedHashMap<>(fencingTokensByHost),
                    new LinkedHashMap<>(quotaShares));
        }

        /** The store key of the shard's record. */
        public String storeKey() {
            return StoreKeys.SHARD_PREFIX + ownerId;
        }

        /** Encodes the shard's record. */
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

    /** Creates a membership that is empty until the watch cache has read the store. */
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

    /** Adds a listener that is called after every change of a shard. */
    public void onShardChange(Runnable listener) {
        shards.onChange(listener);
    }

    /** Increases with every change of a shard. */
    public long shardVersion() {
        return shards.version();
    }

    /** This controller's shard; null if it has none or its latest record can't be read. */
    public Shard localShard() {
        return shards.getIfReadable(localMemberId);
    }

    /** The controller's shard, in the latest version that could be read; null if it has none. */
    public Shard shardOf(String ownerId) {
        return shards.get(ownerId);
    }

    /** All shards by the owner's member id; a live, unmodifiable view. */
    public Collection<Shard> shards() {
        return shards.all();
    }

    /** The member id of the controller whose shard contains the machine; null if none. */
    public String ownerOf(String host) {
        return shards.ownerOf(host);
    }

    /** All live controllers by member id; a live, unmodifiable view. */
    public Collection<Member> members() {
        return membersView;
    }

    /** The controller's membership; null if it is not alive. */
    public Member member(String memberId) {
        return membersById.get(memberId);
    }

    /** The leadership record; null if there is no leader. */
    public LeaderRecord leaderRecord() {
        return leaderRecord;
    }

    /** The member id of the leader; null if there is no leader. */
    public String leaderId() {
        return leaderRecord == null ? null : leaderRecord.memberId;
    }

    /** The highest fencing token issued so far by the monotonic counter; 0: none. */
    public long latestFencingToken() {
        return latestFencingToken;
    }
}
