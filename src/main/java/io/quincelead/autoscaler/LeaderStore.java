package io.quincelead.autoscaler;

import io.quincelead.leadership.Leader;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;

/**
 * The leader's access to the store: transactions with the precondition that it still leads, and the
 * handling of their outcomes. No component may be null.
 *
 * @param leader tells whether this controller leads and whether one of its writes is indeterminate
 * @param membershipLease this process's lease, with its incarnation
 * @param store the store's client, with its limits
 * @param watchCache the records and their revisions, as far as the watch has delivered them
 */
public record LeaderStore(
        Leader leader, MembershipLease membershipLease, StoreClient store, WatchCache watchCache) {

    /** A new transaction that can only be committed while this controller leads. */
    Transaction newTransaction() {
        return leader.newTransaction();
    }

    /** Whether this many more operations and preconditions fit into the transaction. */
    boolean fits(Transaction transaction, int moreOperations, int morePreconditions) {
        return transaction.fits(
                moreOperations, morePreconditions, store.maxTransactionOperations());
    }

    /**
     * Adds the precondition that the record still has the mod revision that the watch cache holds,
     * the one that the decision is based on.
     */
    Transaction requireUnchanged(Transaction transaction, String storeKey) {
        return transaction.requireRevision(storeKey, watchCache.modRevision(storeKey));
    }

    /**
     * Handles the outcome of a transaction made by {@link #newTransaction}; a committed one is
     * applied to the watch cache at once.
     *
     * @return whether it was committed
     */
    boolean onOutcome(Transaction transaction, Transaction.Outcome outcome) {
        leader.onOutcome(transaction, outcome);
        if (outcome.result() != Transaction.Result.COMMITTED) {
            return false;
        }
        watchCache.applyCommitted(transaction, outcome.storeRevision());
        return true;
    }
}
