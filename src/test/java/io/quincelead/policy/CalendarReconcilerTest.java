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
 * Guards the leader's calendar against two faults. An occurrence whose key holds no date ended each
 * pass with an exception before any other occurrence was processed, so that no verdict was given
 * any more. And the ledger keys that a leader had found to exist, one for each publication that an
 * earlier leader had closed, were kept for the lifetime of the process.
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
    void occurrenceWithoutDateIsIgnored() {
        putOccurrence("tomorrow");
        assertNull(reconciler.nextChange());
        putOccurrence("2026-12-07");
        // The readable occurrence is skipped because it has no entry.
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
