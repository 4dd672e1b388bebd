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
 * Communicates with the workers of this controller's shard: takes their heartbeats as evidence,
 * answers them with the commands that follow from the records, and sends kills immediately. It
 * never decides where a task runs, and never concludes from elapsed time alone that a task has
 * terminated.
 */
public final class WorkerGateway {
    /** Functions of the controller that the gateway calls. */
    public interface Callbacks {
        /**
         * A worker sends its heartbeats to this controller although it doesn't belong to its shard.
         */
        void onMisroutedWorker(MisroutedWorker worker);

        /** Requests a scheduling cycle, because something that affects scheduling has changed. */
        void requestCycle();

        /** There is evidence that the placement's task has terminated. */
        void onTaskTerminated(Placement placement);

        /**
         * Whether a scheduling cycle is scheduled or in progress; heartbeat responses wait for its
         * result.
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
    private final MisroutedWorkerHandler misroutedWorkerHandler;
    private final TaskStatusReconciler statusReconciler;
    private final WorkerCommands workerCommands;
    private final WorkerFailureDetector failureDetector;
    private final LostWorkerRecorder lostWorkerRecorder;
    private final DeferredResponses deferredResponses;
    private final Map<String, ShardWorker> workers = new LinkedHashMap<>();
    private final Iterable<ShardWorker> workersView =
            Collections.unmodifiableCollection(workers.values());

    /** Hosts whose commands may have changed since commands were last dispatched. */
    private final Set<String> changedHosts = new HashSet<>();

    /** Workers whose heartbeat responses wait for the pending scheduling cycle. */
    private final Set<ShardWorker> workersAwaitingCycle = new LinkedHashSet<>();

    /**
     * Creates the gateway and registers it for changes of the shard and of placements.
     *
     * @param loop the event loop on which all methods of the gateway run
     * @param settings the deployment's settings, among them the workers' timings
     * @param store the lease, the watch cache and the store client
     * @param records the records that the gateway reads
     * @param transport sends commands to the workers
     * @param policy supplies how long each service waits for an unreachable zone
     * @param callbacks functions of the controller that the gateway calls
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
        this.misroutedWorkerHandler =
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

    /** The worker on a host; null if the host doesn't belong to this controller's shard. */
    public ShardWorker worker(String host) {
        return workers.get(host);
    }

    /**
     * The workers of this controller's shard, in the order in which this process learned of their
     * grants; read-only.
     */
    public Iterable<ShardWorker> workers() {
        return workersView;
    }

    /**
     * Updates the workers to the machines that this controller's shard now lists. A machine under a
     * new fencing token gets a new {@link ShardWorker}, because nothing learned under the old token
     * is kept.
     */
    private void onShardChanged() {
        ClusterMembership.Shard shard = membership.localShard();
        if (shard == null) {
            // Without a shard this controller keeps answering under the old tokens, which keeps
            // tasks alive until a higher token appears.
            return;
        }
        Map<String, Long> fencingTokens = shard.fencingTokensByHost();
        workers.values()
                .removeIf(
                        worker -> {
                            Long granted = fencingTokens.get(worker.host);
                            boolean revoked = granted == null || granted != worker.fencingToken;
                            if (revoked) {
                                removeWorker(worker);
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
        // The worker may still be answered by a controller that is cut off only from the store;
        // only a claim from the new owner makes it leave that controller.
        worker.address = machine == null ? null : machine.address();
        jobs.placementsOn(host).values().forEach(Placement::resetForNewOwner);
        workers.put(host, worker);
        loop.runAfter(0, () -> sendClaim(worker));
    }

    private void removeWorker(ShardWorker worker) {
        jobs.placementsOn(worker.host).values().forEach(Placement::resetForNewOwner);
        misroutedWorkerHandler.onWorkerRemoved(
                worker.host, worker.heartbeatAgentEpoch, worker.heartbeatSerial);
        if (worker.deferredRequest != null) {
            misroutedWorkerHandler.redirectToOwner(worker.deferredRequest, worker.host);
            worker.deferredRequest = null;
        }
    }

    /**
     * Sends the worker a claim: a message without commands that brings it this controller's fencing
     * token, so that no earlier command can start a task there, and whose response shows what it
     * runs. Repeated later, it also checks whether the worker receives this controller's messages.
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
     * Answers a heartbeat, immediately or deferred: 200 with commands; 400 if it is malformed; 421
     * if the worker belongs to another controller; 503 while the worker's owner can't be known.
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
            misroutedWorkerHandler.handleHeartbeat(request, heartbeat);
            return;
        }
        if (heartbeat.fencingToken > worker.fencingToken) {
            // The worker has a newer owner: it would ignore this response and keep sending its
            // heartbeats to this controller.
            misroutedWorkerHandler.redirectToOwner(request, host);
            return;
        }
        misroutedWorkerHandler.onWorkerReachedOwner(host);
        if (worker.isStale(heartbeat)) {
            // The heartbeat is a duplicate or was delayed. Nobody waits for its response, so the
            // response must carry no starts: they would count as sent.
            request.respond(200, WorkerMessageCodec.newHeartbeatResponse(worker.fencingToken));
            return;
        }
        worker.address = heartbeat.address == null ? worker.address : heartbeat.address;
        if (worker.deferredRequest != null) {
            sendDeferredResponse(worker);
        }
        boolean isNewer = statusReconciler.reconcile(worker, heartbeat, true);
        respondOrDefer(worker, request, isNewer);
    }

    private void respondOrDefer(ShardWorker worker, IncomingRequest request, boolean isNewer) {
        worker.deferredRequest = request;
        long now = loop.nowMillis();
        if (request.isNearConnectionLimit()) {
            // This controller is close to its connection limit: the connection is closed, and the
            // worker opens a new one for its next heartbeat.
            request.closeConnectionAfterResponse();
        }
        boolean defer =
                isNewer
                        && worker.isSchedulable()
                        && store.lease().isValid()
                        && !request.isNearConnectionLimit();
        worker.deferredForFutureStart = defer;
        worker.deferredUntilMillis =
                now
                        + (isNewer && callbacks.isCyclePending() && !request.isNearConnectionLimit()
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
                workersAwaitingCycle.add(worker);
            }
            deferredResponses.schedule(worker, request);
        }
    }

    /**
     * The longest time for which a heartbeat response may wait for a start. Starts are sent only in
     * heartbeat responses, so a deferred response can carry a start as soon as there is one.
     */
    private long maxDeferralMillis(ShardWorker worker) {
        boolean hasFiniteTasks = false;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            hasFiniteTasks |= !placement.job.spec.isService();
        }
        double fraction =
                hasFiniteTasks
                        ? WorkerConstants.DEFER_BUSY_HEARTBEAT_FRACTION
                        : WorkerConstants.DEFER_IDLE_HEARTBEAT_FRACTION;
        return (long)
                Math.min(
                        settings.workerTimings().heartbeatSeconds() * 1000 * fraction,
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
     * Sends the deferred responses that are now due, and all due kills. Must be called when records
     * have changed or a scheduling cycle has ended.
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
            workersAwaitingCycle.stream()
                    .filter(
                            worker ->
                                    worker.deferredRequest != null
                                            && !worker.deferredForFutureStart)
                    .forEach(this::sendDeferredResponse);
            workersAwaitingCycle.clear();
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
                    // A rejection is evidence, too: a higher agent epoch that reports this
                    // controller's fencing token proves that the tasks of the earlier epoch have
                    // terminated.
                    statusReconciler.reconcile(worker, response, false);
                    if (status == 200) {
                        worker.recordCommandAccepted();
                    } else if (response.agentEpoch > agentEpoch
                            && worker.phase() == ShardWorker.Phase.CLAIMING) {
                        // The worker executed nothing, because its agent epoch is newer than the
                        // one in the message; send a claim that names the newer epoch.
                        sendClaim(worker);
                    }
                    changedHosts.add(worker.host);
                    dispatchPendingCommands();
                });
    }

    private void checkWorkers() {
        misroutedWorkerHandler.expireEntries();
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
