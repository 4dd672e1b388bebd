package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Settles changes that got no answer. Such a change may be carried out seconds later, after newer
 * ones of the same process, and its guards speak only of the records it was about: two changes that
 * each use up the same allowance, or each choose a zone for parts of one job, may both land. So all
 * that one office decides is guarded by one key of its own (a controller's block, the leader's
 * key); after an outcome that isn't known the office decides nothing more until that key's record
 * has been rewritten, so that the lost change can't land any more, and the watch has been past the
 * rewriting, so that what it did before is known.
 */
public final class IndeterminateWriteFence {
    private static final Logger LOG = LoggerFactory.getLogger(IndeterminateWriteFence.class);

    /**
     * States of the office's changes; {@link #transitionTo} is the one function that changes them.
     */
    private enum Phase {
        /** Every change has an outcome. */
        SETTLED,
        /** Some change may still land. */
        INDETERMINATE,
        /** The key's record is being rewritten. */
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
     * {@code rewrite}: puts the office's {@code key} again as it is, guarded by its stamp; null
     * where the key is gone.
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
            LOG.debug("changes without an answer: {} -> {}", phase, next);
            phase = next;
        }
    }

    /**
     * Takes the outcome of a change: one that isn't known is settled before the next decision. What
     * doesn't bear the key decided nothing.
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
     * Whether the office may decide: nothing of what it sent can land any more, and all that landed
     * is known.
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
