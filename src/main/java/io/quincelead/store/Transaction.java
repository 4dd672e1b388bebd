package io.quincelead.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.StoreConstants;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * One compare-and-swap transaction of the store: preconditions on mod revisions, then puts and
 * removals. All operations are applied, or none.
 */
public final class Transaction {
    private final Map<String, Long> preconditions = new LinkedHashMap<>();
    private final Map<String, Operation> operations = new LinkedHashMap<>();

    /**
     * What is done to a key.
     *
     * @param value the value to put; null for a removal
     * @param leaseId the lease that the key is attached to, or {@link #NO_LEASE}
     */
    record Operation(JsonNode value, long leaseId) {
        static final long NO_LEASE = Long.MIN_VALUE;
        static final Operation REMOVAL = new Operation(null, NO_LEASE);

        boolean isRemoval() {
            return value == null;
        }
    }

    /**
     * Adds the precondition that the key has this mod revision; 0: that it doesn't exist. Replaces
     * an earlier one on the same key.
     */
    public Transaction requireRevision(String key, long modRevision) {
        preconditions.put(key, modRevision);
        return this;
    }

    /**
     * Puts a value; replaces an earlier operation on the same key. The value, not null, is kept as
     * it is and encoded when the transaction is sent.
     */
    public Transaction put(String key, JsonNode value) {
        return put(key, value, Operation.NO_LEASE);
    }

    /** Puts a value that is removed when the lease expires or is revoked. */
    public Transaction put(String key, JsonNode value, long leaseId) {
        operations.put(key, new Operation(Objects.requireNonNull(value), leaseId));
        return this;
    }

    /** Removes a key; replaces an earlier operation on the same key. */
    public Transaction remove(String key) {
        operations.put(key, Operation.REMOVAL);
        return this;
    }

    /** Whether an operation puts or removes this key. */
    public boolean writesKey(String key) {
        return operations.containsKey(key);
    }

    /** The number of keys written, which is what the store's write limit counts. */
    public int operationCount() {
        return operations.size();
    }

    /** Whether there are no operations; there may be preconditions. */
    public boolean isEmpty() {
        return operations.isEmpty();
    }

    /** Whether so many more operations and preconditions fit the store's limits. */
    public boolean fits(int moreOperations, int morePreconditions, int maxOperations) {
        return operations.size() + moreOperations <= maxOperations
                && preconditions.size() + morePreconditions
                        <= maxOperations * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION;
    }

    /**
     * Adds another transaction's preconditions and operations to this one: both are applied or
     * neither.
     */
    public void merge(Transaction other) {
        preconditions.putAll(other.preconditions);
        operations.putAll(other.operations);
    }

    /**
     * Whether the other one can't be merged into this one without losing what one of them was
     * decided from: they require different revisions of a key, or the other one writes a key that
     * this one writes or has a precondition on. Not symmetric.
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
     * Whether this can't be applied any more and all that it may have done is in the watch cache: a
     * precondition has failed for good, and the watch has passed what made it fail. A precondition
     * of 0 proves nothing, for it holds again once its key is gone.
     */
    boolean isSettled(WatchCache watchCache) {
        return preconditions.entrySet().stream()
                .anyMatch(
                        precondition ->
                                precondition.getValue() != 0
                                        && watchCache.isSuperseded(
                                                precondition.getKey(), precondition.getValue()));
    }

    /** Whether it can be applied only on a certain existing revision of the key. */
    boolean isFencedBy(String key) {
        return preconditions.getOrDefault(key, 0L) != 0;
    }

    int preconditionCount() {
        return preconditions.size();
    }

    /** The operations by key, unmodifiable. */
    Map<String, Operation> operations() {
        return Collections.unmodifiableMap(operations);
    }

    /** The body of the commit request, new at each call. */
    public ObjectNode encode() {
        return StoreCodec.encodeTransaction(preconditions, operations);
    }

    /** What became of a transaction. Not written to the wire or the store. */
    public enum Result {
        /** Applied. */
        COMMITTED,
        /** A precondition failed; nothing was applied. */
        CONFLICT,
        /** Certainly not applied: the store's write limit is used up for the moment. */
        THROTTLED,
        /** Certainly not applied: an outage, an expired lease, an invalid transaction. */
        REJECTED,
        /** No response: it may have been applied, or may still be. */
        INDETERMINATE
    }

    /**
     * The store's response to a transaction.
     *
     * @param result what became of it
     * @param storeRevision the store revision at which it was applied or evaluated; 0 if unknown
     * @param failedKeys keys of the failed preconditions; empty unless the result is a conflict
     */
    public record Outcome(Result result, long storeRevision, Set<String> failedKeys) {}

    /** Takes the outcome on the event loop. */
    @FunctionalInterface
    public interface OutcomeHandler {
        /** Called once for each committed transaction. */
        void onOutcome(Outcome outcome);
    }
}
