package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Looks after teams' quota shares during one walk over the queue: frees what terminations on record
 * would free, and saves what comes free for gangs that would otherwise starve.
 */
final class QuotaSaving {
    private final SchedulingPlan plan;
    private final JobTable jobs;
    private final String memberId;
    private final TerminationRecorder terminations;

    /** By team, our gang that the team's quota is reserved for. */
    private final Map<String, QueueOrder.RankedJob> reservedGangs = new HashMap<>();

    /** Teams whose quota share counts as used by what is reserved, for the present job. */
    private final Set<String> teamsWithheld = new HashSet<>();

    /**
     * Teams whose terminations are all on record or in the plan, and whose quota share is short all
     * the same.
     */
    private final Set<String> teamsShortOfQuota = new HashSet<>();

    /** By team, the first tier that gets nothing of its quota share, for a gang saves it up. */
    private final Map<String, Integer> savingTierByTeam = new HashMap<>();

    QuotaSaving(
            SchedulingPlan plan, JobTable jobs, String memberId, TerminationRecorder terminations) {
        this.plan = plan;
        this.jobs = jobs;
        this.memberId = memberId;
        this.terminations = terminations;
    }

    /**
     * The team's quota is reserved for this gang of ours; its first position in the queue counts.
     */
    void reserveFor(QueueOrder.RankedJob gang) {
        reservedGangs.putIfAbsent(gang.job().spec.team(), gang);
    }

    /**
     * Withholds the quota share that is reserved for a gang while another job of its team is
     * placed, and releases it for the gang itself and for what is more urgent. To be called before
     * each job.
     */
    void withholdReserved(QueueOrder.RankedJob ranked) {
        String team = ranked.job().spec.team();
        QueueOrder.RankedJob gang = reservedGangs.get(team);
        if (gang == null) {
            return;
        }
        boolean withhold =
                gang.job() != ranked.job()
                        && ranked.tier() >= gang.tier()
                        && plan.unplacedTasks(gang.job()) > 0;
        JobSpec spec = gang.job().spec;
        if (withhold && teamsWithheld.add(team)) {
            TeamUsage.add(plan.ownUsage, spec, spec.taskCount());
        } else if (!withhold && teamsWithheld.remove(team)) {
            TeamUsage.add(plan.ownUsage, spec, -spec.taskCount());
        }
    }

    /** Whether the team's quota share is saved for a gang that comes before this job. */
    boolean isSavedForOthers(QueueOrder.RankedJob ranked) {
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

    /** Saves the quota share up if the job is a gang that lacks it and could ever get enough. */
    void saveFor(QueueOrder.RankedJob ranked, int tasks) {
        Job job = ranked.job();
        if (job.spec.isGang()
                && plan.tasksWithinQuotaShare(job.spec) < tasks
                && couldSaveUp(job, tasks)) {
            savingTierByTeam.putIfAbsent(job.spec.team(), ranked.tier());
        }
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
