package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** What a user asks for, as submitted. */
public record JobSpec(
        String jobId,
        String jobClass,
        String team,
        Mode mode,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> machineTypes,
        String zone,
        boolean zoneAffinity,
        boolean zoneSpread,
        boolean preemptible,
        String image,
        double imageSizeGb,
        double runtimeSeconds,
        double checkpointIntervalSeconds,
        double checkpointSeconds,
        double deadlineSeconds) {

    private static final Pattern JOB_ID_PATTERN = Pattern.compile("wk-[0-9]{1,40}");
    private static final double MAX_AMOUNT = 1e9;

    /** Kinds of jobs: array, gang and service. */
    public enum Mode {
        ARRAY,
        ENSEMBLE,
        STANDING
    }

    /** Priorities, most urgent first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        BEST_EFFORT
    }

    /** A submission that is not a job. */
    public static final class MalformedJobException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJobException(String message) {
            super(message, null, false, false);
        }
    }

    public static boolean isValidJobId(String jobId) {
        return JOB_ID_PATTERN.matcher(jobId).matches();
    }

    public boolean isGang() {
        return mode == Mode.ENSEMBLE;
    }

    public boolean isService() {
        return mode == Mode.STANDING;
    }

    /** Whether any machine may run it and it is counted in CPUs alone. */
    public boolean isUnconstrained() {
        return mode == Mode.ARRAY
                && gpus == 0
                && machineTypes == null
                && zone == null
                && preemptible
                && !zoneAffinity;
    }

    public static JobSpec decode(ObjectNode node) throws MalformedJobException {
        if (node == null) {
            throw new MalformedJobException("the body must be a CBOR map of at most 64 KiB");
        }
        String jobId = requireText(node, "nameId");
        if (!isValidJobId(jobId)) {
            throw new MalformedJobException("nameId: must look like wk-000412");
        }
        List<String> machineTypes = null;
        JsonNode machineTypesNode = node.get("shapes");
        if (machineTypesNode != null && !machineTypesNode.isNull()) {
            if (!machineTypesNode.isArray()) {
                throw new MalformedJobException("shapes: must be a list of texts or null");
            }
            machineTypes = new ArrayList<>();
            for (JsonNode machineType : machineTypesNode) {
                if (!machineType.isTextual()) {
                    throw new MalformedJobException("shapes: must be a list of texts or null");
                }
                machineTypes.add(machineType.asText());
            }
        }
        JsonNode taskCount = node.get("members");
        if (taskCount == null
                || !taskCount.isIntegralNumber()
                || !taskCount.canConvertToInt()
                || taskCount.asInt() < 1
                || taskCount.asInt() > ApiConstants.MAX_TASKS_PER_JOB) {
            throw new MalformedJobException(
                    "members: must be a whole number from 1 to " + ApiConstants.MAX_TASKS_PER_JOB);
        }
        double cpus = requireAmount(node, "vcpus");
        double gpus = requireAmount(node, "cards");
        double memoryGb = requireAmount(node, "ramGb");
        return new JobSpec(
                jobId,
                requireText(node, "jobClass"),
                requireText(node, "owner"),
                requireEnum(node, "mode", Mode.class),
                requireEnum(node, "urgency", Priority.class),
                taskCount.asInt(),
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
                node.hasNonNull("dueS") ? requireAmount(node, "dueS") : -1);
    }

    private static String requireText(ObjectNode node, String field) throws MalformedJobException {
        JsonNode value = node.get(field);
        if (value == null
                || !value.isTextual()
                || value.asText().isEmpty()
                || value.asText().length() > 200) {
            throw new MalformedJobException(field + ": must be a text of 1 to 200 characters");
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

    private static <E extends Enum<E>> E requireEnum(ObjectNode node, String field, Class<E> type)
            throws MalformedJobException {
        String text = requireText(node, field);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        throw new MalformedJobException(field + ": unknown value \"" + text + "\"");
    }

    public ObjectNode encode() {
        ObjectNode node =
                WireFormat.newMap()
                        .put("nameId", jobId)
                        .put("jobClass", jobClass)
                        .put("owner", team)
                        .put("mode", mode.name().toLowerCase(Locale.ROOT))
                        .put("urgency", priority.name().toLowerCase(Locale.ROOT))
                        .put("members", taskCount)
                        .put("vcpus", cpus)
                        .put("cards", gpus)
                        .put("ramGb", memoryGb);
        if (machineTypes != null) {
            ArrayNode machineTypesNode = node.putArray("shapes");
            machineTypes.forEach(machineTypesNode::add);
        }
        if (zone != null) {
            node.put("site", zone);
        }
        node.put("oneZone", zoneAffinity)
                .put("scatter", zoneSpread)
                .put("preemptible", preemptible);
        node.put("container", image)
                .put("sizeGb", imageSizeGb)
                .put("runtimeS", runtimeSeconds)
                .put("snapshotEveryS", checkpointIntervalSeconds)
                .put("snapshotS", checkpointSeconds);
        if (deadlineSeconds >= 0) {
            node.put("dueS", deadlineSeconds);
        }
        return node;
    }
}
