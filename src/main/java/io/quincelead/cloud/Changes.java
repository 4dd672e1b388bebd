package io.quincelead.cloud;

import io.quincelead.leader.Leader;
import io.quincelead.state.Mirror;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;

/** The leader's changes of what it rents and returns, one at a time. */
final class Changes {
    private final StoreClient store;
    private final Mirror watchCache;
    private final Leader leader;
    private boolean isCommitInFlight;

    Changes(StoreClient store, Mirror watchCache, Leader leader) {
        this.store = store;
        this.watchCache = watchCache;
        this.leader = leader;
    }

    /** Whether another change has to wait: one is on its way, or one without an answer may still land. */
    boolean isBusy() {
        return isCommitInFlight || !leader.areWritesSettled();
    }

    void commit(Txn transaction, Runnable onCommitted) {
        isCommitInFlight = true;
        store.commit(transaction, outcome -> {
            isCommitInFlight = false;
            leader.onOutcome(transaction, outcome);
            if (outcome.result() == Txn.Result.COMMITTED) {
                watchCache.applyCommitted(transaction, outcome.storeRevision());
                onCommitted.run();
            }
        });
    }
}
