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

/** The form of priority classes and their head in operators' files and in the store. */
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
     * Reads {@code {"classes":[...]}}.
     *
     * @param source named in errors
     * @throws InvalidRecordException if a field is missing, unknown or wrong, a name stands twice
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
            PriorityClass jobClass = decodeClass(classNodes.get(i), path);
            if (!names.add(jobClass.name())) {
                throw new InvalidRecordException(
                        path + ".name", "\"" + jobClass.name() + "\" stands twice");
            }
            if (jobClass.selector().isShadowedBy(earlierSelectors)) {
                throw new InvalidRecordException(
                        path + ".match",
                        "never matches: every such job ("
                                + jobClass.selector().describe()
                                + ") is matched by a class before it");
            }
            earlierSelectors.add(jobClass.selector());
            classes.add(jobClass);
        }
        return new PriorityClasses(generation, classes);
    }

    static ObjectNode encode(PriorityClasses classes) {
        ObjectNode node = WireFormat.newMap();
        ArrayNode classNodes = node.putArray("classes");
        classes.all().forEach(jobClass -> classNodes.add(encodeClass(jobClass)));
        return node;
    }

    /** The text of {@link #encode} in parts that each fit one record. */
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

    private static ObjectNode encodeClass(PriorityClass jobClass) {
        ObjectNode node = WireFormat.newMap().put("name", jobClass.name());
        if (!jobClass.description().isEmpty()) {
            node.put("description", jobClass.description());
        }
        node.set("match", encodeSelector(jobClass.selector()));
        node.put("rank", jobClass.rank())
                .put("beginWithinS", jobClass.startWithinSeconds())
                .put("leastShare", jobClass.minStartedShare());
        if (jobClass.preemptionProtection() != PriorityClass.PreemptionProtection.PROTOCOL) {
            node.put("keep", jobClass.preemptionProtection().wireName());
        }
        if (jobClass.priorityFloor() != PriorityClass.PriorityFloor.NONE) {
            node.put("passes", jobClass.priorityFloor().wireName());
        }
        if (jobClass.unreachableZoneTimeoutSeconds() >= 0) {
            node.put("zonePatienceS", jobClass.unreachableZoneTimeoutSeconds());
        }
        if (jobClass.minShareAfterZoneLoss() > 0) {
            node.put("zoneSpare", jobClass.minShareAfterZoneLoss());
        }
        return node;
    }

    /**
     * Reads a selector; a missing field matches any job.
     *
     * @param path named in errors
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

    /** The text in a record that holds a part of a generation. */
    static String decodePart(JsonNode node) {
        return node.path("t").asText();
    }

    static ObjectNode encodePart(String text) {
        return WireFormat.newMap().put("t", text);
    }

    /** The generation that a controller says it can't read. */
    static long decodeUnreadable(JsonNode node) {
        return node.path("g").asLong();
    }

    static ObjectNode encodeUnreadable(long generation) {
        return WireFormat.newMap().put("g", generation);
    }
}
