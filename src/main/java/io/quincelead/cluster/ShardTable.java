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

/** The shards on record, as the watch cache has them, and the owner of each machine. */
final class ShardTable {
    private static final Logger LOG = LoggerFactory.getLogger(ShardTable.class);
    private final Map<String, Shard> shardsByOwner = new TreeMap<>();
    private final Collection<Shard> shardsView =
            Collections.unmodifiableCollection(shardsByOwner.values());
    private final Map<String, String> ownerByHost = new HashMap<>();

    /** Owners whose newest record can't be read: they may decide nothing under the one before. */
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
                        forget(key.substring(StoreKeys.SHARD_PREFIX.length()));
                        changeListeners.forEach(Runnable::run);
                    }
                });
    }

    /**
     * A shard that can't be read stays as it was last read: its machines have an owner still and
     * its quota shares are granted, and neither may be granted again.
     */
    private void put(String ownerId, JsonNode value) {
        Shard shard;
        try {
            shard = MembershipCodec.decodeShard(ownerId, value);
        } catch (MalformedRecordException e) {
            LOG.error("the shard of {} can't be read; as it was it stays in force", ownerId, e);
            version++;
            unreadableOwners.add(ownerId);
            changeListeners.forEach(Runnable::run);
            return;
        }
        forget(ownerId);
        shardsByOwner.put(ownerId, shard);
        shard.fencingTokensByHost().keySet().forEach(host -> ownerByHost.put(host, ownerId));
        changeListeners.forEach(Runnable::run);
    }

    private void forget(String ownerId) {
        version++;
        unreadableOwners.remove(ownerId);
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

    /** The shard under which its owner may decide; null where its newest record can't be read. */
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
