package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;

/** The capacity of machines and shards, in CPUs. */
final class ShardCapacity {
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;

    ShardCapacity(MachineTable machines, MachineTypeCatalog catalog) {
        this.machines = machines;
        this.catalog = catalog;
    }

    /** CPUs of a machine; 1 if the machine or its type is not on record. */
    double machineCpus(String host) {
        MachineTable.Machine machine = machines.get(host);
        MachineTypeCatalog.MachineType machineType =
                machine == null ? null : catalog.get(machine.machineType());
        return machineType == null ? 1 : machineType.cpus();
    }

    /** CPUs of all machines of a shard. */
    double shardCpus(ClusterMembership.Shard shard) {
        return shard.fencingTokensByHost().keySet().stream().mapToDouble(this::machineCpus).sum();
    }
}
