package io.quincelead.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes maps and sends them to one address. Its callers wait for the response before they go on,
 * so every call gets exactly one, also if its body can't be encoded.
 */
public final class MessageSender {
    private static final Logger LOG = LoggerFactory.getLogger(MessageSender.class);
    private final EventLoop loop;
    private final Transport transport;
    private final String address;
    private final WireFormat format;

    /** Creates a sender of messages to this address. */
    public MessageSender(EventLoop loop, Transport transport, String address, WireFormat format) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.format = format;
    }

    /**
     * Makes a call; never throws an exception because of its body.
     *
     * @param body the body; null for none
     * @param responseHandler called once on the event loop, after this method has returned; with
     *     the status {@link Transport#NOT_SENT} if the body can't be encoded
     */
    public void send(
            String method,
            String path,
            ObjectNode body,
            long timeoutMillis,
            Transport.ResponseHandler responseHandler) {
        byte[] encoded;
        try {
            encoded = body == null ? null : format.encode(body);
        } catch (EncodingException e) {
            LOG.error("{} {} isn't sent: {}", method, path, e.getMessage());
            loop.runAfter(0, () -> responseHandler.onResponse(Transport.NOT_SENT, null));
            return;
        }
        transport.call(address, method, path, format, encoded, timeoutMillis, responseHandler);
    }
}
