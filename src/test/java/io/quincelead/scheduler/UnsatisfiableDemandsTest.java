package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import io.quincelead.simulation.JobFixtures;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnsatisfiableDemandsTest {
    private final UnsatisfiableDemands demands = new UnsatisfiableDemands();

    private static JobSpec demand(
            JobSpec.Priority priority, double cpus, List<String> machineTypes, String zone) {
        return JobFixtures.arrayJob(1, "red", priority, 1)
                .cpus(cpus)
                .runtimeSeconds(10)
                .machineTypes(machineTypes)
                .zone(zone)
                .build();
    }

    private static JobSpec cpus(double cpus) {
        return demand(JobSpec.Priority.NORMAL, cpus, null, null);
    }

    @Test
    void coversAsMuchOrMoreButNotLess() {
        demands.add(cpus(4));

        assertTrue(demands.covers(cpus(4)));
        assertTrue(demands.covers(cpus(8)));
        assertFalse(demands.covers(cpus(2)));
    }

    @Test
    void doesNotCoverMoreUrgentWork() {
        demands.add(cpus(4));

        assertFalse(demands.covers(demand(JobSpec.Priority.HIGH, 4, null, null)));
        assertTrue(demands.covers(demand(JobSpec.Priority.BEST_EFFORT, 4, null, null)));
    }

    @Test
    void coversOnlyDemandsThatMayGoToNoOtherMachines() {
        demands.add(demand(JobSpec.Priority.NORMAL, 4, List.of("big", "small"), "a"));

        assertTrue(demands.covers(demand(JobSpec.Priority.NORMAL, 4, List.of("big"), "a")));
        assertFalse(demands.covers(demand(JobSpec.Priority.NORMAL, 4, List.of("middle"), "a")));
        assertFalse(demands.covers(demand(JobSpec.Priority.NORMAL, 4, List.of("big"), "b")));
        assertFalse(demands.covers(demand(JobSpec.Priority.NORMAL, 4, List.of("big"), null)));
    }

    @Test
    void coversNothingAfterClear() {
        demands.add(cpus(4));

        demands.clear();

        assertFalse(demands.covers(cpus(4)));
    }
}
