package io.quincelead.policy;

import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.Collection;

/**
 * The leader's control loop over operators' records: puts proposed classes in force, reverts a
 * generation that a controller can't read, and maintains the calendar's occurrences and ledger.
 * Every change has the leader's key and the revisions it was decided from as preconditions, and one
 * change is made at a time, so a new leader continues where the last one stopped. A controller that
 * can't read the classes in force records that, whether it is the leader or not.
 */
public final class PolicyReconciler {
    /** This controller's view of the leadership. */
    public interface Leadership {
        /** Whether this controller is the leader. */
        boolean isLeader();

        /** A new transaction that is committed only while this controller is the leader. */
        Transaction newTransaction();

        /** The leader's fencing token; 0: there is no leader. */
        long fencingToken();

        /** Member ids of the controllers that are in the membership now. */
        Collection<String> activeMemberIds();
    }

    private final WatchCache watchCache;
    private final StoreClient store;
    private final Leadership leadership;
    private final ClassesReconciler classes;
    private final CalendarReconciler calendar;
    private final LedgerSweeper ledgerSweeper;
    private boolean requestInFlight;

    /**
     * Starts reconciling at a fixed interval.
     *
     * @param memberId this controller's member id
     */
    public PolicyReconciler(
            EventLoop loop,
            String memberId,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            Policy policy,
            Leadership leadership) {
        this.watchCache = watchCache;
        this.store = store;
        this.leadership = leadership;
        PolicyRecords records = policy.records();
        classes = new ClassesReconciler(memberId, watchCache, records, leadership);
        calendar =
                new CalendarReconciler(
                        loop,
                        watchCache,
                        records,
                        leadership,
                        new CoveredJobCounter(loop, store, jobs, records));
        ledgerSweeper = new LedgerSweeper(loop, store, records, leadership);
        loop.runEvery(PolicyConstants.RECONCILE_INTERVAL_MILLIS, this::reconcile);
    }

    private void reconcile() {
        if (requestInFlight || !watchCache.isSynced() || !store.canAffordUrgentWrite()) {
            return;
        }
        Transaction txn = classes.unreadableReportChange();
        if (txn == null && leadership.isLeader()) {
            txn = classes.nextChange();
            txn = txn != null ? txn : calendar.nextChange();
            if (txn == null && ledgerSweeper.isDue()) {
                sweepLedger();
            }
        }
        if (txn != null) {
            commit(txn);
        }
        if (!leadership.isLeader()) {
            calendar.forgetLeaderState();
        }
    }

    private void commit(Transaction txn) {
        requestInFlight = true;
        store.commit(
                txn,
                outcome -> {
                    requestInFlight = false;
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(txn, outcome.storeRevision());
                    } else if (outcome.result() == Transaction.Result.CONFLICT) {
                        calendar.onConflict(outcome.failedKeys());
                    }
                    // Otherwise the change is decided again from what the watch delivers; if this
                    // transaction was committed after all, the next one fails its preconditions.
                });
    }

    private void sweepLedger() {
        requestInFlight = true;
        ledgerSweeper.findExpired(
                removal -> {
                    requestInFlight = false;
                    if (removal != null && !removal.isEmpty() && leadership.isLeader()) {
                        commit(removal);
                    }
                });
    }
}
