package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The shards on record, as the watch cache has them, and the owner of each machine. */
final class ShardTable {
    private final Map<String, Shard> shardsByOwner = new TreeMap<>();
    private final Collection<Shard> shardsView =
            Collections.unmodifiableCollection(shardsByOwner.values());
    private final Map<String, String> ownerByHost = new HashMap<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private long version;

    ShardTable(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.SHARD_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        put(key.substring(StoreKeys.SHARD_PREFIX.length()), value);
                    }

                    @Override
                    public void onRemove(String key) {
                        forget(key.substring(StoreKeys.SHARD_PREFIX.length()));
                        changeListeners.forEach(Runnable::run);
                    }
                });
    }

    private void put(String ownerId, JsonNode value) {
        forget(ownerId);
        Shard shard = MembershipCodec.decodeShard(ownerId, value);
        shardsByOwner.put(ownerId, shard);
        shard.fencingTokensByHost().keySet().forEach(host -> ownerByHost.put(host, ownerId));
        changeListeners.forEach(Runnable::run);
    }

    private void forget(String ownerId) {
        version++;
        Shard previous = shardsByOwner.remove(ownerId);
        if (previous != null) {
            // Another shard that already names the machine stays its owner.
            previous.fencingTokensByHost()
                    .keySet()
                    .forEach(host -> ownerByHost.remove(host, ownerId));
        }
    }

    void onChange(Runnable listener) {
        changeListeners.add(listener);
    }

    long version() {
        return version;
    }

    Shard get(String ownerId) {
        return shardsByOwner.get(ownerId);
    }

    Collection<Shard> all() {
        return shardsView;
    }

    String ownerOf(String host) {
        return ownerByHost.get(host);
    }
}
