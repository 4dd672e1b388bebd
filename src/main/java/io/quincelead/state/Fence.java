package io.quincelead.state;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Settles changes that got no answer. Such a change may be carried out seconds later, after newer ones of the same process, and
 * its guards speak only of the records it was about: two changes that each use up the same allowance, or each choose a zone for
 * parts of one job, may both land. So all that one office decides is guarded by one key of its own (a controller's block, the
 * leader's key); after an outcome that isn't known the office decides nothing more until that key's record has been rewritten,
 * so that the lost change can't land any more, and the watch has been past the rewriting, so that what it did before is known.
 */
public final class Fence {
    private static final Logger LOG = LoggerFactory.getLogger(Fence.class);

    /** States of the office's changes; {@link #become} is the one function that changes them. */
    private enum Phase {
        /** Every change has an outcome. */
        CLEAR,
        /** Some change may still land. */
        IN_DOUBT,
        /** The key's record is being rewritten. */
        REWRITING
    }

    private final Loop loop;
    private final StoreClient store;
    private final Mirror mirror;
    private final String key;
    private final Supplier<Txn> rewrite;
    private final List<Txn> doubted = new ArrayList<>();
    private Phase phase = Phase.CLEAR;
    private long nextTry;

    /** {@code rewrite}: puts the office's {@code key} again as it is, guarded by its stamp; null where the key is gone. */
    public Fence(Loop loop, StoreClient store, Mirror mirror, String key, Supplier<Txn> rewrite) {
        this.loop = loop;
        this.store = store;
        this.mirror = mirror;
        this.key = key;
        this.rewrite = rewrite;
    }

    private void become(Phase next) {
        if (phase != next) {
            LOG.debug("changes without an answer: {} -> {}", phase, next);
            phase = next;
        }
    }

    /** Takes the outcome of a change: one that isn't known is settled before the next decision. What doesn't bear the key decided nothing. */
    public void heard(Txn txn, Txn.Outcome outcome) {
        if (outcome.result() == Txn.Result.UNKNOWN && txn.bears(key)) {
            doubted.add(txn);
            if (phase == Phase.CLEAR) {
                become(Phase.IN_DOUBT);
            }
        }
    }

    /** Whether the office may decide: nothing of what it sent can land any more, and all that landed is known. */
    public boolean clear() {
        doubted.removeIf(t -> t.settled(mirror));
        if (doubted.isEmpty()) {
            if (phase == Phase.IN_DOUBT) {
                become(Phase.CLEAR);
            }
            return true;
        }
        if (phase == Phase.IN_DOUBT && loop.now() >= nextTry) {
            rewrite();
        }
        return false;
    }

    private void rewrite() {
        Txn txn = rewrite.get();
        nextTry = loop.now() + Constants.RETRY_MS;
        if (txn == null || !store.urgentAffordable()) {
            return;
        }
        become(Phase.REWRITING);
        store.commit(txn, outcome -> {
            become(Phase.IN_DOUBT);
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
            }
        });
    }
}
