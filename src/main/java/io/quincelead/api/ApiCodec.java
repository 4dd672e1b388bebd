package io.quincelead.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.transport.WireFormat;

/**
 * Encodes and decodes the user API's messages and the records that it reads and writes by itself.
 */
final class ApiCodec {
    static final String CANCELLED = "cancelled";
    static final String DONE = "done";

    private ApiCodec() {}

    /** The response to an accepted submission. */
    static ObjectNode encodeAccepted(String jobId) {
        return WireFormat.newMap().put("nameId", jobId).put("status", "pending");
    }

    /** The job ID in a submission that may be malformed; empty where there is none. */
    static String decodeJobId(ObjectNode submission) {
        return submission == null ? "" : submission.path("nameId").asText();
    }

    /**
     * The response that reports a final state; {@code status} is {@link #DONE} or {@link
     * #CANCELLED}.
     */
    static ObjectNode encodeFinalStatus(String jobId, String status, int completedTasks) {
        return WireFormat.newMap()
                .put("nameId", jobId)
                .put("status", status)
                .put("done", completedTasks)
                .put("running", 0);
    }

    /** The stored record of a final state. */
    static ObjectNode encodeFinalRecord(String status, int completedTasks) {
        return WireFormat.newMap().put("s", status).put("n", completedTasks);
    }

    /**
     * The response that reports a final state, from the store's response to a read of its record.
     */
    static ObjectNode finalStatusOf(String jobId, JsonNode readResponse) {
        JsonNode record = readResponse.path("value");
        return encodeFinalStatus(jobId, record.path("s").asText(), record.path("n").asInt());
    }

    /** Whether the job whose record was read has its tasks in separate task state pages. */
    static boolean hasSeparatePages(JsonNode readResponse) {
        return readResponse.path("value").path("s").path("members").asInt()
                > RecordConstants.TASKS_PER_STATE_PAGE;
    }

    /** The task counts in a job record that contains the job's only task state page. */
    static TaskStatePage.TaskCounts countsInJobRecord(JsonNode readResponse) {
        return TaskStatePage.TaskCounts.of(readResponse.path("value").path("k"));
    }

    /** Whether the store's response to a listing has the expected form. */
    static boolean isListing(JsonNode listing) {
        return listing.path("items").isArray();
    }

    /** The sum of {@code before} and the counts of the task state pages in a listing. */
    static TaskStatePage.TaskCounts addListedCounts(
            TaskStatePage.TaskCounts before, JsonNode listing) {
        TaskStatePage.TaskCounts counts = before;
        for (JsonNode item : listing.path("items")) {
            counts = counts.plus(TaskStatePage.TaskCounts.of(item.path("value")));
        }
        return counts;
    }

    /** The key after which a truncated listing continues; null if the listing is complete. */
    static String continuationKey(String previousKey, JsonNode listing) {
        if (!listing.path("truncated").asBoolean()) {
            return null;
        }
        JsonNode items = listing.path("items");
        return items.isEmpty() ? previousKey : items.path(items.size() - 1).path("path").asText();
    }
}
