package io.quincelead.scheduler;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.PriorityClass;
import io.quincelead.transport.WireFormat;
import java.util.List;

/** Decodes requests and encodes responses of the operators' commands that explain the queue. */
final class ExplanationCodec {
    private static final int DEFAULT_QUEUE_LIMIT = 200;

    private ExplanationCodec() {}

    /** How many queue entries the request asks for. */
    static int decodeLimit(ObjectNode request) {
        return request.path("most").asInt(DEFAULT_QUEUE_LIMIT);
    }

    /** Id of the job that the request asks about; empty if it gives none. */
    static String decodeJobId(ObjectNode request) {
        return request.path("job").asText();
    }

    static ObjectNode encodeQueue(List<QueueOrder.QueueEntry> queue) {
        ObjectNode response = WireFormat.newMap();
        ArrayNode list = response.putArray("list");
        for (QueueOrder.QueueEntry entry : queue) {
            EffectivePriority priority = entry.effectivePriority();
            list.addObject()
                    .put("job", entry.job().spec.jobId())
                    .put("tier", entry.orderingTier())
                    .put("rank", priority.rank())
                    .put("class", className(priority))
                    .put("covered", priority.isCovered());
        }
        return response;
    }

    static ObjectNode encodeExplanation(JobExplanation explanation) {
        QueueOrder.QueueEntry ownEntry = explanation.ownEntry();
        EffectivePriority priority = ownEntry.effectivePriority();
        Job job = ownEntry.job();
        ObjectNode response =
                WireFormat.newMap()
                        .put("job", job.spec.jobId())
                        .put("status", job.encodeStatus().path("status").asText())
                        .put("done", job.completedTaskCount())
                        .put("running", job.possiblyRunningTaskCount())
                        .put("waiting", job.waitingTaskCount())
                        .put("class", className(priority))
                        .put("classFrom", explanation.classSource())
                        .put("rank", priority.rank())
                        .put("rankFrom", explanation.rankSource())
                        .put("tier", explanation.tierName())
                        .put("due", explanation.due().toString())
                        .put("dueFrom", explanation.dueSource())
                        .put("ageS", Math.round(explanation.ageSeconds()))
                        .put("shouldBeginWithinS", priority.startWithinSeconds())
                        .put("entitledTasks", explanation.entitledTasks())
                        .put("controller", job.controllerId())
                        .put("waitsFor", explanation.waitsFor());
        ArrayNode ahead = response.putArray("ahead");
        for (QueueOrder.QueueEntry entry : explanation.firstJobsAhead()) {
            ahead.addObject()
                    .put("job", entry.job().spec.jobId())
                    .put("tier", QueueExplainer.tierName(entry))
                    .put("rank", entry.effectivePriority().rank())
                    .put("waiting", entry.job().waitingTaskCount());
        }
        return response.put("jobsAhead", explanation.jobsAheadCount());
    }

    private static String className(EffectivePriority priority) {
        PriorityClass jobClass = priority.priorityClass();
        return jobClass == null ? "" : jobClass.name();
    }
}
