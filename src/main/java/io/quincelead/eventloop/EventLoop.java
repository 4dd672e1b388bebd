package io.quincelead.eventloop;

/**
 * The one event loop that owns all state of a controller. Time and turns come from here, so tests
 * can inject both.
 */
public interface EventLoop {
    /** Steady time in ms. */
    long nowMillis();

    /** Time of day in ms since 1970, within the platform's clock error. */
    long wallClockMillis();

    /** Runs a task on the loop after a delay in ms. */
    void runAfter(long delayMillis, Runnable task);

    /** Repeats a task on the loop; the next run is due {@code ms} after the last has ended. */
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
