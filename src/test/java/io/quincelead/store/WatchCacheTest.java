package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WatchCacheTest {
    private static void addItem(
            ObjectNode page, String list, String field, String key, long modRevision) {
        page.withArray("/" + list)
                .addObject()
                .put(field, key)
                .put("stamp", modRevision)
                .putObject("value");
    }

    /**
     * A job and its chunk came while the store was read page by page: the chunk, on a late page,
     * was seen before its job, taken for what an old job left behind, and then ignored as known
     * when the watch brought both.
     */
    @Test
    void changesDuringListingAreAppliedInStoreOrder() {
        SimulatedClock sim = new SimulatedClock(1);
        SimulatedClock.SimulatedProcess loop = sim.newProcess();
        int[] requestCount = {0};
        StoreClient store =
                new StoreClient(
                        loop,
                        (address, method, path, codec, body, timeoutMs, reply) -> {
                            ObjectNode response = WireFormat.newMap();
                            switch (requestCount[0]++) {
                                case 0 ->
                                        addItem(
                                                response.put("generation", 10)
                                                        .put("truncated", true),
                                                "items",
                                                "path",
                                                "a/j/wk-000001",
                                                5);
                                case 1 -> {
                                    addItem(
                                            response.put("generation", 12).put("truncated", false),
                                            "items",
                                            "path",
                                            "a/t/wk-000001/0",
                                            6);
                                    addItem(response, "items", "path", "a/t/wk-000002/0", 12);
                                }
                                case 2 -> {
                                    addItem(
                                            response.put("generation", 12),
                                            "news",
                                            "put",
                                            "a/j/wk-000002",
                                            11);
                                    addItem(response, "news", "put", "a/t/wk-000002/0", 12);
                                }
                                default -> {
                                    return;
                                }
                            }
                            sim.schedule(
                                    1,
                                    () -> reply.onResponse(200, WireFormat.CBOR.encode(response)));
                        },
                        new Settings(
                                "worker-0",
                                "a",
                                "10.0.0.1:8080",
                                "10.0.0.1:8081",
                                Map.of(),
                                "10.2.0.2:1",
                                "10.2.0.1:1",
                                1,
                                25,
                                Map.of(),
                                List.of(),
                                new Settings.WorkerTimings(1, 10, 45, 6, 40),
                                new Settings.StoreLimits(400, 200, 8, 12),
                                new Settings.CloudLimits(4, 4),
                                new Settings.ProcessLimits(1, 256, 500)));
        WatchCache watchCache = new WatchCache(loop, store, 400);
        List<String> seenKeys = new ArrayList<>();
        watchCache.addPrefixListener(
                "a/",
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        seenKeys.add(key);
                    }

                    @Override
                    public void onRemove(String key) {}
                });
        watchCache.start();
        sim.runUntil(1_000);
        assertEquals(
                List.of("a/j/wk-000001", "a/t/wk-000001/0", "a/j/wk-000002", "a/t/wk-000002/0"),
                seenKeys);
        assertEquals(12, watchCache.storeRevision());
    }
}
