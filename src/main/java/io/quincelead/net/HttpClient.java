package io.quincelead.net;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/** HTTP calls on Undertow's client: kept connections, a bounded number a target, one call at a time on each. */
public final class HttpClient implements Transport {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private final Loop loop;
    private final XnioIoThread thread;
    private final ByteBufferPool pool = new DefaultByteBufferPool(false, 8 * 1024, 16, 0);
    private final Map<String, Target> targets = new HashMap<>();
    private final ByteBuffer incoming = ByteBuffer.allocate(8 * 1024);

    public HttpClient(Loop loop, XnioIoThread thread) {
        this.loop = loop;
        this.thread = thread;
        loop.every(Constants.CLIENT_IDLE_MS, this::closeIdle);
    }

    /** States of a call; {@link Call#become} is the one function that changes them. */
    private enum CallState { WAITING, CONNECTING, SENT, OVER }

    private static final class Target {
        final ArrayDeque<Idle> idle = new ArrayDeque<>();
        final ArrayDeque<Call> waiting = new ArrayDeque<>();
        int open;
    }

    private record Idle(ClientConnection connection, long since) { }

    private final class Call {
        final String address;
        final String method;
        final String path;
        final Codec codec;
        final byte[] body;
        final Reply reply;
        CallState state = CallState.WAITING;
        ClientConnection connection;
        XnioExecutor.Key timer;

        Call(String address, String method, String path, Codec codec, byte[] body, Reply reply) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.codec = codec;
            this.body = body;
            this.reply = reply;
        }

        boolean become(CallState next) {
            if (state == CallState.OVER) {
                return false;
            }
            state = next;
            return true;
        }

        void finish(int status, byte[] answer, boolean reusable) {
            CallState before = state;
            if (!become(CallState.OVER)) {
                return;
            }
            timer.remove();
            Target t = targets.get(address);
            if (connection != null) {
                if (reusable && connection.isOpen()) {
                    t.idle.addLast(new Idle(connection, loop.now()));
                } else {
                    IoUtils.safeClose(connection);
                    t.open--;
                }
            } else if (before == CallState.CONNECTING) {
                t.open--;
            } else {
                t.waiting.remove(this);
            }
            try {
                reply.got(status, answer);
            } finally {
                pump(address, t);
            }
        }
    }

    @Override public void call(String address, String method, String path, Codec codec, byte[] body, long timeoutMs, Reply reply) {
        Target t = targets.computeIfAbsent(address, a -> new Target());
        Call call = new Call(address, method, path, codec, body, reply);
        if (t.waiting.size() >= Constants.MAX_WAITING_CALLS) {
            loop.after(0, () -> reply.got(NO_ANSWER, null));
            return;
        }
        t.waiting.addLast(call);
        call.timer = thread.executeAfter(() -> call.finish(NO_ANSWER, null, false), timeoutMs, TimeUnit.MILLISECONDS);
        pump(address, t);
    }

    private void pump(String address, Target t) {
        while (!t.waiting.isEmpty()) {
            Idle idle = t.idle.pollLast();
            if (idle != null) {
                if (!idle.connection.isOpen()) {
                    t.open--;
                    continue;
                }
                Call call = t.waiting.pollFirst();
                call.connection = idle.connection;
                send(call);
            } else if (t.open < Constants.MAX_SOCKETS_PER_TARGET) {
                t.open++;
                Call call = t.waiting.pollFirst();
                call.become(CallState.CONNECTING);
                connect(address, call);
            } else {
                return;
            }
        }
    }

    private void connect(String address, Call call) {
        UndertowClient.getInstance().connect(new ClientCallback<>() {
            @Override public void completed(ClientConnection connection) {
                if (call.state == CallState.OVER) {
                    IoUtils.safeClose(connection);
                    return;
                }
                call.connection = connection;
                send(call);
            }

            @Override public void failed(IOException e) {
                call.finish(NO_ANSWER, null, false);
            }
        }, URI.create("http://" + address), thread, pool, OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void send(Call call) {
        call.become(CallState.SENT);
        ClientRequest request = new ClientRequest().setMethod(new HttpString(call.method)).setPath(call.path);
        request.getRequestHeaders().put(Headers.HOST, call.address);
        if (call.body != null) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, call.codec.contentType());
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(call.body.length));
        }
        call.connection.sendRequest(request, new ClientCallback<>() {
            @Override public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ClientCallback<>() {
                    @Override public void completed(ClientExchange ready) {
                        receive(call, ready);
                    }

                    @Override public void failed(IOException e) {
                        call.finish(NO_ANSWER, null, false);
                    }
                });
                write(call, exchange.getRequestChannel());
            }

            @Override public void failed(IOException e) {
                call.finish(NO_ANSWER, null, false);
            }
        });
    }

    private void write(Call call, StreamSinkChannel channel) {
        ByteBuffer left = ByteBuffer.wrap(call.body == null ? new byte[0] : call.body);
        ChannelListener<StreamSinkChannel> writer = new ChannelListener<>() {
            @Override public void handleEvent(StreamSinkChannel ch) {
                try {
                    while (left.hasRemaining()) {
                        if (ch.write(left) == 0) {
                            ch.getWriteSetter().set(this);
                            ch.resumeWrites();
                            return;
                        }
                    }
                    ch.shutdownWrites();
                    if (!ch.flush()) {
                        ch.getWriteSetter().set(this);
                        ch.resumeWrites();
                    } else {
                        ch.suspendWrites();
                    }
                } catch (IOException e) {
                    LOG.debug("{} {}{}: {}", call.method, call.address, call.path, e.toString());
                    call.finish(NO_ANSWER, null, false);
                }
            }
        };
        writer.handleEvent(channel);
    }

    private void receive(Call call, ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        boolean close = "close".equalsIgnoreCase(exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
        new BodyReader(incoming, length(exchange.getResponse().getResponseHeaders().getFirst(Headers.CONTENT_LENGTH)), Constants.MAX_ANSWER_BYTES,
                body -> call.finish(status, body, !close),
                failed -> {
                    LOG.debug("{} {}{}: {}", call.method, call.address, call.path, failed.toString());
                    call.finish(NO_ANSWER, null, false);
                }).handleEvent(exchange.getResponseChannel());
    }

    private static long length(String stated) {
        try {
            return stated == null ? -1 : Long.parseLong(stated);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void closeIdle() {
        long old = loop.now() - Constants.CLIENT_IDLE_MS;
        targets.values().removeIf(t -> {
            while (!t.idle.isEmpty() && t.idle.peekFirst().since < old) {
                IoUtils.safeClose(t.idle.pollFirst().connection);
                t.open--;
            }
            return t.open == 0 && t.waiting.isEmpty();
        });
    }
}
