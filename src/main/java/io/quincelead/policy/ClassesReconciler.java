package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides the changes to the priority classes' records: which generation is in force and which are
 * removed. Methods that return a transaction return null when there is nothing to change.
 */
final class ClassesReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(ClassesReconciler.class);

    private final String memberId;
    private final WatchCache watchCache;
    private final PolicyRecords records;
    private final PolicyReconciler.Leadership leadership;

    ClassesReconciler(
            String memberId,
            WatchCache watchCache,
            PolicyRecords records,
            PolicyReconciler.Leadership leadership) {
        this.memberId = memberId;
        this.watchCache = watchCache;
        this.records = records;
        this.leadership = leadership;
    }

    /**
     * Records that this controller can't read the active generation, or removes that record. Every
     * controller does this for itself.
     */
    Transaction unreadableReportChange() {
        Long reported = records.unreadableGenerationByMember().get(memberId);
        long unreadable = records.unreadableGeneration();
        String key = StoreKeys.CLASSES_UNREADABLE_PREFIX + memberId;
        if (unreadable != 0 && (reported == null || reported != unreadable)) {
            return new Transaction()
                    .requireRevision(key, watchCache.modRevision(key))
                    .put(key, PriorityClassesCodec.encodeUnreadable(unreadable));
        }
        return unreadable == 0 && reported != null
                ? new Transaction().requireRevision(key, watchCache.modRevision(key)).remove(key)
                : null;
    }

    /** The leader's next change: a generation reverted, put in force or removed. */
    Transaction nextChange() {
        ClassesHead head = records.classesHead();
        Transaction change = revertUnreadable(head);
        if (change == null) {
            change = decideProposal(head);
        }
        return change != null ? change : removeOldGeneration(head);
    }

    private Transaction revertUnreadable(ClassesHead head) {
        if (head.activeGeneration() == 0) {
            return null;
        }
        for (Map.Entry<String, Long> report : records.unreadableGenerationByMember().entrySet()) {
            if (report.getValue() == head.activeGeneration()
                    && leadership.activeMemberIds().contains(report.getKey())) {
                LOG.error(
                        "generation {} of the priority classes can't be read by {}: generation {}"
                                + " is in force again",
                        head.activeGeneration(),
                        report.getKey(),
                        head.previousGeneration());
                return headChange(head.revertToPrevious(report.getKey() + " can't read it"));
            }
        }
        return null;
    }

    private Transaction decideProposal(ClassesHead head) {
        if (head.proposedGeneration() == 0) {
            return null;
        }
        try {
            records.loadGeneration(head.proposedGeneration());
            return headChange(head.activateProposed());
        } catch (InvalidRecordException e) {
            LOG.error(
                    "the proposed priority classes can't be read ({}); generation {}"
                            + " stays in force",
                    e.getMessage(),
                    head.activeGeneration());
            return headChange(head.rejectProposed(e.getMessage()));
        }
    }

    private Transaction removeOldGeneration(ClassesHead head) {
        long newestRemovable = head.highestGeneration() - PolicyConstants.CLASSES_GENERATIONS_KEPT;
        for (long generation : records.recordedGenerations()) {
            if (generation != head.activeGeneration()
                    && generation != head.previousGeneration()
                    && generation <= newestRemovable) {
                Transaction txn = newHeadTransaction();
                records.partKeys(generation).forEach(txn::remove);
                return txn;
            }
        }
        return null;
    }

    private Transaction headChange(ClassesHead head) {
        return newHeadTransaction()
                .put(StoreKeys.CLASSES_HEAD, PriorityClassesCodec.encodeHead(head));
    }

    private Transaction newHeadTransaction() {
        return leadership
                .newTransaction()
                .requireRevision(
                        StoreKeys.CLASSES_HEAD, watchCache.modRevision(StoreKeys.CLASSES_HEAD));
    }
}
