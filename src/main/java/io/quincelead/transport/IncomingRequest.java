package io.quincelead.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.ApiConstants;
import java.util.Map;

/** A request that came in, to be answered once, now or later, on the event loop. */
public abstract class IncomingRequest {
    /** The HTTP method, in capitals. */
    public final String method;

    /** The path, without the query. */
    public final String path;

    /** The first value of each query parameter, not to be changed; empty without a query. */
    public final Map<String, String> queryParameters;

    /** The body; null if it was larger than allowed or could not be read. */
    public final byte[] body;

    private boolean responded;

    protected IncomingRequest(
            String method, String path, Map<String, String> queryParameters, byte[] body) {
        this.method = method;
        this.path = path;
        this.queryParameters = queryParameters;
        this.body = body;
    }

    /**
     * Sends the response; called once.
     *
     * @param body may be empty
     * @param retryAfterSeconds for the header Retry-After; 0: without it
     */
    protected abstract void sendResponse(
            int status, WireFormat format, byte[] body, int retryAfterSeconds);

    /** Whether a response was sent. */
    public final boolean isResponded() {
        return responded;
    }

    /** Whether the server is so near its connection limit that none should be kept for later. */
    public boolean isNearConnectionLimit() {
        return false;
    }

    /** Has the connection closed after the response. */
    public void closeConnectionAfterResponse() {}

    /**
     * Sends the response; a second one is ignored, so a timeout and a late result can't collide.
     *
     * @param body null: an empty one
     * @param retryAfterSeconds for the header Retry-After; 0: without it
     */
    public final void respond(
            int status, WireFormat format, ObjectNode body, int retryAfterSeconds) {
        if (!responded) {
            responded = true;
            sendResponse(
                    status,
                    format,
                    body == null ? new byte[0] : format.encode(body),
                    retryAfterSeconds);
        }
    }

    /** Sends a response in CBOR; a null body: an empty one. */
    public final void respond(int status, ObjectNode body) {
        respond(status, WireFormat.CBOR, body, 0);
    }

    /** Sends an error in CBOR, with its reason for people. */
    public final void respondError(int status, String reason) {
        respond(status, WireFormat.CBOR, WireFormat.newMap().put("error", reason), 0);
    }

    /** Sends an error that passes, with the time after which to try again. */
    public final void respondRetryLater(int status, String reason) {
        respond(
                status,
                WireFormat.CBOR,
                WireFormat.newMap().put("error", reason),
                ApiConstants.RETRY_AFTER_SECONDS);
    }

    /** What serves requests. */
    @FunctionalInterface
    public interface Handler {
        /** Answers the request, now or later. */
        void handle(IncomingRequest request);
    }
}
