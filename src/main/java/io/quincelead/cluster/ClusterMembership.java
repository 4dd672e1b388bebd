package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who is alive, who leads and who holds which machines under which terms, as mirrored from the
 * store.
 */
public final class ClusterMembership {
    /** A live controller. */
    public record Member(String memberId, String address, long incarnation, long leaseId) {}

    /** The leadership, fixed to one incarnation of a controller. */
    public record LeaderRecord(String memberId, long incarnation, long fencingToken) {
        public ObjectNode encode() {
            return WireFormat.newMap()
                    .put("m", memberId)
                    .put("i", incarnation)
                    .put("t", fencingToken);
        }
    }

    /** What a team may use: CPUs and GPUs. */
    public record QuotaShare(double cpus, double gpus) {
        public static final QuotaShare NONE = new QuotaShare(0, 0);

        /**
         * What is left when tasks on record move to another controller with their job: their use
         * moves out with them.
         */
        public QuotaShare minusTasks(int taskCount, double cpusPerTask, double gpusPerTask) {
            return new QuotaShare(
                    Math.max(0, cpus - taskCount * cpusPerTask),
                    Math.max(0, gpus - taskCount * gpusPerTask));
        }
    }

    /**
     * A block: the machines leased to a controller, each with its term (the token), and its share
     * of the teams' limits.
     */
    public record Shard(
            String ownerId,
            Map<String, Long> fencingTokensByHost,
            Map<String, QuotaShare> quotaShares) {
        public QuotaShare quotaShare(String team) {
            return quotaShares.getOrDefault(team, QuotaShare.NONE);
        }

        public Shard copy() {
            return new Shard(
                    ownerId,
                    new LinkedHashMap<>(fencingTokensByHost),
                    new LinkedHashMap<>(quotaShares));
        }

        public String storeKey() {
            return StoreKeys.SHARD_PREFIX + ownerId;
        }

        private static String commonPrefix(String left, String right) {
            int length = 0;
            while (length < Math.min(left.length(), right.length())
                    && left.charAt(length) == right.charAt(length)) {
                length++;
            }
            return left.substring(0, length);
        }

        /**
         * Machines by term, names without their common prefix: a controller alone may hold every
         * machine in one record.
         */
        public ObjectNode encode() {
            ObjectNode node = WireFormat.newMap();
            String prefix =
                    fencingTokensByHost.keySet().stream().reduce(Shard::commonPrefix).orElse("");
            node.put("p", prefix);
            ObjectNode hostsByToken = node.putObject("ms");
            fencingTokensByHost.forEach(
                    (host, token) ->
                            hostsByToken
                                    .withArray("/" + token)
                                    .add(host.substring(prefix.length())));
            ObjectNode quotaShareNode = node.putObject("al");
            quotaShares.forEach(
                    (team, share) -> quotaShareNode.putArray(team).add(share.cpus).add(share.gpus));
            return node;
        }
    }

    private final String localMemberId;
    private final Map<String, Member> membersById = new TreeMap<>();
    private final Map<String, Shard> shardsByOwner = new TreeMap<>();
    private final Map<String, String> ownerByHost = new HashMap<>();
    private final List<Runnable> shardListeners = new ArrayList<>();
    private LeaderRecord leaderRecord;
    private long latestFencingToken;
    private long shardVersion;

    public ClusterMembership(Settings settings, WatchCache mirror) {
        this.localMemberId = settings.memberId();
        mirror.addPrefixListener(
                StoreKeys.MEMBER_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        String member = key.substring(StoreKeys.MEMBER_PREFIX.length());
                        membersById.put(
                                member,
                                new Member(
                                        member,
                                        v.path("a").asText(),
                                        v.path("i").asLong(),
                                        v.path("g").asLong()));
                    }

                    @Override
                    public void onRemove(String key) {
                        membersById.remove(key.substring(StoreKeys.MEMBER_PREFIX.length()));
                    }
                });
        mirror.addPrefixListener(
                StoreKeys.SHARD_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        String member = key.substring(StoreKeys.SHARD_PREFIX.length());
                        forgetShard(member);
                        Map<String, Long> machines = new LinkedHashMap<>();
                        String prefix = v.path("p").asText();
                        v.path("ms")
                                .fields()
                                .forEachRemaining(
                                        f ->
                                                f.getValue()
                                                        .forEach(
                                                                h ->
                                                                        machines.put(
                                                                                prefix + h.asText(),
                                                                                Long.parseLong(
                                                                                        f
                                                                                                .getKey()))));
                        Map<String, QuotaShare> allowances = new LinkedHashMap<>();
                        v.path("al")
                                .fields()
                                .forEachRemaining(
                                        f ->
                                                allowances.put(
                                                        f.getKey(),
                                                        new QuotaShare(
                                                                f.getValue().path(0).asDouble(),
                                                                f.getValue().path(1).asDouble())));
                        shardsByOwner.put(member, new Shard(member, machines, allowances));
                        machines.keySet().forEach(h -> ownerByHost.put(h, member));
                        shardListeners.forEach(Runnable::run);
                    }

                    @Override
                    public void onRemove(String key) {
                        forgetShard(key.substring(StoreKeys.SHARD_PREFIX.length()));
                        shardListeners.forEach(Runnable::run);
                    }
                });
        mirror.addPrefixListener(
                StoreKeys.LEADER,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        leaderRecord =
                                new LeaderRecord(
                                        v.path("m").asText(),
                                        v.path("i").asLong(),
                                        v.path("t").asLong());
                    }

                    @Override
                    public void onRemove(String key) {
                        leaderRecord = null;
                    }
                });
        mirror.addPrefixListener(
                StoreKeys.FENCING_TOKEN_COUNTER,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        latestFencingToken = v.path("n").asLong();
                    }

                    @Override
                    public void onRemove(String key) {
                        latestFencingToken = 0;
                    }
                });
    }

    private void forgetShard(String ownerId) {
        shardVersion++;
        Shard previous = shardsByOwner.remove(ownerId);
        if (previous != null) {
            previous.fencingTokensByHost
                    .keySet()
                    .forEach(host -> ownerByHost.remove(host, ownerId));
        }
    }

    /** Called whenever a block changes. */
    public void onShardChange(Runnable listener) {
        shardListeners.add(listener);
    }

    /** Rises with every change of a block. */
    public long shardVersion() {
        return shardVersion;
    }

    public Shard localShard() {
        return shardsByOwner.get(localMemberId);
    }

    public Shard shardOf(String ownerId) {
        return shardsByOwner.get(ownerId);
    }

    public Collection<Shard> shards() {
        return shardsByOwner.values();
    }

    public String ownerOf(String host) {
        return ownerByHost.get(host);
    }

    public Collection<Member> members() {
        return membersById.values();
    }

    public Member member(String memberId) {
        return membersById.get(memberId);
    }

    public LeaderRecord leaderRecord() {
        return leaderRecord;
    }

    public String leaderId() {
        return leaderRecord == null ? null : leaderRecord.memberId;
    }

    public long latestFencingToken() {
        return latestFencingToken;
    }
}
