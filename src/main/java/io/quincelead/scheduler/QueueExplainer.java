package io.quincelead.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.EffectivePriority;
import io.quincelead.policy.OperatorApi;
import io.quincelead.policy.Policy;
import io.quincelead.policy.PriorityClass;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Explains a job's position in the queue, by the same order that scheduling cycles use, over the
 * waiting jobs of all controllers. Changes nothing.
 */
public final class QueueExplainer {
    private final EventLoop loop;
    private final Settings settings;
    private final ClusterMembership membership;
    private final JobTable jobs;
    private final Policy policy;
    private final QueueOrder queueOrder;

    /** Registers the two operators' commands with the API. */
    public QueueExplainer(
            EventLoop loop,
            Settings settings,
            ClusterMembership membership,
            JobTable jobs,
            Policy policy,
            OperatorApi operatorApi) {
        this.loop = loop;
        this.settings = settings;
        this.membership = membership;
        this.jobs = jobs;
        this.policy = policy;
        this.queueOrder = new QueueOrder(settings, policy);
        operatorApi.register("/ops/explain", this::explainJob);
        operatorApi.register("/ops/queue", this::describeQueue);
    }

    private List<QueueOrder.QueueEntry> rankWaitingJobs() {
        long wallMillis = loop.wallClockMillis();
        Set<Job> withinGuarantee = queueOrder.jobsWithinGuarantee(jobs.jobsOldestFirst());
        List<QueueOrder.QueueEntry> entries = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (!job.isCancelled() && job.waitingTaskCount() > 0) {
                entries.add(queueOrder.entryFor(job, withinGuarantee.contains(job), wallMillis));
            }
        }
        entries.sort(QueueOrder.BY_QUEUE_ORDER);
        return entries;
    }

    /**
     * Responds with the waiting jobs in queue order, each with its priority by the operators'
     * records.
     */
    private void describeQueue(ObjectNode body, OperatorApi.Responder responder) {
        int limit = ExplanationCodec.decodeLimit(body);
        List<QueueOrder.QueueEntry> queue = rankWaitingJobs();
        responder.respondOk(
                ExplanationCodec.encodeQueue(
                        queue.subList(0, Math.max(0, Math.min(limit, queue.size())))));
    }

    private void explainJob(ObjectNode body, OperatorApi.Responder responder) {
        String jobId = ExplanationCodec.decodeJobId(body);
        Job job = jobs.get(jobId);
        if (job == null) {
            responder.respondError(404, "job: no unfinished job " + jobId + " is known here");
            return;
        }
        responder.respondOk(ExplanationCodec.encodeExplanation(explain(job)));
    }

    private JobExplanation explain(Job job) {
        List<QueueOrder.QueueEntry> queue = rankWaitingJobs();
        long wallMillis = loop.wallClockMillis();
        boolean withinGuarantee =
                queueOrder.jobsWithinGuarantee(jobs.jobsOldestFirst()).contains(job);
        QueueOrder.QueueEntry ownEntry = queueOrder.entryFor(job, withinGuarantee, wallMillis);
        double secondsLeft = secondsLeft(ownEntry);
        int position = 0;
        while (position < queue.size() && queue.get(position).job() != job) {
            position++;
        }
        return new JobExplanation(
                ownEntry,
                classSource(ownEntry.effectivePriority().priorityClass()),
                ownEntry.effectivePriority().priorityClass() == null
                        ? "the middle, for no class matches"
                        : "its class",
                tierName(ownEntry),
                Instant.ofEpochMilli(wallMillis + (long) (secondsLeft * 1000)),
                deadlineSource(ownEntry, secondsLeft, wallMillis),
                (wallMillis - job.acceptedAtEpochMillis()) / 1000.0,
                policy.requiredStartedTaskCount(job, wallMillis),
                waitingReason(job),
                queue.subList(0, Math.min(position, SchedulerConstants.MAX_EXPLAINED_AHEAD_JOBS)),
                job.waitingTaskCount() > 0 ? position : 0);
    }

    private String classSource(PriorityClass jobClass) {
        return jobClass == null
                ? "no class matches"
                : "generation " + policy.activeClasses().generation();
    }

    private static double secondsLeft(QueueOrder.QueueEntry entry) {
        return entry.slackSeconds()
                + entry.job().spec.runtimeSeconds() * SchedulerConstants.ESTIMATE_MARGIN_FACTOR;
    }

    private static String deadlineSource(
            QueueOrder.QueueEntry entry, double secondsLeft, long wallMillis) {
        EffectivePriority priority = entry.effectivePriority();
        if (priority.isCovered()
                && Math.abs(secondsLeft - (priority.publicationMillis() - wallMillis) / 1000.0)
                        < 1) {
            return "the publication of "
                    + priority.occurrence().entryName
                    + " on "
                    + priority.occurrence().date;
        }
        return entry.job().spec.deadlineSeconds() >= 0
                ? "its own deadline"
                : "its class's objective, or twice its estimate";
    }

    /** Name of the queue entry's tier as shown to operators. */
    static String tierName(QueueOrder.QueueEntry entry) {
        int tier = entry.orderingTier();
        String name;
        if (tier == JobSpec.Priority.PRODUCTION.ordinal()) {
            name = "production";
        } else if (tier == JobSpec.Priority.HIGH.ordinal()) {
            name = "high";
        } else if (tier == QueueOrder.TIER_GUARANTEED) {
            name = "its team's guarantee";
        } else if (tier == QueueOrder.TIER_STARVING) {
            name = "late to begin";
        } else {
            name = "surplus";
        }
        return entry.effectivePriority().isCovered()
                ? name + ", covered by " + entry.effectivePriority().occurrence().entryName
                : name;
    }

    private String waitingReason(Job job) {
        Settings.Team team = settings.teams().get(job.spec.team());
        if (job.waitingTaskCount() == 0) {
            return "nothing";
        }
        if (!policy.isActiveGenerationReadable()) {
            return "priority classes that can be read here";
        }
        if (job.notBeforeMillis() > loop.nowMillis()) {
            return "its pause after failures";
        }
        if (membership.shardOf(job.controllerId()) == null) {
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
