package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.transport.WireFormat;
import java.util.Map;

/** How long a job's record can become over the life of the job. */
public final class JobRecordSize {
    private static final int BYTES_PER_KB = 1024;

    private JobRecordSize() {}

    /**
     * The longest field of a job whose record would outgrow the store's limit at some time: with
     * all of its placements, if they share the record, and with its cancellation. Null if the
     * record always fits.
     *
     * @param maxValueKb the store's limit on one value, in KiB
     */
    public static String oversizedField(JobSpec spec, double maxValueKb) {
        return maxBytes(spec) <= maxValueKb * BYTES_PER_KB ? null : longestField(spec.encode());
    }

    private static long maxBytes(JobSpec spec) {
        int tasksInRecord =
                spec.taskCount() <= RecordConstants.TASKS_PER_STATE_PAGE ? spec.taskCount() : 0;
        return encodedBytes(spec.encode())
                + RecordConstants.MAX_JOB_RECORD_OVERHEAD_BYTES
                + (long) tasksInRecord * RecordConstants.MAX_PLACEMENT_BYTES;
    }

    private static String longestField(ObjectNode job) {
        String longest = "";
        int longestBytes = 0;
        for (Map.Entry<String, JsonNode> field : job.properties()) {
            int fieldBytes = encodedBytes(field.getValue());
            if (fieldBytes > longestBytes) {
                longest = field.getKey();
                longestBytes = fieldBytes;
            }
        }
        return longest;
    }

    /** The length in JSON, in which the store counts. */
    private static int encodedBytes(JsonNode node) {
        return WireFormat.JSON.encode(node).length;
    }
}
