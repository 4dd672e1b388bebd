package io.quincelead.net;

import io.quincelead.base.Constants;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/** The HTTP server of one address, on Undertow. Handlers run on the I/O thread, which is the loop. */
public final class HttpServer {
    private final Undertow undertow;

    public HttpServer(XnioWorker worker, String address, int maxConnections, Request.Handler handler) {
        int colon = address.lastIndexOf(':');
        undertow = Undertow.builder()
                .setWorker(worker)
                .setBufferSize(8 * 1024)
                .setDirectBuffers(false)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, Constants.SERVER_IDLE_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, Constants.SERVER_IDLE_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, Constants.REQUEST_PARSE_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .setSocketOption(Options.BACKLOG, 64)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                .addHttpListener(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon),
                        exchange -> accept(exchange, handler))
                .build();
    }

    public void start() {
        undertow.start();
    }

    private static void accept(HttpServerExchange exchange, Request.Handler handler) {
        String length = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        if (exchange.getRequestContentLength() > Constants.MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.handle(new Incoming(exchange, null)));
            return;
        }
        if (length == null && !exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handler.handle(new Incoming(exchange, new byte[0])));
            return;
        }
        exchange.setMaxEntitySize(Constants.MAX_BODY_BYTES);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> new Body(exchange, handler).handleEvent(exchange.getRequestChannel()));
    }

    /** Reads a request's body as it comes; Undertow's own receiver copies it byte by byte. */
    private static final class Body implements ChannelListener<StreamSourceChannel> {
        private final HttpServerExchange exchange;
        private final Request.Handler handler;
        private final ByteArrayOutputStream body;

        Body(HttpServerExchange exchange, Request.Handler handler) {
            this.exchange = exchange;
            this.handler = handler;
            this.body = new ByteArrayOutputStream((int) Math.max(512, exchange.getRequestContentLength()));
        }

        @Override public void handleEvent(StreamSourceChannel channel) {
            try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                for (;;) {
                    buffer.clear();
                    int n = channel.read(buffer);
                    if (n < 0) {
                        break;
                    }
                    if (n == 0) {
                        channel.getReadSetter().set(this);
                        channel.resumeReads();
                        return;
                    }
                    body.write(buffer.array(), buffer.arrayOffset(), n);
                }
            } catch (IOException e) {
                // Larger than allowed, or its sender is gone.
                exchange.setPersistent(false);
                handler.handle(new Incoming(exchange, null));
                return;
            }
            handler.handle(new Incoming(exchange, body.toByteArray()));
        }
    }

    private static final class Incoming extends Request {
        private final HttpServerExchange exchange;

        Incoming(HttpServerExchange exchange, byte[] body) {
            super(exchange.getRequestMethod().toString(), exchange.getRequestPath(), query(exchange), body);
            this.exchange = exchange;
        }

        private static Map<String, String> query(HttpServerExchange exchange) {
            if (exchange.getQueryString().isEmpty()) {
                return Map.of();
            }
            Map<String, String> out = new HashMap<>();
            for (Map.Entry<String, Deque<String>> e : exchange.getQueryParameters().entrySet()) {
                out.put(e.getKey(), e.getValue().getFirst());
            }
            return out;
        }

        @Override protected void send(int status, Codec codec, byte[] body, int retryAfterS) {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, codec.contentType());
            if (retryAfterS > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Integer.toString(retryAfterS));
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
    }
}
