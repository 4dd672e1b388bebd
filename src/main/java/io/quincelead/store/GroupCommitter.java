package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.eventloop.IndependentSteps;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Group commit for small independent transactions (submissions, cancellations, final states): those
 * pending at the same time are merged into one. If a merged transaction fails on a precondition or
 * is invalid, each of its parts is committed alone, so that one of them doesn't fail the others.
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

    /** Creates a committer with an empty queue. */
    public GroupCommitter(EventLoop loop, StoreClient store, WatchCache watchCache) {
        this.loop = loop;
        this.store = store;
        this.watchCache = watchCache;
    }

    /** Whether the queue is full, so that no further transaction should be submitted. */
    public boolean isFull() {
        return pending.size() >= StoreConstants.MAX_PENDING_COMMITS;
    }

    /**
     * Queues a transaction for commit. If the timeout expires while it is queued, its outcome is
     * {@link Transaction.Result#REJECTED}. A committed transaction is applied to the watch cache
     * before the handler is called.
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
        IndependentSteps steps = new IndependentSteps();
        rejectExpired(loop.nowMillis(), steps);
        steps.run(this::sendNextBatch);
        steps.throwFirstFailure();
    }

    private void sendNextBatch() {
        if (busy || pending.isEmpty()) {
            return;
        }
        if (!store.canAffordUrgentWrite()) {
            resumeAfterDelay();
            return;
        }
        Transaction batchTransaction = new Transaction();
        List<PendingTransaction> batch = takeBatch(batchTransaction);
        busy = true;
        store.commit(
                batchTransaction,
                outcome -> {
                    busy = false;
                    onOutcome(batchTransaction, batch, outcome);
                });
    }

    private void rejectExpired(long nowMillis, IndependentSteps steps) {
        Transaction.Outcome expired =
                new Transaction.Outcome(Transaction.Result.REJECTED, 0, Set.of());
        while (!pending.isEmpty() && pending.peekFirst().deadlineMillis < nowMillis) {
            Transaction.OutcomeHandler handler = pending.pollFirst().handler;
            steps.run(() -> handler.onOutcome(expired));
        }
    }

    /**
     * Merges the longest run of compatible transactions at the head of the queue into {@code
     * batchTransaction} and removes them from the queue.
     */
    private List<PendingTransaction> takeBatch(Transaction batchTransaction) {
        List<PendingTransaction> batch = new ArrayList<>();
        while (!pending.isEmpty() && fitsBatch(pending.peekFirst(), batch, batchTransaction)) {
            batchTransaction.merge(pending.peekFirst().transaction);
            batch.add(pending.pollFirst());
        }
        return batch;
    }

    private boolean fitsBatch(
            PendingTransaction entry,
            List<PendingTransaction> batch,
            Transaction batchTransaction) {
        return batch.isEmpty()
                || !entry.commitAlone
                        && !batch.get(0).commitAlone
                        && !batchTransaction.conflictsWith(entry.transaction)
                        && !entry.transaction.conflictsWith(batchTransaction)
                        && batchTransaction.fits(
                                entry.transaction.operationCount(),
                                entry.transaction.preconditionCount(),
                                store.maxTransactionOperations());
    }

    private void onOutcome(
            Transaction batchTransaction,
            List<PendingTransaction> batch,
            Transaction.Outcome outcome) {
        if (outcome.result() == Transaction.Result.THROTTLED) {
            // Nothing was applied. The batch is retried; each of its transactions is rejected at
            // its own deadline.
            requeue(batch, false);
            resumeAfterDelay();
            return;
        }
        IndependentSteps steps = new IndependentSteps();
        if (outcome.result() == Transaction.Result.COMMITTED) {
            steps.run(() -> watchCache.applyCommitted(batchTransaction, outcome.storeRevision()));
        }
        if (batch.size() > 1 && isCausedByOnePart(outcome)) {
            requeue(batch, true);
        } else {
            batch.forEach(entry -> steps.run(() -> entry.handler.onOutcome(outcome)));
        }
        steps.run(this::commitNextBatch);
        steps.throwFirstFailure();
    }

    private static boolean isCausedByOnePart(Transaction.Outcome outcome) {
        return outcome.result() == Transaction.Result.CONFLICT
                || outcome.result() == Transaction.Result.INVALID;
    }

    /** Puts a batch back at the head of the queue in its original order. */
    private void requeue(List<PendingTransaction> batch, boolean commitAlone) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            PendingTransaction entry = batch.get(i);
            pending.addFirst(
                    new PendingTransaction(
                            entry.transaction, entry.handler, entry.deadlineMillis, commitAlone));
        }
    }
}
