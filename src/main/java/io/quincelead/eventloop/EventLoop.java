package io.quincelead.eventloop;

/**
 * The one event loop that owns all state of a controller: its clock and its deferred tasks.
 * Simulations inject their own.
 */
public interface EventLoop {
    /** Monotonic time in milliseconds, from an arbitrary origin. */
    long nowMillis();

    /** Wall-clock time in milliseconds since 1970-01-01 UTC, within the platform's clock error. */
    long wallClockMillis();

    /**
     * Runs a task once on the loop, {@code delayMillis} from now; 0 or less: in a later turn, as
     * soon as possible.
     */
    void runAfter(long delayMillis, Runnable task);

    /**
     * Repeats a task on the loop for ever, also after an exception of the task: the first run is
     * due {@code intervalMillis} from now, each next one that long after the end of the previous
     * one.
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
