package io.quincelead.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.api.ApiCluster;
import io.quincelead.api.ApiStore;
import io.quincelead.api.UserApi;
import io.quincelead.autoscaler.Autoscaler;
import io.quincelead.autoscaler.LeaderStore;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.peer.PeerMessenger;
import io.quincelead.policy.OperatorApi;
import io.quincelead.policy.Policy;
import io.quincelead.policy.PolicyReconciler;
import io.quincelead.scheduler.ControllerComponents;
import io.quincelead.scheduler.QueueExplainer;
import io.quincelead.scheduler.SchedulingCycle;
import io.quincelead.store.GroupCommitter;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchProgress;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import io.quincelead.worker.MisroutedWorker;
import io.quincelead.worker.ShardWorker;
import io.quincelead.worker.WorkerGateway;
import io.quincelead.zone.MachineVisibility;
import io.quincelead.zone.ZoneOperatorApi;
import io.quincelead.zone.ZoneRecoveryController;
import io.quincelead.zone.ZoneView;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * One controller. It creates its components, connects them and routes requests to them. It uses
 * sockets and clocks only through the transport and the event loop.
 */
public final class Controller {
    private final Settings settings;
    private final ClusterState state;
    private final ClusterMembership membership;
    private final WorkerGateway workerGateway;
    private final UserApi userApi;
    private final PeerMessenger peerMessenger;
    private final SchedulingCycle schedulingCycle;
    private final OperatorApi operatorApi;
    private final Autoscaler autoscaler;

    /**
     * Creates a controller, which then joins the cluster.
     *
     * @param loop runs all of the controller's code
     * @param transport makes calls to other hosts; responses are delivered on the loop
     */
    public Controller(
            EventLoop loop,
            Transport transport,
            Settings settings,
            OperatorSettings operatorSettings) {
        this.settings = settings;
        state = new ClusterState(loop, transport, settings, operatorSettings);
        membership = state.records().membership();
        StoreAccess store = state.store();
        Policy policy = state.policy();
        Leader leader =
                new Leader(
                        loop,
                        settings,
                        store,
                        state.records(),
                        policy,
                        this::hasOpenProvisioningRequests);
        peerMessenger =
                new PeerMessenger(
                        loop,
                        settings,
                        membership,
                        transport,
                        leader::onMisroutedWorker,
                        this::localWorkers);
        workerGateway =
                new WorkerGateway(
                        loop,
                        settings,
                        store,
                        state.records(),
                        transport,
                        policy,
                        workerCallbacks());
        schedulingCycle =
                new SchedulingCycle(
                        loop,
                        settings,
                        operatorSettings,
                        store,
                        state.view(),
                        new ControllerComponents(workerGateway, leader, peerMessenger),
                        this::flushWorkerResponses);
        ZoneView zoneView = newZoneView();
        autoscaler =
                new Autoscaler(
                        loop,
                        transport,
                        settings,
                        operatorSettings,
                        state.view(),
                        new LeaderStore(leader, store.lease(), store.client(), store.watchCache()),
                        autoscalerCallbacks(
                                newZoneRecovery(loop, operatorSettings, zoneView, leader)));
        userApi = newUserApi(loop);
        operatorApi = newOperatorApi(loop, leader);
        new ZoneOperatorApi(operatorSettings.zoneRecovery().enabled(), zoneView, operatorApi);
        new QueueExplainer(loop, settings, membership, state.records().jobs(), policy, operatorApi);
        start(loop);
    }

    /**
     * Starts to follow the records, to schedule and to join the cluster; called when all components
     * exist.
     */
    private void start(EventLoop loop) {
        state.store().watchCache().addChangeListener(this::onRecordsChanged);
        loop.runEvery(
                SchedulerConstants.IDLE_CYCLE_INTERVAL_MILLIS,
                schedulingCycle::requestCycleIfNeeded);
        state.store().lease().start();
        state.store().watchCache().start();
    }

    private ZoneView newZoneView() {
        return new ZoneView(
                state.view(),
                state.store().watchCache(),
                state.records().zones(),
                machineVisibility());
    }

    /** Returns null if zone recovery is disabled. */
    private ZoneRecoveryController newZoneRecovery(
            EventLoop loop, OperatorSettings operatorSettings, ZoneView zoneView, Leader leader) {
        OperatorSettings.ZoneRecovery zoneRecovery = operatorSettings.zoneRecovery();
        if (!zoneRecovery.enabled()) {
            return null;
        }
        ImageCaches imageCaches = state.view().imageCaches();
        state.records()
                .machines()
                .trackLargeImages(
                        host -> imageCaches.largeImages(host, zoneRecovery.largeImageGb()),
                        imageCaches::mergeRecorded);
        return new ZoneRecoveryController(
                loop,
                zoneRecovery,
                settings.workerTimings().leaseSeconds() * 1000
                        + WorkerConstants.SILENCE_SLACK_MILLIS,
                zoneView,
                leader,
                state.store().client());
    }

    private UserApi newUserApi(EventLoop loop) {
        StoreAccess store = state.store();
        GroupCommitter groupCommitter =
                new GroupCommitter(loop, store.client(), store.watchCache());
        return new UserApi(
                loop,
                new ApiStore(store.lease(), store.watchCache(), store.client(), groupCommitter),
                new ApiCluster(
                        settings,
                        membership,
                        state.records().jobs(),
                        state.records().machineTypes()),
                state.policy(),
                schedulingCycle::admit);
    }

    private OperatorApi newOperatorApi(EventLoop loop, Leader leader) {
        StoreAccess store = state.store();
        JobTable jobs = state.records().jobs();
        new PolicyReconciler(
                loop,
                settings.memberId(),
                store.watchCache(),
                store.client(),
                jobs,
                state.policy(),
                policyLeadership(leader));
        return new OperatorApi(
                loop,
                settings.memberId(),
                store.watchCache(),
                store.client(),
                jobs,
                state.policy());
    }

    private void onRecordsChanged() {
        ClusterMembership.Member ownMember = membership.member(settings.memberId());
        state.store()
                .lease()
                .verifyMemberRecord(
                        ownMember == null ? 0 : ownMember.leaseId(),
                        state.store().watchCache().storeRevision());
        schedulingCycle.requestCycleIfNeeded();
        workerGateway.dispatchPendingCommands();
    }

    private WorkerGateway.Callbacks workerCallbacks() {
        return new WorkerGateway.Callbacks() {
            @Override
            public void onMisroutedWorker(MisroutedWorker worker) {
                peerMessenger.reportMisroutedWorker(worker);
            }

            @Override
            public void requestCycle() {
                schedulingCycle.requestCycle();
            }

            @Override
            public void onTaskTerminated(Placement placement) {
                recordTaskTermination(placement);
            }

            @Override
            public boolean isCyclePending() {
                return schedulingCycle.isCyclePending();
            }
        };
    }

    private MachineVisibility machineVisibility() {
        return new MachineVisibility() {
            @Override
            public Boolean isBooting(String host) {
                return membership.ownerOf(host) == null
                        ? null
                        : Controller.this.isBooting(membership.ownerOf(host), host);
            }

            @Override
            public boolean isReachable(String host) {
                ShardWorker worker = workerGateway.worker(host);
                return worker != null
                        ? worker.isSchedulable()
                        : membership.ownerOf(host) != null
                                && peerMessenger.isReportedSchedulable(
                                        membership.ownerOf(host), host);
            }
        };
    }

    private PolicyReconciler.Leadership policyLeadership(Leader leader) {
        return new PolicyReconciler.Leadership() {
            @Override
            public boolean isLeader() {
                return leader.isLeading();
            }

            @Override
            public Transaction newTransaction() {
                return leader.newTransaction();
            }

            @Override
            public long fencingToken() {
                return membership.leaderRecord() == null
                        ? 0
                        : membership.leaderRecord().fencingToken();
            }

            @Override
            public Collection<String> activeMemberIds() {
                return membership.members().stream()
                        .map(ClusterMembership.Member::memberId)
                        .toList();
            }
        };
    }

    /**
     * Creates the autoscaler's callbacks; {@code zoneRecovery} is null if zone recovery is
     * disabled.
     */
    private Autoscaler.Callbacks autoscalerCallbacks(ZoneRecoveryController zoneRecovery) {
        ZoneTable zones = state.records().zones();
        return new Autoscaler.Callbacks() {
            @Override
            public Boolean isBooting(String ownerId, String host) {
                return Controller.this.isBooting(ownerId, host);
            }

            @Override
            public void onTaskTerminated(Placement placement) {
                recordTaskTermination(placement);
            }

            @Override
            public boolean isZoneUnavailable(String zone) {
                return zones.isUnavailable(zone);
            }

            @Override
            public Map<String, List<JobSpec>> rebalanceDemand() {
                return zoneRecovery == null ? Map.of() : zoneRecovery.rebalanceDemand();
            }
        };
    }

    private void recordTaskTermination(Placement placement) {
        schedulingCycle.onTaskTerminated(placement);
        if (placement.job.isCompleteByEvidence()) {
            userApi.completeTerminatedJobs();
        }
    }

    private void flushWorkerResponses() {
        workerGateway.dispatchPendingCommands();
    }

    /** Called by the peer messenger, whose first status is due after the gateway is created. */
    private Iterable<ShardWorker> localWorkers() {
        return workerGateway.workers();
    }

    /** Called by the leader, whose cycles begin after the autoscaler is created. */
    private boolean hasOpenProvisioningRequests() {
        return autoscaler.hasOpenProvisioningRequests();
    }

    /** Whether a machine is still booting according to its owner; null if that isn't known. */
    private Boolean isBooting(String owner, String host) {
        if (!settings.memberId().equals(owner)) {
            return peerMessenger.reportedBooting(owner, host);
        }
        ShardWorker shardWorker = workerGateway.worker(host);
        return shardWorker == null ? null : shardWorker.isBooting();
    }

    /** Handles a request of a user, a worker or a health check. */
    public void handle(IncomingRequest request) {
        switch (request.path) {
            case "/ready" -> {
                if (request.method.equals("GET")) {
                    respondReadiness(request);
                } else {
                    request.respondError(405, "only GET is allowed here");
                }
            }
            case "/v1/report" -> {
                if (request.method.equals("POST")) {
                    workerGateway.handleHeartbeat(request);
                } else {
                    request.respondError(405, "only POST is allowed here");
                }
            }
            default -> userApi.handle(request);
        }
    }

    /** Answers a health check; the response also says how often and how long the watch stalled. */
    private void respondReadiness(IncomingRequest request) {
        WatchProgress progress = state.store().watchCache().progress();
        ObjectNode body = WireFormat.newMap().put("watchStalls", progress.stallCount());
        if (userApi.isReady()) {
            request.respond(200, body.put("ready", true));
            return;
        }
        if (progress.isStalled()) {
            body.put("watchStalledMs", progress.millisSinceProgress());
        }
        request.respond(
                503,
                WireFormat.CBOR,
                body.put("error", "not ready"),
                ApiConstants.RETRY_AFTER_SECONDS);
    }

    /** Handles a request of another controller or an operator. */
    public void handlePeerRequest(IncomingRequest request) {
        if (request.method.equals("POST") && operatorApi.handles(request.path)) {
            operatorApi.handle(request);
        } else if (request.method.equals("POST")) {
            peerMessenger.handle(request);
        } else {
            request.respond(
                    405,
                    WireFormat.JSON,
                    WireFormat.newMap().put("error", "only POST is allowed here"),
                    0);
        }
    }
}
