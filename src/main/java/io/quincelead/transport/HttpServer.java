package io.quincelead.transport;

import io.quincelead.config.constants.TransportConstants;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP server of one address, implemented with Undertow. Handlers run on the I/O thread, which
 * is the event loop's.
 */
public final class HttpServer {
    private static final AttachmentKey<Boolean> TRACKED = AttachmentKey.create(Boolean.class);
    private final Undertow undertow;

    /** Number of open connections on which a request has arrived. */
    private int openConnections;

    private final int nearLimitThreshold;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(8 * 1024);

    /**
     * Configures the server; {@link #start} opens its socket.
     *
     * @param worker with one I/O thread, on which the handler runs
     * @param address host and port to listen on
     * @param maxConnections maximum number of connections; further ones wait in the backlog
     */
    public HttpServer(
            XnioWorker worker,
            String address,
            int maxConnections,
            IncomingRequest.Handler handler) {
        nearLimitThreshold =
                (int) (maxConnections * TransportConstants.NEAR_LIMIT_CONNECTION_FRACTION);
        int colon = address.lastIndexOf(':');
        undertow =
                Undertow.builder()
                        .setWorker(worker)
                        .setBufferSize(8 * 1024)
                        .setDirectBuffers(false)
                        .setServerOption(
                                UndertowOptions.IDLE_TIMEOUT,
                                TransportConstants.SERVER_IDLE_TIMEOUT_MILLIS)
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT,
                                TransportConstants.SERVER_IDLE_TIMEOUT_MILLIS)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                TransportConstants.REQUEST_PARSE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                        .setSocketOption(Options.BACKLOG, 64)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                        .addHttpListener(
                                Integer.parseInt(address.substring(colon + 1)),
                                address.substring(0, colon),
                                exchange -> accept(exchange, handler))
                        .build();
    }

    /**
     * Opens the socket; not to be called on the event loop, since binding waits for another thread.
     *
     * @throws RuntimeException if the address can't be bound
     */
    public void start() {
        undertow.start();
    }

    private void accept(HttpServerExchange exchange, IncomingRequest.Handler handler) {
        trackConnection(exchange.getConnection());
        String contentLength = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        if (exchange.getRequestContentLength() > TransportConstants.MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> new UndertowRequest(exchange, null).handleWith(handler));
            return;
        }
        if (contentLength == null
                && !exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> new UndertowRequest(exchange, new byte[0]).handleWith(handler));
            return;
        }
        exchange.setMaxEntitySize(TransportConstants.MAX_BODY_BYTES);
        BodyReader reader =
                new BodyReader(
                        readBuffer,
                        exchange.getRequestContentLength(),
                        TransportConstants.MAX_BODY_BYTES,
                        bytes -> new UndertowRequest(exchange, bytes).handleWith(handler),
                        failure -> {
                            // The body is too large, or its sender has disconnected.
                            exchange.setPersistent(false);
                            new UndertowRequest(exchange, null).handleWith(handler);
                        });
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> reader.handleEvent(exchange.getRequestChannel()));
    }

    private void trackConnection(ServerConnection connection) {
        if (connection.getAttachment(TRACKED) == null) {
            connection.putAttachment(TRACKED, true);
            openConnections++;
            connection.addCloseListener(closed -> openConnections--);
        }
    }

    private final class UndertowRequest extends IncomingRequest {
        private final HttpServerExchange exchange;

        UndertowRequest(HttpServerExchange exchange, byte[] body) {
            super(
                    exchange.getRequestMethod().toString(),
                    exchange.getRequestPath(),
                    parseQuery(exchange),
                    body);
            this.exchange = exchange;
        }

        @Override
        public boolean isNearConnectionLimit() {
            return openConnections > nearLimitThreshold;
        }

        @Override
        public void closeConnectionAfterResponse() {
            exchange.setPersistent(false);
        }

        private static Map<String, String> parseQuery(HttpServerExchange exchange) {
            if (exchange.getQueryString().isEmpty()) {
                return Map.of();
            }
            Map<String, String> parameters = new HashMap<>();
            for (Map.Entry<String, Deque<String>> parameter :
                    exchange.getQueryParameters().entrySet()) {
                parameters.put(parameter.getKey(), parameter.getValue().getFirst());
            }
            return Collections.unmodifiableMap(parameters);
        }

        @Override
        protected void sendResponse(
                int status, WireFormat format, byte[] body, int retryAfterSeconds) {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, format.contentType());
            if (retryAfterSeconds > 0) {
                exchange.getResponseHeaders()
                        .put(Headers.RETRY_AFTER, Integer.toString(retryAfterSeconds));
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
    }
}
