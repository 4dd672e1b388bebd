package io.quincelead.zone;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.ZoneConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's watch over zones: records their states, and restores the spread of services when a
 * zone that came back has settled, by moves at a stated pace. Every change is guarded by the
 * leader's key and by the records it was decided from.
 */
public final class ZoneRecoveryController {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneRecoveryController.class);

    /** What owners say of their machines. */
    public interface MachineVisibility {
        /** Whether the machine has not come up yet; null when its owner wasn't heard of late. */
        Boolean isBooting(String host);

        /** Whether its owner hears it. */
        boolean isReachable(String host);
    }

    private final EventLoop eventLoop;
    private final OperatorSettings.ZoneRecovery settings;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final JobTable jobs;
    private final ClusterMembership shards;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final ImageCaches imageCaches;
    private final ZoneTable zoneTable;
    private final Policy policy;
    private final Leader leader;
    private final MachineVisibility machineVisibility;
    private final ZoneHealthEvaluator healthEvaluator;
    private boolean isCommitInFlight;
    private long movedAtMillis;
    private long imagesRecordedAtMillis;

    public ZoneRecoveryController(
            EventLoop eventLoop,
            OperatorSettings.ZoneRecovery settings,
            double silenceThresholdMillis,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            ClusterMembership shards,
            MachineTable machines,
            MachineTypeCatalog catalog,
            ImageCaches imageCaches,
            ZoneTable zoneTable,
            Policy policy,
            Leader leader,
            MachineVisibility machineVisibility) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.watchCache = watchCache;
        this.store = store;
        this.jobs = jobs;
        this.shards = shards;
        this.machines = machines;
        this.catalog = catalog;
        this.imageCaches = imageCaches;
        this.zoneTable = zoneTable;
        this.policy = policy;
        this.leader = leader;
        this.machineVisibility = machineVisibility;
        this.healthEvaluator =
                new ZoneHealthEvaluator(silenceThresholdMillis, settings.settleSeconds() * 1000);
        eventLoop.runEvery(ZoneConstants.EVALUATION_INTERVAL_MILLIS, this::runRecoveryPass);
    }

    private void runRecoveryPass() {
        if (isCommitInFlight
                || !leader.isLeading()
                || !watchCache.isSynced()
                || !store.canAffordUrgentWrite()) {
            return;
        }
        Transaction transaction = proposeStateChange();
        transaction = transaction != null ? transaction : proposeMove();
        transaction = transaction != null ? transaction : proposeImageRecord();
        if (transaction != null) {
            Transaction proposed = transaction;
            isCommitInFlight = true;
            store.commit(
                    proposed,
                    outcome -> {
                        isCommitInFlight = false;
                        if (outcome.result() == Transaction.Result.COMMITTED) {
                            watchCache.applyCommitted(proposed, outcome.storeRevision());
                        }
                    });
        }
    }

    // ---- states

    private Transaction proposeStateChange() {
        Map<String, int[]> countsByZone = new TreeMap<>();
        zoneTable.all().forEach(zone -> countsByZone.put(zone.name(), new int[4]));
        for (MachineTable.Machine machine : machines.all()) {
            if (machine.releasing()) {
                continue;
            }
            Boolean booting = machineVisibility.isBooting(machine.host());
            int[] counts = countsByZone.computeIfAbsent(machine.zone(), s -> new int[4]);
            if (Boolean.TRUE.equals(booting)) {
                continue;
            }
            counts[0]++;
            counts[1] += booting != null ? 1 : 0;
            counts[2] += booting != null && machineVisibility.isReachable(machine.host()) ? 1 : 0;
            ZoneTable.Zone zone = zoneTable.get(machine.zone());
            counts[3] +=
                    machine.rentedAtEpochMillis() <= zone.sinceEpochMillis()
                                    || zone.state() == ZoneTable.State.UP
                            ? 1
                            : 0;
        }
        for (Map.Entry<String, int[]> entry : countsByZone.entrySet()) {
            int[] counts = entry.getValue();
            boolean otherZonesReachable =
                    countsByZone.entrySet().stream()
                            .anyMatch(
                                    o ->
                                            !o.getKey().equals(entry.getKey())
                                                    && o.getValue()[1] > 0
                                                    && o.getValue()[2] * 2 >= o.getValue()[1]);
            ZoneTable.Zone current = zoneTable.get(entry.getKey());
            ZoneTable.Zone next =
                    healthEvaluator.evaluate(
                            current,
                            new ZoneHealthEvaluator.ZoneObservation(
                                    counts[0],
                                    counts[1],
                                    counts[2],
                                    counts[3],
                                    otherZonesReachable),
                            eventLoop.wallClockMillis());
            if (Objects.equals(next, current)) {
                continue;
            }
            LOG.info(
                    "zone {} {} -> {}: {}",
                    current.name(),
                    current.state(),
                    next == null ? ZoneTable.State.UP : next.state(),
                    next == null ? "heard" : next.reason());
            Transaction transaction =
                    leader.newTransaction()
                            .requireRevision(
                                    ZoneTable.storeKey(current.name()),
                                    watchCache.modRevision(ZoneTable.storeKey(current.name())));
            return next == null
                    ? transaction.remove(ZoneTable.storeKey(current.name()))
                    : transaction.put(ZoneTable.storeKey(current.name()), next.encode());
        }
        return null;
    }

    // ---- moves

    /** A replica that should be in another zone. */
    private record ReplicaMove(Job job, Placement replica, String fromZone, String toZone) {}

    /**
     * Services that have too many replicas in one zone while another that came back has too few, or
     * all of them in one zone. None while a window covers any work, or while any zone is in doubt.
     */
    private List<ReplicaMove> findMoves() {
        List<ReplicaMove> moves = new ArrayList<>();
        if (settings.movesPerMinute() <= 0
                || policy.isAnyWindowOpen()
                || zoneTable.all().stream()
                        .anyMatch(
                                z ->
                                        zoneTable.isUnavailable(z.name())
                                                || z.state() == ZoneTable.State.RETURNING)) {
            return moves;
        }
        Set<String> allZones = new TreeSet<>();
        catalog.all().forEach(s -> allZones.addAll(s.zones()));
        Set<String> settledZones = new TreeSet<>(allZones);
        settledZones.removeIf(z -> zoneTable.get(z).state() != ZoneTable.State.SETTLED);
        for (Job job : jobs.all()) {
            if (job.spec.isService()
                    && !job.isCancelled()
                    && !job.spec.zoneAffinity()
                    && job.spec.zone() == null
                    && job.spec.taskCount() > 1
                    && job.possiblyRunningTaskCount() == job.spec.taskCount()) {
                ReplicaMove move = findMove(job, allZones, settledZones);
                if (move != null) {
                    moves.add(move);
                }
            }
        }
        return moves;
    }

    private ReplicaMove findMove(Job job, Set<String> allZones, Set<String> settledZones) {
        Map<String, Integer> replicasByZone = new TreeMap<>();
        Map<String, Placement> replicaByZone = new HashMap<>();
        for (TaskStatePage page : job.pages) {
            for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                MachineTable.Machine m = machines.get(placement.host);
                MachineTypeCatalog.MachineType machineType =
                        m == null ? null : catalog.get(m.machineType());
                double fetchMillis =
                        machineType == null
                                ? 0
                                : job.spec.imageSizeGb()
                                        / Math.max(machineType.imagePullGbPerSecond(), 0.01)
                                        * 1000;
                if (m == null
                        || placement.stopRequested
                        || placement.isTerminated()
                        || eventLoop.nowMillis() - placement.recordSeenAtMillis()
                                < ZoneConstants.REPLICA_STEADY_AFTER_MILLIS + fetchMillis) {
                    // A replica is away already, or has its place but may not serve yet.
                    return null;
                }
                replicasByZone.merge(m.zone(), 1, Integer::sum);
                replicaByZone.putIfAbsent(m.zone(), placement);
            }
        }
        String fromZone =
                replicasByZone.entrySet().stream()
                        .max(
                                Map.Entry.<String, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse(null);
        String toZone =
                (replicasByZone.size() == 1 ? allZones : settledZones)
                        .stream()
                                .min(
                                        Comparator.comparing(
                                                        (String z) ->
                                                                replicasByZone.getOrDefault(z, 0))
                                                .thenComparing(z -> z))
                                .orElse(null);
        return fromZone == null
                        || toZone == null
                        || replicasByZone.get(fromZone) - replicasByZone.getOrDefault(toZone, 0) < 2
                ? null
                : new ReplicaMove(job, replicaByZone.get(fromZone), fromZone, toZone);
    }

    /**
     * Demands of replicas that would move to a zone if there were room, as many as would move
     * within a minute: machines are rented for them.
     */
    public Map<String, List<JobSpec>> rebalanceDemand() {
        Map<String, List<JobSpec>> specsByZone = new TreeMap<>();
        int count = 0;
        for (ReplicaMove move : findMoves()) {
            if (count++ >= settings.movesPerMinute()) {
                break;
            }
            specsByZone.computeIfAbsent(move.toZone, z -> new ArrayList<>()).add(move.job.spec);
        }
        return specsByZone;
    }

    /**
     * Stops one replica, which then starts where the fewest are. At most one of a model is away at
     * a time, and only where room waits for it.
     */
    private Transaction proposeMove() {
        if (eventLoop.nowMillis() - movedAtMillis
                < 60_000 / Math.max(settings.movesPerMinute(), 0.01)) {
            return null;
        }
        for (ReplicaMove m : findMoves()) {
            if (hasFreeCapacity(m.job, m.toZone)) {
                TaskStatePage page =
                        m.job.page(m.replica.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
                TaskStatePageEdit edit = page.edit();
                edit.requestStop(m.replica.taskIndex);
                movedAtMillis = eventLoop.nowMillis();
                LOG.info(
                        "replica {} moves from {} to {}",
                        m.replica.taskName(),
                        m.fromZone,
                        m.toZone);
                return leader.newTransaction()
                        .requireRevision(m.job.storeKey(), watchCache.modRevision(m.job.storeKey()))
                        .requireRevision(page.storeKey(), watchCache.modRevision(page.storeKey()))
                        .put(page.storeKey(), edit.encode());
            }
        }
        return null;
    }

    /**
     * Whether a machine that is heard in the zone, of the block where the job's controller places
     * it, has room for one task of the job.
     */
    private boolean hasFreeCapacity(Job job, String zone) {
        boolean isLeadersJob = job.controllerId().equals(shards.leaderId());
        for (MachineTable.Machine machine : machines.all()) {
            MachineTypeCatalog.MachineType machineType = catalog.get(machine.machineType());
            if (machine.zone().equals(zone)
                    && !machine.releasing()
                    && !machine.cordoned()
                    && machineType != null
                    && MachineTypeCatalog.isAllowed(job.spec, machine.machineType())
                    && (job.spec.preemptible() || !machine.spot())
                    && (isLeadersJob || job.controllerId().equals(shards.ownerOf(machine.host())))
                    && machineVisibility.isReachable(machine.host())) {
                MachineLoad load = jobs.loadOf(machine.host());
                boolean fits =
                        machineType.cpus() - (load == null ? 0 : load.cpus())
                                        >= job.spec.cpus() - 1e-9
                                && machineType.memoryGb() - (load == null ? 0 : load.memoryGb())
                                        >= job.spec.memoryGb() - 1e-9
                                && machineType.gpus() - (load == null ? 0 : load.gpus())
                                        >= job.spec.gpus() - 1e-9;
                if (fits) {
                    return true;
                }
            }
        }
        return false;
    }

    // ---- weights

    /**
     * Records which heavy images machines have, a machine record at a time, when the store has
     * changes to spare.
     */
    private Transaction proposeImageRecord() {
        if (eventLoop.nowMillis() - imagesRecordedAtMillis
                        < ZoneConstants.IMAGE_RECORD_INTERVAL_MILLIS
                || store.backpressure() > 0) {
            return null;
        }
        imagesRecordedAtMillis = eventLoop.nowMillis();
        Set<String> visitedHosts = new HashSet<>();
        for (MachineTable.Machine machine : machines.all()) {
            if (!machine.releasing()
                    && visitedHosts.add(machine.host())
                    && !imageCaches
                            .largeImages(machine.host(), settings.heavyImageGb())
                            .equals(machines.recordedLargeImages(machine.host()))) {
                Transaction transaction = leader.newTransaction();
                machines.beginEdits(transaction).put(machine);
                return transaction;
            }
        }
        return null;
    }
}
