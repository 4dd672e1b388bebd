package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Machines that never come up, when controllers restart or machines change hands. */
class FailedBootTest {
    private static final long SUBMITTED_AT_MILLIS = 10_000;

    /** Time in which machines that never come up are given up and others are up. */
    private static final long START_LIMIT_MILLIS = 90_000;

    private static final int MACHINES = 6;

    private enum Change {
        NONE,
        ROLLING_RESTART,
        HANDOVER
    }

    private static void apply(Change change, SimulatedCluster cluster) {
        switch (change) {
            case ROLLING_RESTART -> {
                for (int i = 0; i < cluster.controllers.size(); i++) {
                    cluster.faults.crashAfter(25_000 + i * 6_000L, i, 3_000);
                }
            }
            case HANDOVER ->
                    cluster.after(
                            25_000,
                            () ->
                                    cluster.faults.crashController(
                                            (cluster.leaderIndex() + 1) % 3, 200_000));
            default -> {}
        }
    }

    /** The machines that never came up made their zone count as cut off, and were kept for that. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void machinesThatNeverComeUpAreReplaced(Change change) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        82,
                        List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 2 * MACHINES)));
        cluster.setTeam("red", 100, 200);
        cluster.cloud.bootFailureRate = 1;
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.gang(1, "red", JobSpec.Priority.NORMAL, MACHINES)
                        .cpus(8)
                        .runtimeSeconds(60)
                        .zoneAffinity(true)
                        .build());
        cluster.after(SUBMITTED_AT_MILLIS + 10_000, () -> cluster.cloud.bootFailureRate = 0);
        apply(change, cluster);

        cluster.runUntil(SUBMITTED_AT_MILLIS + START_LIMIT_MILLIS);

        assertTrue(cluster.taskStartsByJob.getOrDefault("wk-000001", 0) > 0, "it waits");
        assertNoViolations(cluster);
    }
}
