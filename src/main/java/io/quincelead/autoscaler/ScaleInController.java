package io.quincelead.autoscaler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides which machines beyond the demand are released because they are idle, and which on-demand
 * machines are cordoned so that they become idle.
 */
final class ScaleInController {
    private final EventLoop eventLoop;
    private final OperatorSettings operatorSettings;
    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final SingleFlightCommitter committer;
    private final MachineReleaser releaser;
    private final IdleMachines idleMachines;

    ScaleInController(
            EventLoop eventLoop,
            OperatorSettings operatorSettings,
            ClusterView cluster,
            LeaderStore leaderStore,
            SingleFlightCommitter committer,
            MachineReleaser releaser,
            IdleMachines idleMachines) {
        this.eventLoop = eventLoop;
        this.operatorSettings = operatorSettings;
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.committer = committer;
        this.releaser = releaser;
        this.idleMachines = idleMachines;
    }

    /**
     * Marks idle machines beyond the demand for release or, when there are none, cordons machines
     * or lifts cordons, all in one transaction.
     *
     * @param readyMachines the machines that are up; reordered in place
     * @param shouldYieldToBlockedWork whether a machine that is only kept for recent demand should
     *     be released, because the cloud lacks machines for other pending work
     */
    void releaseExcess(
            List<MachineTable.Machine> readyMachines,
            CpuDemand demand,
            CapacityForecast capacity,
            Predicate<InstanceOffering> shouldYieldToBlockedWork) {
        MachineChanges changes = new MachineChanges(cluster, leaderStore);
        releaseIdleMachines(changes, readyMachines, demand, capacity, shouldYieldToBlockedWork);
        if (changes.transaction().isEmpty()) {
            cordonExcess(changes, readyMachines, demand, capacity);
        }
        if (!changes.transaction().isEmpty()) {
            committer.commit(changes.transaction(), releaser::releaseMarked);
        }
    }

    private void releaseIdleMachines(
            MachineChanges changes,
            List<MachineTable.Machine> readyMachines,
            CpuDemand demand,
            CapacityForecast capacity,
            Predicate<InstanceOffering> shouldYieldToBlockedWork) {
        long nowMillis = eventLoop.nowMillis();
        double spareOnDemandCpus =
                capacity.readyCpus()
                        - demand.onDemandCpusToKeep(operatorSettings.reserveFraction());
        double spareSpotCpus =
                capacity.readyCpus() - demand.spotCpusToKeep(operatorSettings.reserveFraction());
        readyMachines.sort(Comparator.comparingDouble(machine -> -pricePerCpu(machine)));
        // Spot machines are kept while on-demand ones take tasks: on-demand machines are released
        // first, even if they take longer to become idle.
        boolean hasUncordonedOnDemandMachine =
                readyMachines.stream().anyMatch(machine -> !machine.spot() && !machine.cordoned());
        for (MachineTable.Machine machine : readyMachines) {
            Long idleSinceMillis = idleMachines.idleSinceMillis(machine.host());
            if (idleSinceMillis == null
                    || ageSeconds(machine) < AutoscalerConstants.MIN_CHARGE_SECONDS - 2
                    || isKeptForConstrainedWork(
                            machine, nowMillis - idleSinceMillis, shouldYieldToBlockedWork)) {
                continue;
            }
            double machineCpus = machineType(machine).cpus();
            if (machine.cordoned()) {
                changes.tryMarkForRelease(machine, "cordoned and empty");
            } else if (machine.spot() && hasUncordonedOnDemandMachine) {
                continue;
            } else if (nowMillis - idleSinceMillis > operatorSettings.idleReleaseSeconds() * 1000
                    && demand.shortfallCpus() <= 0
                    && (machine.spot() ? spareSpotCpus : spareOnDemandCpus) >= machineCpus / 2
                    && changes.tryMarkForRelease(machine, "idle")) {
                spareOnDemandCpus -= machineCpus;
                spareSpotCpus -= machineCpus;
            }
        }
    }

    /**
     * Whether an idle machine is kept because constrained work that could use it was requested
     * recently. The demand forecast does not cover constrained work.
     */
    private boolean isKeptForConstrainedWork(
            MachineTable.Machine machine,
            long idleMillis,
            Predicate<InstanceOffering> shouldYieldToBlockedWork) {
        return !machine.cordoned()
                && idleMillis < SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS
                && isWantedByConstrainedWork(machine)
                && !shouldYieldToBlockedWork.test(
                        new InstanceOffering(machineType(machine), machine.zone(), machine.spot()));
    }

    /**
     * Cordons on-demand machines beyond the demand. Tasks are spread over all machines, so such a
     * machine would never become idle otherwise; it is released when its last task has ended. When
     * demand rises before that, the cordon is lifted.
     */
    private void cordonExcess(
            MachineChanges changes,
            List<MachineTable.Machine> readyMachines,
            CpuDemand demand,
            CapacityForecast capacity) {
        double spareCpus =
                capacity.readyCpus()
                        - demand.onDemandCpusToKeep(operatorSettings.reserveFraction());
        sortSoonestEmptyFirst(readyMachines);
        for (MachineTable.Machine machine : readyMachines) {
            double machineCpus = machineType(machine).cpus();
            if (changes.transaction().operationCount()
                    >= Math.min(
                            AutoscalerConstants.MAX_CORDON_RECORDS_PER_WRITE,
                            Math.max(2, leaderStore.store().affordableWrites()))) {
                break;
            }
            if (machine.cordoned() && demand.shortfallCpus() > 0.5) {
                changes.setCordoned(machine, false);
            } else if (!machine.cordoned()
                    && !machine.spot()
                    && demand.shortfallCpus() <= 0
                    && spareCpus
                            >= Math.min(machineCpus, AutoscalerConstants.MAX_CORDON_SPARE_CPUS)
                                    * AutoscalerConstants.CORDON_SPARE_FACTOR
                    && ageSeconds(machine) > AutoscalerConstants.MIN_BILLED_BEFORE_CORDON_SECONDS
                    && !isWantedByConstrainedWork(machine)
                    && !runsService(machine)) {
                changes.setCordoned(machine, true);
                spareCpus -= machineCpus;
            }
        }
    }

    /**
     * Sorts on-demand machines first, and of these the ones that become idle soonest: a cordoned
     * machine is paid for until its last task has ended.
     */
    private void sortSoonestEmptyFirst(List<MachineTable.Machine> readyMachines) {
        long nowMillis = eventLoop.nowMillis();
        Map<String, Double> secondsUntilEmptyByHost = new HashMap<>();
        for (MachineTable.Machine machine : readyMachines) {
            secondsUntilEmptyByHost.put(machine.host(), secondsUntilEmpty(machine, nowMillis));
        }
        readyMachines.sort(
                Comparator.comparing(MachineTable.Machine::spot)
                        .thenComparingDouble(
                                machine -> secondsUntilEmptyByHost.get(machine.host())));
    }

    /**
     * Estimated time until the last task on the machine ends; {@code Double.MAX_VALUE} with a
     * service's replica.
     */
    private double secondsUntilEmpty(MachineTable.Machine machine, long nowMillis) {
        double latestEndSeconds = 0;
        for (Placement placement : cluster.jobs().placementsOn(machine.host()).values()) {
            JobSpec spec = placement.job.spec;
            double remainingSeconds =
                    Math.max(
                            spec.runtimeSeconds()
                                    - (nowMillis - placement.recordSeenAtMillis()) / 1000.0,
                            spec.runtimeSeconds() * 0.2);
            latestEndSeconds =
                    Math.max(
                            latestEndSeconds,
                            spec.isService() ? Double.MAX_VALUE : remainingSeconds);
        }
        return latestEndSeconds;
    }

    /**
     * Whether a service has a replica on the machine; such a machine is not cordoned. Services
     * never end by themselves: on a cordoned machine they were stopped to be moved, a new machine
     * was provisioned for them, another one was cordoned in turn, and so on without end.
     */
    private boolean runsService(MachineTable.Machine machine) {
        return cluster.jobs().placementsOn(machine.host()).values().stream()
                .anyMatch(placement -> placement.job.spec.isService() && !placement.isTerminated());
    }

    private boolean isWantedByConstrainedWork(MachineTable.Machine machine) {
        return cluster.constrainedDemand()
                .isInDemand(machineType(machine), machine.zone(), machine.spot());
    }

    private MachineTypeCatalog.MachineType machineType(MachineTable.Machine machine) {
        return cluster.machineTypes().get(machine.machineType());
    }

    private double pricePerCpu(MachineTable.Machine machine) {
        MachineTypeCatalog.MachineType machineType = machineType(machine);
        return machineType.pricePerHour(machine.spot()) / machineType.cpus();
    }

    private double ageSeconds(MachineTable.Machine machine) {
        return (eventLoop.wallClockMillis() - machine.provisionedAtEpochMillis()) / 1000.0;
    }
}
