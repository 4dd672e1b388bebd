package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.function.Consumer;

/** Bounds the ledger: finds records that are past their retention, a page at a time. */
final class LedgerSweeper {
    private final EventLoop loop;
    private final StoreClient store;
    private final PolicyRecords records;
    private final PolicyReconciler.Leadership leadership;
    private long sweptAtMillis = Long.MIN_VALUE / 2;

    /** The last key of the page before; null: the next page is the first one. */
    private String cursor;

    LedgerSweeper(
            EventLoop loop,
            StoreClient store,
            PolicyRecords records,
            PolicyReconciler.Leadership leadership) {
        this.loop = loop;
        this.store = store;
        this.records = records;
        this.leadership = leadership;
    }

    /** Whether a page should be looked at now. */
    boolean isDue() {
        boolean nothingToSweep = records.entries().isEmpty() && cursor == null && sweptAtMillis > 0;
        return !nothingToSweep
                && loop.nowMillis() - sweptAtMillis >= PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS;
    }

    /**
     * Looks at the next page.
     *
     * @param removal gets the transaction that removes what has expired, empty if nothing has; null
     *     if the page couldn't be read
     */
    void findExpired(Consumer<Transaction> removal) {
        sweptAtMillis = loop.nowMillis();
        store.list(
                StoreKeys.LEDGER_PREFIX,
                cursor,
                (status, body) -> removal.accept(status == 200 ? removeExpired(body) : null));
    }

    private Transaction removeExpired(ObjectNode page) {
        String oldestKeptDate =
                Instant.ofEpochMilli(loop.wallClockMillis())
                        .atZone(ZoneOffset.UTC)
                        .toLocalDate()
                        .minusDays(PolicyConstants.LEDGER_RETENTION_DAYS)
                        .toString();
        Transaction txn = leadership.newTransaction();
        String lastKey = null;
        for (JsonNode item : page.path("items")) {
            String key = item.path("path").asText();
            String date = key.substring(key.lastIndexOf('/') + 1);
            if (date.compareTo(oldestKeptDate) < 0
                    && txn.operationCount() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                txn.requireRevision(key, item.path("stamp").asLong()).remove(key);
            }
            lastKey = key;
        }
        boolean batchFull = txn.operationCount() >= PolicyConstants.MAX_RECORDS_PER_SWEEP;
        if (!batchFull) {
            cursor = page.path("truncated").asBoolean() ? lastKey : null;
        }
        if (batchFull || cursor != null) {
            // More to remove, or another page: looked at the next time.
            sweptAtMillis =
                    loop.nowMillis()
                            - PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS
                            + PolicyConstants.RECONCILE_INTERVAL_MILLIS;
        }
        return txn;
    }
}
