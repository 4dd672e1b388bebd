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
 * Whether jobs that found no free capacity in this controller's shard should be escalated to the
 * leader. Remembers from cycle to cycle how long each has been stuck here.
 */
final class EscalationPolicy {
    /** A machine of another shard that had free capacity for a job at each scan since then. */
    private record LastingCapacity(String host, long sinceMillis) {}

    private final EventLoop loop;
    private final CapacityReader capacityReader;
    private final Map<Job, Long> stuckSinceMillis = new HashMap<>();
    private final Map<Job, LastingCapacity> lastingCapacityByJob = new HashMap<>();

    /** When other shards' free capacity may be scanned again. */
    private long nextScanMillis;

    EscalationPolicy(EventLoop loop, CapacityReader capacityReader) {
        this.loop = loop;
        this.capacityReader = capacityReader;
    }

    /** No job waits: none is stuck. */
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

        /** Jobs that this cycle leaves waiting here. */
        private final Set<Job> stuckJobs = new HashSet<>();

        /** Machines of other shards, by pool; read when first needed. */
        private Map<MachinePool.Key, MachinePool> otherPools;

        /**
         * Tasks that other shards had free capacity for, by demands for which that was too little.
         */
        private final Map<JobSpec, Integer> tasksFound = new HashMap<>();

        private Decisions(SchedulingPlan plan) {
            this.plan = plan;
        }

        /** The job is left waiting here. */
        void addStuck(Job job) {
            stuckJobs.add(job);
        }

        /** The job could not be tried: if it was stuck before, it still is. */
        void keepIfStuck(Job job) {
            if (stuckSinceMillis.containsKey(job)) {
                stuckJobs.add(job);
            }
        }

        /** Jobs that are no longer stuck start anew when they are again. */
        void forgetPlacedJobs() {
            stuckSinceMillis.keySet().retainAll(stuckJobs);
            lastingCapacityByJob.keySet().retainAll(stuckJobs);
        }

        /**
         * A job whose machine types this shard hasn't got goes at once; any other one when it has
         * waited here for a while and other shards have free capacity that this one lacks. Without
         * the second condition a full cluster would escalate every job to the leader, which would
         * then place all work alone. A little free capacity counts when it lasts: it is left over
         * by a team at its limit whose quota share lay with controllers without free capacity, for
         * as long as tasks run.
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
         * What the job lacks is its team's quota share here; that moves to where the demand is. But
         * of two gangs on two controllers each could be given half of what it needs, for ever: the
         * leader serves one after the other.
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
         * Free capacity for one job serves one: all that wait here would otherwise go to the leader
         * for it. What best-effort work leaves to urgent arrivals lasts, too, and isn't for it.
         */
        private boolean claimLastingCapacity(JobSpec spec, LastingCapacity capacity) {
            boolean leavesReserve =
                    spec.priority() == JobSpec.Priority.BEST_EFFORT
                            && spec.isUnconstrained()
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
