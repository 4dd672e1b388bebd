package io.quincelead.autoscaler;

import io.quincelead.leadership.Leader;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;

/** The leader's changes of what it rents and returns, one at a time. */
final class SingleFlightCommitter {
    private final StoreClient store;
    private final WatchCache watchCache;
    private final Leader leader;
    private boolean isCommitInFlight;

    SingleFlightCommitter(StoreClient store, WatchCache watchCache, Leader leader) {
        this.store = store;
        this.watchCache = watchCache;
        this.leader = leader;
    }

    /**
     * Whether another change has to wait: one is on its way, or one without an answer may still
     * land.
     */
    boolean isBusy() {
        return isCommitInFlight || !leader.areWritesSettled();
    }

    void commit(Transaction transaction, Runnable onCommitted) {
        isCommitInFlight = true;
        store.commit(
                transaction,
                outcome -> {
                    isCommitInFlight = false;
                    leader.onOutcome(transaction, outcome);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                        onCommitted.run();
                    }
                });
    }
}
