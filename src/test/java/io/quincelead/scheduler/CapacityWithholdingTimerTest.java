package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.eventloop.EventLoop;
import org.junit.jupiter.api.Test;

/** How long free capacity is withheld from some work in favour of other work. */
class CapacityWithholdingTimerTest {
    private long nowMillis = 1_000;

    private final CapacityWithholdingTimer timer =
            new CapacityWithholdingTimer(
                    new EventLoop() {
                        @Override
                        public long nowMillis() {
                            return nowMillis;
                        }

                        @Override
                        public long wallClockMillis() {
                            return 0;
                        }

                        @Override
                        public void runAfter(long delayMillis, Runnable task) {}
                    });

    /**
     * Runs a pass in which capacity is withheld from this many tasks; returns how many were
     * admitted.
     */
    private int pass(int waitingTasks, boolean othersWait) {
        CapacityWithholding withholding = timer.beginPass(othersWait);
        int admitted = 0;
        for (int i = 0; i < waitingTasks; i++) {
            admitted += withholding.tryAdmitTask() ? 1 : 0;
        }
        timer.endPass(withholding);
        return admitted;
    }

    @Test
    void admitsOneTaskPerPassAfterAMinute() {
        assertEquals(0, pass(5, false));
        nowMillis += 59_999;
        assertEquals(0, pass(5, false));
        nowMillis += 1;
        assertEquals(1, pass(5, false));
        assertEquals(1, pass(4, false));
    }

    @Test
    void restartsWhenNothingIsWithheld() {
        pass(1, false);
        nowMillis += 60_000;
        assertEquals(1, pass(1, false));
        assertEquals(0, pass(0, false));
        nowMillis += 60_000;
        assertEquals(0, pass(1, false));
        nowMillis += 60_000;
        assertEquals(1, pass(1, false));
    }

    @Test
    void restartsWhenWorkTheCapacityIsWithheldForWaits() {
        pass(1, false);
        nowMillis += 60_000;
        assertEquals(0, pass(1, true));
        nowMillis += 59_999;
        assertEquals(0, pass(1, false));
        nowMillis += 1;
        assertEquals(1, pass(1, false));
    }

    @Test
    void restartsWhenNoWorkWaits() {
        pass(1, false);
        nowMillis += 60_000;
        timer.reset();
        assertEquals(0, pass(1, false));
    }

    @Test
    void canNoLongerChangeOnceItsTaskIsAdmitted() {
        CapacityWithholding closed = new CapacityWithholding(false);
        assertTrue(closed.canChange());
        assertFalse(closed.tryAdmitTask());
        assertFalse(closed.canChange());
        CapacityWithholding open = new CapacityWithholding(true);
        assertTrue(open.tryAdmitTask());
        assertFalse(open.canChange());
        assertTrue(open.occurred());
    }
}
