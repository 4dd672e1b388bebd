package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service, written from the protocol. */
public final class SimulatedStore {
    private record VersionedValue(JsonNode value, long modRevision, long leaseId) {}

    private record StoreChange(long revision, String key, JsonNode value) {}

    private record Watch(
            String prefix, long afterRevision, IncomingRequest request, String clientIp) {}

    private final SimulatedClock clock;
    private final int maxOperations;
    private final TreeMap<String, VersionedValue> entries = new TreeMap<>();
    private final Map<Long, Long> leaseExpiryMillis = new HashMap<>();
    private final Map<Long, Long> leaseDurationMillis = new HashMap<>();
    private final List<StoreChange> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long lastLeaseId;

    /** Changes kept for watches. */
    public int retainedChanges = 10_000;

    public boolean down;
    private long downSinceMillis;

    /** ms for which the store has been down, when it is up again. */
    public long totalDownMillis;

    /** Controllers, by IP, that get 503 while the others are served; their open watches wait. */
    private final java.util.Set<String> refusedClients = new java.util.HashSet<>();

    /** Controllers, by IP, whose watches are late though all else is served. */
    private final java.util.Set<String> delayedWatchers = new java.util.HashSet<>();

    /**
     * Share of transactions that get no answer and are carried out 2 to 12 s later, after newer
     * ones.
     */
    public double delayedWriteRate;

    /**
     * Share of transactions that are carried out at once and of which only the answer is lost; how
     * many there were.
     */
    public double responseLossRate;

    public int lostResponses;

    /** Which transactions are carried out at once without an answer, whatever their share. */
    public java.util.function.Predicate<ObjectNode> dropsResponse = transaction -> false;

    /** Sees each transaction that has just been carried out. */
    public java.util.function.Consumer<ObjectNode> commitObserver = transaction -> {};

    /** How many of those were carried out, and how many failed by then. */
    public int delayedWritesApplied;

    public int delayedWritesRejected;

    /** Items that a page of a list holds at most. */
    public int maxPageSize = 1_000;

    /** ms. Each request takes up to so much longer. */
    public long maxExtraLatencyMillis;

    /** How often each key of the ledger was written. */
    public final Map<String, Integer> ledgerWrites = new HashMap<>();

    /** Which transactions get lost on their way, perhaps to arrive later. */
    public java.util.function.Predicate<ObjectNode> dropsTransaction = transaction -> false;

    /** Sees each transaction as it arrives, before anything is done with it. */
    public java.util.function.Consumer<ObjectNode> arrivalObserver = transaction -> {};

    public int largestValue;
    public int largestTransaction;

    public SimulatedStore(SimulatedClock clock, int maxOperations) {
        this.clock = clock;
        this.maxOperations = maxOperations;
        clock.schedule(50, this::expireLeases);
    }

    public JsonNode value(String key) {
        VersionedValue entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    public long revision() {
        return revision;
    }

    public java.util.Collection<String> keys() {
        return entries.keySet();
    }

    private void expireLeases() {
        if (!down) {
            for (Long leaseId : new ArrayList<>(leaseExpiryMillis.keySet())) {
                if (leaseExpiryMillis.get(leaseId) + 100 < clock.nowMillis()) {
                    endLease(leaseId);
                }
            }
        }
        clock.schedule(50, this::expireLeases);
    }

    /** After an outage all leases have their full time again. */
    public void setDown(boolean enabled) {
        totalDownMillis += down ? clock.nowMillis() - downSinceMillis : 0;
        downSinceMillis = clock.nowMillis();
        down = enabled;
        if (!enabled) {
            leaseExpiryMillis.replaceAll(
                    (leaseId, delayMillis) -> clock.nowMillis() + leaseDurationMillis.get(leaseId));
            notifyWatchers();
        }
    }

    private void endLease(long leaseId) {
        leaseExpiryMillis.remove(leaseId);
        revision++;
        for (String key : new ArrayList<>(entries.keySet())) {
            if (entries.get(key).leaseId == leaseId) {
                entries.remove(key);
                changes.add(new StoreChange(revision, key, null));
            }
        }
        notifyWatchers();
    }

    /** Refuses one controller alone, or serves it again. */
    public void setRefused(String ip, boolean enabled) {
        if (enabled) {
            refusedClients.add(ip);
        } else {
            refusedClients.remove(ip);
            notifyWatchers();
        }
    }

    /** Keeps what changes from one controller, or lets it catch up. */
    public void setWatchDelayed(String ip, boolean enabled) {
        if (enabled) {
            delayedWatchers.add(ip);
        } else {
            delayedWatchers.remove(ip);
            notifyWatchers();
        }
    }

    private boolean isUnavailableTo(String clientIp) {
        return down || refusedClients.contains(clientIp);
    }

    public void handle(IncomingRequest request, String clientIp) {
        if (maxExtraLatencyMillis > 0) {
            clock.schedule(
                    clock.random.nextLong(maxExtraLatencyMillis), () -> process(request, clientIp));
        } else {
            process(request, clientIp);
        }
    }

    private void process(IncomingRequest request, String clientIp) {
        if (request.path.equals("/watch") && !isUnavailableTo(clientIp)) {
            Watch watch =
                    new Watch(
                            request.queryParameters.get("prefix"),
                            Long.parseLong(request.queryParameters.get("after")),
                            request,
                            clientIp);
            watches.add(watch);
            clock.schedule(
                    Long.parseLong(request.queryParameters.getOrDefault("holdMs", "0")),
                    () -> {
                        if (!isUnavailableTo(clientIp)
                                && !delayedWatchers.contains(clientIp)
                                && watches.remove(watch)) {
                            answerWatch(watch, changesFor(watch));
                        }
                    });
            notifyWatchers();
            return;
        }
        if (isUnavailableTo(clientIp)) {
            request.respondError(503, "trouble");
            return;
        }
        ObjectNode body =
                request.method.equals("POST") ? WireFormat.CBOR.decodeMap(request.body) : null;
        if (request.path.equals("/holds")) {
            long leaseId = ++lastLeaseId;
            leaseDurationMillis.put(leaseId, body.path("lifeMs").asLong());
            leaseExpiryMillis.put(leaseId, clock.nowMillis() + body.path("lifeMs").asLong());
            request.respond(200, WireFormat.newMap().put("grant", leaseId));
        } else if (request.path.startsWith("/holds/")) {
            long leaseId = Long.parseLong(request.path.split("/")[2]);
            if (!leaseExpiryMillis.containsKey(leaseId)) {
                request.respond(404, WireFormat.newMap());
            } else if (request.method.equals("DELETE")) {
                endLease(leaseId);
                request.respond(200, WireFormat.newMap());
            } else {
                leaseExpiryMillis.put(
                        leaseId, clock.nowMillis() + leaseDurationMillis.get(leaseId));
                request.respond(200, WireFormat.newMap());
            }
        } else if (request.path.equals("/commit")) {
            if (delayedWriteRate > 0
                    && !body.path("then").isEmpty()
                    && clock.random.nextDouble() < delayedWriteRate) {
                commitLater(request, body, 2_000 + clock.random.nextLong(10_000));
            } else if (dropsResponse.test(body)
                    || responseLossRate > 0
                            && !body.path("then").isEmpty()
                            && clock.random.nextDouble() < responseLossRate) {
                lostResponses++;
                commit(requestWithoutResponse(), body);
            } else {
                commit(request, body);
            }
        } else if (request.path.equals("/store")) {
            list(request);
        } else {
            VersionedValue entry = entries.get(request.path.substring("/store/".length()));
            if (entry == null) {
                request.respond(404, WireFormat.newMap().put("generation", revision));
            } else {
                ObjectNode response =
                        WireFormat.newMap()
                                .put("path", request.path.substring("/store/".length()))
                                .put("stamp", entry.modRevision)
                                .put("grant", entry.leaseId);
                response.set("value", entry.value);
                request.respond(200, response);
            }
        }
    }

    /** Carries a transaction out after so many ms; nobody hears of it. */
    void commitLater(IncomingRequest request, ObjectNode body, long delayMillis) {
        clock.schedule(
                delayMillis,
                () -> {
                    if (down) {
                        commitLater(request, body, 1_000);
                        return;
                    }
                    long previousRevision = revision;
                    commit(requestWithoutResponse(), body);
                    if (revision > previousRevision) {
                        delayedWritesApplied++;
                    } else {
                        delayedWritesRejected++;
                    }
                });
    }

    /** Nobody hears the answer. */
    static IncomingRequest requestWithoutResponse() {
        return new IncomingRequest("POST", "/commit", Map.of(), new byte[0]) {
            @Override
            protected void sendResponse(
                    int status, WireFormat codec, byte[] out, int retryAfterS) {}
        };
    }

    private void list(IncomingRequest request) {
        ArrayNode items = WireFormat.newList();
        String prefix = request.queryParameters.get("prefix");
        int limit =
                Math.min(
                        maxPageSize,
                        Integer.parseInt(request.queryParameters.getOrDefault("limit", "1000")));
        boolean more = false;
        for (Map.Entry<String, VersionedValue> entry :
                entries.tailMap(request.queryParameters.getOrDefault("after", prefix), false)
                        .entrySet()) {
            if (entry.getKey().startsWith(prefix)) {
                if (items.size() >= limit) {
                    more = true;
                    break;
                }
                items.addObject()
                        .put("path", entry.getKey())
                        .put("stamp", entry.getValue().modRevision)
                        .set("value", entry.getValue().value);
            }
        }
        ObjectNode response =
                WireFormat.newMap().put("truncated", more).put("generation", revision);
        response.set("items", items);
        request.respond(200, response);
    }

    private void commit(IncomingRequest request, ObjectNode body) {
        if (dropsTransaction.test(body)) {
            return;
        }
        arrivalObserver.accept(body);
        JsonNode operations = body.path("then");
        if (operations.size() > maxOperations || body.path("guards").size() > 4 * maxOperations) {
            throw new IllegalStateException(
                    "a transaction over the limits: "
                            + operations.size()
                            + " changes, "
                            + body.path("guards").size()
                            + " guards");
        }
        largestTransaction = Math.max(largestTransaction, operations.size());
        for (JsonNode operation : operations) {
            if (operation.hasNonNull("grant")
                    && !leaseExpiryMillis.containsKey(operation.path("grant").asLong())) {
                request.respondError(400, "no such lease");
                return;
            }
            if (operation.has("put")) {
                int size = operation.path("value").toString().length();
                largestValue = Math.max(largestValue, size);
                if (size > 8 * 1024) {
                    throw new IllegalStateException("a value over the limit: " + size);
                }
            }
        }
        ArrayNode failedKeys = WireFormat.newList();
        for (JsonNode precondition : body.path("guards")) {
            VersionedValue entry = entries.get(precondition.path("path").asText());
            if ((entry == null ? 0 : entry.modRevision) != precondition.path("stamp").asLong()) {
                failedKeys.add(precondition.path("path").asText());
            }
        }
        if (!failedKeys.isEmpty()) {
            ObjectNode response = WireFormat.newMap().put("generation", revision);
            response.set("failed", failedKeys);
            request.respond(409, response);
            return;
        }
        if (!operations.isEmpty()) {
            revision++;
        }
        for (JsonNode operation : operations) {
            if (operation.path("put").asText().startsWith("z/oe/")) {
                ledgerWrites.merge(operation.path("put").asText(), 1, Integer::sum);
            }
            if (operation.has("put")) {
                entries.put(
                        operation.path("put").asText(),
                        new VersionedValue(
                                operation.path("value"),
                                revision,
                                operation.path("grant").asLong()));
                changes.add(
                        new StoreChange(
                                revision, operation.path("put").asText(), operation.path("value")));
            } else if (entries.remove(operation.path("remove").asText()) != null) {
                changes.add(new StoreChange(revision, operation.path("remove").asText(), null));
            }
        }
        request.respond(200, WireFormat.newMap().put("generation", revision));
        notifyWatchers();
        if (!operations.isEmpty()) {
            commitObserver.accept(body);
        }
    }

    private void notifyWatchers() {
        if (down) {
            return;
        }
        for (Watch watch : new ArrayList<>(watches)) {
            if (isUnavailableTo(watch.clientIp) || delayedWatchers.contains(watch.clientIp)) {
                continue;
            }
            if (changes.size() > retainedChanges
                    && changes.get(changes.size() - retainedChanges).revision
                            > watch.afterRevision) {
                watches.remove(watch);
                watch.request.respond(410, WireFormat.newMap());
                continue;
            }
            ArrayNode events = changesFor(watch);
            if (!events.isEmpty()) {
                watches.remove(watch);
                answerWatch(watch, events);
            }
        }
    }

    private ArrayNode changesFor(Watch watch) {
        ArrayNode events = WireFormat.newList();
        for (int i = changes.size() - 1;
                i >= 0 && changes.get(i).revision > watch.afterRevision;
                i--) {
            StoreChange change = changes.get(i);
            if (change.key.startsWith(watch.prefix)) {
                ObjectNode node =
                        WireFormat.newMap()
                                .put(change.value == null ? "remove" : "put", change.key)
                                .put("stamp", change.revision);
                if (change.value != null) {
                    node.set("value", change.value);
                }
                events.insert(0, node);
            }
        }
        return events;
    }

    private void answerWatch(Watch watch, ArrayNode events) {
        ObjectNode response = WireFormat.newMap().put("generation", revision);
        response.set("news", events);
        watch.request.respond(200, response);
    }
}
