package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Head record of the priority classes: which generations are in force, proposed and rejected.
 * Generation 0 means none.
 *
 * @param activeGeneration the generation in force
 * @param previousGeneration the generation in force before, which all controllers could read
 * @param proposedGeneration generation that waits for the leader to put it in force
 * @param highestGeneration the highest number ever given
 * @param generationByChangeId generations by the ids of operators' last changes, the oldest first
 * @param rejectedGeneration the last generation that a controller couldn't read
 * @param rejectionReason reason of that rejection, as text for operators
 */
record ClassesHead(
        long activeGeneration,
        long previousGeneration,
        long proposedGeneration,
        long highestGeneration,
        Map<String, Long> generationByChangeId,
        long rejectedGeneration,
        String rejectionReason) {
    /** No classes were ever proposed. */
    static final ClassesHead EMPTY = new ClassesHead(0, 0, 0, 0, Map.of(), 0, "");

    ClassesHead {
        generationByChangeId = Collections.unmodifiableMap(generationByChangeId);
    }

    /** The head after an operator's proposal of a generation with a number not given before. */
    ClassesHead withProposal(String changeId, long generation) {
        Map<String, Long> changes = new LinkedHashMap<>();
        int droppedCount = generationByChangeId.size() - PolicyConstants.MAX_REMEMBERED_CHANGES + 1;
        generationByChangeId.entrySet().stream()
                .skip(Math.max(0, droppedCount))
                .forEach(change -> changes.put(change.getKey(), change.getValue()));
        changes.put(changeId, generation);
        return new ClassesHead(
                activeGeneration,
                previousGeneration,
                generation,
                generation,
                changes,
                rejectedGeneration,
                rejectionReason);
    }

    /** The head after the proposed generation is put in force. */
    ClassesHead activateProposed() {
        return new ClassesHead(
                proposedGeneration,
                activeGeneration,
                0,
                highestGeneration,
                generationByChangeId,
                rejectedGeneration,
                rejectionReason);
    }

    /** The head after the proposed generation is rejected; the active one stays in force. */
    ClassesHead rejectProposed(String reason) {
        return new ClassesHead(
                activeGeneration,
                previousGeneration,
                0,
                highestGeneration,
                generationByChangeId,
                proposedGeneration,
                reason);
    }

    /** The head after the active generation is rejected and replaced by the previous one. */
    ClassesHead revertToPrevious(String reason) {
        return new ClassesHead(
                previousGeneration,
                previousGeneration,
                proposedGeneration,
                highestGeneration,
                generationByChangeId,
                activeGeneration,
                reason);
    }

    /**
     * A generation's state as reported to operators.
     *
     * @param defaultState state of a generation that is neither in force, proposed nor rejected
     */
    String stateOf(long generation, String defaultState) {
        if (generation == activeGeneration) {
            return "rules";
        }
        if (generation == proposedGeneration) {
            return "proposed";
        }
        return generation == rejectedGeneration ? "refused" : defaultState;
    }
}
