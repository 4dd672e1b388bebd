package io.quincelead.autoscaler;

import io.quincelead.leadership.Leader;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;

/**
 * The leader's way to the store: transactions under the precondition that it still leads, and the
 * account of their outcomes. None of the parts may be null.
 *
 * @param leader says whether this controller leads and whether its writes have outcomes
 * @param membershipLease this process's lease, with its incarnation
 * @param store the store's client, with its limits
 * @param watchCache the records and their revisions, as far as the watch has brought them
 */
public record LeaderStore(
        Leader leader, MembershipLease membershipLease, StoreClient store, WatchCache watchCache) {

    /** A transaction that can only be carried out while this controller leads. */
    Transaction newTransaction() {
        return leader.newTransaction();
    }

    /** Whether this many more operations and preconditions fit into the transaction. */
    boolean fits(Transaction transaction, int moreOperations, int morePreconditions) {
        return transaction.fits(
                moreOperations, morePreconditions, store.maxTransactionOperations());
    }

    /** Adds the precondition that the record is still the one that the decision was made from. */
    Transaction requireUnchanged(Transaction transaction, String storeKey) {
        return transaction.requireRevision(storeKey, watchCache.modRevision(storeKey));
    }

    /**
     * Takes in the outcome of a transaction made by {@link #newTransaction}; what was committed is
     * seen in the watch cache at once.
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
