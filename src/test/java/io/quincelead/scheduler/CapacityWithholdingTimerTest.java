package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.eventloop.EventLoop;
import org.junit.jupiter.api.Test;

/** How long work is held back from free capacity that is left to others. */
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

    /** A pass in which as many tasks as stated are held back; returns how many were let in. */
    private int pass(int heldBackTasks, boolean othersWait) {
        CapacityWithholding holdBack = timer.beginPass(othersWait);
        int admitted = 0;
        for (int i = 0; i < heldBackTasks; i++) {
            admitted += holdBack.tryAdmitTask() ? 1 : 0;
        }
        timer.endPass(holdBack);
        return admitted;
    }

    @Test
    void oneTaskAPassIsLetInAfterAMinute() {
        assertEquals(0, pass(5, false));
        nowMillis += 59_999;
        assertEquals(0, pass(5, false));
        nowMillis += 1;
        assertEquals(1, pass(5, false));
        assertEquals(1, pass(4, false));
    }

    @Test
    void timeBeginsAnewWhenNothingIsHeldBack() {
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
    void timeBeginsAnewWhenThoseWaitForWhomTheCapacityIsLeft() {
        pass(1, false);
        nowMillis += 60_000;
        assertEquals(0, pass(1, true));
        nowMillis += 59_999;
        assertEquals(0, pass(1, false));
        nowMillis += 1;
        assertEquals(1, pass(1, false));
    }

    @Test
    void timeBeginsAnewWhenNoWorkWaits() {
        pass(1, false);
        nowMillis += 60_000;
        timer.reset();
        assertEquals(0, pass(1, false));
    }

    @Test
    void furtherWorkMakesNoDifferenceOnceTheTaskIsLetIn() {
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
