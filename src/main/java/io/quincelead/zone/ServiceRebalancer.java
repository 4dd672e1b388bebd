package io.quincelead.zone;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.ZoneConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Finds the moves of replicas that restore the zone spread of services once a zone that came back
 * has settled. It changes nothing.
 */
final class ServiceRebalancer {
    /** A replica that should be in another zone. */
    record ReplicaMove(Job job, Placement replica, String fromZone, String toZone) {}

    private final EventLoop eventLoop;
    private final OperatorSettings.ZoneRecovery settings;
    private final ZoneView view;

    ServiceRebalancer(EventLoop eventLoop, OperatorSettings.ZoneRecovery settings, ZoneView view) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.view = view;
    }

    /**
     * A move for each service that has too many replicas in one zone and too few in a zone that has
     * settled, or that has all of its replicas in one zone. No moves while any calendar window is
     * open, or while any zone is unavailable or returning.
     */
    List<ReplicaMove> findMoves() {
        return view.zones().all().stream().anyMatch(this::isUnsettled)
                ? List.of()
                : findMovesTo(EnumSet.of(ZoneTable.State.SETTLED));
    }

    /** Moves to zones in these states, regardless of the states of other zones. */
    private List<ReplicaMove> findMovesTo(Set<ZoneTable.State> targetStates) {
        List<ReplicaMove> moves = new ArrayList<>();
        if (settings.movesPerMinute() <= 0 || view.cluster().policy().isAnyWindowOpen()) {
            return moves;
        }
        Set<String> allZones = new TreeSet<>();
        view.cluster()
                .machineTypes()
                .all()
                .forEach(machineType -> allZones.addAll(machineType.zones()));
        Set<String> targetZones = new TreeSet<>(allZones);
        targetZones.removeIf(zone -> !targetStates.contains(view.zones().get(zone).state()));
        for (Job job : view.cluster().jobs().all()) {
            if (isMovable(job)) {
                ReplicaMove move = findMove(job, allZones, targetZones);
                if (move != null) {
                    moves.add(move);
                }
            }
        }
        return moves;
    }

    private boolean isUnsettled(ZoneTable.Zone zone) {
        return view.zones().isUnavailable(zone.name()) || zone.state() == ZoneTable.State.RETURNING;
    }

    /** Whether the job is a service that has all of its replicas and may run in several zones. */
    private static boolean isMovable(Job job) {
        JobSpec spec = job.spec;
        return spec.isService()
                && !job.isCancelled()
                && !spec.zoneAffinity()
                && spec.zone() == null
                && spec.taskCount() > 1
                && job.possiblyRunningTaskCount() == spec.taskCount();
    }

    /**
     * A move of one of the job's replicas; null if none is needed, or if any replica isn't steady.
     */
    private ReplicaMove findMove(Job job, Set<String> allZones, Set<String> returnedZones) {
        Map<String, Integer> replicaCountByZone = new TreeMap<>();
        Map<String, Placement> firstReplicaByZone = new HashMap<>();
        for (TaskStatePage page : job.pages) {
            for (Placement replica : page == null ? List.<Placement>of() : page.placements) {
                MachineTable.Machine machine = view.cluster().machines().get(replica.host);
                if (machine == null || !isSteady(replica, machine)) {
                    return null;
                }
                replicaCountByZone.merge(machine.zone(), 1, Integer::sum);
                firstReplicaByZone.putIfAbsent(machine.zone(), replica);
            }
        }
        String fromZone =
                replicaCountByZone.entrySet().stream()
                        .max(
                                Map.Entry.<String, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse(null);
        Set<String> targetZones = replicaCountByZone.size() == 1 ? allZones : returnedZones;
        String toZone =
                targetZones.stream()
                        .min(
                                Comparator.comparing(
                                                (String zone) ->
                                                        replicaCountByZone.getOrDefault(zone, 0))
                                        .thenComparing(Comparator.naturalOrder()))
                        .orElse(null);
        return fromZone == null
                        || toZone == null
                        || replicaCountByZone.get(fromZone)
                                        - replicaCountByZone.getOrDefault(toZone, 0)
                                < 2
                ? null
                : new ReplicaMove(job, firstReplicaByZone.get(fromZone), fromZone, toZone);
    }

    /**
     * Whether a replica has had time to start serving and is not being stopped. A replica that
     * isn't steady is stopped or stopping already, or was placed so recently that it may not serve
     * yet.
     */
    private boolean isSteady(Placement replica, MachineTable.Machine machine) {
        MachineType machineType = view.cluster().machineTypes().get(machine.machineType());
        double fetchMillis =
                machineType == null
                        ? 0
                        : replica.job.spec.imageSizeGb()
                                / Math.max(machineType.imagePullGbPerSecond(), 0.01)
                                * 1000;
        return !replica.stopRequested
                && !replica.isTerminated()
                && eventLoop.nowMillis() - replica.recordSeenAtMillis()
                        >= ZoneConstants.REPLICA_STEADY_AFTER_MILLIS + fetchMillis;
    }

    /**
     * The replicas that would move to a zone if it had free capacity, by zone, as many as would
     * move within a minute: machines are provisioned for them. For a returning zone without any
     * machine it is one replica: only a machine there can show that the zone stays up, and nothing
     * else might ever cause one to be provisioned.
     */
    Map<String, List<JobSpec>> rebalanceDemand() {
        Map<String, List<JobSpec>> specsByZone = new TreeMap<>();
        int count = 0;
        for (ReplicaMove move : findMoves()) {
            if (count++ >= settings.movesPerMinute()) {
                break;
            }
            specsByZone.computeIfAbsent(move.toZone, zone -> new ArrayList<>()).add(move.job.spec);
        }
        addProbesOfReturningZones(specsByZone);
        return specsByZone;
    }

    private void addProbesOfReturningZones(Map<String, List<JobSpec>> specsByZone) {
        if (view.zones().all().stream().noneMatch(zone -> zone.state() == ZoneTable.State.RETURNING)
                || isAnyReplicaPending()) {
            return;
        }
        List<ReplicaMove> moves =
                findMovesTo(EnumSet.of(ZoneTable.State.SETTLED, ZoneTable.State.RETURNING));
        for (ZoneTable.Zone zone : view.zones().all()) {
            if (zone.state() == ZoneTable.State.RETURNING && !hasMachine(zone.name())) {
                moves.stream()
                        .filter(move -> move.toZone.equals(zone.name()))
                        .findFirst()
                        .or(() -> moves.stream().findFirst())
                        .ifPresent(move -> specsByZone.put(zone.name(), List.of(move.job.spec)));
            }
        }
    }

    private boolean hasMachine(String zone) {
        return view.cluster().machines().all().stream()
                .anyMatch(machine -> machine.zone().equals(zone) && !machine.releasing());
    }

    /**
     * Whether a replica of any service is pending. Lost replicas are restored before returning
     * zones are probed: they take the machines that are provisioned meanwhile.
     */
    private boolean isAnyReplicaPending() {
        return view.cluster().jobs().all().stream()
                .anyMatch(
                        job ->
                                job.spec.isService()
                                        && !job.isCancelled()
                                        && job.pendingTaskCount() > 0);
    }

    /**
     * Whether a machine in the zone is reachable, is in a shard on which the job's owner places its
     * jobs, and has free capacity for one task of the job. The leader places its jobs on all
     * shards, other owners on their own.
     */
    boolean hasFreeCapacity(Job job, String zone) {
        boolean isLeadersJob = job.controllerId().equals(view.cluster().membership().leaderId());
        for (MachineTable.Machine machine : view.cluster().machines().all()) {
            MachineType machineType = view.cluster().machineTypes().get(machine.machineType());
            if (machine.zone().equals(zone)
                    && !machine.releasing()
                    && !machine.cordoned()
                    && machineType != null
                    && MachineTypeCatalog.isAllowed(job.spec, machine.machineType())
                    && (job.spec.preemptible() || !machine.spot())
                    && (isLeadersJob
                            || job.controllerId()
                                    .equals(view.cluster().membership().ownerOf(machine.host())))
                    && view.visibility().isReachable(machine.host())
                    && fits(job.spec, machineType, view.cluster().jobs().loadOf(machine.host()))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a task fits the machine's free capacity; {@code load} is null for an empty machine.
     */
    private static boolean fits(JobSpec spec, MachineType machineType, MachineLoad load) {
        return machineType.cpus() - (load == null ? 0 : load.cpus()) >= spec.cpus() - 1e-9
                && machineType.memoryGb() - (load == null ? 0 : load.memoryGb())
                        >= spec.memoryGb() - 1e-9
                && machineType.gpus() - (load == null ? 0 : load.gpus()) >= spec.gpus() - 1e-9;
    }
}
