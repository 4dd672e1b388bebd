package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.ClusterAssertions.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One fault at a time: failures of machines and controllers, partitions, and messages that arrive
 * twice or late.
 */
class SingleFaultTest {
    private static SimulatedCluster clusterWithService(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed, List.of(SimulatedCloud.MachineType.small(12, List.of("a", "b"), 60)));
        cluster.workerLeaseMillis = 24_000;
        cluster.setTeam("red", 400, 400);
        cluster.cloud.addRunningMachines("small", "a", 12);
        cluster.cloud.addRunningMachines("small", "b", 12);
        cluster.start();
        cluster.submitAfter(
                8_000,
                JobFixtures.service(1, "red", JobSpec.Priority.PRODUCTION, 60)
                        .cpus(1)
                        .zoneSpread(true)
                        .preemptible(false)
                        .build());
        return cluster;
    }

    /**
     * Controllers outside a partitioned zone once declared all its machines lost, and the
     * controller inside kept only its own machines alive.
     */
    @ParameterizedTest
    @ValueSource(longs = {36, 37, 38})
    void servicesInPartitionedZoneKeepRunning(long seed) {
        SimulatedCluster cluster = clusterWithService(seed);
        cluster.after(20_000, () -> cluster.faults.partitionZone("a", 0, 40_000));
        cluster.runUntil(120_000);
        assertNoViolations(cluster);
        assertTrue(
                cluster.taskStartsByJob.get("wk-000001") <= 63,
                "starts: " + cluster.taskStartsByJob);
    }

    /**
     * A user was once told "cancelled" at once; in a partitioned zone, with the cloud down, the
     * tasks then ran past the allowed time.
     */
    @Test
    void cancellationIsConfirmedOnlyAfterTasksAreGone() {
        SimulatedCluster cluster = clusterWithService(39);
        cluster.after(
                20_000,
                () -> {
                    cluster.cloud.down = true;
                    cluster.faults.partitionZone("a", 0, 80_000);
                });
        cluster.cancelAfter(25_000, "wk-000001");
        cluster.after(110_000, () -> cluster.cloud.down = false);
        cluster.runUntil(95_000);
        assertTrue(!cluster.wasToldFinalStatus("wk-000001", "cancelled"));
        cluster.runUntil(130_000);
        assertNoViolations(cluster);
        assertTrue(cluster.wasToldFinalStatus("wk-000001", "cancelled"));
    }

    /** Submissions were once rejected for seconds after the store was back. */
    @ParameterizedTest
    @ValueSource(longs = {61, 62, 63, 64, 65, 66})
    void submissionsAreAcceptedSoonAfterAStoreOutage(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.workerLeaseMillis = 24_000;
        cluster.start();
        cluster.after(20_000, () -> cluster.faults.injectStoreOutage(20_000 + 100 * (seed % 6)));
        for (int controller = 0; controller < 3; controller++) {
            JobSpec job = JobFixtures.array(1 + controller, "red", JobSpec.Priority.HIGH, 1, 1, 5);
            cluster.submitAfter(40_900 + 100 * (seed % 6), job, controller);
        }
        cluster.runUntil(41_600 + 100 * (seed % 6));
        assertEquals(3, cluster.acceptedJobCount());
        cluster.runUntil(120_000);
        assertAllJobsFinished(cluster, 3);
    }

    @Test
    void tasksOfDeadMachineRestartElsewhereAfterItsRelease() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 2, 30));
        cluster.after(25_000, () -> cluster.faults.onRandomMachine(SimulatedWorker::crash));
        cluster.runUntil(200_000);
        assertAllJobsFinished(cluster, 1);
    }

    @Test
    void resumedMachineNeverRunsTasksStartedElsewhere() {
        SimulatedCluster cluster = new SimulatedCluster(4);
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 2, 40));
        cluster.after(
                20_000,
                () ->
                        cluster.faults.onRandomMachine(
                                worker -> {
                                    worker.setHung(true);
                                    cluster.after(9_000, () -> worker.setHung(false));
                                }));
        cluster.runUntil(250_000);
        assertAllJobsFinished(cluster, 1);
    }

    @Test
    void cancelledJobOnHungMachineEndsInTime() {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.start();
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 8, 2, 300));
        cluster.after(25_000, () -> cluster.faults.onRandomMachine(worker -> worker.setHung(true)));
        cluster.cancelAfter(26_000, "wk-000001");
        cluster.runUntil(200_000);
        assertNoViolations(cluster);
        assertTrue(cluster.wasToldFinalStatus("wk-000001", "cancelled"));
    }

    private static boolean puts(ObjectNode transaction, String prefix) {
        for (JsonNode operation : transaction.path("then")) {
            if (operation.path("put").asText().startsWith(prefix)) {
                return true;
            }
        }
        return false;
    }

    /**
     * A controller's process ends while its member announcement is on its way, and its successor
     * joins before the announcement arrives. The member's record then once named the dead process's
     * lease and was removed with it: the successor held a shard, commanded no workers and counted
     * as lost permanently.
     */
    @Test
    void delayedMemberAnnouncementDoesNotReplaceSuccessor() {
        SimulatedCluster cluster = new SimulatedCluster(91);
        cluster.start();
        RandomScenarios.submitRandomJobs(cluster, 20, 2_000);
        cluster.runUntil(10_000);
        ObjectNode[] delayed = {null};
        cluster.store.dropsTransaction =
                transaction -> {
                    if (delayed[0] == null && puts(transaction, "a/n/worker-1")) {
                        delayed[0] = transaction;
                        cluster.faults.crashAfter(0, 1, 100);
                        return true;
                    }
                    return false;
                };
        cluster.faults.crashController(1, 100);
        cluster.runUntil(12_500);
        long successorLeaseId = cluster.store.value("a/n/worker-1").path("g").asLong();
        cluster.network.call(
                "10.0.0.2:0",
                SimulatedCluster.STORE_ADDRESS,
                "POST",
                "/commit",
                WireFormat.CBOR.encode(delayed[0]),
                1_000,
                (status, body, retryAfterSeconds) -> {});
        cluster.runUntil(30_000);
        assertEquals(successorLeaseId, cluster.store.value("a/n/worker-1").path("g").asLong());
        cluster.runUntil(300_000);
        assertAllJobsFinished(cluster, 20);
    }

    /**
     * A copy of its transaction once recreated the record of a provisioning request that was
     * settled long ago, and its machines reappeared on record although they no longer existed.
     */
    @Test
    void duplicatedProvisioningRequestIsNotRecordedAgain() {
        SimulatedCluster cluster = new SimulatedCluster(92);
        cluster.start();
        List<ObjectNode> requests = new ArrayList<>();
        cluster.store.arrivalObserver =
                transaction -> {
                    if (puts(transaction, "a/r/")) {
                        requests.add(transaction);
                    }
                };
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 2, 10));
        cluster.runUntil(60_000);
        assertTrue(!requests.isEmpty());
        cluster.store.arrivalObserver = transaction -> {};
        for (ObjectNode transaction : List.copyOf(requests)) {
            cluster.network.call(
                    "10.0.0.2:0",
                    SimulatedCluster.STORE_ADDRESS,
                    "POST",
                    "/commit",
                    WireFormat.CBOR.encode(transaction),
                    1_000,
                    (status, body, retryAfterSeconds) -> assertEquals(409, status));
        }
        cluster.runUntil(61_000);
        assertTrue(
                cluster.store.keys().stream().noneMatch(key -> key.startsWith("a/r/")),
                "" + cluster.store.keys());
        cluster.runUntil(200_000);
        assertAllJobsFinished(cluster, 1);
    }

    /**
     * A controller that restarts at once must not cause any task to be moved, and five crashes in a
     * row must not cause a flood of shard grants.
     */
    @Test
    void quickControllerRestartMovesNoTask() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        93, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 40)));
        cluster.setTeam("red", 320, 320);
        cluster.start();
        cluster.submitAfter(
                3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 100, 2, 200));
        cluster.runUntil(60_000);
        long initialToken = cluster.store.value("a/term").path("n").asLong();
        for (int i = 0; i < 5; i++) {
            cluster.faults.crashAfter(i * 2_000L, 1, 100);
        }
        cluster.runUntil(90_000);
        assertEquals(100, cluster.taskStartsByJob.get("wk-000001"));
        assertTrue(
                cluster.store.value("a/term").path("n").asLong() - initialToken < 30,
                "terms: " + (cluster.store.value("a/term").path("n").asLong() - initialToken));
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 1);
    }

    /**
     * A poll whose read barrier was pending while another controller recorded the job's end once
     * got 404.
     */
    @Test
    void queriesConcurrentWithCompletionAreAnswered() {
        SimulatedCluster cluster = new SimulatedCluster(20);
        cluster.start();
        for (int i = 1; i <= 10; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 2, 1, 2 + i % 5);
            cluster.submitAfter(3_000, job);
        }
        for (long atMillis = 4_000; atMillis < 60_000; atMillis += 7) {
            int i = (int) (atMillis / 7 % 10) + 1;
            cluster.queryAfter(atMillis, JobFixtures.id(i));
        }
        cluster.runUntil(120_000);
        assertAllJobsFinished(cluster, 10);
    }

    @Test
    void teamStaysWithinItsLimitWhileControllersFail() {
        SimulatedCluster cluster = new SimulatedCluster(7);
        cluster.start();
        for (int i = 1; i <= 12; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.NORMAL, 8, 2, 12);
            cluster.submitAfter(3_000 + i * 700L, job);
        }
        for (int i = 0; i < 6; i++) {
            int controller = i % 3;
            cluster.faults.crashAfter(15_000 + i * 12_000L, controller, 3_000);
        }
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 12);
    }

    /**
     * Workers keep sending heartbeats to a controller that is partitioned only from the store; only
     * the new owner's claim makes them switch.
     */
    @Test
    void tasksOfControllerPartitionedFromStoreKeepRunning() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        33, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 12)));
        cluster.setTeam("red", 96, 96);
        cluster.start();
        cluster.submitAfter(
                3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 40, 2, 120));
        cluster.after(
                45_000,
                () ->
                        cluster.faults.partition(
                                cluster.controllers.get(1).ip, List.of("10.2.0.1"), 30_000));
        cluster.runUntil(100_000);
        assertTrue(
                cluster.taskStartsByJob.get("wk-000001") <= 48,
                "starts: " + cluster.taskStartsByJob);
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 1);
    }
}
