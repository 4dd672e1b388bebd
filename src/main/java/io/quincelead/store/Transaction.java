package io.quincelead.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.transport.WireFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** One atomic change of the store: conditions on stamps, then puts and removals. */
public final class Transaction {
    private final Map<String, Long> preconditions = new LinkedHashMap<>();
    private final Map<String, ObjectNode> operations = new LinkedHashMap<>();

    /** The key must have this stamp; 0: it must not exist. */
    public Transaction requireRevision(String key, long modRevision) {
        preconditions.put(key, modRevision);
        return this;
    }

    public Transaction put(String key, JsonNode value) {
        ObjectNode operation = WireFormat.newMap().put("put", key);
        operation.set("value", value);
        operations.put(key, operation);
        return this;
    }

    /** A put whose key lives only as long as the hold does. */
    public Transaction put(String key, JsonNode value, long leaseId) {
        put(key, value);
        operations.get(key).put("grant", leaseId);
        return this;
    }

    public Transaction remove(String key) {
        operations.put(key, WireFormat.newMap().put("remove", key));
        return this;
    }

    /** Whether it writes this key. */
    public boolean writesKey(String key) {
        return operations.containsKey(key);
    }

    public int operationCount() {
        return operations.size();
    }

    public boolean isEmpty() {
        return operations.isEmpty();
    }

    /** Whether this many more changes and guards fit the store's limits. */
    public boolean fits(int moreOperations, int morePreconditions, int maxOperations) {
        return operations.size() + moreOperations <= maxOperations
                && preconditions.size() + morePreconditions
                        <= maxOperations * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION;
    }

    /** Adds another change to this one; both then happen or neither. */
    public void merge(Transaction other) {
        preconditions.putAll(other.preconditions);
        operations.putAll(other.operations);
    }

    /**
     * Whether the two speak of a common key, so that they can't be merged without thought: each
     * keeps what it was decided from.
     */
    public boolean conflictsWith(Transaction other) {
        for (Map.Entry<String, Long> precondition : other.preconditions.entrySet()) {
            if (!precondition
                    .getValue()
                    .equals(
                            preconditions.getOrDefault(
                                    precondition.getKey(), precondition.getValue()))) {
                return true;
            }
        }
        for (String key : other.operations.keySet()) {
            if (operations.containsKey(key) || preconditions.containsKey(key)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether this can't be carried out any more and all that it may have done is in the mirror: a
     * guard has failed for good, and the watch has been past what made it fail. A guard of 0 proves
     * nothing, for it holds again once its key is gone.
     */
    boolean isSettled(WatchCache watchCache) {
        return preconditions.entrySet().stream()
                .anyMatch(
                        precondition ->
                                precondition.getValue() != 0
                                        && watchCache.isSuperseded(
                                                precondition.getKey(), precondition.getValue()));
    }

    /** Whether it can land only on a certain version of the key. */
    boolean isFencedBy(String key) {
        return preconditions.getOrDefault(key, 0L) != 0;
    }

    int preconditionCount() {
        return preconditions.size();
    }

    Map<String, ObjectNode> operations() {
        return operations;
    }

    public ObjectNode encode() {
        ObjectNode body = WireFormat.newMap();
        ArrayNode preconditionNodes = body.putArray("guards");
        preconditions.forEach(
                (key, modRevision) ->
                        preconditionNodes.addObject().put("path", key).put("stamp", modRevision));
        ArrayNode operationNodes = body.putArray("then");
        operations.values().forEach(operationNodes::add);
        return body;
    }

    /** What became of a transaction. */
    public enum Result {
        /** Applied. */
        COMMITTED,
        /** A guard failed; nothing was applied. */
        CONFLICT,
        /** Certainly not applied: the store's limit of the moment is used up. */
        THROTTLED,
        /** Certainly not applied: an outage, an expired hold. */
        REJECTED,
        /** No answer: it may have been applied, or may still be. */
        INDETERMINATE
    }

    /** The store's answer. */
    public record Outcome(Result result, long storeRevision, java.util.Set<String> failedKeys) {}

    /** Takes the outcome on the loop. */
    @FunctionalInterface
    public interface OutcomeHandler {
        void onOutcome(Outcome outcome);
    }
}
