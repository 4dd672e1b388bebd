package io.quincelead.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.ApiConstants;
import java.util.Map;

/** A request that came in, to be answered once, now or later, on the loop. */
public abstract class IncomingRequest {
    public final String method;
    public final String path;
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

    protected abstract void sendResponse(
            int status, WireFormat codec, byte[] body, int retryAfterSeconds);

    public final boolean isResponded() {
        return responded;
    }

    /** Whether connections are so short that none should be kept for later. */
    public boolean isNearConnectionLimit() {
        return false;
    }

    /** Has the connection closed after the answer. */
    public void closeConnectionAfterResponse() {}

    /**
     * Sends the answer; a second one is ignored, so a patience timer and a late result can't
     * collide.
     */
    public final void respond(
            int status, WireFormat codec, ObjectNode body, int retryAfterSeconds) {
        if (!responded) {
            responded = true;
            sendResponse(
                    status,
                    codec,
                    body == null ? new byte[0] : codec.encode(body),
                    retryAfterSeconds);
        }
    }

    public final void respond(int status, ObjectNode body) {
        respond(status, WireFormat.CBOR, body, 0);
    }

    public final void respondError(int status, String reason) {
        respond(status, WireFormat.CBOR, WireFormat.newMap().put("error", reason), 0);
    }

    /** "Not now": tells the sender when to come back. */
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
        void handle(IncomingRequest request);
    }
}
