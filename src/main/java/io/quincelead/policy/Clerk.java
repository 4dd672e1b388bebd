package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Loop;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.net.Codec;
import io.quincelead.records.Job;
import io.quincelead.records.JobTable;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
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
 * The leader's part with operators' records: puts proposed classes in force, takes back what somebody can't read, and keeps the ledger of
 * the calendar. Every change is guarded by the leader's key and by the stamps of what it was decided from, one change at a time, so
 * whoever leads goes on where the last one stopped. A controller that can't read what rules says so on record, whoever leads.
 */
public final class Clerk {
    private static final Logger LOG = LoggerFactory.getLogger(Clerk.class);

    /** The leadership, as this controller has it. */
    public interface Chair {
        boolean isLeader();

        /** A change that stands only while this controller leads. */
        Txn newTransaction();

        long term();

        /** Controllers that are in. */
        Collection<String> activeMemberIds();
    }

    /** How a covered job ended. */
    private record End(boolean done, long completedAtMillis) { }

    private final Loop loop;
    private final String memberId;
    private final Mirror watchCache;
    private final StoreClient store;
    private final JobTable jobs;
    private final Policy policy;
    private final Chair leadership;
    private boolean requestInFlight;
    private final Map<String, End> completions = new HashMap<>();
    private final Set<String> finalReadsInFlight = new HashSet<>();
    private final Map<String, Long> countsWrittenAtMillis = new HashMap<>();
    private final Set<String> knownLedgerKeys = new HashSet<>();
    private long sweptAtMillis = Long.MIN_VALUE / 2;
    private String sweepCursor;
    private long plannedAtMillis = Long.MIN_VALUE / 2;
    private long plannedVersion = -1;

    public Clerk(Loop loop, String memberId, Mirror watchCache, StoreClient store, JobTable jobs, Policy policy, Chair leadership) {
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
        Txn txn = unreadableClassesChange();
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

    private void commit(Txn txn) {
        requestInFlight = true;
        store.commit(txn, outcome -> {
            requestInFlight = false;
            if (outcome.result() == Txn.Result.COMMITTED) {
                watchCache.applyCommitted(txn, outcome.storeRevision());
            } else if (outcome.result() == Txn.Result.CONFLICT) {
                outcome.failedKeys().stream().filter(k -> k.startsWith(Keys.LEDGER_PREFIX)).forEach(knownLedgerKeys::add);
            }
            // Otherwise it is decided anew from what the watch brings; what was carried out all the same fails its guards.
        });
    }

    // ---- classes

    /** Says on record that the ruling generation can't be read here, or takes that back. */
    private Txn unreadableClassesChange() {
        Long reportedGeneration = policy.unreadableGenerationByMember().get(memberId);
        String key = Keys.CLASSES_OBJECTION_PREFIX + memberId;
        if (policy.unreadableGeneration() != 0 && (reportedGeneration == null || reportedGeneration != policy.unreadableGeneration())) {
            return new Txn().requireRevision(key, watchCache.modRevision(key)).put(key, Codec.newMap().put("g", policy.unreadableGeneration()));
        }
        return policy.unreadableGeneration() == 0 && reportedGeneration != null ? new Txn().requireRevision(key, watchCache.modRevision(key)).remove(key) : null;
    }

    private Txn classesChange() {
        Policy.Head head = policy.classesHead();
        for (Map.Entry<String, Long> report : policy.unreadableGenerationByMember().entrySet()) {
            if (head.activeGeneration() != 0 && report.getValue() == head.activeGeneration() && leadership.activeMemberIds().contains(report.getKey())) {
                LOG.error("generation {} of the priority classes can't be read by {}: generation {} rules again", head.activeGeneration(), report.getKey(), head.previousGeneration());
                return classesHeadChange(new Policy.Head(head.previousGeneration(), head.previousGeneration(), head.proposedGeneration(), head.highestGeneration(), head.generationByChangeId(), head.activeGeneration(), report.getKey() + " can't read it"));
            }
        }
        if (head.proposedGeneration() != 0) {
            try {
                policy.loadGeneration(head.proposedGeneration());
                return classesHeadChange(new Policy.Head(head.proposedGeneration(), head.activeGeneration(), 0, head.highestGeneration(), head.generationByChangeId(), head.rejectedGeneration(), head.rejectionReason()));
            } catch (Invalid e) {
                LOG.error("the proposed priority classes can't be read ({}); generation {} goes on ruling", e.getMessage(), head.activeGeneration());
                return classesHeadChange(new Policy.Head(head.activeGeneration(), head.previousGeneration(), 0, head.highestGeneration(), head.generationByChangeId(), head.proposedGeneration(), e.getMessage()));
            }
        }
        for (long generation : policy.recordedGenerations()) {
            if (generation != head.activeGeneration() && generation != head.previousGeneration() && generation <= head.highestGeneration() - PolicyConstants.CLASSES_GENERATIONS_KEPT) {
                Txn txn = leadership.newTransaction().requireRevision(Keys.CLASSES_HEAD, watchCache.modRevision(Keys.CLASSES_HEAD));
                policy.partKeys(generation).forEach(txn::remove);
                return txn;
            }
        }
        return null;
    }

    private Txn classesHeadChange(Policy.Head head) {
        return leadership.newTransaction().requireRevision(Keys.CLASSES_HEAD, watchCache.modRevision(Keys.CLASSES_HEAD)).put(Keys.CLASSES_HEAD, encodeClassesHead(head));
    }

    static ObjectNode encodeClassesHead(Policy.Head head) {
        ObjectNode node = Codec.newMap().put("rules", head.activeGeneration()).put("was", head.previousGeneration()).put("next", head.proposedGeneration()).put("last", head.highestGeneration());
        ArrayNode changeNodes = node.putArray("changes");
        head.generationByChangeId().forEach((id, g) -> changeNodes.addArray().add(id).add(g));
        if (head.rejectedGeneration() != 0) {
            node.put("refused", head.rejectedGeneration()).put("why", head.rejectionReason().length() > 200 ? head.rejectionReason().substring(0, 200) : head.rejectionReason());
        }
        return node;
    }

    // ---- calendar

    private Txn calendarChange() {
        dropStaleCompletions();
        for (Occurrence occurrence : policy.occurrences().values()) {
            Txn txn = occurrenceChange(occurrence);
            if (txn != null) {
                return txn;
            }
        }
        if (loop.nowMillis() - plannedAtMillis >= PolicyConstants.OCCURRENCE_PLANNING_INTERVAL_MILLIS || plannedVersion != policy.version()) {
            for (Entry entry : policy.entries().values()) {
                Txn txn = planningChange(entry);
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
                String key = Keys.UNCOUNTED_COMPLETION_PREFIX + uncounted.getKey();
                return leadership.newTransaction().requireRevision(key, watchCache.modRevision(key)).remove(key);
            }
        }
        return null;
    }

    /** The next occurrence of an entry that isn't on record, from the last that is closed on. */
    private Txn planningChange(Entry entry) {
        long wallClockMillis = loop.wallClockMillis();
        long fromMillis = Math.max(Math.max(policy.historyOf(entry.name()).closedThroughMillis(), entry.effectiveFromMillis()), wallClockMillis - PolicyConstants.LOOK_BACK_MILLIS);
        for (Entry.When publication : entry.publicationsBetween(fromMillis, wallClockMillis + (long) (entry.leadSeconds() * 1000) + PolicyConstants.PLAN_AHEAD_MILLIS)) {
            Occurrence occurrence = Occurrence.planned(entry, publication);
            if (!policy.occurrences().containsKey(occurrence.entryName + "/" + occurrence.date) && !knownLedgerKeys.contains(occurrence.ledgerKey())) {
                occurrence.leaderTerms.add(leadership.term());
                return leadership.newTransaction().requireRevision(occurrence.storeKey(), 0).requireRevision(occurrence.ledgerKey(), 0).requireRevision(Keys.CALENDAR_ENTRY_PREFIX + entry.name(), watchCache.modRevision(Keys.CALENDAR_ENTRY_PREFIX + entry.name())).put(occurrence.storeKey(), occurrence.encode());
            }
        }
        return null;
    }

    private Txn occurrenceChange(Occurrence current) {
        Occurrence occurrence = current.copy();
        long wallClockMillis = loop.wallClockMillis();
        Entry entry = policy.entries().get(occurrence.entryName);
        LocalDate date = LocalDate.parse(occurrence.date);
        boolean beforeVerdict = occurrence.state() == Occurrence.State.PLANNED || occurrence.state() == Occurrence.State.OPEN;
        if (beforeVerdict && (entry == null || entry.skippedDates().contains(date) || !entry.isScheduledOn(date))) {
            occurrence.transitionTo(Occurrence.State.SKIPPED);
            return writeOccurrence(occurrence, true, new ArrayList<>());
        }
        if (beforeVerdict && entry.publicationMillis(date) != occurrence.publicationMillis) {
            // A window that is open stays open, whichever way its publication moves.
            occurrence.publicationMillis = entry.publicationMillis(date);
            occurrence.opensAtMillis = occurrence.publicationMillis - (long) (entry.leadSeconds() * 1000);
            return writeOccurrence(occurrence, true, new ArrayList<>());
        }
        List<String> folded = new ArrayList<>();
        switch (occurrence.state()) {
            case PLANNED -> {
                if (wallClockMillis < occurrence.opensAtMillis) {
                    return null;
                }
                updateCounts(occurrence, folded);
                occurrence.transitionTo(Occurrence.State.OPEN);
                return writeOccurrence(occurrence, true, folded);
            }
            case OPEN -> {
                boolean counted = updateCounts(occurrence, folded);
                boolean verdictDue = wallClockMillis >= occurrence.publicationMillis + PolicyConstants.VERDICT_DELAY_MILLIS;
                boolean graceElapsed = wallClockMillis >= occurrence.publicationMillis + Math.max((long) (occurrence.graceSeconds * 1000), PolicyConstants.VERDICT_DELAY_MILLIS);
                if (verdictDue && (occurrence.openJobIds.isEmpty() || graceElapsed)) {
                    boolean inTime = occurrence.openJobIds.isEmpty() && occurrence.lastDoneMillis <= occurrence.publicationMillis + (long) (occurrence.graceSeconds * 1000);
                    occurrence.transitionTo(inTime ? Occurrence.State.PUBLISHED : Occurrence.State.MISSED);
                    LOG.info("{} of {} is {}: {} covered jobs, {} done, {} open", occurrence.entryName, occurrence.date, inTime ? "published" : "missed", occurrence.jobCount, occurrence.doneCount, occurrence.openJobIds.size());
                    return writeOccurrence(occurrence, true, folded);
                }
                return counted && claimCountsWrite(occurrence) ? writeOccurrence(occurrence, false, folded) : null;
            }
            case PUBLISHED, MISSED -> {
                boolean counted = updateCounts(occurrence, folded);
                if (occurrence.openJobIds.isEmpty() || wallClockMillis >= occurrence.publicationMillis + PolicyConstants.OCCURRENCE_CLOSE_DELAY_MILLIS) {
                    return closeOccurrence(occurrence, folded);
                }
                return counted && claimCountsWrite(occurrence) ? writeOccurrence(occurrence, false, folded) : null;
            }
            case SKIPPED -> {
                return closeOccurrence(occurrence, folded);
            }
            default -> {
                return null;
            }
        }
    }

    private boolean claimCountsWrite(Occurrence occurrence) {
        long lastWrittenAtMillis = countsWrittenAtMillis.getOrDefault(occurrence.storeKey(), Long.MIN_VALUE / 2);
        if (loop.nowMillis() - lastWrittenAtMillis < PolicyConstants.MIN_COUNT_RECORD_INTERVAL_MILLIS) {
            return false;
        }
        countsWrittenAtMillis.put(occurrence.storeKey(), loop.nowMillis());
        return true;
    }

    /** Writes an occurrence, guarded by its record; with {@code ranks} its state or time has changed, and with it the calendar's generation. */
    private Txn writeOccurrence(Occurrence occurrence, boolean priorityChanged, List<String> folded) {
        occurrence.leaderTerms.add(leadership.term());
        Txn txn = leadership.newTransaction().requireRevision(occurrence.storeKey(), watchCache.modRevision(occurrence.storeKey())).put(occurrence.storeKey(), occurrence.encode());
        if (priorityChanged) {
            advanceCalendarGeneration(txn);
        }
        return removeUncountedCompletions(txn, occurrence, folded);
    }

    private void advanceCalendarGeneration(Txn txn) {
        txn.requireRevision(Keys.CALENDAR_HEAD, watchCache.modRevision(Keys.CALENDAR_HEAD)).put(Keys.CALENDAR_HEAD, policy.calendarHead().encodeNext(null));
    }

    /** The one final record of an occurrence: into the ledger, out of what is live, and remembered with its peak, in one change. */
    private Txn closeOccurrence(Occurrence occurrence, List<String> folded) {
        occurrence.leaderTerms.add(leadership.term());
        ObjectNode summary = occurrence.encodeSummary().put("closed", loop.wallClockMillis()).put("unfinished", occurrence.openJobIds.size());
        boolean skipped = occurrence.state() == Occurrence.State.SKIPPED;
        occurrence.transitionTo(Occurrence.State.CLOSED);
        Policy.Memory history = policy.historyOf(occurrence.entryName);
        ObjectNode historyNode = Codec.newMap().put("through", Math.max(history.closedThroughMillis(), occurrence.publicationMillis));
        ArrayNode peakNodes = historyNode.putArray("cpus");
        history.peakCpus().stream().skip(skipped ? 0 : Math.max(0, history.peakCpus().size() - PolicyConstants.MAX_REMEMBERED_PEAKS + 1)).forEach(peakNodes::add);
        if (!skipped) {
            peakNodes.add(occurrence.peakCpus);
        }
        Txn txn = leadership.newTransaction().requireRevision(occurrence.storeKey(), watchCache.modRevision(occurrence.storeKey())).remove(occurrence.storeKey()).requireRevision(occurrence.ledgerKey(), 0).put(occurrence.ledgerKey(), summary)
                .requireRevision(Keys.ENTRY_HISTORY_PREFIX + occurrence.entryName, watchCache.modRevision(Keys.ENTRY_HISTORY_PREFIX + occurrence.entryName)).put(Keys.ENTRY_HISTORY_PREFIX + occurrence.entryName, historyNode);
        advanceCalendarGeneration(txn);
        return removeUncountedCompletions(txn, occurrence, folded);
    }

    /** Takes ends that were recorded apart out of the records they wait in. */
    private Txn removeUncountedCompletions(Txn txn, Occurrence occurrence, List<String> folded) {
        for (String id : folded) {
            String key = Keys.UNCOUNTED_COMPLETION_PREFIX + id;
            ObjectNode remainder = policy.uncountedCompletions().get(id).deepCopy();
            ArrayNode otherOccurrences = Codec.newList();
            remainder.path("occ").forEach(k -> {
                if (!k.asText().equals(occurrence.entryName + "/" + occurrence.date)) {
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
    private boolean updateCounts(Occurrence occurrence, List<String> folded) {
        boolean changed = false;
        double usedCpus = 0;
        for (Job job : jobs.all()) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis)) {
                usedCpus += job.possiblyRunningTaskCount() * job.spec.cpus();
                if (!occurrence.openJobIds.contains(job.spec.jobId()) && occurrence.openJobIds.size() < PolicyConstants.MAX_COVERED_OPEN_JOBS) {
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
                End completion = completions.get(id);
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
                namesOccurrence |= key.asText().equals(occurrence.entryName + "/" + occurrence.date);
            }
            if (namesOccurrence && folded.size() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                if (!occurrence.openJobIds.contains(uncounted.getKey())) {
                    occurrence.jobCount++;
                    updateCounts(occurrence, new End(uncounted.getValue().path("s").asText().equals("done"), uncounted.getValue().path("t").asLong()));
                }
                folded.add(uncounted.getKey());
                changed = true;
            }
        }
        return changed;
    }

    private static void updateCounts(Occurrence occurrence, End completion) {
        occurrence.doneCount += completion.done ? 1 : 0;
        occurrence.cancelledCount += completion.done ? 0 : 1;
        occurrence.lastDoneMillis = completion.done ? Math.max(occurrence.lastDoneMillis, completion.completedAtMillis) : occurrence.lastDoneMillis;
    }

    /** A covered job's record is gone: how it ended stands in its final one. */
    private void readCompletion(String id) {
        if (finalReadsInFlight.size() < PolicyConstants.MAX_CONCURRENT_FINAL_STATE_READS && finalReadsInFlight.add(id)) {
            store.get(Keys.FINAL_STATE_PREFIX + id, (status, body) -> {
                finalReadsInFlight.remove(id);
                if (status == 200) {
                    JsonNode finalRecord = body.path("value");
                    completions.put(id, new End(finalRecord.path("s").asText().equals("done"), finalRecord.path("t").asLong(loop.wallClockMillis())));
                }
            });
        }
    }

    private void dropStaleCompletions() {
        completions.keySet().removeIf(id -> policy.occurrences().values().stream().noneMatch(o -> o.openJobIds.contains(id)));
    }

    // ---- the ledger's bound

    private void sweepLedger() {
        if (policy.entries().isEmpty() && sweepCursor == null && sweptAtMillis > 0 || loop.nowMillis() - sweptAtMillis < PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS) {
            return;
        }
        sweptAtMillis = loop.nowMillis();
        requestInFlight = true;
        store.list(Keys.LEDGER_PREFIX, sweepCursor, (status, body) -> {
            requestInFlight = false;
            if (status != 200) {
                return;
            }
            String oldestDate = Instant.ofEpochMilli(loop.wallClockMillis()).atZone(ZoneOffset.UTC).toLocalDate().minusDays(PolicyConstants.LEDGER_RETENTION_DAYS).toString();
            Txn txn = leadership.newTransaction();
            String lastKey = null;
            for (JsonNode item : body.path("items")) {
                String key = item.path("path").asText();
                if (key.substring(key.lastIndexOf('/') + 1).compareTo(oldestDate) < 0 && txn.operationCount() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                    txn.requireRevision(key, item.path("stamp").asLong()).remove(key);
                }
                lastKey = key;
            }
            // More to remove, or another page: looked at with the next turns.
            boolean batchFull = txn.operationCount() >= PolicyConstants.MAX_RECORDS_PER_SWEEP;
            sweepCursor = batchFull ? sweepCursor : body.path("truncated").asBoolean() ? lastKey : null;
            if (batchFull || sweepCursor != null) {
                sweptAtMillis = loop.nowMillis() - PolicyConstants.LEDGER_SWEEP_INTERVAL_MILLIS + PolicyConstants.RECONCILE_INTERVAL_MILLIS;
            }
            if (!txn.isEmpty() && leadership.isLeader()) {
                commit(txn);
            }
        });
    }
}
