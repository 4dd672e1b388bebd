package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Speaks with the workers of this controller's block: takes their reports as evidence, answers with
 * what the records say, and sends kills at once. It never decides where a task runs, and it never
 * concludes anything from time alone.
 */
public final class WorkerGateway {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerGateway.class);

    /** What the rest of the controller does for the desk. */
    public interface Callbacks {
        /** A worker reports to this controller though it isn't of its block, or of any. */
        void onMisroutedWorker(MisroutedWorker worker);

        /** Something changed that the next round should see. */
        void requestCycle();

        /** There is evidence that a task is over. */
        void onTaskTerminated(Placement placement);

        /** Whether a round is due or under way whose result a report's answer should wait for. */
        boolean isCyclePending();
    }

    private final EventLoop loop;
    private final Settings settings;
    private final MembershipLease membershipLease;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final Transport transport;
    private final Callbacks callbacks;
    private final MisroutedWorkers misroutedWorkers;
    private final TaskStatusReconciler statusReconciler;
    private final WorkerCommands workerCommands;
    private final WorkerFailureDetector failureDetector;
    private final Map<String, ShardWorker> workers = new LinkedHashMap<>();

    /** Machines whose records changed since the last look. */
    private final Set<String> changedHosts = new HashSet<>();

    /** Machines whose report's answer waits for the round that is due. */
    private final Set<ShardWorker> awaitingCycle = new LinkedHashSet<>();

    /** Reports whose answers wait, by the loop time in ms at which that is over. */
    private final Map<Long, List<DeferredResponse>> deferredResponses = new HashMap<>();

    public WorkerGateway(
            EventLoop loop,
            Settings settings,
            MembershipLease membershipLease,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            WatchCache watchCache,
            StoreClient store,
            Transport transport,
            Policy policy,
            ZoneTable zones,
            Callbacks callbacks) {
        this.loop = loop;
        this.settings = settings;
        this.membershipLease = membershipLease;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.watchCache = watchCache;
        this.store = store;
        this.transport = transport;
        this.callbacks = callbacks;
        this.misroutedWorkers =
                new MisroutedWorkers(
                        loop,
                        settings,
                        membershipLease,
                        watchCache,
                        shards,
                        transport,
                        callbacks::onMisroutedWorker);
        this.statusReconciler = new TaskStatusReconciler(loop, jobs, callbacks);
        this.workerCommands = new WorkerCommands(loop, membershipLease, watchCache, shards, jobs);
        this.failureDetector =
                new WorkerFailureDetector(loop, settings, jobs, machines, catalog, policy, zones);
        shards.onShardChange(this::onShardChanged);
        jobs.onMachineChanged(changedHosts::add);
        loop.runEvery(WorkerConstants.HEALTH_CHECK_INTERVAL_MILLIS, this::checkWorkers);
    }

    public ShardWorker worker(String host) {
        return workers.get(host);
    }

    public Iterable<ShardWorker> workers() {
        return workers.values();
    }

    /**
     * Takes over the machines that our block now names, each under its term; a new term starts from
     * nothing.
     */
    private void onShardChanged() {
        ClusterMembership.Shard shard = shards.localShard();
        Map<String, Long> fencingTokens = shard == null ? Map.of() : shard.fencingTokensByHost();
        if (shard != null) {
            workers.values()
                    .removeIf(
                            worker -> {
                                boolean revoked =
                                        !fencingTokens.containsKey(worker.host)
                                                || fencingTokens.get(worker.host)
                                                        != worker.fencingToken;
                                if (revoked) {
                                    releaseWorker(worker);
                                }
                                return revoked;
                            });
        }
        // Without a block we keep answering under the old terms: until a higher one shows up, that
        // keeps work alive.
        for (Map.Entry<String, Long> grant : fencingTokens.entrySet()) {
            if (!workers.containsKey(grant.getKey())) {
                ShardWorker worker =
                        new ShardWorker(
                                loop,
                                jobs,
                                settings.workerTimings().heartbeatSeconds(),
                                WorkerFailureDetector.silenceTimeoutMillis(settings),
                                grant.getKey(),
                                grant.getValue(),
                                watchCache.modRevision(shard.storeKey()));
                MachineTable.Machine machine = machines.get(worker.host);
                // A worker may be held by a controller that is cut off from the store alone: only a
                // claim calls it away.
                worker.address = machine == null ? null : machine.address();
                jobs.placementsOn(worker.host).values().forEach(Placement::resetForNewOwner);
                workers.put(worker.host, worker);
                loop.runAfter(0, () -> sendClaim(worker));
            }
        }
    }

    private void releaseWorker(ShardWorker worker) {
        jobs.placementsOn(worker.host).values().forEach(Placement::resetForNewOwner);
        misroutedWorkers.onWorkerReleased(
                worker.host, worker.heartbeatAgentEpoch, worker.heartbeatSerial);
        if (worker.deferredRequest != null) {
            misroutedWorkers.redirectToOwner(worker.deferredRequest, worker.host);
            worker.deferredRequest = null;
        }
    }

    /**
     * Shows the worker our term at once, or whether it hears us, so that nothing from before can
     * run there, and learns what it holds.
     */
    private void sendClaim(ShardWorker worker) {
        if (workers.get(worker.host) == worker
                && worker.phase() != ShardWorker.Phase.LEAVING
                && worker.address != null
                && membershipLease.isValid()) {
            worker.lastClaimAtMillis = loop.nowMillis();
            sendCommands(
                    worker, worker.agentEpoch < 0 ? 1 : worker.agentEpoch, WireFormat.newList());
        }
    }

    // ---- reports

    public void handleHeartbeat(IncomingRequest request) {
        Heartbeat heartbeat = Heartbeat.parse(request.body);
        if (heartbeat == null) {
            request.respondError(400, "not a report");
            return;
        }
        String host = heartbeat.host;
        ShardWorker worker = workers.get(host);
        if (worker == null || shards.localShard() == null && shards.ownerOf(host) != null) {
            misroutedWorkers.handleHeartbeat(request, heartbeat);
            return;
        }
        if (heartbeat.fencingToken > worker.fencingToken) {
            // Somebody newer commands this worker; an answer of ours would be dropped and hold it
            // here.
            misroutedWorkers.redirectToOwner(request, host);
            return;
        }
        misroutedWorkers.onWorkerAtOwner(host);
        if (worker.isStale(heartbeat)) {
            // A copy, or what a cut held back: nobody waits for the answer, and the starts in it
            // would count as sent.
            ObjectNode response = WireFormat.newMap().put("epoch", worker.fencingToken);
            response.putArray("orders");
            request.respond(200, response);
            return;
        }
        worker.address = heartbeat.address == null ? worker.address : heartbeat.address;
        if (worker.deferredRequest != null) {
            sendDeferredResponse(worker);
        }
        boolean fresh = statusReconciler.reconcile(worker, heartbeat, true);
        worker.deferredRequest = request;
        long now = loop.nowMillis();
        if (request.isNearConnectionLimit()) {
            // Connections are short: this one is given back, and the worker makes a new one for its
            // next report.
            request.closeConnectionAfterResponse();
        }
        boolean holdOpen =
                fresh
                        && worker.isSchedulable()
                        && membershipLease.isValid()
                        && !request.isNearConnectionLimit();
        worker.heldForFutureStart = holdOpen;
        worker.deferredUntilMillis =
                now
                        + (fresh && callbacks.isCyclePending() && !request.isNearConnectionLimit()
                                ? WorkerConstants.HEARTBEAT_CYCLE_WAIT_MILLIS
                                : 0);
        if (holdOpen) {
            worker.deferredUntilMillis =
                    Math.max(worker.deferredUntilMillis, now + maxDeferralMillis(worker));
        }
        if (worker.deferredUntilMillis <= now || workerCommands.hasCommands(worker)) {
            sendDeferredResponse(worker);
        } else {
            if (!holdOpen) {
                awaitingCycle.add(worker);
            }
            scheduleDeferredResponse(worker, request);
        }
    }

    private record DeferredResponse(ShardWorker worker, IncomingRequest request) {}

    /**
     * Answers the report when its time is up, unless that has happened; hundreds of reports share
     * few turns of the loop.
     */
    private void scheduleDeferredResponse(ShardWorker worker, IncomingRequest request) {
        long respondAtMillis =
                (worker.deferredUntilMillis + WorkerConstants.DEFERRED_RESPONSE_BATCH_MILLIS - 1)
                        / WorkerConstants.DEFERRED_RESPONSE_BATCH_MILLIS
                        * WorkerConstants.DEFERRED_RESPONSE_BATCH_MILLIS;
        List<DeferredResponse> batch = deferredResponses.get(respondAtMillis);
        if (batch == null) {
            batch = new ArrayList<>();
            deferredResponses.put(respondAtMillis, batch);
            loop.runAfter(
                    respondAtMillis - loop.nowMillis(),
                    () -> {
                        for (DeferredResponse deferred :
                                deferredResponses.remove(respondAtMillis)) {
                            if (deferred.worker.deferredRequest == deferred.request) {
                                sendDeferredResponse(deferred.worker);
                            }
                        }
                    });
        }
        batch.add(new DeferredResponse(worker, request));
    }

    /**
     * How long an answer may wait for a start: starts travel only in answers, so a parked one makes
     * them instant.
     */
    private long maxDeferralMillis(ShardWorker worker) {
        boolean hasFiniteTasks = false;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            hasFiniteTasks |= !placement.job.spec.isService();
        }
        double share =
                hasFiniteTasks
                        ? WorkerConstants.DEFER_BUSY_HEARTBEAT_FRACTION
                        : WorkerConstants.DEFER_IDLE_HEARTBEAT_FRACTION;
        return (long)
                Math.min(
                        settings.workerTimings().heartbeatSeconds() * 1000 * share,
                        WorkerConstants.MAX_DEFERRED_RESPONSE_MILLIS);
    }

    private void sendDeferredResponse(ShardWorker worker) {
        IncomingRequest request = worker.deferredRequest;
        worker.deferredRequest = null;
        if (request != null) {
            request.respond(200, workerCommands.buildHeartbeatResponse(worker));
        }
    }

    /**
     * Called when records changed or a round ended: answers what need not wait longer and sends
     * kills at once.
     */
    public void dispatchPendingCommands() {
        for (String host : changedHosts) {
            ShardWorker worker = workers.get(host);
            if (worker != null) {
                if (worker.deferredRequest != null && workerCommands.hasCommands(worker)) {
                    sendDeferredResponse(worker);
                }
                sendDueKills(worker);
            }
        }
        changedHosts.clear();
        if (!callbacks.isCyclePending()) {
            awaitingCycle.stream()
                    .filter(worker -> worker.deferredRequest != null && !worker.heldForFutureStart)
                    .forEach(this::sendDeferredResponse);
            awaitingCycle.clear();
        }
    }

    private void sendDueKills(ShardWorker worker) {
        if (worker.phase() == ShardWorker.Phase.CLAIMING
                || worker.address == null
                || !membershipLease.isMember()) {
            return;
        }
        ArrayNode kills = workerCommands.collectDueKills(worker);
        if (kills != null) {
            sendCommands(worker, worker.agentEpoch, kills);
        }
    }

    private void sendCommands(ShardWorker worker, long agentEpoch, ArrayNode commands) {
        ObjectNode message =
                WireFormat.newMap().put("epoch", worker.fencingToken).put("tenure", agentEpoch);
        message.set("orders", commands);
        transport.call(
                worker.address,
                "POST",
                "/orders",
                WireFormat.CBOR,
                WireFormat.CBOR.encode(message),
                TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS,
                (status, bytes) -> {
                    Heartbeat response = Heartbeat.parse(bytes);
                    if (workers.get(worker.host) != worker
                            || response == null
                            || status != 200 && status != 409) {
                        return;
                    }
                    // Also a refusal is the worker's word: of a new session that knows our term, it
                    // proves what the old one ran to be over.
                    statusReconciler.reconcile(worker, response, false);
                    if (status == 200) {
                        worker.recordCommandAccepted();
                    } else if (response.agentEpoch > agentEpoch
                            && worker.phase() == ShardWorker.Phase.CLAIMING) {
                        // Nothing was executed; a newer session of the worker is claimed under its
                        // number.
                        sendClaim(worker);
                    }
                    changedHosts.add(worker.host);
                    dispatchPendingCommands();
                });
    }

    // ---- health

    private void checkWorkers() {
        misroutedWorkers.expireEntries();
        if (!membershipLease.isValid() || shards.localShard() == null) {
            return;
        }
        for (ShardWorker worker : workers.values()) {
            boolean mustAnswer =
                    worker.phase() == ShardWorker.Phase.CLAIMING || worker.isUnreachableInbound();
            if (loop.nowMillis() - worker.lastClaimAtMillis
                    > (mustAnswer
                            ? TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS
                            : worker.isHeartbeatOverdue()
                                    ? WorkerConstants.SILENT_WORKER_PROBE_INTERVAL_MILLIS
                                    : Long.MAX_VALUE)) {
                sendClaim(worker);
            }
        }
        declareLost(failureDetector.findLost(workers.values()));
        changedHosts.addAll(workers.keySet());
        dispatchPendingCommands();
    }

    /**
     * Records that machines are to be returned and drops them from our block, in one change; the
     * leader returns them.
     */
    private void declareLost(Map<ShardWorker, String> lost) {
        ClusterMembership.Shard shard = shards.localShard().copy();
        Transaction transaction =
                new Transaction()
                        .requireRevision(
                                shard.storeKey(), watchCache.modRevision(shard.storeKey()));
        MachineEdits edits = machines.beginEdits(transaction);
        List<ShardWorker> leaving = new ArrayList<>();
        for (Map.Entry<ShardWorker, String> candidate : lost.entrySet()) {
            ShardWorker worker = candidate.getKey();
            MachineTable.Machine machine = machines.get(worker.host);
            if (machine == null
                    || machine.releasing()
                    || !transaction.fits(2, 2, store.maxTransactionOperations())) {
                continue;
            }
            LOG.info("machine {} is given up: {}", worker.host, candidate.getValue());
            worker.transitionTo(ShardWorker.Phase.LEAVING);
            leaving.add(worker);
            shard.fencingTokensByHost().remove(worker.host);
            edits.put(machine.asReleasing());
        }
        if (leaving.isEmpty()) {
            return;
        }
        transaction.put(shard.storeKey(), shard.encode(), membershipLease.leaseId());
        store.commit(
                transaction,
                outcome -> {
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                        return;
                    }
                    leaving.stream()
                            .filter(worker -> workers.get(worker.host) == worker)
                            .forEach(worker -> worker.transitionTo(ShardWorker.Phase.CLAIMING));
                });
    }
}
