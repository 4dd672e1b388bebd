package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.leadership.QuotaReservations;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Manages teams' quota shares during one walk over the queue: records terminations to free quota
 * share, withholds reserved quota share, and accumulates quota share that becomes free for gangs
 * that would otherwise starve.
 */
final class QuotaAccumulator {
    private final SchedulingPlan plan;
    private final JobTable jobs;
    private final String memberId;
    private final TerminationRecorder terminations;

    /**
     * This controller's jobs that their teams' quota is reserved for, each with its first entry in
     * the queue.
     */
    private final Map<Job, QueueOrder.QueueEntry> reservedJobs = new LinkedHashMap<>();

    /** The reserved jobs whose quota counts as used while the current job is placed. */
    private final Set<Job> withheldJobs = new HashSet<>();

    /**
     * Teams whose quota share is insufficient although all their terminations are on record or in
     * the plan.
     */
    private final Set<String> teamsShortOfQuota = new HashSet<>();

    /**
     * By team, the first tier that gets none of the team's quota share, because it is accumulated
     * for a gang.
     */
    private final Map<String, Integer> accumulationTierByTeam = new HashMap<>();

    QuotaAccumulator(
            SchedulingPlan plan, JobTable jobs, String memberId, TerminationRecorder terminations) {
        this.plan = plan;
        this.jobs = jobs;
        this.memberId = memberId;
        this.terminations = terminations;
    }

    /**
     * Reserves the team's quota for a job of this controller; only the job's first entry in the
     * queue counts.
     */
    void reserveFor(QueueOrder.QueueEntry entry) {
        reservedJobs.putIfAbsent(entry.job(), entry);
    }

    /**
     * Withholds the quota share that is reserved for a job from other jobs of its team, but not
     * from the job itself or from more urgent work. Must be called before each job is placed.
     */
    void withholdReserved(QueueOrder.QueueEntry entry) {
        for (QueueOrder.QueueEntry reserved : reservedJobs.values()) {
            Job job = reserved.job();
            if (!job.spec.team().equals(entry.job().spec.team())) {
                continue;
            }
            boolean withhold =
                    job != entry.job()
                            && entry.tier() >= reserved.tier()
                            && plan.unplacedTasks(job) == job.spec.taskCount();
            int reservedTasks = QuotaReservations.reservedTaskCount(job);
            if (withhold && withheldJobs.add(job)) {
                TeamUsage.add(plan.ownUsage, job.spec, reservedTasks);
            } else if (!withhold && withheldJobs.remove(job)) {
                TeamUsage.add(plan.ownUsage, job.spec, -reservedTasks);
            }
        }
    }

    /** Whether the team's quota share is accumulated for a gang that comes before this job. */
    boolean isAccumulatedForOthers(QueueOrder.QueueEntry entry) {
        return entry.tier()
                >= accumulationTierByTeam.getOrDefault(entry.job().spec.team(), Integer.MAX_VALUE);
    }

    /**
     * Records the team's terminations if its quota share doesn't admit this many tasks otherwise.
     */
    void freeQuotaShare(JobSpec spec, int tasks) {
        if (plan.tasksWithinQuotaShare(spec) < tasks && teamsShortOfQuota.add(spec.team())) {
            terminations.recordForQuota(plan, spec, tasks);
            if (plan.tasksWithinQuotaShare(spec) >= tasks) {
                teamsShortOfQuota.remove(spec.team());
            }
        }
    }

    /**
     * Accumulates the team's quota share if the job is a gang that lacks quota share and could ever
     * get enough. This isn't done while quota is withheld from the gang for another job: quota
     * would then be withheld from that job in turn, and neither would ever start.
     */
    void accumulateFor(QueueOrder.QueueEntry entry, int tasks) {
        Job job = entry.job();
        if (job.spec.isGang()
                && !isWithheldFrom(job)
                && plan.tasksWithinQuotaShare(job.spec) < tasks
                && canAccumulate(job, tasks)) {
            accumulationTierByTeam.putIfAbsent(job.spec.team(), entry.tier());
        }
    }

    private boolean isWithheldFrom(Job job) {
        return withheldJobs.stream()
                .anyMatch(withheld -> withheld.spec.team().equals(job.spec.team()));
    }

    /**
     * Whether the team's quota share in this shard would suffice for the gang once everything that
     * completes by itself has completed; if not, accumulating it would only idle the team.
     */
    private boolean canAccumulate(Job gang, int tasks) {
        double serviceCpus = 0;
        for (Job job : jobs.all()) {
            if (job.spec.isService()
                    && job.spec.team().equals(gang.spec.team())
                    && job.controllerId().equals(memberId)) {
                serviceCpus += job.placedTaskCount() * job.spec.cpus();
            }
        }
        return plan.shard.quotaShare(gang.spec.team()).cpus() - serviceCpus
                >= tasks * gang.spec.cpus() - 1e-9;
    }
}
