package io.quincelead.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.ApiConstants;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An inbound request. It is answered once, immediately or later, on the event loop. */
public abstract class IncomingRequest {
    private static final Logger LOG = LoggerFactory.getLogger(IncomingRequest.class);
    private static final int INTERNAL_ERROR = 500;

    /** The HTTP method, in upper case. */
    public final String method;

    /** The path, without the query. */
    public final String path;

    /** The first value of each query parameter, unmodifiable; empty without a query. */
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
     * @param body the encoded body; may be empty
     * @param retryAfterSeconds value of the header Retry-After; 0 for no header
     */
    protected abstract void sendResponse(
            int status, WireFormat format, byte[] body, int retryAfterSeconds);

    /** Whether a response has been sent. */
    public final boolean isResponded() {
        return responded;
    }

    /**
     * Whether the server is so near its connection limit that connections should not be kept open.
     */
    public boolean isNearConnectionLimit() {
        return false;
    }

    /** Makes the server close the connection after the response. */
    public void closeConnectionAfterResponse() {}

    /**
     * Sends the response. Any further response is ignored, so that a timeout and a late result
     * don't conflict.
     *
     * @param body the body; null for an empty one
     * @param retryAfterSeconds value of the header Retry-After; 0 for no header
     */
    public final void respond(
            int status, WireFormat format, ObjectNode body, int retryAfterSeconds) {
        if (!responded) {
            responded = true;
            try {
                byte[] encoded = body == null ? new byte[0] : format.encode(body);
                sendResponse(status, format, encoded, retryAfterSeconds);
            } catch (EncodingException e) {
                LOG.error("the response to {} {} can't be encoded: {}", method, path, e.toString());
                sendResponse(INTERNAL_ERROR, format, new byte[0], 0);
            }
        }
    }

    /**
     * Passes the request to a handler; answers it with an internal error if the handler throws an
     * exception before it has responded.
     */
    final void handleWith(Handler handler) {
        try {
            handler.handle(this);
        } catch (RuntimeException e) {
            LOG.error("{} {} failed", method, path, e);
            respondError(INTERNAL_ERROR, "internal error");
        }
    }

    /** Sends a response in CBOR. A null body is sent as an empty one. */
    public final void respond(int status, ObjectNode body) {
        respond(status, WireFormat.CBOR, body, 0);
    }

    /** Sends an error in CBOR with a human-readable reason. */
    public final void respondError(int status, String reason) {
        respond(status, WireFormat.CBOR, WireFormat.newMap().put("error", reason), 0);
    }

    /** Sends a transient error in CBOR with the time after which to retry. */
    public final void respondRetryLater(int status, String reason) {
        respond(
                status,
                WireFormat.CBOR,
                WireFormat.newMap().put("error", reason),
                ApiConstants.RETRY_AFTER_SECONDS);
    }

    /** Handles inbound requests. */
    @FunctionalInterface
    public interface Handler {
        /** Answers the request, immediately or later. */
        void handle(IncomingRequest request);
    }
}
