package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returning machines: which are closed to new tasks, which are given back, and what the cloud's
 * release of them proves.
 */
final class ScaleInController {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInController.class);
    private final EventLoop eventLoop;
    private final OperatorSettings operatorSettings;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final Leader leader;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final Consumer<Placement> onTaskTerminated;
    private final ConstrainedDemand constrainedDemand;
    private final Map<String, Long> idleSinceMillisByHost = new HashMap<>();
    private final Set<String> hostsInRelease = new HashSet<>();
    private final Map<String, Long> releasedAtMillisByHost = new HashMap<>();
    private final Map<String, Long> markRevisionByReleasedHost = new HashMap<>();

    /**
     * Returns that go into one change: several machines of one block or one record may leave
     * together.
     */
    final class ReturnBatch {
        final Transaction transaction = leader.newTransaction();
        final MachineEdits edits = machines.beginEdits(transaction);
        final Map<String, ClusterMembership.Shard> shrunkShards = new HashMap<>();
    }

    ScaleInController(
            EventLoop eventLoop,
            OperatorSettings operatorSettings,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            Leader leader,
            CloudClient cloudClient,
            SingleFlightCommitter committer,
            Consumer<Placement> onTaskTerminated,
            ConstrainedDemand constrainedDemand) {
        this.eventLoop = eventLoop;
        this.operatorSettings = operatorSettings;
        this.watchCache = watchCache;
        this.store = store;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.cloudClient = cloudClient;
        this.committer = committer;
        this.onTaskTerminated = onTaskTerminated;
        this.constrainedDemand = constrainedDemand;
        eventLoop.runEvery(
                AutoscalerConstants.RELEASE_INTERVAL_MILLIS, this::releaseReturningMachines);
    }

    ReturnBatch newReturnBatch() {
        return new ReturnBatch();
    }

    /**
     * Whether the cloud has said of late that the machine is gone, though it may still be listed.
     */
    boolean wasReleased(String host) {
        return releasedAtMillisByHost.containsKey(host);
    }

    void forgetOldReleases() {
        releasedAtMillisByHost
                .values()
                .removeIf(
                        t ->
                                eventLoop.nowMillis() - t
                                        > AutoscalerConstants.FORGET_RELEASED_AFTER_MILLIS);
    }

    /** Another controller leads. */
    void onNotLeading() {
        idleSinceMillisByHost.clear();
    }

    /** Notes which of the machines that are up hold nothing, and forgets those that are gone. */
    void trackIdleMachines(List<MachineTable.Machine> readyMachines, Set<String> presentHosts) {
        for (MachineTable.Machine machine : readyMachines) {
            if (!jobs.placementsOn(machine.host()).isEmpty()) {
                idleSinceMillisByHost.remove(machine.host());
            } else {
                idleSinceMillisByHost.putIfAbsent(machine.host(), eventLoop.nowMillis());
            }
        }
        idleSinceMillisByHost.keySet().retainAll(presentHosts);
    }

    /**
     * Adds a machine's return to a change: marked on record and out of its block at once, so
     * nothing more is placed there.
     */
    boolean addReturn(ReturnBatch returnBatch, MachineTable.Machine machine, String reason) {
        String ownerId = shards.ownerOf(machine.host());
        Transaction transaction = returnBatch.transaction;
        if (!transaction.fits(2, 2, store.maxTransactionOperations())) {
            return false;
        }
        if (ownerId != null) {
            if (shards.member(ownerId) == null) {
                return false;
            }
            ClusterMembership.Shard shard =
                    returnBatch.shrunkShards.computeIfAbsent(
                            ownerId, o -> shards.shardOf(o).copy());
            shard.fencingTokensByHost().remove(machine.host());
            transaction
                    .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                    .put(shard.storeKey(), shard.encode(), shards.member(ownerId).leaseId());
        }
        LOG.info(
                "machine {} ({}, {}{}) is returned: {}",
                machine.host(),
                machine.machineType(),
                machine.zone(),
                machine.spot() ? ", spot" : "",
                reason);
        returnBatch.edits.put(machine.asReleasing());
        return true;
    }

    /** Closes and returns machines beyond the need. */
    void returnExcess(
            List<MachineTable.Machine> readyMachines,
            DemandForecast.CpuDemand demand,
            DemandForecast.Capacity capacity,
            Predicate<InstanceOffering> shouldYieldToStarvedWork) {
        ReturnBatch returnBatch = new ReturnBatch();
        returnIdleMachines(
                returnBatch,
                eventLoop.nowMillis(),
                readyMachines,
                demand,
                capacity,
                shouldYieldToStarvedWork);
        if (returnBatch.transaction.isEmpty()) {
            cordonExcess(returnBatch, readyMachines, demand, capacity);
        }
        if (!returnBatch.transaction.isEmpty()) {
            committer.commit(returnBatch.transaction, this::releaseReturningMachines);
        }
    }

    private double pricePerCpu(MachineTable.Machine machine) {
        MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
        return machineType.pricePerHour(machine.spot()) / machineType.cpus();
    }

    /** Whether constrained work, of which {@link Demand} knows nothing, has use for the machine. */
    private boolean isWantedByConstrainedWork(MachineTable.Machine machine) {
        return constrainedDemand.isInDemand(
                catalog.get(machine.machineType()), machine.zone(), machine.spot());
    }

    private void returnIdleMachines(
            ReturnBatch returnBatch,
            long nowMillis,
            List<MachineTable.Machine> readyMachines,
            DemandForecast.CpuDemand demand,
            DemandForecast.Capacity capacity,
            Predicate<InstanceOffering> shouldYieldToStarvedWork) {
        double spareCostlyCpus =
                capacity.readyCpus() - demand.costlyCpusToKeep(operatorSettings.reserveFraction());
        double spareSpotCpus =
                capacity.readyCpus() - demand.spotCpusToKeep(operatorSettings.reserveFraction());
        readyMachines.sort(Comparator.comparingDouble(machine -> -pricePerCpu(machine)));
        // Cheap machines stay while dear ones are open: those go first, even if they take longer to
        // empty.
        boolean hasUncordonedCostlyMachine =
                readyMachines.stream().anyMatch(machine -> !machine.spot() && !machine.cordoned());
        for (MachineTable.Machine machine : readyMachines) {
            Long idleSinceMillis = idleSinceMillisByHost.get(machine.host());
            double ageSeconds =
                    (eventLoop.wallClockMillis() - machine.rentedAtEpochMillis()) / 1000.0;
            if (idleSinceMillis == null
                    || ageSeconds < AutoscalerConstants.MIN_CHARGE_SECONDS - 2) {
                continue;
            }
            double machineCpus = catalog.get(machine.machineType()).cpus();
            // What is kept from habit may be what the cloud lacks for work that waits now.
            if (!machine.cordoned()
                    && nowMillis - idleSinceMillis
                            < SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS
                    && isWantedByConstrainedWork(machine)
                    && !shouldYieldToStarvedWork.test(
                            new InstanceOffering(
                                    catalog.get(machine.machineType()),
                                    machine.zone(),
                                    machine.spot()))) {
                continue;
            }
            if (machine.cordoned()) {
                addReturn(returnBatch, machine, "closed and empty");
            } else if (machine.spot() && hasUncordonedCostlyMachine) {
                continue;
            } else if (nowMillis - idleSinceMillis > operatorSettings.idleReturnSeconds() * 1000
                    && demand.shortfallCpus() <= 0
                    && (machine.spot() ? spareSpotCpus : spareCostlyCpus) >= machineCpus / 2) {
                if (addReturn(returnBatch, machine, "idle")) {
                    spareCostlyCpus -= machineCpus;
                    spareSpotCpus -= machineCpus;
                }
            }
        }
    }

    /** About when the last task on the machine ends. */
    private double secondsUntilEmpty(MachineTable.Machine machine, long nowMillis) {
        double latestEndSeconds = 0;
        for (Placement placement : jobs.placementsOn(machine.host()).values()) {
            JobSpec spec = placement.job.spec;
            double remainingSeconds =
                    Math.max(
                            spec.runtimeSeconds()
                                    - (nowMillis - placement.recordSeenAtMillis) / 1000.0,
                            spec.runtimeSeconds() * 0.2);
            latestEndSeconds =
                    Math.max(
                            latestEndSeconds,
                            spec.isService() ? Double.MAX_VALUE : remainingSeconds);
        }
        return latestEndSeconds;
    }

    /**
     * The pass spreads tasks over all machines, so a dear machine beyond the need would never run
     * empty: it is closed to new tasks, and returned when its last one has ended. When the need
     * comes back first, it is opened again.
     */
    private void cordonExcess(
            ReturnBatch returnBatch,
            List<MachineTable.Machine> readyMachines,
            DemandForecast.CpuDemand demand,
            DemandForecast.Capacity capacity) {
        double spareCpus =
                capacity.readyCpus() - demand.costlyCpusToKeep(operatorSettings.reserveFraction());
        // Those that run empty soonest come first: a closed machine is paid for until its last task
        // has ended.
        long nowMillis = eventLoop.nowMillis();
        Map<String, Double> secondsUntilEmptyByHost = new HashMap<>();
        readyMachines.forEach(
                machine ->
                        secondsUntilEmptyByHost.put(
                                machine.host(), secondsUntilEmpty(machine, nowMillis)));
        readyMachines.sort(
                Comparator.comparing(MachineTable.Machine::spot)
                        .thenComparingDouble(
                                machine -> secondsUntilEmptyByHost.get(machine.host())));
        for (MachineTable.Machine machine : readyMachines) {
            double machineCpus = catalog.get(machine.machineType()).cpus();
            if (returnBatch.transaction.operationCount()
                    >= Math.min(
                            AutoscalerConstants.MAX_CORDON_RECORDS_PER_WRITE,
                            Math.max(2, store.affordableWrites()))) {
                break;
            }
            if (machine.cordoned() && demand.shortfallCpus() > 0.5) {
                returnBatch.edits.put(machine.withCordoned(false));
            } else if (!machine.cordoned()
                    && !machine.spot()
                    && demand.shortfallCpus() <= 0
                    && spareCpus
                            >= Math.min(machineCpus, AutoscalerConstants.MAX_CORDON_SPARE_CPUS)
                                    * AutoscalerConstants.CORDON_SPARE_FACTOR
                    && (eventLoop.wallClockMillis() - machine.rentedAtEpochMillis()) / 1000.0
                            > AutoscalerConstants.MIN_RENTED_BEFORE_CORDON_SECONDS
                    && !isWantedByConstrainedWork(machine)
                    && !runsService(machine)) {
                returnBatch.edits.put(machine.withCordoned(true));
                spareCpus -= machineCpus;
            }
        }
    }

    /**
     * Services never end by themselves: on a closed machine they were stopped to be moved, a new
     * machine was rented for them, another one was closed in turn, and so on without end.
     */
    private boolean runsService(MachineTable.Machine machine) {
        return jobs.placementsOn(machine.host()).values().stream()
                .anyMatch(p -> p.job.spec.isService() && !p.isTerminated());
    }

    /**
     * Releases what is marked; the cloud's 200 is the evidence that everything on the machines is
     * gone.
     */
    private void releaseReturningMachines() {
        if (!leader.isLeading()) {
            return;
        }
        List<String> hosts = new ArrayList<>();
        Transaction cleanup = leader.newTransaction();
        MachineEdits edits = machines.beginEdits(cleanup);
        for (MachineTable.Machine machine : machines.all()) {
            if (!machine.releasing() || shards.ownerOf(machine.host()) != null) {
                continue;
            }
            Long markRevision = markRevisionByReleasedHost.get(machine.host());
            if (markRevision == null) {
                if (!hostsInRelease.contains(machine.host())
                        && hosts.size() < AutoscalerConstants.MAX_MACHINES_PER_RELEASE_REQUEST) {
                    hosts.add(machine.host());
                }
            } else if (watchCache.storeRevision() >= markRevision) {
                // Nothing can have been placed there after its mark; all that was, we know by now.
                for (Placement placement :
                        new ArrayList<>(jobs.placementsOn(machine.host()).values())) {
                    if (!placement.isTerminated()) {
                        placement.transitionTo(Placement.Phase.GONE);
                        onTaskTerminated.accept(placement);
                    }
                }
                if (jobs.placementsOn(machine.host()).isEmpty()
                        && cleanup.fits(1, 1, store.maxTransactionOperations())) {
                    edits.remove(machine);
                }
            }
        }
        markRevisionByReleasedHost.keySet().removeIf(h -> machines.get(h) == null);
        if (!cleanup.isEmpty() && !committer.isBusy()) {
            committer.commit(cleanup, () -> {});
        }
        if (!hosts.isEmpty()) {
            requestRelease(hosts);
        }
    }

    private void requestRelease(List<String> hosts) {
        hostsInRelease.addAll(hosts);
        Map<String, Long> markRevisions = new HashMap<>();
        hosts.forEach(
                host ->
                        markRevisions.put(
                                host, watchCache.modRevision(machines.get(host).storeKey())));
        ObjectNode requestBody = WireFormat.newMap();
        hosts.forEach(requestBody.putArray("hosts")::add);
        cloudClient.call(
                "POST",
                "/rentals/release",
                requestBody,
                true,
                (status, response) -> {
                    hostsInRelease.removeAll(hosts);
                    if (status == 200) {
                        hosts.forEach(
                                host -> {
                                    markRevisionByReleasedHost.put(host, markRevisions.get(host));
                                    releasedAtMillisByHost.put(host, eventLoop.nowMillis());
                                    idleSinceMillisByHost.remove(host);
                                });
                        releaseReturningMachines();
                    }
                });
    }
}
