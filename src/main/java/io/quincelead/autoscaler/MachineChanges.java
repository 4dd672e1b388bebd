package io.quincelead.autoscaler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.store.Transaction;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects changes of machines for one transaction: several machines of one shard or one record may
 * change together.
 */
final class MachineChanges {
    private static final Logger LOG = LoggerFactory.getLogger(MachineChanges.class);

    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final Transaction transaction;
    private final MachineEdits edits;
    private final Map<String, ClusterMembership.Shard> shrunkShardsByOwner = new HashMap<>();

    MachineChanges(ClusterView cluster, LeaderStore leaderStore) {
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.transaction = leaderStore.newTransaction();
        this.edits = cluster.machines().beginEdits(transaction);
    }

    /** The transaction with all changes so far. */
    Transaction transaction() {
        return transaction;
    }

    /** Whether this many more operations and preconditions fit into the transaction. */
    boolean fits(int moreOperations, int morePreconditions) {
        return leaderStore.fits(transaction, moreOperations, morePreconditions);
    }

    /**
     * Adds the marking of a machine for release: the transaction marks it on record and takes it
     * out of its shard, so no more tasks are placed there.
     *
     * @param reason for the log
     * @return false when it does not fit the transaction, or its owner's membership isn't known
     */
    boolean tryMarkForRelease(MachineTable.Machine machine, String reason) {
        if (!fits(2, 2)) {
            return false;
        }
        ClusterMembership membership = cluster.membership();
        String ownerId = membership.ownerOf(machine.host());
        if (ownerId != null) {
            if (membership.member(ownerId) == null) {
                return false;
            }
            ClusterMembership.Shard shard =
                    shrunkShardsByOwner.computeIfAbsent(
                            ownerId, owner -> membership.shardOf(owner).copy());
            shard.fencingTokensByHost().remove(machine.host());
            leaderStore
                    .requireUnchanged(transaction, shard.storeKey())
                    .put(shard.storeKey(), shard.encode(), membership.member(ownerId).leaseId());
        }
        LOG.info(
                "machine {} ({}, {}{}) is marked for release: {}",
                machine.host(),
                machine.machineType(),
                machine.zone(),
                machine.spot() ? ", spot" : "",
                reason);
        edits.put(machine.asReleasing());
        return true;
    }

    /** Cordons a machine, so that no task is placed there any more, or lifts its cordon. */
    void setCordoned(MachineTable.Machine machine, boolean cordoned) {
        edits.put(machine.withCordoned(cordoned));
    }

    /** Registers a machine that the cloud lists and that is on no record. */
    void register(InstancePage.Instance instance, long provisionedAtEpochMillis) {
        edits.addUnexpected(
                instance.host(),
                instance.machineType(),
                instance.zone(),
                instance.spot(),
                instance.address(),
                provisionedAtEpochMillis);
    }

    /** Records where a machine's worker listens. */
    void recordAddress(MachineTable.Machine machine, String address) {
        edits.put(machine.withAddress(address));
    }

    /** Removes a released machine from the record. */
    void remove(MachineTable.Machine machine) {
        edits.remove(machine);
    }
}
