package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ClusterMembership.QuotaShare;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.cluster.ClusterRecords;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Splits each team's limit into quota shares, one per live controller. A controller can't use more
 * than the larger of its quota share and its use, and its use is known exactly up to the watch
 * cache's revision. So only quota that is free under the shares <em>on record</em> is granted;
 * quota that one write withdraws can be granted only by a later write, after the watch cache has
 * caught up.
 */
final class QuotaDistributor {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaDistributor.class);

    /** Changes smaller than this, in CPUs or GPUs, are rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final EventLoop eventLoop;
    private final Collection<Settings.Team> teams;
    private final WatchCache watchCache;
    private final ClusterMembership membership;
    private final JobTable jobs;
    private final Policy policy;
    private final QuotaReservations reservations;

    /** By team, the jobs with reserved quota as last logged; a change is logged. */
    private final Map<String, List<Job>> reservedJobsByTeam = new HashMap<>();

    QuotaDistributor(
            EventLoop eventLoop,
            Map<String, Settings.Team> teams,
            WatchCache watchCache,
            ClusterRecords records,
            Policy policy) {
        this.eventLoop = eventLoop;
        this.teams = teams.values();
        this.watchCache = watchCache;
        this.membership = records.membership();
        this.jobs = records.jobs();
        this.policy = policy;
        this.reservations =
                new QuotaReservations(
                        teams, jobs, records.machines(), records.machineTypes(), policy);
    }

    /**
     * A team's demand.
     *
     * @param byMember the demand of each live member, in the update's order
     * @param orphaned the demand of lost controllers' jobs
     * @param reservationPriority ordinal of the priority whose other demand the reserved quota
     *     precedes
     */
    private record TeamDemand(
            Map<String, MemberDemand> byMember, MemberDemand orphaned, int reservationPriority) {}

    private enum Resource {
        CPUS,
        GPUS;

        double of(QuotaShare share) {
            return this == CPUS ? share.cpus() : share.gpus();
        }

        MemberDemand.ResourceDemand of(MemberDemand demand) {
            return this == CPUS ? demand.cpus : demand.gpus;
        }

        double limitOf(Settings.Team team) {
            return this == CPUS ? team.maxCpus() : team.maxGpus();
        }
    }

    /**
     * Sets the quota shares that change. Changes none while the use of some shard is unknown: its
     * record is newer than the watch cache's store revision, or its owner is not live.
     */
    void distribute(ShardUpdate update) {
        for (Shard shard : membership.shards()) {
            boolean isWatchBehind =
                    watchCache.modRevision(shard.storeKey()) > watchCache.storeRevision();
            // The quota shares in the shard of a member that is not live may still be in use.
            if (isWatchBehind || !update.isLiveMember(shard.ownerId())) {
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
                if (Math.abs(newShare.cpus() - oldShare.cpus()) > ROUNDING_TOLERANCE
                        || Math.abs(newShare.gpus() - oldShare.gpus()) > ROUNDING_TOLERANCE) {
                    update.setQuotaShare(memberId, team.name(), newShare);
                }
            }
        }
    }

    private TeamDemand demandOf(Settings.Team team, ShardUpdate update) {
        List<Job> reserved = jobsWithReservedQuota(team.name());
        TeamDemand demand =
                new TeamDemand(
                        new LinkedHashMap<>(),
                        new MemberDemand(),
                        QuotaReservations.reservationPriority(reserved));
        update.memberIds().forEach(memberId -> demand.byMember.put(memberId, new MemberDemand()));
        for (Job job : jobs.all()) {
            if (!job.spec.team().equals(team.name())) {
                continue;
            }
            MemberDemand memberDemand =
                    membership.shardOf(job.controllerId()) == null
                            ? null
                            : demand.byMember.get(job.controllerId());
            if (memberDemand == null) {
                demand.orphaned.addUsed(job.placedTaskCount(), job.spec);
                continue;
            }
            memberDemand.addUsed(job.placedTaskCount(), job.spec);
            int reservedTasks =
                    reserved.contains(job) ? QuotaReservations.reservedTaskCount(job) : 0;
            memberDemand.addReserved(reservedTasks, job.spec);
            if (!job.isCancelled()) {
                addPending(memberDemand, job, reservedTasks);
            }
        }
        return demand;
    }

    private List<Job> jobsWithReservedQuota(String team) {
        List<Job> reserved = reservations.jobsWithReservedQuota(team, eventLoop.wallClockMillis());
        if (!reserved.equals(reservedJobsByTeam.getOrDefault(team, List.of()))) {
            LOG.info(
                    "quota of {} is reserved for {}",
                    team,
                    reserved.stream().map(job -> job.spec.jobId()).toList());
            reservedJobsByTeam.put(team, reserved);
        }
        return reserved;
    }

    /**
     * Adds the demand of a job's pending tasks. Tasks that the job needs to be on schedule count as
     * work of at least normal priority: otherwise low-priority work of a team at its limit would
     * get nothing.
     */
    private void addPending(MemberDemand demand, Job job, int reservedTasks) {
        int priority = job.spec.priority().ordinal();
        int requiredTasks =
                policy.requiredStartedTaskCount(job, eventLoop.wallClockMillis())
                        - job.completedTaskCount()
                        - job.possiblyRunningTaskCount();
        int pendingTasks = job.pendingTaskCount() - reservedTasks;
        int overdueTasks = Math.min(pendingTasks, Math.max(0, requiredTasks - reservedTasks));
        demand.addPending(
                Math.min(priority, JobSpec.Priority.NORMAL.ordinal()), overdueTasks, job.spec);
        demand.addPending(priority, pendingTasks - overdueTasks, job.spec);
    }

    /** Calculates the next shares of one resource, in the order of the demand's members. */
    private double[] split(Settings.Team team, TeamDemand demand, Resource resource) {
        List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
        double[] reservedByMember = new double[demand.byMember.size()];
        boolean hasNewMember = false;
        for (Map.Entry<String, MemberDemand> entry : demand.byMember.entrySet()) {
            Shard shard = membership.shardOf(entry.getKey());
            MemberDemand.ResourceDemand memberDemand = resource.of(entry.getValue());
            hasNewMember |= shard == null || !shard.quotaShares().containsKey(team.name());
            QuotaShare share = shard == null ? QuotaShare.NONE : shard.quotaShare(team.name());
            reservedByMember[members.size()] = memberDemand.reserved();
            members.add(memberDemand.toMemberQuota(resource.of(share)));
        }
        double[] nextShares =
                QuotaShareCalculator.split(
                        resource.limitOf(team),
                        resource.of(demand.orphaned).used(),
                        members,
                        new QuotaShareCalculator.Reservation(
                                reservedByMember, demand.reservationPriority),
                        hasNewMember);
        LOG.debug(
                "quota of {}, {}: by member {}, reserved {}, next shares {}",
                team.name(),
                resource,
                members,
                reservedByMember,
                nextShares);
        return nextShares;
    }
}
