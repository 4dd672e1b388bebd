package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.store.StoreKeys;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One publication of an entry as it stands on record, from before its window opens until it is
 * closed; then the ledger has it. The record holds what it covers, so that a change of the entry
 * never changes what an occurrence under way is about.
 */
public final class ScheduledOccurrence {
    /** States; {@link PolicyReconciler} alone changes them, by {@link #transitionTo}. */
    public enum State {
        /** Its window hasn't opened. */
        PLANNED,
        /** Covered work is due by the publication and ranks ahead of routine work. */
        OPEN,
        /** All covered work was done by the publication and its grace. */
        PUBLISHED,
        /** Some wasn't. */
        MISSED,
        /** Operators took the day out before a verdict. */
        SKIPPED,
        /** In the ledger. */
        CLOSED
    }

    public final String entryName;
    public final String date;
    private State state;
    long publicationMillis;
    long opensAtMillis;
    final double graceSeconds;
    final List<JobSelector> selectors;

    /** Covered jobs that have been counted and aren't known to be over. */
    final Set<String> openJobIds = new LinkedHashSet<>();

    int jobCount;
    int doneCount;
    int cancelledCount;

    /** When the last covered job was done, in ms since 1970; 0: none yet. */
    long lastDoneMillis;

    /** CPUs that covered work used at its peak. */
    double peakCpus;

    /** Terms of the leaders that have written it. */
    final Set<Long> leaderTerms = new LinkedHashSet<>();

    ScheduledOccurrence(
            String entryName,
            String date,
            State state,
            long publicationMillis,
            long opensAtMillis,
            double graceSeconds,
            List<JobSelector> selectors) {
        this.entryName = entryName;
        this.date = date;
        this.state = state;
        this.publicationMillis = publicationMillis;
        this.opensAtMillis = opensAtMillis;
        this.graceSeconds = graceSeconds;
        this.selectors = selectors;
    }

    static ScheduledOccurrence planned(CalendarEntry entry, CalendarEntry.Publication publication) {
        return new ScheduledOccurrence(
                entry.name(),
                publication.date().toString(),
                State.PLANNED,
                publication.epochMillis(),
                publication.epochMillis() - (long) (entry.leadSeconds() * 1000),
                entry.graceSeconds(),
                entry.selectors());
    }

    public State state() {
        return state;
    }

    /**
     * Verdicts are absorbing: what is published is never missed afterwards, nor the other way
     * round.
     */
    void transitionTo(State next) {
        boolean allowed =
                switch (state) {
                    case PLANNED -> next == State.OPEN || next == State.SKIPPED;
                    case OPEN ->
                            next == State.PUBLISHED
                                    || next == State.MISSED
                                    || next == State.SKIPPED;
                    case PUBLISHED, MISSED, SKIPPED -> next == State.CLOSED;
                    case CLOSED -> false;
                };
        if (!allowed) {
            throw new IllegalStateException(
                    entryName + " of " + date + " can't go from " + state + " to " + next);
        }
        state = next;
    }

    String storeKey() {
        return StoreKeys.OCCURRENCE_PREFIX + entryName + "/" + date;
    }

    String ledgerKey() {
        return StoreKeys.LEDGER_PREFIX + entryName + "/" + date;
    }

    public long publicationMillis() {
        return publicationMillis;
    }

    public long opensAtMillis() {
        return opensAtMillis;
    }

    /** Whether a job of such a kind, accepted then, is covered while the window is open. */
    public boolean covers(JobSpec spec, long acceptedAtMillis) {
        return acceptedAtMillis <= publicationMillis
                && selectors.stream().anyMatch(m -> m.matches(spec));
    }

    /** Whether covered work ranks ahead now: from the opening until everything is closed. */
    public boolean raisesPriority() {
        return state == State.OPEN || state == State.PUBLISHED || state == State.MISSED;
    }

    static ScheduledOccurrence decode(String entryName, String date, JsonNode node)
            throws InvalidRecordException {
        State state;
        try {
            state = State.valueOf(node.path("st").asText().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidRecordException("st", "unknown state " + node.path("st"));
        }
        List<JobSelector> selectors = new ArrayList<>();
        for (JsonNode selectorNode : node.path("cov")) {
            selectors.add(JobSelector.decode(selectorNode, "cov"));
        }
        ScheduledOccurrence occurrence =
                new ScheduledOccurrence(
                        entryName,
                        date,
                        state,
                        node.path("pub").asLong(),
                        node.path("open").asLong(),
                        node.path("grace").asDouble(),
                        selectors);
        node.path("ids").forEach(id -> occurrence.openJobIds.add(id.asText()));
        occurrence.jobCount = node.path("n").asInt();
        occurrence.doneCount = node.path("done").asInt();
        occurrence.cancelledCount = node.path("cancelled").asInt();
        occurrence.lastDoneMillis = node.path("last").asLong();
        occurrence.peakCpus = node.path("peak").asDouble();
        node.path("leaders").forEach(t -> occurrence.leaderTerms.add(t.asLong()));
        return occurrence;
    }

    ScheduledOccurrence copy() {
        ScheduledOccurrence occurrence =
                new ScheduledOccurrence(
                        entryName,
                        date,
                        state,
                        publicationMillis,
                        opensAtMillis,
                        graceSeconds,
                        selectors);
        occurrence.openJobIds.addAll(openJobIds);
        occurrence.jobCount = jobCount;
        occurrence.doneCount = doneCount;
        occurrence.cancelledCount = cancelledCount;
        occurrence.lastDoneMillis = lastDoneMillis;
        occurrence.peakCpus = peakCpus;
        occurrence.leaderTerms.addAll(leaderTerms);
        return occurrence;
    }

    ObjectNode encode() {
        ObjectNode node = encodeSummary();
        ArrayNode selectorNodes = node.putArray("cov");
        selectors.forEach(m -> selectorNodes.add(m.encode()));
        ArrayNode jobIdNodes = node.putArray("ids");
        openJobIds.forEach(jobIdNodes::add);
        return node;
    }

    /** What the ledger keeps. */
    ObjectNode encodeSummary() {
        ObjectNode node =
                WireFormat.newMap()
                        .put("st", state.name().toLowerCase(Locale.ROOT))
                        .put("pub", publicationMillis)
                        .put("open", opensAtMillis)
                        .put("grace", graceSeconds)
                        .put("n", jobCount)
                        .put("done", doneCount)
                        .put("cancelled", cancelledCount)
                        .put("last", lastDoneMillis)
                        .put("peak", peakCpus);
        ArrayNode termNodes = node.putArray("leaders");
        leaderTerms.forEach(termNodes::add);
        return node;
    }
}
