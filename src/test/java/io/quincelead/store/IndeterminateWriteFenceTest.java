package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.Set;
import org.junit.jupiter.api.Test;

class IndeterminateWriteFenceTest {
    private static final String FENCE_KEY = "a/b/x";
    private static final Transaction.Outcome NO_RESPONSE =
            new Transaction.Outcome(Transaction.Result.INDETERMINATE, 0, Set.of());

    private final SimulatedClock clock = new SimulatedClock(1);
    private final SimulatedClock.SimulatedProcess loop = clock.newProcess();
    private final StoreClient store =
            new StoreClient(
                    loop,
                    (address, method, path, codec, body, timeoutMillis, handler) ->
                            respond(path, handler),
                    TestSettings.SINGLE_CONTROLLER);
    private final WatchCache watchCache = new WatchCache(loop, store, 400);
    private final IndeterminateWriteFence fence =
            new IndeterminateWriteFence(loop, store, watchCache, FENCE_KEY, this::rewrite);
    private Transport.ResponseHandler openWatch;
    private int rewrites;

    /**
     * Lists the fence key at revision 5 and commits its rewrite at revision 6; leaves watch
     * requests open.
     */
    private void respond(String path, Transport.ResponseHandler handler) {
        if (path.startsWith("/watch")) {
            openWatch = handler;
            return;
        }
        ObjectNode response = WireFormat.newMap().put("generation", 5);
        if (path.equals("/commit")) {
            response.put("generation", 6);
            rewrites++;
        } else {
            response.putArray("items")
                    .addObject()
                    .put("path", FENCE_KEY)
                    .put("stamp", 5)
                    .putObject("value");
        }
        clock.schedule(1, () -> handler.onResponse(200, WireFormat.CBOR.encode(response)));
    }

    private Transaction rewrite() {
        return new Transaction().requireRevision(FENCE_KEY, 5).put(FENCE_KEY, WireFormat.newMap());
    }

    @Test
    void decisionsWaitUntilTheWatchHasPassedTheRewrite() {
        watchCache.start();
        clock.runUntil(100);

        fence.onOutcome(
                new Transaction().requireRevision(FENCE_KEY, 5).remove("a/j/1"), NO_RESPONSE);

        assertFalse(fence.trySettle());
        clock.runUntil(200);
        assertEquals(1, rewrites);
        assertEquals(6, watchCache.modRevision(FENCE_KEY));
        assertFalse(fence.trySettle(), "the lost transaction may have been applied before");
        openWatch.onResponse(200, WireFormat.CBOR.encode(WireFormat.newMap().put("generation", 6)));
        assertTrue(fence.trySettle());
    }

    @Test
    void writesWithoutTheFenceKeyAreIgnored() {
        fence.onOutcome(new Transaction().requireRevision("a/j/1", 5).remove("a/j/1"), NO_RESPONSE);

        assertTrue(fence.trySettle());
        assertEquals(0, rewrites);
    }
}
