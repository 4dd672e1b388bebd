package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec.MalformedJobException;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * The form in which jobs are submitted and stored (protocol, "Users"); maps field names on the wire
 * to the components of {@link JobSpec}. Error messages use the names on the wire.
 */
final class JobSpecCodec {
    private static final int MAX_TEXT_CHARS = 200;
    private static final double MAX_AMOUNT = 1e9;

    private JobSpecCodec() {}

    /** Decodes a submission; {@code node} is null if the body was not a map. */
    static JobSpec decode(ObjectNode node) throws MalformedJobException {
        if (node == null) {
            throw new MalformedJobException("the body must be a CBOR map of at most 64 KiB");
        }
        String jobId = requireText(node, "nameId");
        if (!JobSpec.isValidJobId(jobId)) {
            throw new MalformedJobException("nameId: must look like wk-000412");
        }
        List<String> machineTypes = optionalTexts(node, "shapes");
        int taskCount = requireTaskCount(node);
        // The order of the reads matters: if several fields are invalid, the error names the first.
        double cpus = requireAmount(node, "vcpus");
        double gpus = requireAmount(node, "cards");
        double memoryGb = requireAmount(node, "ramGb");
        return new JobSpec(
                jobId,
                requireText(node, "jobClass"),
                requireText(node, "owner"),
                requireEnum(node, "mode", JobSpec.Mode.values(), JobSpec.Mode::wireName),
                requireEnum(node, "urgency", JobSpec.Priority.values(), JobSpec.Priority::wireName),
                taskCount,
                cpus,
                gpus,
                memoryGb,
                machineTypes,
                optionalText(node, "site"),
                requireBoolean(node, "oneZone"),
                requireBoolean(node, "scatter"),
                requireBoolean(node, "preemptible"),
                requireText(node, "container"),
                requireAmount(node, "sizeGb"),
                requireAmount(node, "runtimeS"),
                requireAmount(node, "snapshotEveryS"),
                requireAmount(node, "snapshotS"),
                node.hasNonNull("dueS") ? requireAmount(node, "dueS") : JobSpec.NO_DEADLINE);
    }

    static ObjectNode encode(JobSpec spec) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("nameId", spec.jobId())
                        .put("jobClass", spec.jobClass())
                        .put("owner", spec.team())
                        .put("mode", spec.mode().wireName())
                        .put("urgency", spec.priority().wireName())
                        .put("members", spec.taskCount())
                        .put("vcpus", spec.cpus())
                        .put("cards", spec.gpus())
                        .put("ramGb", spec.memoryGb());
        if (spec.machineTypes() != null) {
            ArrayNode machineTypes = node.putArray("shapes");
            spec.machineTypes().forEach(machineTypes::add);
        }
        if (spec.zone() != null) {
            node.put("site", spec.zone());
        }
        node.put("oneZone", spec.zoneAffinity())
                .put("scatter", spec.zoneSpread())
                .put("preemptible", spec.preemptible());
        node.put("container", spec.image())
                .put("sizeGb", spec.imageSizeGb())
                .put("runtimeS", spec.runtimeSeconds())
                .put("snapshotEveryS", spec.checkpointIntervalSeconds())
                .put("snapshotS", spec.checkpointSeconds());
        if (spec.deadlineSeconds() >= 0) {
            node.put("dueS", spec.deadlineSeconds());
        }
        return node;
    }

    private static int requireTaskCount(ObjectNode node) throws MalformedJobException {
        JsonNode value = node.get("members");
        if (value == null
                || !value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.asInt() < 1
                || value.asInt() > ApiConstants.MAX_TASKS_PER_JOB) {
            throw new MalformedJobException(
                    "members: must be a whole number from 1 to " + ApiConstants.MAX_TASKS_PER_JOB);
        }
        return value.asInt();
    }

    /** The texts of a list; null if the field is missing or null. */
    private static List<String> optionalTexts(ObjectNode node, String field)
            throws MalformedJobException {
        JsonNode list = node.get(field);
        if (list == null || list.isNull()) {
            return null;
        }
        if (!list.isArray()) {
            throw new MalformedJobException(field + ": must be a list of texts or null");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode text : list) {
            if (!text.isTextual()) {
                throw new MalformedJobException(field + ": must be a list of texts or null");
            }
            texts.add(text.asText());
        }
        return texts;
    }

    private static String requireText(ObjectNode node, String field) throws MalformedJobException {
        JsonNode value = node.get(field);
        if (value == null
                || !value.isTextual()
                || value.asText().isEmpty()
                || value.asText().length() > MAX_TEXT_CHARS) {
            throw new MalformedJobException(
                    field + ": must be a text of 1 to " + MAX_TEXT_CHARS + " characters");
        }
        return value.asText();
    }

    private static String optionalText(ObjectNode node, String field) throws MalformedJobException {
        return node.hasNonNull(field) ? requireText(node, field) : null;
    }

    private static boolean requireBoolean(ObjectNode node, String field)
            throws MalformedJobException {
        JsonNode value = node.get(field);
        if (value == null || !value.isBoolean()) {
            throw new MalformedJobException(field + ": must be true or false");
        }
        return value.asBoolean();
    }

    private static double requireAmount(ObjectNode node, String field)
            throws MalformedJobException {
        JsonNode value = node.get(field);
        if (value == null
                || !value.isNumber()
                || !Double.isFinite(value.asDouble())
                || value.asDouble() < 0
                || value.asDouble() > MAX_AMOUNT) {
            throw new MalformedJobException(
                    field + ": must be a number from 0 to " + (long) MAX_AMOUNT);
        }
        return value.asDouble();
    }

    private static <E> E requireEnum(
            ObjectNode node, String field, E[] constants, Function<E, String> wireName)
            throws MalformedJobException {
        String text = requireText(node, field);
        for (E constant : constants) {
            if (wireName.apply(constant).equals(text)) {
                return constant;
            }
        }
        throw new MalformedJobException(field + ": unknown value \"" + text + "\"");
    }
}
