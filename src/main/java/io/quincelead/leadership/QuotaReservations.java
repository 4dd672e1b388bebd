package io.quincelead.leadership;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which overdue first starts a team's quota is reserved for. Arrays that refill each CPU as it
 * comes free would otherwise keep the quota of a team at its limit from jobs of other controllers,
 * and from gangs, which need all of theirs at one time.
 *
 * <p>The most urgent, oldest urgent gang comes first, with all its CPUs and GPUs, if less urgent
 * work alone keeps it from its quota and from its machines: quota that waits for anything else
 * would idle. Where there is none, one gang of a team and the first task of one other job, the
 * oldest each, come before all other work of normal priority until they have started.
 *
 * <p>Decided from records and the time of day alone: the leader and the job's controller come to
 * the same answer, and so does a new leader.
 */
public final class QuotaReservations {
    /** Overdue work counts as normal; what is more urgent comes before what is reserved. */
    static final int DEFAULT_RESERVATION_PRIORITY = JobSpec.Priority.NORMAL.ordinal();

    /** CPUs or GPUs; smaller differences are rounding. */
    private static final double ROUNDING_SLACK = 1e-9;

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingLong(Job::acceptedAtEpochMillis)
                    .thenComparing(job -> job.spec.jobId());

    private static final Comparator<Job> MOST_URGENT_THEN_OLDEST_FIRST =
            Comparator.comparing((Job job) -> job.spec.priority()).thenComparing(OLDEST_FIRST);

    private final Map<String, Settings.Team> teams;
    private final JobTable jobs;
    private final Policy policy;
    private final PreemptibleCapacity capacity;

    /** Chooses among these jobs, by the limits of these teams and by these machines. */
    public QuotaReservations(
            Map<String, Settings.Team> teams,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog machineTypes,
            Policy policy) {
        this.teams = teams;
        this.jobs = jobs;
        this.policy = policy;
        this.capacity = new PreemptibleCapacity(machines, machineTypes, jobs);
    }

    /** CPUs and GPUs of a team that are available to some of its work. */
    private static final class Available {
        private double cpus;
        private double gpus;

        private Available(Settings.Team team) {
            cpus = team.maxCpus();
            gpus = team.maxGpus();
        }

        private boolean fits(Job job) {
            int tasks = reservedTaskCount(job);
            return tasks * job.spec.cpus() <= cpus + ROUNDING_SLACK
                    && tasks * job.spec.gpus() <= gpus + ROUNDING_SLACK;
        }

        private void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            gpus -= tasks * spec.gpus();
        }
    }

    /** How many of the job's tasks start together: all of a gang, one of any other job. */
    public static int reservedTaskCount(Job job) {
        return job.spec.isGang() ? job.spec.taskCount() : 1;
    }

    /** Before whose other demand these reserved jobs come: the ordinal of a priority. */
    static int reservationPriority(List<Job> reserved) {
        return reserved.isEmpty()
                ? DEFAULT_RESERVATION_PRIORITY
                : Math.min(DEFAULT_RESERVATION_PRIORITY, reserved.get(0).spec.priority().ordinal());
    }

    /**
     * The jobs whose first start the team's quota is reserved for: one urgent gang, or else at most
     * one gang and one other job, the older one first. Together they fit into the team's limit
     * beside its services.
     *
     * @param wallMillis now, in milliseconds since 1970
     */
    public List<Job> jobsWithReservedQuota(String teamName, long wallMillis) {
        Settings.Team team = teams.get(teamName);
        if (team == null) {
            return List.of();
        }
        List<Job> urgent = new ArrayList<>();
        List<Job> overdue = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (job.spec.team().equals(teamName) && isEligibleForReservedQuota(job, wallMillis)) {
                (job.spec.isUrgent() ? urgent : overdue).add(job);
            }
        }
        urgent.sort(MOST_URGENT_THEN_OLDEST_FIRST);
        for (Job gang : urgent) {
            if (isKeptFromStartingByLessUrgentWork(gang, team)) {
                return List.of(gang);
            }
        }
        overdue.sort(OLDEST_FIRST);
        return overdue.isEmpty()
                ? List.of()
                // Services run until they are cancelled.
                : oldestThatFit(overdue, availableBeside(team, job -> job.spec.isService()));
    }

    private boolean isKeptFromStartingByLessUrgentWork(Job gang, Settings.Team team) {
        Available available =
                availableBeside(
                        team, job -> job.spec.priority().compareTo(gang.spec.priority()) <= 0);
        return available.fits(gang) && capacity.fits(gang.spec);
    }

    /** What the team's limit leaves beside those of its jobs. */
    private Available availableBeside(Settings.Team team, Predicate<Job> counted) {
        Available available = new Available(team);
        for (Job job : jobs.all()) {
            if (job.spec.team().equals(team.name()) && counted.test(job)) {
                available.subtract(job.spec, job.placedTaskCount());
            }
        }
        return available;
    }

    private static List<Job> oldestThatFit(List<Job> oldestFirst, Available available) {
        List<Job> reserved = new ArrayList<>(2);
        for (Job job : oldestFirst) {
            boolean kindTaken =
                    reserved.stream().anyMatch(other -> other.spec.isGang() == job.spec.isGang());
            if (!kindTaken && available.fits(job)) {
                reserved.add(job);
                available.subtract(job.spec, reservedTaskCount(job));
            }
        }
        return reserved;
    }

    /**
     * Whether no task of the job has started, one is overdue to, and it is the job's turn. One that
     * lacks machines would hold quota for ever, so turns end and begin again. One that has been
     * started several times in vain is left out: it may fail on every machine.
     */
    public boolean isEligibleForReservedQuota(Job job, long wallMillis) {
        return !job.isCancelled()
                && job.completedTaskCount() == 0
                && job.placedTaskCount() == 0
                && job.pageOrEmpty(0).lastAttempt
                        < SchedulerConstants.MAX_ATTEMPTS_WITH_RESERVED_QUOTA
                && (job.spec.isUrgent()
                        ? job.spec.isGang() && overdueSeconds(job, wallMillis) >= 0
                        : policy.requiredStartedTaskCount(job, wallMillis) > 0)
                && isItsTurn(job, wallMillis);
    }

    private double overdueSeconds(Job job, long wallMillis) {
        return (wallMillis - job.acceptedAtEpochMillis()) / 1000.0
                - policy.priorityOf(job).startWithinSeconds()
                        * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
    }

    private boolean isItsTurn(Job job, long wallMillis) {
        double turnSeconds =
                job.spec.isGang()
                        ? SchedulerConstants.RESERVED_GANG_TURN_SECONDS
                        : SchedulerConstants.RESERVED_TASK_TURN_SECONDS;
        double pauseSeconds = SchedulerConstants.RESERVED_QUOTA_PAUSE_SECONDS;
        return overdueSeconds(job, wallMillis) % (turnSeconds + pauseSeconds) < turnSeconds;
    }
}
