package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines that are provisioned for tasks which fit only some machine types. */
class TaskFitTest {
    /** Time within which a job of a free team begins when the cloud has machines to give. */
    private static final long START_LIMIT_MILLIS = 90_000;

    private static final long SUBMITTED_AT_MILLIS = 5_000;

    /** Two types without GPUs, of which the smaller one costs less per CPU; and one with GPUs. */
    private static SimulatedCluster clusterOfThreeTypes(long seed) {
        return new SimulatedCluster(
                seed,
                List.of(
                        SimulatedCloud.MachineType.small(5, List.of("a", "b"), 40),
                        new SimulatedCloud.MachineType(
                                "large", 16, 0, 128, 1.6, 0.7, 5, List.of("a", "b"), 10),
                        new SimulatedCloud.MachineType(
                                "gpu", 32, 4, 256, 5.0, 2.0, 5, List.of("a", "b"), 10)));
    }

    private static JobSpec largeTasks(int id, double cpus, double memoryGb) {
        return JobFixtures.arrayJob(id, "red", JobSpec.Priority.NORMAL, 2)
                .cpus(cpus)
                .memoryGb(memoryGb)
                .runtimeSeconds(600)
                .build();
    }

    private static void assertBegan(SimulatedCluster cluster, String id) {
        assertTrue(
                cluster.taskStartsByJob.getOrDefault(id, 0) > 0,
                id
                        + " waits beside machines of types "
                        + cluster.cloud.machines.values().stream()
                                .map(machine -> machine.machineType.name())
                                .toList());
    }

    /** Machines were rented by the sum of CPUs, of a type that no task of the job fitted. */
    @ParameterizedTest
    @CsvSource({"12, 24", "1, 100", "20, 24", "12, 200"})
    void largeTasksGetMachinesThatTheyFit(double cpus, double memoryGb) {
        SimulatedCluster cluster = clusterOfThreeTypes(71);
        cluster.setTeam("red", 60, 60);
        cluster.start();
        cluster.submitAfter(SUBMITTED_AT_MILLIS, largeTasks(1, cpus, memoryGb));

        cluster.runUntil(SUBMITTED_AT_MILLIS + START_LIMIT_MILLIS);

        assertBegan(cluster, "wk-000001");
        assertNoViolations(cluster);
    }

    /** Rented machines that were too small counted as the capacity which the job waited for. */
    @Test
    void largeTasksGetMachinesThatTheyFitAfterTheirMachineIsTaken() {
        SimulatedCluster cluster = clusterOfThreeTypes(72);
        cluster.setTeam("red", 60, 60);
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.arrayJob(1, "red", JobSpec.Priority.NORMAL, 1)
                        .cpus(1)
                        .runtimeSeconds(20)
                        .machineTypes(List.of("gpu"))
                        .build());
        cluster.submitAfter(20_000, largeTasks(2, 12, 24));
        cluster.runUntil(40_000);
        SimulatedWorker taken =
                cluster.cloud.machines.values().stream()
                        .filter(
                                machine ->
                                        machine.tasks.values().stream()
                                                .anyMatch(t -> t.id.startsWith("wk-000002/")))
                        .findFirst()
                        .orElseThrow();
        int startsBefore = cluster.taskStartsByJob.get("wk-000002");
        taken.crash();
        cluster.cloud.machines.remove(taken.host);

        cluster.runUntil(40_000 + START_LIMIT_MILLIS);

        assertTrue(
                cluster.taskStartsByJob.get("wk-000002") > startsBefore,
                "it hasn't begun again: " + cluster.taskStartsByJob);
        assertNoViolations(cluster);
    }

    /**
     * Each plan requested another machine with GPUs for a task that fits no other type, because
     * such machines are withheld from it while work on GPUs is frequent.
     */
    @Test
    void largeTaskBesideWorkOnGpusGetsOneMachine() {
        SimulatedCluster cluster = clusterOfThreeTypes(73);
        cluster.setTeam("red", 60, 60);
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.arrayJob(1, "blue", JobSpec.Priority.NORMAL, 1)
                        .cpus(20)
                        .gpus(1)
                        .runtimeSeconds(10)
                        .build());
        cluster.submitAfter(30_000, largeTasks(2, 30, 24));

        cluster.runUntil(30_000 + START_LIMIT_MILLIS);

        assertBegan(cluster, "wk-000002");
        assertEquals(
                2,
                cluster.cloud.machines.values().stream()
                        .filter(machine -> machine.machineType.name().equals("gpu"))
                        .count());
        assertNoViolations(cluster);
    }

    /**
     * Work too small for a shortfall was never given an on-demand machine, however long it waited.
     */
    @Test
    void smallJobBeginsOnDemandWhileThereAreNoSpotMachines() {
        SimulatedCluster cluster = clusterOfThreeTypes(74);
        cluster.cloud.refusesSpot = true;
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 1, 1, 12));

        cluster.runUntil(SUBMITTED_AT_MILLIS + START_LIMIT_MILLIS);

        assertBegan(cluster, "wk-000001");
        assertNoViolations(cluster);
    }

    /**
     * CPUs that are free beside tasks which use all memory counted as capacity for further ones.
     */
    @Test
    void allTasksBeginThoughMemoryLimitsHowManyAMachineHolds() {
        SimulatedCluster cluster = clusterOfThreeTypes(75);
        cluster.setTeam("red", 200, 200);
        cluster.start();
        cluster.submitAfter(
                SUBMITTED_AT_MILLIS,
                JobFixtures.arrayJob(1, "red", JobSpec.Priority.NORMAL, 12)
                        .cpus(1)
                        .memoryGb(30)
                        .runtimeSeconds(900)
                        .build());

        cluster.runUntil(SUBMITTED_AT_MILLIS + START_LIMIT_MILLIS);

        assertEquals(12, cluster.taskStartsByJob.getOrDefault("wk-000001", 0));
        assertNoViolations(cluster);
    }
}
