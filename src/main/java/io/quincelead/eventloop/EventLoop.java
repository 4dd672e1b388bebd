package io.quincelead.eventloop;

/**
 * The single event loop that owns all state of a controller. It provides the clock and runs
 * deferred tasks; simulations inject their own implementation.
 */
public interface EventLoop {
    /** Returns the monotonic time in milliseconds, from an arbitrary origin. */
    long nowMillis();

    /**
     * Returns the wall-clock time in milliseconds since 1970-01-01 UTC, within the platform's clock
     * error.
     */
    long wallClockMillis();

    /**
     * Runs a task once on the loop, {@code delayMillis} from now. With a delay of 0 or less it runs
     * as soon as possible, but after the current task.
     */
    void runAfter(long delayMillis, Runnable task);

    /**
     * Runs a task on the loop periodically, without end, even if the task throws an exception. The
     * first run is due {@code intervalMillis} from now, each further run {@code intervalMillis}
     * after the end of the previous one.
     */
    default void runEvery(long intervalMillis, Runnable task) {
        runAfter(
                intervalMillis,
                () -> {
                    try {
                        task.run();
                    } finally {
                        runEvery(intervalMillis, task);
                    }
                });
    }
}
