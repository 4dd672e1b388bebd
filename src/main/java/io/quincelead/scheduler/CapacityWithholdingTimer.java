package io.quincelead.scheduler;

import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;

/**
 * Bounds how long free capacity is withheld from some work in favour of other work. After that time
 * each pass admits one task until nothing is withheld any more, and the time restarts: the capacity
 * is available to the favoured work again when the admitted tasks end. A task that is placed
 * elsewhere now and then doesn't restart the time.
 */
final class CapacityWithholdingTimer {
    private static final long NOT_WITHHELD = -1;

    private final EventLoop loop;
    private long withheldSinceMillis = NOT_WITHHELD;

    CapacityWithholdingTimer(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Starts a pass over the queue.
     *
     * @param othersWait whether the favoured work is waiting now, which restarts the time
     */
    CapacityWithholding beginPass(boolean othersWait) {
        if (othersWait) {
            reset();
        }
        return new CapacityWithholding(
                withheldSinceMillis != NOT_WITHHELD
                        && loop.nowMillis() - withheldSinceMillis
                                >= SchedulerConstants.MAX_UNSERVED_MILLIS);
    }

    /** Ends a pass that covered all waiting work. */
    void endPass(CapacityWithholding withholding) {
        if (!withholding.occurred()) {
            reset();
        } else if (withheldSinceMillis == NOT_WITHHELD) {
            withheldSinceMillis = loop.nowMillis();
        }
    }

    /** Resets the time, since nothing is withheld. */
    void reset() {
        withheldSinceMillis = NOT_WITHHELD;
    }
}
