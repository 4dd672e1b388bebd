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
 * The record of one publication of a calendar entry, kept from before the window opens until the
 * occurrence is closed and moved to the ledger. The record holds its own selectors, so that a
 * change of the entry never changes which jobs an existing occurrence covers.
 */
public final class ScheduledOccurrence {
    /**
     * State of an occurrence. Only {@link CalendarReconciler} changes it, by {@link #transitionTo}.
     */
    public enum State {
        /** The window hasn't opened. */
        PLANNED("planned"),
        /** Covered work is due by the publication and ranks ahead of routine work. */
        OPEN("open"),
        /** All covered work was done by the end of the grace period. */
        PUBLISHED("published"),
        /** Some covered work wasn't done by the end of the grace period. */
        MISSED("missed"),
        /** Operators removed the day before a verdict was given. */
        SKIPPED("skipped"),
        /** Moved to the ledger. */
        CLOSED("closed");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        /** The name in stored records. */
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

    /** A deep copy, whose changes don't affect this occurrence. */
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

    /** Adds the counts, open jobs and leaders' fencing tokens of an existing record. */
    void restore(
            OccurrenceCounts restoredCounts,
            Collection<String> jobIds,
            Collection<Long> fencingTokens) {
        counts = restoredCounts;
        openJobIds.addAll(jobIds);
        leaderTokens.addAll(fencingTokens);
    }

    /** The occurrence's state. */
    public State state() {
        return state;
    }

    /**
     * Changes the state. A verdict is final: a published occurrence is never missed afterwards, nor
     * the reverse.
     *
     * @throws IllegalStateException if the state can't follow the current one
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

    /**
     * Whether no verdict was given yet, so that operators can still move or skip the publication.
     */
    boolean isBeforeVerdict() {
        return state == State.PLANNED || state == State.OPEN;
    }

    /** Identifies the occurrence among all: the entry's name and the date. */
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

    /** When the window opens, in ms since 1970. */
    public long opensAtMillis() {
        return opensAtMillis;
    }

    /** Seconds after the publication within which covered work still counts as in time. */
    double graceSeconds() {
        return graceSeconds;
    }

    /** End of the grace period, by which covered work has to be done, in ms since 1970. */
    long graceEndsAtMillis() {
        return publicationMillis + (long) (graceSeconds * 1000);
    }

    List<JobSelector> selectors() {
        return selectors;
    }

    /** Ids of covered jobs that have been counted and aren't known to have completed. */
    Set<String> openJobIds() {
        return openJobIdsView;
    }

    OccurrenceCounts counts() {
        return counts;
    }

    /** Fencing tokens of the leaders that have written this occurrence. */
    Set<Long> leaderTokens() {
        return Collections.unmodifiableSet(leaderTokens);
    }

    /**
     * Whether the occurrence covers a job: one accepted by the publication that a selector matches.
     *
     * @param acceptedAtMillis when the job was accepted, in ms since 1970
     */
    public boolean covers(JobSpec spec, long acceptedAtMillis) {
        return acceptedAtMillis <= publicationMillis
                && selectors.stream().anyMatch(selector -> selector.matches(spec));
    }

    /**
     * Whether covered work ranks ahead of other work: from the opening until the occurrence is
     * closed.
     */
    public boolean raisesPriority() {
        return state == State.OPEN || state == State.PUBLISHED || state == State.MISSED;
    }

    /** Whether both occurrences affect jobs' priorities alike; their counts may differ. */
    boolean hasSamePriorityEffect(ScheduledOccurrence other) {
        return state == other.state
                && publicationMillis == other.publicationMillis
                && selectors.equals(other.selectors);
    }

    /**
     * Takes over the entry's current publication time of that day. A window that is open stays
     * open.
     */
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

    /** Counts a job that completed before it was counted as open. */
    void addCompletedJob(JobCompletion completion) {
        counts = counts.plusJob().plusCompletion(completion);
    }

    /** Updates the peak with the CPUs that covered work uses now; returns whether it has risen. */
    boolean updatePeakCpus(double usedCpus) {
        if (usedCpus <= counts.peakCpus()) {
            return false;
        }
        counts = counts.withPeakCpus(usedCpus);
        return true;
    }
}
