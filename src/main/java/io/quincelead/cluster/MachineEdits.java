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
 * Changes of machines that are part of one transaction. Keeps the transaction's machine records in
 * step with the changes asked for; each shared record is written once, under the precondition that
 * it is as the machine table has it.
 */
public final class MachineEdits {
    private final MachineTable machines;
    private final WatchCache watchCache;
    private final Transaction transaction;
    private final Map<String, Map<String, Machine>> machinesByEditedGroup = new HashMap<>();

    /** Records begun for unexpected machines, by what all machines of one record have in common. */
    private final Map<String, String> openGroupByAttributes = new HashMap<>();

    MachineEdits(MachineTable machines, WatchCache watchCache, Transaction transaction) {
        this.machines = machines;
        this.watchCache = watchCache;
        this.transaction = transaction;
    }

    /**
     * Adds a machine that runs but is on no record. Alike ones share a record: a whole cluster may
     * be found running at once.
     */
    public void addUnexpected(
            String host,
            String machineType,
            String zone,
            boolean spot,
            String address,
            long rentedAtEpochMillis) {
        String attributes = machineType + "/" + zone + "/" + spot;
        String groupId = openGroupByAttributes.get(attributes);
        if (groupId == null
                || machinesOf(groupId).size()
                        >= AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST) {
            groupId = "s-" + host;
            openGroupByAttributes.put(attributes, groupId);
        }
        put(
                new Machine(host, groupId, machineType, zone, spot, rentedAtEpochMillis)
                        .withAddress(address));
        // The record may be gone again when a duplicate of this transaction is applied: its
        // precondition of 0 would then hold, and bring back machines that are gone. This key's
        // revision prevents it.
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

    /** Takes the machine out of its group's record; the last one takes the record with it. */
    public void remove(Machine machine) {
        Map<String, Machine> groupMachines = machinesOf(machine.groupId());
        groupMachines.remove(machine.host());
        write(machine.storeKey(), groupMachines);
    }

    private Map<String, Machine> machinesOf(String groupId) {
        return machinesByEditedGroup.computeIfAbsent(groupId, machines::groupMachines);
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
