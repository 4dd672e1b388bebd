package io.quincelead.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.eventloop.IndependentSteps;
import io.quincelead.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Object2LongHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the live keys of the store with a single watch, so that changes arrive in the order of
 * the store's revisions, and passes each key's value to the listener of its prefix. This process's
 * own transactions are applied as soon as the store confirms them; an older change of the same key
 * that the watch delivers later has a lower mod revision and is ignored. An exception of a listener
 * affects no other change and doesn't end the watch.
 */
public final class WatchCache {
    private static final Logger LOG = LoggerFactory.getLogger(WatchCache.class);

    /** Receives the changes of the keys under one prefix. */
    public interface PrefixListener {
        /** The key was created or updated to this value at this mod revision. */
        void onPut(String key, JsonNode value, long modRevision);

        /** A key that {@link #onPut} reported before was removed. */
        void onRemove(String key);
    }

    /** States of the cache; {@link #transitionTo} is the one function that changes them. */
    private enum Phase {
        /** Not started. */
        EMPTY,
        /** Reading all keys page by page. */
        LISTING,
        /** Following changes through the watch. */
        WATCHING
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final Map<String, PrefixListener> prefixListeners = new LinkedHashMap<>();
    private final List<Runnable> changeListeners = new ArrayList<>();

    /** Mod revision of each existing key; 0 if a key is absent. */
    private final Object2LongHashMap<String> modRevisions = new Object2LongHashMap<>(0);

    /**
     * Revision of the last removal of each key, while the watch is still behind it; 0 if there is
     * none.
     */
    private final Object2LongHashMap<String> tombstones = new Object2LongHashMap<>(0);

    private final WatchProgress progress;
    private final long minWatchIntervalMillis;
    private Phase phase = Phase.EMPTY;
    private boolean synced;
    private long storeRevision;

    /**
     * Creates an empty cache that isn't started.
     *
     * @param requestsPerSecond the store's request limit; the watches of all controllers together
     *     use a fraction of it
     */
    public WatchCache(EventLoop loop, StoreClient store, double requestsPerSecond) {
        this.loop = loop;
        this.store = store;
        this.progress = new WatchProgress(loop, store);
        this.minWatchIntervalMillis =
                (long)
                        Math.max(
                                StoreConstants.MIN_WATCH_INTERVAL_MILLIS,
                                1000
                                        / (requestsPerSecond
                                                * StoreConstants.WATCH_REQUESTS_FRACTION));
    }

    /**
     * Registers the listener of a prefix. If several registered prefixes match a key, the one
     * registered first gets it; changes of keys without a listener are not reported. Must be called
     * before {@link #start}.
     */
    public void addPrefixListener(String prefix, PrefixListener listener) {
        prefixListeners.put(prefix, listener);
    }

    /**
     * Registers a callback to run after every batch of changes. Callbacks run in the order of
     * registration.
     */
    public void addChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /** Whether all live keys have been read at least once. */
    public boolean isSynced() {
        return synced;
    }

    /** Whether and for how long the cache hasn't followed the store. */
    public WatchProgress progress() {
        return progress;
    }

    /** The store revision up to which every change has been applied. */
    public long storeRevision() {
        return storeRevision;
    }

    /** The mod revision of a key; 0 if the key doesn't exist. */
    public long modRevision(String key) {
        return modRevisions.getValue(key);
    }

    /**
     * Whether the key certainly no longer has this mod revision, and every change up to the one
     * that superseded it has been applied to the cache.
     */
    boolean isSuperseded(String key, long modRevision) {
        long currentRevision = modRevision(key);
        return currentRevision != modRevision
                && Math.max(currentRevision, tombstones.getValue(key)) <= storeRevision;
    }

    private void transitionTo(Phase next) {
        LOG.debug("watch cache {} -> {}", phase, next);
        phase = next;
    }

    /** Reads all live keys, then follows their changes. Has no effect if already started. */
    public void start() {
        if (phase == Phase.EMPTY) {
            relist();
        }
    }

    private void relist() {
        transitionTo(Phase.LISTING);
        readPage(null, -1, new HashSet<>());
    }

    private void readPage(String afterKey, long firstPageRevision, Set<String> seenKeys) {
        store.list(
                StoreKeys.LIVE_PREFIX,
                afterKey,
                (status, body) -> {
                    if (status != 200 || !StoreCodec.isPage(body)) {
                        progress.onFailure();
                        loop.runAfter(StoreConstants.RETRY_DELAY_MILLIS, this::relist);
                        return;
                    }
                    long snapshotRevision =
                            firstPageRevision < 0
                                    ? StoreCodec.storeRevision(body)
                                    : firstPageRevision;
                    IndependentSteps steps = new IndependentSteps();
                    String lastKey = applyPage(body, afterKey, snapshotRevision, seenKeys, steps);
                    if (StoreCodec.isTruncated(body) && lastKey != null) {
                        readPage(lastKey, snapshotRevision, seenKeys);
                    } else {
                        completeListing(snapshotRevision, seenKeys, steps);
                    }
                    steps.throwFirstFailure();
                });
    }

    /**
     * Applies one page of a listing. Returns the page's last key, or {@code afterKey} if the page
     * is empty.
     */
    private String applyPage(
            ObjectNode page,
            String afterKey,
            long snapshotRevision,
            Set<String> seenKeys,
            IndependentSteps steps) {
        String lastKey = afterKey;
        for (JsonNode item : StoreCodec.items(page)) {
            lastKey = StoreCodec.key(item);
            seenKeys.add(lastKey);
            // Items newer than the first page are left to the watch, which delivers them in
            // revision order: a task state page must not be applied before its job.
            long modRevision = StoreCodec.modRevision(item);
            if (modRevision <= snapshotRevision) {
                String key = lastKey;
                steps.run(() -> applyPut(key, StoreCodec.value(item), modRevision));
            }
        }
        return lastKey;
    }

    private void completeListing(
            long snapshotRevision, Set<String> seenKeys, IndependentSteps steps) {
        for (String key : new ArrayList<>(modRevisions.keySet())) {
            if (!seenKeys.contains(key) && modRevision(key) <= snapshotRevision) {
                steps.run(() -> applyRemove(key, snapshotRevision));
            }
        }
        storeRevision = Math.max(storeRevision, snapshotRevision);
        synced = true;
        transitionTo(Phase.WATCHING);
        progress.onProgress(storeRevision);
        notifyChangeListeners(steps);
        watch();
    }

    private void watch() {
        long sentAtMillis = loop.nowMillis();
        store.watch(
                StoreKeys.LIVE_PREFIX,
                storeRevision,
                (status, body) -> {
                    if (status == 410 || status == Transport.RESPONSE_TOO_LARGE) {
                        LOG.info(
                                "the changes after revision {} can't be had in one response"
                                        + " ({}): all records are read again",
                                storeRevision,
                                status);
                        relist();
                        return;
                    }
                    if (status != 200) {
                        progress.onFailure();
                        loop.runAfter(
                                status == Transport.NO_RESPONSE
                                        ? 0
                                        : StoreConstants.RETRY_DELAY_MILLIS,
                                this::watch);
                        return;
                    }
                    IndependentSteps steps = new IndependentSteps();
                    applyChanges(body, steps);
                    progress.onProgress(storeRevision);
                    loop.runAfter(
                            Math.max(0, minWatchIntervalMillis - (loop.nowMillis() - sentAtMillis)),
                            this::watch);
                    steps.throwFirstFailure();
                });
    }

    private void applyChanges(ObjectNode body, IndependentSteps steps) {
        boolean changed = StoreCodec.decodeChanges(body, changeSink(steps));
        storeRevision = Math.max(storeRevision, StoreCodec.storeRevision(body));
        if (!tombstones.isEmpty()) {
            tombstones.entrySet().removeIf(tombstone -> tombstone.getValue() <= storeRevision);
        }
        if (changed) {
            notifyChangeListeners(steps);
        }
    }

    private StoreCodec.ChangeSink changeSink(IndependentSteps steps) {
        return new StoreCodec.ChangeSink() {
            @Override
            public void onPut(String key, JsonNode value, long modRevision) {
                steps.run(() -> applyPut(key, value, modRevision));
            }

            @Override
            public void onRemove(String key, long revision) {
                steps.run(() -> applyRemove(key, revision));
            }
        };
    }

    /**
     * Applies a transaction of this process that the store has committed.
     *
     * @param modRevision the store revision of the commit, which is the mod revision of every key
     *     that the transaction put
     */
    public void applyCommitted(Transaction transaction, long modRevision) {
        IndependentSteps steps = new IndependentSteps();
        // If the watch has passed this revision before the confirmation arrived, the keys that the
        // transaction wrote may have been changed or removed since.
        if (modRevision > storeRevision) {
            transaction
                    .operations()
                    .forEach(
                            (key, operation) ->
                                    steps.run(() -> applyOwnChange(key, operation, modRevision)));
        }
        notifyChangeListeners(steps);
        steps.throwFirstFailure();
    }

    private void applyOwnChange(String key, Transaction.Operation operation, long modRevision) {
        if (!key.startsWith(StoreKeys.LIVE_PREFIX)) {
            return;
        }
        progress.expectRevision(modRevision);
        if (operation.isRemoval()) {
            applyRemove(key, modRevision);
        } else {
            applyPut(key, operation.value(), modRevision);
        }
    }

    private void applyPut(String key, JsonNode value, long modRevision) {
        if (modRevision <= modRevision(key) || modRevision <= tombstones.getValue(key)) {
            return;
        }
        modRevisions.put(key, modRevision);
        PrefixListener listener = listenerFor(key);
        if (listener != null) {
            listener.onPut(key, value, modRevision);
        }
    }

    private void applyRemove(String key, long modRevision) {
        long knownRevision = modRevision(key);
        if (knownRevision > modRevision) {
            return;
        }
        tombstones.put(key, Math.max(modRevision, tombstones.getValue(key)));
        if (knownRevision != 0) {
            modRevisions.removeKey(key);
            PrefixListener listener = listenerFor(key);
            if (listener != null) {
                listener.onRemove(key);
            }
        }
    }

    private PrefixListener listenerFor(String key) {
        for (Map.Entry<String, PrefixListener> entry : prefixListeners.entrySet()) {
            if (key.startsWith(entry.getKey())) {
                return entry.getValue();
            }
        }
        return null;
    }

    private void notifyChangeListeners(IndependentSteps steps) {
        changeListeners.forEach(steps::run);
    }
}
