package io.quincelead.zone;

import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.ZoneConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Zone recovery by the leader: records zones' states, restores the zone spread of services by moves
 * at a configured rate once a returning zone has settled, and records which large images machines
 * have cached. Changes are committed one at a time. Each has the preconditions that this controller
 * still leads and that the records on which the change was decided are unchanged.
 */
public final class ZoneRecoveryController {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneRecoveryController.class);

    private final EventLoop eventLoop;
    private final OperatorSettings.ZoneRecovery settings;
    private final ZoneView view;
    private final Leader leader;
    private final StoreClient store;
    private final ZoneObserver observer;
    private final ZoneHealthEvaluator healthEvaluator;
    private final ServiceRebalancer rebalancer;
    private boolean isCommitInFlight;
    private long movedAtMillis;
    private long imagesRecordedAtMillis;

    /**
     * Schedules the recovery passes; they do nothing while this controller isn't the leader.
     *
     * @param silenceThresholdMillis a machine that is silent for longer is dead, hung or cut off
     */
    public ZoneRecoveryController(
            EventLoop eventLoop,
            OperatorSettings.ZoneRecovery settings,
            double silenceThresholdMillis,
            ZoneView view,
            Leader leader,
            StoreClient store) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.view = view;
        this.leader = leader;
        this.store = store;
        this.observer = new ZoneObserver(view);
        this.healthEvaluator =
                new ZoneHealthEvaluator(silenceThresholdMillis, settings.settleSeconds() * 1000);
        this.rebalancer = new ServiceRebalancer(eventLoop, settings, view);
        eventLoop.runEvery(ZoneConstants.EVALUATION_INTERVAL_MILLIS, this::runRecoveryPass);
    }

    /**
     * The replicas that would move to a zone if it had free capacity, by zone, as many as would
     * move within a minute: machines are provisioned for them. Never null.
     */
    public Map<String, List<JobSpec>> rebalanceDemand() {
        return rebalancer.rebalanceDemand();
    }

    private void runRecoveryPass() {
        if (isCommitInFlight
                || !leader.isLeading()
                || !view.watchCache().isSynced()
                || !leader.trySettleWrites()
                || !store.canAffordUrgentWrite()) {
            return;
        }
        Transaction transaction = proposeStateChange();
        if (transaction == null) {
            transaction = proposeMove();
        }
        if (transaction == null) {
            transaction = proposeImageRecord();
        }
        if (transaction != null) {
            commit(transaction);
        }
    }

    private void commit(Transaction transaction) {
        isCommitInFlight = true;
        store.commit(
                transaction,
                outcome -> {
                    isCommitInFlight = false;
                    leader.onOutcome(transaction, outcome);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        view.watchCache().applyCommitted(transaction, outcome.storeRevision());
                    }
                });
    }

    /** Adds the precondition that the record on which the change was decided is unchanged. */
    private Transaction requireUnchanged(Transaction transaction, String storeKey) {
        return transaction.requireRevision(storeKey, view.watchCache().modRevision(storeKey));
    }

    /**
     * A transaction that records the next state of the first zone whose state changes; null if none
     * does.
     */
    private Transaction proposeStateChange() {
        for (Map.Entry<String, ZoneObservation> entry : observer.observe().entrySet()) {
            ZoneTable.Zone current = view.zones().get(entry.getKey());
            ZoneTable.Zone next =
                    healthEvaluator.evaluate(
                            current, entry.getValue(), eventLoop.wallClockMillis());
            if (Objects.equals(next, current)) {
                continue;
            }
            LOG.info(
                    "zone {} {} -> {}: {}",
                    current.name(),
                    current.state(),
                    next == null ? ZoneTable.State.UP : next.state(),
                    next == null ? "heard" : next.reason());
            String storeKey = ZoneTable.storeKey(current.name());
            Transaction transaction = requireUnchanged(leader.newTransaction(), storeKey);
            return next == null
                    ? transaction.remove(storeKey)
                    : transaction.put(storeKey, next.encode());
        }
        return null;
    }

    /**
     * A transaction that requests the stop of one replica, which then starts in the zone with the
     * fewest replicas; null if no move is due. At most one replica of a service is unavailable at a
     * time, and only if there is free capacity for it in the zone that it moves to.
     */
    private Transaction proposeMove() {
        if (eventLoop.nowMillis() - movedAtMillis
                < 60_000 / Math.max(settings.movesPerMinute(), 0.01)) {
            return null;
        }
        for (ServiceRebalancer.ReplicaMove move : rebalancer.findMoves()) {
            if (rebalancer.hasFreeCapacity(move.job(), move.toZone())) {
                int taskIndex = move.replica().taskIndex;
                TaskStatePage page =
                        move.job().pageOrEmpty(taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
                TaskStatePageEdit edit = page.edit();
                edit.requestStop(taskIndex);
                movedAtMillis = eventLoop.nowMillis();
                LOG.info(
                        "replica {} moves from {} to {}",
                        move.replica().taskId(),
                        move.fromZone(),
                        move.toZone());
                Transaction transaction =
                        requireUnchanged(leader.newTransaction(), move.job().storeKey());
                return requireUnchanged(transaction, page.storeKey())
                        .put(page.storeKey(), edit.encode());
            }
        }
        return null;
    }

    /**
     * A transaction that records which large images the machines of one record have cached; null if
     * nothing has changed, if it isn't due yet, or if there is backpressure on store writes.
     */
    private Transaction proposeImageRecord() {
        if (eventLoop.nowMillis() - imagesRecordedAtMillis
                        < ZoneConstants.IMAGE_RECORD_INTERVAL_MILLIS
                || store.backpressure() > 0) {
            return null;
        }
        imagesRecordedAtMillis = eventLoop.nowMillis();
        for (MachineTable.Machine machine : view.cluster().machines().all()) {
            if (!machine.releasing()
                    && !view.cluster()
                            .imageCaches()
                            .largeImages(machine.host(), settings.largeImageGb())
                            .equals(
                                    view.cluster()
                                            .machines()
                                            .recordedLargeImages(machine.host()))) {
                Transaction transaction = leader.newTransaction();
                view.cluster().machines().beginEdits(transaction).put(machine);
                return transaction;
            }
        }
        return null;
    }
}
