package io.quincelead.store;

import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the watch cache no longer follows the store although the store answers this
 * controller's other requests: its records are out of date while its lease is renewed, so that the
 * other controllers would go on relying on it.
 */
public final class WatchProgress {
    private static final Logger LOG = LoggerFactory.getLogger(WatchProgress.class);

    /**
     * Whether the cache follows the store; {@link #transitionTo} is the one function that changes
     * it.
     */
    private enum State {
        /** The last watch or listing succeeded, or the store answers nothing else either. */
        FOLLOWING,
        /** Watches and listings fail while the store answers other requests. */
        STALLED
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final List<Runnable> stallListeners = new ArrayList<>();
    private final List<Runnable> recoveryListeners = new ArrayList<>();
    private State state = State.FOLLOWING;
    private long lastProgressMillis;
    private long answersAtLastProgress;
    private int stallCount;

    WatchProgress(EventLoop loop, StoreClient store) {
        this.loop = loop;
        this.store = store;
        recordTime();
    }

    /** Registers what to do when the watch stalls and when it makes progress again. */
    public void addListener(Runnable onStall, Runnable onRecovery) {
        stallListeners.add(onStall);
        recoveryListeners.add(onRecovery);
    }

    /** Whether the records are out of date although the store answers. */
    public boolean isStalled() {
        return state == State.STALLED;
    }

    /** How often the watch has stalled since this process started. */
    public int stallCount() {
        return stallCount;
    }

    /** Milliseconds since the watch last made progress. */
    public long millisSinceProgress() {
        return loop.nowMillis() - lastProgressMillis;
    }

    /** A watch was answered, or a listing is complete. */
    void onProgress() {
        if (state == State.STALLED) {
            LOG.info("the watch makes progress again after {} ms", millisSinceProgress());
            transitionTo(State.FOLLOWING);
            recordTime();
            recoveryListeners.forEach(Runnable::run);
        } else {
            recordTime();
        }
    }

    /** A watch or a page of a listing failed. */
    void onFailure() {
        // The failing watch itself is not among the answered requests.
        long otherAnswers = store.answeredRequests() - answersAtLastProgress;
        if (state == State.FOLLOWING
                && millisSinceProgress() >= StoreConstants.WATCH_STALL_MILLIS
                && otherAnswers >= StoreConstants.MIN_ANSWERS_DURING_STALL) {
            stallCount++;
            LOG.error(
                    "the watch is stalled: no progress for {} ms, while the store answered {}"
                            + " requests",
                    millisSinceProgress(),
                    otherAnswers);
            transitionTo(State.STALLED);
            stallListeners.forEach(Runnable::run);
        }
    }

    private void recordTime() {
        lastProgressMillis = loop.nowMillis();
        answersAtLastProgress = store.answeredRequests();
    }

    private void transitionTo(State next) {
        LOG.debug("watch progress {} -> {}", state, next);
        state = next;
    }
}
