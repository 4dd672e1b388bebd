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
import java.util.function.BiConsumer;
import java.util.function.Consumer;

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

    /** A request on its way; a copy of it is the same request again. */
    private record Request(String from, String to, String method, String path, byte[] body) {
        boolean isHeartbeat() {
            return path.equals("/v1/report");
        }

        boolean isCommand() {
            return path.equals("/orders");
        }
    }

    /** ms by which a request and its answer are held up besides the latency of their packets. */
    private record Delays(long requestMillis, long responseMillis) {
        static final Delays NONE = new Delays(0, 0);
    }

    /** Copies of heartbeats kept at most for the next leader. */
    private static final int MAX_RETAINED_HEARTBEATS = 400;

    /** Whoever would hear the answer to a copy has given up or never asked. */
    private static final ResponseHandler IGNORE_RESPONSE =
            (status, responseBody, retryAfterSeconds) -> {};

    private final List<Request> retainedHeartbeats = new ArrayList<>();
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
    public BiConsumer<String, byte[]> requestObserver = (path, body) -> {};

    /** Who sent what is being handled. */
    private String senderIp = "";

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
     * Cuts two hosts; with {@code hold}, what was sent arrives late, even if the sender has given
     * up.
     */
    public void partition(String firstIp, String secondIp, boolean buffer) {
        partitionedPairs.add(pairKey(firstIp, secondIp));
        if (buffer) {
            bufferedPairs.add(pairKey(firstIp, secondIp));
        }
    }

    /** Whether a host is cut off from the host of an address. */
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
        void onResponse(int status, byte[] body, int retryAfterSeconds);
    }

    /** Questions under way, and the most at once. */
    private int openCalls;

    public int maxOpenCalls;

    /** A call until its caller has its one answer, be it the timeout's. */
    private final class PendingCall {
        private final Request request;
        private final ResponseHandler caller;
        private boolean answered;

        PendingCall(Request request, ResponseHandler caller) {
            this.request = request;
            this.caller = caller;
        }

        /** Only the first answer counts; status 0: the caller's time is up. */
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
     * Sends a request with the faults in force. The order of the steps is that of their random
     * draws: another one would play other scenarios.
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

    /** Whether the request itself is held up until {@link #releaseHeldHeartbeats}. */
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

    /** A direct command may be held up on its way, or its answer. */
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

    /** Brings a copy of each report that was kept to each of these addresses. */
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
    String senderIp() {
        return senderIp;
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
