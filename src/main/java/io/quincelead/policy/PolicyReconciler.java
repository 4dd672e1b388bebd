package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
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
 * The leader's part with operators' records: puts proposed classes in force, takes back what
 * somebody can't read, and keeps the ledger of the calendar. Every change is guarded by the
 * leader's key and by the stamps of what it was decided from, one change at a time, so whoever
 * leads goes on where the last one stopped. A controller that can't read what rules says so on
 * record, whoever leads.
 */
public final class PolicyReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyReconciler.class);

    /** The leadership, as this controller has it. */
    public interface Leadership {
        boolean isLeader();

        /** A change that stands only while this controller leads. */
        Transaction newTransaction();

        long term();

        /** Controllers that are in. */
        Collection<String> activeMemberIds();
    }

    /** How a covered job ended. */
    private record JobCompletion(boolean done, long completedAtMillis) {}

    private final EventLoop loop;
    private final String memberId;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final JobTable jobs;
    private final Policy policy;
    private final Leadership leadership;
    private boolean requestInFlight;
    private final Map<String, JobCompletion> completions = new HashMap<>();
    private final Set<String> finalReadsInFlight = new HashSet<>();
    private final Map<String, Long> countsWrittenAtMillis = new HashMap<>();
    private final Set<String> knownLedgerKeys = new HashSet<>();
    private long sweptAtMillis = Long.MIN_VALUE / 2;
    private String sweepCursor;
    private long plannedAtMillis = Long.MIN_VALUE / 2;
    private long plannedVersion = -1;

    public PolicyReconciler(
            EventLoop loop,
            String memberId,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            Policy policy,
            Leadership leadership) {
        this.loop = loop;
        this.memberId = memberId;
        this.watchCache = watchCache;
        this.store = store;
        this.jobs = jobs;
        this.policy = policy;
        this.leadership = leadership;
        loop.runEvery(PolicyConstants.RECONCILE_INTERVAL_MILLIS, this::reconcile);
    }

    private void reconcile() {
        if (requestInFlight || !watchCache.isSynced() || !store.canAffordUrgentWrite()) {
            return;
        }
        Transaction txn = unreadableClassesChange();
        if (txn == null && leadership.isLeader()) {
            txn = classesChange();
            txn = txn != null ? txn : calendarChange();
            if (txn == null) {
                sweepLedger();
            }
        }
        if (txn != null) {
            commit(txn);
        }
        if (!leadership.isLeader()) {
            completions.clear();
            countsWrittenAtMillis.clear();
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
                        outcome.failedKeys().stream()
                                .filter(k -> k.startsWith(StoreKeys.LEDGER_PREFIX))
                                .forEach(knownLedgerKeys::add);
                    }
                    // Otherwise it is decided anew from what the watch brings; what was carried out
                    // all the same fails its guards.
                });
    }

    // ---- classes

    /** Says on record that the ruling generation can't be read here, or takes that back. */
    private Transaction unreadableClassesChange() {
        Long reportedGeneration = policy.unreadableGenerationByMember().get(memberId);
        String key = StoreKeys.CLASSES_OBJECTION_PREFIX + memberId;
        if (policy.unreadableGeneration() != 0
                && (reportedGeneration == null
                        || reportedGeneration != policy.unreadableGeneration())) {
            return new Transaction()
                    .requireRevision(key, watchCache.modRevision(key))
                    .put(key, WireFormat.newMap().put("g", policy.unreadableGeneration()));
        }
        return policy.unreadableGeneration() == 0 && reportedGeneration != null
                ? new Transaction().requireRevision(key, watchCache.modRevision(key)).remove(key)
                : null;
    }

    private Transaction classesChange() {
        Policy.ClassesHead head = policy.classesHead();
        for (Map.Entry<String, Long> report : policy.unreadableGenerationByMember().entrySet()) {
            if (head.activeGeneration() != 0
                    && report.getValue() == head.activeGeneration()
                    && leadership.activeMemberIds().contains(report.getKey())) {
                LOG.error(
                        "generation {} of the priority classes can't be read by {}: generation {}"
                                + " rules again",
                        head.activeGeneration(),
                        report.getKey(),
                        head.previousGeneration());
                return classesHeadChange(
                        new Policy.ClassesHead(
                                head.previousGeneration(),
                                head.previousGeneration(),
                                head.proposedGeneration(),
                                head.highestGeneration(),
                                head.generationByChangeId(),
                                head.activeGeneration(),
                                report.getKey() + " can't read it"));
            }
        }
        if (head.proposedGeneration() != 0) {
            try {
                policy.loadGeneration(head.proposedGeneration());
                return classesHeadChange(
                        new Policy.ClassesHead(
                                head.proposedGeneration(),
                                head.activeGeneration(),
                                0,
                                head.highestGeneration(),
                                head.generationByChangeId(),
                                head.rejectedGeneration(),
                                head.rejectionReason()));
            } catch (InvalidRecordException e) {
                LOG.error(
                        "the proposed priority classes can't be read ({}); generation {} goes on"
                                + " ruling",
                        e.getMessage(),
                        head.activeGeneration());
                return classesHeadChange(
                        new Policy.ClassesHead(
                                head.activeGeneration(),
                                head.previousGeneration(),
                                0,
                                head.highestGeneration(),
                                head.generationByChangeId(),
                                head.proposedGeneration(),
                                e.getMessage()));
            }
        }
        for (long generation : policy.recordedGenerations()) {
            if (generation != head.activeGeneration()
                    && generation != head.previousGeneration()
                    && generation
                            <= head.highestGeneration()
                                    - PolicyConstants.CLASSES_GENERATIONS_KEPT) {
                Transaction txn =
                        leadership
                                .newTransaction()
                                .requireRevision(
                                        StoreKeys.CLASSES_HEAD,
                                        watchCache.modRevision(StoreKeys.CLASSES_HEAD));
                policy.partKeys(generation).forEach(txn::remove);
                return txn;
            }
        }
        return null;
    }

    private Transaction classesHeadChange(Policy.ClassesHead head) {
        return leadership
                .newTransaction()
                .requireRevision(
                        StoreKeys.CLASSES_HEAD, watchCache.modRevision(StoreKeys.CLASSES_HEAD))
                .put(StoreKeys.CLASSES_HEAD, encodeClassesHead(head));
    }

    static ObjectNode encodeClassesHead(Policy.ClassesHead head) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("rules", head.activeGeneration())
                        .put("was", head.previousGeneration())
                        .put("next", head.proposedGeneration())
                        .put("last", head.highestGeneration());
        ArrayNode changeNodes = node.putArray("changes");
        head.generationByChangeId().forEach((id, g) -> changeNodes.addArray().add(id).add(g));
        if (head.rejectedGeneration() != 0) {
            node.put("refused", head.rejectedGeneration())
                    .put(
                            "why",
                            head.rejectionReason().length() > 200
                                    ? head.rejectionReason().substring(0, 200)
                                    : head.rejectionReason());
        }
        return node;
    }

    // ---- calendar

    private Transaction calendarChange() {
        dropStaleCompletions();
        for (ScheduledOccurrence occurrence : policy.occurrences().values()) {
            Transaction txn = occurrenceChange(occurrence);
            if (txn != null) {
                return txn;
            }
        }
        if (loop.nowMillis() - plannedAtMillis
                        >= PolicyConstants.OCCURRENCE_PLANNING_INTERVAL_MILLIS
                || plannedVersion != policy.version()) {
            for (CalendarEntry entry : policy.entries().values()) {
                Transaction txn = planningChange(entry);
                if (txn != null) {
                    return txn;
                }
            }
            // All are planned: a thousand entries need not be gone through at each look.
            plannedAtMillis = loop.nowMillis();
            plannedVersion = policy.version();
        }
        for (Map.Entry<String, JsonNode> uncounted : policy.uncountedCompletions().entrySet()) {
            boolean referenced = false;
            for (JsonNode key : uncounted.getValue().path("occ")) {
                referenced |= policy.occurrences().containsKey(key.asText());
            }
            if (!referenced) {
                String key = StoreKeys.UNCOUNTED_COMPLETION_PREFIX + uncounted.getKey();
                return leadership
                        .newTransaction()
                        .requireRevision(key, watchCache.modRevision(key))
                        .remove(key);
            }
        }
        return null;
    }

    /** The next occurrence of an entry that isn't on record, from the last that is closed on. */
    private Transaction planningChange(CalendarEntry entry) {
        long wallClockMillis = loop.wallClockMillis();
        long fromMillis =
                Math.max(
                        Math.max(
                                policy.historyOf(entry.name()).closedThroughMillis(),
                                entry.effectiveFromMillis()),
                        wallClockMillis - PolicyConstants.LOOK_BACK_MILLIS);
        for (CalendarEntry.Publication publication :
                entry.publicationsBetween(
                        fromMillis,
                        wallClockMillis
                                + (long) (entry.leadSeconds() * 1000)
                                + PolicyConstants.PLAN_AHEAD_MILLIS)) {
            ScheduledOccurrence occurrence = ScheduledOccurrence.planned(entry, publication);
            if (!policy.occurrences().containsKey(occurrence.entryName + "/" + occurrence.date)
                    && !knownLedgerKeys.contains(occurrence.ledgerKey())) {
                occurrence.leaderTerms.add(leadership.term());
                return leadership
                        .newTransaction()
                        .requireRevision(occurrence.storeKey(), 0)
                        .requireRevision(occurrence.ledgerKey(), 0)
                        .requireRevision(
                                StoreKeys.CALENDAR_ENTRY_PREFIX + entry.name(),
                                watchCache.modRevision(
                                        StoreKeys.CALENDAR_ENTRY_PREFIX + entry.name()))
                        .put(occurrence.storeKey(), occurrence.encode());
            }
        }
        return null;
    }

    private Transaction occurrenceChange(ScheduledOccurrence current) {
        ScheduledOccurrence occurrence = current.copy();
        long wallClockMillis = loop.wallClockMillis();
        CalendarEntry entry = policy.entries().get(occurrence.entryName);
        LocalDate date = LocalDate.parse(occurrence.date);
        boolean beforeVerdict =
                occurrence.state() == ScheduledOccurrence.State.PLANNED
                        || occurrence.state() == ScheduledOccurrence.State.OPEN;
        if (beforeVerdict
                && (entry == null
                        || entry.skippedDates().contains(date)
                        || !entry.isScheduledOn(date))) {
            occurrence.transitionTo(ScheduledOccurrence.State.SKIPPED);
            return writeOccurrence(occurrence, true, new ArrayList<>());
        }
        if (beforeVerdict && entry.publicationMillis(date) != occurrence.publicationMillis) {
            // A window that is open stays open, whichever way its publication moves.
            occurrence.publicationMillis = entry.publicationMillis(date);
            occurrence.opensAtMillis =
                    occurrence.publicationMillis - (long) (entry.leadSeconds() * 1000);
            return writeOccurrence(occurrence, true, new ArrayList<>());
        }
        List<String> folded = new ArrayList<>();
        switch (occurrence.state()) {
            case PLANNED -> {
                if (wallClockMillis < occurrence.opensAtMillis) {
                    return null;
                }
                updateCounts(occurrence, folded);
                occurrence.transitionTo(ScheduledOccurrence.State.OPEN);
                return writeOccurrence(occurrence, true, folded);
            }
            case OPEN -> {
                boolean counted = updateCounts(occurrence, folded);
                boolean verdictDue =
                        wallClockMillis
                                >= occurrence.publicationMillis
                                        + PolicyConstants.VERDICT_DELAY_MILLIS;
                boolean graceElapsed =
                        wallClockMillis
                                >= occurrence.publicationMillis
                                        + Math.max(
                                                (long) (occurrence.graceSeconds * 1000),
                                                PolicyConstants.VERDICT_DELAY_MILLIS);
                if (verdictDue && (occurrence.openJobIds.isEmpty() || graceElapsed)) {
                    boolean inTime =
                            occurrence.openJobIds.isEmpty()
                                    && occurrence.lastDoneMillis
                                            <= occurrence.publicationMillis
                                                    + (long) (occurrence.graceSeconds * 1000);
                    occurrence.transitionTo(
                            inTime
                                    ? ScheduledOccurrence.State.PUBLISHED
                                    : ScheduledOccurrence.State.MISSED);
                    LOG.info(
                            "{} of {} is {}: {} covered jobs, {} done, {} open",
                            occurrence.entryName,
                            occurrence.date,
                            inTime ? "published" : "missed",
                            occurrence.jobCount,
                            occurrence.doneCount,
                            occurrence.openJobIds.size());
                    return writeOccurrence(occurrence, true, folded);
                }
                return counted && claimCountsWrite(occurrence)
                        ? writeOccurrence(occurrence, false, folded)
                        : null;
            }
            case PUBLISHED, MISSED -> {
                boolean counted = updateCounts(occurrence, folded);
                if (occurrence.openJobIds.isEmpty()
                        || wallClockMillis
                                >= occurrence.publicationMillis
                                        + PolicyConstants.OCCURRENCE_CLOSE_DELAY_MILLIS) {
                    return closeOccurrence(occurrence, folded);
                }
                return counted && claimCountsWrite(occurrence)
                        ? writeOccurrence(occurrence, false, folded)
                        : null;
            }
            case SKIPPED -> {
                return closeOccurrence(occurrence, folded);
            }
            default -> {
                return null;
            }
        }
    }

    private boolean claimCountsWrite(ScheduledOccurrence occurrence) {
        long lastWrittenAtMillis =
                countsWrittenAtMillis.getOrDefault(occurrence.storeKey(), Long.MIN_VALUE / 2);
        if (loop.nowMillis() - lastWrittenAtMillis
                < PolicyConstants.MIN_COUNT_RECORD_INTERVAL_MILLIS) {
            return false;
        }
        countsWrittenAtMillis.put(occurrence.storeKey(), loop.nowMillis());
        return true;
    }

    /**
     * Writes an occurrence, guarded by its record; with {@code ranks} its state or time has
     * changed, and with it the calendar's generation.
     */
    private Transaction writeOccurrence(
            ScheduledOccurrence occurrence, boolean priorityChanged, List<String> folded) {
        occurrence.leaderTerms.add(leadership.term());
        Transaction txn =
                leadership
                        .newTransaction()
                        .requireRevision(
                                occurrence.storeKey(),
                                watchCache.modRevision(occurrence.storeKey()))
                        .put(occurrence.storeKey(), occurrence.encode());
        if (priorityChanged) {
            advanceCalendarGeneration(txn);
        }
        return removeUncountedCompletions(txn, occurrence, folded);
    }

    private void advanceCalendarGeneration(Transaction txn) {
        txn.requireRevision(
                        StoreKeys.CALENDAR_HEAD, watchCache.modRevision(StoreKeys.CALENDAR_HEAD))
                .put(StoreKeys.CALENDAR_HEAD, policy.calendarHead().encodeNext(null));
    }

    /**
     * The one final record of an occurrence: into the ledger, out of what is live, and remembered
     * with its peak, in one change.
     */
    private Transaction closeOccurrence(ScheduledOccurrence occurrence, List<String> folded) {
        occurrence.leaderTerms.add(leadership.term());
        ObjectNode summary =
                occurrence
                        .encodeSummary()
                        .put("closed", loop.wallClockMillis())
                        .put("unfinished", occurrence.openJobIds.size());
        boolean skipped = occurrence.state() == ScheduledOccurrence.State.SKIPPED;
        occurrence.transitionTo(ScheduledOccurrence.State.CLOSED);
        Policy.EntryHistory history = policy.historyOf(occurrence.entryName);
        ObjectNode historyNode =
                WireFormat.newMap()
                        .put(
                                "through",
                                Math.max(
                                        history.closedThroughMillis(),
                                        occurrence.publicationMillis));
        ArrayNode peakNodes = historyNode.putArray("cpus");
        history.peakCpus().stream()
                .skip(
                        skipped
                                ? 0
                                : Math.max(
                                        0,
                                        history.peakCpus().size()
                                                - PolicyConstants.MAX_REMEMBERED_PEAKS
                                                + 1))
                .forEach(peakNodes::add);
        if (!skipped) {
            peakNodes.add(occurrence.peakCpus);
        }
        Transaction txn =
                leadership
                        .newTransaction()
                        .requireRevision(
                                occurrence.storeKey(),
                                watchCache.modRevision(occurrence.storeKey()))
                        .remove(occurrence.storeKey())
                        .requireRevision(occurrence.ledgerKey(), 0)
                        .put(occurrence.ledgerKey(), summary)
                        .requireRevision(
                                StoreKeys.ENTRY_HISTORY_PREFIX + occurrence.entryName,
                                watchCache.modRevision(
                                        StoreKeys.ENTRY_HISTORY_PREFIX + occurrence.entryName))
                        .put(StoreKeys.ENTRY_HISTORY_PREFIX + occurrence.entryName, historyNode);
        advanceCalendarGeneration(txn);
        return removeUncountedCompletions(txn, occurrence, folded);
    }

    /** Takes ends that were recorded apart out of the records they wait in. */
    private Transaction removeUncountedCompletions(
            Transaction txn, ScheduledOccurrence occurrence, List<String> folded) {
        for (String id : folded) {
            String key = StoreKeys.UNCOUNTED_COMPLETION_PREFIX + id;
            ObjectNode remainder = policy.uncountedCompletions().get(id).deepCopy();
            ArrayNode otherOccurrences = WireFormat.newList();
            remainder
                    .path("occ")
                    .forEach(
                            k -> {
                                if (!k.asText()
                                        .equals(occurrence.entryName + "/" + occurrence.date)) {
                                    otherOccurrences.add(k);
                                }
                            });
            txn.requireRevision(key, watchCache.modRevision(key));
            if (otherOccurrences.isEmpty()) {
                txn.remove(key);
            } else {
                remainder.set("occ", otherOccurrences);
                txn.put(key, remainder);
            }
        }
        return txn;
    }

    /** Brings the count up to date with what is known here; says whether it changed. */
    private boolean updateCounts(ScheduledOccurrence occurrence, List<String> folded) {
        boolean changed = false;
        double usedCpus = 0;
        for (Job job : jobs.all()) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                usedCpus += job.possiblyRunningTaskCount() * job.spec.cpus();
                if (!occurrence.openJobIds.contains(job.spec.jobId())
                        && occurrence.openJobIds.size() < PolicyConstants.MAX_COVERED_OPEN_JOBS) {
                    occurrence.openJobIds.add(job.spec.jobId());
                    occurrence.jobCount++;
                    changed = true;
                }
            }
        }
        if (usedCpus > occurrence.peakCpus) {
            occurrence.peakCpus = usedCpus;
            changed = true;
        }
        for (String id : new ArrayList<>(occurrence.openJobIds)) {
            if (jobs.get(id) == null) {
                JobCompletion completion = completions.get(id);
                if (completion == null) {
                    readCompletion(id);
                    continue;
                }
                occurrence.openJobIds.remove(id);
                updateCounts(occurrence, completion);
                changed = true;
            }
        }
        for (Map.Entry<String, JsonNode> uncounted : policy.uncountedCompletions().entrySet()) {
            boolean namesOccurrence = false;
            for (JsonNode key : uncounted.getValue().path("occ")) {
                namesOccurrence |=
                        key.asText().equals(occurrence.entryName + "/" + occurrence.date);
            }
            if (namesOccurrence && folded.size() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                if (!occurrence.openJobIds.contains(uncounted.getKey())) {
                    occurrence.jobCount++;
                    updateCounts(
                            occurrence,
                            new JobCompletion(
                                    uncounted.getValue().path("s").asText().equals("done"),
                                    uncounted.getValue().path("t").asLong()));
                }
                folded.add(uncounted.getKey());
                changed = true;
            }
        }
        return changed;
    }

    private static void updateCounts(ScheduledOccurrence occurrence, JobCompletion completion) {
        occurrence.doneCount += completion.done ? 1 : 0;
        occurrence.cancelledCount += completion.done ? 0 : 1;
        occurrence.lastDoneMillis =
                completion.done
                        ? Math.max(occurrence.lastDoneMillis, completion.completedAtMillis)
                        : occurrence.lastDoneMillis;
    }

    /** A covered job's record is gone: how it ended stands in its final one. */
    private void readCompletion(String id) {
        if (finalReadsInFlight.size() < PolicyConstants.MAX_CONCURRENT_FINAL_STATE_READS
                && finalReadsInFlight.add(id)) {
            store.get(
                    StoreKeys.FINAL_STATE_PREFIX + id,
                    (status, body) -> {
                        finalReadsInFlight.remove(id);
                        if (status == 200) {
                            JsonNode finalRecord = body.path("value");
                            completions.put(
                                    id,
                                    new JobCompletion(
                                            finalRecord.path("s").asText().equals("done"),
                                            finalRecord.path("t").asLong(loop.wallClockMillis())));
                        }
                    });
        }
    }

    private void dropStaleCompletions() {
        completions
                .keySet()
                .removeIf(
                        id ->
                                policy.occurrences().values().stream()
                                        .noneMatch(o -> o.openJobIds.contains(id)));
    }

    // ---- the ledger's bound

    private void sweepLedger() {
        if (policy.entries().isEmpty() && sweepCursor == null && sweptAtMillis > 0
                || loop.nowMillis() - sweptAtMillis
                        < PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS) {
            return;
        }
        sweptAtMillis = loop.nowMillis();
        requestInFlight = true;
        store.list(
                StoreKeys.LEDGER_PREFIX,
                sweepCursor,
                (status, body) -> {
                    requestInFlight = false;
                    if (status != 200) {
                        return;
                    }
                    String oldestDate =
                            Instant.ofEpochMilli(loop.wallClockMillis())
                                    .atZone(ZoneOffset.UTC)
                                    .toLocalDate()
                                    .minusDays(PolicyConstants.LEDGER_RETENTION_DAYS)
                                    .toString();
                    Transaction txn = leadership.newTransaction();
                    String lastKey = null;
                    for (JsonNode item : body.path("items")) {
                        String key = item.path("path").asText();
                        if (key.substring(key.lastIndexOf('/') + 1).compareTo(oldestDate) < 0
                                && txn.operationCount() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                            txn.requireRevision(key, item.path("stamp").asLong()).remove(key);
                        }
                        lastKey = key;
                    }
                    // More to remove, or another page: looked at with the next turns.
                    boolean batchFull =
                            txn.operationCount() >= PolicyConstants.MAX_RECORDS_PER_SWEEP;
                    sweepCursor =
                            batchFull
                                    ? sweepCursor
                                    : body.path("truncated").asBoolean() ? lastKey : null;
                    if (batchFull || sweepCursor != null) {
                        sweptAtMillis =
                                loop.nowMillis()
                                        - PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS
                                        + PolicyConstants.RECONCILE_INTERVAL_MILLIS;
                    }
                    if (!txn.isEmpty() && leadership.isLeader()) {
                        commit(txn);
                    }
                });
    }
}
