package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.LONG_LEASE_MILLIS;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static io.quincelead.simulation.CompoundFaultFixtures.controllerIps;
import static io.quincelead.simulation.CompoundFaultFixtures.ipOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Recovery of jobs and quota after faults of many machines, of a zone or of all controllers
 * (docs/design/compound-faults.md).
 */
class CompoundFaultRecoveryTest {
    /**
     * A zone's workers and one controller are partitioned from the rest for longer than the lease,
     * and jobs are cancelled on both sides.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void zonePartitionedWithAControllerKeepsInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 16; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 80);
            cluster.submitAfter(2_000, job);
        }
        cluster.runUntil(20_000);
        int insideController =
                seed % 2 == 0 ? cluster.leaderIndex() : (cluster.leaderIndex() + 1) % 3;
        long busyMachines =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.zone.equals("a") && !worker.tasks.isEmpty())
                        .count();
        cluster.faults.partitionZone("a", insideController, 45_000);
        for (int i = 1; i <= 6; i++) {
            String id = JobFixtures.id(i);
            cluster.cancelAfter(i * 3_000L, id);
        }
        if (seed == 3) {
            cluster.faults.crashAfter(20_000, (insideController + 1) % 3, 500);
        }
        cluster.runUntil(64_000);
        assertTrue(busyMachines > 2, "machines in the zone: " + busyMachines);
        assertNotEquals(insideController, cluster.leaderIndex());
        cluster.runUntil(600_000);
        assertAllJobsFinished(cluster, 16);
    }

    /** The leader changes ten times in two minutes, on some seeds also while the store is down. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tenLeaderChangesInTwoMinutesKeepInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryWindowMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[i % 4],
                            4,
                            1,
                            25);
            cluster.submitAfter(2_000 + i * 3_500L, job);
            if (i % 4 == 0) {
                cluster.cancelAfter(6_000 + i * 3_500L, job.jobId());
            }
        }
        int[] elections = {0};
        cluster.faults.onLeaderElected(200_000, () -> elections[0]++);
        cluster.after(8_000, () -> cluster.faults.changeLeadersRepeatedly(11, 11_000));
        if (seed % 2 == 0) {
            cluster.after(50_000, () -> cluster.faults.injectStoreOutage(30_000));
            for (int k = 0; k < 6; k++) {
                int controller = k % 3;
                cluster.faults.crashAfter(52_000 + k * 4_000L, controller, 300);
            }
        }
        cluster.runUntil(200_000);
        assertTrue(elections[0] >= (seed % 2 == 0 ? 8 : 10), "leaders: " + elections[0]);
        cluster.runUntil(700_000);
        assertAllJobsFinished(cluster, 30);
    }

    /**
     * Workers can't reach any controller, while direct commands reach them: they must not count as
     * healthy, and their tasks end with their lease.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workersUnreachableOutboundAreDeclaredLost(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.start();
        for (int i = 1; i <= 14; i++) {
            JobSpec job =
                    JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 5, 1, i < 7 ? 60 : 12);
            cluster.submitAfter(i < 7 ? 2_000 : 15_000 + i * 2_000L, job);
        }
        cluster.runUntil(16_000);
        List<SimulatedWorker> unreachable =
                cluster.cloud.machines.values().stream()
                        .filter(
                                worker ->
                                        worker.up
                                                && Integer.parseInt(worker.host.substring(2)) % 3
                                                        == 0)
                        .toList();
        unreachable.forEach(worker -> cluster.faults.makeUnreachableOutbound(worker, 300_000));
        cluster.cancel("wk-000001");
        cluster.cancel("wk-000002");
        cluster.cancelAfter(2_000, "wk-000003");
        if (seed % 2 == 0) {
            cluster.faults.crashController(Math.max(0, cluster.leaderIndex()), 5_000);
        }
        cluster.runUntil(100_000);
        assertTrue(unreachable.size() >= 3);
        unreachable.forEach(
                worker -> assertTrue(worker.released, worker.host + " reaches nobody and is kept"));
        for (int i = 1; i <= 3; i++) {
            assertTrue(
                    cluster.cancellationConfirmedAtMillis("wk-00000" + i) >= 0,
                    "job " + i + " was not told");
        }
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 14);
    }

    /**
     * Most machines of a zone can't reach any controller for several leases, but aren't declared
     * lost in that time. The quota of the tasks that ended with the lease must be released as soon
     * as the lease is over: direct commands reach the machines, and their rejection of the old
     * session is evidence of the new one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void quotaOfTasksEndedOnUnreachableMachinesIsReleased(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 30)), 1);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.setTeam("red", 0, 40);
        cluster.cloud.addRunningMachines("small", "a", 12);
        cluster.start();
        for (int i = 1; i <= 10; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 400);
            cluster.submitAfter(9_000 + i * 100L, job);
        }
        cluster.runUntil(20_000);
        List<SimulatedWorker> unreachable =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.up)
                        .limit(10)
                        .toList();
        long runningTasks =
                unreachable.stream()
                        .mapToLong(
                                worker ->
                                        worker.tasks.values().stream()
                                                .filter(
                                                        SimulatedWorker.SimulatedTask
                                                                ::occupiesMachine)
                                                .count())
                        .sum();
        assertTrue(
                unreachable.size() == 10 && runningTasks > 24,
                runningTasks + " tasks on " + unreachable.size());
        unreachable.forEach(worker -> cluster.faults.makeUnreachableOutbound(worker, 125_000));
        for (int i = 11; i <= 14; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.HIGH, 4, 1, 10);
            cluster.submitAfter(i * 100L, job);
        }
        cluster.runUntil(20_000 + LONG_LEASE_MILLIS + 2_000 + 16_000);
        assertEquals(10, unreachable.stream().filter(worker -> !worker.released).count());
        for (int i = 11; i <= 14; i++) {
            assertTrue(
                    cluster.taskStartsByJob.containsKey("wk-0000" + i),
                    "job " + i + " waits for quota that nothing uses");
        }
        cluster.runUntil(1_500_000);
        assertAllJobsFinished(cluster, 14);
    }

    /**
     * Arrays and gangs that are bound to one zone, because they name it or because all their tasks
     * must be in the same zone, lose machines repeatedly.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void zoneBoundJobsSurviveMachineLoss(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 20);
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            boolean isGang = i % 3 == 0;
            JobSpec job =
                    JobFixtures.job(
                                    i,
                                    "red",
                                    isGang ? JobSpec.Mode.GANG : JobSpec.Mode.ARRAY,
                                    JobSpec.Priority.NORMAL,
                                    4)
                            .cpus(2)
                            .runtimeSeconds(20)
                            .zone(i % 4 == 1 ? "a" : null)
                            .zoneAffinity(i % 4 > 1)
                            .zoneSpread(i % 4 == 0)
                            .checkpointIntervalSeconds(isGang ? 5 : 0)
                            .build();
            cluster.submitAfter(2_000 + i * 1_000L, job);
        }
        int[] lostMachines = {0};
        for (int k = 0; k < 6; k++) {
            int round = k;
            cluster.after(
                    9_000 + k * 5_000L,
                    () ->
                            cluster.cloud.machines.values().stream()
                                    .filter(
                                            worker ->
                                                    !worker.dead
                                                            && worker.tasks.values().stream()
                                                                    .anyMatch(
                                                                            SimulatedWorker
                                                                                            .SimulatedTask
                                                                                    ::occupiesMachine))
                                    .skip(round % 3)
                                    .findFirst()
                                    .ifPresent(
                                            worker -> {
                                                lostMachines[0]++;
                                                if (round % 2 == 0) {
                                                    worker.crash();
                                                } else {
                                                    cluster.faults.partition(
                                                            ipOf(worker),
                                                            controllerIps(cluster),
                                                            25_000);
                                                }
                                            }));
        }
        cluster.faults.crashLeaderAfter(18_000, 500);
        cluster.expectFaultsUntil(70_000);
        cluster.runUntil(70_000);
        assertTrue(lostMachines[0] >= 5, "lost: " + lostMachines[0]);
        cluster.runUntil(700_000);
        assertAllJobsFinished(cluster, 24);
    }

    /**
     * All controllers are down for longer than the workers' lease, so every machine loses its
     * tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsSurviveControllersDownLongerThanTheLease(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryWindowMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 20; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i, i % 2 == 0 ? "red" : "blue", JobSpec.Priority.NORMAL, 3, 1, 40);
            cluster.submitAfter(2_000 + i * 300L, job);
        }
        cluster.runUntil(14_000);
        cluster.cancel("wk-000001");
        cluster.cancel("wk-000002");
        for (int i = 0; i < 3; i++) {
            cluster.faults.crashController(i, 14_000 + i * 2_500L + seed * 1_000);
        }
        cluster.runUntil(27_000);
        assertTrue(
                cluster.cloud.machines.values().stream()
                        .noneMatch(
                                worker ->
                                        worker.tasks.values().stream()
                                                .anyMatch(
                                                        SimulatedWorker.SimulatedTask
                                                                ::occupiesMachine)),
                "the leases are over");
        assertTrue(
                cluster.controllers.stream()
                        .noneMatch(SimulatedCluster.SimulatedController::isAlive));
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 20);
        assertTrue(cluster.hasFinalStatus("wk-000001") && cluster.hasFinalStatus("wk-000002"));
    }

    /**
     * Many running jobs are cancelled within 0.2 s, and their machines hang. Cancellations are
     * confirmed on evidence, and no task may continue when the machines resume.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksDoNotResumeOnHungMachines(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 120);
            cluster.submitAfter(2_000 + i * 100L, job);
        }
        cluster.runUntil(20_000);
        cluster.users.consistencyProbes = true;
        cluster.users.cancelRunningJobs(14, seed % 2 == 0 ? 15_000 : 35_000);
        if (seed > 2) {
            cluster.faults.crashLeaderAfter(1_000, 4_000);
        }
        assertEquals(14, cluster.users.massCancelledCount);
        assertEquals(
                8, cluster.cloud.machines.values().stream().filter(worker -> worker.hung).count());
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 24);
    }
}
