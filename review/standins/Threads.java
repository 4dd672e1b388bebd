package standins;

/** Daemon threads with small stacks. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (InterruptedException e) {
                                // ended
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        },
                        name,
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static long now() {
        return System.nanoTime() / 1_000_000L;
    }
}
