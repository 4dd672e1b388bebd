package io.quincelead.autoscaler;

import io.quincelead.store.Transaction;

/**
 * Commits the autoscaler's changes of machines and provisioning requests one at a time, so that
 * each is decided from records that hold the one before.
 */
final class SingleFlightCommitter {
    private final LeaderStore leaderStore;
    private boolean isCommitInFlight;

    SingleFlightCommitter(LeaderStore leaderStore) {
        this.leaderStore = leaderStore;
    }

    /**
     * Whether another change has to wait: one is on its way, or an indeterminate write of the
     * leader may still apply.
     */
    boolean isBusy() {
        return isCommitInFlight || !leaderStore.leader().trySettleWrites();
    }

    /**
     * Commits a transaction; call it only when not {@linkplain #isBusy busy}.
     *
     * @param onCommitted run once it was committed; not run when it failed or its outcome is
     *     unknown
     */
    void commit(Transaction transaction, Runnable onCommitted) {
        isCommitInFlight = true;
        leaderStore
                .store()
                .commit(
                        transaction,
                        outcome -> {
                            isCommitInFlight = false;
                            if (leaderStore.onOutcome(transaction, outcome)) {
                                onCommitted.run();
                            }
                        });
    }

    /** Commits a transaction after which nothing is left to be done. */
    void commit(Transaction transaction) {
        commit(transaction, () -> {});
    }
}
