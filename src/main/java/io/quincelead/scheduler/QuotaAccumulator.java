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
 * Looks after teams' quota shares during one walk over the queue: frees what terminations on record
 * would free, and saves what comes free for gangs that would otherwise starve.
 */
final class QuotaAccumulator {
    private final SchedulingPlan plan;
    private final JobTable jobs;
    private final String memberId;
    private final TerminationRecorder terminations;

    /** Our jobs that their teams' quota is reserved for, at their first position in the queue. */
    private final Map<Job, QueueOrder.QueueEntry> reservedJobs = new LinkedHashMap<>();

    /** Those of them whose need counts as used while the present job is placed. */
    private final Set<Job> withheldJobs = new HashSet<>();

    /**
     * Teams whose terminations are all on record or in the plan, and whose quota share is short all
     * the same.
     */
    private final Set<String> teamsShortOfQuota = new HashSet<>();

    /** By team, the first tier that gets nothing of its quota share, for a gang saves it up. */
    private final Map<String, Integer> savingTierByTeam = new HashMap<>();

    QuotaAccumulator(
            SchedulingPlan plan, JobTable jobs, String memberId, TerminationRecorder terminations) {
        this.plan = plan;
        this.jobs = jobs;
        this.memberId = memberId;
        this.terminations = terminations;
    }

    /**
     * The team's quota is reserved for this job of ours; its first position in the queue counts.
     */
    void reserveFor(QueueOrder.QueueEntry ranked) {
        reservedJobs.putIfAbsent(ranked.job(), ranked);
    }

    /**
     * Withholds the quota share that is reserved for a job while another one of its team is placed,
     * and releases it for the job itself and for what is more urgent. To be called before each job.
     */
    void withholdReserved(QueueOrder.QueueEntry ranked) {
        for (QueueOrder.QueueEntry reserved : reservedJobs.values()) {
            Job job = reserved.job();
            if (!job.spec.team().equals(ranked.job().spec.team())) {
                continue;
            }
            boolean withhold =
                    job != ranked.job()
                            && ranked.tier() >= reserved.tier()
                            && plan.unplacedTasks(job) == job.spec.taskCount();
            int reservedTasks = QuotaReservations.reservedTaskCount(job);
            if (withhold && withheldJobs.add(job)) {
                TeamUsage.add(plan.ownUsage, job.spec, reservedTasks);
            } else if (!withhold && withheldJobs.remove(job)) {
                TeamUsage.add(plan.ownUsage, job.spec, -reservedTasks);
            }
        }
    }

    /** Whether the team's quota share is saved for a gang that comes before this job. */
    boolean isAccumulatedForOthers(QueueOrder.QueueEntry ranked) {
        return ranked.tier()
                >= savingTierByTeam.getOrDefault(ranked.job().spec.team(), Integer.MAX_VALUE);
    }

    /** Records the team's terminations if its quota share doesn't let in so many tasks else. */
    void freeQuotaShare(JobSpec spec, int tasks) {
        if (plan.tasksWithinQuotaShare(spec) < tasks && teamsShortOfQuota.add(spec.team())) {
            terminations.recordForQuota(plan, spec, tasks);
            if (plan.tasksWithinQuotaShare(spec) >= tasks) {
                teamsShortOfQuota.remove(spec.team());
            }
        }
    }

    /**
     * Saves the quota share up if the job is a gang that lacks it and could ever get enough. Not
     * while quota is withheld from it for another job: that one would be held back in turn, and
     * neither would ever start.
     */
    void accumulateFor(QueueOrder.QueueEntry ranked, int tasks) {
        Job job = ranked.job();
        if (job.spec.isGang()
                && !isWithheldFrom(job)
                && plan.tasksWithinQuotaShare(job.spec) < tasks
                && couldSaveUp(job, tasks)) {
            savingTierByTeam.putIfAbsent(job.spec.team(), ranked.tier());
        }
    }

    private boolean isWithheldFrom(Job job) {
        return withheldJobs.stream()
                .anyMatch(withheld -> withheld.spec.team().equals(job.spec.team()));
    }

    /**
     * Whether the team's quota share here would do for the gang when all that completes by itself
     * has completed; if not, saving for it only idles the team.
     */
    private boolean couldSaveUp(Job gang, int tasks) {
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
