package io.quincelead.app;

import io.quincelead.api.ApiCluster;
import io.quincelead.api.ApiStore;
import io.quincelead.api.UserApi;
import io.quincelead.autoscaler.Autoscaler;
import io.quincelead.autoscaler.LeaderStore;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.peer.PeerMessenger;
import io.quincelead.policy.OperatorApi;
import io.quincelead.policy.Policy;
import io.quincelead.policy.PolicyReconciler;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.scheduler.Collaborators;
import io.quincelead.scheduler.QueueExplainer;
import io.quincelead.scheduler.SchedulingCycle;
import io.quincelead.scheduler.StoreAccess;
import io.quincelead.store.GroupCommitter;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
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
 * One controller: the slices, wired. It knows no sockets and no clocks but the loop's and the
 * transport's.
 */
public final class Controller {
    private final Settings settings;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final WorkerGateway workerGateway;
    private final UserApi userApi;
    private final PeerMessenger peerMessenger;
    private final JobTable jobs;
    private final ClusterMembership clusterMembership;
    private final SchedulingCycle schedulingCycle;
    private final OperatorApi operatorApi;
    private final Autoscaler autoscaler;

    public Controller(
            EventLoop loop,
            Transport transport,
            Settings settings,
            OperatorSettings operatorSettings) {
        this.settings = settings;
        StoreClient store = new StoreClient(loop, transport, settings);
        watchCache =
                new WatchCache(
                        loop,
                        store,
                        settings.storeLimits().requestsPerSecond() / settings.controllerCount());
        membershipLease =
                new MembershipLease(
                        loop,
                        store,
                        settings.memberId(),
                        settings.clusterListenAddress(),
                        MembershipLease.leaseMillis(
                                operatorSettings.shardLeaseSeconds(),
                                settings.workerTimings().leaseSeconds()));
        clusterMembership = new ClusterMembership(settings, watchCache);
        jobs = new JobTable(loop, watchCache);
        Policy policy = new Policy(watchCache);
        ZoneTable zones = new ZoneTable(watchCache);
        ConstrainedDemand constrainedDemand = new ConstrainedDemand(loop, jobs);
        MachineTable machines = new MachineTable(watchCache);
        MachineTypeCatalog machineTypeCatalog = new MachineTypeCatalog(watchCache);
        ImageCaches imageCaches =
                new ImageCaches(
                        machines,
                        label ->
                                machineTypeCatalog.get(label) == null
                                        ? 0
                                        : machineTypeCatalog.get(label).localDiskGb());
        jobs.onPlacementRecorded(p -> imageCaches.recordUse(p.host, p.job.spec));
        loop.runEvery(
                AutoscalerConstants.INVENTORY_INTERVAL_MILLIS,
                imageCaches::pruneUnrecordedMachines);
        Leader leader =
                new Leader(
                        loop,
                        settings,
                        new Leader.StoreAccess(store, watchCache, membershipLease),
                        new Leader.ClusterRecords(
                                clusterMembership, jobs, machines, machineTypeCatalog),
                        policy,
                        this::hasOpenProvisioningRequests);
        peerMessenger =
                new PeerMessenger(
                        loop,
                        settings,
                        clusterMembership,
                        transport,
                        leader::onMisroutedWorker,
                        this::localWorkers);
        workerGateway =
                new WorkerGateway(
                        loop,
                        settings,
                        new WorkerGateway.StoreAccess(membershipLease, watchCache, store),
                        new WorkerGateway.ClusterRecords(
                                clusterMembership, jobs, machines, machineTypeCatalog, zones),
                        transport,
                        policy,
                        new WorkerGateway.Callbacks() {
                            @Override
                            public void onMisroutedWorker(MisroutedWorker stray) {
                                peerMessenger.reportMisroutedWorker(stray);
                            }

                            @Override
                            public void requestCycle() {
                                Controller.this.schedulingCycle.requestCycle();
                            }

                            @Override
                            public void onTaskTerminated(Placement p) {
                                recordTaskTermination(p);
                            }

                            @Override
                            public boolean isCyclePending() {
                                return Controller.this.schedulingCycle.isCyclePending();
                            }
                        });
        ClusterView clusterView =
                new ClusterView(
                        clusterMembership,
                        jobs,
                        machines,
                        machineTypeCatalog,
                        imageCaches,
                        constrainedDemand,
                        policy);
        schedulingCycle =
                new SchedulingCycle(
                        loop,
                        settings,
                        operatorSettings,
                        new StoreAccess(membershipLease, watchCache, store),
                        clusterView,
                        new Collaborators(workerGateway, leader, peerMessenger),
                        this::flushWorkerResponses);
        MachineVisibility machineVisibility =
                new MachineVisibility() {
                    @Override
                    public Boolean isBooting(String host) {
                        return clusterMembership.ownerOf(host) == null
                                ? null
                                : Controller.this.isBooting(clusterMembership.ownerOf(host), host);
                    }

                    @Override
                    public boolean isReachable(String host) {
                        ShardWorker own = workerGateway.worker(host);
                        return own != null
                                ? own.isSchedulable()
                                : clusterMembership.ownerOf(host) != null
                                        && peerMessenger.isReportedSchedulable(
                                                clusterMembership.ownerOf(host), host);
                    }
                };
        ZoneView zoneView = new ZoneView(clusterView, watchCache, zones, machineVisibility);
        ZoneRecoveryController zoneRecoveryController = null;
        if (operatorSettings.zoneRecovery().enabled()) {
            machines.trackLargeImages(
                    host ->
                            imageCaches.largeImages(
                                    host, operatorSettings.zoneRecovery().heavyImageGb()),
                    imageCaches::mergeRecorded);
            zoneRecoveryController =
                    new ZoneRecoveryController(
                            loop,
                            operatorSettings.zoneRecovery(),
                            settings.workerTimings().leaseSeconds() * 1000
                                    + WorkerConstants.SILENCE_SLACK_MILLIS,
                            zoneView,
                            leader,
                            store);
        }
        autoscaler =
                new Autoscaler(
                        loop,
                        transport,
                        settings,
                        operatorSettings,
                        clusterView,
                        new LeaderStore(leader, membershipLease, store, watchCache),
                        autoscalerCallbacks(zones, zoneRecoveryController));
        GroupCommitter groupCommitter = new GroupCommitter(loop, store, watchCache);
        userApi =
                new UserApi(
                        loop,
                        new ApiStore(membershipLease, watchCache, store, groupCommitter),
                        new ApiCluster(settings, clusterMembership, jobs, machineTypeCatalog),
                        policy,
                        schedulingCycle::admit);
        new PolicyReconciler(
                loop,
                settings.memberId(),
                watchCache,
                store,
                jobs,
                policy,
                new PolicyReconciler.Leadership() {
                    @Override
                    public boolean isLeader() {
                        return leader.isLeading();
                    }

                    @Override
                    public Transaction newTransaction() {
                        return leader.newTransaction();
                    }

                    @Override
                    public long term() {
                        return clusterMembership.leaderRecord() == null
                                ? 0
                                : clusterMembership.leaderRecord().fencingToken();
                    }

                    @Override
                    public Collection<String> activeMemberIds() {
                        return clusterMembership.members().stream()
                                .map(ClusterMembership.Member::memberId)
                                .toList();
                    }
                });
        operatorApi = new OperatorApi(loop, settings.memberId(), watchCache, store, jobs, policy);
        new ZoneOperatorApi(operatorSettings.zoneRecovery().enabled(), zoneView, operatorApi);
        new QueueExplainer(loop, settings, clusterMembership, jobs, policy, operatorApi);
        watchCache.addChangeListener(
                () -> {
                    ClusterMembership.Member ownNode =
                            clusterMembership.member(settings.memberId());
                    membershipLease.verifyMemberRecord(
                            ownNode == null ? 0 : ownNode.leaseId(), watchCache.storeRevision());
                    schedulingCycle.requestCycleIfNeeded();
                    workerGateway.dispatchPendingCommands();
                });
        loop.runEvery(
                SchedulerConstants.IDLE_CYCLE_INTERVAL_MILLIS,
                schedulingCycle::requestCycleIfNeeded);
        membershipLease.start();
        watchCache.start();
    }

    /** {@code zoneRecovery} is null when zone recovery is turned off. */
    private Autoscaler.Callbacks autoscalerCallbacks(
            ZoneTable zones, ZoneRecoveryController zoneRecovery) {
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

    /** Asked by the peer messenger, whose first status is due after the gateway is made. */
    private Iterable<ShardWorker> localWorkers() {
        return workerGateway.workers();
    }

    /** Asked by the leader, whose cycles begin after the autoscaler is made. */
    private boolean hasOpenProvisioningRequests() {
        return autoscaler.hasOpenProvisioningRequests();
    }

    /** Whether a machine, as its owner says, has not come up yet; null when that isn't known. */
    private Boolean isBooting(String owner, String host) {
        if (!settings.memberId().equals(owner)) {
            return peerMessenger.reportedBooting(owner, host);
        }
        ShardWorker shardWorker = workerGateway.worker(host);
        return shardWorker == null ? null : shardWorker.isBooting();
    }

    /** Users, workers and health checks. */
    public void handle(IncomingRequest request) {
        switch (request.path) {
            case "/ready" -> {
                if (!request.method.equals("GET")) {
                    request.respondError(405, "only GET is allowed here");
                } else if (userApi.isReady()) {
                    request.respond(200, WireFormat.newMap().put("ready", true));
                } else {
                    request.respondRetryLater(503, "not ready");
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

    /** Other controllers. */
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
