package io.quincelead.cloud;

import io.quincelead.leader.Leader;
import io.quincelead.state.Mirror;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;

/** The leader's changes of what it rents and returns, one at a time. */
final class Changes {
    private final StoreClient store;
    private final Mirror mirror;
    private final Leader leader;
    private boolean writing;

    Changes(StoreClient store, Mirror mirror, Leader leader) {
        this.store = store;
        this.mirror = mirror;
        this.leader = leader;
    }

    /** Whether another change has to wait: one is on its way, or one without an answer may still land. */
    boolean writing() {
        return writing || !leader.settled();
    }

    void commit(Txn txn, Runnable done) {
        writing = true;
        store.commit(txn, outcome -> {
            writing = false;
            leader.heard(txn, outcome);
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
                done.run();
            }
        });
    }
}
