package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineLoad;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Frees capacity for a job by stopping tasks that it may preempt, as few as suffice and at the
 * smallest loss of work. Created for one plan.
 */
final class Preemption {
    private static final int PRIORITY_COUNT = JobSpec.Priority.values().length;

    /** Identifies jobs for which the same running tasks are candidates, in the same order. */
    private record CandidatesKey(
            boolean urgent,
            int highestPriority,
            String guaranteedTeam,
            List<String> machineTypes,
            String zone,
            boolean preemptible) {}

    private final JobTable jobs;
    private final SchedulingPlan plan;
    private final PreemptionRules rules;

    /** Whether to prefer stopping tasks that share records, because writes are scarce. */
    private final boolean shareRecords;

    /** Candidates by key, collected on first use. */
    private final Map<CandidatesKey, PreemptionCandidates> candidates = new HashMap<>();

    /**
     * Demands of jobs without a guarantee for which everything that may be preempted is being
     * stopped; {@link #unsatisfiableWithinGuarantee} has those within a guarantee, by team.
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
        this.jobs = jobs;
        this.plan = plan;
        this.rules = new PreemptionRules(loop.nowMillis(), settings, plan, policy);
        this.shareRecords = shareRecords;
    }

    /**
     * Frees capacity for tasks of the job that this plan did not place: first claims the capacity
     * of tasks that are being stopped already, then stops more tasks, the cheapest first.
     *
     * @param unplaced tasks that need capacity
     * @param zoneAllowed zones where the job may have more tasks
     * @return how many tasks will still find no free capacity
     */
    int freeCapacityFor(QueueOrder.QueueEntry entry, int unplaced, Predicate<String> zoneAllowed) {
        JobSpec spec = entry.job().spec;
        int needed = Math.min(unplaced, plan.tasksWithinQuotaShare(spec));
        if (needed <= 0
                || spec.priority() == JobSpec.Priority.BEST_EFFORT && !entry.withinGuarantee()
                || isKnownUnsatisfiable(entry)) {
            return needed;
        }
        needed = claimUpcomingCapacity(entry, needed, zoneAllowed);
        return needed <= 0 ? needed : stopCheapestFirst(entry, needed, zoneAllowed);
    }

    private boolean isKnownUnsatisfiable(QueueOrder.QueueEntry entry) {
        JobSpec spec = entry.job().spec;
        if (!entry.withinGuarantee()) {
            return unsatisfiable.covers(spec);
        }
        UnsatisfiableDemands ofTeam = unsatisfiableWithinGuarantee.get(spec.team());
        return ofTeam != null && ofTeam.covers(spec);
    }

    private void rememberUnsatisfiable(QueueOrder.QueueEntry entry) {
        JobSpec spec = entry.job().spec;
        // A job within its guarantee may stop more than one without, so a failure within a
        // guarantee holds without one, too.
        unsatisfiable.add(spec);
        if (entry.withinGuarantee()) {
            unsatisfiableWithinGuarantee
                    .computeIfAbsent(spec.team(), t -> new UnsatisfiableDemands())
                    .add(spec);
        }
    }

    /**
     * Claims the upcoming capacity of tasks that are being stopped; returns how many tasks still
     * need capacity.
     */
    private int claimUpcomingCapacity(
            QueueOrder.QueueEntry entry, int needed, Predicate<String> zoneAllowed) {
        JobSpec spec = entry.job().spec;
        int tier = entry.tier();
        int stillNeeded = needed;
        for (MachinePool pool : plan.pools.values()) {
            if (!pool.suits(spec, tier) || !zoneAllowed.test(pool.zone)) {
                continue;
            }
            for (FreeCapacity machine : pool.machines) {
                stillNeeded -= stillNeeded <= 0 ? 0 : claim(machine, spec, stillNeeded);
            }
        }
        return stillNeeded;
    }

    private static int claim(FreeCapacity machine, JobSpec spec, int needed) {
        int tasks = Math.min(needed, machine.upcomingTaskCapacity(spec));
        if (tasks > 0) {
            machine.allocateUpcoming(spec, tasks);
        }
        return tasks;
    }

    /** Stops candidates until all needed tasks have capacity; returns how many still need it. */
    private int stopCheapestFirst(
            QueueOrder.QueueEntry entry, int needed, Predicate<String> zoneAllowed) {
        Job job = entry.job();
        PreemptionCandidates cheapestFirst = candidatesFor(job, entry.withinGuarantee());
        Set<FreeCapacity> exhaustedMachines = new HashSet<>();
        int stillNeeded = needed;
        for (int i = 0; stillNeeded > 0; i++) {
            PreemptionCandidates.Candidate candidate = cheapestFirst.get(i);
            if (candidate == null) {
                rememberUnsatisfiable(entry);
                break;
            }
            FreeCapacity machine = candidate.machine();
            if (exhaustedMachines.contains(machine) || !isEligible(candidate, entry, zoneAllowed)) {
                continue;
            }
            List<Placement> toStop =
                    fewestToStop(job, candidate.placement(), machine, entry.withinGuarantee());
            if (toStop.isEmpty()) {
                // Stopping everything that may be stopped on this machine isn't enough, whichever
                // task goes first, so none is stopped.
                exhaustedMachines.add(machine);
                continue;
            }
            if (!stopAll(toStop, machine)) {
                break;
            }
            // The freed capacity may be more than the job needs, so other demands may be
            // satisfiable again.
            unsatisfiable.clear();
            unsatisfiableWithinGuarantee.clear();
            stillNeeded -= claim(machine, job.spec, stillNeeded);
        }
        return stillNeeded;
    }

    /**
     * Whether the candidate may be stopped for this job: candidates are shared by all jobs with the
     * same key, and some have been stopped since they were collected.
     */
    private boolean isEligible(
            PreemptionCandidates.Candidate candidate,
            QueueOrder.QueueEntry entry,
            Predicate<String> zoneAllowed) {
        MachinePool pool = candidate.machine().pool;
        return rules.mayPreempt(entry.job(), candidate.placement(), entry.withinGuarantee())
                && pool.suits(entry.job().spec, entry.tier())
                && zoneAllowed.test(pool.zone)
                && isRunning(candidate.placement());
    }

    /**
     * The first task and as many others of its machine, the cheapest first, as must be stopped
     * before one task of the job fits; empty if all of them aren't enough. If tasks were chosen one
     * by one over all machines, many would be stopped and each would free too little for any task
     * larger than itself.
     */
    private List<Placement> fewestToStop(
            Job job, Placement first, FreeCapacity machine, boolean withinGuarantee) {
        List<Placement> chosen = new ArrayList<>(List.of(first));
        if (machine.upcomingTaskCapacityWith(chosen, job.spec) > 0) {
            return chosen;
        }
        for (Placement placement : othersCheapestFirst(job, first, machine, withinGuarantee)) {
            chosen.add(placement);
            if (machine.upcomingTaskCapacityWith(chosen, job.spec) > 0) {
                return chosen;
            }
        }
        return List.of();
    }

    private List<Placement> othersCheapestFirst(
            Job job, Placement first, FreeCapacity machine, boolean withinGuarantee) {
        MachineLoad load = jobs.loadOf(machine.host);
        List<Placement> others = new ArrayList<>();
        for (int priority = PRIORITY_COUNT - 1; load != null && priority >= 0; priority--) {
            for (Placement placement : load.stoppablePlacements(priority)) {
                if (placement != first
                        && rules.mayPreempt(job, placement, withinGuarantee)
                        && !rules.isNearlyDone(placement)
                        && isRunning(placement)) {
                    others.add(placement);
                }
            }
        }
        others.sort(
                Comparator.comparing((Placement placement) -> placement.job.spec.priority())
                        .reversed()
                        .thenComparingDouble(rules::lostCpuSeconds)
                        .thenComparing(Placement::taskId));
        return others;
    }

    /** Whether the task is neither stopped nor terminated in this plan. */
    private boolean isRunning(Placement placement) {
        TaskStatePageEdit edit =
                plan.edits.get(
                        placement.job.pageOrEmpty(
                                placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE));
        return edit == null || edit.hasActivePlacement(placement.taskIndex);
    }

    /**
     * Stops all these tasks, or as many as fit into the transaction; false if not all of them fit.
     */
    private boolean stopAll(List<Placement> toStop, FreeCapacity machine) {
        for (Placement placement : toStop) {
            TaskStatePageEdit edit = plan.edit(placement);
            if (edit == null) {
                return false;
            }
            if (edit.hasActivePlacement(placement.taskIndex)) {
                edit.requestStop(placement.taskIndex);
                machine.releaseUpcoming(placement.job.spec);
            }
        }
        return true;
    }

    private PreemptionCandidates candidatesFor(Job job, boolean withinGuarantee) {
        JobSpec spec = job.spec;
        boolean urgent = spec.isUrgent();
        int highestPriority = spec.priority().ordinal() + (withinGuarantee ? 0 : 1);
        CandidatesKey key =
                new CandidatesKey(
                        urgent,
                        highestPriority,
                        withinGuarantee ? spec.team() : null,
                        spec.machineTypes(),
                        spec.zone(),
                        spec.preemptible());
        return candidates.computeIfAbsent(
                key,
                k ->
                        new PreemptionCandidates(
                                findCandidates(job, highestPriority, withinGuarantee),
                                urgent,
                                shareRecords));
    }

    private List<PreemptionCandidates.Candidate> findCandidates(
            Job job, int highestPriority, boolean withinGuarantee) {
        List<PreemptionCandidates.Candidate> found = new ArrayList<>();
        for (MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine : pool.machinesIf(pool.matchesConstraints(job.spec))) {
                MachineLoad load = jobs.loadOf(machine.host);
                for (int priority = highestPriority;
                        load != null && priority < PRIORITY_COUNT;
                        priority++) {
                    for (Placement placement : load.stoppablePlacements(priority)) {
                        if (rules.mayPreempt(job, placement, withinGuarantee)
                                && !rules.isNearlyDone(placement)) {
                            found.add(
                                    new PreemptionCandidates.Candidate(
                                            placement,
                                            machine,
                                            rules.lostCpuSeconds(placement),
                                            plan.entitledTasksByStarvingJob.containsKey(
                                                    placement.job),
                                            found.size()));
                        }
                    }
                }
            }
        }
        return found;
    }
}
