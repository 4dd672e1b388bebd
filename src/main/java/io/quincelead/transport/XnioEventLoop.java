package io.quincelead.transport;

import io.quincelead.eventloop.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * The event loop of a real process: the single I/O thread of XNIO, so no message changes threads.
 */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private final XnioIoThread thread;

    /** The loop that runs on this thread. */
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
                        // XNIO would swallow it; the other tasks go on.
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
