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
import java.util.Optional;

/**
 * Which gang a team's quota is reserved for. A gang needs all of its quota at one time, while
 * arrays take each CPU as it comes free; so one gang of a team at a time, the oldest of those that
 * are overdue, comes before all other work of normal priority until it has started. Urgent gangs
 * don't take part: no machines are drained for them, and quota alone would idle.
 *
 * <p>Decided from records and the time of day alone: the leader and the gang's controller come to
 * the same answer, and so does a new leader.
 */
public final class QuotaReservations {
    /** CPUs or GPUs; smaller differences are rounding. */
    private static final double ROUNDING_SLACK = 1e-9;

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingLong(Job::acceptedAtEpochMillis)
                    .thenComparing(job -> job.spec.jobId());

    /** Overdue work counts as normal; what is more urgent comes before the reserved gang. */
    static final int RESERVED_PRIORITY = JobSpec.Priority.NORMAL.ordinal();

    private final Map<String, Settings.Team> teams;
    private final JobTable jobs;
    private final Policy policy;

    /** Chooses among these jobs, by the limits of these teams. */
    public QuotaReservations(Map<String, Settings.Team> teams, JobTable jobs, Policy policy) {
        this.teams = teams;
        this.jobs = jobs;
        this.policy = policy;
    }

    /**
     * The gang that the team's quota is reserved for, if there is one.
     *
     * @param wallMillis now, in milliseconds since 1970
     */
    public Optional<Job> reservedGang(String teamName, long wallMillis) {
        Settings.Team team = teams.get(teamName);
        if (team == null) {
            return Optional.empty();
        }
        List<Job> waitingGangs = new ArrayList<>();
        double serviceCpus = 0;
        double serviceGpus = 0;
        for (Job job : jobs.all()) {
            if (!job.spec.team().equals(teamName)) {
                continue;
            }
            if (waitsTooLong(job, wallMillis)) {
                waitingGangs.add(job);
            } else if (job.spec.isService() && !job.isCancelled()) {
                serviceCpus += job.placedTaskCount() * job.spec.cpus();
                serviceGpus += job.placedTaskCount() * job.spec.gpus();
            }
        }
        // Services run until they are cancelled: beside them there must be enough for the gang.
        double availableCpus = team.maxCpus() - serviceCpus;
        double availableGpus = team.maxGpus() - serviceGpus;
        return waitingGangs.stream()
                .filter(gang -> fits(gang, gang.spec.cpus(), availableCpus))
                .filter(gang -> fits(gang, gang.spec.gpus(), availableGpus))
                .min(OLDEST_FIRST);
    }

    private static boolean fits(Job gang, double amountPerTask, double available) {
        return amountPerTask * gang.spec.taskCount() <= available + ROUNDING_SLACK;
    }

    /**
     * Whether the job is an overdue gang whose turn it is. One that lacks machines would idle its
     * team for ever, so turns end and begin again. One that has been started several times in vain
     * is left out: it may fail on every machine.
     */
    public boolean waitsTooLong(Job job, long wallMillis) {
        return job.spec.isGang()
                && !job.isCancelled()
                && job.completedTaskCount() == 0
                && job.placedTaskCount() == 0
                && job.page(0).lastAttempt < SchedulerConstants.MAX_ATTEMPTS_WITH_RESERVED_QUOTA
                && policy.requiredStartedTaskCount(job, wallMillis) > 0
                && isItsTurn(job, wallMillis);
    }

    private boolean isItsTurn(Job gang, long wallMillis) {
        double overdueSeconds =
                (wallMillis - gang.acceptedAtEpochMillis()) / 1000.0
                        - policy.priorityOf(gang).startWithinSeconds()
                                * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
        double cycleSeconds =
                SchedulerConstants.RESERVED_QUOTA_TURN_SECONDS
                        + SchedulerConstants.RESERVED_QUOTA_PAUSE_SECONDS;
        return overdueSeconds % cycleSeconds < SchedulerConstants.RESERVED_QUOTA_TURN_SECONDS;
    }
}
