package io.quincelead.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import java.util.LinkedHashMap;
import java.util.Map;

/** One atomic change of the store: conditions on stamps, then puts and removals. */
public final class Txn {
    private final Map<String, Long> guards = new LinkedHashMap<>();
    private final Map<String, ObjectNode> ops = new LinkedHashMap<>();

    /** The key must have this stamp; 0: it must not exist. */
    public Txn guard(String key, long stamp) {
        guards.put(key, stamp);
        return this;
    }

    public Txn put(String key, JsonNode value) {
        ObjectNode op = Codec.map().put("put", key);
        op.set("value", value);
        ops.put(key, op);
        return this;
    }

    /** A put whose key lives only as long as the hold does. */
    public Txn put(String key, JsonNode value, long grant) {
        put(key, value);
        ops.get(key).put("grant", grant);
        return this;
    }

    public Txn remove(String key) {
        ops.put(key, Codec.map().put("remove", key));
        return this;
    }

    /** Whether it writes this key. */
    public boolean puts(String key) {
        return ops.containsKey(key);
    }

    public int writes() {
        return ops.size();
    }

    public boolean isEmpty() {
        return ops.isEmpty();
    }

    /** Whether this many more changes and guards fit the store's limits. */
    public boolean fits(int moreOps, int moreGuards, int txnOps) {
        return ops.size() + moreOps <= txnOps && guards.size() + moreGuards <= txnOps * Constants.GUARDS_PER_OP;
    }

    /** Adds another change to this one; both then happen or neither. */
    public void merge(Txn other) {
        guards.putAll(other.guards);
        ops.putAll(other.ops);
    }

    /** Whether the two speak of a common key, so that they can't be merged without thought: each keeps what it was decided from. */
    public boolean touches(Txn other) {
        for (Map.Entry<String, Long> g : other.guards.entrySet()) {
            if (!g.getValue().equals(guards.getOrDefault(g.getKey(), g.getValue()))) {
                return true;
            }
        }
        for (String k : other.ops.keySet()) {
            if (ops.containsKey(k) || guards.containsKey(k)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether this can't be carried out any more and all that it may have done is in the mirror: a guard has failed for good, and
     * the watch has been past what made it fail. A guard of 0 proves nothing, for it holds again once its key is gone.
     */
    boolean settled(Mirror mirror) {
        return guards.entrySet().stream().anyMatch(g -> g.getValue() != 0 && mirror.past(g.getKey(), g.getValue()));
    }

    /** Whether it can land only on a certain version of the key. */
    boolean bears(String key) {
        return guards.getOrDefault(key, 0L) != 0;
    }

    int guardCount() {
        return guards.size();
    }

    Map<String, ObjectNode> ops() {
        return ops;
    }

    public ObjectNode encode() {
        ObjectNode body = Codec.map();
        ArrayNode g = body.putArray("guards");
        guards.forEach((k, s) -> g.addObject().put("path", k).put("stamp", s));
        ArrayNode t = body.putArray("then");
        ops.values().forEach(t::add);
        return body;
    }

    /** What became of a transaction. */
    public enum Result {
        /** Applied. */
        DONE,
        /** A guard failed; nothing was applied. */
        CONFLICT,
        /** Certainly not applied: the store's limit of the moment is used up. */
        BUSY,
        /** Certainly not applied: an outage, an expired hold. */
        REFUSED,
        /** No answer: it may have been applied, or may still be. */
        UNKNOWN
    }

    /** The store's answer. */
    public record Outcome(Result result, long generation, java.util.Set<String> failed) { }

    /** Takes the outcome on the loop. */
    @FunctionalInterface
    public interface Done {
        void got(Outcome outcome);
    }
}
