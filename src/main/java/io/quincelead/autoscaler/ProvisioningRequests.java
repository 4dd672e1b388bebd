package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
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

/**
 * Rentals on record: each is recorded before it is asked for, under a name that is never used
 * again, until its outcome is known.
 */
final class ProvisioningRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ProvisioningRequests.class);

    /**
     * A rental on record: its outcome is not known until the cloud has answered under this very
     * name.
     */
    record ProvisioningRequest(
            String name, String machineType, String zone, boolean spot, int machineCount) {}

    private record Refusal(long untilMillis, long pauseMillis) {}

    private final EventLoop eventLoop;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final MachineTable machines;
    private final Leader leader;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final Map<String, ProvisioningRequest> openRequests = new LinkedHashMap<>();
    private final Set<String> requestsInFlight = new HashSet<>();
    private final Map<String, Refusal> refusalsByOffering = new HashMap<>();
    private long lastRequestNumber;
    private long recordedRequestCount;

    ProvisioningRequests(
            EventLoop eventLoop,
            MembershipLease membershipLease,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership shards,
            MachineTable machines,
            Leader leader,
            CloudClient cloudClient,
            SingleFlightCommitter committer) {
        this.eventLoop = eventLoop;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.store = store;
        this.shards = shards;
        this.machines = machines;
        this.leader = leader;
        this.cloudClient = cloudClient;
        this.committer = committer;
        watchCache.addPrefixListener(
                StoreKeys.PROVISIONING_REQUEST_COUNTER,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        recordedRequestCount = v.path("n").asLong();
                    }

                    @Override
                    public void onRemove(String key) {
                        recordedRequestCount = 0;
                    }
                });
        watchCache.addPrefixListener(
                StoreKeys.PROVISIONING_REQUEST_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        String name = key.substring(StoreKeys.PROVISIONING_REQUEST_PREFIX.length());
                        openRequests.put(
                                name,
                                new ProvisioningRequest(
                                        name,
                                        v.path("k").asText(),
                                        v.path("s").asText(),
                                        v.path("p").asBoolean(),
                                        v.path("n").asInt()));
                    }

                    @Override
                    public void onRemove(String key) {
                        openRequests.remove(
                                key.substring(StoreKeys.PROVISIONING_REQUEST_PREFIX.length()));
                    }
                });
    }

    /** Those whose outcome isn't on record yet. */
    Collection<ProvisioningRequest> openRequests() {
        return openRequests.values();
    }

    /** Whether the cloud said of late that it has no more of these. */
    boolean isRefused(InstanceOffering offering) {
        Refusal refusal = refusalsByOffering.get(offering.id());
        return refusal != null && eventLoop.nowMillis() < refusal.untilMillis;
    }

    /** Records what is to be rented, as much as may be open at one time, and asks for it. */
    void provision(Map<InstanceOffering, Integer> purchases) {
        // A copy of this change, minutes later, would record rentals again whose machines are long
        // gone.
        Transaction transaction =
                leader.newTransaction()
                        .requireRevision(
                                StoreKeys.PROVISIONING_REQUEST_COUNTER,
                                watchCache.modRevision(StoreKeys.PROVISIONING_REQUEST_COUNTER))
                        .put(
                                StoreKeys.PROVISIONING_REQUEST_COUNTER,
                                WireFormat.newMap()
                                        .put("n", recordedRequestCount + purchases.size()));
        List<ProvisioningRequest> newRequests = new ArrayList<>();
        for (Map.Entry<InstanceOffering, Integer> purchase : purchases.entrySet()) {
            if (openRequests.size() + newRequests.size()
                            >= AutoscalerConstants.MAX_OPEN_PROVISIONING_REQUESTS
                    || !transaction.fits(1, 0, store.maxTransactionOperations())) {
                break;
            }
            InstanceOffering offering = purchase.getKey();
            String name =
                    "r-"
                            + shards.leaderRecord().fencingToken()
                            + "-"
                            + membershipLease.incarnation()
                            + "-"
                            + ++lastRequestNumber;
            int machineCount =
                    Math.min(
                            purchase.getValue(),
                            AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST);
            ProvisioningRequest request =
                    new ProvisioningRequest(
                            name,
                            offering.machineType().name(),
                            offering.zone(),
                            offering.spot(),
                            machineCount);
            transaction.put(
                    StoreKeys.PROVISIONING_REQUEST_PREFIX + name,
                    WireFormat.newMap()
                            .put("k", request.machineType)
                            .put("s", request.zone)
                            .put("p", request.spot)
                            .put("n", machineCount));
            newRequests.add(request);
        }
        if (!newRequests.isEmpty()) {
            committer.commit(transaction, () -> newRequests.forEach(this::submit));
        }
    }

    /**
     * Asks for a recorded rental; repeated under the same name until the cloud has said yes or no.
     */
    void submit(ProvisioningRequest request) {
        if (!leader.isLeading()
                || !leader.areWritesSettled()
                || !requestsInFlight.add(request.name)) {
            return;
        }
        ObjectNode requestBody =
                WireFormat.newMap()
                        .put("rental", request.name)
                        .put("shape", request.machineType)
                        .put("site", request.zone)
                        .put("preemptible", request.spot)
                        .put("howMany", request.machineCount);
        cloudClient.call(
                "POST",
                "/rentals",
                requestBody,
                false,
                (status, response) -> {
                    // Settled once: carried out late, after the machines have gone again, it would
                    // bring their records back.
                    String recordKey = StoreKeys.PROVISIONING_REQUEST_PREFIX + request.name;
                    if (watchCache.modRevision(recordKey) == 0) {
                        requestsInFlight.remove(request.name);
                        return;
                    }
                    Transaction transaction =
                            leader.newTransaction()
                                    .requireRevision(recordKey, watchCache.modRevision(recordKey))
                                    .remove(recordKey);
                    int receivedCount = 0;
                    if (status == 200 && response.path("hosts").isArray()) {
                        MachineEdits edits = machines.beginEdits(transaction);
                        for (JsonNode hostNode : response.path("hosts")) {
                            receivedCount++;
                            if (machines.get(hostNode.asText()) == null) {
                                edits.put(
                                        new MachineTable.Machine(
                                                hostNode.asText(),
                                                request.name,
                                                request.machineType,
                                                request.zone,
                                                request.spot,
                                                eventLoop.wallClockMillis()));
                            }
                        }
                        LOG.info(
                                "rented {} of {} {} in {}{}",
                                receivedCount,
                                request.machineCount,
                                request.machineType,
                                request.zone,
                                request.spot ? ", spot" : "");
                    } else if (status == 400) {
                        LOG.error("the cloud calls a rental malformed: {}", requestBody);
                    } else if (status != 503
                            || response == null
                            || !response.path("error").asText().contains("capacity")) {
                        eventLoop.runAfter(
                                AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS,
                                () -> requestsInFlight.remove(request.name));
                        return;
                    }
                    if (receivedCount < request.machineCount) {
                        recordRefusal(
                                InstanceOffering.id(
                                        request.machineType, request.zone, request.spot));
                    }
                    resolve(request, transaction);
                });
    }

    private void recordRefusal(String offeringId) {
        Refusal previous = refusalsByOffering.get(offeringId);
        long pauseMillis =
                previous == null
                                || eventLoop.nowMillis() - previous.untilMillis
                                        > previous.pauseMillis
                        ? AutoscalerConstants.NO_CAPACITY_BACKOFF_INITIAL_MILLIS
                        : Math.min(
                                AutoscalerConstants.NO_CAPACITY_BACKOFF_MAX_MILLIS,
                                previous.pauseMillis * 2);
        refusalsByOffering.put(
                offeringId, new Refusal(eventLoop.nowMillis() + pauseMillis, pauseMillis));
    }

    private void resolve(ProvisioningRequest request, Transaction transaction) {
        store.commit(
                transaction,
                outcome -> {
                    leader.onOutcome(transaction, outcome);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                    }
                    // Otherwise the record stands and the same name is asked for again; the answer
                    // will be the same.
                    eventLoop.runAfter(
                            StoreConstants.RETRY_DELAY_MILLIS,
                            () -> requestsInFlight.remove(request.name));
                });
    }
}
