package io.quincelead.app;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterRecords;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.StoreClient;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.Transport;

/**
 * One controller's access to the store and its copy of the cluster's state: the watch cache and the
 * tables that follow it. The watch cache notifies the tables in the order in which they are created
 * here.
 */
final class ClusterState {
    private final StoreAccess store;
    private final ClusterRecords records;
    private final ClusterView view;

    ClusterState(
            EventLoop loop,
            Transport transport,
            Settings settings,
            OperatorSettings operatorSettings) {
        StoreClient client = new StoreClient(loop, transport, settings);
        WatchCache watchCache =
                new WatchCache(
                        loop,
                        client,
                        settings.storeLimits().requestsPerSecond() / settings.controllerCount());
        MembershipLease lease =
                new MembershipLease(
                        loop,
                        client,
                        settings.memberId(),
                        settings.clusterListenAddress(),
                        MembershipLease.leaseMillis(
                                operatorSettings.shardLeaseSeconds(),
                                settings.workerTimings().leaseSeconds()));
        watchCache.progress().addListener(lease::suspend, lease::resume);
        store = new StoreAccess(lease, watchCache, client);
        ClusterMembership membership = new ClusterMembership(settings, watchCache);
        JobTable jobs = new JobTable(loop, watchCache);
        Policy policy = new Policy(watchCache);
        ZoneTable zones = new ZoneTable(watchCache);
        MachineTable machines = new MachineTable(watchCache);
        MachineTypeCatalog machineTypes = new MachineTypeCatalog(watchCache);
        ConstrainedDemand constrainedDemand = new ConstrainedDemand(loop, jobs, machineTypes);
        ImageCaches imageCaches = new ImageCaches(machines, name -> diskGb(machineTypes, name));
        jobs.onPlacementRecorded(
                placement -> imageCaches.recordUse(placement.host, placement.job.spec));
        loop.runEvery(
                AutoscalerConstants.INVENTORY_INTERVAL_MILLIS,
                imageCaches::pruneUnrecordedMachines);
        records = new ClusterRecords(membership, jobs, machines, machineTypes, zones);
        view =
                new ClusterView(
                        membership,
                        jobs,
                        machines,
                        machineTypes,
                        imageCaches,
                        constrainedDemand,
                        policy);
    }

    private static double diskGb(MachineTypeCatalog machineTypes, String typeName) {
        MachineTypeCatalog.MachineType machineType = machineTypes.get(typeName);
        return machineType == null ? 0 : machineType.localDiskGb();
    }

    StoreAccess store() {
        return store;
    }

    ClusterRecords records() {
        return records;
    }

    /** Returns the records and the tables that are derived from them. */
    ClusterView view() {
        return view;
    }

    Policy policy() {
        return view.policy();
    }
}
