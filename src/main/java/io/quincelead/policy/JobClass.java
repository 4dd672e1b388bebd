package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.transport.WireFormat;
import java.util.Locale;
import java.util.Set;

/**
 * A priority class that operators define. {@code rank}: the smaller, the earlier among waiting work
 * of one tier. {@code beginWithinS}: seconds within which each of its jobs should have begun;
 * {@code leastShare}: part of a job's tasks that should have by then. {@code zonePatienceS}:
 * seconds for which replicas in a zone that is cut off are left there, though they may serve
 * nobody; negative: as without the class. {@code zoneSpare}: part of a service's replicas that
 * should be left when any one zone is lost.
 */
public record JobClass(
        String name,
        String description,
        JobSelector selector,
        int rank,
        double startWithinSeconds,
        double minStartedShare,
        PreemptionProtection preemptionProtection,
        OrderingPriority orderingPriority,
        double unreachableZonePatienceSeconds,
        double minShareAfterZoneLoss) {
    private static final Set<String> FIELDS =
            Set.of(
                    "name",
                    "description",
                    "match",
                    "rank",
                    "beginWithinS",
                    "leastShare",
                    "keep",
                    "passes",
                    "zonePatienceS",
                    "zoneSpare");

    /**
     * Whose work its running tasks may be stopped for. It only narrows what the protocol allows.
     */
    public enum PreemptionProtection {
        /** Whatever the protocol allows. */
        PROTOCOL,
        /** Production and high work alone. */
        URGENT,
        /** Nobody's; drains and cancellations apart. */
        NEVER
    }

    /**
     * Up to which urgency its waiting jobs are ordered as if they were of it; what they may stop
     * stays as it is.
     */
    public enum OrderingPriority {
        NONE,
        NORMAL,
        HIGH,
        PRODUCTION
    }

    static JobClass decode(JsonNode node, String path) throws InvalidRecordException {
        RecordFieldReader fields = new RecordFieldReader(node, path, FIELDS);
        if (!fields.has("rank")) {
            throw fields.invalid(
                    "rank",
                    "a whole number from 0 to " + PolicyConstants.MAX_RANK + " is required");
        }
        return new JobClass(
                fields.readName("name"),
                fields.has("description") ? fields.readText("description", true) : "",
                fields.has("match")
                        ? JobSelector.decode(fields.get("match"), fields.pathOf("match"))
                        : new JobSelector(null, null, null, null),
                fields.readInt("rank", 0, PolicyConstants.MAX_RANK, 0),
                fields.readNumber(
                        "beginWithinS",
                        1,
                        PolicyConstants.MAX_BEGIN_WITHIN_SECONDS,
                        PolicyConstants.DEFAULT_BEGIN_WITHIN_SECONDS),
                fields.readNumber("leastShare", 0, 1, PolicyConstants.DEFAULT_MIN_BEGUN_FRACTION),
                fields.readEnum("keep", PreemptionProtection.class, PreemptionProtection.PROTOCOL),
                fields.readEnum("passes", OrderingPriority.class, OrderingPriority.NONE),
                fields.readNumber("zonePatienceS", 0, 86_400, -1),
                fields.readNumber("zoneSpare", 0, 1, 0));
    }

    ObjectNode encode() {
        ObjectNode node = WireFormat.newMap().put("name", name);
        if (!description.isEmpty()) {
            node.put("description", description);
        }
        node.set("match", selector.encode());
        node.put("rank", rank)
                .put("beginWithinS", startWithinSeconds)
                .put("leastShare", minStartedShare);
        if (preemptionProtection != PreemptionProtection.PROTOCOL) {
            node.put("keep", preemptionProtection.name().toLowerCase(Locale.ROOT));
        }
        if (orderingPriority != OrderingPriority.NONE) {
            node.put("passes", orderingPriority.name().toLowerCase(Locale.ROOT));
        }
        if (unreachableZonePatienceSeconds >= 0) {
            node.put("zonePatienceS", unreachableZonePatienceSeconds);
        }
        if (minShareAfterZoneLoss > 0) {
            node.put("zoneSpare", minShareAfterZoneLoss);
        }
        return node;
    }
}
