package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which generations of the priority classes exist. 0 stands for no generation.
 *
 * @param activeGeneration the generation in force
 * @param previousGeneration the one before it that all controllers could read
 * @param proposedGeneration waits for the leader to put it in force
 * @param highestGeneration the highest number ever given
 * @param generationByChangeId generations by the operators' last change ids, the oldest first
 * @param rejectedGeneration the last one that a controller couldn't read
 * @param rejectionReason why, for people
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

    /** After an operator's proposal of a generation with a number not given before. */
    ClassesHead withProposal(String changeId, long generation) {
        Map<String, Long> changes = new LinkedHashMap<>();
        int forgotten = generationByChangeId.size() - PolicyConstants.MAX_REMEMBERED_CHANGES + 1;
        generationByChangeId.entrySet().stream()
                .skip(Math.max(0, forgotten))
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

    /** The proposed generation is in force. */
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

    /** The proposed generation is dropped; what was in force stays. */
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

    /** The generation in force is taken back, for the one before it. */
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
     * A generation's state as operators are told it.
     *
     * @param otherwise the word for one that is neither in force, proposed nor rejected
     */
    String stateOf(long generation, String otherwise) {
        if (generation == activeGeneration) {
            return "rules";
        }
        if (generation == proposedGeneration) {
            return "proposed";
        }
        return generation == rejectedGeneration ? "refused" : otherwise;
    }
}
