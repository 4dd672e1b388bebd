package io.quincelead.scheduler;

import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;

/**
 * Bounds how long work is held back from free capacity that is left to others. After that time each
 * pass lets in one task until nothing is held back any more, and the time begins anew: so the
 * capacity is there again for the others when those tasks end. A task that is served elsewhere now
 * and then doesn't restart the time.
 */
final class CapacityWithholdingTimer {
    private static final long NOT_HELD_BACK = -1;

    private final EventLoop loop;
    private long heldBackSinceMillis = NOT_HELD_BACK;

    CapacityWithholdingTimer(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * For a pass that begins now.
     *
     * @param othersWait whether those wait now for whom the capacity is left: the time begins anew
     */
    CapacityWithholding beginPass(boolean othersWait) {
        if (othersWait) {
            reset();
        }
        return new CapacityWithholding(
                heldBackSinceMillis != NOT_HELD_BACK
                        && loop.nowMillis() - heldBackSinceMillis
                                >= SchedulerConstants.STARVING_AFTER_MILLIS);
    }

    /** That pass, over all waiting work, has ended. */
    void endPass(CapacityWithholding holdBack) {
        if (!holdBack.occurred()) {
            reset();
        } else if (heldBackSinceMillis == NOT_HELD_BACK) {
            heldBackSinceMillis = loop.nowMillis();
        }
    }

    /** Nothing is held back. */
    void reset() {
        heldBackSinceMillis = NOT_HELD_BACK;
    }
}
