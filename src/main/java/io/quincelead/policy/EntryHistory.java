package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * What is recorded of a calendar entry's closed occurrences.
 *
 * @param closedThroughMillis publication time of the latest closed occurrence, in ms since 1970; 0:
 *     none
 * @param peakCpus peaks of the CPUs that covered work used in the last closed occurrences, the
 *     oldest first
 */
record EntryHistory(long closedThroughMillis, List<Double> peakCpus) {
    /** No occurrence was closed yet. */
    static final EntryHistory EMPTY = new EntryHistory(0, List.of());

    EntryHistory {
        peakCpus = List.copyOf(peakCpus);
    }

    /**
     * The history after one more occurrence is closed; the peak of a skipped one isn't
     * representative and is left out.
     */
    EntryHistory withClosed(ScheduledOccurrence occurrence, boolean skipped) {
        long closedThrough = Math.max(closedThroughMillis, occurrence.publicationMillis());
        if (skipped) {
            return new EntryHistory(closedThrough, peakCpus);
        }
        int droppedCount = peakCpus.size() - PolicyConstants.MAX_REMEMBERED_PEAKS + 1;
        List<Double> peaks =
                new ArrayList<>(peakCpus.subList(Math.max(0, droppedCount), peakCpus.size()));
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
