package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;

/**
 * The stored form of a job: {@code s} the job as submitted, {@code c} its controller, {@code at}
 * the time of its acceptance, {@code x} the time of its cancellation, {@code k} the states of its
 * tasks if they fit a single page. Also the form of the status that users are given.
 */
final class JobCodec {
    private JobCodec() {}

    /**
     * The fields of a job's record other than the submitted job and the task states; times are
     * wall-clock milliseconds.
     *
     * @param cancelledAtEpochMillis 0: not cancelled
     */
    record JobRecord(
            String controllerId, long acceptedAtEpochMillis, long cancelledAtEpochMillis) {}

    static JobSpec decodeSpec(JsonNode node) throws MalformedRecordException {
        if (!(node.path("s") instanceof ObjectNode spec)) {
            throw new MalformedRecordException("the submitted job is missing from the record");
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

    /** The task states within the job's record; null if it contains none. */
    static JsonNode singlePage(JsonNode node) {
        return node.get("k");
    }

    /**
     * Encodes a job's record.
     *
     * @param taskStates the job's single page; null if it has no record yet or the job has several
     *     pages, which have their own records
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

    /** Encodes the status that users are given for an unfinished job. */
    static ObjectNode encodeStatus(String jobId, TaskStatePage.TaskCounts counts) {
        return WireFormat.newMap()
                .put("nameId", jobId)
                .put("status", counts.placed() > 0 ? "running" : "pending")
                .put("done", counts.completed())
                .put("running", counts.placed());
    }
}
