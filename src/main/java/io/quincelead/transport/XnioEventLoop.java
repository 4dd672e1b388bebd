package io.quincelead.transport;

import io.quincelead.eventloop.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * The event loop of a real process. It is XNIO's single I/O thread, so that messages aren't passed
 * between threads.
 */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private final XnioIoThread thread;

    /** Creates the loop that runs on this thread. */
    public XnioEventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallClockMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void runAfter(long delayMillis, Runnable task) {
        Runnable loggedTask =
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        // XNIO would discard the exception. The other tasks still run.
                        LOG.error("a task of the event loop failed", e);
                    }
                };
        if (delayMillis <= 0) {
            thread.execute(loggedTask);
        } else {
            thread.executeAfter(loggedTask, delayMillis, TimeUnit.MILLISECONDS);
        }
    }
}
