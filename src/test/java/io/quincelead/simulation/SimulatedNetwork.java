package io.quincelead.simulation;

import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The network between hosts: delays messages, loses answers, and cuts pairs of hosts, holding
 * packets or not.
 */
public final class SimulatedNetwork {
    /** A host answers through a callback, or never. */
    @FunctionalInterface
    public interface RequestHandler {
        void handle(IncomingRequest request);
    }

    private final SimulatedClock clock;
    private final Map<String, RequestHandler> handlersByAddress = new HashMap<>();
    private final Set<String> partitionedPairs = new HashSet<>();
    private final Set<String> bufferedPairs = new HashSet<>();
    private final Map<String, List<Runnable>> bufferedPackets = new HashMap<>();

    /** Share of answers that get lost after the request was executed. */
    public double responseLossRate;

    /**
     * Share of requests of which a copy arrives again, up to three minutes later; nobody hears the
     * answer to a copy.
     */
    public double duplicationRate;

    /**
     * Share of the workers' heartbeats of which a copy arrives again, from 2 s to well over a lease
     * later.
     */
    public double staleHeartbeatRate;

    public int maxStaleHeartbeatDelayMillis = 45_000;

    /** Share of the workers' heartbeats of which a copy is kept for whoever leads next. */
    public double heartbeatRetentionRate;

    /**
     * Share of the workers' heartbeats that are held up themselves until {@link
     * #releaseHeldHeartbeats}.
     */
    public double heartbeatHoldRate;

    /** ms. Each packet takes up to so much longer. */
    public int maxExtraLatencyMillis;

    /** How many kept copies arrived, and how many reports were held up and then arrived. */
    public int replayedHeartbeats;

    public int releasedHeartbeats;

    private record RetainedHeartbeat(String from, String path, byte[] body) {}

    private final List<RetainedHeartbeat> retainedHeartbeats = new ArrayList<>();
    private final List<Runnable> heldHeartbeats = new ArrayList<>();

    /** Share of direct commands that are held up for seconds, on their way or with their answer. */
    public double commandHoldRate;

    /** ms by which the answers to such commands are held at least, and whether nothing else is. */
    public int minCommandResponseDelayMillis;

    /** How many copies of reports arrived, and how many commands were held up. */
    public int staleHeartbeatsSent;

    public int heldCommandCount;

    /** Everything that was called and answered. */
    final HistoryDigest history = new HistoryDigest();

    /** Sees path and body of each request as it is sent. */
    public java.util.function.BiConsumer<String, byte[]> requestObserver = (path, body) -> {};

    /** Who sent what is being handled. */
    private String sender = "";

    /** A call and what its caller gets for it; status 0: no response in time. */
    public record Exchange(
            String to,
            String method,
            String path,
            byte[] body,
            int status,
            int retryAfterSeconds,
            byte[] responseBody) {}

    /** Sees each call once its caller has its response. */
    public java.util.function.Consumer<Exchange> exchangeObserver = exchange -> {};

    public SimulatedNetwork(SimulatedClock clock) {
        this.clock = clock;
    }

    public void setHandler(String address, RequestHandler handler) {
        if (handler == null) {
            handlersByAddress.remove(address);
        } else {
            handlersByAddress.put(address, handler);
        }
    }

    private static String pairKey(String firstIp, String secondIp) {
        return firstIp.compareTo(secondIp) < 0
                ? firstIp + "|" + secondIp
                : secondIp + "|" + firstIp;
    }

    private static String hostOf(String address) {
        return address.substring(0, address.indexOf(':'));
    }

    /**
     * Cuts two hosts; with {@code hold}, what was sent arrives late, even if the sender has given
     * up.
     */
    public void partition(String firstIp, String secondIp, boolean buffer) {
        partitionedPairs.add(pairKey(firstIp, secondIp));
        if (buffer) {
            bufferedPairs.add(pairKey(firstIp, secondIp));
        }
    }

    public void heal(String firstIp, String secondIp) {
        String pair = pairKey(firstIp, secondIp);
        partitionedPairs.remove(pair);
        bufferedPairs.remove(pair);
        List<Runnable> buffered = bufferedPackets.remove(pair);
        if (buffered != null) {
            buffered.forEach(action -> clock.schedule(clock.random.nextInt(1, 30), action));
        }
    }

    /** A packet: now, late or never. */
    private void sendPacket(String from, String to, Runnable delivery) {
        String pair = pairKey(hostOf(from), hostOf(to));
        if (!partitionedPairs.contains(pair)) {
            clock.schedule(
                    clock.random.nextInt(1, 6)
                            + (maxExtraLatencyMillis > 0
                                    ? clock.random.nextInt(maxExtraLatencyMillis)
                                    : 0),
                    delivery);
        } else if (bufferedPairs.contains(pair)) {
            bufferedPackets.computeIfAbsent(pair, key -> new ArrayList<>()).add(delivery);
        }
    }

    /** The answer as the caller sees it: status 0 when none came in time. */
    @FunctionalInterface
    public interface ResponseHandler {
        void onResponse(int status, byte[] body, int retryAfterS);
    }

    /** Questions under way, and the most at once. */
    private int openCalls;

    public int maxOpenCalls;

    public void call(
            String from,
            String to,
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            ResponseHandler onResponse) {
        requestObserver.accept(path, body);
        history.call(clock.nowMillis(), from, to, method, path, body);
        boolean[] answered = {false};
        maxOpenCalls = Math.max(maxOpenCalls, ++openCalls);
        ResponseHandler respond =
                (status, responseBody, retryAfterSeconds) -> {
                    openCalls--;
                    history.answer(clock.nowMillis(), status, retryAfterSeconds, responseBody);
                    onResponse.onResponse(status, responseBody, retryAfterSeconds);
                    exchangeObserver.accept(
                            new Exchange(
                                    to,
                                    method,
                                    path,
                                    body,
                                    status,
                                    retryAfterSeconds,
                                    responseBody));
                };
        clock.schedule(
                timeoutMillis,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        respond.onResponse(0, null, 0);
                    }
                });
        if (staleHeartbeatRate > 0
                && path.equals("/v1/report")
                && clock.random.nextDouble() < staleHeartbeatRate) {
            staleHeartbeatsSent++;
            clock.schedule(
                    clock.random.nextInt(2_000, maxStaleHeartbeatDelayMillis),
                    () ->
                            deliver(
                                    from,
                                    to,
                                    method,
                                    path,
                                    body,
                                    (status, responseBody, retryAfterSeconds) -> {}));
        }
        if (heartbeatRetentionRate > 0
                && path.equals("/v1/report")
                && clock.random.nextDouble() < heartbeatRetentionRate
                && retainedHeartbeats.size() < 400) {
            retainedHeartbeats.add(new RetainedHeartbeat(from, path, body));
        }
        if (heartbeatHoldRate > 0
                && path.equals("/v1/report")
                && clock.random.nextDouble() < heartbeatHoldRate) {
            heldHeartbeats.add(
                    () ->
                            deliver(
                                    from,
                                    to,
                                    method,
                                    path,
                                    body,
                                    (status, responseBody, retryAfterSeconds) -> {}));
            return;
        }
        boolean isHeld =
                commandHoldRate > 0
                        && path.equals("/orders")
                        && clock.random.nextDouble() < commandHoldRate;
        heldCommandCount += isHeld ? 1 : 0;
        long requestDelayMillis =
                isHeld && minCommandResponseDelayMillis == 0 && clock.random.nextBoolean()
                        ? clock.random.nextInt(1_000, 9_000)
                        : 0;
        long responseDelayMillis =
                !isHeld
                        ? 0
                        : minCommandResponseDelayMillis > 0
                                ? minCommandResponseDelayMillis
                                : clock.random.nextInt(0, 2_000);
        if (duplicationRate > 0 && clock.random.nextDouble() < duplicationRate) {
            clock.schedule(
                    clock.random.nextInt(100, 180_000),
                    () ->
                            deliver(
                                    from,
                                    to,
                                    method,
                                    path,
                                    body,
                                    (status, responseBody, retryAfterSeconds) -> {}));
        }
        sendPacket(
                from,
                to,
                () ->
                        runAfter(
                                requestDelayMillis,
                                () ->
                                        deliver(
                                                from,
                                                to,
                                                method,
                                                path,
                                                body,
                                                (status, responseBody, retryAfterSeconds) -> {
                                                    if (clock.random.nextDouble()
                                                            < responseLossRate) {
                                                        return;
                                                    }
                                                    sendPacket(
                                                            to,
                                                            from,
                                                            () ->
                                                                    runAfter(
                                                                            responseDelayMillis,
                                                                            () -> {
                                                                                if (!answered[0]) {
                                                                                    answered[0] =
                                                                                            true;
                                                                                    respond
                                                                                            .onResponse(
                                                                                                    status,
                                                                                                    responseBody,
                                                                                                    retryAfterSeconds);
                                                                                }
                                                                            }));
                                                })));
    }

    /** Brings a copy of each report that was kept to each of these addresses. */
    void replayRetainedHeartbeats(List<String> addresses) {
        for (RetainedHeartbeat heartbeat : retainedHeartbeats) {
            for (String address : addresses) {
                clock.schedule(
                        clock.random.nextInt(1, 400),
                        () -> {
                            replayedHeartbeats += handlersByAddress.containsKey(address) ? 1 : 0;
                            deliver(
                                    heartbeat.from,
                                    address,
                                    "POST",
                                    heartbeat.path,
                                    heartbeat.body,
                                    (status, responseBody, retryAfterSeconds) -> {});
                        });
            }
        }
        retainedHeartbeats.clear();
    }

    /** What was held up arrives where it was sent to, long after its sender has given up. */
    void releaseHeldHeartbeats() {
        releasedHeartbeats += heldHeartbeats.size();
        heldHeartbeats.forEach(action -> clock.schedule(clock.random.nextInt(1, 400), action));
        heldHeartbeats.clear();
    }

    private void runAfter(long delayMillis, Runnable action) {
        if (delayMillis > 0) {
            clock.schedule(delayMillis, action);
        } else {
            action.run();
        }
    }

    /** The IP of whoever sent the request that is being handled. */
    String sender() {
        return sender;
    }

    private void deliver(
            String from,
            String to,
            String method,
            String path,
            byte[] body,
            ResponseHandler onResponse) {
        RequestHandler handler = handlersByAddress.get(to);
        if (handler == null) {
            return;
        }
        sender = hostOf(from);
        Map<String, String> query = new HashMap<>();
        int queryStart = path.indexOf('?');
        if (queryStart >= 0) {
            for (String parameter : path.substring(queryStart + 1).split("&")) {
                query.put(
                        parameter.substring(0, parameter.indexOf('=')),
                        parameter.substring(parameter.indexOf('=') + 1));
            }
        }
        handler.handle(
                new IncomingRequest(
                        method,
                        queryStart < 0 ? path : path.substring(0, queryStart),
                        query,
                        body == null ? new byte[0] : body) {
                    @Override
                    protected void sendResponse(
                            int status, WireFormat codec, byte[] out, int retryAfterS) {
                        onResponse.onResponse(status, out, retryAfterS);
                    }
                });
    }

    /** The transport of one process. */
    public Transport transportFor(String ip, SimulatedClock.SimulatedProcess process) {
        return (address, method, path, codec, body, timeoutMillis, reply) ->
                call(
                        ip + ":0",
                        address,
                        method,
                        path,
                        body,
                        timeoutMillis,
                        (status, responseBody, retryAfterSeconds) -> {
                            if (!process.isDead()) {
                                reply.onResponse(status, responseBody);
                            }
                        });
    }
}
