package io.quincelead.policy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides the leader's changes to the calendar's records: plans occurrences, opens them, gives
 * their verdicts and closes them, which moves them to the ledger. Methods that return a transaction
 * return null when there is nothing to change.
 */
final class CalendarReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CalendarReconciler.class);
    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;
    private static final List<String> NONE_COUNTED = List.of();

    private final EventLoop loop;
    private final WatchCache watchCache;
    private final PolicyRecords records;
    private final PolicyReconciler.Leadership leadership;
    private final CoveredJobCounter counter;
    private final Map<String, Long> countsWrittenAtMillis = new HashMap<>();

    /**
     * Ledger keys on which a transaction failed because they exist; their occurrences aren't
     * planned again.
     */
    private final Set<String> knownLedgerKeys = new HashSet<>();

    private long plannedAtMillis = LONG_AGO_MILLIS;
    private long plannedPriorityVersion = -1;

    CalendarReconciler(
            EventLoop loop,
            WatchCache watchCache,
            PolicyRecords records,
            PolicyReconciler.Leadership leadership,
            CoveredJobCounter counter) {
        this.loop = loop;
        this.watchCache = watchCache;
        this.records = records;
        this.leadership = leadership;
        this.counter = counter;
    }

    /** The next change that the leader should make. */
    Transaction nextChange() {
        counter.dropUnreferencedCompletions();
        for (ScheduledOccurrence occurrence : records.occurrences().values()) {
            Transaction txn = advance(occurrence);
            if (txn != null) {
                return txn;
            }
        }
        Transaction planned = planNextOccurrence();
        return planned != null ? planned : removeUnreferencedCompletion();
    }

    /** Clears the state that only a leader keeps. */
    void forgetLeaderState() {
        counter.forgetCompletions();
        countsWrittenAtMillis.clear();
    }

    /** Records the keys whose preconditions failed a transaction of this reconciler. */
    void onConflict(Collection<String> failedKeys) {
        failedKeys.stream()
                .filter(key -> key.startsWith(StoreKeys.LEDGER_PREFIX))
                .forEach(knownLedgerKeys::add);
    }

    /** Number of ledger keys that are known to exist. */
    int knownLedgerKeyCount() {
        return knownLedgerKeys.size();
    }

    // ---- planning

    private Transaction planNextOccurrence() {
        boolean due =
                loop.nowMillis() - plannedAtMillis
                        >= PolicyConstants.OCCURRENCE_PLANNING_INTERVAL_MILLIS;
        if (!due && plannedPriorityVersion == records.priorityVersion()) {
            return null;
        }
        Set<String> plannedLedgerKeys = new HashSet<>();
        for (CalendarEntry entry : records.entries().values()) {
            Transaction txn = planNextOccurrence(entry, plannedLedgerKeys);
            if (txn != null) {
                return txn;
            }
        }
        forgetUnneeded(plannedLedgerKeys);
        // All occurrences are planned: a thousand entries need not be checked on each pass.
        plannedAtMillis = loop.nowMillis();
        plannedPriorityVersion = records.priorityVersion();
        return null;
    }

    /** Drops what no later planning needs, so that the records bound both collections. */
    private void forgetUnneeded(Set<String> plannedLedgerKeys) {
        knownLedgerKeys.retainAll(plannedLedgerKeys);
        Set<String> liveKeys = new HashSet<>();
        records.occurrences().values().forEach(live -> liveKeys.add(live.storeKey()));
        countsWrittenAtMillis.keySet().retainAll(liveKeys);
    }

    /**
     * Records the entry's next occurrence after the last closed one.
     *
     * @param plannedLedgerKeys receives the ledger keys of all publications that are checked
     */
    private Transaction planNextOccurrence(CalendarEntry entry, Set<String> plannedLedgerKeys) {
        long nowMillis = loop.wallClockMillis();
        long closedThroughMillis = records.historyOf(entry.name()).closedThroughMillis();
        long fromMillis =
                Math.max(
                        Math.max(closedThroughMillis, entry.effectiveFromMillis()),
                        nowMillis - PolicyConstants.LOOK_BACK_MILLIS);
        long leadMillis = (long) (entry.leadSeconds() * 1000);
        long toMillis = nowMillis + leadMillis + PolicyConstants.PLAN_AHEAD_MILLIS;
        for (CalendarEntry.Publication publication :
                entry.publicationsBetween(fromMillis, toMillis)) {
            ScheduledOccurrence occurrence = ScheduledOccurrence.planned(entry, publication);
            plannedLedgerKeys.add(occurrence.ledgerKey());
            if (!records.occurrences().containsKey(occurrence.key())
                    && !knownLedgerKeys.contains(occurrence.ledgerKey())) {
                occurrence.addLeaderToken(leadership.fencingToken());
                String entryKey = StoreKeys.CALENDAR_ENTRY_PREFIX + entry.name();
                return leadership
                        .newTransaction()
                        .requireRevision(occurrence.storeKey(), 0)
                        .requireRevision(occurrence.ledgerKey(), 0)
                        .requireRevision(entryKey, watchCache.modRevision(entryKey))
                        .put(occurrence.storeKey(), OccurrenceCodec.encode(occurrence));
            }
        }
        return null;
    }

    // ---- state transitions of occurrences

    private Transaction advance(ScheduledOccurrence current) {
        ScheduledOccurrence occurrence = current.copy();
        LocalDate date = LocalDate.parse(occurrence.date);
        if (occurrence.isBeforeVerdict()) {
            Transaction change = applyEntryChange(occurrence, date);
            if (change != null) {
                return change;
            }
        }
        return switch (occurrence.state()) {
            case PLANNED -> openWhenDue(occurrence);
            case OPEN -> giveVerdictWhenDue(occurrence);
            case PUBLISHED, MISSED -> closeWhenDue(occurrence);
            case SKIPPED -> close(occurrence, NONE_COUNTED);
            case CLOSED -> null;
        };
    }

    /** Reschedules or skips an occurrence, before its verdict, after a change of its entry. */
    private Transaction applyEntryChange(ScheduledOccurrence occurrence, LocalDate date) {
        CalendarEntry entry = records.entries().get(occurrence.entryName);
        if (entry == null || entry.skippedDates().contains(date) || !entry.isScheduledOn(date)) {
            occurrence.transitionTo(ScheduledOccurrence.State.SKIPPED);
            return write(occurrence, true, NONE_COUNTED);
        }
        if (entry.publicationMillis(date) != occurrence.publicationMillis()) {
            occurrence.reschedule(entry, date);
            return write(occurrence, true, NONE_COUNTED);
        }
        return null;
    }

    private Transaction openWhenDue(ScheduledOccurrence occurrence) {
        if (loop.wallClockMillis() < occurrence.opensAtMillis()) {
            return null;
        }
        List<String> countedCompletions = new ArrayList<>();
        counter.updateCounts(occurrence, countedCompletions);
        occurrence.transitionTo(ScheduledOccurrence.State.OPEN);
        return write(occurrence, true, countedCompletions);
    }

    private Transaction giveVerdictWhenDue(ScheduledOccurrence occurrence) {
        List<String> countedCompletions = new ArrayList<>();
        boolean changed = counter.updateCounts(occurrence, countedCompletions);
        long nowMillis = loop.wallClockMillis();
        long verdictDueMillis =
                occurrence.publicationMillis() + PolicyConstants.VERDICT_DELAY_MILLIS;
        boolean verdictDue = nowMillis >= verdictDueMillis;
        boolean graceElapsed =
                nowMillis >= Math.max(occurrence.graceEndsAtMillis(), verdictDueMillis);
        boolean allCompleted = occurrence.openJobIds().isEmpty();
        if (verdictDue && (allCompleted || graceElapsed)) {
            boolean inTime =
                    allCompleted
                            && occurrence.counts().lastDoneMillis()
                                    <= occurrence.graceEndsAtMillis();
            occurrence.transitionTo(
                    inTime
                            ? ScheduledOccurrence.State.PUBLISHED
                            : ScheduledOccurrence.State.MISSED);
            LOG.info(
                    "{} of {} is {}: {} covered jobs, {} done, {} open",
                    occurrence.entryName,
                    occurrence.date,
                    inTime ? "published" : "missed",
                    occurrence.counts().jobs(),
                    occurrence.counts().done(),
                    occurrence.openJobIds().size());
            return write(occurrence, true, countedCompletions);
        }
        return writeCountsWhenDue(occurrence, changed, countedCompletions);
    }

    private Transaction closeWhenDue(ScheduledOccurrence occurrence) {
        List<String> countedCompletions = new ArrayList<>();
        boolean changed = counter.updateCounts(occurrence, countedCompletions);
        if (occurrence.openJobIds().isEmpty()
                || loop.wallClockMillis()
                        >= occurrence.publicationMillis()
                                + PolicyConstants.OCCURRENCE_CLOSE_DELAY_MILLIS) {
            return close(occurrence, countedCompletions);
        }
        return writeCountsWhenDue(occurrence, changed, countedCompletions);
    }

    /** Writes an occurrence of which only counts have changed, at most once in an interval. */
    private Transaction writeCountsWhenDue(
            ScheduledOccurrence occurrence, boolean changed, List<String> countedCompletions) {
        if (!changed) {
            return null;
        }
        long writtenAtMillis =
                countsWrittenAtMillis.getOrDefault(occurrence.storeKey(), LONG_AGO_MILLIS);
        if (loop.nowMillis() - writtenAtMillis < PolicyConstants.MIN_COUNT_RECORD_INTERVAL_MILLIS) {
            return null;
        }
        countsWrittenAtMillis.put(occurrence.storeKey(), loop.nowMillis());
        return write(occurrence, false, countedCompletions);
    }

    // ---- transactions

    /**
     * Writes an occurrence, with the precondition that its record hasn't changed since it was read.
     *
     * @param priorityChanged whether its state or time has changed, which advances the calendar's
     *     generation
     * @param countedCompletions ids of the jobs whose uncounted completions this write counts
     */
    private Transaction write(
            ScheduledOccurrence occurrence,
            boolean priorityChanged,
            List<String> countedCompletions) {
        occurrence.addLeaderToken(leadership.fencingToken());
        Transaction txn =
                newOccurrenceTransaction(occurrence)
                        .put(occurrence.storeKey(), OccurrenceCodec.encode(occurrence));
        if (priorityChanged) {
            advanceCalendarGeneration(txn);
        }
        return removeFromUncounted(txn, occurrence, countedCompletions);
    }

    /**
     * Closes an occurrence: in one transaction, its one final record is written to the ledger, its
     * live record is removed and its peak is added to the entry's history.
     */
    private Transaction close(ScheduledOccurrence occurrence, List<String> countedCompletions) {
        occurrence.addLeaderToken(leadership.fencingToken());
        String historyKey = StoreKeys.ENTRY_HISTORY_PREFIX + occurrence.entryName;
        boolean skipped = occurrence.state() == ScheduledOccurrence.State.SKIPPED;
        // The ledger keeps the verdict, so the final record is encoded before the last transition.
        ObjectNode finalRecord = OccurrenceCodec.encodeFinal(occurrence, loop.wallClockMillis());
        occurrence.transitionTo(ScheduledOccurrence.State.CLOSED);
        EntryHistory history =
                records.historyOf(occurrence.entryName).withClosed(occurrence, skipped);
        Transaction txn =
                newOccurrenceTransaction(occurrence)
                        .remove(occurrence.storeKey())
                        .requireRevision(occurrence.ledgerKey(), 0)
                        .put(occurrence.ledgerKey(), finalRecord)
                        .requireRevision(historyKey, watchCache.modRevision(historyKey))
                        .put(historyKey, CalendarCodec.encodeHistory(history));
        advanceCalendarGeneration(txn);
        return removeFromUncounted(txn, occurrence, countedCompletions);
    }

    private Transaction newOccurrenceTransaction(ScheduledOccurrence occurrence) {
        return leadership
                .newTransaction()
                .requireRevision(
                        occurrence.storeKey(), watchCache.modRevision(occurrence.storeKey()));
    }

    private void advanceCalendarGeneration(Transaction txn) {
        CalendarHead next = records.calendarHead().withNextGeneration();
        txn.requireRevision(
                        StoreKeys.CALENDAR_HEAD, watchCache.modRevision(StoreKeys.CALENDAR_HEAD))
                .put(StoreKeys.CALENDAR_HEAD, CalendarCodec.encodeHead(next));
    }

    /**
     * Removes the occurrence from the uncounted completions that it has counted now, and removes
     * completions that no other occurrence has to count.
     */
    private Transaction removeFromUncounted(
            Transaction txn, ScheduledOccurrence occurrence, List<String> countedCompletions) {
        for (String jobId : countedCompletions) {
            String key = StoreKeys.UNCOUNTED_COMPLETION_PREFIX + jobId;
            UncountedCompletion remainder =
                    records.uncountedCompletions().get(jobId).withoutOccurrence(occurrence.key());
            txn.requireRevision(key, watchCache.modRevision(key));
            if (remainder.occurrenceKeys().isEmpty()) {
                txn.remove(key);
            } else {
                txn.put(key, CalendarCodec.encodeCompletion(remainder));
            }
        }
        return txn;
    }

    /** Removes an uncounted completion whose occurrences are all closed. */
    private Transaction removeUnreferencedCompletion() {
        for (Map.Entry<String, UncountedCompletion> completion :
                records.uncountedCompletions().entrySet()) {
            boolean referenced =
                    completion.getValue().occurrenceKeys().stream()
                            .anyMatch(records.occurrences()::containsKey);
            if (!referenced) {
                String key = StoreKeys.UNCOUNTED_COMPLETION_PREFIX + completion.getKey();
                return leadership
                        .newTransaction()
                        .requireRevision(key, watchCache.modRevision(key))
                        .remove(key);
            }
        }
        return null;
    }
}
