package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import io.quincelead.store.StoreKeys;
import java.time.LocalDate;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One publication of a calendar entry as it stands on record, from before its window opens until it
 * is closed; then the ledger has it. The record holds what it covers, so that a change of the entry
 * never changes what an occurrence under way is about.
 */
public final class ScheduledOccurrence {
    /** States; {@link CalendarReconciler} alone changes them, by {@link #transitionTo}. */
    public enum State {
        /** Its window hasn't opened. */
        PLANNED("planned"),
        /** Covered work is due by the publication and ranks ahead of routine work. */
        OPEN("open"),
        /** All covered work was done by the publication and its grace. */
        PUBLISHED("published"),
        /** Some wasn't. */
        MISSED("missed"),
        /** Operators took the day out before a verdict. */
        SKIPPED("skipped"),
        /** In the ledger. */
        CLOSED("closed");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        /** The name on record. */
        public String wireName() {
            return wireName;
        }
    }

    /** Name of the calendar entry. */
    public final String entryName;

    /** Date of the publication in the entry's time zone, as in {@code 2027-01-31}. */
    public final String date;

    private State state;
    private long publicationMillis;
    private long opensAtMillis;
    private final double graceSeconds;
    private final List<JobSelector> selectors;
    private final Set<String> openJobIds = new LinkedHashSet<>();
    private final Set<String> openJobIdsView = Collections.unmodifiableSet(openJobIds);
    private OccurrenceCounts counts = OccurrenceCounts.NONE;
    private final Set<Long> leaderTokens = new LinkedHashSet<>();

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
        this.selectors = List.copyOf(selectors);
    }

    static ScheduledOccurrence planned(CalendarEntry entry, CalendarEntry.Publication publication) {
        return new ScheduledOccurrence(
                entry.name(),
                publication.date().toString(),
                State.PLANNED,
                publication.epochMillis(),
                entry.opensAtMillis(publication.epochMillis()),
                entry.graceSeconds(),
                entry.selectors());
    }

    /** The same with nothing shared, to be changed without a trace in the original. */
    ScheduledOccurrence copy() {
        ScheduledOccurrence copy =
                new ScheduledOccurrence(
                        entryName,
                        date,
                        state,
                        publicationMillis,
                        opensAtMillis,
                        graceSeconds,
                        selectors);
        copy.restore(counts, openJobIds, leaderTokens);
        return copy;
    }

    /** Sets what was counted before. */
    void restore(OccurrenceCounts counted, Collection<String> openJobs, Collection<Long> terms) {
        counts = counted;
        openJobIds.addAll(openJobs);
        leaderTokens.addAll(terms);
    }

    /** The occurrence's state. */
    public State state() {
        return state;
    }

    /**
     * Verdicts are absorbing: what is published is never missed afterwards, nor the reverse.
     *
     * @throws IllegalStateException if the state can't follow the one before
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

    /** Whether no verdict was given: operators can still move or skip the publication. */
    boolean isBeforeVerdict() {
        return state == State.PLANNED || state == State.OPEN;
    }

    /** What names it among all occurrences: the entry and the date. */
    String key() {
        return entryName + "/" + date;
    }

    String storeKey() {
        return StoreKeys.OCCURRENCE_PREFIX + key();
    }

    String ledgerKey() {
        return StoreKeys.LEDGER_PREFIX + key();
    }

    /** When covered work is due, in ms since 1970. */
    public long publicationMillis() {
        return publicationMillis;
    }

    /** When its window opens, in ms since 1970. */
    public long opensAtMillis() {
        return opensAtMillis;
    }

    /** Seconds after the publication in which covered work still counts as in time. */
    double graceSeconds() {
        return graceSeconds;
    }

    /** When covered work has to be done, grace included, in ms since 1970. */
    long graceEndsAtMillis() {
        return publicationMillis + (long) (graceSeconds * 1000);
    }

    List<JobSelector> selectors() {
        return selectors;
    }

    /** Covered jobs that have been counted and aren't known to have completed. */
    Set<String> openJobIds() {
        return openJobIdsView;
    }

    OccurrenceCounts counts() {
        return counts;
    }

    /** Fencing tokens of the leaders that have written it. */
    Set<Long> leaderTokens() {
        return Collections.unmodifiableSet(leaderTokens);
    }

    /**
     * Whether it covers a job.
     *
     * @param acceptedAtMillis when the job was accepted, in ms since 1970
     */
    public boolean covers(JobSpec spec, long acceptedAtMillis) {
        return acceptedAtMillis <= publicationMillis
                && selectors.stream().anyMatch(m -> m.matches(spec));
    }

    /** Whether covered work ranks ahead now: from the opening until the occurrence is closed. */
    public boolean raisesPriority() {
        return state == State.OPEN || state == State.PUBLISHED || state == State.MISSED;
    }

    /** Whether no job's priority differs between the two; counts may. */
    boolean hasSamePriorityEffect(ScheduledOccurrence other) {
        return state == other.state
                && publicationMillis == other.publicationMillis
                && selectors.equals(other.selectors);
    }

    /** Follows the entry to its publication of that day. A window that is open stays open. */
    void reschedule(CalendarEntry entry, LocalDate day) {
        publicationMillis = entry.publicationMillis(day);
        opensAtMillis = entry.opensAtMillis(publicationMillis);
    }

    void addLeaderToken(long fencingToken) {
        leaderTokens.add(fencingToken);
    }

    void addOpenJob(String jobId) {
        openJobIds.add(jobId);
        counts = counts.plusJob();
    }

    void completeOpenJob(String jobId, JobCompletion completion) {
        openJobIds.remove(jobId);
        counts = counts.plusCompletion(completion);
    }

    /** Counts a job that wasn't seen before it completed. */
    void addCompletedJob(JobCompletion completion) {
        counts = counts.plusJob().plusCompletion(completion);
    }

    /** Notes the CPUs that covered work uses now; says whether that is a new peak. */
    boolean updatePeakCpus(double usedCpus) {
        if (usedCpus <= counts.peakCpus()) {
            return false;
        }
        counts = counts.withPeakCpus(usedCpus);
        return true;
    }
}
