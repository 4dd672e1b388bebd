package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the free capacity of machines into a plan. */
final class CapacityReader {
    private record UsableMachine(String host, String owner, boolean inOwnShard) {}

    private final EventLoop loop;
    private final ClusterView cluster;
    private final MachineStatus machineStatus;

    /**
     * Machines on record that this controller may place on, by pool. Cached, since most cycles see
     * the same machines as the cycle before; read again when a record of machines or shards, or the
     * leadership, has changed.
     */
    private final Map<MachinePool.Key, List<UsableMachine>> usableMachines = new LinkedHashMap<>();

    private long seenMachinesVersion = -1;
    private long seenShardsVersion = -1;
    private boolean seenAsLeader;

    CapacityReader(EventLoop loop, ClusterView cluster, MachineStatus machineStatus) {
        this.loop = loop;
        this.cluster = cluster;
        this.machineStatus = machineStatus;
    }

    /**
     * Adds to the plan the machines that accept tasks now.
     *
     * @param urgent whether work waits for which it matters how soon a start can be sent to a
     *     worker
     */
    void collectFreeCapacity(SchedulingPlan plan, boolean urgent) {
        refreshUsableMachines(plan);
        for (Map.Entry<MachinePool.Key, List<UsableMachine>> entry : usableMachines.entrySet()) {
            MachinePool.Key key = entry.getKey();
            MachineTypeCatalog.MachineType machineType =
                    cluster.machineTypes().get(key.machineTypeName());
            if (machineType != null) {
                addMachines(
                        plan,
                        plan.pool(machineType, key.zone(), key.spot()),
                        entry.getValue(),
                        urgent);
            }
        }
        plan.pools.values().removeIf(pool -> pool.machines.isEmpty());
        for (MachinePool pool : plan.pools.values()) {
            pool.gpusInDemand =
                    cluster.constrainedDemand()
                            .isGpuInDemand(pool.machineType, pool.zone, pool.spot);
        }
    }

    private void addMachines(
            SchedulingPlan plan, MachinePool pool, List<UsableMachine> usable, boolean urgent) {
        JobTable jobs = cluster.jobs();
        for (UsableMachine candidate : usable) {
            String host = candidate.host;
            if (machineStatus.isAcceptingTasks(candidate.owner, host)) {
                FreeCapacity machine =
                        new FreeCapacity(host, pool, candidate.inOwnShard, jobs.loadOf(host));
                machine.startDelaySeconds = urgent ? machineStatus.startDelaySeconds(host) : 0;
                plan.addMachine(machine);
            }
        }
    }

    private void refreshUsableMachines(SchedulingPlan plan) {
        MachineTable machines = cluster.machines();
        if (seenMachinesVersion == machines.version()
                && seenShardsVersion == cluster.membership().shardVersion()
                && seenAsLeader == plan.leading) {
            return;
        }
        seenMachinesVersion = machines.version();
        seenShardsVersion = cluster.membership().shardVersion();
        seenAsLeader = plan.leading;
        usableMachines.clear();
        Map<String, Long> ownMachines = plan.shard.fencingTokensByHost();
        if (plan.leading) {
            for (MachineTable.Machine machine : machines.all()) {
                addIfUsable(machine, ownMachines.containsKey(machine.host()));
            }
        } else {
            for (String host : ownMachines.keySet()) {
                MachineTable.Machine machine = machines.get(host);
                if (machine != null) {
                    addIfUsable(machine, true);
                }
            }
        }
    }

    private void addIfUsable(MachineTable.Machine machine, boolean inOwnShard) {
        String owner = cluster.membership().ownerOf(machine.host());
        if (!machine.releasing() && !machine.cordoned() && owner != null) {
            usableMachines
                    .computeIfAbsent(
                            new MachinePool.Key(
                                    machine.machineType(), machine.zone(), machine.spot()),
                            k -> new ArrayList<>())
                    .add(new UsableMachine(machine.host(), owner, inOwnShard));
        }
    }

    /** Machines of all other shards by pool, as their records show them. */
    Map<MachinePool.Key, MachinePool> poolsOfOtherShards(ClusterMembership.Shard ownShard) {
        SchedulingPlan others = new SchedulingPlan(ownShard, false, 0, 0, 0);
        for (MachineTable.Machine machine : cluster.machines().all()) {
            MachineTypeCatalog.MachineType machineType =
                    cluster.machineTypes().get(machine.machineType());
            if (cluster.membership().ownerOf(machine.host()) != null
                    && !ownShard.fencingTokensByHost().containsKey(machine.host())
                    && machineType != null
                    && !machine.releasing()
                    && !machine.cordoned()
                    && isProbablyUp(machine, machineType)) {
                others.addMachine(
                        new FreeCapacity(
                                machine.host(),
                                others.pool(machineType, machine.zone(), machine.spot()),
                                false,
                                cluster.jobs().loadOf(machine.host())));
            }
        }
        return others.pools;
    }

    /**
     * Whether the machine has probably booted. Another controller's workers are known only from the
     * records: a machine whose use this process hasn't seen counts from the end of a usual boot on,
     * as after a restart nothing has been seen of any machine.
     */
    private boolean isProbablyUp(
            MachineTable.Machine machine, MachineTypeCatalog.MachineType machineType) {
        double ageSeconds = (loop.wallClockMillis() - machine.provisionedAtEpochMillis()) / 1000.0;
        return cluster.imageCaches().hasEstimate(machine.host())
                || ageSeconds
                        >= machineType.bootSeconds() * AutoscalerConstants.USUAL_BOOT_MAX_FACTOR;
    }
}
