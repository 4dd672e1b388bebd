package io.quincelead.app;

import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.cloud.Fleet;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.jobs.UserApi;
import io.quincelead.leader.Leader;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import io.quincelead.peers.Peers;
import io.quincelead.placing.Explainer;
import io.quincelead.placing.Rounds;
import io.quincelead.policy.Clerk;
import io.quincelead.policy.Office;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.ImageCaches;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.records.ZoneTable;
import io.quincelead.state.Committer;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import io.quincelead.workers.Desk;
import io.quincelead.workers.Own;
import io.quincelead.workers.Stray;
import io.quincelead.zones.ZoneDesk;
import io.quincelead.zones.ZoneWatch;
import java.util.Collection;
import java.util.Map;

/** One controller: the slices, wired. It knows no sockets and no clocks but the loop's and the transport's. */
public final class Controller {
    private final Settings settings;
    private final Session membershipLease;
    private final Mirror watchCache;
    private final Desk workerGateway;
    private final UserApi userApi;
    private final Peers peerMessenger;
    private final JobTable jobs;
    private final Blocks clusterMembership;
    private final Rounds schedulingCycle;
    private final Office operatorApi;

    public Controller(Loop loop, Transport transport, Settings settings, OperatorSettings operatorSettings) {
        this.settings = settings;
        StoreClient store = new StoreClient(loop, transport, settings);
        watchCache = new Mirror(loop, store, settings.storeLimits().requestsPerSecond() / settings.controllerCount());
        membershipLease = new Session(loop, store, settings.memberId(), settings.clusterListenAddress(),
                Session.leaseMillis(operatorSettings.shardLeaseSeconds(), settings.workerTimings().leaseSeconds()));
        clusterMembership = new Blocks(settings, watchCache);
        jobs = new JobTable(loop, watchCache);
        Policy policy = new Policy(watchCache);
        ZoneTable zones = new ZoneTable(watchCache);
        Kinds constrainedDemand = new Kinds(loop, jobs);
        MachineTable machines = new MachineTable(watchCache);
        Catalog machineTypeCatalog = new Catalog(watchCache);
        ImageCaches imageCaches = new ImageCaches(machines, label -> machineTypeCatalog.get(label) == null ? 0 : machineTypeCatalog.get(label).localDiskGb());
        jobs.onPlacementRecorded(p -> imageCaches.recordUse(p.host, p.job.spec));
        loop.runEvery(AutoscalerConstants.INVENTORY_INTERVAL_MILLIS, imageCaches::pruneUnrecordedMachines);
        Leader leader = new Leader(loop, settings, membershipLease, watchCache, store, clusterMembership, jobs, machines, machineTypeCatalog, policy);
        peerMessenger = new Peers(loop, settings, clusterMembership, transport, leader);
        schedulingCycle = new Rounds(loop, settings, operatorSettings, membershipLease, watchCache, store, clusterMembership, jobs, machines, machineTypeCatalog, imageCaches, constrainedDemand, policy, this::flushWorkerResponses);
        workerGateway = new Desk(loop, settings, membershipLease, clusterMembership, jobs, machines, machineTypeCatalog, watchCache, store, transport, policy, zones, new Desk.Office() {
            @Override public void onMisroutedWorker(Stray stray) {
                peerMessenger.reportMisroutedWorker(stray);
            }

            @Override public void requestCycle() {
                schedulingCycle.requestCycle();
            }

            @Override public void onTaskTerminated(Placement p) {
                recordTaskTermination(p);
            }

            @Override public boolean isCyclePending() {
                return schedulingCycle.isCyclePending();
            }
        });
        schedulingCycle.setCollaborators(workerGateway, leader, peerMessenger);
        peerMessenger.setWorkerGateway(workerGateway);
        ZoneWatch.Eyes machineVisibility = new ZoneWatch.Eyes() {
            @Override public Boolean isBooting(String host) {
                return clusterMembership.ownerOf(host) == null ? null : Controller.this.isBooting(clusterMembership.ownerOf(host), host);
            }

            @Override public boolean isReachable(String host) {
                Own own = workerGateway.worker(host);
                return own != null ? own.isSchedulable() : clusterMembership.ownerOf(host) != null && peerMessenger.isReportedSchedulable(clusterMembership.ownerOf(host), host);
            }
        };
        ZoneWatch zoneRecoveryController = null;
        if (operatorSettings.zoneRecovery().enabled()) {
            machines.trackLargeImages(host -> imageCaches.largeImages(host, operatorSettings.zoneRecovery().heavyImageGb()), imageCaches::mergeRecorded);
            zoneRecoveryController = new ZoneWatch(loop, operatorSettings.zoneRecovery(), settings.workerTimings().leaseSeconds() * 1000 + WorkerConstants.SILENCE_SLACK_MILLIS, watchCache, store, jobs, clusterMembership, machines, machineTypeCatalog, imageCaches, zones,
                    policy, leader, machineVisibility);
        }
        Fleet autoscaler = new Fleet(loop, settings, operatorSettings, membershipLease, watchCache, store, clusterMembership, jobs, machines, machineTypeCatalog, leader, transport,
                this::isBooting, this::recordTaskTermination, constrainedDemand, policy, zones, zoneRecoveryController == null ? Map::of : zoneRecoveryController::rebalanceDemand);
        leader.setProvisioningPending(autoscaler::hasOpenProvisioningRequests);
        Committer groupCommitter = new Committer(loop, store, watchCache);
        userApi = new UserApi(loop, settings, membershipLease, watchCache, store, groupCommitter, clusterMembership, jobs, machineTypeCatalog, policy, schedulingCycle::admit);
        new Clerk(loop, settings.memberId(), watchCache, store, jobs, policy, new Clerk.Chair() {
            @Override public boolean isLeader() {
                return leader.isLeading();
            }

            @Override public Txn newTransaction() {
                return leader.newTransaction();
            }

            @Override public long term() {
                return clusterMembership.leaderRecord() == null ? 0 : clusterMembership.leaderRecord().fencingToken();
            }

            @Override public Collection<String> activeMemberIds() {
                return clusterMembership.members().stream().map(Blocks.Node::memberId).toList();
            }
        });
        operatorApi = new Office(loop, settings.memberId(), watchCache, store, jobs, policy);
        new ZoneDesk(operatorSettings.zoneRecovery().enabled(), watchCache, jobs, machines, machineTypeCatalog, imageCaches, zones, policy, operatorApi, machineVisibility);
        new Explainer(loop, settings, clusterMembership, jobs, policy, operatorApi);
        watchCache.addChangeListener(() -> {
            Blocks.Node ownNode = clusterMembership.member(settings.memberId());
            membershipLease.verifyMemberRecord(ownNode == null ? 0 : ownNode.leaseId(), watchCache.storeRevision());
            schedulingCycle.requestCycleIfNeeded();
            workerGateway.dispatchPendingCommands();
        });
        loop.runEvery(SchedulerConstants.IDLE_CYCLE_INTERVAL_MILLIS, schedulingCycle::requestCycleIfNeeded);
        membershipLease.start();
        watchCache.start();
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

    /** Whether a machine, as its owner says, has not come up yet; null when that isn't known. */
    private Boolean isBooting(String owner, String host) {
        if (!settings.memberId().equals(owner)) {
            return peerMessenger.reportedBooting(owner, host);
        }
        Own shardWorker = workerGateway.worker(host);
        return shardWorker == null ? null : shardWorker.isBooting();
    }

    /** Users, workers and health checks. */
    public void handle(Request request) {
        switch (request.path) {
            case "/ready" -> {
                if (!request.method.equals("GET")) {
                    request.respondError(405, "only GET is allowed here");
                } else if (userApi.isReady()) {
                    request.respond(200, Codec.newMap().put("ready", true));
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
    public void handlePeerRequest(Request request) {
        if (request.method.equals("POST") && operatorApi.handles(request.path)) {
            operatorApi.handle(request);
        } else if (request.method.equals("POST")) {
            peerMessenger.handle(request);
        } else {
            request.respond(405, Codec.JSON, Codec.newMap().put("error", "only POST is allowed here"), 0);
        }
    }
}
