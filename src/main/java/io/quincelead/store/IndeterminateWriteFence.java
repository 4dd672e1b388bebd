package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Blocks a writer's decisions after an indeterminate write, a transaction that got no response,
 * until its outcome is known. The store may apply such a transaction seconds later, after newer
 * transactions of the same process, and its preconditions cover only the records that it concerns:
 * two transactions that each use up the same quota share, or that each choose a zone for parts of
 * one job, may both be applied. Every decision of one writer therefore has that writer's fence key
 * as a precondition (a controller's shard, or the leader's key). After an indeterminate write the
 * writer decides nothing more until two conditions hold: the fence key's record has been rewritten,
 * so that the store can't apply the outstanding transaction any more, and the watch has passed the
 * rewrite, so that the watch cache shows whether it was applied before.
 */
public final class IndeterminateWriteFence {
    private static final Logger LOG = LoggerFactory.getLogger(IndeterminateWriteFence.class);

    /**
     * States of the writer's transactions; {@link #transitionTo} is the one function that changes
     * them.
     */
    private enum Phase {
        /** The outcome of every transaction is known. */
        SETTLED,
        /** The store may still apply some transaction. */
        INDETERMINATE,
        /** The fence key's record is being rewritten. */
        REWRITING
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final WatchCache watchCache;
    private final String fenceKey;
    private final Supplier<Transaction> rewriteFactory;
    private final List<Transaction> indeterminateWrites = new ArrayList<>();
    private Phase phase = Phase.SETTLED;
    private long nextRewriteAtMillis;

    /**
     * Creates a fence without indeterminate writes.
     *
     * @param fenceKey the key that all decisions of the writer have as a precondition
     * @param rewriteFactory creates a transaction that puts the fence key's record again unchanged,
     *     with the record's mod revision as its precondition; returns null if the key doesn't exist
     */
    public IndeterminateWriteFence(
            EventLoop loop,
            StoreClient store,
            WatchCache watchCache,
            String fenceKey,
            Supplier<Transaction> rewriteFactory) {
        this.loop = loop;
        this.store = store;
        this.watchCache = watchCache;
        this.fenceKey = fenceKey;
        this.rewriteFactory = rewriteFactory;
    }

    private void transitionTo(Phase next) {
        if (phase != next) {
            LOG.debug("indeterminate writes of {}: {} -> {}", fenceKey, phase, next);
            phase = next;
        }
    }

    /**
     * Records the outcome of a transaction: an indeterminate one must be settled before the next
     * decision. A transaction without the fence key among its preconditions is no decision and is
     * ignored.
     */
    public void onOutcome(Transaction transaction, Transaction.Outcome outcome) {
        if (outcome.result() == Transaction.Result.INDETERMINATE
                && transaction.isFencedBy(fenceKey)) {
            indeterminateWrites.add(transaction);
            if (phase == Phase.SETTLED) {
                transitionTo(Phase.INDETERMINATE);
            }
        }
    }

    /**
     * Whether the writer may decide: the store can no longer apply any transaction that the writer
     * sent, and the watch cache contains all that were applied. Otherwise starts a rewrite of the
     * fence key if one is due.
     */
    public boolean trySettle() {
        indeterminateWrites.removeIf(transaction -> transaction.isSettled(watchCache));
        if (indeterminateWrites.isEmpty()) {
            if (phase == Phase.INDETERMINATE) {
                transitionTo(Phase.SETTLED);
            }
            return true;
        }
        if (phase == Phase.INDETERMINATE && loop.nowMillis() >= nextRewriteAtMillis) {
            rewriteFenceKey();
        }
        return false;
    }

    private void rewriteFenceKey() {
        Transaction transaction = rewriteFactory.get();
        nextRewriteAtMillis = loop.nowMillis() + StoreConstants.RETRY_DELAY_MILLIS;
        if (transaction == null || !store.canAffordUrgentWrite()) {
            return;
        }
        transitionTo(Phase.REWRITING);
        store.commit(
                transaction,
                outcome -> {
                    transitionTo(Phase.INDETERMINATE);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                    }
                });
    }
}
