package io.quincelead.leadership;

import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;

/** The store's single monotonic counter, from which all fencing tokens are taken. */
final class FencingTokenCounter {
    private FencingTokenCounter() {}

    /**
     * Adds to the transaction a write that raises the counter to the token, with the precondition
     * that the counter has not changed since this process read it.
     */
    static Transaction raise(Transaction transaction, WatchCache watchCache, long fencingToken) {
        return transaction
                .requireRevision(
                        StoreKeys.FENCING_TOKEN_COUNTER,
                        watchCache.modRevision(StoreKeys.FENCING_TOKEN_COUNTER))
                .put(StoreKeys.FENCING_TOKEN_COUNTER, WireFormat.newMap().put("n", fencingToken));
    }
}
