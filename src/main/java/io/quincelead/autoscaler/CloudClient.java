package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.RateLimiter;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayDeque;

/** The cloud's protocol, within its limit of calls a second. */
final class CloudClient {
    private final EventLoop eventLoop;
    private final Transport transport;
    private final String cloudAddress;
    private final RateLimiter rateBudget;
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private boolean isSendScheduled;

    CloudClient(EventLoop eventLoop, Transport transport, Settings settings) {
        this.eventLoop = eventLoop;
        this.transport = transport;
        this.cloudAddress = settings.cloudAddress();
        this.rateBudget =
                new RateLimiter(eventLoop, settings.cloudLimits().requestsPerSecond() * 0.9, 1.5);
    }

    /** status 0 also stands for a 200 whose body can't be read. */
    @FunctionalInterface
    interface ResponseHandler {
        void onResponse(int status, ObjectNode body);
    }

    /** Whether a call that is not urgent should wait its turn. */
    boolean isBacklogged() {
        return pendingCalls.size() > 2;
    }

    void call(
            String method,
            String path,
            ObjectNode body,
            boolean isUrgent,
            ResponseHandler responseHandler) {
        Runnable sendCall =
                () ->
                        transport.call(
                                cloudAddress,
                                method,
                                path,
                                WireFormat.CBOR,
                                body == null ? null : WireFormat.CBOR.encode(body),
                                AutoscalerConstants.CLOUD_REQUEST_TIMEOUT_MILLIS,
                                (status, responseBytes) -> {
                                    ObjectNode responseBody =
                                            WireFormat.CBOR.decodeMap(responseBytes);
                                    if (status == 429) {
                                        rateBudget.drain();
                                    }
                                    boolean isUnreadable =
                                            status == 200
                                                    && responseBody == null
                                                    && !path.endsWith("/release");
                                    responseHandler.onResponse(
                                            isUnreadable ? Transport.NO_RESPONSE : status,
                                            responseBody);
                                });
        if (isUrgent) {
            pendingCalls.addFirst(sendCall);
        } else {
            pendingCalls.addLast(sendCall);
        }
        sendPending();
    }

    private void sendPending() {
        while (!isSendScheduled && !pendingCalls.isEmpty()) {
            if (rateBudget.tryTake(1)) {
                pendingCalls.pollFirst().run();
            } else {
                isSendScheduled = true;
                eventLoop.runAfter(
                        Math.max(1, rateBudget.millisUntilAvailable(1)),
                        () -> {
                            isSendScheduled = false;
                            sendPending();
                        });
            }
        }
    }
}
