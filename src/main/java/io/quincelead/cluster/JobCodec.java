package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;

/**
 * The stored form of a job: {@code s} the job as submitted, {@code c} its controller, {@code at}
 * the time of its acceptance, {@code x} that of its cancellation, {@code k} the states of its tasks
 * if a single page is all there is; and the form in which users are told its status.
 */
final class JobCodec {
    private JobCodec() {}

    /**
     * What may change of a job's record; times are wall-clock milliseconds.
     *
     * @param cancelledAtEpochMillis 0: not cancelled
     */
    record JobRecord(
            String controllerId, long acceptedAtEpochMillis, long cancelledAtEpochMillis) {}

    static JobSpec decodeSpec(JsonNode node) throws MalformedRecordException {
        if (!(node.path("s") instanceof ObjectNode spec)) {
            throw new MalformedRecordException("the job as submitted is missing");
        }
        try {
            return JobSpec.decode(spec);
        } catch (JobSpec.MalformedJobException e) {
            throw new MalformedRecordException(e.getMessage(), e);
        }
    }

    static JobRecord decode(JsonNode node) {
        return new JobRecord(
                node.path("c").asText(), node.path("at").asLong(), node.path("x").asLong());
    }

    /** The states of the tasks within the job's record; null where it has none. */
    static JsonNode singlePage(JsonNode node) {
        return node.get("k");
    }

    /**
     * Encodes a job's record.
     *
     * @param taskStates the job's single page; null: it has no record, or pages of their own
     */
    static ObjectNode encode(JobSpec spec, JobRecord record, ObjectNode taskStates) {
        ObjectNode node = WireFormat.newMap();
        node.set("s", spec.encode());
        node.put("c", record.controllerId()).put("at", record.acceptedAtEpochMillis());
        if (record.cancelledAtEpochMillis() > 0) {
            node.put("x", record.cancelledAtEpochMillis());
        }
        if (taskStates != null) {
            node.set("k", taskStates);
        }
        return node;
    }

    /** The status of an unfinished job as users are told it. */
    static ObjectNode encodeStatus(String jobId, TaskStatePage.TaskCounts counts) {
        return WireFormat.newMap()
                .put("nameId", jobId)
                .put("status", counts.placed() > 0 ? "running" : "pending")
                .put("done", counts.completed())
                .put("running", counts.placed());
    }
}
