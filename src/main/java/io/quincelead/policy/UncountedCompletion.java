package io.quincelead.policy;

import java.util.List;

/**
 * A covered job's completion that some occurrences haven't counted yet: they didn't name the job
 * when it completed.
 *
 * @param state the job's final state as its final record has it
 * @param completedAtMillis when, in ms since 1970
 * @param occurrenceKeys the {@link ScheduledOccurrence#key} of each that has to count it
 */
record UncountedCompletion(String state, long completedAtMillis, List<String> occurrenceKeys) {
    UncountedCompletion {
        occurrenceKeys = List.copyOf(occurrenceKeys);
    }

    JobCompletion completion() {
        return new JobCompletion(state.equals("done"), completedAtMillis);
    }

    /** Once this occurrence has counted it. */
    UncountedCompletion withoutOccurrence(String occurrenceKey) {
        return new UncountedCompletion(
                state,
                completedAtMillis,
                occurrenceKeys.stream().filter(key -> !key.equals(occurrenceKey)).toList());
    }
}
