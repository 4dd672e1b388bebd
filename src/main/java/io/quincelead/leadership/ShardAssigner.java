package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.LeadershipConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.worker.MisroutedWorker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which controller owns a machine that has no owner or whose worker can't reach its owner,
 * and registers unexpected machines. Owns the list of misrouted workers, which is only advisory.
 */
final class ShardAssigner {
    private static final Logger LOG = LoggerFactory.getLogger(ShardAssigner.class);

    private final EventLoop eventLoop;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership membership;
    private final MachineTable machines;
    private final ShardCapacity capacity;
    private final BooleanSupplier provisioningPending;
    private final Map<String, MisroutedWorker> misroutedWorkers = new LinkedHashMap<>();
    private long registeredAtMillis;

    /**
     * Starts without misrouted workers.
     *
     * @param provisioningPending whether some provisioning request may have machines that are not
     *     on record yet
     */
    ShardAssigner(
            EventLoop eventLoop,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership membership,
            MachineTable machines,
            ShardCapacity capacity,
            BooleanSupplier provisioningPending) {
        this.eventLoop = eventLoop;
        this.watchCache = watchCache;
        this.store = store;
        this.membership = membership;
        this.machines = machines;
        this.capacity = capacity;
        this.provisioningPending = provisioningPending;
    }

    /**
     * Keeps a misrouted worker for the next {@link #assign}. When the list is full, the worker is
     * dropped: its next heartbeat reports it again.
     *
     * @return whether the worker was kept and its machine is on record without an owner
     */
    boolean addMisroutedWorker(MisroutedWorker worker) {
        if (misroutedWorkers.size() >= ApiConstants.MAX_OPEN_JOBS) {
            return false;
        }
        misroutedWorkers.put(worker.host(), worker);
        return membership.ownerOf(worker.host()) == null && machines.get(worker.host()) != null;
    }

    /** Drops all misrouted workers: the next leader will be notified of them again. */
    void clearMisroutedWorkers() {
        misroutedWorkers.clear();
    }

    /**
     * Whether an unexpected machine may be registered. It may not while it could belong to a
     * provisioning request that is not settled, or that an earlier leader settled in a write which
     * the watch has not delivered yet: a machine must never be on two records.
     */
    boolean mayRegisterUnexpectedMachines() {
        return !provisioningPending.getAsBoolean()
                && watchCache.storeRevision() >= watchCache.modRevision(StoreKeys.LEADER);
    }

    /** Whether some misrouted worker's machine is on no record. */
    boolean hasUnexpectedMachines() {
        return misroutedWorkers.keySet().stream().anyMatch(host -> machines.get(host) == null);
    }

    /**
     * Assigns machines without an owner, moves those whose worker can't reach its owner, and adds
     * the registration of unexpected machines to the transaction.
     *
     * @return whether every misrouted worker was considered; false if the transaction is full
     */
    boolean assign(ShardUpdate update, Transaction transaction) {
        assignUnownedMachines(update);
        MachineEdits edits = machines.beginEdits(transaction);
        boolean mayRegister =
                mayRegisterUnexpectedMachines()
                        && eventLoop.nowMillis() - registeredAtMillis
                                >= LeadershipConstants.UNEXPECTED_MACHINE_BATCH_MILLIS;
        for (MisroutedWorker worker : new ArrayList<>(misroutedWorkers.values())) {
            int writes = 2 + update.memberIds().size() + 1;
            if (!transaction.fits(writes, 5, store.maxTransactionOperations())) {
                return false;
            }
            String owner = membership.ownerOf(worker.host());
            boolean isRegistered = machines.get(worker.host()) != null;
            if (owner == null && !isRegistered && !mayRegister) {
                continue;
            }
            misroutedWorkers.remove(worker.host());
            if (owner != null) {
                moveToReachableMember(update, worker, owner);
            } else if (!isRegistered && !update.isAssigned(worker.host())) {
                register(edits, worker);
            }
        }
        return true;
    }

    private void assignUnownedMachines(ShardUpdate update) {
        Map<String, Double> cpusByMember = new HashMap<>();
        update.shards()
                .forEach(shard -> cpusByMember.put(shard.ownerId(), capacity.shardCpus(shard)));
        // A machine may have been assigned while its release was being recorded; unless revoked, it
        // would never be released.
        update.revokeIf(host -> machines.get(host) != null && machines.get(host).releasing());
        for (MachineTable.Machine machine : machines.all()) {
            // Also while the machine boots, so that the response to its first heartbeat names its
            // owner.
            if (!machine.releasing() && membership.ownerOf(machine.host()) == null) {
                MisroutedWorker worker = misroutedWorkers.remove(machine.host());
                String newOwner =
                        worker != null && update.isLiveMember(worker.reportsTo())
                                ? worker.reportsTo()
                                : update.memberIds().stream()
                                        .min(Comparator.comparingDouble(cpusByMember::get))
                                        .orElseThrow();
                update.assign(machine.host(), newOwner);
                cpusByMember.merge(newOwner, capacity.machineCpus(machine.host()), Double::sum);
            }
        }
    }

    /**
     * Moves a machine to the member that receives its worker's heartbeats, unless the machine's
     * owner has changed since the report: a worker that was redirected just before its machine was
     * assigned finds its owner by itself, and a report under an earlier fencing token is stale.
     */
    private void moveToReachableMember(ShardUpdate update, MisroutedWorker worker, String owner) {
        String host = worker.host();
        if (worker.ownedElsewhere()
                && !owner.equals(worker.reportsTo())
                && update.isLiveMember(worker.reportsTo())
                && worker.fencingToken()
                        == membership.shardOf(owner).fencingTokensByHost().get(host)) {
            LOG.info(
                    "machine {} reports to {} instead of its owner {}; moving it",
                    host,
                    worker.reportsTo(),
                    owner);
            if (update.isLiveMember(owner)) {
                update.revoke(host, owner);
            }
            update.assign(host, worker.reportsTo());
        }
    }

    /**
     * Adds the machine's registration to the edits. A later cycle assigns the machine once it is on
     * record; its worker keeps sending heartbeats until then.
     */
    private void register(MachineEdits edits, MisroutedWorker worker) {
        registeredAtMillis = eventLoop.nowMillis();
        edits.addUnexpected(
                worker.host(),
                worker.machineType(),
                worker.zone(),
                worker.spot(),
                worker.address(),
                eventLoop.wallClockMillis());
    }
}
