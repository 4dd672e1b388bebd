package io.quincelead.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Encodes and decodes the messages of the state service's protocol. This is the only class that
 * maps the protocol's field names to the terms of this package: the protocol calls a mod revision
 * {@code stamp}, a store revision {@code generation}, a lease id {@code grant} and a precondition
 * {@code guard}.
 */
final class StoreCodec {
    /** Protocol: the error of a put with a lease that has ended. */
    private static final String EXPIRED_LEASE_ERROR = "no such lease";

    private StoreCodec() {}

    /** Receives the changes of a watch response in the order of their revisions. */
    interface ChangeSink {
        /** The key was created or updated to this value at this mod revision. */
        void onPut(String key, JsonNode value, long modRevision);

        /** The key was removed at this store revision. */
        void onRemove(String key, long revision);
    }

    /** Encodes the body of a request to create a lease. */
    static ObjectNode encodeLeaseRequest(long leaseMillis) {
        return WireFormat.newMap().put("lifeMs", leaseMillis);
    }

    /** Encodes a controller's member record. */
    static ObjectNode encodeMemberRecord(String address, long leaseId) {
        return WireFormat.newMap().put("a", address).put("i", leaseId).put("g", leaseId);
    }

    /** Encodes the body of a commit request. */
    static ObjectNode encodeTransaction(
            Map<String, Long> preconditions, Map<String, Transaction.Operation> operations) {
        ObjectNode body = WireFormat.newMap();
        ArrayNode preconditionNodes = body.putArray("guards");
        preconditions.forEach(
                (key, modRevision) ->
                        preconditionNodes.addObject().put("path", key).put("stamp", modRevision));
        ArrayNode operationNodes = body.putArray("then");
        operations.forEach((key, operation) -> encodeOperation(operationNodes, key, operation));
        return body;
    }

    private static void encodeOperation(
            ArrayNode operationNodes, String key, Transaction.Operation operation) {
        ObjectNode node = operationNodes.addObject();
        if (operation.isRemoval()) {
            node.put("remove", key);
            return;
        }
        node.put("put", key).set("value", operation.value());
        if (operation.leaseId() != Transaction.Operation.NO_LEASE) {
            node.put("grant", operation.leaseId());
        }
    }

    /**
     * Decodes the outcome of a commit request.
     *
     * @param body the response's body; null if it has none
     */
    static Transaction.Outcome decodeOutcome(int status, ObjectNode body) {
        long storeRevision = body == null ? 0 : storeRevision(body);
        return switch (status) {
            case 200 -> outcome(Transaction.Result.COMMITTED, storeRevision);
            case 409 ->
                    new Transaction.Outcome(
                            Transaction.Result.CONFLICT, storeRevision, failedKeys(body));
            case 429 -> outcome(Transaction.Result.THROTTLED, storeRevision);
            case Transport.NOT_SENT -> outcome(Transaction.Result.INVALID, 0);
            case 400 -> outcome(badRequestResult(body), storeRevision);
            case 503 -> outcome(Transaction.Result.REJECTED, storeRevision);
            default -> outcome(Transaction.Result.INDETERMINATE, 0);
        };
    }

    /** A transaction with an expired lease may be sent again with another; no other may. */
    private static Transaction.Result badRequestResult(ObjectNode body) {
        boolean leaseExpired =
                body != null && body.path("error").asText().equals(EXPIRED_LEASE_ERROR);
        return leaseExpired ? Transaction.Result.REJECTED : Transaction.Result.INVALID;
    }

    private static Transaction.Outcome outcome(Transaction.Result result, long storeRevision) {
        return new Transaction.Outcome(result, storeRevision, Set.of());
    }

    private static Set<String> failedKeys(ObjectNode body) {
        Set<String> failedKeys = new HashSet<>();
        if (body != null) {
            for (JsonNode failedKey : body.path("failed")) {
                failedKeys.add(failedKey.asText());
            }
        }
        return Collections.unmodifiableSet(failedKeys);
    }

    /**
     * The store revision at which a response was produced; 0 if the response doesn't contain it.
     */
    static long storeRevision(ObjectNode body) {
        return body.path("generation").asLong();
    }

    /**
     * The mod revision in the response to a read, in a listed item or in a change; 0 if there is
     * none.
     */
    static long modRevision(JsonNode item) {
        return item.path("stamp").asLong();
    }

    /**
     * The lease ID in the response to a lease's creation, or of the lease that a key that was read
     * is attached to; empty if there is none.
     */
    static OptionalLong leaseId(ObjectNode body) {
        JsonNode leaseId = body.path("grant");
        return leaseId.isNumber() ? OptionalLong.of(leaseId.asLong()) : OptionalLong.empty();
    }

    /** Whether a body is a page of a listing. */
    static boolean isPage(ObjectNode body) {
        return body.path("items").isArray();
    }

    /** The items of a page, in the order of their keys. */
    static Iterable<JsonNode> items(ObjectNode page) {
        return page.path("items");
    }

    /** Whether a listing continues after this page. */
    static boolean isTruncated(ObjectNode page) {
        return page.path("truncated").asBoolean();
    }

    /** The key of a listed item. */
    static String key(JsonNode item) {
        return item.path("path").asText();
    }

    /** The value of a listed item or of a change. */
    static JsonNode value(JsonNode item) {
        return item.path("value");
    }

    /**
     * Passes the changes of a watch response to the sink one by one; changes of an unknown form are
     * skipped.
     *
     * @return whether the response contains any changes, including skipped ones
     */
    static boolean decodeChanges(ObjectNode body, ChangeSink sink) {
        JsonNode changes = body.path("news");
        for (JsonNode change : changes) {
            long modRevision = modRevision(change);
            if (change.has("put")) {
                sink.onPut(change.path("put").asText(), value(change), modRevision);
            } else if (change.has("remove")) {
                sink.onRemove(change.path("remove").asText(), modRevision);
            }
        }
        return !changes.isEmpty();
    }
}
