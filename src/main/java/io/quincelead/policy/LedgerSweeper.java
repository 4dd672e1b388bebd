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

/** Bounds the ledger's size: finds records past their retention time, one page at a time. */
final class LedgerSweeper {
    private final EventLoop loop;
    private final StoreClient store;
    private final PolicyRecords records;
    private final PolicyReconciler.Leadership leadership;
    private long sweptAtMillis = Long.MIN_VALUE / 2;

    /** The last key of the previous page; null: the next page is the first one. */
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

    /** Whether the next page should be read now. */
    boolean isDue() {
        boolean nothingToSweep = records.entries().isEmpty() && cursor == null && sweptAtMillis > 0;
        return !nothingToSweep
                && loop.nowMillis() - sweptAtMillis >= PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS;
    }

    /**
     * Reads the next page.
     *
     * @param onResult receives the transaction that removes the page's expired records, empty if
     *     there are none; null if the page couldn't be read
     */
    void findExpired(Consumer<Transaction> onResult) {
        sweptAtMillis = loop.nowMillis();
        store.list(
                StoreKeys.LEDGER_PREFIX,
                cursor,
                (status, body) -> onResult.accept(status == 200 ? removeExpired(body) : null));
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
            // There is more to remove or another page: read at the next reconcile interval.
            sweptAtMillis =
                    loop.nowMillis()
                            - PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS
                            + PolicyConstants.RECONCILE_INTERVAL_MILLIS;
        }
        return txn;
    }
}
