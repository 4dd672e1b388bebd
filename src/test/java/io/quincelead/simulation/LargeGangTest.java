package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Gangs whose pages are as many as one transaction holds, where writes are scarce. */
class LargeGangTest {
    /** Time within which a job begins beside machines with room. */
    private static final long WAITING_LIMIT_MILLIS = 90_000;

    private static final long SUBMITTED_AT_MILLIS = 10_000;
    private static final int SMALL_JOBS = 6;

    /**
     * The cycle waited for more changes than its budget ever holds, and all jobs of the controllers
     * that had the gang waited with it.
     */
    @ParameterizedTest
    @ValueSource(ints = {2_100, 2_300, 2_400})
    void gangOfManyPagesStopsNoScheduling(int gangTasks) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        81, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 30)));
        cluster.storeLimits = new Settings.StoreLimits(150, 35, 8, 12);
        cluster.setTeam("red", 100, 200);
        cluster.setTeam("blue", 20, 40);
        cluster.cloud.addRunningMachines("small", "a", 15);
        cluster.cloud.addRunningMachines("small", "b", 15);
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.gang(1, "red", JobSpec.Priority.NORMAL, gangTasks)
                        .cpus(0.05)
                        .memoryGb(0.1)
                        .runtimeSeconds(300)
                        .build(),
                0);
        for (int i = 0; i < SMALL_JOBS; i++) {
            cluster.submitAfter(
                    SUBMITTED_AT_MILLIS + 5_000,
                    JobFixtures.array(10 + i, "blue", JobSpec.Priority.NORMAL, 2, 1, 20),
                    i % 3);
        }

        cluster.runUntil(SUBMITTED_AT_MILLIS + 5_000 + WAITING_LIMIT_MILLIS);

        for (int i = 0; i < SMALL_JOBS; i++) {
            String id = JobFixtures.id(10 + i);
            assertTrue(cluster.taskStartsByJob.getOrDefault(id, 0) > 0, id + " waits");
        }
        assertEquals(gangTasks, cluster.taskStartsByJob.getOrDefault("wk-000001", 0));
        assertNoViolations(cluster);
    }
}
