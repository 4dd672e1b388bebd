package io.quincelead.simulation;

import io.quincelead.config.constants.TransportConstants;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The simulated network between hosts: delays messages, loses responses, and partitions pairs of
 * hosts, with or without buffering their packets.
 */
public final class SimulatedNetwork {
    /** Handles the requests to one address; it responds through the request, or never. */
    @FunctionalInterface
    public interface RequestHandler {
        void handle(IncomingRequest request);
    }

    private final SimulatedClock clock;
    private final Map<String, RequestHandler> handlersByAddress = new HashMap<>();
    private final Set<String> partitionedPairs = new HashSet<>();
    private final Set<String> bufferedPairs = new HashSet<>();
    private final Map<String, List<Runnable>> bufferedPackets = new HashMap<>();

    /** Share of responses that are lost after the request was executed. */
    public double responseLossRate;

    /**
     * Share of requests of which a copy arrives up to three minutes later; the response to a copy
     * is discarded.
     */
    public double duplicationRate;

    /**
     * Share of the workers' heartbeats of which a copy arrives later: from 2 s to well over a
     * lease's duration.
     */
    public double staleHeartbeatRate;

    public int maxStaleHeartbeatDelayMillis = 45_000;

    /**
     * Share of the workers' heartbeats of which a copy is kept, to be replayed to the next leader.
     */
    public double heartbeatRetentionRate;

    /**
     * Share of the workers' heartbeats that are themselves held until {@link
     * #releaseHeldHeartbeats}.
     */
    public double heartbeatHoldRate;

    /** Upper limit in ms of the random extra latency of each packet. */
    public int maxExtraLatencyMillis;

    /** Number of retained copies of heartbeats that arrived at a running controller. */
    public int replayedHeartbeats;

    /** Number of held heartbeats that {@link #releaseHeldHeartbeats} delivered. */
    public int releasedHeartbeats;

    /** A request in transit; a duplicate is the same request delivered again. */
    private record Request(String from, String to, String method, String path, byte[] body) {
        boolean isHeartbeat() {
            return path.equals("/v1/report");
        }

        boolean isCommand() {
            return path.equals("/orders");
        }
    }

    /**
     * Time in ms by which a request and its response are held, in addition to the latency of their
     * packets.
     */
    private record Delays(long requestMillis, long responseMillis) {
        static final Delays NONE = new Delays(0, 0);
    }

    /** Maximum number of copies of heartbeats kept for the next leader. */
    private static final int MAX_RETAINED_HEARTBEATS = 400;

    /** Discards the response to a copy: the sender has given up or never sent the copy. */
    private static final ResponseHandler IGNORE_RESPONSE =
            (status, responseBody, retryAfterSeconds) -> {};

    private final List<Request> retainedHeartbeats = new ArrayList<>();
    private final List<Runnable> heldHeartbeats = new ArrayList<>();

    /**
     * Share of direct commands that are held for seconds, before their delivery or before their
     * response.
     */
    public double commandHoldRate;

    /**
     * Time in ms by which the responses to held commands are delayed; if 0, commands and responses
     * are held for random times. If positive, only the responses are held.
     */
    public int minCommandResponseDelayMillis;

    /** Number of copies of heartbeats that were scheduled to arrive late. */
    public int staleHeartbeatsSent;

    /** Number of direct commands that were held. */
    public int heldCommandCount;

    /** Digest of all calls and responses. */
    final HistoryDigest history = new HistoryDigest();

    /** Receives path and body of each request when it is sent. */
    public BiConsumer<String, byte[]> requestObserver = (path, body) -> {};

    /** IP of the sender of the request that is being handled. */
    private String senderIp = "";

    /** A call and the response that its caller got; status 0 if there was none in time. */
    public record Exchange(
            String to,
            String method,
            String path,
            byte[] body,
            int status,
            int retryAfterSeconds,
            byte[] responseBody) {}

    /** Receives each call once its caller has the response or the timeout. */
    public Consumer<Exchange> exchangeObserver = exchange -> {};

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
     * Partitions two hosts. With {@code buffer}, their packets are delivered when the partition
     * heals, even if the sender has given up by then; else they are lost.
     */
    public void partition(String firstIp, String secondIp, boolean buffer) {
        partitionedPairs.add(pairKey(firstIp, secondIp));
        if (buffer) {
            bufferedPairs.add(pairKey(firstIp, secondIp));
        }
    }

    /** Whether a host is partitioned from the host of an address. */
    boolean isPartitioned(String ip, String address) {
        return partitionedPairs.contains(pairKey(ip, hostOf(address)));
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

    /**
     * Delivers a packet after the network's latency, after the partition of its hosts if packets
     * are buffered, or never.
     */
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

    /** Receives the response as the caller sees it; status 0 if there was none in time. */
    @FunctionalInterface
    public interface ResponseHandler {
        void onResponse(int status, byte[] body, int retryAfterSeconds);
    }

    /** Number of calls whose callers have neither a response nor a timeout yet. */
    private int openCalls;

    /** The most calls that were open at the same time. */
    public int maxOpenCalls;

    /** A call whose caller gets exactly one answer: the first response or the timeout. */
    private final class PendingCall {
        private final Request request;
        private final ResponseHandler caller;
        private boolean answered;

        PendingCall(Request request, ResponseHandler caller) {
            this.request = request;
            this.caller = caller;
        }

        /**
         * Passes the first answer to the caller and ignores further ones; status 0 is the timeout.
         */
        void answer(int status, byte[] responseBody, int retryAfterSeconds) {
            if (answered) {
                return;
            }
            answered = true;
            openCalls--;
            history.recordResponse(clock.nowMillis(), status, retryAfterSeconds, responseBody);
            caller.onResponse(status, responseBody, retryAfterSeconds);
            exchangeObserver.accept(
                    new Exchange(
                            request.to,
                            request.method,
                            request.path,
                            request.body,
                            status,
                            retryAfterSeconds,
                            responseBody));
        }
    }

    /**
     * Sends a request with the faults in force. The order of the steps determines the order of the
     * random draws; another order would change the scenario of each seed.
     */
    public void call(
            String from,
            String to,
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            ResponseHandler onResponse) {
        requestObserver.accept(path, body);
        history.recordCall(clock.nowMillis(), from, to, method, path, body);
        maxOpenCalls = Math.max(maxOpenCalls, ++openCalls);
        Request request = new Request(from, to, method, path, body);
        PendingCall call = new PendingCall(request, onResponse);
        clock.schedule(timeoutMillis, () -> call.answer(0, null, 0));
        maybeSendStaleCopy(request);
        maybeRetain(request);
        if (maybeHoldBack(request)) {
            return;
        }
        Delays delays = drawDelays(request);
        maybeDuplicate(request);
        transmit(call, delays);
    }

    private void maybeSendStaleCopy(Request request) {
        if (staleHeartbeatRate > 0
                && request.isHeartbeat()
                && clock.random.nextDouble() < staleHeartbeatRate) {
            staleHeartbeatsSent++;
            clock.schedule(
                    clock.random.nextInt(2_000, maxStaleHeartbeatDelayMillis),
                    () -> deliver(request, IGNORE_RESPONSE));
        }
    }

    private void maybeRetain(Request request) {
        if (heartbeatRetentionRate > 0
                && request.isHeartbeat()
                && clock.random.nextDouble() < heartbeatRetentionRate
                && retainedHeartbeats.size() < MAX_RETAINED_HEARTBEATS) {
            retainedHeartbeats.add(request);
        }
    }

    /** Whether the request itself is held until {@link #releaseHeldHeartbeats}. */
    private boolean maybeHoldBack(Request request) {
        boolean heldBack =
                heartbeatHoldRate > 0
                        && request.isHeartbeat()
                        && clock.random.nextDouble() < heartbeatHoldRate;
        if (heldBack) {
            heldHeartbeats.add(() -> deliver(request, IGNORE_RESPONSE));
        }
        return heldBack;
    }

    /** Draws whether a direct command or its response is held, and for how long. */
    private Delays drawDelays(Request request) {
        boolean held =
                commandHoldRate > 0
                        && request.isCommand()
                        && clock.random.nextDouble() < commandHoldRate;
        if (!held) {
            return Delays.NONE;
        }
        heldCommandCount++;
        if (minCommandResponseDelayMillis > 0) {
            return new Delays(0, minCommandResponseDelayMillis);
        }
        long requestMillis = clock.random.nextBoolean() ? clock.random.nextInt(1_000, 9_000) : 0;
        return new Delays(requestMillis, clock.random.nextInt(0, 2_000));
    }

    private void maybeDuplicate(Request request) {
        if (duplicationRate > 0 && clock.random.nextDouble() < duplicationRate) {
            clock.schedule(
                    clock.random.nextInt(100, 180_000), () -> deliver(request, IGNORE_RESPONSE));
        }
    }

    private void transmit(PendingCall call, Delays delays) {
        Request request = call.request;
        ResponseHandler returnPath =
                (status, responseBody, retryAfterSeconds) -> {
                    if (clock.random.nextDouble() < responseLossRate) {
                        return;
                    }
                    Runnable arrival = () -> call.answer(status, responseBody, retryAfterSeconds);
                    sendPacket(
                            request.to,
                            request.from,
                            () -> runAfter(delays.responseMillis, arrival));
                };
        sendPacket(
                request.from,
                request.to,
                () -> runAfter(delays.requestMillis, () -> deliver(request, returnPath)));
    }

    /** Delivers a copy of each retained heartbeat to each of the addresses. */
    void replayRetainedHeartbeats(List<String> addresses) {
        for (Request heartbeat : retainedHeartbeats) {
            for (String address : addresses) {
                Request copy =
                        new Request(
                                heartbeat.from, address, "POST", heartbeat.path, heartbeat.body);
                clock.schedule(
                        clock.random.nextInt(1, 400),
                        () -> {
                            replayedHeartbeats += handlersByAddress.containsKey(address) ? 1 : 0;
                            deliver(copy, IGNORE_RESPONSE);
                        });
            }
        }
        retainedHeartbeats.clear();
    }

    /** Delivers the held heartbeats to their addresses, long after their senders have given up. */
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

    /** The IP of the sender of the request that is being handled. */
    String senderIp() {
        return senderIp;
    }

    /** Delivers a copy of a request that was answered before; nobody receives its response. */
    void deliverCopy(Exchange exchange) {
        deliver(
                new Request(
                        SimulatedCluster.USERS_ADDRESS,
                        exchange.to,
                        exchange.method,
                        exchange.path,
                        exchange.body),
                IGNORE_RESPONSE);
    }

    private void deliver(Request request, ResponseHandler onResponse) {
        RequestHandler handler = handlersByAddress.get(request.to);
        if (handler == null) {
            return;
        }
        senderIp = hostOf(request.from);
        int queryStart = request.path.indexOf('?');
        handler.handle(
                new IncomingRequest(
                        request.method,
                        queryStart < 0 ? request.path : request.path.substring(0, queryStart),
                        queryParameters(request.path, queryStart),
                        request.body == null ? new byte[0] : request.body) {
                    @Override
                    protected void sendResponse(
                            int status, WireFormat codec, byte[] out, int retryAfterS) {
                        onResponse.onResponse(status, out, retryAfterS);
                    }
                });
    }

    private static Map<String, String> queryParameters(String path, int queryStart) {
        Map<String, String> query = new HashMap<>();
        if (queryStart >= 0) {
            for (String parameter : path.substring(queryStart + 1).split("&")) {
                int separator = parameter.indexOf('=');
                query.put(parameter.substring(0, separator), parameter.substring(separator + 1));
            }
        }
        return query;
    }

    private static boolean isTooLarge(byte[] body) {
        return body != null && body.length > TransportConstants.MAX_RESPONSE_BYTES;
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
                            if (process.isDead()) {
                                return;
                            }
                            if (isTooLarge(responseBody)) {
                                reply.onResponse(Transport.RESPONSE_TOO_LARGE, null);
                            } else {
                                reply.onResponse(status, responseBody);
                            }
                        });
    }
}
