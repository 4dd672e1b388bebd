package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchCacheTest {
    /** Key of a record at which the listener throws an exception. */
    private static final String FAILING_KEY = "a/j/wk-000009";

    private static void addItem(
            ObjectNode page, String list, String field, String key, long modRevision) {
        page.withArray("/" + list)
                .addObject()
                .put(field, key)
                .put("stamp", modRevision)
                .putObject("value");
    }

    private final SimulatedClock clock = new SimulatedClock(1);
    private final SimulatedClock.SimulatedProcess loop = clock.newProcess();
    private final List<String> seenKeys = new ArrayList<>();

    /** Creates a cache on a store that sends these responses in order and then no more. */
    private WatchCache newCache(List<ObjectNode> responses) {
        Iterator<ObjectNode> next = responses.iterator();
        StoreClient store =
                new StoreClient(
                        loop,
                        (address, method, path, codec, body, timeoutMillis, handler) -> {
                            if (next.hasNext()) {
                                byte[] response = WireFormat.CBOR.encode(next.next());
                                clock.schedule(1, () -> handler.onResponse(200, response));
                            }
                        },
                        TestSettings.SINGLE_CONTROLLER);
        WatchCache watchCache = new WatchCache(loop, store, 400);
        watchCache.addPrefixListener(
                "a/",
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        if (key.equals(FAILING_KEY)) {
                            throw new IllegalStateException(key);
                        }
                        seenKeys.add(key);
                    }

                    @Override
                    public void onRemove(String key) {}
                });
        return watchCache;
    }

    /**
     * A job and its task state page were created while the store was being listed page by page. The
     * task state page appeared on a late page of the listing and was applied before its job; it was
     * treated as a leftover of an old job, and then ignored as already known when the watch
     * delivered both.
     */
    @Test
    void changesDuringListingAreAppliedInStoreOrder() {
        ObjectNode firstPage = WireFormat.newMap().put("generation", 10).put("truncated", true);
        addItem(firstPage, "items", "path", "a/j/wk-000001", 5);
        ObjectNode lastPage = WireFormat.newMap().put("generation", 12).put("truncated", false);
        addItem(lastPage, "items", "path", "a/t/wk-000001/0", 6);
        addItem(lastPage, "items", "path", "a/t/wk-000002/0", 12);
        ObjectNode changes = WireFormat.newMap().put("generation", 12);
        addItem(changes, "news", "put", "a/j/wk-000002", 11);
        addItem(changes, "news", "put", "a/t/wk-000002/0", 12);
        WatchCache watchCache = newCache(List.of(firstPage, lastPage, changes));

        watchCache.start();
        clock.runUntil(1_000);

        assertEquals(
                List.of("a/j/wk-000001", "a/t/wk-000001/0", "a/j/wk-000002", "a/t/wk-000002/0"),
                seenKeys);
        assertEquals(12, watchCache.storeRevision());
    }

    /** An exception in a listener dropped the rest of the response, and no watch followed. */
    @Test
    void exceptionOfAListenerNeitherDropsChangesNorEndsTheWatch() {
        ObjectNode page = WireFormat.newMap().put("generation", 10).put("truncated", false);
        page.putArray("items");
        ObjectNode changes = WireFormat.newMap().put("generation", 12);
        addItem(changes, "news", "put", FAILING_KEY, 11);
        addItem(changes, "news", "put", "a/j/wk-000002", 12);
        ObjectNode laterChanges = WireFormat.newMap().put("generation", 13);
        addItem(laterChanges, "news", "put", "a/j/wk-000003", 13);
        WatchCache watchCache = newCache(List.of(page, changes, laterChanges));

        watchCache.start();
        assertThrows(IllegalStateException.class, () -> clock.runUntil(1_000));
        clock.runUntil(1_000);

        assertEquals(List.of("a/j/wk-000002", "a/j/wk-000003"), seenKeys);
        assertEquals(13, watchCache.storeRevision());
    }
}
