package io.quincelead.world;

import io.quincelead.base.Loop;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulated time: one queue of events, run in order. After each event the observer looks at the world. */
public final class Sim {
    private record Event(long at, long seq, Runnable task) implements Comparable<Event> {
        @Override public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
        }
    }

    public static final long EPOCH = 1_790_000_000_000L;
    public final SplittableRandom random;
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long now;
    private long seq;
    private Runnable observer = () -> { };
    /** Time passes while a process computes: its clock moves on from one look to the next. */
    public boolean slowCode;

    public Sim(long seed) {
        random = new SplittableRandom(seed);
    }

    public void observe(Runnable after) {
        observer = after;
    }

    public long now() {
        return now;
    }

    public void after(long ms, Runnable task) {
        queue.add(new Event(now + Math.max(0, ms), seq++, task));
    }

    public void run(long until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Event e = queue.poll();
            now = e.at;
            e.task.run();
            observer.run();
        }
        now = until;
    }

    /** The loop of one process; its events die with it. */
    public final class Process implements Loop {
        private final double drift;
        private final long wallOff;
        private boolean dead;
        private boolean paused;
        private long last;
        private int asked;

        Process(double drift, long wallOff) {
            this.drift = drift;
            this.wallOff = wallOff;
        }

        @Override public long now() {
            long at = (long) (now * (1 + drift)) + 1_000;
            last = Math.max(last, slowCode ? at + Math.min(asked++, 400) : at);
            return last;
        }

        @Override public long wall() {
            return EPOCH + now + wallOff;
        }

        @Override public void after(long ms, Runnable task) {
            Sim.this.after(ms, () -> turn(task));
        }

        private void turn(Runnable task) {
            if (paused) {
                Sim.this.after(50, () -> turn(task));
            } else if (!dead) {
                asked = 0;
                task.run();
            }
        }

        public void kill() {
            dead = true;
        }

        public boolean dead() {
            return dead;
        }
    }

    public Process process() {
        return new Process(random.nextDouble() * 0.0005, random.nextLong(-25, 26));
    }
}
