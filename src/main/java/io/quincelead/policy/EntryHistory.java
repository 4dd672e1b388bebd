package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * What is remembered of a calendar entry's closed occurrences.
 *
 * @param closedThroughMillis publication of the latest closed one, in ms since 1970; 0: none
 * @param peakCpus CPUs that covered work used at the peak of the last ones, the oldest first
 */
record EntryHistory(long closedThroughMillis, List<Double> peakCpus) {
    /** No occurrence was closed yet. */
    static final EntryHistory EMPTY = new EntryHistory(0, List.of());

    EntryHistory {
        peakCpus = List.copyOf(peakCpus);
    }

    /** After one more occurrence is closed; the peak of a skipped one says nothing. */
    EntryHistory withClosed(ScheduledOccurrence occurrence, boolean skipped) {
        long closedThrough = Math.max(closedThroughMillis, occurrence.publicationMillis());
        if (skipped) {
            return new EntryHistory(closedThrough, peakCpus);
        }
        int forgotten = peakCpus.size() - PolicyConstants.MAX_REMEMBERED_PEAKS + 1;
        List<Double> peaks =
                new ArrayList<>(peakCpus.subList(Math.max(0, forgotten), peakCpus.size()));
        peaks.add(occurrence.counts().peakCpus());
        return new EntryHistory(closedThrough, peaks);
    }

    /** CPUs that the next occurrence is expected to use: the median peak; empty: not known. */
    OptionalDouble expectedCpus() {
        return peakCpus.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(peakCpus.stream().sorted().toList().get(peakCpus.size() / 2));
    }
}
