package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Settles indeterminate writes: transactions without a response. Such a transaction may be applied
 * seconds later, after newer ones of the same process, and its preconditions cover only the records
 * it was about: two transactions that each use up the same quota share, or each choose a zone for
 * parts of one job, may both be applied. So all that one writer decides has one key of its own as a
 * precondition (a controller's shard, the leader's key). After an indeterminate write the writer
 * decides nothing more until that key's record has been rewritten, so that the lost transaction
 * can't be applied any more, and the watch has passed the rewrite, so that what it did before is
 * known.
 */
public final class IndeterminateWriteFence {
    private static final Logger LOG = LoggerFactory.getLogger(IndeterminateWriteFence.class);

    /**
     * States of the writer's transactions; {@link #transitionTo} is the one function that changes
     * them.
     */
    private enum Phase {
        /** Every transaction has an outcome. */
        SETTLED,
        /** Some transaction may still be applied. */
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
     * A fence without indeterminate writes.
     *
     * @param fenceKey the writer's own key
     * @param rewriteFactory makes a transaction that puts the fence key's record again as it is, on
     *     the precondition of its mod revision; null where the key is gone
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
     * Takes the outcome of a transaction: an indeterminate one is settled before the next decision.
     * One without the fence key among its preconditions decided nothing and is ignored.
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
     * Whether the writer may decide: nothing of what it sent can be applied any more, and all that
     * was applied is in the watch cache. If not, starts a rewrite of the fence key where one is
     * due.
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
