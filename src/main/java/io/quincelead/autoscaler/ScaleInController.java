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
 * Decides which machines beyond the demand are returned because they are idle, and which on-demand
 * ones are cordoned so that they run empty.
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
     * Returns idle machines beyond the demand, or, when there are none, cordons machines or lifts
     * cordons, all in one transaction.
     *
     * @param readyMachines the machines that are up; sorted anew in place
     * @param shouldYieldToStarvedWork whether a machine that is only kept for recent demand should
     *     go, because the cloud lacks machines for work that waits now
     */
    void releaseExcess(
            List<MachineTable.Machine> readyMachines,
            CpuDemand demand,
            CapacityForecast capacity,
            Predicate<InstanceOffering> shouldYieldToStarvedWork) {
        MachineChanges changes = new MachineChanges(cluster, leaderStore);
        returnIdleMachines(changes, readyMachines, demand, capacity, shouldYieldToStarvedWork);
        if (changes.transaction().isEmpty()) {
            cordonExcess(changes, readyMachines, demand, capacity);
        }
        if (!changes.transaction().isEmpty()) {
            committer.commit(changes.transaction(), releaser::releaseMarked);
        }
    }

    private void returnIdleMachines(
            MachineChanges changes,
            List<MachineTable.Machine> readyMachines,
            CpuDemand demand,
            CapacityForecast capacity,
            Predicate<InstanceOffering> shouldYieldToStarvedWork) {
        long nowMillis = eventLoop.nowMillis();
        double spareOnDemandCpus =
                capacity.readyCpus()
                        - demand.onDemandCpusToKeep(operatorSettings.reserveFraction());
        double spareSpotCpus =
                capacity.readyCpus() - demand.spotCpusToKeep(operatorSettings.reserveFraction());
        readyMachines.sort(Comparator.comparingDouble(machine -> -pricePerCpu(machine)));
        // Spot machines stay while on-demand ones take tasks: the latter go first, even if they
        // take
        // longer to run empty.
        boolean hasUncordonedOnDemandMachine =
                readyMachines.stream().anyMatch(machine -> !machine.spot() && !machine.cordoned());
        for (MachineTable.Machine machine : readyMachines) {
            Long idleSinceMillis = idleMachines.idleSinceMillis(machine.host());
            if (idleSinceMillis == null
                    || rentedSeconds(machine) < AutoscalerConstants.MIN_CHARGE_SECONDS - 2
                    || isKeptForConstrainedWork(
                            machine, nowMillis - idleSinceMillis, shouldYieldToStarvedWork)) {
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
     * Whether an idle machine stays because recent constrained work could use it. The demand
     * forecast knows nothing of such work.
     */
    private boolean isKeptForConstrainedWork(
            MachineTable.Machine machine,
            long idleMillis,
            Predicate<InstanceOffering> shouldYieldToStarvedWork) {
        return !machine.cordoned()
                && idleMillis < SchedulerConstants.CONSTRAINED_DEMAND_RETENTION_MILLIS
                && isWantedByConstrainedWork(machine)
                && !shouldYieldToStarvedWork.test(
                        new InstanceOffering(machineType(machine), machine.zone(), machine.spot()));
    }

    /**
     * Tasks are spread over all machines, so an on-demand machine beyond the demand would never run
     * empty: it is cordoned, and returned when its last task has ended. When the demand comes back
     * first, the cordon is lifted.
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
                    && rentedSeconds(machine) > AutoscalerConstants.MIN_BILLED_BEFORE_CORDON_SECONDS
                    && !isWantedByConstrainedWork(machine)
                    && !runsService(machine)) {
                changes.setCordoned(machine, true);
                spareCpus -= machineCpus;
            }
        }
    }

    /**
     * On-demand machines first, and of these the ones that run empty soonest: a cordoned machine is
     * paid for until its last task has ended.
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

    /** About when the last task on the machine ends; endless with a service's replica. */
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
     * Services never end by themselves: on a cordoned machine they were stopped to be moved, a new
     * machine was rented for them, another one was cordoned in turn, and so on without end.
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

    private double rentedSeconds(MachineTable.Machine machine) {
        return (eventLoop.wallClockMillis() - machine.provisionedAtEpochMillis()) / 1000.0;
    }
}
