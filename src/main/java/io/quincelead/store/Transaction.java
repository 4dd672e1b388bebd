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
 * A compare-and-swap transaction of the store: preconditions on mod revisions, followed by puts and
 * removals. Either all operations are applied or none.
 */
public final class Transaction {
    private final Map<String, Long> preconditions = new LinkedHashMap<>();
    private final Map<String, Operation> operations = new LinkedHashMap<>();

    /**
     * A put or removal of a key.
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
     * Adds the precondition that the key has this mod revision, or that it doesn't exist if the
     * revision is 0. Replaces an earlier precondition on the same key.
     */
    public Transaction requireRevision(String key, long modRevision) {
        preconditions.put(key, modRevision);
        return this;
    }

    /**
     * Puts a value; replaces an earlier operation on the same key. The value must not be null; it
     * isn't copied, and is encoded when the transaction is sent.
     */
    public Transaction put(String key, JsonNode value) {
        return put(key, value, Operation.NO_LEASE);
    }

    /**
     * Puts a value that the store removes when the lease expires or is revoked; replaces an earlier
     * operation on the same key.
     */
    public Transaction put(String key, JsonNode value, long leaseId) {
        operations.put(key, new Operation(Objects.requireNonNull(value), leaseId));
        return this;
    }

    /** Removes a key; replaces an earlier operation on the same key. */
    public Transaction remove(String key) {
        operations.put(key, Operation.REMOVAL);
        return this;
    }

    /** Whether the transaction puts or removes this key. */
    public boolean writesKey(String key) {
        return operations.containsKey(key);
    }

    /** The number of keys put or removed, which is what the store's write limit counts. */
    public int operationCount() {
        return operations.size();
    }

    /** Whether the transaction has no operations; it may have preconditions. */
    public boolean isEmpty() {
        return operations.isEmpty();
    }

    /**
     * Whether this many more operations and preconditions fit within the store's limits for one
     * transaction.
     */
    public boolean fits(int moreOperations, int morePreconditions, int maxOperations) {
        return operations.size() + moreOperations <= maxOperations
                && preconditions.size() + morePreconditions
                        <= maxOperations * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION;
    }

    /**
     * Adds another transaction's preconditions and operations to this one, so that either both are
     * applied or neither.
     */
    public void merge(Transaction other) {
        preconditions.putAll(other.preconditions);
        operations.putAll(other.operations);
    }

    /**
     * Whether merging the other transaction into this one would lose a condition that one of them
     * depends on: the two require different revisions of a key, or the other transaction writes a
     * key that this one writes or has a precondition on. Not symmetric.
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
     * Whether the store can't apply this transaction any more, and the watch cache contains its
     * changes if it was applied: a precondition can never hold again, and the watch has passed the
     * change that made it fail. A precondition with revision 0 proves nothing, because it holds
     * again once the key is removed.
     */
    boolean isSettled(WatchCache watchCache) {
        return preconditions.entrySet().stream()
                .anyMatch(
                        precondition ->
                                precondition.getValue() != 0
                                        && watchCache.isSuperseded(
                                                precondition.getKey(), precondition.getValue()));
    }

    /** Whether the transaction has a precondition that requires an existing revision of the key. */
    boolean isFencedBy(String key) {
        return preconditions.getOrDefault(key, 0L) != 0;
    }

    int preconditionCount() {
        return preconditions.size();
    }

    /** The operations by key, in the order in which their keys were added; unmodifiable. */
    Map<String, Operation> operations() {
        return Collections.unmodifiableMap(operations);
    }

    /** The body of the commit request; a new object on each call. */
    public ObjectNode encode() {
        return StoreCodec.encodeTransaction(preconditions, operations);
    }

    /** The result of a transaction. Its names are neither sent nor stored. */
    public enum Result {
        /** Applied. */
        COMMITTED,
        /** A precondition failed; nothing was applied. */
        CONFLICT,
        /**
         * Certainly not applied: the store throttled the request because its write limit is used up
         * at present.
         */
        THROTTLED,
        /** Certainly not applied, because of an outage or an expired lease. */
        REJECTED,
        /**
         * Certainly not applied, and never will be as it stands: a key or value can't be encoded,
         * or the store calls the transaction malformed or too large.
         */
        INVALID,
        /**
         * No conclusive response: the transaction may have been applied, or may still be applied
         * later.
         */
        INDETERMINATE
    }

    /**
     * The store's response to a transaction.
     *
     * @param result the result of the transaction
     * @param storeRevision the store revision at which the transaction was applied or evaluated; 0
     *     if unknown
     * @param failedKeys the keys of the failed preconditions; empty unless the result is {@link
     *     Result#CONFLICT}
     */
    public record Outcome(Result result, long storeRevision, Set<String> failedKeys) {}

    /** Receives the outcome of a transaction on the event loop. */
    @FunctionalInterface
    public interface OutcomeHandler {
        /** Called once for each transaction sent or submitted, whatever its result. */
        void onOutcome(Outcome outcome);
    }
}
