package io.quincelead.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.net.Transport;
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
 * Keeps the live part of the store in memory by one watch, so that changes arrive in the store's own order, and
 * hands each key to the slice it belongs to. Own commits are applied as soon as they are confirmed; a key's older
 * change that the watch brings afterwards is ignored by its stamp.
 */
public final class Mirror {
    private static final Logger LOG = LoggerFactory.getLogger(Mirror.class);

    /** A slice's view of the keys under one prefix. */
    public interface View {
        void put(String key, JsonNode value, long stamp);

        void remove(String key);
    }

    /** States of the mirror; {@link #become} is the one function that changes them. */
    private enum Phase { EMPTY, LISTING, WATCHING }

    private final Loop loop;
    private final StoreClient store;
    private final Map<String, View> views = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    /** Stamps of the keys that exist, and of the last removals that the watch has not yet passed; 0: none. */
    private final Object2LongHashMap<String> stamps = new Object2LongHashMap<>(0);
    private final Object2LongHashMap<String> tombstones = new Object2LongHashMap<>(0);
    private final long watchGapMs;
    private Phase phase = Phase.EMPTY;
    private boolean synced;
    private long generation;

    public Mirror(Loop loop, StoreClient store, double rps) {
        this.loop = loop;
        this.store = store;
        this.watchGapMs = (long) Math.max(Constants.WATCH_LEAST_MS, 1000 / (rps * Constants.WATCH_SHARE));
    }

    public void view(String prefix, View view) {
        views.put(prefix, view);
    }

    /** Called after every batch of changes. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Whether all keys have been read at least once. */
    public boolean synced() {
        return synced;
    }

    /** Every change up to this generation has been applied. */
    public long generation() {
        return generation;
    }

    public long stamp(String key) {
        return stamps.getValue(key);
    }

    /** Whether the key surely has this stamp no longer, and all that happened up to its next change has been applied. */
    boolean past(String key, long stamp) {
        long now = stamp(key);
        return now != stamp && Math.max(now, tombstones.getValue(key)) <= generation;
    }

    private void become(Phase next) {
        LOG.debug("mirror {} -> {}", phase, next);
        phase = next;
    }

    public void start() {
        if (phase == Phase.EMPTY) {
            relist();
        }
    }

    private void relist() {
        become(Phase.LISTING);
        page(null, -1, new HashSet<>());
    }

    private void page(String after, long firstGeneration, Set<String> seen) {
        store.list(Keys.LIVE, after, (status, body) -> {
            if (status != 200 || !body.path("items").isArray()) {
                loop.after(Constants.RETRY_MS, this::relist);
                return;
            }
            long from = firstGeneration < 0 ? body.path("generation").asLong() : firstGeneration;
            String last = after;
            for (JsonNode item : body.path("items")) {
                last = item.path("path").asText();
                seen.add(last);
                // What is newer than the first page comes by the watch, in the store's order: a job's chunk must not come before the job.
                if (item.path("stamp").asLong() <= from) {
                    put(last, item.path("value"), item.path("stamp").asLong());
                }
            }
            if (body.path("truncated").asBoolean() && last != null) {
                page(last, from, seen);
                return;
            }
            for (String key : new ArrayList<>(stamps.keySet())) {
                if (!seen.contains(key) && stamp(key) <= from) {
                    remove(key, from);
                }
            }
            generation = Math.max(generation, from);
            synced = true;
            become(Phase.WATCHING);
            changed();
            watch();
        });
    }

    private void watch() {
        long sent = loop.now();
        store.watch(Keys.LIVE, generation, (status, body) -> {
            if (status == 410) {
                relist();
                return;
            }
            if (status != 200) {
                loop.after(status == Transport.NO_ANSWER ? 0 : Constants.RETRY_MS, this::watch);
                return;
            }
            JsonNode news = body.path("news");
            for (JsonNode n : news) {
                long stamp = n.path("stamp").asLong();
                if (n.has("put")) {
                    put(n.path("put").asText(), n.path("value"), stamp);
                } else if (n.has("remove")) {
                    remove(n.path("remove").asText(), stamp);
                }
            }
            generation = Math.max(generation, body.path("generation").asLong());
            if (!tombstones.isEmpty()) {
                tombstones.entrySet().removeIf(e -> e.getValue() <= generation);
            }
            if (!news.isEmpty()) {
                changed();
            }
            loop.after(Math.max(0, watchGapMs - (loop.now() - sent)), this::watch);
        });
    }

    /** Applies a transaction of our own that the store has confirmed. */
    public void applied(Txn txn, long stamp) {
        if (stamp <= generation) {
            // The confirmation was slow and the watch has been past it: what it wrote may be changed or removed by now.
            changed();
            return;
        }
        for (Map.Entry<String, ObjectNode> op : txn.ops().entrySet()) {
            if (!op.getKey().startsWith(Keys.LIVE)) {
                continue;
            }
            JsonNode value = op.getValue().get("value");
            if (value == null) {
                remove(op.getKey(), stamp);
            } else {
                put(op.getKey(), value, stamp);
            }
        }
        changed();
    }

    private void put(String key, JsonNode value, long stamp) {
        if (stamp <= stamp(key) || stamp <= tombstones.getValue(key)) {
            return;
        }
        stamps.put(key, stamp);
        View view = viewOf(key);
        if (view != null) {
            view.put(key, value, stamp);
        }
    }

    private void remove(String key, long stamp) {
        long known = stamp(key);
        if (known > stamp) {
            return;
        }
        tombstones.put(key, Math.max(stamp, tombstones.getValue(key)));
        if (known != 0) {
            stamps.removeKey(key);
            View view = viewOf(key);
            if (view != null) {
                view.remove(key);
            }
        }
    }

    private View viewOf(String key) {
        for (Map.Entry<String, View> e : views.entrySet()) {
            if (key.startsWith(e.getKey())) {
                return e.getValue();
            }
        }
        return null;
    }

    private void changed() {
        listeners.forEach(Runnable::run);
    }
}
