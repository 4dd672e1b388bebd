package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterRecords;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreAccess;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Speaks with the workers of this controller's shard: takes their heartbeats as evidence, answers
 * with what the records say, and sends kills at once. It never decides where a task runs, and it
 * never takes a task for terminated from time alone.
 */
public final class WorkerGateway {
    /** What the rest of the controller does for the gateway. */
    public interface Callbacks {
        /** A worker sends its heartbeats here though it isn't of this controller's shard. */
        void onMisroutedWorker(MisroutedWorker worker);

        /** Something changed that the next scheduling cycle should see. */
        void requestCycle();

        /** There is evidence that a task has terminated. */
        void onTaskTerminated(Placement placement);

        /**
         * Whether a scheduling cycle is due or under way whose result a heartbeat response should
         * wait for.
         */
        boolean isCyclePending();
    }

    private final EventLoop loop;
    private final Settings settings;
    private final StoreAccess store;
    private final ClusterMembership membership;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Transport transport;
    private final Callbacks callbacks;
    private final MisroutedWorkerHandler misroutedWorkers;
    private final TaskStatusReconciler statusReconciler;
    private final WorkerCommands workerCommands;
    private final WorkerFailureDetector failureDetector;
    private final LostWorkerRecorder lostWorkerRecorder;
    private final DeferredResponses deferredResponses;
    private final Map<String, ShardWorker> workers = new LinkedHashMap<>();
    private final Iterable<ShardWorker> workersView =
            Collections.unmodifiableCollection(workers.values());

    /** Hosts whose records changed since commands were last dispatched. */
    private final Set<String> changedHosts = new HashSet<>();

    /** Workers whose heartbeat responses wait for the scheduling cycle that is pending. */
    private final Set<ShardWorker> awaitingCycle = new LinkedHashSet<>();

    /**
     * Builds the gateway and has it informed of changes of the shard and of placements.
     *
     * @param loop the event loop on which everything here runs
     * @param settings the deployment's settings, among them the workers' timings
     * @param store the ways to the store
     * @param records the records that are read here
     * @param transport calls the workers
     * @param policy states how long services wait for an unreachable zone
     * @param callbacks what the rest of the controller does for the gateway
     */
    public WorkerGateway(
            EventLoop loop,
            Settings settings,
            StoreAccess store,
            ClusterRecords records,
            Transport transport,
            Policy policy,
            Callbacks callbacks) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.membership = records.membership();
        this.jobs = records.jobs();
        this.machines = records.machines();
        this.transport = transport;
        this.callbacks = callbacks;
        this.misroutedWorkers =
                new MisroutedWorkerHandler(
                        loop, settings, store, membership, transport, callbacks::onMisroutedWorker);
        this.statusReconciler = new TaskStatusReconciler(loop, jobs, callbacks);
        this.workerCommands = new WorkerCommands(loop, store, membership, jobs);
        this.failureDetector = new WorkerFailureDetector(loop, settings, records, policy);
        this.lostWorkerRecorder = new LostWorkerRecorder(store, membership, machines);
        this.deferredResponses = new DeferredResponses(loop, this::sendDeferredResponse);
        membership.onShardChange(this::onShardChanged);
        jobs.onMachineTasksChanged(changedHosts::add);
        loop.runEvery(WorkerConstants.HEALTH_CHECK_INTERVAL_MILLIS, this::checkWorkers);
    }

    /** The worker on that host; null if the host isn't of this controller's shard. */
    public ShardWorker worker(String host) {
        return workers.get(host);
    }

    /**
     * The workers of this controller's shard, in the order in which they were granted; read-only.
     */
    public Iterable<ShardWorker> workers() {
        return workersView;
    }

    /**
     * Takes over the machines that our shard now names, each under its fencing token; under a new
     * token everything is learned anew.
     */
    private void onShardChanged() {
        ClusterMembership.Shard shard = membership.localShard();
        if (shard == null) {
            // Without a shard we keep answering under the old tokens: until a higher one shows up,
            // that keeps tasks alive.
            return;
        }
        Map<String, Long> fencingTokens = shard.fencingTokensByHost();
        workers.values()
                .removeIf(
                        worker -> {
                            Long granted = fencingTokens.get(worker.host);
                            boolean revoked = granted == null || granted != worker.fencingToken;
                            if (revoked) {
                                releaseWorker(worker);
                            }
                            return revoked;
                        });
        long grantRevision = store.watchCache().modRevision(shard.storeKey());
        for (Map.Entry<String, Long> grant : fencingTokens.entrySet()) {
            if (!workers.containsKey(grant.getKey())) {
                addWorker(grant.getKey(), grant.getValue(), grantRevision);
            }
        }
    }

    private void addWorker(String host, long fencingToken, long grantRevision) {
        ShardWorker worker =
                new ShardWorker(
                        loop,
                        jobs,
                        settings.workerTimings().heartbeatSeconds(),
                        WorkerFailureDetector.silenceTimeoutMillis(settings),
                        host,
                        fencingToken,
                        grantRevision);
        MachineTable.Machine machine = machines.get(host);
        // A worker may be kept by a controller that is cut off from the store alone: only a claim
        // calls it away.
        worker.address = machine == null ? null : machine.address();
        jobs.placementsOn(host).values().forEach(Placement::resetForNewOwner);
        workers.put(host, worker);
        loop.runAfter(0, () -> sendClaim(worker));
    }

    private void releaseWorker(ShardWorker worker) {
        jobs.placementsOn(worker.host).values().forEach(Placement::resetForNewOwner);
        misroutedWorkers.onWorkerRemoved(
                worker.host, worker.heartbeatAgentEpoch, worker.heartbeatSerial);
        if (worker.deferredRequest != null) {
            misroutedWorkers.redirectToOwner(worker.deferredRequest, worker.host);
            worker.deferredRequest = null;
        }
    }

    /**
     * Shows the worker our fencing token at once, so that nothing from before can start there, and
     * learns what it runs. Later it asks whether the worker gets our responses.
     */
    private void sendClaim(ShardWorker worker) {
        if (workers.get(worker.host) == worker
                && worker.phase() != ShardWorker.Phase.RELEASING
                && worker.address != null
                && store.lease().isValid()) {
            worker.lastClaimAtMillis = loop.nowMillis();
            sendCommands(
                    worker, worker.agentEpoch < 0 ? 1 : worker.agentEpoch, WireFormat.newList());
        }
    }

    /**
     * Answers a heartbeat, now or later: 200 with commands; 400 if it is malformed; 421 if the
     * worker belongs to another controller; 503 while that can't be known.
     */
    public void handleHeartbeat(IncomingRequest request) {
        Heartbeat heartbeat = Heartbeat.parse(request.body);
        if (heartbeat == null) {
            request.respondError(400, "not a report");
            return;
        }
        String host = heartbeat.host;
        ShardWorker worker = workers.get(host);
        if (worker == null || membership.localShard() == null && membership.ownerOf(host) != null) {
            misroutedWorkers.handleHeartbeat(request, heartbeat);
            return;
        }
        if (heartbeat.fencingToken > worker.fencingToken) {
            // A newer owner commands this worker; it would drop our response and stay here.
            misroutedWorkers.redirectToOwner(request, host);
            return;
        }
        misroutedWorkers.onWorkerReachedOwner(host);
        if (worker.isStale(heartbeat)) {
            // A duplicate, or one that was delayed: nobody waits for the response, and starts in it
            // would count as sent.
            request.respond(200, WorkerMessageCodec.newHeartbeatResponse(worker.fencingToken));
            return;
        }
        worker.address = heartbeat.address == null ? worker.address : heartbeat.address;
        if (worker.deferredRequest != null) {
            sendDeferredResponse(worker);
        }
        boolean fresh = statusReconciler.reconcile(worker, heartbeat, true);
        respondOrDefer(worker, request, fresh);
    }

    private void respondOrDefer(ShardWorker worker, IncomingRequest request, boolean fresh) {
        worker.deferredRequest = request;
        long now = loop.nowMillis();
        if (request.isNearConnectionLimit()) {
            // Connections are scarce: this one is closed, and the worker opens a new one for its
            // next heartbeat.
            request.closeConnectionAfterResponse();
        }
        boolean defer =
                fresh
                        && worker.isSchedulable()
                        && store.lease().isValid()
                        && !request.isNearConnectionLimit();
        worker.deferredForFutureStart = defer;
        worker.deferredUntilMillis =
                now
                        + (fresh && callbacks.isCyclePending() && !request.isNearConnectionLimit()
                                ? WorkerConstants.HEARTBEAT_CYCLE_WAIT_MILLIS
                                : 0);
        if (defer) {
            worker.deferredUntilMillis =
                    Math.max(worker.deferredUntilMillis, now + maxDeferralMillis(worker));
        }
        if (worker.deferredUntilMillis <= now || workerCommands.isResponseDue(worker)) {
            sendDeferredResponse(worker);
        } else {
            if (!defer) {
                awaitingCycle.add(worker);
            }
            deferredResponses.schedule(worker, request);
        }
    }

    /**
     * How long a response may wait for a start: starts travel only in heartbeat responses, so a
     * deferred one carries them at once.
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
     * Sends the responses that need not wait longer, and kills at once. To be called when records
     * changed or a scheduling cycle ended.
     */
    public void dispatchPendingCommands() {
        for (String host : changedHosts) {
            ShardWorker worker = workers.get(host);
            if (worker != null) {
                if (worker.deferredRequest != null && workerCommands.isResponseDue(worker)) {
                    sendDeferredResponse(worker);
                }
                sendDueKills(worker);
            }
        }
        changedHosts.clear();
        if (!callbacks.isCyclePending()) {
            awaitingCycle.stream()
                    .filter(
                            worker ->
                                    worker.deferredRequest != null
                                            && !worker.deferredForFutureStart)
                    .forEach(this::sendDeferredResponse);
            awaitingCycle.clear();
        }
    }

    private void sendDueKills(ShardWorker worker) {
        if (worker.phase() == ShardWorker.Phase.CLAIMING
                || worker.address == null
                || !store.lease().isMember()) {
            return;
        }
        ArrayNode kills = workerCommands.collectDueKills(worker);
        if (kills != null) {
            sendCommands(worker, worker.agentEpoch, kills);
        }
    }

    private void sendCommands(ShardWorker worker, long agentEpoch, ArrayNode commands) {
        transport.call(
                worker.address,
                "POST",
                "/orders",
                WireFormat.CBOR,
                WorkerMessageCodec.encodeDirectCommands(worker.fencingToken, agentEpoch, commands),
                TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS,
                (status, bytes) -> {
                    Heartbeat response = Heartbeat.parse(bytes);
                    if (workers.get(worker.host) != worker
                            || response == null
                            || status != 200 && status != 409) {
                        return;
                    }
                    // A refusal is evidence, too: a higher agent epoch that knows our token proves
                    // that what the earlier one ran has terminated.
                    statusReconciler.reconcile(worker, response, false);
                    if (status == 200) {
                        worker.recordCommandAccepted();
                    } else if (response.agentEpoch > agentEpoch
                            && worker.phase() == ShardWorker.Phase.CLAIMING) {
                        // Nothing was executed; the worker's newer agent epoch is claimed by a
                        // message that names it.
                        sendClaim(worker);
                    }
                    changedHosts.add(worker.host);
                    dispatchPendingCommands();
                });
    }

    private void checkWorkers() {
        misroutedWorkers.expireEntries();
        if (!store.lease().isValid() || membership.localShard() == null) {
            return;
        }
        for (ShardWorker worker : workers.values()) {
            if (loop.nowMillis() - worker.lastClaimAtMillis > probeIntervalMillis(worker)) {
                sendClaim(worker);
            }
        }
        lostWorkerRecorder.declareLost(
                failureDetector.findLost(workers.values()),
                worker -> workers.get(worker.host) == worker);
        changedHosts.addAll(workers.keySet());
        dispatchPendingCommands();
    }

    private static long probeIntervalMillis(ShardWorker worker) {
        if (worker.phase() == ShardWorker.Phase.CLAIMING || worker.isUnreachableInbound()) {
            return TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS;
        }
        return worker.isHeartbeatOverdue()
                ? WorkerConstants.SILENT_WORKER_PROBE_INTERVAL_MILLIS
                : Long.MAX_VALUE;
    }
}
