package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.MessageSender;
import io.quincelead.transport.RateLimiter;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Client of the cloud's protocol that keeps its limit of requests per second. Urgent calls (the
 * catalog and releases) go to the head of the queue.
 */
final class CloudClient {
    private final EventLoop eventLoop;
    private final MessageSender sender;
    private final RateLimiter rateLimiter;
    private final ArrayDeque<Runnable> pendingCalls = new ArrayDeque<>();
    private boolean isSendScheduled;

    CloudClient(EventLoop eventLoop, Transport transport, Settings settings) {
        this.eventLoop = eventLoop;
        this.sender =
                new MessageSender(eventLoop, transport, settings.cloudAddress(), WireFormat.CBOR);
        this.rateLimiter =
                new RateLimiter(eventLoop, settings.cloudLimits().requestsPerSecond() * 0.9, 1.5);
    }

    /**
     * {@code body} is null when there is none that can be read; with status 200 only for a release.
     */
    @FunctionalInterface
    private interface ResponseHandler {
        void onResponse(int status, ObjectNode body);
    }

    /** Whether so many calls are queued that a call that is not urgent should be postponed. */
    boolean isBacklogged() {
        return pendingCalls.size() > 2;
    }

    /** Reads the catalog; exactly one of {@code onCatalog} and {@code onFailure} is run. */
    void readCatalog(Consumer<List<MachineType>> onCatalog, Runnable onFailure) {
        call(
                "GET",
                "/catalog",
                null,
                true,
                (status, body) -> {
                    if (status == 200 && CloudCodec.isCatalog(body)) {
                        onCatalog.accept(CloudCodec.decodeCatalog(body));
                    } else {
                        onFailure.run();
                    }
                });
    }

    /**
     * Reads a page of the list of machines.
     *
     * @param afterHost the last host of the page before; null for the first page
     * @param onPage not run when the call fails
     */
    void listInstances(String afterHost, Consumer<InstancePage> onPage) {
        call(
                "GET",
                "/rentals?limit=500" + (afterHost == null ? "" : "&after=" + afterHost),
                null,
                false,
                (status, body) -> {
                    if (status == 200) {
                        onPage.accept(CloudCodec.decodeInstances(body));
                    }
                });
    }

    /** Submits a provisioning request; the same name may be submitted any number of times. */
    void provision(ProvisioningRequest request, Consumer<ProvisioningResult> onResult) {
        call(
                "POST",
                "/rentals",
                CloudCodec.encodeRequest(request),
                false,
                (status, body) -> onResult.accept(CloudCodec.decodeResult(status, body)));
    }

    /**
     * Releases machines.
     *
     * @param onResponse receives true when the cloud has confirmed the release of all of them;
     *     after false, their state is unknown
     */
    void release(List<String> hosts, Consumer<Boolean> onResponse) {
        call(
                "POST",
                "/rentals/release",
                CloudCodec.encodeRelease(hosts),
                true,
                (status, body) -> onResponse.accept(status == 200));
    }

    private void call(
            String method,
            String path,
            ObjectNode body,
            boolean isUrgent,
            ResponseHandler handler) {
        Runnable sendCall =
                () ->
                        sender.send(
                                method,
                                path,
                                body,
                                AutoscalerConstants.CLOUD_REQUEST_TIMEOUT_MILLIS,
                                (status, responseBytes) ->
                                        handleResponse(path, status, responseBytes, handler));
        if (isUrgent) {
            pendingCalls.addFirst(sendCall);
        } else {
            pendingCalls.addLast(sendCall);
        }
        sendPending();
    }

    private void handleResponse(
            String path, int status, byte[] responseBytes, ResponseHandler handler) {
        ObjectNode body = WireFormat.CBOR.decodeMap(responseBytes);
        if (status == 429) {
            rateLimiter.drain();
        }
        // The response to a release has no body.
        boolean isUnreadable = status == 200 && body == null && !path.endsWith("/release");
        handler.onResponse(isUnreadable ? Transport.NO_RESPONSE : status, body);
    }

    private void sendPending() {
        while (!isSendScheduled && !pendingCalls.isEmpty()) {
            if (rateLimiter.tryTake(1)) {
                pendingCalls.pollFirst().run();
            } else {
                isSendScheduled = true;
                eventLoop.runAfter(
                        Math.max(1, rateLimiter.millisUntilAvailable(1)),
                        () -> {
                            isSendScheduled = false;
                            sendPending();
                        });
            }
        }
    }
}
