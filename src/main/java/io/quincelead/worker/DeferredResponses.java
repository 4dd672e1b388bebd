package io.quincelead.worker;

import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.IncomingRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends deferred heartbeat responses at their deadlines. Deadlines are rounded up to multiples of a
 * fixed interval, so that hundreds of responses share a few event loop tasks.
 */
final class DeferredResponses {
    private record Deferred(ShardWorker worker, IncomingRequest request) {}

    private final EventLoop loop;
    private final Consumer<ShardWorker> sender;
    private final Map<Long, List<Deferred>> batchesByLoopMillis = new HashMap<>();

    DeferredResponses(EventLoop loop, Consumer<ShardWorker> sender) {
        this.loop = loop;
        this.sender = sender;
    }

    /**
     * Schedules the response to the request for the worker's deadline. Nothing is sent then if the
     * request has been answered earlier.
     */
    void schedule(ShardWorker worker, IncomingRequest request) {
        long batchMillis = WorkerConstants.DEFERRED_RESPONSE_BATCH_MILLIS;
        long respondAtMillis =
                (worker.deferredUntilMillis + batchMillis - 1) / batchMillis * batchMillis;
        List<Deferred> batch = batchesByLoopMillis.get(respondAtMillis);
        if (batch == null) {
            batch = new ArrayList<>();
            batchesByLoopMillis.put(respondAtMillis, batch);
            loop.runAfter(respondAtMillis - loop.nowMillis(), () -> sendBatch(respondAtMillis));
        }
        batch.add(new Deferred(worker, request));
    }

    private void sendBatch(long respondAtMillis) {
        for (Deferred deferred : batchesByLoopMillis.remove(respondAtMillis)) {
            if (deferred.worker.deferredRequest == deferred.request) {
                sender.accept(deferred.worker);
            }
        }
    }
}
