package io.quincelead.worker;

import io.quincelead.cluster.ClusterRecords;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.LeaseConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.config.constants.ZoneConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds the machines of this controller's shard that should be declared lost, and distinguishes
 * them from machines in zones that this controller merely can't reach.
 */
final class WorkerFailureDetector {
    private final EventLoop loop;
    private final Settings settings;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog machineTypes;
    private final long silenceTimeoutMillis;
    private final Policy policy;
    private final ZoneTable zones;

    /** Event-loop time at which each zone was last unreachable from this controller. */
    private final Map<String, Long> zoneUnreachableAtMillis = new HashMap<>();

    WorkerFailureDetector(
            EventLoop loop, Settings settings, ClusterRecords records, Policy policy) {
        this.policy = policy;
        this.zones = records.zones();
        this.loop = loop;
        this.settings = settings;
        this.jobs = records.jobs();
        this.machines = records.machines();
        this.machineTypes = records.machineTypes();
        this.silenceTimeoutMillis = silenceTimeoutMillis(settings);
    }

    /**
     * The time after which a machine without heartbeats is considered dead or hung: a worker's
     * lease, plus allowances for clock drift and for the delay of a heartbeat.
     */
    static long silenceTimeoutMillis(Settings settings) {
        return (long)
                        (settings.workerTimings().leaseSeconds()
                                * 1000
                                * (1 + LeaseConstants.CLOCK_DRIFT_FRACTION))
                + WorkerConstants.SILENCE_SLACK_MILLIS;
    }

    /** Returns the machines to be declared lost, each with the reason to be logged. */
    Map<ShardWorker, String> findLost(Collection<ShardWorker> workers) {
        long now = loop.nowMillis();
        Map<ShardWorker, String> lost = new LinkedHashMap<>();
        Set<String> unreachableZones = unreachableZones(workers);
        unreachableZones.forEach(zone -> zoneUnreachableAtMillis.put(zone, now));
        for (ShardWorker worker : workers) {
            if (worker.phase() == ShardWorker.Phase.RELEASING) {
                continue;
            }
            boolean zoneUnreachable = unreachableZones.contains(zoneOf(worker));
            // When a zone becomes reachable again, the silence timeout of each of its machines
            // starts again.
            long silenceMillis =
                    now
                            - (zoneUnreachable
                                    ? worker.lastContactAtMillis
                                    : Math.max(
                                            worker.lastContactAtMillis,
                                            zoneUnreachableAtMillis.getOrDefault(
                                                    zoneOf(worker), Long.MIN_VALUE)));
            if (worker.isBooting()) {
                if (isBootOverdue(worker.host)
                        && silenceMillis > silenceTimeoutMillis
                        && !zoneUnreachable) {
                    lost.put(worker, "did not boot in time");
                }
                continue;
            }
            boolean reclaimed = worker.isBeingReclaimed() && worker.reclaimSecondsLeft() < -1;
            if (silenceMillis
                    > (reclaimed
                            ? WorkerConstants.SILENCE_SLACK_MILLIS
                                    + (long) (settings.workerTimings().heartbeatSeconds() * 1500)
                            : maxSilenceMillis(worker, zoneUnreachable))) {
                lost.put(worker, "silent");
            } else if (worker.isUnreachableInboundFor(
                    zoneUnreachable
                            ? unreachableZoneTimeoutMillis(worker)
                            : silenceTimeoutMillis)) {
                lost.put(worker, "does not receive responses or commands");
            } else if (worker.consecutiveFailures
                    >= WorkerConstants.FAILURES_BEFORE_DECLARED_LOST) {
                lost.put(worker, "repeated task failures");
            } else if (hasOverdueCancellation(worker)) {
                lost.put(worker, "cancelled task did not terminate in time");
            }
        }
        return lost;
    }

    private String zoneOf(ShardWorker worker) {
        MachineTable.Machine machine = machines.get(worker.host);
        return machine == null ? "" : machine.zone();
    }

    /**
     * Zones in which hardly any machine gets a heartbeat through to this controller or receives its
     * responses: the fault is in the network, not in the machines. A machine that never came up
     * says nothing about its zone; it would count as a sign of a fault in the network that excuses
     * it.
     */
    private Set<String> unreachableZones(Collection<ShardWorker> workers) {
        long reachableSinceMillis =
                loop.nowMillis()
                        - (long)
                                (settings.workerTimings().heartbeatSeconds()
                                        * 1000
                                        * WorkerConstants.REACHABLE_WITHIN_HEARTBEATS);
        Map<String, int[]> countsByZone = new HashMap<>();
        for (ShardWorker worker : workers) {
            if (!worker.isBooting()) {
                int[] counts = countsByZone.computeIfAbsent(zoneOf(worker), zone -> new int[2]);
                counts[0]++;
                counts[1] +=
                        worker.hasMadeContact
                                        && worker.lastContactAtMillis >= reachableSinceMillis
                                        && !worker.isUnreachableInboundFor(
                                                loop.nowMillis() - reachableSinceMillis)
                                ? 1
                                : 0;
            }
        }
        Set<String> unreachable = new HashSet<>();
        countsByZone.forEach(
                (zone, counts) -> {
                    if (counts[0] >= ZoneConstants.MIN_EVALUATED_MACHINES
                            && counts[1] < counts[0] * ZoneConstants.MIN_REACHABLE_FRACTION) {
                        unreachable.add(zone);
                    }
                });
        return unreachable;
    }

    /**
     * How long a machine may be silent before it is declared lost. In an unreachable zone a
     * controller inside that zone keeps the machine's tasks alive, and declaring the machine lost
     * would only lose them. In a reachable zone a silent machine is dead or hung, so a machine with
     * a service gets only half of the silence timeout. The operators' order for the zone takes
     * precedence: under HOLD, there is no limit while the zone is unreachable or unavailable
     * ({@link ZoneTable#isUnavailable}); under RELEASE, the limit in an unreachable zone is zero.
     */
    private long maxSilenceMillis(ShardWorker worker, boolean zoneUnreachable) {
        ZoneTable.OperatorOrder order = zones.get(zoneOf(worker)).operatorOrder();
        if (order == ZoneTable.OperatorOrder.HOLD
                && (zoneUnreachable || zones.isUnavailable(zoneOf(worker)))) {
            return Long.MAX_VALUE;
        }
        if (zoneUnreachable) {
            return order == ZoneTable.OperatorOrder.RELEASE
                    ? 0
                    : unreachableZoneTimeoutMillis(worker);
        }
        boolean hasService = false;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            hasService |= placement.job.spec.isService() && !placement.isTerminated();
        }
        return hasService ? silenceTimeoutMillis / 2 : silenceTimeoutMillis;
    }

    /**
     * How long a machine in an unreachable zone may be silent: the shortest time that the priority
     * classes of its services state, but at least the silence timeout and at most a fixed number of
     * worker leases.
     */
    private long unreachableZoneTimeoutMillis(ShardWorker worker) {
        double leastMillis = Double.MAX_VALUE;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            double timeoutMillis =
                    placement.isTerminated()
                            ? -1
                            : policy.unreachableZoneTimeoutMillis(placement.job);
            leastMillis = timeoutMillis < 0 ? leastMillis : Math.min(leastMillis, timeoutMillis);
        }
        return (long)
                Math.min(
                        Math.max(leastMillis, silenceTimeoutMillis),
                        settings.workerTimings().leaseSeconds()
                                * 1000
                                * ZoneConstants.UNREACHABLE_ZONE_TIMEOUT_LEASES);
    }

    private boolean isBootOverdue(String host) {
        MachineTable.Machine machine = machines.get(host);
        MachineTypeCatalog.MachineType machineType =
                machine == null ? null : machineTypes.get(machine.machineType());
        return machineType != null
                && loop.wallClockMillis() - machine.provisionedAtEpochMillis()
                        > machineType.bootSeconds() * 1000 * WorkerConstants.BOOT_TIMEOUT_FACTOR
                                + WorkerConstants.BOOT_TIMEOUT_SLACK_MILLIS;
    }

    private boolean hasOverdueCancellation(ShardWorker worker) {
        double limitMillis =
                settings.workerTimings().cancelSeconds()
                        * 1000
                        * WorkerConstants.CANCEL_DECLARED_LOST_FRACTION;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            if (placement.job.isCancelled()
                    && loop.wallClockMillis() - placement.job.cancelledAtEpochMillis() > limitMillis
                    && !placement.isTerminated()) {
                return true;
            }
        }
        return false;
    }
}
