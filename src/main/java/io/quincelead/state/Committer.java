package io.quincelead.state;

import io.quincelead.base.Loop;
import io.quincelead.config.constants.StoreConstants;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Group commit for small independent changes (submissions, cancellations, finals): those that wait together share a
 * transaction. When a shared one fails on a guard, each is tried alone, so that one conflict doesn't fail the others.
 */
public final class Committer {
    private final Loop loop;
    private final StoreClient store;
    private final Mirror watchCache;
    private final ArrayDeque<Entry> pending = new ArrayDeque<>();
    private boolean busy;

    private record Entry(Txn transaction, Txn.Done handler, long deadlineMillis, boolean commitAlone) { }

    public Committer(Loop loop, StoreClient store, Mirror watchCache) {
        this.loop = loop;
        this.store = store;
        this.watchCache = watchCache;
    }

    public boolean isFull() {
        return pending.size() >= StoreConstants.MAX_WAITING_COMMITS;
    }

    /** Commits within the given time or refuses; a confirmed change is in the mirror before {@code done} hears of it. */
    public void submit(Txn transaction, long timeoutMillis, Txn.Done handler) {
        pending.addLast(new Entry(transaction, handler, loop.nowMillis() + timeoutMillis, false));
        loop.runAfter(0, this::commitNextBatch);
    }

    private void resumeAfterDelay() {
        busy = true;
        loop.runAfter(StoreConstants.THROTTLED_COMMIT_DELAY_MILLIS, () -> {
            busy = false;
            commitNextBatch();
        });
    }

    private void commitNextBatch() {
        long nowMillis = loop.nowMillis();
        while (!pending.isEmpty() && pending.peekFirst().deadlineMillis < nowMillis) {
            pending.pollFirst().handler.onOutcome(new Txn.Outcome(Txn.Result.REJECTED, 0, java.util.Set.of()));
        }
        if (busy || pending.isEmpty()) {
            return;
        }
        if (!store.canAffordUrgentWrite()) {
            resumeAfterDelay();
            return;
        }
        Txn transaction = new Txn();
        List<Entry> batch = new ArrayList<>();
        while (!pending.isEmpty()) {
            Entry entry = pending.peekFirst();
            boolean fitsBatch = batch.isEmpty() || !entry.commitAlone && !batch.get(0).commitAlone && !transaction.conflictsWith(entry.transaction) && !entry.transaction.conflictsWith(transaction)
                    && transaction.fits(entry.transaction.operationCount(), entry.transaction.preconditionCount(), store.maxTransactionOperations());
            if (!fitsBatch) {
                break;
            }
            transaction.merge(entry.transaction);
            batch.add(pending.pollFirst());
        }
        busy = true;
        store.commit(transaction, outcome -> {
            busy = false;
            if (outcome.result() == Txn.Result.COMMITTED) {
                watchCache.applyCommitted(transaction, outcome.storeRevision());
            }
            if (outcome.result() == Txn.Result.THROTTLED || outcome.result() == Txn.Result.CONFLICT && batch.size() > 1) {
                boolean retryAlone = outcome.result() == Txn.Result.CONFLICT;
                for (int i = batch.size() - 1; i >= 0; i--) {
                    Entry entry = batch.get(i);
                    pending.addFirst(new Entry(entry.transaction, entry.handler, entry.deadlineMillis, retryAlone));
                }
                if (!retryAlone) {
                    // Nothing happened; whoever waits is told so at the end of its patience.
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
