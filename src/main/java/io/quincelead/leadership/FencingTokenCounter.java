package io.quincelead.leadership;

import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;

/** The store's one ever-rising counter that all fencing tokens come from, and its record's form. */
final class FencingTokenCounter {
    private FencingTokenCounter() {}

    /** Adds raising the counter to a token, on condition that nobody else raised it meanwhile. */
    static Transaction raise(Transaction transaction, WatchCache watchCache, long fencingToken) {
        return transaction
                .requireRevision(
                        StoreKeys.FENCING_TOKEN_COUNTER,
                        watchCache.modRevision(StoreKeys.FENCING_TOKEN_COUNTER))
                .put(StoreKeys.FENCING_TOKEN_COUNTER, WireFormat.newMap().put("n", fencingToken));
    }
}
