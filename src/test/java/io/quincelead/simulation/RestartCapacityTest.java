package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Free machines of other shards after restarts of controllers. */
class RestartCapacityTest {
    /**
     * Time within which a job begins if a machine has room for it and its team is under its limit.
     */
    private static final long WAITING_LIMIT_MILLIS = 90_000;

    private static final int MACHINES = 12;
    private static final double IDLE_RELEASE_SECONDS = 300;

    private enum Restart {
        FOLLOWER,
        LEADER,
        ALL
    }

    private static List<Integer> restarted(Restart restart, SimulatedCluster cluster) {
        return switch (restart) {
            case FOLLOWER -> List.of((cluster.leaderIndex() + 1) % 3);
            case LEADER -> List.of(cluster.leaderIndex());
            case ALL -> List.of(0, 1, 2);
        };
    }

    /** Its machines aren't replaced by spot machines, which would be assigned to whoever waits. */
    private static JobSpec onDemandJob(
            int id, String team, int tasks, double cpus, double runtimeSeconds) {
        return JobFixtures.arrayJob(id, team, JobSpec.Priority.NORMAL, tasks)
                .cpus(cpus)
                .runtimeSeconds(runtimeSeconds)
                .preemptible(false)
                .build();
    }

    /** Otherwise the empty machines are returned, and new ones rented for whoever waits. */
    private static OperatorSettings keepingIdleMachines() {
        OperatorSettings defaults = OperatorSettings.DEFAULTS;
        return new OperatorSettings(
                defaults.parallelFraction(),
                defaults.tebasGroupSize(),
                defaults.shardLeaseSeconds(),
                defaults.clockSpeedByMachineType(),
                defaults.drainBacklogSeconds(),
                IDLE_RELEASE_SECONDS,
                defaults.reserveFraction(),
                defaults.zoneRecovery());
    }

    /** A machine that a process hadn't seen used was left out of what other shards have free. */
    @ParameterizedTest
    @EnumSource(Restart.class)
    void jobUsesEmptyMachinesOfOtherShardsAfterARestart(Restart restart) {
        SimulatedCluster cluster = clusterWithReadyMachines(5, 3, MACHINES);
        cluster.setTeam("blue", 100, 400);
        cluster.operatorSettings = keepingIdleMachines();
        cluster.start();
        for (int i = 1; i <= 9; i++) {
            cluster.submitAfter(5_000 + i * 200L, onDemandJob(i, "red", 12, 1, 3), i % 3);
        }
        cluster.runUntil(20_000);
        List<Integer> indices = restarted(restart, cluster);
        indices.forEach(index -> cluster.faults.crashController(index, 5_000));
        cluster.expectFaultsUntil(27_000);
        cluster.runUntil(33_000);
        int submitter =
                indices.stream()
                        .filter(index -> index != cluster.leaderIndex())
                        .findFirst()
                        .orElse(indices.get(0));
        int ownMachines =
                CompoundFaultFixtures.machinesOf(
                                cluster, cluster.controllers.get(submitter).memberId)
                        .size();
        assertTrue(ownMachines > 0 && ownMachines < MACHINES, "own machines: " + ownMachines);
        cluster.submit(onDemandJob(20, "red", ownMachines * 4, 2, 300), submitter);
        cluster.runUntil(35_000);
        cluster.submit(onDemandJob(21, "blue", 40, 1, 60), submitter);

        cluster.runUntil(35_000 + WAITING_LIMIT_MILLIS);

        assertTrue(cluster.taskStartsByJob.getOrDefault("wk-000021", 0) > 0, "it waits");
        assertNoViolations(cluster);
    }
}
