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
        /** The watch delivers what it must, or the store answers nothing else either. */
        FOLLOWING,
        /** The watch lacks changes while the store answers other requests. */
        STALLED
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final List<Runnable> stallListeners = new ArrayList<>();
    private final List<Runnable> recoveryListeners = new ArrayList<>();
    private State state = State.FOLLOWING;
    private long lastProgressMillis;

    /** A revision that the watch must reach, because this process has changed a live key at it. */
    private long expectedRevision;

    /** The revision up to which the watch has delivered all changes. */
    private long reachedRevision;

    /** Whether the last watch or page of a listing failed. */
    private boolean lastAttemptFailed;

    /** Number of successive checks that found the watch behind while the store answers. */
    private int checksBehind;

    private int stallCount;

    WatchProgress(EventLoop loop, StoreClient store) {
        this.loop = loop;
        this.store = store;
        lastProgressMillis = loop.nowMillis();
        loop.runEvery(StoreConstants.WATCH_CHECK_INTERVAL_MILLIS, this::check);
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

    /** This process has changed a live key at this revision. */
    void expectRevision(long revision) {
        expectedRevision = Math.max(expectedRevision, revision);
    }

    /** All changes up to this revision were delivered, by a watch or by a complete listing. */
    void onProgress(long revision) {
        long stalledMillis = millisSinceProgress();
        lastProgressMillis = loop.nowMillis();
        reachedRevision = revision;
        lastAttemptFailed = false;
        checksBehind = 0;
        if (state == State.STALLED) {
            LOG.info("the watch makes progress again after {} ms", stalledMillis);
            transitionTo(State.FOLLOWING);
            recoveryListeners.forEach(Runnable::run);
        }
    }

    /** A watch or a page of a listing failed. */
    void onFailure() {
        lastAttemptFailed = true;
    }

    private void check() {
        boolean isBehind = lastAttemptFailed || expectedRevision > reachedRevision;
        checksBehind = isBehind && store.isAnswering() ? checksBehind + 1 : 0;
        if (state == State.FOLLOWING && checksBehind >= StoreConstants.STALLED_WATCH_CHECKS) {
            stallCount++;
            LOG.error(
                    "the watch is stalled: no progress for {} ms, while the store answers other"
                            + " requests",
                    millisSinceProgress());
            transitionTo(State.STALLED);
            stallListeners.forEach(Runnable::run);
        }
    }

    private void transitionTo(State next) {
        LOG.debug("watch progress {} -> {}", state, next);
        state = next;
    }
}
