package io.quincelead.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.transport.WireFormat;

/** Field names of the user API's messages and of the records it reads and writes by itself. */
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
     * The response that tells a final state; {@code status} is {@link #DONE} or {@link #CANCELLED}.
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

    /** The response that tells a final state, from the store's answer to a read of its record. */
    static ObjectNode finalStatusOf(String jobId, JsonNode read) {
        JsonNode record = read.path("value");
        return encodeFinalStatus(jobId, record.path("s").asText(), record.path("n").asInt());
    }

    /** Whether the tasks of the job whose record was read are kept in pages of their own. */
    static boolean hasSeparatePages(JsonNode read) {
        return read.path("value").path("s").path("members").asInt()
                > RecordConstants.TASKS_PER_STATE_PAGE;
    }

    /** The task counts in a job record that holds its only page itself. */
    static TaskStatePage.TaskCounts countsInJobRecord(JsonNode read) {
        return TaskStatePage.TaskCounts.of(read.path("value").path("k"));
    }

    /** Whether the store's answer to a listing has the expected form. */
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

    /** The key to continue a truncated listing after; null if it is complete. */
    static String continuationKey(String previousKey, JsonNode listing) {
        if (!listing.path("truncated").asBoolean()) {
            return null;
        }
        JsonNode items = listing.path("items");
        return items.isEmpty() ? previousKey : items.path(items.size() - 1).path("path").asText();
    }
}
