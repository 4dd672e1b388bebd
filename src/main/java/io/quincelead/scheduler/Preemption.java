package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.JobClass;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Stops work that the protocol lets a job displace, as little and as cheap as will do. */
final class Preemption {
    /**
     * One time for the whole round: time passes while it is planned, and a sort must see one order.
     */
    private final long nowMillis;

    private final Settings settings;
    private final JobTable jobs;
    private final SchedulingPlan plan;
    private final Policy policy;

    /** Whether victims should share records, for the store's changes are short. */
    private final boolean shareRecords;

    /**
     * What could be stopped, cheapest first, for those in a hurry and for others, by whom it is
     * for. Made when needed.
     */
    private final Map<List<Object>, PreemptionCandidates> candidates = new HashMap<>();

    /**
     * Demands for which everything that may be stopped is being stopped, without and within a
     * guarantee (by team).
     */
    private final UnsatisfiableDemands unsatisfiable = new UnsatisfiableDemands();

    private final Map<String, UnsatisfiableDemands> unsatisfiableWithinGuarantee = new HashMap<>();

    Preemption(
            EventLoop loop,
            Settings settings,
            JobTable jobs,
            SchedulingPlan plan,
            boolean shareRecords,
            Policy policy) {
        this.policy = policy;
        this.nowMillis = loop.nowMillis();
        this.settings = settings;
        this.jobs = jobs;
        this.plan = plan;
        this.shareRecords = shareRecords;
    }

    /**
     * Returns how many tasks will find no room all the same. {@code zoneLets}: zones where the job
     * may have more tasks.
     */
    int makeRoom(QueueOrder.RankedJob ranked, int unplaced, Predicate<String> zoneAllowed) {
        Job job = ranked.job();
        JobSpec spec = job.spec;
        int needed = Math.min(unplaced, plan.tasksWithinQuotaShare(spec));
        boolean withinGuarantee = ranked.withinGuarantee();
        int tier = ranked.tier();
        if (needed <= 0 || spec.priority() == JobSpec.Priority.BEST_EFFORT && !withinGuarantee) {
            return needed;
        }
        if (withinGuarantee
                ? unsatisfiableWithinGuarantee.containsKey(spec.team())
                        && unsatisfiableWithinGuarantee.get(spec.team()).covers(spec)
                : unsatisfiable.covers(spec)) {
            return needed;
        }
        for (MachinePool pool : plan.pools.values()) {
            if (!pool.suits(spec, tier) || !zoneAllowed.test(pool.zone)) {
                continue;
            }
            for (FreeCapacity machine : pool.machines) {
                int tasks = needed <= 0 ? 0 : Math.min(needed, machine.upcomingTaskCapacity(spec));
                if (tasks > 0) {
                    machine.allocateUpcoming(spec, tasks);
                    needed -= tasks;
                }
            }
        }
        PreemptionCandidates cheapestFirst =
                needed <= 0 ? null : candidatesFor(job, withinGuarantee);
        Set<FreeCapacity> exhaustedMachines = new HashSet<>();
        for (int i = 0; needed > 0; i++) {
            PreemptionCandidates.Candidate candidate = cheapestFirst.get(i);
            if (candidate == null) {
                // What is stopped for one within its guarantee is more than another may stop.
                unsatisfiable.add(spec);
                if (withinGuarantee) {
                    unsatisfiableWithinGuarantee
                            .computeIfAbsent(spec.team(), t -> new UnsatisfiableDemands())
                            .add(spec);
                }
                break;
            }
            Placement placement = candidate.placement();
            FreeCapacity machine = candidate.machine();
            if (exhaustedMachines.contains(machine)
                    || !mayPreempt(job, placement, withinGuarantee)
                    || !machine.pool.suits(spec, tier)
                    || !zoneAllowed.test(machine.pool.zone)
                    || !isRunning(placement)) {
                continue;
            }
            List<Placement> toStop = fewestToStop(job, placement, machine, withinGuarantee);
            if (toStop.isEmpty()) {
                // All that may be stopped there isn't enough, whichever goes first: nothing is
                // stopped for nothing.
                exhaustedMachines.add(machine);
                continue;
            }
            if (!stopAll(toStop, machine)) {
                break;
            }
            // The room this leaves may be more than the job needs.
            unsatisfiable.clear();
            unsatisfiableWithinGuarantee.clear();
            int tasks = Math.min(needed, machine.upcomingTaskCapacity(spec));
            machine.allocateUpcoming(spec, tasks);
            needed -= tasks;
        }
        return needed;
    }

    /**
     * The task and as many others of its machine, the cheapest first, as must go before one of the
     * job fits there; empty if all of them aren't enough. Taken one by one over all machines, many
     * would be stopped and each leave room too small for anybody but its like.
     */
    private List<Placement> fewestToStop(
            Job job, Placement first, FreeCapacity machine, boolean withinGuarantee) {
        List<Placement> chosen = new ArrayList<>(List.of(first));
        if (machine.upcomingTaskCapacityWith(chosen, job.spec) > 0) {
            return chosen;
        }
        MachineLoad load = jobs.loadOf(machine.host);
        List<Placement> others = new ArrayList<>();
        for (int priority = JobSpec.Priority.values().length - 1;
                load != null && priority >= 0;
                priority--) {
            for (Placement placement : load.stoppablePlacements(priority)) {
                if (placement != first
                        && mayPreempt(job, placement, withinGuarantee)
                        && !isNearlyDone(placement)
                        && isRunning(placement)) {
                    others.add(placement);
                }
            }
        }
        others.sort(
                Comparator.comparing((Placement placement) -> placement.job.spec.priority())
                        .reversed()
                        .thenComparingDouble(this::lostCpuSeconds)
                        .thenComparing(Placement::taskName));
        for (Placement placement : others) {
            chosen.add(placement);
            if (machine.upcomingTaskCapacityWith(chosen, job.spec) > 0) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Whether the task is neither stopped nor over in this plan. */
    private boolean isRunning(Placement placement) {
        TaskStatePage.Edit edit =
                plan.edits.get(
                        placement.job.page(
                                placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE));
        return edit == null || edit.isRunning(placement.taskIndex);
    }

    /** Stops all of them, or what the change has room for; false if that isn't all. */
    private boolean stopAll(List<Placement> toStop, FreeCapacity machine) {
        for (Placement placement : toStop) {
            TaskStatePage.Edit edit = plan.edit(placement);
            if (edit == null) {
                return false;
            }
            if (edit.isRunning(placement.taskIndex)) {
                edit.requestStop(placement.taskIndex);
                machine.releaseUpcoming(placement.job.spec);
            }
        }
        return true;
    }

    private PreemptionCandidates candidatesFor(Job job, boolean withinGuarantee) {
        JobSpec spec = job.spec;
        boolean urgent = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
        int highestPriority = spec.priority().ordinal() + (withinGuarantee ? 0 : 1);
        List<Object> key =
                Arrays.asList(
                        urgent,
                        highestPriority,
                        withinGuarantee ? spec.team() : null,
                        spec.machineTypes(),
                        spec.zone(),
                        spec.preemptible());
        return candidates.computeIfAbsent(
                key,
                k -> {
                    List<PreemptionCandidates.Candidate> found = new ArrayList<>();
                    for (MachinePool pool : plan.pools.values()) {
                        for (FreeCapacity machine :
                                pool.matchesConstraints(spec)
                                        ? pool.machines
                                        : List.<FreeCapacity>of()) {
                            MachineLoad load = jobs.loadOf(machine.host);
                            for (int priority = highestPriority;
                                    load != null && priority < JobSpec.Priority.values().length;
                                    priority++) {
                                for (Placement placement : load.stoppablePlacements(priority)) {
                                    if (mayPreempt(job, placement, withinGuarantee)
                                            && !isNearlyDone(placement)) {
                                        found.add(
                                                new PreemptionCandidates.Candidate(
                                                        placement,
                                                        machine,
                                                        lostCpuSeconds(placement),
                                                        plan.entitledTasksOfStarving.containsKey(
                                                                placement.job),
                                                        found.size()));
                                    }
                                }
                            }
                        }
                    }
                    return new PreemptionCandidates(found, urgent, shareRecords);
                });
    }

    private boolean isNearlyDone(Placement placement) {
        JobSpec spec = placement.job.spec;
        double ranSeconds =
                placement.runningSinceMillis == 0
                        ? 0
                        : (nowMillis - placement.runningSinceMillis) / 1000.0;
        return spec.runtimeSeconds() > 0
                && ranSeconds > 0
                && spec.runtimeSeconds() - ranSeconds < SchedulerConstants.NEARLY_DONE_SECONDS
                && ranSeconds < 2 * spec.runtimeSeconds();
    }

    private boolean mayPreempt(Job forJob, Placement placement, boolean withinGuarantee) {
        JobSpec victim = placement.job.spec;
        if (placement.job == forJob) {
            return false;
        }
        if (policy.isInForce() && !policyAllows(forJob, placement, withinGuarantee)) {
            return false;
        }
        if (plan.entitledTasksOfStarving.containsKey(placement.job)
                && QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false)
                        >= QueueOrder.TIER_FIRST_START) {
            // What a job would be left behind by is stopped for urgent work alone: a guarantee
            // takes other surplus, or the two would take turns.
            return false;
        }
        if (victim.priority().ordinal() > forJob.spec.priority().ordinal()) {
            return plan.tier(placement.job)
                    > QueueOrder.tier(forJob.spec.priority().ordinal(), withinGuarantee, false);
        }
        // For a guarantee the protocol lets us stop work of any urgency. We stop only work that
        // comes after this job in the
        // queue: more urgent work would take the room back at once, and the two would displace each
        // other without end. For
        // the same reason a job within its own team's guarantee is left alone, though that team
        // runs more than that besides.
        Settings.Team team = settings.teams().get(victim.team());
        TeamUsage usage = TeamUsage.of(plan.totalUsage, victim.team());
        return withinGuarantee
                && victim.priority() == forJob.spec.priority()
                && !plan.jobsWithinGuarantee.contains(placement.job)
                && !victim.team().equals(forJob.spec.team())
                && team != null
                && (usage.cpus() - victim.cpus() >= team.guaranteedCpus()
                        || victim.gpus() > 0
                                && usage.gpus() - victim.gpus() >= team.guaranteedGpus());
    }

    /** Operators' records only narrow what may be stopped. */
    private boolean policyAllows(Job forJob, Placement placement, boolean withinGuarantee) {
        JobClass.PreemptionProtection keep =
                policy.priorityOf(placement.job).preemptionProtection();
        if (keep == JobClass.PreemptionProtection.NEVER
                || keep == JobClass.PreemptionProtection.URGENT
                        && forJob.spec.priority().ordinal() > JobSpec.Priority.HIGH.ordinal()) {
            return false;
        }
        return !QueueOrder.precedes(
                rankOf(
                        placement.job,
                        plan.jobsWithinGuarantee.contains(placement.job),
                        plan.entitledTasksOfStarving.containsKey(placement.job)),
                rankOf(forJob, withinGuarantee, false));
    }

    private QueueOrder.RankedJob rankOf(Job job, boolean withinGuarantee, boolean starving) {
        return new QueueOrder.RankedJob(
                job,
                job.spec.priority().ordinal(),
                withinGuarantee,
                false,
                0,
                starving,
                false,
                0,
                policy.priorityOf(job),
                1);
    }

    /** CPU seconds of work that stopping the task would lose. */
    private double lostCpuSeconds(Placement placement) {
        if (placement.runningSinceMillis == 0) {
            return 0;
        }
        double ranSeconds = (nowMillis - placement.runningSinceMillis) / 1000.0;
        return (placement.job.spec.checkpointIntervalSeconds() > 0
                        ? placement.job.spec.checkpointSeconds()
                        : ranSeconds)
                * placement.job.spec.cpus();
    }
}
