package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shards on record and the owner of each machine; follows the watch cache. */
final class ShardTable {
    private static final Logger LOG = LoggerFactory.getLogger(ShardTable.class);
    private final Map<String, Shard> shardsByOwner = new TreeMap<>();
    private final Collection<Shard> shardsView =
            Collections.unmodifiableCollection(shardsByOwner.values());
    private final Map<String, String> ownerByHost = new HashMap<>();

    /**
     * Owners whose latest shard record can't be read. They must not make decisions based on the
     * previous one.
     */
    private final Set<String> unreadableOwners = new HashSet<>();

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
                        removeShard(key.substring(StoreKeys.SHARD_PREFIX.length()));
                        changeListeners.forEach(Runnable::run);
                    }
                });
    }

    /**
     * Applies a shard record. If it can't be read, the previous version stays: the machines still
     * have an owner and the quota shares are still granted, so neither may be granted again.
     */
    private void put(String ownerId, JsonNode value) {
        Shard shard;
        try {
            shard = MembershipCodec.decodeShard(ownerId, value);
        } catch (MalformedRecordException e) {
            LOG.error("the shard of {} can't be read; keeping its previous version", ownerId, e);
            version++;
            unreadableOwners.add(ownerId);
            changeListeners.forEach(Runnable::run);
            return;
        }
        removeShard(ownerId);
        shardsByOwner.put(ownerId, shard);
        shard.fencingTokensByHost().keySet().forEach(host -> ownerByHost.put(host, ownerId));
        changeListeners.forEach(Runnable::run);
    }

    private void removeShard(String ownerId) {
        version++;
        unreadableOwners.remove(ownerId);
        Shard previous = shardsByOwner.remove(ownerId);
        if (previous != null) {
            // A machine that another shard already lists stays with that shard's owner.
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

    /** The owner's shard; null if it has none or its latest record can't be read. */
    Shard getIfReadable(String ownerId) {
        return unreadableOwners.contains(ownerId) ? null : shardsByOwner.get(ownerId);
    }

    Collection<Shard> all() {
        return shardsView;
    }

    String ownerOf(String host) {
        return ownerByHost.get(host);
    }
}
