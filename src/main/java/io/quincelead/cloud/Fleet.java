package io.quincelead.cloud;

import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.leader.Leader;
import io.quincelead.net.Transport;
import io.quincelead.placing.QueueOrder;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.records.ZoneTable;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's part with the cloud: reads the catalog, rents ahead of need, returns what is idle, faulty, silent or unexpected. */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final Loop eventLoop;
    private final Blocks shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Leader leader;
    private final Booting bootStatus;
    private final Policy policy;
    private final Demand demandForecast;
    private final Changes committer;
    private final Rentals provisioningRequests;
    private final Renting scaleOutPlanner;
    private final Returns scaleInController;
    private final CloudList inventory;

    /** What a machine's owner says of it: whether it has not come up yet; null when that isn't known. */
    @FunctionalInterface
    public interface Booting {
        Boolean isBooting(String ownerId, String host);
    }

    public Fleet(Loop eventLoop, Settings settings, OperatorSettings operatorSettings, Session membershipLease, Mirror watchCache, StoreClient store,
            Blocks shards, JobTable jobs, MachineTable machines, Catalog catalog, Leader leader, Transport transport, Booting bootStatus,
            Consumer<Placement> onTaskTerminated, Kinds constrainedDemand, Policy policy, ZoneTable zoneTable,
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
        this.demandForecast = new Demand(eventLoop, queueOrder, settings);
        this.committer = new Changes(store, watchCache, leader);
        this.provisioningRequests = new Rentals(eventLoop, membershipLease, watchCache, store, shards, machines, leader, cloudClient, committer);
        this.scaleOutPlanner = new Renting(eventLoop, settings, operatorSettings, jobs, machines, catalog, queueOrder, provisioningRequests, constrainedDemand, zoneTable, policy, rebalanceDemand);
        this.scaleInController = new Returns(eventLoop, operatorSettings, watchCache, store, shards, jobs, machines, catalog, leader, cloudClient, committer, onTaskTerminated, constrainedDemand);
        this.inventory = new CloudList(eventLoop, settings, watchCache, store, machines, catalog, leader, cloudClient, committer, scaleInController);
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
        Demand.Capacity capacity = measureCapacity(readyMachines);
        double bootSeconds = catalog.all().stream().mapToDouble(Catalog.Shape::bootSeconds).max().orElse(0) * AutoscalerConstants.USUAL_BOOT_MAX_FACTOR + AutoscalerConstants.CALENDAR_PROVISIONING_SLACK_SECONDS;
        Demand.Need demand = demandForecast.estimate(jobs, capacity, eventLoop.wallClockMillis()).withBookedCpus(policy.forecastCpus(jobs.all(), eventLoop.wallClockMillis(), bootSeconds));
        if (!committer.isBusy()) {
            scaleInController.returnExcess(readyMachines, demand, capacity, scaleOutPlanner::shouldYieldToStarvedWork);
        }
        if (!committer.isBusy() && !leader.hasUnregisteredMachines()) {
            Map<Option, Integer> purchases = scaleOutPlanner.planScaleOut(demand, capacity);
            if (!purchases.isEmpty()) {
                LOG.debug("need {} with {} CPUs up or coming", demand, capacity.totalCpus());
                provisioningRequests.provision(purchases);
            }
        }
    }

    /** Counts what is up and what is on its way. */
    private Demand.Capacity measureCapacity(List<MachineTable.Machine> readyMachines) {
        Set<String> presentHosts = new HashSet<>();
        Demand.Capacity capacity = new Demand.Capacity();
        for (Rentals.Rental request : provisioningRequests.openRequests()) {
            Catalog.Shape machineType = catalog.get(request.machineType());
            if (machineType != null) {
                capacity.add(request.machineCount() * machineType.cpus(), machineType.bootSeconds() + machineType.bootSeconds() / 4);
            }
        }
        for (MachineTable.Machine machine : machines.all()) {
            Catalog.Shape machineType = catalog.get(machine.machineType());
            presentHosts.add(machine.host());
            if (machine.releasing() || machineType == null) {
                continue;
            }
            double ageSeconds = (eventLoop.wallClockMillis() - machine.rentedAtEpochMillis()) / 1000.0;
            Boolean reportedBooting = bootStatus.isBooting(shards.ownerOf(machine.host()), machine.host());
            if (reportedBooting != null ? reportedBooting : ageSeconds < machineType.bootSeconds() * 1.2) {
                capacity.add(machineType.cpus(), Math.max(5, machineType.bootSeconds() * 1.2 - ageSeconds));
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
