package io.quincelead.state;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
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
    private final Mirror mirror;
    private final ArrayDeque<Entry> waiting = new ArrayDeque<>();
    private boolean busy;

    private record Entry(Txn txn, Txn.Done done, long deadline, boolean alone) { }

    public Committer(Loop loop, StoreClient store, Mirror mirror) {
        this.loop = loop;
        this.store = store;
        this.mirror = mirror;
    }

    public boolean full() {
        return waiting.size() >= Constants.MAX_WAITING_COMMITS;
    }

    /** Commits within the given time or refuses; a confirmed change is in the mirror before {@code done} hears of it. */
    public void submit(Txn txn, long patienceMs, Txn.Done done) {
        waiting.addLast(new Entry(txn, done, loop.now() + patienceMs, false));
        loop.after(0, this::pump);
    }

    private void pause() {
        busy = true;
        loop.after(Constants.BUSY_PAUSE_MS, () -> {
            busy = false;
            pump();
        });
    }

    private void pump() {
        long now = loop.now();
        while (!waiting.isEmpty() && waiting.peekFirst().deadline < now) {
            waiting.pollFirst().done.got(new Txn.Outcome(Txn.Result.REFUSED, 0, java.util.Set.of()));
        }
        if (busy || waiting.isEmpty()) {
            return;
        }
        if (!store.urgentAffordable()) {
            pause();
            return;
        }
        Txn txn = new Txn();
        List<Entry> batch = new ArrayList<>();
        while (!waiting.isEmpty()) {
            Entry e = waiting.peekFirst();
            boolean fits = batch.isEmpty() || !e.alone && !batch.get(0).alone && !txn.touches(e.txn) && !e.txn.touches(txn)
                    && txn.fits(e.txn.writes(), e.txn.guardCount(), store.txnOps());
            if (!fits) {
                break;
            }
            txn.merge(e.txn);
            batch.add(waiting.pollFirst());
        }
        busy = true;
        store.commit(txn, outcome -> {
            busy = false;
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
            }
            if (outcome.result() == Txn.Result.BUSY || outcome.result() == Txn.Result.CONFLICT && batch.size() > 1) {
                boolean alone = outcome.result() == Txn.Result.CONFLICT;
                for (int i = batch.size() - 1; i >= 0; i--) {
                    Entry e = batch.get(i);
                    waiting.addFirst(new Entry(e.txn, e.done, e.deadline, alone));
                }
                if (!alone) {
                    // Nothing happened; whoever waits is told so at the end of its patience.
                    pause();
                    return;
                }
            } else {
                batch.forEach(e -> e.done.got(outcome));
            }
            pump();
        });
    }
}
