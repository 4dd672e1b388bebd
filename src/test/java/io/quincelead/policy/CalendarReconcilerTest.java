package io.quincelead.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.TestSettings;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The leader's calendar. Found by reading: an occurrence whose key holds no date ended each pass
 * with an exception before any other occurrence was looked at, so that no deadline was judged any
 * more; and the keys of the ledger that a leader had run into were kept for as long as the process
 * lived, one for each publication that a predecessor had closed.
 */
class CalendarReconcilerTest {
    private final SimulatedClock clock = new SimulatedClock(1);
    private final SimulatedClock.SimulatedProcess loop = clock.newProcess();
    private final StoreClient store =
            new StoreClient(
                    loop,
                    (address, method, path, codec, body, ms, reply) -> {},
                    TestSettings.SINGLE_CONTROLLER);
    private final WatchCache watchCache = new WatchCache(loop, store, 100);
    private final PolicyRecords records = new PolicyRecords(watchCache, () -> {});
    private final CalendarReconciler reconciler =
            new CalendarReconciler(
                    loop,
                    watchCache,
                    records,
                    new LoneLeader(),
                    new CoveredJobCounter(loop, store, new JobTable(loop, watchCache), records));
    private long revision;

    private static final class LoneLeader implements PolicyReconciler.Leadership {
        @Override
        public boolean isLeader() {
            return true;
        }

        @Override
        public Transaction newTransaction() {
            return new Transaction();
        }

        @Override
        public long fencingToken() {
            return 1;
        }

        @Override
        public Collection<String> activeMemberIds() {
            return List.of();
        }
    }

    private void putOccurrence(String date) {
        ObjectNode occurrence =
                WireFormat.newMap()
                        .put("st", "planned")
                        .put("pub", loop.wallClockMillis() + 60_000)
                        .put("open", loop.wallClockMillis() + 30_000);
        occurrence.putArray("cov").addObject();
        watchCache.applyCommitted(
                new Transaction().put("a/ok/o/morning/" + date, occurrence), ++revision);
    }

    @Test
    void occurrenceWithoutDateIsLeftAlone() {
        putOccurrence("tomorrow");
        assertNull(reconciler.nextChange());
        putOccurrence("2026-12-07");
        // Its entry is gone: the occurrence that can be read is skipped.
        assertNotNull(reconciler.nextChange());
    }

    @Test
    void ledgerKeysThatNoPlanNeedsAreForgotten() {
        reconciler.onConflict(
                IntStream.range(0, 5_000).mapToObj(i -> "z/oe/morning/" + i).toList());
        clock.runUntil(PolicyConstants.OCCURRENCE_PLANNING_INTERVAL_MILLIS + 1_000);
        assertNull(reconciler.nextChange());
        assertEquals(0, reconciler.knownLedgerKeyCount());
    }
}
