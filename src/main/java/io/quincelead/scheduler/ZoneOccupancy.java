package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.policy.Policy;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Counts a job's tasks per zone, by the records and one plan's edits. */
final class ZoneOccupancy {
    private final MachineTable machines;
    private final Policy policy;
    private final SchedulingPlan plan;

    ZoneOccupancy(MachineTable machines, Policy policy, SchedulingPlan plan) {
        this.machines = machines;
        this.policy = policy;
        this.plan = plan;
    }

    /** The zones where the job may have more tasks. */
    Predicate<String> allowedZones(Job job) {
        JobSpec spec = job.spec;
        int maxPerZone = policy.maxTasksPerZone(job);
        if (!spec.zoneAffinity() && maxPerZone >= spec.taskCount()) {
            return zone -> true;
        }
        Map<String, Integer> tasksByZone = tasksByZone(job, Map.of());
        return zone ->
                spec.zoneAffinity()
                        ? tasksByZone.isEmpty() || tasksByZone.containsKey(zone)
                        : tasksByZone.getOrDefault(zone, 0) < maxPerZone;
    }

    /**
     * By zone, how many of the job's tasks may be in it now: those on record, those that this plan
     * places, and those that have been assigned to hosts but are not in the plan yet. The caller
     * may change the map.
     */
    Map<String, Integer> tasksByZone(Job job, Map<String, Integer> assignedTasksByHost) {
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            TaskStatePageEdit edit = plan.edits.get(job.pageOrEmpty(pageIndex));
            if (edit != null) {
                count(tasksByZone, edit.placements());
            } else if (job.pages[pageIndex] != null) {
                count(tasksByZone, job.pages[pageIndex].placements);
            }
        }
        assignedTasksByHost.forEach(
                (host, tasks) ->
                        tasksByZone.merge(plan.machines.get(host).pool.zone, tasks, Integer::sum));
        return tasksByZone;
    }

    private void count(Map<String, Integer> tasksByZone, Collection<Placement> placements) {
        for (Placement placement : placements) {
            MachineTable.Machine machine = machines.get(placement.host);
            if (machine != null) {
                tasksByZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
    }
}
