package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Group commit for small independent changes (submissions, cancellations, final states): those that
 * wait together share a transaction. When a shared one fails on a precondition, each is committed
 * alone, so that one conflict doesn't fail the others.
 */
public final class GroupCommitter {
    private final EventLoop loop;
    private final StoreClient store;
    private final WatchCache watchCache;
    private final ArrayDeque<PendingTransaction> pending = new ArrayDeque<>();
    private boolean busy;

    private record PendingTransaction(
            Transaction transaction,
            Transaction.OutcomeHandler handler,
            long deadlineMillis,
            boolean commitAlone) {}

    /** A committer with an empty queue. */
    public GroupCommitter(EventLoop loop, StoreClient store, WatchCache watchCache) {
        this.loop = loop;
        this.store = store;
        this.watchCache = watchCache;
    }

    /** Whether no further transaction should be submitted. */
    public boolean isFull() {
        return pending.size() >= StoreConstants.MAX_WAITING_COMMITS;
    }

    /**
     * Commits a transaction within the given time, or gives up with {@link
     * Transaction.Result#REJECTED} while it hasn't been sent. A committed change is in the watch
     * cache before the handler is called.
     */
    public void submit(
            Transaction transaction, long timeoutMillis, Transaction.OutcomeHandler handler) {
        pending.addLast(
                new PendingTransaction(
                        transaction, handler, loop.nowMillis() + timeoutMillis, false));
        loop.runAfter(0, this::commitNextBatch);
    }

    private void resumeAfterDelay() {
        busy = true;
        loop.runAfter(
                StoreConstants.THROTTLED_COMMIT_DELAY_MILLIS,
                () -> {
                    busy = false;
                    commitNextBatch();
                });
    }

    private void commitNextBatch() {
        long nowMillis = loop.nowMillis();
        while (!pending.isEmpty() && pending.peekFirst().deadlineMillis < nowMillis) {
            pending.pollFirst()
                    .handler
                    .onOutcome(
                            new Transaction.Outcome(
                                    Transaction.Result.REJECTED, 0, java.util.Set.of()));
        }
        if (busy || pending.isEmpty()) {
            return;
        }
        if (!store.canAffordUrgentWrite()) {
            resumeAfterDelay();
            return;
        }
        Transaction transaction = new Transaction();
        List<PendingTransaction> batch = new ArrayList<>();
        while (!pending.isEmpty()) {
            PendingTransaction entry = pending.peekFirst();
            boolean fitsBatch =
                    batch.isEmpty()
                            || !entry.commitAlone
                                    && !batch.get(0).commitAlone
                                    && !transaction.conflictsWith(entry.transaction)
                                    && !entry.transaction.conflictsWith(transaction)
                                    && transaction.fits(
                                            entry.transaction.operationCount(),
                                            entry.transaction.preconditionCount(),
                                            store.maxTransactionOperations());
            if (!fitsBatch) {
                break;
            }
            transaction.merge(entry.transaction);
            batch.add(pending.pollFirst());
        }
        busy = true;
        store.commit(
                transaction,
                outcome -> {
                    busy = false;
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                    }
                    if (outcome.result() == Transaction.Result.THROTTLED
                            || outcome.result() == Transaction.Result.CONFLICT
                                    && batch.size() > 1) {
                        boolean retryAlone = outcome.result() == Transaction.Result.CONFLICT;
                        for (int i = batch.size() - 1; i >= 0; i--) {
                            PendingTransaction entry = batch.get(i);
                            pending.addFirst(
                                    new PendingTransaction(
                                            entry.transaction,
                                            entry.handler,
                                            entry.deadlineMillis,
                                            retryAlone));
                        }
                        if (!retryAlone) {
                            // Nothing was applied; whoever waits is told so at its deadline.
                            resumeAfterDelay();
                            return;
                        }
                    } else {
                        batch.forEach(entry -> entry.handler.onOutcome(outcome));
                    }
                    commitNextBatch();
                });
    }
}
