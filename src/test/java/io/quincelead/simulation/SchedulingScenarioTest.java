package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of what a whole cluster places, preempts and provisions, and in which order. */
class SchedulingScenarioTest {
    @Test
    void higherPriorityPreemptsLowerPriority() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        6, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 3)));
        cluster.start();
        cluster.submitAfter(
                3_000, JobFixtures.array(1, "red", JobSpec.Priority.BEST_EFFORT, 12, 2, 300));
        cluster.submitAfter(40_000, JobFixtures.array(2, "blue", JobSpec.Priority.HIGH, 6, 2, 10));
        cluster.runUntil(90_000);
        assertTrue(cluster.wasToldFinalStatus("wk-000002", "done"));
        cluster.runUntil(1_500_000);
        assertAllJobsFinished(cluster, 2);
    }

    /**
     * A low-priority job within its team's guarantee and a normal one beyond its own team's
     * guarantee once preempted each other without end.
     */
    @Test
    void quotaGuaranteesDoNotCausePreemptionLoops() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        10, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 3)));
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 30, 2, 40));
        cluster.submitAfter(
                30_000, JobFixtures.array(2, "blue", JobSpec.Priority.BEST_EFFORT, 4, 2, 40));
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 2);
        assertTrue(
                cluster.taskStartsByJob.get("wk-000001") + cluster.taskStartsByJob.get("wk-000002")
                        < 45,
                "starts: " + cluster.taskStartsByJob);
    }

    /**
     * Bursts of urgent jobs on top of a stream of normal jobs that alone nearly fills the cluster,
     * and low-priority jobs within their team's guarantee. Low-priority jobs once ranked after all
     * normal ones, even those of a team far beyond its guarantee, and hardly any were done.
     */
    @ParameterizedTest
    @ValueSource(longs = {61, 62, 63})
    void burstsOfUrgentJobsStarveNoClass(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 3)));
        cluster.setTeam("red", 12, 40);
        cluster.setTeam("blue", 12, 24);
        cluster.start();
        Map<JobSpec.Priority, List<String>> submittedIds = new TreeMap<>();
        int id = 0;
        for (int second = 3; second < 240; second++) {
            List<JobSpec> arrivals = new ArrayList<>();
            if (second % 6 == 0) {
                arrivals.add(
                        JobFixtures.array(
                                ++id,
                                "red",
                                JobSpec.Priority.NORMAL,
                                6 + cluster.random().nextInt(4),
                                2,
                                8 + cluster.random().nextInt(4)));
            }
            if (second % 60 < 20 && second % 4 == 0) {
                arrivals.add(
                        JobFixtures.array(
                                ++id,
                                "red",
                                JobSpec.Priority.HIGH,
                                3 + cluster.random().nextInt(3),
                                2,
                                5));
            }
            if (second % 20 == 0) {
                arrivals.add(
                        JobFixtures.array(++id, "blue", JobSpec.Priority.BEST_EFFORT, 4, 2, 12));
            }
            for (JobSpec job : arrivals) {
                submittedIds
                        .computeIfAbsent(job.priority(), key -> new ArrayList<>())
                        .add(job.jobId());
                cluster.submitAfter(second * 1000L, job);
            }
        }
        cluster.runUntil(280_000);
        Map<JobSpec.Priority, Double> servedShares = new TreeMap<>();
        submittedIds.forEach(
                (priority, ids) ->
                        servedShares.put(
                                priority,
                                ids.stream()
                                                .filter(i -> cluster.wasToldFinalStatus(i, "done"))
                                                .count()
                                        / (double) ids.size()));
        assertTrue(
                servedShares.values().stream().allMatch(share -> share >= 0.5),
                "served: " + servedShares);
        cluster.runUntil(900_000);
        assertAllJobsFinished(cluster, id);
    }

    /**
     * Plays a full cluster with continuous arrivals of small jobs and one large job of each class
     * whose tasks take half a machine; returns the ids of the large jobs.
     */
    private static List<String> playLargeJobsAmongSmallOnes(SimulatedCluster cluster) {
        cluster.setTeam("red", 8, 200);
        cluster.setTeam("blue", 4, 60);
        cluster.start();
        int id = 0;
        for (int second = 3; second < 420; second += 2) {
            JobSpec job =
                    JobFixtures.array(
                            ++id,
                            "red",
                            JobSpec.Priority.NORMAL,
                            10 + cluster.random().nextInt(6),
                            1,
                            10 + cluster.random().nextInt(6));
            cluster.submitAfter(second * 1000L, job);
        }
        List<String> largeJobIds = new ArrayList<>();
        for (JobSpec.Priority priority : JobSpec.Priority.values()) {
            JobSpec job = JobFixtures.array(++id, "blue", priority, 8, 4, 20);
            largeJobIds.add(job.jobId());
            cluster.submitAfter(60_000, job);
        }
        JobSpec gang =
                JobFixtures.gang(++id, "blue", JobSpec.Priority.BEST_EFFORT, 3)
                        .cpus(4)
                        .runtimeSeconds(20)
                        .build();
        largeJobIds.add(gang.jobId());
        cluster.submitAfter(60_000, gang);
        cluster.runUntil(420_000);
        return largeJobIds;
    }

    /**
     * A full cluster with continuous arrivals of small jobs, and one large job of each class whose
     * tasks take half a machine. Small tasks once took each part of a machine as it became free,
     * and the large jobs started only after the arrivals had ended.
     */
    @ParameterizedTest
    @ValueSource(longs = {71, 72})
    void largestJobsStartUnderContinuousSmallArrivals(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 6)));
        List<String> largeJobIds = playLargeJobsAmongSmallOnes(cluster);
        assertNoViolations(cluster);
        for (String jobId : largeJobIds) {
            long startDelayMillis = cluster.serviceLevels().firstStartDelayMillis(jobId);
            assertTrue(
                    startDelayMillis >= 0 && startDelayMillis < 240_000,
                    jobId + " began after " + startDelayMillis + " ms");
            assertTrue(
                    cluster.serviceLevels().halfStartedDelayMillis(jobId) >= 0
                            && cluster.serviceLevels().halfStartedDelayMillis(jobId) < 300_000,
                    jobId + " half after " + cluster.serviceLevels().halfStartedDelayMillis(jobId));
        }
    }

    /**
     * Services that are to be spread over zones, besides low-priority jobs. All machines were once
     * provisioned in the first zone, so half of the replicas never ran, and everything was lost
     * with that zone.
     */
    @Test
    void zoneSpreadServicesGetMachinesInSeveralZones() {
        SimulatedCluster cluster = clusterWithThreeZones(81);
        cluster.runUntil(80_000);
        assertNoViolations(cluster);
        int replicas = 0;
        for (int i = 1; i <= 12; i++) {
            replicas += cluster.taskStartsByJob.getOrDefault(JobFixtures.id(i), 0);
        }
        assertEquals(72, replicas);
        Map<String, Long> byZone =
                cluster.cloud.machines.values().stream()
                        .collect(
                                java.util.stream.Collectors.groupingBy(
                                        worker -> worker.zone,
                                        TreeMap::new,
                                        java.util.stream.Collectors.counting()));
        assertEquals(3, byZone.size(), "machines by zone: " + byZone);
        assertTrue(
                byZone.values().stream().mapToLong(count -> count).max().orElse(0)
                        <= cluster.cloud.machines.size() * 0.5,
                "machines by zone: " + byZone);
    }

    /**
     * Three zones, 5 controllers, 12 services of 6 replicas, every other one spread over zones, and
     * low-priority jobs.
     */
    private static SimulatedCluster clusterWithThreeZones(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(SimulatedCloud.MachineType.small(12, List.of("a", "b", "c"), 300)),
                        5);
        cluster.heartbeatIntervalMillis = 3_000;
        cluster.workerLeaseMillis = 17_500;
        cluster.setTeam("red", 400, 1_200);
        cluster.setTeam("blue", 100, 600);
        cluster.start();
        for (int i = 1; i <= 12; i++) {
            JobSpec job =
                    JobFixtures.service(i, "red", JobSpec.Priority.PRODUCTION, 6)
                            .cpus(3)
                            .zoneSpread(i % 2 == 0)
                            .preemptible(false)
                            .build();
            cluster.submitAfter(3_000, job);
        }
        for (int i = 13; i < 60; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.BEST_EFFORT, 20, 1, 30);
            cluster.submitAfter(4_000 + (i - 13) * 3_500L, job);
        }
        return cluster;
    }

    /**
     * A busy controller's clock advances between two reads, also within a scheduling cycle, while
     * urgent jobs preempt others.
     */
    @Test
    void schedulingCycleToleratesAdvancingClock() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        34, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 60)));
        cluster.clock.computationTakesTime = true;
        cluster.setTeam("red", 480, 480);
        cluster.setTeam("blue", 480, 480);
        cluster.start();
        cluster.submitAfter(
                3_000, JobFixtures.array(1, "red", JobSpec.Priority.BEST_EFFORT, 300, 1, 90));
        cluster.submitAfter(
                8_000, JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 180, 1, 120));
        for (int i = 3; i < 40; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.HIGH, 10, 1, 15);
            cluster.submitAfter(20_000 + i * 900L, job);
        }
        cluster.runUntil(700_000);
        assertAllJobsFinished(cluster, 39);
    }

    /**
     * The leader once placed tasks on machines that were granted while booting; the machines were
     * then declared lost for their silence.
     */
    @Test
    void bootingMachineGetsNoTasksAndIsNotDeclaredLost() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        32, List.of(SimulatedCloud.MachineType.small(30, List.of("a"), 30)));
        cluster.setTeam("red", 100, 240);
        cluster.start();
        for (int i = 1; i <= 6; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 20, 2, 40);
            cluster.submitAfter(3_000 + i * 3_000L, job);
        }
        cluster.runUntil(60_000);
        assertTrue(
                cluster.cloud.provisionedMachineCount() <= 30,
                "rented: " + cluster.cloud.provisionedMachineCount());
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 6);
    }

    /**
     * Hundreds of machines run before the controllers start. Each once took a record of its own,
     * and no task ran for a minute.
     */
    @Test
    void runningClusterIsRegisteredWithFewRecords() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        35, List.of(SimulatedCloud.MachineType.small(12, List.of("a", "b"), 300)));
        cluster.setTeam("red", 900, 900);
        cluster.cloud.addRunningMachines("small", "a", 80);
        cluster.cloud.addRunningMachines("small", "b", 70);
        cluster.start();
        cluster.submitAfter(
                2_000,
                JobFixtures.service(1, "red", JobSpec.Priority.PRODUCTION, 800)
                        .cpus(1)
                        .zoneSpread(true)
                        .preemptible(false)
                        .build());
        cluster.runUntil(12_000);
        assertNoViolations(cluster);
        assertEquals(800, cluster.taskStartsByJob.get("wk-000001"));
        assertTrue(
                cluster.store.keys().stream().filter(key -> key.startsWith("a/m/")).count() <= 20,
                "records: " + cluster.store.keys());
        assertEquals(150, cluster.cloud.provisionedMachineCount());
    }

    /**
     * The only machine that a job may run on failed every task, and since no other job ran there,
     * the job was once blamed indefinitely.
     */
    @Test
    void jobWhoseOnlyMachineFailsTasksGetsAnotherMachine() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        41, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 3)));
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 1, 2, 10));
        for (long atMillis = 4_000; atMillis < 40_000; atMillis += 100) {
            cluster.after(
                    atMillis,
                    () ->
                            cluster.cloud
                                    .machines
                                    .values()
                                    .forEach(
                                            worker ->
                                                    worker.failsTasks |=
                                                            worker.host.equals("i-000001")));
        }
        cluster.runUntil(300_000);
        assertAllJobsFinished(cluster, 1);
        assertTrue(
                cluster.taskStartsByJob.get("wk-000001") > 4,
                "it failed at first: " + cluster.taskStartsByJob);
    }

    @Test
    void jobFailingEverywhereDoesNotQuarantineTheFleet() {
        SimulatedCluster cluster = new SimulatedCluster(9);
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 4, 2, 10));
        cluster.submitAfter(
                3_000, JobFixtures.array(2, "blue", JobSpec.Priority.NORMAL, 30, 2, 10));
        cluster.after(
                12_000, () -> cluster.faults.onRandomMachine(worker -> worker.failsTasks = true));
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 2);
    }

    @Test
    void largeJobIsSplitOverManyRecords() {
        SimulatedCluster cluster = new SimulatedCluster(8);
        cluster.start();
        cluster.submitAfter(
                3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 1_500, 1, 2));
        cluster.runUntil(900_000);
        assertAllJobsFinished(cluster, 1);
        cluster.runUntil(920_000);
        for (String key : cluster.store.keys()) {
            assertTrue(!key.startsWith("a/t/") && !key.startsWith("a/j/"), "left behind: " + key);
        }
    }

    /** CPUs in use by a team's tasks that are on machines. */
    private static double usedCpus(SimulatedCluster cluster, String team) {
        double cpus = 0;
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                JobSpec job = cluster.jobOfTask(task.id);
                cpus += !task.hasEnded() && job.team().equals(team) ? job.cpus() : 0;
            }
        }
        return cpus;
    }

    /**
     * A small job once waited for minutes if its controller's quota share was less than one task,
     * while what the shares had beyond whole tasks stayed unused.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void smallJobsOfTeamAtItsLimitStartBesideRefillingArrays(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 20)));
        cluster.setTeam("blue", 8, 24);
        cluster.cloud.addRunningMachines("small", "a", 5);
        cluster.start();
        JobSpec.Priority priority = JobSpec.Priority.NORMAL;
        cluster.submitAfter(8_000, JobFixtures.array(1, "blue", priority, 500, 3, 10), 1);
        cluster.submitAfter(8_000, JobFixtures.array(2, "blue", priority, 500, 3, 10), 2);
        cluster.submitAfter(25_000, JobFixtures.array(3, "blue", priority, 1, 2, 10), 0);
        cluster.submitAfter(25_000, JobFixtures.array(4, "blue", priority, 3, 5, 10), 0);
        double[] cpuSeconds = {0};
        for (int second = 40; second < 300; second++) {
            cluster.after(second * 1_000L, () -> cpuSeconds[0] += usedCpus(cluster, "blue"));
        }
        cluster.runUntil(300_000);
        assertNoViolations(cluster);
        for (String id : List.of("wk-000003", "wk-000004")) {
            long delayMillis = cluster.serviceLevels().firstStartDelayMillis(id);
            assertTrue(
                    delayMillis >= 0 && delayMillis < 120_000,
                    id + " after " + delayMillis + " ms");
        }
        double meanCpus = cpuSeconds[0] / 260;
        assertTrue(meanCpus > 24 - 3, "CPUs in use: " + meanCpus);
    }

    /**
     * The leader once placed tasks on the machines that other controllers drained for overdue jobs.
     */
    @ParameterizedTest
    @ValueSource(longs = {88, 97, 116, 118, 120, 125})
    void leaderPlacesNothingOnMachinesDrainedByTheirOwners(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 6)));
        for (String jobId : playLargeJobsAmongSmallOnes(cluster)) {
            long startDelayMillis = cluster.serviceLevels().firstStartDelayMillis(jobId);
            assertTrue(
                    startDelayMillis >= 0 && startDelayMillis < 240_000,
                    jobId + " began after " + startDelayMillis + " ms");
        }
    }

    /**
     * Best-effort jobs that fit on the machines once waited for as long as urgent jobs kept
     * arriving, because of the capacity withheld for the next arrivals.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void bestEffortWorkDoesNotWaitForEverBehindTheReserveForUrgentArrivals(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 4)), 1);
        cluster.setTeam("red", 40, 40);
        cluster.cloud.addRunningMachines("small", "a", 4);
        cluster.start();
        cluster.submitAfter(
                4_000,
                JobFixtures.service(1, "red", JobSpec.Priority.PRODUCTION, 3).cpus(8).build());
        for (int i = 0; i < 30; i++) {
            JobSpec urgentJob =
                    JobFixtures.arrayJob(10 + i, "red", JobSpec.Priority.HIGH, 3)
                            .cpus(2)
                            .runtimeSeconds(4)
                            .preemptible(false)
                            .build();
            cluster.submitAfter(10_000 + i * 10_000, urgentJob);
        }
        JobSpec bestEffortJob =
                JobFixtures.array(2, "blue", JobSpec.Priority.BEST_EFFORT, 40, 1, 20);
        cluster.submitAfter(30_000, bestEffortJob);
        cluster.runUntil(320_000);
        assertEquals(Set.of(), cluster.violations());
        long startDelayMillis = cluster.serviceLevels().firstStartDelayMillis("wk-000002");
        assertTrue(
                startDelayMillis >= 0 && startDelayMillis <= StarvationChecker.WAIT_LIMIT_MILLIS,
                "began after " + startDelayMillis + " ms");
        for (int i = 0; i < 30; i++) {
            long urgentDelayMillis =
                    cluster.serviceLevels().firstStartDelayMillis(JobFixtures.id(10 + i));
            assertTrue(
                    urgentDelayMillis >= 0 && urgentDelayMillis < 3_000,
                    "urgent job began after " + urgentDelayMillis + " ms");
        }
    }

    /**
     * Machines whose GPUs a single gang had requested once stayed idle for five minutes while an
     * array waited, because now and then one of the array's tasks was placed elsewhere.
     */
    @ParameterizedTest
    @CsvSource({"BEST_EFFORT, 1", "BEST_EFFORT, 2", "NORMAL, 1", "NORMAL, 2"})
    void workDoesNotWaitIndefinitelyBesideIdleMachinesWithheldForTheirGpus(
            JobSpec.Priority priority, long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                SimulatedCloud.MachineType.small(5, List.of("a"), 2),
                                new SimulatedCloud.MachineType(
                                        "gpu", 16, 4, 64, 5, 2, 8, List.of("a"), 2)),
                        1);
        cluster.setTeam("red", 100, 100, 8, 8);
        cluster.setTeam("blue", 50, 100, 8, 8);
        cluster.cloud.addRunningMachines("small", "a", 2);
        cluster.cloud.addRunningMachines("gpu", "a", 2);
        cluster.start();
        cluster.submitAfter(
                4_000,
                JobFixtures.service(1, "red", JobSpec.Priority.PRODUCTION, 2).cpus(7).build());
        cluster.submitAfter(
                6_000,
                JobFixtures.gang(2, "red", JobSpec.Priority.HIGH, 2)
                        .cpus(8)
                        .gpus(4)
                        .runtimeSeconds(4)
                        .preemptible(false)
                        .build());
        cluster.submitAfter(10_000, JobFixtures.array(3, "blue", priority, 600, 1, 10));
        cluster.runUntil(280_000);
        assertNoViolations(cluster);
    }
}
