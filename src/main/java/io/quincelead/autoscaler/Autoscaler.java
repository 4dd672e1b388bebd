package io.quincelead.autoscaler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.policy.Policy;
import io.quincelead.scheduler.QueueOrder;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's part with the cloud: reads the catalog, rents ahead of need, returns what is idle,
 * faulty, silent or unexpected.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    private final EventLoop eventLoop;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final Leader leader;
    private final BootStatus bootStatus;
    private final Policy policy;
    private final DemandForecast demandForecast;
    private final SingleFlightCommitter committer;
    private final ProvisioningRequests provisioningRequests;
    private final ScaleOutPlanner scaleOutPlanner;
    private final ScaleInController scaleInController;
    private final InstanceInventory inventory;

    /**
     * What a machine's owner says of it: whether it has not come up yet; null when that isn't
     * known.
     */
    @FunctionalInterface
    public interface BootStatus {
        Boolean isBooting(String ownerId, String host);
    }

    public Autoscaler(
            EventLoop eventLoop,
            Settings settings,
            OperatorSettings operatorSettings,
            MembershipLease membershipLease,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            Leader leader,
            Transport transport,
            BootStatus bootStatus,
            Consumer<Placement> onTaskTerminated,
            ConstrainedDemand constrainedDemand,
            Policy policy,
            ZoneTable zoneTable,
            Supplier<Map<String, List<JobSpec>>> rebalanceDemand) {
        this.policy = policy;
        this.eventLoop = eventLoop;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.bootStatus = bootStatus;
        CloudClient cloudClient = new CloudClient(eventLoop, transport, settings);
        QueueOrder queueOrder = new QueueOrder(settings, policy);
        this.demandForecast = new DemandForecast(eventLoop, queueOrder, settings);
        this.committer = new SingleFlightCommitter(store, watchCache, leader);
        this.provisioningRequests =
                new ProvisioningRequests(
                        eventLoop,
                        membershipLease,
                        watchCache,
                        store,
                        shards,
                        machines,
                        leader,
                        cloudClient,
                        committer);
        this.scaleOutPlanner =
                new ScaleOutPlanner(
                        eventLoop,
                        settings,
                        operatorSettings,
                        jobs,
                        machines,
                        catalog,
                        queueOrder,
                        provisioningRequests,
                        constrainedDemand,
                        zoneTable,
                        policy,
                        rebalanceDemand);
        this.scaleInController =
                new ScaleInController(
                        eventLoop,
                        operatorSettings,
                        watchCache,
                        store,
                        shards,
                        jobs,
                        machines,
                        catalog,
                        leader,
                        cloudClient,
                        committer,
                        onTaskTerminated,
                        constrainedDemand);
        this.inventory =
                new InstanceInventory(
                        eventLoop,
                        settings,
                        watchCache,
                        store,
                        machines,
                        catalog,
                        leader,
                        cloudClient,
                        committer,
                        scaleInController);
        eventLoop.runEvery(AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS, this::runScalingPass);
    }

    /** Whether a rental's outcome isn't on record yet. */
    public boolean hasOpenProvisioningRequests() {
        return !provisioningRequests.openRequests().isEmpty();
    }

    private void runScalingPass() {
        if (!leader.isLeading()) {
            scaleInController.onNotLeading();
            inventory.onNotLeading();
            return;
        }
        inventory.readCatalogIfDue();
        if (!catalog.isLoaded()) {
            return;
        }
        demandForecast.observe(jobs);
        provisioningRequests.openRequests().forEach(provisioningRequests::submit);
        inventory.readInstancesIfDue();
        List<MachineTable.Machine> readyMachines = new ArrayList<>();
        CapacityForecast capacity = measureCapacity(readyMachines);
        double bootSeconds =
                catalog.all().stream()
                                        .mapToDouble(MachineTypeCatalog.MachineType::bootSeconds)
                                        .max()
                                        .orElse(0)
                                * AutoscalerConstants.USUAL_BOOT_MAX_FACTOR
                        + AutoscalerConstants.CALENDAR_PROVISIONING_SLACK_SECONDS;
        CpuDemand demand =
                demandForecast
                        .estimate(jobs, capacity, eventLoop.wallClockMillis())
                        .withBookedCpus(
                                policy.forecastCpus(
                                        jobs.all(), eventLoop.wallClockMillis(), bootSeconds));
        if (!committer.isBusy()) {
            scaleInController.returnExcess(
                    readyMachines, demand, capacity, scaleOutPlanner::shouldYieldToStarvedWork);
        }
        if (!committer.isBusy() && !leader.hasUnregisteredMachines()) {
            Map<InstanceOffering, Integer> purchases =
                    scaleOutPlanner.planScaleOut(demand, capacity);
            if (!purchases.isEmpty()) {
                LOG.debug("need {} with {} CPUs up or coming", demand, capacity.totalCpus());
                provisioningRequests.provision(purchases);
            }
        }
    }

    /** Counts what is up and what is on its way. */
    private CapacityForecast measureCapacity(List<MachineTable.Machine> readyMachines) {
        Set<String> presentHosts = new HashSet<>();
        CapacityForecast capacity = new CapacityForecast();
        for (ProvisioningRequests.ProvisioningRequest request :
                provisioningRequests.openRequests()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(request.machineType());
            if (machineType != null) {
                capacity.add(
                        request.machineCount() * machineType.cpus(),
                        machineType.bootSeconds() + machineType.bootSeconds() / 4);
            }
        }
        for (MachineTable.Machine machine : machines.all()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
            presentHosts.add(machine.host());
            if (machine.releasing() || machineType == null) {
                continue;
            }
            double ageSeconds =
                    (eventLoop.wallClockMillis() - machine.rentedAtEpochMillis()) / 1000.0;
            Boolean reportedBooting =
                    bootStatus.isBooting(shards.ownerOf(machine.host()), machine.host());
            if (reportedBooting != null
                    ? reportedBooting
                    : ageSeconds < machineType.bootSeconds() * 1.2) {
                capacity.add(
                        machineType.cpus(),
                        Math.max(5, machineType.bootSeconds() * 1.2 - ageSeconds));
                continue;
            }
            if (!machine.cordoned()) {
                capacity.add(machineType.cpus(), 0);
            }
            readyMachines.add(machine);
        }
        scaleInController.trackIdleMachines(readyMachines, presentHosts);
        return capacity;
    }
}
