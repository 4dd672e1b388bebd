package io.quincelead.simulation;

import io.quincelead.eventloop.EventLoop;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulated time: one queue of events, run in order. The observer runs after each event. */
public final class SimulatedClock {
    private record ScheduledEvent(long atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(sequence, other.sequence);
        }
    }

    public static final long EPOCH_MILLIS = 1_790_000_000_000L;
    public final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
    private long nowMillis;
    private long nextSequence;
    private Runnable observer = () -> {};

    /**
     * Whether time passes while a process computes: its clock advances from one read to the next.
     */
    public boolean computationTakesTime;

    public SimulatedClock(long seed) {
        random = new SplittableRandom(seed);
    }

    public void setObserver(Runnable newObserver) {
        observer = newObserver;
    }

    public long nowMillis() {
        return nowMillis;
    }

    public void schedule(long delayMillis, Runnable task) {
        queue.add(new ScheduledEvent(nowMillis + Math.max(0, delayMillis), nextSequence++, task));
    }

    public void runUntil(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis <= untilMillis) {
            ScheduledEvent event = queue.poll();
            nowMillis = event.atMillis;
            event.action.run();
            observer.run();
        }
        nowMillis = untilMillis;
    }

    /** The event loop of one process; a killed process runs no more of its events. */
    public final class SimulatedProcess implements EventLoop {
        private final double clockDrift;
        private final long wallClockOffsetMillis;
        private boolean dead;
        private boolean paused;
        private long lastReadMillis;
        private int clockReads;

        SimulatedProcess(double clockDrift, long wallClockOffsetMillis) {
            this.clockDrift = clockDrift;
            this.wallClockOffsetMillis = wallClockOffsetMillis;
        }

        @Override
        public long nowMillis() {
            long atMillis = (long) (nowMillis * (1 + clockDrift)) + 1_000;
            lastReadMillis =
                    Math.max(
                            lastReadMillis,
                            computationTakesTime
                                    ? atMillis + Math.min(clockReads++, 400)
                                    : atMillis);
            return lastReadMillis;
        }

        @Override
        public long wallClockMillis() {
            return EPOCH_MILLIS + nowMillis + wallClockOffsetMillis;
        }

        @Override
        public void runAfter(long delayMillis, Runnable task) {
            SimulatedClock.this.schedule(delayMillis, () -> runTurn(task));
        }

        private void runTurn(Runnable task) {
            if (paused) {
                SimulatedClock.this.schedule(50, () -> runTurn(task));
            } else if (!dead) {
                clockReads = 0;
                task.run();
            }
        }

        public void kill() {
            dead = true;
        }

        public boolean isDead() {
            return dead;
        }
    }

    public SimulatedProcess newProcess() {
        return new SimulatedProcess(random.nextDouble() * 0.0005, random.nextLong(-25, 26));
    }
}
