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
 * Decides which controller owns a machine that has no owner, or whose owner its worker can't reach,
 * and registers unexpected machines. Owns the list of misrouted workers, which is advice.
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
     * {@code provisioningPending}: whether machines of some provisioning request may not all be on
     * record yet.
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
     * Notes a misrouted worker for the next {@link #assign}; one too many is dropped: it will send
     * another heartbeat.
     *
     * @return whether its machine is on record and waits for an owner
     */
    boolean addMisroutedWorker(MisroutedWorker worker) {
        if (misroutedWorkers.size() >= ApiConstants.MAX_OPEN_JOBS) {
            return false;
        }
        misroutedWorkers.put(worker.host(), worker);
        return membership.ownerOf(worker.host()) == null && machines.get(worker.host()) != null;
    }

    /** Forgets all misrouted workers: the next leader will be notified of them again. */
    void clearMisroutedWorkers() {
        misroutedWorkers.clear();
    }

    /**
     * Whether an unexpected machine may be registered: not while it could be one of a provisioning
     * request that isn't settled, or that a predecessor settled and the watch has not brought yet,
     * for a machine must never be on two records.
     */
    boolean mayRegisterUnexpectedMachines() {
        return !provisioningPending.getAsBoolean()
                && watchCache.storeRevision() >= watchCache.modRevision(StoreKeys.LEADER);
    }

    /** Whether heartbeats of machines that are on no record arrive here. */
    boolean hasUnregisteredMachines() {
        return misroutedWorkers.keySet().stream().anyMatch(host -> machines.get(host) == null);
    }

    /**
     * Assigns machines without an owner, moves those whose worker can't reach its owner, and adds
     * unexpected machines to the transaction.
     *
     * @return whether every misrouted worker was looked at; false: the transaction is full
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
        // A machine assigned just while its release was recorded: it would never be released.
        update.revokeIf(host -> machines.get(host) != null && machines.get(host).releasing());
        for (MachineTable.Machine machine : machines.all()) {
            // Also while it boots: the response to its first heartbeat then names its owner.
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
     * Moves a machine to the member that gets its worker's heartbeats, unless its owner changed
     * since: a worker that was redirected just before its machine was assigned finds its owner by
     * itself, and a notice about an earlier fencing token is out of date.
     */
    private void moveToReachableMember(ShardUpdate update, MisroutedWorker worker, String owner) {
        String host = worker.host();
        if (worker.ownedElsewhere()
                && !owner.equals(worker.reportsTo())
                && update.isLiveMember(worker.reportsTo())
                && worker.fencingToken()
                        == membership.shardOf(owner).fencingTokensByHost().get(host)) {
            LOG.info(
                    "machine {} reports to {} instead of its owner {}; it moves",
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
     * The machine is assigned by a later cycle, once on record; until then it goes on sending
     * heartbeats.
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
