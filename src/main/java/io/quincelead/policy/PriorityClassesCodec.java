package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Encodes and decodes priority classes in operators' files and in the store, and their head record.
 */
final class PriorityClassesCodec {
    private static final Set<String> SELECTOR_FIELDS =
            Set.of("jobClass", "owner", "urgency", "mode");
    private static final Set<String> CLASS_FIELDS =
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
    private static final int MAX_REASON_CHARS = 200;

    private PriorityClassesCodec() {}

    /**
     * Decodes {@code {"classes":[...]}}.
     *
     * @param source name of the file or generation, for errors
     * @throws InvalidRecordException if a field is missing, unknown or wrong, a name occurs twice
     *     or a class can never match
     */
    static PriorityClasses decode(JsonNode root, long generation, String source)
            throws InvalidRecordException {
        RecordFieldReader fields =
                new RecordFieldReader(root, source, Set.of("classes", "$schema"));
        JsonNode classNodes = fields.get("classes");
        if (classNodes == null
                || !classNodes.isArray()
                || classNodes.size() > PolicyConstants.MAX_CLASSES) {
            throw fields.invalid(
                    "classes",
                    "must be a list of at most " + PolicyConstants.MAX_CLASSES + " classes");
        }
        List<PriorityClass> classes = new ArrayList<>();
        List<JobSelector> earlierSelectors = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classNodes.size(); i++) {
            String path = fields.pathOf("classes[" + i + "]");
            PriorityClass priorityClass = decodeClass(classNodes.get(i), path);
            if (!names.add(priorityClass.name())) {
                throw new InvalidRecordException(
                        path + ".name", "\"" + priorityClass.name() + "\" stands twice");
            }
            if (priorityClass.selector().isShadowedBy(earlierSelectors)) {
                throw new InvalidRecordException(
                        path + ".match",
                        "never matches: every such job ("
                                + priorityClass.selector().describe()
                                + ") is matched by a class before it");
            }
            earlierSelectors.add(priorityClass.selector());
            classes.add(priorityClass);
        }
        return new PriorityClasses(generation, classes);
    }

    static ObjectNode encode(PriorityClasses classes) {
        ObjectNode node = WireFormat.newMap();
        ArrayNode classNodes = node.putArray("classes");
        classes.all().forEach(priorityClass -> classNodes.add(encodeClass(priorityClass)));
        return node;
    }

    /** Splits the text of {@link #encode} into parts that each fit one record. */
    static List<String> encodeParts(PriorityClasses classes) {
        String text = encode(classes).toString();
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < text.length(); i += PolicyConstants.MAX_CLASSES_PART_CHARS) {
            int end = Math.min(text.length(), i + PolicyConstants.MAX_CLASSES_PART_CHARS);
            parts.add(text.substring(i, end));
        }
        return parts;
    }

    private static PriorityClass decodeClass(JsonNode node, String path)
            throws InvalidRecordException {
        RecordFieldReader fields = new RecordFieldReader(node, path, CLASS_FIELDS);
        if (!fields.has("rank")) {
            throw fields.invalid(
                    "rank",
                    "a whole number from 0 to " + PolicyConstants.MAX_RANK + " is required");
        }
        return new PriorityClass(
                fields.readName("name"),
                fields.has("description") ? fields.readText("description", true) : "",
                fields.has("match")
                        ? decodeSelector(fields.get("match"), fields.pathOf("match"))
                        : JobSelector.ANY,
                fields.readInt("rank", 0, PolicyConstants.MAX_RANK, 0),
                fields.readNumber(
                        "beginWithinS",
                        1,
                        PolicyConstants.MAX_START_WITHIN_SECONDS,
                        PolicyConstants.DEFAULT_START_WITHIN_SECONDS),
                fields.readNumber("leastShare", 0, 1, PolicyConstants.DEFAULT_MIN_STARTED_FRACTION),
                fields.readEnum(
                        "keep",
                        PriorityClass.PreemptionProtection.values(),
                        PriorityClass.PreemptionProtection::wireName,
                        PriorityClass.PreemptionProtection.PROTOCOL),
                fields.readEnum(
                        "passes",
                        PriorityClass.PriorityFloor.values(),
                        PriorityClass.PriorityFloor::wireName,
                        PriorityClass.PriorityFloor.NONE),
                fields.readNumber("zonePatienceS", 0, 86_400, -1),
                fields.readNumber("zoneSpare", 0, 1, 0));
    }

    private static ObjectNode encodeClass(PriorityClass priorityClass) {
        ObjectNode node = WireFormat.newMap().put("name", priorityClass.name());
        if (!priorityClass.description().isEmpty()) {
            node.put("description", priorityClass.description());
        }
        node.set("match", encodeSelector(priorityClass.selector()));
        node.put("rank", priorityClass.rank())
                .put("beginWithinS", priorityClass.startWithinSeconds())
                .put("leastShare", priorityClass.minStartedShare());
        if (priorityClass.preemptionProtection() != PriorityClass.PreemptionProtection.PROTOCOL) {
            node.put("keep", priorityClass.preemptionProtection().wireName());
        }
        if (priorityClass.priorityFloor() != PriorityClass.PriorityFloor.NONE) {
            node.put("passes", priorityClass.priorityFloor().wireName());
        }
        if (priorityClass.unreachableZoneTimeoutSeconds() >= 0) {
            node.put("zonePatienceS", priorityClass.unreachableZoneTimeoutSeconds());
        }
        if (priorityClass.minShareAfterZoneLoss() > 0) {
            node.put("zoneSpare", priorityClass.minShareAfterZoneLoss());
        }
        return node;
    }

    /**
     * Decodes a selector; a missing field matches any job.
     *
     * @param path the selector's path, named in errors
     * @throws InvalidRecordException if a field is unknown or wrong
     */
    static JobSelector decodeSelector(JsonNode node, String path) throws InvalidRecordException {
        RecordFieldReader fields = new RecordFieldReader(node, path, SELECTOR_FIELDS);
        return new JobSelector(
                fields.readText("jobClass", false),
                fields.readText("owner", false),
                fields.readEnum(
                        "urgency", JobSpec.Priority.values(), JobSpec.Priority::wireName, null),
                fields.readEnum("mode", JobSpec.Mode.values(), JobSpec.Mode::wireName, null));
    }

    static ObjectNode encodeSelector(JobSelector selector) {
        ObjectNode node = WireFormat.newMap();
        if (selector.jobClass() != null) {
            node.put("jobClass", selector.jobClass());
        }
        if (selector.team() != null) {
            node.put("owner", selector.team());
        }
        if (selector.priority() != null) {
            node.put("urgency", selector.priority().wireName());
        }
        if (selector.mode() != null) {
            node.put("mode", selector.mode().wireName());
        }
        return node;
    }

    static ClassesHead decodeHead(JsonNode node) {
        Map<String, Long> generationByChangeId = new LinkedHashMap<>();
        node.path("changes")
                .forEach(
                        change ->
                                generationByChangeId.put(
                                        change.path(0).asText(), change.path(1).asLong()));
        return new ClassesHead(
                node.path("rules").asLong(),
                node.path("was").asLong(),
                node.path("next").asLong(),
                node.path("last").asLong(),
                generationByChangeId,
                node.path("refused").asLong(),
                node.path("why").asText());
    }

    static ObjectNode encodeHead(ClassesHead head) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("rules", head.activeGeneration())
                        .put("was", head.previousGeneration())
                        .put("next", head.proposedGeneration())
                        .put("last", head.highestGeneration());
        ArrayNode changeNodes = node.putArray("changes");
        head.generationByChangeId()
                .forEach((id, generation) -> changeNodes.addArray().add(id).add(generation));
        if (head.rejectedGeneration() != 0) {
            String reason = head.rejectionReason();
            node.put("refused", head.rejectedGeneration())
                    .put(
                            "why",
                            reason.length() > MAX_REASON_CHARS
                                    ? reason.substring(0, MAX_REASON_CHARS)
                                    : reason);
        }
        return node;
    }

    /** Decodes the text of a record that holds a part of a generation. */
    static String decodePart(JsonNode node) {
        return node.path("t").asText();
    }

    static ObjectNode encodePart(String text) {
        return WireFormat.newMap().put("t", text);
    }

    /** Decodes the generation that a controller reports as unreadable. */
    static long decodeUnreadable(JsonNode node) {
        return node.path("g").asLong();
    }

    static ObjectNode encodeUnreadable(long generation) {
        return WireFormat.newMap().put("g", generation);
    }
}
