package io.quincelead.leadership;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Which overdue first starts a team's quota is reserved for. Arrays that refill each CPU as it
 * comes free would otherwise keep the quota of a team at its limit from jobs of other controllers,
 * and from gangs, which need all of theirs at one time. So one gang of a team and the first task of
 * one other job, the oldest each, come before all other work of normal priority until they have
 * started. Urgent work doesn't take part: no machines are drained for it, and quota alone would
 * idle.
 *
 * <p>Decided from records and the time of day alone: the leader and the job's controller come to
 * the same answer, and so does a new leader.
 */
public final class QuotaReservations {
    /** Overdue work counts as normal; what is more urgent comes before what is reserved. */
    static final int RESERVED_PRIORITY = JobSpec.Priority.NORMAL.ordinal();

    /** CPUs or GPUs; smaller differences are rounding. */
    private static final double ROUNDING_SLACK = 1e-9;

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingLong(Job::acceptedAtEpochMillis)
                    .thenComparing(job -> job.spec.jobId());

    private final Map<String, Settings.Team> teams;
    private final JobTable jobs;
    private final Policy policy;

    /** Chooses among these jobs, by the limits of these teams. */
    public QuotaReservations(Map<String, Settings.Team> teams, JobTable jobs, Policy policy) {
        this.teams = teams;
        this.jobs = jobs;
        this.policy = policy;
    }

    /** CPUs and GPUs of a team that are available to what isn't a service. */
    private static final class Available {
        private double cpus;
        private double gpus;

        private Available(Settings.Team team) {
            cpus = team.maxCpus();
            gpus = team.maxGpus();
        }

        private boolean fits(Job job) {
            int tasks = reservedTasks(job);
            return tasks * job.spec.cpus() <= cpus + ROUNDING_SLACK
                    && tasks * job.spec.gpus() <= gpus + ROUNDING_SLACK;
        }

        private void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            gpus -= tasks * spec.gpus();
        }
    }

    /** How many of the job's tasks start together: all of a gang, one of any other job. */
    public static int reservedTasks(Job job) {
        return job.spec.isGang() ? job.spec.taskCount() : 1;
    }

    /**
     * The jobs whose first start the team's quota is reserved for: at most one gang and one other
     * job, the older one first. Together they fit into the team's limit beside its services.
     *
     * @param wallMillis now, in milliseconds since 1970
     */
    public List<Job> reservedJobs(String teamName, long wallMillis) {
        Settings.Team team = teams.get(teamName);
        if (team == null) {
            return List.of();
        }
        Available available = new Available(team);
        List<Job> overdue = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (!job.spec.team().equals(teamName) || job.isCancelled()) {
                continue;
            }
            if (isOverdueToStart(job, wallMillis)) {
                overdue.add(job);
            }
            if (job.spec.isService()) {
                // Services run until they are cancelled.
                available.subtract(job.spec, job.placedTaskCount());
            }
        }
        overdue.sort(OLDEST_FIRST);
        return oldestThatFit(overdue, available);
    }

    private static List<Job> oldestThatFit(List<Job> oldestFirst, Available available) {
        List<Job> reserved = new ArrayList<>(2);
        for (Job job : oldestFirst) {
            boolean kindTaken =
                    reserved.stream().anyMatch(other -> other.spec.isGang() == job.spec.isGang());
            if (!kindTaken && available.fits(job)) {
                reserved.add(job);
                available.subtract(job.spec, reservedTasks(job));
            }
        }
        return reserved;
    }

    /**
     * Whether no task of the job has started, one is overdue to, and it is the job's turn. One that
     * lacks machines would hold quota for ever, so turns end and begin again. One that has been
     * started several times in vain is left out: it may fail on every machine.
     */
    public boolean isOverdueToStart(Job job, long wallMillis) {
        return !job.isCancelled()
                && job.completedTaskCount() == 0
                && job.placedTaskCount() == 0
                && job.page(0).lastAttempt < SchedulerConstants.MAX_ATTEMPTS_WITH_RESERVED_QUOTA
                && policy.requiredStartedTaskCount(job, wallMillis) > 0
                && isItsTurn(job, wallMillis);
    }

    private boolean isItsTurn(Job job, long wallMillis) {
        double overdueSeconds =
                (wallMillis - job.acceptedAtEpochMillis()) / 1000.0
                        - policy.priorityOf(job).startWithinSeconds()
                                * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
        double turnSeconds =
                job.spec.isGang()
                        ? SchedulerConstants.RESERVED_GANG_TURN_SECONDS
                        : SchedulerConstants.RESERVED_TASK_TURN_SECONDS;
        double pauseSeconds = SchedulerConstants.RESERVED_QUOTA_PAUSE_SECONDS;
        return overdueSeconds % (turnSeconds + pauseSeconds) < turnSeconds;
    }
}
