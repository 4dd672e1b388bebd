package io.quincelead.scheduler;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.JobClass;
import io.quincelead.transport.WireFormat;
import java.util.List;

/** The JSON of the operators' commands that explain the queue. */
final class ExplanationCodec {
    private static final int DEFAULT_QUEUE_LIMIT = 200;

    private ExplanationCodec() {}

    /** How many jobs of the queue are asked for. */
    static int decodeLimit(ObjectNode request) {
        return request.path("most").asInt(DEFAULT_QUEUE_LIMIT);
    }

    /** The job asked about; empty if the request names none. */
    static String decodeJobId(ObjectNode request) {
        return request.path("job").asText();
    }

    static ObjectNode encodeQueue(List<QueueOrder.QueueEntry> queue) {
        ObjectNode response = WireFormat.newMap();
        ArrayNode list = response.putArray("list");
        for (QueueOrder.QueueEntry ranked : queue) {
            EffectivePriority priority = ranked.effectivePriority();
            list.addObject()
                    .put("job", ranked.job().spec.jobId())
                    .put("tier", ranked.orderingTier())
                    .put("rank", priority.rank())
                    .put("class", className(priority))
                    .put("covered", priority.isCovered());
        }
        return response;
    }

    static ObjectNode encodeExplanation(JobExplanation explanation) {
        QueueOrder.QueueEntry ownRank = explanation.ownEntry();
        EffectivePriority priority = ownRank.effectivePriority();
        Job job = ownRank.job();
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
        for (QueueOrder.QueueEntry ranked : explanation.firstJobsAhead()) {
            ahead.addObject()
                    .put("job", ranked.job().spec.jobId())
                    .put("tier", QueueExplainer.tierName(ranked))
                    .put("rank", ranked.effectivePriority().rank())
                    .put("waiting", ranked.job().waitingTaskCount());
        }
        return response.put("jobsAhead", explanation.jobsAheadCount());
    }

    private static String className(EffectivePriority priority) {
        JobClass jobClass = priority.jobClass();
        return jobClass == null ? "" : jobClass.name();
    }
}
