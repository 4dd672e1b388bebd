package io.quincelead.base;

/** The one event loop that owns all state of a controller. Time and turns come from here, so tests can inject both. */
public interface Loop {
    /** Steady time in ms. */
    long now();

    /** Time of day in ms since 1970, within the platform's clock error. */
    long wall();

    /** Runs a task on the loop after a delay in ms. */
    void after(long ms, Runnable task);

    /** Repeats a task on the loop; the next run is due {@code ms} after the last has ended. */
    default void every(long ms, Runnable task) {
        after(ms, () -> {
            try {
                task.run();
            } finally {
                every(ms, task);
            }
        });
    }
}
