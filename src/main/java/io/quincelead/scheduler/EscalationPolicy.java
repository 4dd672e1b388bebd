package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether jobs that found no free capacity in this controller's shard are escalated to the
 * leader. Remembers from cycle to cycle how long each job has been stuck in this shard.
 */
final class EscalationPolicy {
    /**
     * A machine of another shard that had free capacity for a job at each scan since {@code
     * sinceMillis}.
     */
    private record LastingCapacity(String host, long sinceMillis) {}

    private final EventLoop loop;
    private final CapacityReader capacityReader;
    private final Map<Job, Long> stuckSinceMillis = new HashMap<>();
    private final Map<Job, LastingCapacity> lastingCapacityByJob = new HashMap<>();

    /** Event-loop time from which other shards' free capacity may be scanned again. */
    private long nextScanMillis;

    EscalationPolicy(EventLoop loop, CapacityReader capacityReader) {
        this.loop = loop;
        this.capacityReader = capacityReader;
    }

    /** Forgets all jobs: none waits, so none is stuck. */
    void clear() {
        stuckSinceMillis.clear();
        lastingCapacityByJob.clear();
    }

    Decisions decisionsFor(SchedulingPlan plan) {
        return new Decisions(plan);
    }

    /** The decisions of one cycle. */
    final class Decisions {
        private final SchedulingPlan plan;

        /** Jobs that this cycle leaves waiting in this shard. */
        private final Set<Job> stuckJobs = new HashSet<>();

        /** Machines of other shards, by pool; read on first use. */
        private Map<MachinePool.Key, MachinePool> otherPools;

        /**
         * By demand for which other shards had too little free capacity, how many tasks they had
         * capacity for.
         */
        private final Map<JobSpec, Integer> tasksFound = new HashMap<>();

        private Decisions(SchedulingPlan plan) {
            this.plan = plan;
        }

        /** Marks the job as left waiting in this shard. */
        void addStuck(Job job) {
            stuckJobs.add(job);
        }

        /** Keeps the job stuck if it was stuck before: this cycle could not try to place it. */
        void keepIfStuck(Job job) {
            if (stuckSinceMillis.containsKey(job)) {
                stuckJobs.add(job);
            }
        }

        /** Forgets the jobs that are no longer stuck; if one is stuck again, its time restarts. */
        void forgetPlacedJobs() {
            stuckSinceMillis.keySet().retainAll(stuckJobs);
            lastingCapacityByJob.keySet().retainAll(stuckJobs);
        }

        /**
         * Whether to escalate the job to the leader. If its team's quota share in this shard
         * suffices, a gang, a job with zone affinity or spread, and a job that no pool of this
         * shard allows are escalated at once; any other job when it has waited in this shard for a
         * while and other shards have free capacity that this one lacks. Without the second
         * condition a full cluster would escalate every job to the leader, which would then place
         * all work alone. Free capacity for only a few tasks counts once it has lasted for a while:
         * if a team at its limit has its quota share at controllers without free capacity, such
         * capacity in other shards would stay unused until running tasks end.
         */
        boolean shouldEscalate(Job job) {
            JobSpec spec = job.spec;
            if (plan.tasksWithinQuotaShare(spec) < (spec.isGang() ? job.pendingTaskCount() : 1)) {
                return isGangShortOfQuotaTooLong(job);
            }
            if (spec.isGang()
                    || spec.zoneAffinity()
                    || spec.zoneSpread()
                    || plan.pools.values().stream().noneMatch(pool -> pool.allows(spec))) {
                return true;
            }
            stuckJobs.add(job);
            if (stuckMillis(job) < SchedulerConstants.ESCALATE_AFTER_MILLIS
                    || loop.nowMillis() < nextScanMillis && otherPools == null) {
                return false;
            }
            nextScanMillis =
                    loop.nowMillis() + SchedulerConstants.OTHER_SHARDS_CHECK_INTERVAL_MILLIS;
            return hasCapacityElsewhere(job);
        }

        /**
         * Whether the job is a gang that has lacked its team's quota share in this shard for too
         * long. Quota share moves to where the demand is, but two gangs on two controllers could
         * each be given half of what they need, indefinitely; the leader serves one after the
         * other.
         */
        private boolean isGangShortOfQuotaTooLong(Job job) {
            stuckJobs.add(job);
            return job.spec.isGang()
                    && stuckMillis(job) >= SchedulerConstants.ESCALATE_GANG_AFTER_MILLIS;
        }

        private long stuckMillis(Job job) {
            long sinceMillis = stuckSinceMillis.computeIfAbsent(job, j -> loop.nowMillis());
            return loop.nowMillis() - sinceMillis;
        }

        private boolean hasCapacityElsewhere(Job job) {
            JobSpec spec = job.spec;
            int minTasks = Math.min(job.pendingTaskCount(), SchedulerConstants.MIN_ESCALATED_TASKS);
            if (isKnownToLackCapacity(spec, minTasks)) {
                return false;
            }
            int tasksElsewhere = 0;
            String hostWithCapacity = null;
            boolean capacityLasts = false;
            LastingCapacity previous = lastingCapacityByJob.get(job);
            for (MachinePool pool : otherPools().values()) {
                for (FreeCapacity machine : pool.machinesIf(pool.allows(spec))) {
                    int capacity = machine.taskCapacity(spec);
                    tasksElsewhere += capacity;
                    if (tasksElsewhere >= minTasks) {
                        return true;
                    }
                    hostWithCapacity = capacity > 0 ? machine.host : hostWithCapacity;
                    capacityLasts |=
                            capacity > 0 && previous != null && previous.host.equals(machine.host);
                }
            }
            tasksFound.put(spec, tasksElsewhere);
            if (hostWithCapacity == null) {
                lastingCapacityByJob.remove(job);
            } else if (!capacityLasts) {
                lastingCapacityByJob.put(
                        job, new LastingCapacity(hostWithCapacity, loop.nowMillis()));
            }
            return capacityLasts && claimLastingCapacity(spec, previous);
        }

        private boolean isKnownToLackCapacity(JobSpec spec, int minTasks) {
            for (Map.Entry<JobSpec, Integer> entry : tasksFound.entrySet()) {
                if (entry.getValue() < minTasks
                        && UnsatisfiableDemands.isAtLeastAsDemanding(spec, entry.getKey())) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Claims lasting free capacity for one job; otherwise all jobs that wait in this shard
         * would be escalated for it. Free capacity that is reserved for urgent arrivals lasts, too,
         * but isn't available to best-effort work.
         */
        private boolean claimLastingCapacity(JobSpec spec, LastingCapacity capacity) {
            boolean leavesReserve =
                    spec.priority() == JobSpec.Priority.BEST_EFFORT
                            && spec.allowsAnyOffering()
                            && plan.urgentReserveCpus > 0;
            if (leavesReserve
                    || loop.nowMillis() - capacity.sinceMillis
                            < SchedulerConstants.ESCALATE_TO_LASTING_CAPACITY_AFTER_MILLIS) {
                return false;
            }
            lastingCapacityByJob.clear();
            return true;
        }

        private Map<MachinePool.Key, MachinePool> otherPools() {
            if (otherPools == null) {
                otherPools = capacityReader.poolsOfOtherShards(plan.shard);
            }
            return otherPools;
        }
    }
}
