package io.quincelead.autoscaler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.scheduler.ClusterView;
import java.util.HashMap;
import java.util.Map;

/**
 * How many more tasks of one job its zone spread and zone affinity allow in each zone, given where
 * its tasks are placed and planned.
 */
final class ZoneLimits {
    private final JobSpec spec;
    private final Map<String, Integer> tasksByZone = new HashMap<>();
    private final int maxTasksPerZone;

    ZoneLimits(Job job, ClusterView cluster) {
        spec = job.spec;
        maxTasksPerZone =
                spec.isService() || spec.zoneSpread()
                        ? cluster.policy().maxTasksPerZone(job)
                        : Integer.MAX_VALUE;
        if (maxTasksPerZone < spec.taskCount() || spec.zoneAffinity()) {
            for (TaskStatePage page : job.pages) {
                if (page != null) {
                    countTasks(page, cluster.machines());
                }
            }
        }
    }

    private void countTasks(TaskStatePage page, MachineTable machines) {
        for (Placement placement : page.placements) {
            MachineTable.Machine machine = machines.get(placement.host);
            if (machine != null && !placement.isTerminated()) {
                addTasks(machine.zone(), 1);
            }
        }
    }

    int remainingTasks(String zone) {
        if (spec.zoneAffinity() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone)) {
            return 0;
        }
        return Math.max(0, maxTasksPerZone - tasksByZone.getOrDefault(zone, 0));
    }

    void addTasks(String zone, int taskCount) {
        if (taskCount > 0) {
            tasksByZone.merge(zone, taskCount, Integer::sum);
        }
    }
}
