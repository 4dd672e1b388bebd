package io.quincelead.cluster;

import io.quincelead.cluster.MachineTable.Machine;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.HashMap;
import java.util.Map;

/**
 * Changes of machines within one transaction. The transaction's machine records are updated with
 * each change; each shared record is written once, under the precondition that it is unchanged
 * since the machine table read it.
 */
public final class MachineEdits {
    private final MachineTable machines;
    private final WatchCache watchCache;
    private final Transaction transaction;
    private final Map<String, Map<String, Machine>> machinesByGroup = new HashMap<>();

    /**
     * Group ids of the records that are being filled with unexpected machines, by the attributes
     * that all machines of a record share.
     */
    private final Map<String, String> openGroupByAttributes = new HashMap<>();

    MachineEdits(MachineTable machines, WatchCache watchCache, Transaction transaction) {
        this.machines = machines;
        this.watchCache = watchCache;
        this.transaction = transaction;
    }

    /**
     * Adds a machine that is running but has no record. Unexpected machines of the same type, zone
     * and pricing share records, because a whole cluster may be discovered at once.
     */
    public void addUnexpected(
            String host,
            String machineType,
            String zone,
            boolean spot,
            String address,
            long provisionedAtEpochMillis) {
        String attributes = machineType + "/" + zone + "/" + spot;
        String groupId = openGroupByAttributes.get(attributes);
        if (groupId == null
                || machinesOf(groupId).size()
                        >= AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST) {
            groupId = "s-" + host;
            openGroupByAttributes.put(attributes, groupId);
        }
        put(
                new Machine(host, groupId, machineType, zone, spot, provisionedAtEpochMillis)
                        .withAddress(address));
        // If a duplicate of this transaction is applied after the record has been removed, the
        // record's precondition (revision 0) would hold, and the duplicate would restore machines
        // that no longer exist. The precondition on the registration key's revision prevents this.
        transaction
                .requireRevision(
                        StoreKeys.UNEXPECTED_MACHINE_REGISTRATION,
                        watchCache.modRevision(StoreKeys.UNEXPECTED_MACHINE_REGISTRATION))
                .put(StoreKeys.UNEXPECTED_MACHINE_REGISTRATION, WireFormat.newMap());
    }

    /** Adds the machine to its group's record, or replaces it there. */
    public void put(Machine machine) {
        Map<String, Machine> groupMachines = machinesOf(machine.groupId());
        groupMachines.put(machine.host(), machine);
        write(machine.storeKey(), groupMachines);
    }

    /** Removes the machine from its group's record, and the record if no machine remains. */
    public void remove(Machine machine) {
        Map<String, Machine> groupMachines = machinesOf(machine.groupId());
        groupMachines.remove(machine.host());
        write(machine.storeKey(), groupMachines);
    }

    private Map<String, Machine> machinesOf(String groupId) {
        return machinesByGroup.computeIfAbsent(groupId, machines::groupMachines);
    }

    private void write(String key, Map<String, Machine> groupMachines) {
        transaction.requireRevision(key, watchCache.modRevision(key));
        if (groupMachines.isEmpty()) {
            transaction.remove(key);
            return;
        }
        transaction.put(
                key,
                MachineRecordCodec.encode(groupMachines.values(), machines::largeImagesToRecord));
    }
}
