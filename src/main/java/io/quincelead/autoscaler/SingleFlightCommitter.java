package io.quincelead.autoscaler;

import io.quincelead.store.Transaction;

/**
 * Commits the autoscaler's changes of machines and provisioning requests one at a time, so that
 * each is decided from records that include the previous one.
 */
final class SingleFlightCommitter {
    private final LeaderStore leaderStore;
    private boolean isCommitInFlight;

    SingleFlightCommitter(LeaderStore leaderStore) {
        this.leaderStore = leaderStore;
    }

    /**
     * Whether another change has to wait: a commit is in flight, or an indeterminate write of the
     * leader may still be applied.
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

    /** Commits a transaction that needs no further action once committed. */
    void commit(Transaction transaction) {
        commit(transaction, () -> {});
    }
}
