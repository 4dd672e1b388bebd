package io.quincelead.worker;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.store.StoreAccess;
import io.quincelead.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Declares workers lost by recording that their machines are to be released. */
final class LostWorkerRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(LostWorkerRecorder.class);

    private final StoreAccess store;
    private final ClusterMembership membership;
    private final MachineTable machines;

    LostWorkerRecorder(StoreAccess store, ClusterMembership membership, MachineTable machines) {
        this.store = store;
        this.membership = membership;
        this.machines = machines;
    }

    /**
     * Records in one transaction that machines are to be released, and removes them from this
     * controller's shard; the leader then releases them. Includes as many machines as fit into one
     * transaction; the next health check finds the others again. This controller must have a shard.
     *
     * @param lost the lost workers, each with the reason to be logged
     * @param isCurrent whether a worker still belongs to this controller's shard under the same
     *     fencing token
     */
    void declareLost(Map<ShardWorker, String> lost, Predicate<ShardWorker> isCurrent) {
        ClusterMembership.Shard shard = membership.localShard().copy();
        Transaction transaction =
                new Transaction()
                        .requireRevision(
                                shard.storeKey(), store.watchCache().modRevision(shard.storeKey()));
        MachineEdits edits = machines.beginEdits(transaction);
        List<ShardWorker> leaving = new ArrayList<>();
        for (Map.Entry<ShardWorker, String> candidate : lost.entrySet()) {
            ShardWorker worker = candidate.getKey();
            MachineTable.Machine machine = machines.get(worker.host);
            if (machine == null
                    || machine.releasing()
                    || !transaction.fits(2, 2, store.client().maxTransactionOperations())) {
                continue;
            }
            LOG.info("machine {} is declared lost: {}", worker.host, candidate.getValue());
            worker.transitionTo(ShardWorker.Phase.RELEASING);
            leaving.add(worker);
            shard.fencingTokensByHost().remove(worker.host);
            edits.put(machine.asReleasing());
        }
        if (leaving.isEmpty()) {
            return;
        }
        transaction.put(shard.storeKey(), shard.encode(), store.lease().leaseId());
        store.client()
                .commit(
                        transaction,
                        outcome -> {
                            if (outcome.result() == Transaction.Result.COMMITTED) {
                                store.watchCache()
                                        .applyCommitted(transaction, outcome.storeRevision());
                                return;
                            }
                            leaving.stream()
                                    .filter(isCurrent)
                                    .forEach(
                                            worker ->
                                                    worker.transitionTo(
                                                            ShardWorker.Phase.CLAIMING));
                        });
    }
}
