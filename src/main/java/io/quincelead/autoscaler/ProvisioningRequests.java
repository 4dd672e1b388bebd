package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The provisioning requests whose outcome is not on record yet. Each is recorded before it is
 * submitted, under a name that is never reused, and resubmitted under that name until the cloud
 * gives a definitive response; one transaction then replaces it on record by its machines.
 */
final class ProvisioningRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ProvisioningRequests.class);

    private final EventLoop eventLoop;
    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final CapacityBackoff capacityBackoff;
    private final Map<String, ProvisioningRequest> openRequests = new LinkedHashMap<>();

    /** Names of the requests that await a response or the delay before they are submitted again. */
    private final Set<String> requestsInFlight = new HashSet<>();

    private long lastRequestNumber;
    private long recordedRequestCount;

    ProvisioningRequests(
            EventLoop eventLoop,
            ClusterView cluster,
            LeaderStore leaderStore,
            CloudClient cloudClient,
            SingleFlightCommitter committer) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.cloudClient = cloudClient;
        this.committer = committer;
        this.capacityBackoff = new CapacityBackoff(eventLoop);
        leaderStore
                .watchCache()
                .addPrefixListener(
                        StoreKeys.PROVISIONING_REQUEST_COUNTER,
                        new WatchCache.PrefixListener() {
                            @Override
                            public void onPut(String key, JsonNode value, long modRevision) {
                                recordedRequestCount =
                                        ProvisioningRequestCodec.decodeCounter(value);
                            }

                            @Override
                            public void onRemove(String key) {
                                recordedRequestCount = 0;
                            }
                        });
        leaderStore
                .watchCache()
                .addPrefixListener(
                        StoreKeys.PROVISIONING_REQUEST_PREFIX,
                        new WatchCache.PrefixListener() {
                            @Override
                            public void onPut(String key, JsonNode value, long modRevision) {
                                String name = requestName(key);
                                openRequests.put(
                                        name, ProvisioningRequestCodec.decode(name, value));
                            }

                            @Override
                            public void onRemove(String key) {
                                openRequests.remove(requestName(key));
                            }
                        });
    }

    private static String requestName(String storeKey) {
        return storeKey.substring(StoreKeys.PROVISIONING_REQUEST_PREFIX.length());
    }

    /** A view of the requests whose outcome is not on record yet. */
    Collection<ProvisioningRequest> openRequests() {
        return Collections.unmodifiableCollection(openRequests.values());
    }

    /** Whether the cloud recently provided fewer machines of this offering than requested. */
    boolean isRefused(InstanceOffering offering) {
        return capacityBackoff.isPaused(offering.id());
    }

    /**
     * Records requests for these machines, as many as may be open at one time, and submits them
     * once they are on record.
     */
    void provision(Map<InstanceOffering, Integer> newMachineCounts) {
        Transaction transaction = leaderStore.newTransaction();
        // A duplicate of this write, applied minutes later, would record the requests again after
        // their machines were released: the precondition on the counter's revision prevents it.
        leaderStore
                .requireUnchanged(transaction, StoreKeys.PROVISIONING_REQUEST_COUNTER)
                .put(
                        StoreKeys.PROVISIONING_REQUEST_COUNTER,
                        ProvisioningRequestCodec.encodeCounter(
                                recordedRequestCount + newMachineCounts.size()));
        List<ProvisioningRequest> newRequests = new ArrayList<>();
        for (Map.Entry<InstanceOffering, Integer> entry : newMachineCounts.entrySet()) {
            if (openRequests.size() + newRequests.size()
                            >= AutoscalerConstants.MAX_OPEN_PROVISIONING_REQUESTS
                    || !leaderStore.fits(transaction, 1, 0)) {
                break;
            }
            ProvisioningRequest request = newRequest(entry.getKey(), entry.getValue());
            transaction.put(
                    StoreKeys.PROVISIONING_REQUEST_PREFIX + request.name(),
                    ProvisioningRequestCodec.encode(request));
            newRequests.add(request);
        }
        if (!newRequests.isEmpty()) {
            committer.commit(transaction, () -> newRequests.forEach(this::submit));
        }
    }

    private ProvisioningRequest newRequest(InstanceOffering offering, int machineCount) {
        // The fencing token and the incarnation make the name differ from those of other leaders
        // and of earlier processes of this member.
        String name =
                "r-"
                        + cluster.membership().leaderRecord().fencingToken()
                        + "-"
                        + leaderStore.membershipLease().incarnation()
                        + "-"
                        + ++lastRequestNumber;
        return new ProvisioningRequest(
                name,
                offering.machineType().name(),
                offering.zone(),
                offering.spot(),
                Math.min(machineCount, AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST));
    }

    /** Submits a recorded request to the cloud, unless a submission is in flight. */
    void submit(ProvisioningRequest request) {
        if (!leaderStore.leader().isLeading()
                || !leaderStore.leader().trySettleWrites()
                || !requestsInFlight.add(request.name())) {
            return;
        }
        cloudClient.provision(request, result -> onResult(request, result));
    }

    private void onResult(ProvisioningRequest request, ProvisioningResult result) {
        // A result is applied only while the request is on record: later, after the machines were
        // released, it would bring their records back.
        String recordKey = StoreKeys.PROVISIONING_REQUEST_PREFIX + request.name();
        if (leaderStore.watchCache().modRevision(recordKey) == 0) {
            requestsInFlight.remove(request.name());
            return;
        }
        if (result instanceof ProvisioningResult.Unknown) {
            eventLoop.runAfter(
                    AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS,
                    () -> requestsInFlight.remove(request.name()));
            return;
        }
        Transaction transaction =
                leaderStore
                        .requireUnchanged(leaderStore.newTransaction(), recordKey)
                        .remove(recordKey);
        int receivedCount = 0;
        if (result instanceof ProvisioningResult.Provisioned provisioned) {
            receivedCount = provisioned.hosts().size();
            recordMachines(request, provisioned.hosts(), transaction);
        } else if (result instanceof ProvisioningResult.Malformed) {
            LOG.error(
                    "the cloud rejected a provisioning request as malformed: {}",
                    CloudCodec.encodeRequest(request));
        }
        if (receivedCount < request.machineCount()) {
            capacityBackoff.recordRefusal(
                    InstanceOffering.id(request.machineType(), request.zone(), request.spot()));
        }
        resolve(request, transaction);
    }

    private void recordMachines(
            ProvisioningRequest request, List<String> hosts, Transaction transaction) {
        MachineTable machines = cluster.machines();
        MachineEdits edits = machines.beginEdits(transaction);
        for (String host : hosts) {
            if (machines.get(host) == null) {
                edits.put(
                        new MachineTable.Machine(
                                host,
                                request.name(),
                                request.machineType(),
                                request.zone(),
                                request.spot(),
                                eventLoop.wallClockMillis()));
            }
        }
        LOG.info(
                "provisioned {} of {} {} in {}{}",
                hosts.size(),
                request.machineCount(),
                request.machineType(),
                request.zone(),
                request.spot() ? ", spot" : "");
    }

    private void resolve(ProvisioningRequest request, Transaction transaction) {
        leaderStore
                .store()
                .commit(
                        transaction,
                        outcome -> {
                            leaderStore.onOutcome(transaction, outcome);
                            // Unless it was committed, the request stays on record and is submitted
                            // again under the same name; the response will be the same.
                            eventLoop.runAfter(
                                    StoreConstants.RETRY_DELAY_MILLIS,
                                    () -> requestsInFlight.remove(request.name()));
                        });
    }
}
