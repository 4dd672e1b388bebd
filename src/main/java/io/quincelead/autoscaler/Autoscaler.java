package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.cluster.Placement;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.scheduler.QueueOrder;
import io.quincelead.transport.Transport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scale-out and scale-in by the leader: provisions machines ahead of demand, registers machines
 * that are on no record, and releases those that are idle or failed. Every controller has an
 * instance; only the leader's takes effect.
 */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    /**
     * Multiple of the nominal boot time after which a boot counts as completed when the machine's
     * owner has not reported its state.
     */
    private static final double ASSUMED_BOOT_FACTOR = 1.2;

    private final EventLoop eventLoop;
    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final Callbacks callbacks;
    private final DemandForecast demandForecast;
    private final SingleFlightCommitter committer;
    private final ProvisioningRequests provisioningRequests;
    private final ScaleOutPlanner scaleOutPlanner;
    private final IdleMachines idleMachines;
    private final ScaleInController scaleInController;
    private final MachineTypeReader machineTypeReader;
    private final InstanceInventory inventory;

    /** Queries and notifications from the autoscaler to the rest of the controller. */
    public interface Callbacks {
        /**
         * Whether a machine is still booting, as reported by the controller that holds its shard;
         * null when that isn't known.
         *
         * @param ownerId the owner's member id; null when no shard holds the machine
         */
        Boolean isBooting(String ownerId, String host);

        /** Called when a task has terminated because its machine was released. */
        void onTaskTerminated(Placement placement);

        /**
         * Whether no machine should be provisioned in the zone now because the zone may be lost.
         */
        boolean isZoneUnavailable(String zone);

        /** Replicas that would move to a zone if it had free capacity, by zone; never null. */
        Map<String, List<JobSpec>> rebalanceDemand();
    }

    /** Schedules the scaling passes; they change nothing until this controller leads. */
    public Autoscaler(
            EventLoop eventLoop,
            Transport transport,
            Settings settings,
            OperatorSettings operatorSettings,
            ClusterView cluster,
            LeaderStore leaderStore,
            Callbacks callbacks) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.callbacks = callbacks;
        CloudClient cloudClient = new CloudClient(eventLoop, transport, settings);
        QueueOrder queueOrder = new QueueOrder(settings, cluster.policy());
        this.demandForecast =
                new DemandForecast(eventLoop, queueOrder, settings, cluster.machineTypes());
        this.committer = new SingleFlightCommitter(leaderStore);
        this.provisioningRequests =
                new ProvisioningRequests(eventLoop, cluster, leaderStore, cloudClient, committer);
        this.scaleOutPlanner =
                new ScaleOutPlanner(
                        eventLoop,
                        settings,
                        operatorSettings,
                        cluster,
                        queueOrder,
                        provisioningRequests,
                        callbacks);
        this.idleMachines = new IdleMachines(eventLoop, cluster.jobs());
        MachineReleaser releaser =
                new MachineReleaser(
                        eventLoop,
                        cluster,
                        leaderStore,
                        cloudClient,
                        committer,
                        callbacks::onTaskTerminated,
                        idleMachines::forget);
        this.scaleInController =
                new ScaleInController(
                        eventLoop,
                        operatorSettings,
                        cluster,
                        leaderStore,
                        committer,
                        releaser,
                        idleMachines);
        this.machineTypeReader =
                new MachineTypeReader(
                        eventLoop, cluster.machineTypes(), leaderStore, cloudClient, committer);
        this.inventory =
                new InstanceInventory(
                        eventLoop,
                        settings,
                        cluster,
                        leaderStore,
                        cloudClient,
                        committer,
                        releaser);
        eventLoop.runEvery(AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS, this::runScalingPass);
    }

    /** Whether there is a provisioning request whose outcome isn't on record yet. */
    public boolean hasOpenProvisioningRequests() {
        return !provisioningRequests.openRequests().isEmpty();
    }

    private void runScalingPass() {
        if (!leaderStore.leader().isLeading()) {
            idleMachines.clear();
            inventory.onNotLeading();
            return;
        }
        machineTypeReader.readIfDue();
        if (!cluster.machineTypes().isLoaded()) {
            return;
        }
        demandForecast.observe(cluster.jobs());
        provisioningRequests.openRequests().forEach(provisioningRequests::submit);
        inventory.readIfDue();
        List<MachineTable.Machine> readyMachines = new ArrayList<>();
        CapacityForecast capacity = forecastCapacity(readyMachines);
        CpuDemand demand = estimateDemand(capacity);
        if (!committer.isBusy()) {
            scaleInController.releaseExcess(
                    readyMachines, demand, capacity, scaleOutPlanner::shouldYieldToBlockedWork);
        }
        // No machine is provisioned while heartbeats of machines on no record arrive at this
        // controller: these machines may be the missing capacity.
        if (!committer.isBusy() && !leaderStore.leader().hasUnexpectedMachines()) {
            Map<InstanceOffering, Integer> newMachineCounts =
                    scaleOutPlanner.planScaleOut(demand, capacity);
            if (!newMachineCounts.isEmpty()) {
                LOG.debug("{} with {} CPUs up, booting or requested", demand, capacity.totalCpus());
                provisioningRequests.provision(newMachineCounts);
            }
        }
    }

    private CpuDemand estimateDemand(CapacityForecast capacity) {
        double provisioningSeconds =
                cluster.machineTypes().all().stream()
                                        .mapToDouble(MachineType::bootSeconds)
                                        .max()
                                        .orElse(0)
                                * AutoscalerConstants.USUAL_BOOT_MAX_FACTOR
                        + AutoscalerConstants.CALENDAR_PROVISIONING_SLACK_SECONDS;
        long wallClockMillis = eventLoop.wallClockMillis();
        return demandForecast
                .estimate(cluster.jobs(), capacity, wallClockMillis)
                .withCalendarCpus(
                        cluster.policy()
                                .forecastCpus(
                                        cluster.jobs().all(),
                                        wallClockMillis,
                                        provisioningSeconds));
    }

    /**
     * Adds up the CPUs of the machines that are up, booting or requested.
     *
     * @param readyMachines receives the machines that are up, including cordoned ones
     */
    private CapacityForecast forecastCapacity(List<MachineTable.Machine> readyMachines) {
        Set<String> presentHosts = new HashSet<>();
        CapacityForecast capacity = new CapacityForecast();
        for (ProvisioningRequest request : provisioningRequests.openRequests()) {
            MachineType machineType = cluster.machineTypes().get(request.machineType());
            if (machineType != null) {
                capacity.add(
                        request.machineCount() * machineType.cpus(),
                        machineType.bootSeconds() + machineType.bootSeconds() / 4);
            }
        }
        for (MachineTable.Machine machine : cluster.machines().all()) {
            MachineType machineType = cluster.machineTypes().get(machine.machineType());
            presentHosts.add(machine.host());
            if (machine.releasing() || machineType == null) {
                continue;
            }
            double bootRemainingSeconds =
                    machineType.bootSeconds() * ASSUMED_BOOT_FACTOR - ageSeconds(machine);
            if (isBooting(machine, machineType)) {
                capacity.add(machineType.cpus(), Math.max(5, bootRemainingSeconds));
                continue;
            }
            if (!machine.cordoned()) {
                capacity.add(machineType.cpus(), 0);
            }
            readyMachines.add(machine);
        }
        idleMachines.observe(readyMachines, presentHosts);
        return capacity;
    }

    private boolean isBooting(MachineTable.Machine machine, MachineType machineType) {
        Boolean reportedBooting =
                callbacks.isBooting(cluster.membership().ownerOf(machine.host()), machine.host());
        return reportedBooting != null
                ? reportedBooting
                : ageSeconds(machine) < machineType.bootSeconds() * ASSUMED_BOOT_FACTOR;
    }

    private double ageSeconds(MachineTable.Machine machine) {
        return (eventLoop.wallClockMillis() - machine.provisionedAtEpochMillis()) / 1000.0;
    }
}
