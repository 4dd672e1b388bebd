package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

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
        rejectExpired(loop.nowMillis());
        if (busy || pending.isEmpty()) {
            return;
        }
        if (!store.canAffordUrgentWrite()) {
            resumeAfterDelay();
            return;
        }
        Transaction shared = new Transaction();
        List<PendingTransaction> batch = takeBatch(shared);
        busy = true;
        store.commit(
                shared,
                outcome -> {
                    busy = false;
                    onOutcome(shared, batch, outcome);
                });
    }

    private void rejectExpired(long nowMillis) {
        while (!pending.isEmpty() && pending.peekFirst().deadlineMillis < nowMillis) {
            pending.pollFirst()
                    .handler
                    .onOutcome(new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of()));
        }
    }

    /** Moves the longest run of transactions that fit together from the queue to {@code shared}. */
    private List<PendingTransaction> takeBatch(Transaction shared) {
        List<PendingTransaction> batch = new ArrayList<>();
        while (!pending.isEmpty() && fitsBatch(pending.peekFirst(), batch, shared)) {
            shared.merge(pending.peekFirst().transaction);
            batch.add(pending.pollFirst());
        }
        return batch;
    }

    private boolean fitsBatch(
            PendingTransaction entry, List<PendingTransaction> batch, Transaction shared) {
        return batch.isEmpty()
                || !entry.commitAlone
                        && !batch.get(0).commitAlone
                        && !shared.conflictsWith(entry.transaction)
                        && !entry.transaction.conflictsWith(shared)
                        && shared.fits(
                                entry.transaction.operationCount(),
                                entry.transaction.preconditionCount(),
                                store.maxTransactionOperations());
    }

    private void onOutcome(
            Transaction shared, List<PendingTransaction> batch, Transaction.Outcome outcome) {
        if (outcome.result() == Transaction.Result.COMMITTED) {
            watchCache.applyCommitted(shared, outcome.storeRevision());
        }
        if (outcome.result() == Transaction.Result.THROTTLED) {
            // Nothing was applied; whoever waits is told so at its deadline.
            requeue(batch, false);
            resumeAfterDelay();
            return;
        }
        if (outcome.result() == Transaction.Result.CONFLICT && batch.size() > 1) {
            requeue(batch, true);
        } else {
            batch.forEach(entry -> entry.handler.onOutcome(outcome));
        }
        commitNextBatch();
    }

    /** Puts a batch back to the head of the queue, in its order. */
    private void requeue(List<PendingTransaction> batch, boolean commitAlone) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            PendingTransaction entry = batch.get(i);
            pending.addFirst(
                    new PendingTransaction(
                            entry.transaction, entry.handler, entry.deadlineMillis, commitAlone));
        }
    }
}
