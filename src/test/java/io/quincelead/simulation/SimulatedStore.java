package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A simulated state store, written from the specification of its protocol. */
public final class SimulatedStore {
    private record VersionedValue(JsonNode value, long modRevision, long leaseId) {}

    private record StoreChange(long revision, String key, JsonNode value) {}

    private record Watch(
            String prefix, long afterRevision, IncomingRequest request, String clientIp) {}

    /** Maximum length of a value, in characters of JSON. */
    private static final int MAX_VALUE_LENGTH = 8 * 1024;

    /**
     * Interval in ms at which {@link #holdsTransaction} is evaluated again for a held transaction.
     */
    private static final long HOLD_CHECK_MILLIS = 20;

    private final SimulatedClock clock;
    private final int maxOperations;
    private final TreeMap<String, VersionedValue> entries = new TreeMap<>();
    private final Map<Long, Long> leaseExpiryMillis = new HashMap<>();
    private final Map<Long, Long> leaseDurationMillis = new HashMap<>();
    private final List<StoreChange> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private int leaseCount;

    /** Number of changes kept for watches; a watch that starts before them gets 410. */
    public int maxRetainedChanges = 10_000;

    public boolean down;
    private long downSinceMillis;

    /** Total time in ms of the outages that have ended. */
    public long totalDownMillis;

    /**
     * IPs of controllers whose requests get 503 while others are served; their open watches get no
     * response.
     */
    private final Set<String> refusedClients = new HashSet<>();

    /** IPs of controllers whose watches get no response while their other requests are served. */
    private final Set<String> delayedWatchers = new HashSet<>();

    /**
     * Share of transactions that get no response and are committed 2 to 12 s later, after newer
     * ones.
     */
    public double delayedWriteRate;

    /** Share of transactions that are committed immediately while their response is lost. */
    public double responseLossRate;

    /** Number of committed transactions whose response was lost. */
    public int lostResponses;

    /**
     * Selects transactions that are committed immediately without a response, in addition to {@link
     * #responseLossRate}.
     */
    public Predicate<ObjectNode> dropsResponse = transaction -> false;

    /** Receives each transaction that has just been committed. */
    public Consumer<ObjectNode> commitObserver = transaction -> {};

    /** Number of delayed transactions that were committed when they arrived. */
    public int delayedWritesApplied;

    /** Number of delayed transactions that were rejected when they arrived. */
    public int delayedWritesRejected;

    /** Maximum number of items on a page of a list. */
    public int maxPageSize = 1_000;

    /** Upper limit in ms of the random extra latency of each request. */
    public long maxExtraLatencyMillis;

    /** Number of writes of each key of the ledger. */
    public final Map<String, Integer> ledgerWrites = new HashMap<>();

    /** Selects transactions that are lost on their way; a test may commit them later. */
    public Predicate<ObjectNode> dropsTransaction = transaction -> false;

    /** Selects transactions that are held on their way until the predicate no longer matches. */
    public Predicate<ObjectNode> holdsTransaction = transaction -> false;

    /** Selects transactions that the store calls malformed or too large. */
    public Predicate<ObjectNode> refusesTransaction = transaction -> false;

    /** Number of transactions that were called malformed or too large. */
    public int refusedTransactions;

    /** Receives each transaction on arrival, before it is processed. */
    public Consumer<ObjectNode> arrivalObserver = transaction -> {};

    public int largestValueLength;

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

    public Collection<String> keys() {
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

    /** Starts or ends an outage; after it all leases have their full duration again. */
    public void setDown(boolean nowDown) {
        totalDownMillis += down ? clock.nowMillis() - downSinceMillis : 0;
        downSinceMillis = clock.nowMillis();
        down = nowDown;
        if (!nowDown) {
            leaseExpiryMillis.replaceAll(
                    (leaseId, expiryMillis) ->
                            clock.nowMillis() + leaseDurationMillis.get(leaseId));
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

    /** Starts or stops refusing the requests of one controller. */
    public void setRefused(String ip, boolean refused) {
        if (refused) {
            refusedClients.add(ip);
        } else {
            refusedClients.remove(ip);
            notifyWatchers();
        }
    }

    /** Delays the watches of one controller, or lets it catch up. */
    public void setWatchDelayed(String ip, boolean delayed) {
        if (delayed) {
            delayedWatchers.add(ip);
        } else {
            delayedWatchers.remove(ip);
            notifyWatchers();
        }
    }

    boolean isUnavailableTo(String clientIp) {
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
        if (isUnavailableTo(clientIp)) {
            request.respondError(503, "trouble");
            return;
        }
        if (request.path.equals("/watch")) {
            openWatch(request, clientIp);
            return;
        }
        ObjectNode body =
                request.method.equals("POST") ? WireFormat.CBOR.decodeMap(request.body) : null;
        if (request.path.equals("/holds")) {
            openLease(request, body.path("lifeMs").asLong());
        } else if (request.path.startsWith("/holds/")) {
            renewOrEndLease(request, Long.parseLong(request.path.split("/")[2]));
        } else if (request.path.equals("/commit") && holdsTransaction.test(body)) {
            clock.schedule(HOLD_CHECK_MILLIS, () -> process(request, clientIp));
        } else if (request.path.equals("/commit")) {
            commitWithFaults(request, body);
        } else if (request.path.equals("/store")) {
            list(request);
        } else {
            read(request, request.path.substring("/store/".length()));
        }
    }

    private void openWatch(IncomingRequest request, String clientIp) {
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
    }

    private void openLease(IncomingRequest request, long durationMillis) {
        long leaseId = nextLeaseId();
        leaseDurationMillis.put(leaseId, durationMillis);
        leaseExpiryMillis.put(leaseId, clock.nowMillis() + durationMillis);
        request.respond(200, WireFormat.newMap().put("grant", leaseId));
    }

    /** Lease IDs are unique, but in no order, which the protocol doesn't promise. */
    private long nextLeaseId() {
        return Integer.reverse(++leaseCount) >>> 1;
    }

    private void renewOrEndLease(IncomingRequest request, long leaseId) {
        if (!leaseExpiryMillis.containsKey(leaseId)) {
            request.respond(404, WireFormat.newMap());
        } else if (request.method.equals("DELETE")) {
            endLease(leaseId);
            request.respond(200, WireFormat.newMap());
        } else {
            leaseExpiryMillis.put(leaseId, clock.nowMillis() + leaseDurationMillis.get(leaseId));
            request.respond(200, WireFormat.newMap());
        }
    }

    /** Commits a transaction now, later, or without a response. */
    private void commitWithFaults(IncomingRequest request, ObjectNode body) {
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
    }

    private void read(IncomingRequest request, String key) {
        VersionedValue entry = entries.get(key);
        if (entry == null) {
            request.respond(404, WireFormat.newMap().put("generation", revision));
            return;
        }
        ObjectNode response =
                WireFormat.newMap()
                        .put("path", key)
                        .put("stamp", entry.modRevision)
                        .put("grant", entry.leaseId);
        response.set("value", entry.value);
        request.respond(200, response);
    }

    /** Commits a transaction after a delay in ms, without a response. */
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

    /** Returns a request whose response is discarded. */
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
        requireWithinLimits(operations.size(), body.path("guards").size());
        if (refusesTransaction.test(body)) {
            refusedTransactions++;
            request.respondError(400, "too large");
            return;
        }
        if (!checkOperations(operations)) {
            request.respondError(400, "no such lease");
            return;
        }
        ArrayNode failedKeys = failedPreconditions(body.path("guards"));
        if (!failedKeys.isEmpty()) {
            ObjectNode response = WireFormat.newMap().put("generation", revision);
            response.set("failed", failedKeys);
            request.respond(409, response);
            return;
        }
        if (!operations.isEmpty()) {
            revision++;
        }
        operations.forEach(this::apply);
        request.respond(200, WireFormat.newMap().put("generation", revision));
        notifyWatchers();
        if (!operations.isEmpty()) {
            commitObserver.accept(body);
        }
    }

    /**
     * Ends the scenario if a controller sends a transaction that exceeds the real service's limits.
     */
    private void requireWithinLimits(int operationCount, int preconditionCount) {
        if (operationCount > maxOperations || preconditionCount > 4 * maxOperations) {
            throw new IllegalStateException(
                    "a transaction over the limits: "
                            + operationCount
                            + " changes, "
                            + preconditionCount
                            + " guards");
        }
    }

    /**
     * Whether all leases that the operations refer to are alive. Checks and records the sizes of
     * the values up to the first operation with an expired lease.
     */
    private boolean checkOperations(JsonNode operations) {
        for (JsonNode operation : operations) {
            if (operation.hasNonNull("grant")
                    && !leaseExpiryMillis.containsKey(operation.path("grant").asLong())) {
                return false;
            }
            if (operation.has("put")) {
                int size = operation.path("value").toString().length();
                largestValueLength = Math.max(largestValueLength, size);
                if (size > MAX_VALUE_LENGTH) {
                    throw new IllegalStateException("a value over the limit: " + size);
                }
            }
        }
        return true;
    }

    /**
     * The keys whose mod revision isn't the required one; 0 requires that the key doesn't exist.
     */
    private ArrayNode failedPreconditions(JsonNode preconditions) {
        ArrayNode failedKeys = WireFormat.newList();
        for (JsonNode precondition : preconditions) {
            String key = precondition.path("path").asText();
            VersionedValue entry = entries.get(key);
            if ((entry == null ? 0 : entry.modRevision) != precondition.path("stamp").asLong()) {
                failedKeys.add(key);
            }
        }
        return failedKeys;
    }

    /** Puts or removes one key at the current store revision. */
    private void apply(JsonNode operation) {
        if (!operation.has("put")) {
            String removedKey = operation.path("remove").asText();
            if (entries.remove(removedKey) != null) {
                changes.add(new StoreChange(revision, removedKey, null));
            }
            return;
        }
        String key = operation.path("put").asText();
        JsonNode value = operation.path("value");
        if (key.startsWith("z/oe/")) {
            ledgerWrites.merge(key, 1, Integer::sum);
        }
        entries.put(key, new VersionedValue(value, revision, operation.path("grant").asLong()));
        changes.add(new StoreChange(revision, key, value));
    }

    private void notifyWatchers() {
        if (down) {
            return;
        }
        for (Watch watch : new ArrayList<>(watches)) {
            if (isUnavailableTo(watch.clientIp) || delayedWatchers.contains(watch.clientIp)) {
                continue;
            }
            if (changes.size() > maxRetainedChanges
                    && changes.get(changes.size() - maxRetainedChanges).revision
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
