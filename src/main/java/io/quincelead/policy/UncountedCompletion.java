package io.quincelead.policy;

import java.util.List;

/**
 * A covered job's completion that some occurrences haven't counted yet: their records didn't list
 * the job when it completed.
 *
 * @param state the job's final state as its final record has it
 * @param completedAtMillis when the job completed, in ms since 1970
 * @param occurrenceKeys the {@link ScheduledOccurrence#key} of each occurrence that has to count it
 */
record UncountedCompletion(String state, long completedAtMillis, List<String> occurrenceKeys) {
    UncountedCompletion {
        occurrenceKeys = List.copyOf(occurrenceKeys);
    }

    JobCompletion completion() {
        return new JobCompletion(state.equals("done"), completedAtMillis);
    }

    /** The completion once the occurrence has counted it. */
    UncountedCompletion withoutOccurrence(String occurrenceKey) {
        return new UncountedCompletion(
                state,
                completedAtMillis,
                occurrenceKeys.stream().filter(key -> !key.equals(occurrenceKey)).toList());
    }
}
