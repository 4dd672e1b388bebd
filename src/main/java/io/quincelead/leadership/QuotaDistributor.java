package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.QuotaShare;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Splits each team's limit into quota shares, one a live controller. A controller can't use more
 * than the larger of its quota share and its use, and use is known exactly up to the watch cache's
 * revision; so only what is free under the shares <em>on record</em> is given out, and what one
 * write takes away can be given out only by a later one, when the watch cache has caught up.
 */
final class QuotaDistributor {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaDistributor.class);

    /** CPUs or GPUs; a smaller change is rounding. */
    private static final double EPSILON = 1e-6;

    private final EventLoop eventLoop;
    private final Collection<Settings.Team> teams;
    private final WatchCache watchCache;
    private final ClusterMembership membership;
    private final JobTable jobs;
    private final Policy policy;
    private final QuotaReservations reservations;

    /** By team, the gang its quota is reserved for and since when on the loop's clock. */
    private final Map<String, ReservedGang> reservedGangs = new HashMap<>();

    private record ReservedGang(Job gang, long sinceMillis) {}

    QuotaDistributor(
            EventLoop eventLoop,
            Map<String, Settings.Team> teams,
            WatchCache watchCache,
            ClusterMembership membership,
            JobTable jobs,
            Policy policy) {
        this.eventLoop = eventLoop;
        this.teams = teams.values();
        this.watchCache = watchCache;
        this.membership = membership;
        this.jobs = jobs;
        this.policy = policy;
        this.reservations = new QuotaReservations(teams, jobs, policy);
    }

    /** What jobs use and still want of one resource, in CPUs or GPUs. */
    private static final class ResourceDemand {
        double used;
        final double[] wantedByPriority = new double[JobSpec.Priority.values().length];
    }

    /** What jobs of one team use and still want; those of one controller, or of lost ones. */
    private static final class JobDemand {
        final ResourceDemand cpus = new ResourceDemand();
        final ResourceDemand gpus = new ResourceDemand();

        void addUsed(int taskCount, JobSpec spec) {
            cpus.used += taskCount * spec.cpus();
            gpus.used += taskCount * spec.gpus();
        }

        void addWanted(int priority, int taskCount, JobSpec spec) {
            cpus.wantedByPriority[priority] += taskCount * spec.cpus();
            gpus.wantedByPriority[priority] += taskCount * spec.gpus();
        }
    }

    /**
     * A team's demand by live member, in the update's order, that of lost controllers' jobs, and
     * the gang that quota is reserved for; its demand isn't in the others.
     */
    private record TeamDemand(
            Map<String, JobDemand> byMember, JobDemand orphaned, Optional<Job> reservedGang) {}

    private enum Resource {
        CPUS,
        GPUS;

        double of(QuotaShare share) {
            return this == CPUS ? share.cpus() : share.gpus();
        }

        ResourceDemand of(JobDemand demand) {
            return this == CPUS ? demand.cpus : demand.gpus;
        }

        double limitOf(Settings.Team team) {
            return this == CPUS ? team.maxCpus() : team.maxGpus();
        }

        double needOf(Job gang) {
            return gang.spec.taskCount() * (this == CPUS ? gang.spec.cpus() : gang.spec.gpus());
        }
    }

    /** Sets the quota shares that are to change; none while some shard's use isn't known. */
    void distribute(ShardUpdate update) {
        for (Shard shard : membership.shards()) {
            boolean isBehind =
                    watchCache.modRevision(shard.storeKey()) > watchCache.storeRevision();
            // The shard of a member that isn't live may still be in use.
            if (isBehind || !update.isLiveMember(shard.ownerId())) {
                return;
            }
        }
        for (Settings.Team team : teams) {
            TeamDemand demand = demandOf(team, update);
            double[] cpuShares = split(team, demand, Resource.CPUS);
            double[] gpuShares = split(team, demand, Resource.GPUS);
            int index = 0;
            for (String memberId : update.memberIds()) {
                QuotaShare newShare = new QuotaShare(cpuShares[index], gpuShares[index]);
                index++;
                QuotaShare oldShare = update.shardOf(memberId).quotaShare(team.name());
                if (Math.abs(newShare.cpus() - oldShare.cpus()) > EPSILON
                        || Math.abs(newShare.gpus() - oldShare.gpus()) > EPSILON) {
                    update.setQuotaShare(memberId, team.name(), newShare);
                }
            }
        }
    }

    private TeamDemand demandOf(Settings.Team team, ShardUpdate update) {
        TeamDemand demand =
                new TeamDemand(
                        new LinkedHashMap<>(), new JobDemand(), reservedGang(team.name(), update));
        update.memberIds().forEach(memberId -> demand.byMember.put(memberId, new JobDemand()));
        for (Job job : jobs.all()) {
            if (!job.spec.team().equals(team.name())) {
                continue;
            }
            JobDemand memberDemand =
                    membership.shardOf(job.controllerId()) == null
                            ? null
                            : demand.byMember.get(job.controllerId());
            if (memberDemand == null) {
                demand.orphaned.addUsed(job.placedTaskCount(), job.spec);
                continue;
            }
            memberDemand.addUsed(job.placedTaskCount(), job.spec);
            if (!job.isCancelled() && demand.reservedGang.orElse(null) != job) {
                addWanted(memberDemand, job);
            }
        }
        return demand;
    }

    /** The gang that the team's quota is reserved for; none while its controller has no shard. */
    private Optional<Job> reservedGang(String team, ShardUpdate update) {
        Optional<Job> gang =
                reservations
                        .reservedGang(team, eventLoop.wallClockMillis())
                        .filter(job -> membership.shardOf(job.controllerId()) != null)
                        .filter(job -> update.memberIds().contains(job.controllerId()));
        logChange(team, gang.orElse(null));
        return gang;
    }

    private void logChange(String team, Job gang) {
        ReservedGang previous = reservedGangs.get(team);
        if (previous != null && previous.gang == gang || previous == null && gang == null) {
            return;
        }
        if (previous != null) {
            LOG.info(
                    "quota of {} was reserved for {} for {} ms",
                    team,
                    previous.gang.spec.jobId(),
                    eventLoop.nowMillis() - previous.sinceMillis);
        }
        if (gang == null) {
            reservedGangs.remove(team);
        } else {
            LOG.info(
                    "quota of {} is reserved for {}: {} CPUs, {} GPUs",
                    team,
                    gang.spec.jobId(),
                    Resource.CPUS.needOf(gang),
                    Resource.GPUS.needOf(gang));
            reservedGangs.put(team, new ReservedGang(gang, eventLoop.nowMillis()));
        }
    }

    /**
     * What a job needs to be on schedule counts as work of normal priority at least: of a team at
     * its limit, work of low priority would else get nothing.
     */
    private void addWanted(JobDemand demand, Job job) {
        int priority = job.spec.priority().ordinal();
        int requiredTasks =
                policy.requiredStartedTaskCount(job, eventLoop.wallClockMillis())
                        - job.completedTaskCount()
                        - job.possiblyRunningTaskCount();
        int overdueTasks = Math.min(job.pendingTaskCount(), Math.max(0, requiredTasks));
        demand.addWanted(
                Math.min(priority, JobSpec.Priority.NORMAL.ordinal()), overdueTasks, job.spec);
        demand.addWanted(priority, job.pendingTaskCount() - overdueTasks, job.spec);
    }

    /** The next shares of one resource, in the order of the demand's members. */
    private double[] split(Settings.Team team, TeamDemand demand, Resource resource) {
        int memberCount = demand.byMember.size();
        double[] currentShares = new double[memberCount];
        double[] usedByMember = new double[memberCount];
        double[][] wantedByPriority = new double[memberCount][];
        boolean hasNewMember = false;
        QuotaShares.Reservation reservation = QuotaShares.Reservation.NONE;
        int index = 0;
        for (Map.Entry<String, JobDemand> entry : demand.byMember.entrySet()) {
            Shard shard = membership.shardOf(entry.getKey());
            ResourceDemand memberDemand = resource.of(entry.getValue());
            hasNewMember |= shard == null || !shard.quotaShares().containsKey(team.name());
            currentShares[index] =
                    resource.of(shard == null ? QuotaShare.NONE : shard.quotaShare(team.name()));
            usedByMember[index] = memberDemand.used;
            wantedByPriority[index] = memberDemand.wantedByPriority;
            Job gang = demand.reservedGang.orElse(null);
            if (gang != null && gang.controllerId().equals(entry.getKey())) {
                reservation =
                        new QuotaShares.Reservation(
                                index, resource.needOf(gang), QuotaReservations.RESERVED_PRIORITY);
            }
            index++;
        }
        return QuotaShares.split(
                resource.limitOf(team),
                resource.of(demand.orphaned).used,
                currentShares,
                usedByMember,
                wantedByPriority,
                reservation,
                hasNewMember);
    }
}
