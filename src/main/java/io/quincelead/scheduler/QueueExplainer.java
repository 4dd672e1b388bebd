package io.quincelead.scheduler;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.JobClass;
import io.quincelead.policy.OperatorApi;
import io.quincelead.policy.Policy;
import io.quincelead.transport.WireFormat;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Says why a job is where it is in the queue, by the same order that rounds use, over the waiting
 * jobs of all controllers.
 */
public final class QueueExplainer {
    private final EventLoop loop;
    private final Settings settings;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final Policy policy;
    private final QueueOrder queueOrder;

    public QueueExplainer(
            EventLoop loop,
            Settings settings,
            ClusterMembership shards,
            JobTable jobs,
            Policy policy,
            OperatorApi operatorApi) {
        this.loop = loop;
        this.settings = settings;
        this.shards = shards;
        this.jobs = jobs;
        this.policy = policy;
        this.queueOrder = new QueueOrder(settings, policy);
        operatorApi.register("/ops/explain", this::explainJob);
        operatorApi.register("/ops/queue", this::describeQueue);
    }

    private List<QueueOrder.RankedJob> rankWaitingJobs() {
        long wallMillis = loop.wallClockMillis();
        Set<Job> withinGuarantee = queueOrder.jobsWithinGuarantee(jobs.jobsOldestFirst());
        List<QueueOrder.RankedJob> ranked = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (!job.isCancelled() && job.waitingTaskCount() > 0) {
                ranked.add(queueOrder.rank(job, withinGuarantee.contains(job), wallMillis));
            }
        }
        ranked.sort(QueueOrder.BY_QUEUE_ORDER);
        return ranked;
    }

    /** The waiting jobs in their order; of each, what operators' records make of it. */
    private void describeQueue(ObjectNode body, OperatorApi.Responder reply) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        int limit = body.path("most").asInt(200);
        for (QueueOrder.RankedJob ranked : rankWaitingJobs()) {
            if (list.size() >= limit) {
                break;
            }
            JobClass jobClass = ranked.effectivePriority().jobClass();
            list.addObject()
                    .put("job", ranked.job().spec.jobId())
                    .put("tier", ranked.orderingTier())
                    .put("rank", ranked.effectivePriority().rank())
                    .put("class", jobClass == null ? "" : jobClass.name())
                    .put("covered", ranked.effectivePriority().isCovered());
        }
        reply.respondOk(out);
    }

    private void explainJob(ObjectNode body, OperatorApi.Responder reply) {
        String jobId = body.path("job").asText();
        Job job = jobs.get(jobId);
        if (job == null) {
            reply.respondError(404, "job: no unfinished job " + jobId + " is known here");
            return;
        }
        List<QueueOrder.RankedJob> queue = rankWaitingJobs();
        long wallMillis = loop.wallClockMillis();
        boolean withinGuarantee =
                queueOrder.jobsWithinGuarantee(jobs.jobsOldestFirst()).contains(job);
        QueueOrder.RankedJob ownRank = queueOrder.rank(job, withinGuarantee, wallMillis);
        EffectivePriority effectivePriority = ownRank.effectivePriority();
        JobClass jobClass = effectivePriority.jobClass();
        ObjectNode out =
                WireFormat.newMap()
                        .put("job", jobId)
                        .put("status", job.encodeStatus().path("status").asText())
                        .put("done", job.completedTaskCount())
                        .put("running", job.possiblyRunningTaskCount())
                        .put("waiting", job.waitingTaskCount());
        out.put("class", jobClass == null ? "" : jobClass.name())
                .put(
                        "classFrom",
                        jobClass == null
                                ? "no class matches"
                                : "generation " + policy.activeClasses().generation());
        out.put("rank", effectivePriority.rank())
                .put(
                        "rankFrom",
                        jobClass == null ? "the middle, for no class matches" : "its class");
        out.put("tier", tierName(ownRank));
        double ageSeconds = (wallMillis - job.acceptedAtEpochMillis) / 1000.0;
        String dueFrom =
                effectivePriority.isCovered()
                                && Math.abs(
                                                ownRank.slackSeconds()
                                                        + job.spec.runtimeSeconds()
                                                                * SchedulerConstants
                                                                        .ESTIMATE_MARGIN_FACTOR
                                                        - (effectivePriority.publicationMillis()
                                                                        - wallMillis)
                                                                / 1000.0)
                                        < 1
                        ? "the publication of "
                                + effectivePriority.occurrence().entryName
                                + " on "
                                + effectivePriority.occurrence().date
                        : job.spec.deadlineSeconds() >= 0
                                ? "its own deadline"
                                : "its class's objective, or twice its estimate";
        double secondsLeft =
                ownRank.slackSeconds()
                        + job.spec.runtimeSeconds() * SchedulerConstants.ESTIMATE_MARGIN_FACTOR;
        out.put("due", Instant.ofEpochMilli(wallMillis + (long) (secondsLeft * 1000)).toString())
                .put("dueFrom", dueFrom);
        out.put("ageS", Math.round(ageSeconds))
                .put("shouldBeginWithinS", effectivePriority.startWithinSeconds())
                .put("entitledTasks", policy.requiredStartedTaskCount(job, wallMillis));
        out.put("controller", job.controllerId);
        out.put("waitsFor", waitingReason(job));
        ArrayNode ahead = out.putArray("ahead");
        int jobsAhead = 0;
        for (QueueOrder.RankedJob ranked : queue) {
            if (ranked.job() == job) {
                break;
            }
            jobsAhead++;
            if (ahead.size() < SchedulerConstants.MAX_EXPLAINED_AHEAD_JOBS) {
                ahead.addObject()
                        .put("job", ranked.job().spec.jobId())
                        .put("tier", tierName(ranked))
                        .put("rank", ranked.effectivePriority().rank())
                        .put("waiting", ranked.job().waitingTaskCount());
            }
        }
        out.put("jobsAhead", job.waitingTaskCount() > 0 ? jobsAhead : 0);
        reply.respondOk(out);
    }

    private static String tierName(QueueOrder.RankedJob ranked) {
        int tier = ranked.orderingTier();
        String covered =
                ranked.effectivePriority().isCovered()
                        ? ", covered by " + ranked.effectivePriority().occurrence().entryName
                        : "";
        return (tier == 0
                        ? "production"
                        : tier == 1
                                ? "high"
                                : tier == QueueOrder.TIER_GUARANTEED
                                        ? "its team's guarantee"
                                        : tier == QueueOrder.TIER_STARVING
                                                ? "late to begin"
                                                : "surplus")
                + covered;
    }

    private String waitingReason(Job job) {
        Settings.Team team = settings.teams().get(job.spec.team());
        if (job.waitingTaskCount() == 0) {
            return "nothing";
        }
        if (!policy.isReady()) {
            return "priority classes that can be read here";
        }
        if (job.notBeforeMillis > loop.nowMillis()) {
            return "its pause after failures";
        }
        if (shards.shardOf(job.controllerId) == null) {
            return "a controller";
        }
        double usedCpus = 0;
        for (Job other : jobs.all()) {
            usedCpus +=
                    other.spec.team().equals(job.spec.team())
                            ? other.possiblyRunningTaskCount() * other.spec.cpus()
                            : 0;
        }
        return team != null && usedCpus + job.spec.cpus() > team.maxCpus()
                ? "its team's limit of " + team.maxCpus() + " CPUs"
                : "room";
    }
}
