package io.quincelead.transport;

import io.quincelead.config.constants.TransportConstants;
import io.quincelead.eventloop.EventLoop;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/**
 * Makes HTTP calls with Undertow's client. Connections are kept open, their number is bounded for
 * each target, and each carries one call at a time.
 */
public final class HttpClient implements Transport {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private final EventLoop loop;
    private final XnioIoThread thread;
    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, 8 * 1024, 16, 0);
    private final Map<String, Target> targets = new HashMap<>();
    private final Set<String> criticalAddresses;
    private final int maxSharedConnections;

    /** Number of connections to all targets that aren't critical, including attempts. */
    private int sharedConnections;

    /**
     * Idle connections to all targets that aren't critical, the longest unused first. Those marked
     * as removed are skipped.
     */
    private final ArrayDeque<IdleConnection> idleByAge = new ArrayDeque<>();

    /** Addresses of targets whose calls wait because all shared connections are in use. */
    private final LinkedHashSet<String> stalledAddresses = new LinkedHashSet<>();

    private final ByteBuffer readBuffer = ByteBuffer.allocate(8 * 1024);

    /**
     * Creates a client without connections.
     *
     * @param thread the event loop's thread
     * @param criticalAddresses addresses of services that are essential to this one; each has
     *     connections of its own
     * @param maxSharedConnections maximum number of connections to all other addresses together
     */
    public HttpClient(
            EventLoop loop,
            XnioIoThread thread,
            Set<String> criticalAddresses,
            int maxSharedConnections) {
        this.criticalAddresses = criticalAddresses;
        this.maxSharedConnections = maxSharedConnections;
        this.loop = loop;
        this.thread = thread;
        loop.runEvery(TransportConstants.CLIENT_IDLE_TIMEOUT_MILLIS, this::closeExpiredConnections);
    }

    /** States of a call; only {@link Call#transitionTo} changes them. */
    private enum CallState {
        WAITING,
        SENT,
        COMPLETED
    }

    /**
     * An address that is called. Connections are made for the target, not for a single call: a
     * connection that is established late serves whichever call waits then.
     */
    private static final class Target {
        final String address;

        /**
         * Whether the target is essential to this service: its connections are never closed in
         * favour of other targets.
         */
        final boolean critical;

        final ArrayDeque<IdleConnection> idleConnections = new ArrayDeque<>();
        final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();

        /** Number of established connections. */
        int openConnections;

        /**
         * Start times of the connection attempts that have neither succeeded nor failed. An attempt
         * to reach an unresponsive machine takes minutes to fail.
         */
        final ArrayDeque<Long> connectAttemptsSinceMillis = new ArrayDeque<>();

        Target(String address, boolean critical) {
            this.address = address;
            this.critical = critical;
        }
    }

    /** An idle connection that is kept open. */
    private static final class IdleConnection {
        final Target target;
        final ClientConnection connection;
        final long idleSinceMillis;
        boolean removed;

        IdleConnection(Target target, ClientConnection connection, long idleSinceMillis) {
            this.target = target;
            this.connection = connection;
            this.idleSinceMillis = idleSinceMillis;
        }
    }

    private final class Call {
        final String address;
        final String method;
        final String path;
        final WireFormat format;
        final byte[] body;
        final ResponseHandler responseHandler;
        CallState state = CallState.WAITING;
        ClientConnection connection;
        XnioExecutor.Key timeoutKey;

        Call(
                String address,
                String method,
                String path,
                WireFormat format,
                byte[] body,
                ResponseHandler responseHandler) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.format = format;
            this.body = body;
            this.responseHandler = responseHandler;
        }

        boolean transitionTo(CallState next) {
            if (state == CallState.COMPLETED) {
                return false;
            }
            state = next;
            return true;
        }

        void complete(int status, byte[] responseBody, boolean reusable) {
            if (!transitionTo(CallState.COMPLETED)) {
                return;
            }
            timeoutKey.remove();
            Target target = targets.get(address);
            if (connection != null) {
                if (reusable && connection.isOpen()) {
                    IdleConnection idle = new IdleConnection(target, connection, loop.nowMillis());
                    addIdle(idle);
                } else {
                    IoUtils.safeClose(connection);
                    onConnectionClosed(target);
                }
            } else {
                target.waitingCalls.remove(this);
            }
            try {
                responseHandler.onResponse(status, responseBody);
            } finally {
                dispatchCalls(target);
                dispatchStalledCalls();
            }
        }
    }

    private void addIdle(IdleConnection idle) {
        idle.target.idleConnections.addLast(idle);
        if (!idle.target.critical) {
            idleByAge.addLast(idle);
        }
    }

    /** Number of connections to all targets that aren't critical, including attempts. */
    int sharedConnectionCount() {
        return sharedConnections;
    }

    private void onConnectionClosed(Target target) {
        target.openConnections--;
        sharedConnections -= target.critical ? 0 : 1;
    }

    /**
     * Makes room for one more shared connection by closing the longest unused ones, whatever their
     * targets. Returns whether there is room.
     */
    private boolean ensureSharedCapacity() {
        while (sharedConnections >= maxSharedConnections) {
            IdleConnection oldest = idleByAge.pollFirst();
            if (oldest == null) {
                return false;
            }
            if (!oldest.removed) {
                oldest.removed = true;
                oldest.target.idleConnections.remove(oldest);
                IoUtils.safeClose(oldest.connection);
                onConnectionClosed(oldest.target);
            }
        }
        return true;
    }

    /** Dispatches the calls of targets that had to wait for a shared connection. */
    private void dispatchStalledCalls() {
        if (!stalledAddresses.isEmpty()) {
            List<String> addresses = new ArrayList<>(stalledAddresses);
            stalledAddresses.clear();
            for (String address : addresses) {
                Target target = targets.get(address);
                if (target != null) {
                    dispatchCalls(target);
                }
            }
        }
    }

    @Override
    public void call(
            String address,
            String method,
            String path,
            WireFormat format,
            byte[] body,
            long timeoutMillis,
            ResponseHandler responseHandler) {
        Target target =
                targets.computeIfAbsent(
                        address,
                        newAddress ->
                                new Target(newAddress, criticalAddresses.contains(newAddress)));
        Call call = new Call(address, method, path, format, body, responseHandler);
        if (target.waitingCalls.size() >= TransportConstants.MAX_WAITING_CALLS_PER_ADDRESS) {
            loop.runAfter(0, () -> responseHandler.onResponse(NO_RESPONSE, null));
            return;
        }
        target.waitingCalls.addLast(call);
        call.timeoutKey =
                thread.executeAfter(
                        () -> call.complete(NO_RESPONSE, null, false),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        dispatchCalls(target);
    }

    /**
     * Whether one more connection attempt should be made. Each waiting call has an attempt of its
     * own, but few are made at the same time to a target that doesn't respond.
     */
    private boolean shouldConnect(Target target) {
        long nowMillis = loop.nowMillis();
        long recentAttempts =
                target.connectAttemptsSinceMillis.stream()
                        .filter(
                                startedAtMillis ->
                                        nowMillis - startedAtMillis
                                                < TransportConstants.RECENT_CONNECT_ATTEMPT_MILLIS)
                        .count();
        int maxConnections =
                target.critical
                        ? TransportConstants.MAX_CONNECTIONS_PER_ADDRESS
                        : target.openConnections > 0
                                ? TransportConstants.MAX_CONNECTIONS_PER_ADDRESS
                                : 1;
        return recentAttempts < target.waitingCalls.size()
                && target.openConnections + recentAttempts < maxConnections;
    }

    /** Sends waiting calls on idle connections, and opens connections for the others. */
    private void dispatchCalls(Target target) {
        while (!target.waitingCalls.isEmpty()) {
            IdleConnection idle = target.idleConnections.pollLast();
            if (idle != null) {
                idle.removed = true;
                if (!idle.connection.isOpen()) {
                    onConnectionClosed(target);
                    continue;
                }
                Call call = target.waitingCalls.pollFirst();
                call.connection = idle.connection;
                send(call);
            } else if (!shouldConnect(target)) {
                return;
            } else if (target.critical || ensureSharedCapacity()) {
                connect(target);
            } else {
                stalledAddresses.add(target.address);
                return;
            }
        }
    }

    private void connect(Target target) {
        long startedAtMillis = loop.nowMillis();
        target.connectAttemptsSinceMillis.addLast(startedAtMillis);
        sharedConnections += target.critical ? 0 : 1;
        ClientCallback<ClientConnection> callback = connectCallback(target, startedAtMillis);
        try {
            UndertowClient.getInstance()
                    .connect(
                            callback,
                            URI.create("http://" + target.address),
                            thread,
                            bufferPool,
                            OptionMap.create(Options.TCP_NODELAY, true));
        } catch (RuntimeException e) {
            // Machines and controllers state their addresses themselves; this one is invalid.
            LOG.info("{}: {}", target.address, e.toString());
            loop.runAfter(0, () -> callback.failed(new IOException(e)));
        }
    }

    private ClientCallback<ClientConnection> connectCallback(Target target, long startedAtMillis) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                target.connectAttemptsSinceMillis.remove(startedAtMillis);
                target.openConnections++;
                addIdle(new IdleConnection(target, connection, loop.nowMillis()));
                dispatchCalls(target);
            }

            @Override
            public void failed(IOException e) {
                target.connectAttemptsSinceMillis.remove(startedAtMillis);
                sharedConnections -= target.critical ? 0 : 1;
                Call firstWaiting = target.waitingCalls.peekFirst();
                if (firstWaiting != null) {
                    firstWaiting.complete(NO_RESPONSE, null, false);
                } else {
                    dispatchStalledCalls();
                }
            }
        };
    }

    private void send(Call call) {
        call.transitionTo(CallState.SENT);
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method)).setPath(call.path);
        request.getRequestHeaders().put(Headers.HOST, call.address);
        if (call.body != null) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, call.format.contentType());
            request.getRequestHeaders()
                    .put(Headers.CONTENT_LENGTH, Integer.toString(call.body.length));
        }
        call.connection.sendRequest(
                request,
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange exchange) {
                        exchange.setResponseListener(
                                new ClientCallback<>() {
                                    @Override
                                    public void completed(ClientExchange ready) {
                                        readResponse(call, ready);
                                    }

                                    @Override
                                    public void failed(IOException e) {
                                        call.complete(NO_RESPONSE, null, false);
                                    }
                                });
                        writeBody(call, exchange.getRequestChannel());
                    }

                    @Override
                    public void failed(IOException e) {
                        call.complete(NO_RESPONSE, null, false);
                    }
                });
    }

    private void writeBody(Call call, StreamSinkChannel channel) {
        ByteBuffer remaining = ByteBuffer.wrap(call.body == null ? new byte[0] : call.body);
        ChannelListener<StreamSinkChannel> writer =
                new ChannelListener<>() {
                    @Override
                    public void handleEvent(StreamSinkChannel sink) {
                        try {
                            while (remaining.hasRemaining()) {
                                if (sink.write(remaining) == 0) {
                                    sink.getWriteSetter().set(this);
                                    sink.resumeWrites();
                                    return;
                                }
                            }
                            sink.shutdownWrites();
                            if (!sink.flush()) {
                                sink.getWriteSetter().set(this);
                                sink.resumeWrites();
                            } else {
                                sink.suspendWrites();
                            }
                        } catch (IOException e) {
                            LOG.debug(
                                    "{} {}{}: {}",
                                    call.method,
                                    call.address,
                                    call.path,
                                    e.toString());
                            call.complete(NO_RESPONSE, null, false);
                        }
                    }
                };
        writer.handleEvent(channel);
    }

    private void readResponse(Call call, ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        boolean closesConnection =
                "close"
                        .equalsIgnoreCase(
                                exchange.getResponse()
                                        .getResponseHeaders()
                                        .getFirst(Headers.CONNECTION));
        new BodyReader(
                        readBuffer,
                        parseLength(
                                exchange.getResponse()
                                        .getResponseHeaders()
                                        .getFirst(Headers.CONTENT_LENGTH)),
                        TransportConstants.MAX_RESPONSE_BYTES,
                        body -> call.complete(status, body, !closesConnection),
                        failure -> {
                            LOG.debug(
                                    "{} {}{}: {}",
                                    call.method,
                                    call.address,
                                    call.path,
                                    failure.toString());
                            call.complete(
                                    failure instanceof BodyTooLargeException
                                            ? RESPONSE_TOO_LARGE
                                            : NO_RESPONSE,
                                    null,
                                    false);
                        })
                .handleEvent(exchange.getResponseChannel());
    }

    private static long parseLength(String header) {
        try {
            return header == null ? -1 : Long.parseLong(header);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void closeExpiredConnections() {
        long idleBeforeMillis = loop.nowMillis() - TransportConstants.CLIENT_IDLE_TIMEOUT_MILLIS;
        idleByAge.removeIf(idle -> idle.removed);
        targets.values()
                .removeIf(
                        target -> {
                            while (!target.idleConnections.isEmpty()
                                    && target.idleConnections.peekFirst().idleSinceMillis
                                            < idleBeforeMillis) {
                                IdleConnection idle = target.idleConnections.pollFirst();
                                idle.removed = true;
                                IoUtils.safeClose(idle.connection);
                                onConnectionClosed(target);
                            }
                            return target.openConnections == 0
                                    && target.connectAttemptsSinceMillis.isEmpty()
                                    && target.waitingCalls.isEmpty();
                        });
    }
}
