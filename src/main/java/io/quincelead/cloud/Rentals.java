package io.quincelead.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Loop;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.leader.Leader;
import io.quincelead.net.Codec;
import io.quincelead.records.Blocks;
import io.quincelead.records.MachineTable;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rentals on record: each is recorded before it is asked for, under a name that is never used again, until its outcome is known. */
final class Rentals {
    private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

    /** A rental on record: its outcome is not known until the cloud has answered under this very name. */
    record Rental(String name, String machineType, String zone, boolean spot, int machineCount) { }

    private record Refusal(long untilMillis, long pauseMillis) { }

    private final Loop eventLoop;
    private final Session membershipLease;
    private final Mirror watchCache;
    private final StoreClient store;
    private final Blocks shards;
    private final MachineTable machines;
    private final Leader leader;
    private final CloudClient cloudClient;
    private final Changes committer;
    private final Map<String, Rental> openRequests = new LinkedHashMap<>();
    private final Set<String> requestsInFlight = new HashSet<>();
    private final Map<String, Refusal> refusalsByOffering = new HashMap<>();
    private long lastRequestNumber;
    private long recordedRequestCount;

    Rentals(Loop eventLoop, Session membershipLease, Mirror watchCache, StoreClient store, Blocks shards, MachineTable machines, Leader leader,
            CloudClient cloudClient, Changes committer) {
        this.eventLoop = eventLoop;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.store = store;
        this.shards = shards;
        this.machines = machines;
        this.leader = leader;
        this.cloudClient = cloudClient;
        this.committer = committer;
        watchCache.addPrefixListener(Keys.PROVISIONING_REQUEST_COUNTER, new Mirror.View() {
            @Override public void onPut(String key, JsonNode v, long stamp) {
                recordedRequestCount = v.path("n").asLong();
            }

            @Override public void onRemove(String key) {
                recordedRequestCount = 0;
            }
        });
        watchCache.addPrefixListener(Keys.PROVISIONING_REQUEST_PREFIX, new Mirror.View() {
            @Override public void onPut(String key, JsonNode v, long stamp) {
                String name = key.substring(Keys.PROVISIONING_REQUEST_PREFIX.length());
                openRequests.put(name, new Rental(name, v.path("k").asText(), v.path("s").asText(), v.path("p").asBoolean(), v.path("n").asInt()));
            }

            @Override public void onRemove(String key) {
                openRequests.remove(key.substring(Keys.PROVISIONING_REQUEST_PREFIX.length()));
            }
        });
    }

    /** Those whose outcome isn't on record yet. */
    Collection<Rental> openRequests() {
        return openRequests.values();
    }

    /** Whether the cloud said of late that it has no more of these. */
    boolean isRefused(Option offering) {
        Refusal refusal = refusalsByOffering.get(offering.id());
        return refusal != null && eventLoop.nowMillis() < refusal.untilMillis;
    }

    /** Records what is to be rented, as much as may be open at one time, and asks for it. */
    void provision(Map<Option, Integer> purchases) {
        // A copy of this change, minutes later, would record rentals again whose machines are long gone.
        Txn transaction = leader.newTransaction().requireRevision(Keys.PROVISIONING_REQUEST_COUNTER, watchCache.modRevision(Keys.PROVISIONING_REQUEST_COUNTER)).put(Keys.PROVISIONING_REQUEST_COUNTER, Codec.newMap().put("n", recordedRequestCount + purchases.size()));
        List<Rental> newRequests = new ArrayList<>();
        for (Map.Entry<Option, Integer> purchase : purchases.entrySet()) {
            if (openRequests.size() + newRequests.size() >= AutoscalerConstants.MAX_OPEN_PROVISIONING_REQUESTS || !transaction.fits(1, 0, store.maxTransactionOperations())) {
                break;
            }
            Option offering = purchase.getKey();
            String name = "r-" + shards.leaderRecord().fencingToken() + "-" + membershipLease.incarnation() + "-" + ++lastRequestNumber;
            int machineCount = Math.min(purchase.getValue(), AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST);
            Rental request = new Rental(name, offering.machineType().name(), offering.zone(), offering.spot(), machineCount);
            transaction.put(Keys.PROVISIONING_REQUEST_PREFIX + name, Codec.newMap().put("k", request.machineType).put("s", request.zone).put("p", request.spot).put("n", machineCount));
            newRequests.add(request);
        }
        if (!newRequests.isEmpty()) {
            committer.commit(transaction, () -> newRequests.forEach(this::submit));
        }
    }

    /** Asks for a recorded rental; repeated under the same name until the cloud has said yes or no. */
    void submit(Rental request) {
        if (!leader.isLeading() || !leader.areWritesSettled() || !requestsInFlight.add(request.name)) {
            return;
        }
        ObjectNode requestBody = Codec.newMap().put("rental", request.name).put("shape", request.machineType).put("site", request.zone).put("preemptible", request.spot).put("howMany", request.machineCount);
        cloudClient.call("POST", "/rentals", requestBody, false, (status, response) -> {
            // Settled once: carried out late, after the machines have gone again, it would bring their records back.
            String recordKey = Keys.PROVISIONING_REQUEST_PREFIX + request.name;
            if (watchCache.modRevision(recordKey) == 0) {
                requestsInFlight.remove(request.name);
                return;
            }
            Txn transaction = leader.newTransaction().requireRevision(recordKey, watchCache.modRevision(recordKey)).remove(recordKey);
            int receivedCount = 0;
            if (status == 200 && response.path("hosts").isArray()) {
                MachineTable.Edits edits = machines.beginEdits(transaction);
                for (JsonNode hostNode : response.path("hosts")) {
                    receivedCount++;
                    if (machines.get(hostNode.asText()) == null) {
                        edits.put(new MachineTable.Machine(hostNode.asText(), request.name, request.machineType, request.zone, request.spot, eventLoop.wallClockMillis()));
                    }
                }
                LOG.info("rented {} of {} {} in {}{}", receivedCount, request.machineCount, request.machineType, request.zone, request.spot ? ", spot" : "");
            } else if (status == 400) {
                LOG.error("the cloud calls a rental malformed: {}", requestBody);
            } else if (status != 503 || response == null || !response.path("error").asText().contains("capacity")) {
                eventLoop.runAfter(AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS, () -> requestsInFlight.remove(request.name));
                return;
            }
            if (receivedCount < request.machineCount) {
                recordRefusal(Option.id(request.machineType, request.zone, request.spot));
            }
            resolve(request, transaction);
        });
    }

    private void recordRefusal(String offeringId) {
        Refusal previous = refusalsByOffering.get(offeringId);
        long pauseMillis = previous == null || eventLoop.nowMillis() - previous.untilMillis > previous.pauseMillis ? AutoscalerConstants.NO_CAPACITY_BACKOFF_INITIAL_MILLIS
                : Math.min(AutoscalerConstants.NO_CAPACITY_BACKOFF_MAX_MILLIS, previous.pauseMillis * 2);
        refusalsByOffering.put(offeringId, new Refusal(eventLoop.nowMillis() + pauseMillis, pauseMillis));
    }

    private void resolve(Rental request, Txn transaction) {
        store.commit(transaction, outcome -> {
            leader.onOutcome(transaction, outcome);
            if (outcome.result() == Txn.Result.COMMITTED) {
                watchCache.applyCommitted(transaction, outcome.storeRevision());
            }
            // Otherwise the record stands and the same name is asked for again; the answer will be the same.
            eventLoop.runAfter(StoreConstants.RETRY_DELAY_MILLIS, () -> requestsInFlight.remove(request.name));
        });
    }
}
