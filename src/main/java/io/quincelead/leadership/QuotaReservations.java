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
 * Selects the overdue first starts for which a team's quota is reserved. Without reservations,
 * arrays that refill each CPU as it becomes free would keep the quota of a team at its limit from
 * jobs of other controllers, and from gangs, which need all their quota at once.
 *
 * <p>All CPUs and GPUs of an urgent gang are reserved if only less urgent work keeps it from its
 * quota and from its machines: quota reserved while the gang waits for anything else would be idle.
 * Of several such gangs the most urgent, then the oldest one is chosen. If there is none, the
 * oldest gang of the team and the first task of its oldest other job take precedence over all other
 * work of normal priority until they have started.
 *
 * <p>The selection depends only on records and the time of day, so the leader, a new leader and the
 * job's controller come to the same result.
 */
public final class QuotaReservations {
    /** Overdue work counts as normal priority; more urgent work precedes the reservation. */
    static final int DEFAULT_RESERVATION_PRIORITY = JobSpec.Priority.NORMAL.ordinal();

    /** Differences smaller than this, in CPUs or GPUs, are rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final Comparator<Job> OLDEST_FIRST =
            Comparator.comparingLong(Job::acceptedAtEpochMillis)
                    .thenComparing(job -> job.spec.jobId());

    private static final Comparator<Job> MOST_URGENT_THEN_OLDEST_FIRST =
            Comparator.comparing((Job job) -> job.spec.priority()).thenComparing(OLDEST_FIRST);

    private final Map<String, Settings.Team> teams;
    private final JobTable jobs;
    private final Policy policy;
    private final PreemptibleCapacity capacity;

    /**
     * Selects among the given jobs, by the limits of the teams and the capacity of the machines.
     */
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

    /** CPUs and GPUs of a team's limit that are available to certain work of the team. */
    private static final class AvailableQuota {
        private double cpus;
        private double gpus;

        private AvailableQuota(Settings.Team team) {
            cpus = team.maxCpus();
            gpus = team.maxGpus();
        }

        private boolean fits(Job job) {
            int tasks = reservedTaskCount(job);
            return tasks * job.spec.cpus() <= cpus + ROUNDING_TOLERANCE
                    && tasks * job.spec.gpus() <= gpus + ROUNDING_TOLERANCE;
        }

        private void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            gpus -= tasks * spec.gpus();
        }
    }

    /** The number of tasks that quota is reserved for: all of a gang, one of any other job. */
    public static int reservedTaskCount(Job job) {
        return job.spec.isGang() ? job.spec.taskCount() : 1;
    }

    /** The ordinal of the priority whose other demand the reservation for these jobs precedes. */
    static int reservationPriority(List<Job> reserved) {
        return reserved.isEmpty()
                ? DEFAULT_RESERVATION_PRIORITY
                : Math.min(DEFAULT_RESERVATION_PRIORITY, reserved.get(0).spec.priority().ordinal());
    }

    /**
     * The jobs for whose first start the team's quota is reserved: one urgent gang, or else at most
     * one gang and one other job, the older one first, which fit together into the team's limit
     * minus the use of its services.
     *
     * @param wallMillis the current time, in milliseconds since 1970
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
            if (isBlockedOnlyByLessUrgentWork(gang, team)) {
                return List.of(gang);
            }
        }
        overdue.sort(OLDEST_FIRST);
        return overdue.isEmpty()
                ? List.of()
                // Services run until they are cancelled, so their quota does not become free.
                : oldestThatFit(overdue, availableQuota(team, job -> job.spec.isService()));
    }

    private boolean isBlockedOnlyByLessUrgentWork(Job gang, Settings.Team team) {
        AvailableQuota available =
                availableQuota(
                        team, job -> job.spec.priority().compareTo(gang.spec.priority()) <= 0);
        return available.fits(gang) && capacity.fits(gang.spec);
    }

    /** The team's limit minus the use of those of its jobs that are counted. */
    private AvailableQuota availableQuota(Settings.Team team, Predicate<Job> counted) {
        AvailableQuota available = new AvailableQuota(team);
        for (Job job : jobs.all()) {
            if (job.spec.team().equals(team.name()) && counted.test(job)) {
                available.subtract(job.spec, job.placedTaskCount());
            }
        }
        return available;
    }

    private static List<Job> oldestThatFit(List<Job> oldestFirst, AvailableQuota available) {
        List<Job> reserved = new ArrayList<>(2);
        for (Job job : oldestFirst) {
            boolean isKindReserved =
                    reserved.stream().anyMatch(other -> other.spec.isGang() == job.spec.isGang());
            if (!isKindReserved && available.fits(job)) {
                reserved.add(job);
                available.subtract(job.spec, reservedTaskCount(job));
            }
        }
        return reserved;
    }

    /**
     * Whether no task of the job has started, its first start is overdue, and the job is in its
     * turn. A job that lacks machines would hold its reservation indefinitely, so turns alternate
     * with pauses. A job that has failed several attempts is excluded: it may fail on every
     * machine.
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
                && isInTurn(job, wallMillis);
    }

    private double overdueSeconds(Job job, long wallMillis) {
        return (wallMillis - job.acceptedAtEpochMillis()) / 1000.0
                - policy.effectivePriorityOf(job).startWithinSeconds()
                        * SchedulerConstants.OVERDUE_RAMP_START_FRACTION;
    }

    private boolean isInTurn(Job job, long wallMillis) {
        double turnSeconds =
                job.spec.isGang()
                        ? SchedulerConstants.RESERVED_GANG_TURN_SECONDS
                        : SchedulerConstants.RESERVED_TASK_TURN_SECONDS;
        double pauseSeconds = SchedulerConstants.RESERVED_QUOTA_PAUSE_SECONDS;
        return overdueSeconds(job, wallMillis) % (turnSeconds + pauseSeconds) < turnSeconds;
    }
}
