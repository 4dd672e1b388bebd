package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.LONG_LEASE_MILLIS;
import static io.quincelead.simulation.CompoundFaultFixtures.anyStartsWith;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static io.quincelead.simulation.CompoundFaultFixtures.commitDirectly;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Writes that are committed late or twice, and controllers whose watch cache is behind the store
 * (docs/design/compound-faults.md).
 */
class DelayedWriteTest {
    /**
     * A scheduling cycle's transaction gets no response and is committed seconds later, after a
     * newer cycle has given its team's quota to another job. Its preconditions once covered only
     * its own job and the shard, which no later cycle had changed, and a team exceeded its limit.
     */
    @Test
    void delayedSchedulingCommitDoesNotExceedTeamLimit() {
        SimulatedCluster cluster = clusterWithReadyMachines(1, 1, 12);
        cluster.start();
        cluster.runUntil(8_000);
        ObjectNode[] delayed = {null};
        int[] status = {0};
        cluster.store.dropsTransaction =
                transaction -> {
                    if (delayed[0] == null
                            && anyStartsWith(transaction.path("then"), "put", "a/j/wk-000001")
                            && anyStartsWith(transaction.path("guards"), "path", "a/b/")) {
                        delayed[0] = transaction;
                        cluster.submitAfter(
                                900,
                                JobFixtures.array(2, "blue", JobSpec.Priority.HIGH, 12, 2, 30));
                        cluster.after(6_000, () -> commitDirectly(cluster, transaction, status));
                        return true;
                    }
                    return false;
                };
        cluster.submit(JobFixtures.array(1, "blue", JobSpec.Priority.NORMAL, 12, 2, 30));
        cluster.runUntil(20_000);
        assertTrue(
                delayed[0] != null && cluster.taskStartsByJob.getOrDefault("wk-000002", 0) == 12,
                "the meeting: " + cluster.taskStartsByJob);
        assertEquals(409, status[0]);
        cluster.runUntil(200_000);
        assertAllJobsFinished(cluster, 2);
    }

    /**
     * The transaction that released an idle machine once got no response and was committed when
     * tasks ran on the machine again, which its preconditions didn't cover.
     */
    @Test
    void delayedScaleInCommitDoesNotReleaseMachineInUse() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        3, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 3)), 1);
        cluster.start();
        int[] status = {0};
        cluster.store.dropsTransaction =
                transaction -> {
                    for (JsonNode operation : transaction.path("then")) {
                        if (status[0] == 0
                                && operation.path("put").asText().startsWith("a/m/")
                                && operation.path("value").has("x")) {
                            status[0] = 1;
                            cluster.submit(
                                    JobFixtures.array(
                                            2, "red", JobSpec.Priority.NORMAL, 12, 2, 30));
                            cluster.after(
                                    5_000, () -> commitDirectly(cluster, transaction, status));
                            return true;
                        }
                    }
                    return false;
                };
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 2, 10));
        cluster.runUntil(250_000);
        assertEquals(409, status[0]);
        assertEquals(12, cluster.taskStartsByJob.get("wk-000002"));
        assertAllJobsFinished(cluster, 2);
    }

    /**
     * A lost controller's job is reassigned to a controller whose watch is delayed. The new owner
     * once used its quota share a second time besides the use that came with the job, and the
     * leader's next division of the quota counted only one of the two: a team exceeded its limit.
     */
    @Test
    void reassignedJobKeepsItsQuotaUse() {
        SimulatedCluster cluster = clusterWithReadyMachines(4, 3, 18);
        cluster.start();
        cluster.runUntil(8_000);
        int lostController = (cluster.leaderIndex() + 1) % 3;
        cluster.submit(
                JobFixtures.array(1, "blue", JobSpec.Priority.NORMAL, 12, 1, 300), lostController);
        cluster.runUntil(16_000);
        assertEquals(12, cluster.taskStartsByJob.get("wk-000001"));
        int leader = cluster.leaderIndex();
        int[] newOwner = {-1};
        cluster.store.arrivalObserver =
                transaction -> {
                    for (JsonNode operation : transaction.path("then")) {
                        if (newOwner[0] < 0
                                && operation.path("put").asText().equals("a/j/wk-000001")
                                && cluster.indexOfController(
                                                operation.path("value").path("c").asText())
                                        != lostController) {
                            newOwner[0] =
                                    cluster.indexOfController(
                                            operation.path("value").path("c").asText());
                            for (int controller : new int[] {leader, newOwner[0]}) {
                                cluster.store.setWatchDelayed(
                                        cluster.controllers.get(controller).ip, true);
                                cluster.after(
                                        2_500,
                                        () ->
                                                cluster.store.setWatchDelayed(
                                                        cluster.controllers.get(controller).ip,
                                                        false));
                            }
                            cluster.submit(
                                    JobFixtures.array(2, "blue", JobSpec.Priority.HIGH, 12, 1, 60),
                                    newOwner[0]);
                            cluster.submit(
                                    JobFixtures.array(3, "blue", JobSpec.Priority.HIGH, 12, 1, 60),
                                    leader);
                        }
                    }
                };
        cluster.expectFaultsUntil(110_000);
        cluster.controllers.get(lostController).kill();
        cluster.runUntil(100_000);
        assertTrue(newOwner[0] >= 0 && newOwner[0] != leader, "the heir: " + newOwner[0]);
        cluster.controllers.get(lostController).start();
        cluster.runUntil(700_000);
        assertAllJobsFinished(cluster, 3);
    }

    /**
     * A copy of the transaction that settles a provisioning request arrives long after its machines
     * were released. Their shared record was absent again, as before the first settlement, and the
     * copy once restored it.
     */
    @Test
    void duplicatedProvisioningSettlementDoesNotRestoreReleasedMachines() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        2, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 40)));
        cluster.start();
        List<ObjectNode> settlements = new ArrayList<>();
        cluster.store.arrivalObserver =
                transaction -> {
                    if (anyStartsWith(transaction.path("then"), "remove", "a/r/")
                            && anyStartsWith(transaction.path("then"), "put", "a/m/")) {
                        settlements.add(transaction);
                    }
                };
        cluster.submitAfter(3_000, JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 12, 2, 10));
        cluster.runUntil(60_000);
        assertTrue(!settlements.isEmpty());
        long untilMillis = 60_000;
        while (cluster.store.keys().stream().anyMatch(key -> key.startsWith("a/m/"))
                && untilMillis < 400_000) {
            cluster.runUntil(untilMillis += 1_000);
        }
        assertTrue(untilMillis < 400_000, "machines stayed: " + cluster.store.keys());
        int[] status = {0};
        commitDirectly(cluster, settlements.get(0), status);
        cluster.runUntil(untilMillis + 1_000);
        assertEquals(409, status[0]);
        assertAllJobsFinished(cluster, 1);
    }

    /**
     * A copy of the transaction that registers machines that no controller had provisioned arrives
     * long after they were released. It must not restore their record.
     */
    @Test
    void duplicatedMachineRegistrationDoesNotRestoreReleasedMachines() {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        2, List.of(SimulatedCloud.MachineType.small(5, List.of("a"), 40)));
        cluster.cloud.addRunningMachines("small", "a", 6);
        List<ObjectNode> registrations = new ArrayList<>();
        cluster.store.arrivalObserver =
                transaction -> {
                    if (anyStartsWith(transaction.path("then"), "put", "a/m/s-")) {
                        registrations.add(transaction);
                    }
                };
        cluster.start();
        cluster.runUntil(60_000);
        assertTrue(!registrations.isEmpty());
        long untilMillis = 60_000;
        while (cluster.store.keys().stream().anyMatch(key -> key.startsWith("a/m/"))
                && untilMillis < 400_000) {
            cluster.runUntil(untilMillis += 1_000);
        }
        assertTrue(untilMillis < 400_000, "machines stayed: " + cluster.store.keys());
        int[] status = {0};
        commitDirectly(cluster, registrations.get(0), status);
        cluster.runUntil(untilMillis + 1_000);
        assertEquals(409, status[0]);
    }

    /**
     * Restarted controllers list the store page by page while large jobs are submitted and started.
     * A record of task states on a late page was once read before its job, taken for a leftover of
     * an old job, and later ignored as already known; its tasks were placed twice.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobSubmittedDuringPagedRelistIsReadCompletely(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 60);
        cluster.start();
        cluster.runUntil(12_000);
        cluster.store.maxPageSize = 3;
        for (int i = 1; i <= 12; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 220, 0.2, 15);
            cluster.submitAfter(i * 400L, job);
        }
        int[] restarts = {0};
        for (int i = 0; i < 6; i++) {
            int controller = i % 3;
            cluster.after(
                    1_000 + i * 3_500L,
                    () -> {
                        restarts[0]++;
                        cluster.faults.crashController(controller, 100);
                    });
        }
        cluster.store.maxExtraLatencyMillis = 60;
        cluster.runUntil(40_000);
        cluster.store.maxExtraLatencyMillis = 0;
        cluster.store.maxPageSize = 1_000;
        assertEquals(6, restarts[0]);
        cluster.runUntil(600_000);
        assertAllJobsFinished(cluster, 12);
    }

    /**
     * Leadership moves between controllers and back; then all crash and one restarts at once,
     * twice, while earlier writes are still to be committed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedFailoverWithDelayedWritesKeepsInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i, i % 2 == 0 ? "red" : "blue", JobSpec.Priority.NORMAL, 5, 1, 20);
            cluster.submitAfter(2_000 + i * 1_500L, job);
        }
        cluster.store.delayedWriteRate = 0.2;
        Set<Integer> leaders = new HashSet<>();
        for (int k = 0; k < 5; k++) {
            cluster.after(
                    10_000 + k * 9_000L,
                    () -> {
                        leaders.add(cluster.leaderIndex());
                        cluster.faults.crashController(
                                Math.max(0, cluster.leaderIndex()),
                                cluster.faults.quickRestartDelayMillis() + 3_000);
                    });
        }
        cluster.after(
                56_000,
                () -> {
                    for (int i = 0; i < 3; i++) {
                        cluster.faults.crashController(i, i == seed % 3 ? 200 : 6_000);
                    }
                });
        cluster.faults.crashAfter(57_500, (int) (seed % 3), 200);
        cluster.after(70_000, () -> cluster.store.delayedWriteRate = 0);
        cluster.expectFaultsUntil(90_000);
        cluster.runUntil(100_000);
        assertTrue(leaders.size() > 1, "leaders: " + leaders);
        assertTrue(
                cluster.store.delayedWritesApplied > 0 && cluster.store.delayedWritesRejected > 0,
                "late: "
                        + cluster.store.delayedWritesApplied
                        + " landed, "
                        + cluster.store.delayedWritesRejected
                        + " failed");
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 30);
    }

    /**
     * The two or three tasks of a job end far apart, and the leader and the job's owner crash in
     * between: a completed task must not start again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void completedTaskOfSmallJobSurvivesFailover(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.start();
        for (int i = 1; i <= 20; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 2 + i % 2, 2, 50);
            cluster.submitAfter(2_000, job);
        }
        int[] partlyCompletedJobs = {0};
        for (int second = 30; second < 80; second += 7) {
            cluster.after(
                    second * 1000L,
                    () -> {
                        for (int i = 1; i <= 20; i++) {
                            String id = JobFixtures.id(i);
                            long completedTasks =
                                    cluster.completedTasks.stream()
                                            .filter(task -> task.startsWith(id + "/"))
                                            .count();
                            partlyCompletedJobs[0] +=
                                    completedTasks > 0 && completedTasks < 2 + i % 2 ? 1 : 0;
                        }
                        cluster.faults.crashController(
                                Math.max(0, cluster.leaderIndex()),
                                cluster.random().nextBoolean() ? 200 : 5_000);
                    });
        }
        cluster.runUntil(400_000);
        assertTrue(partlyCompletedJobs[0] > 5, "jobs in between: " + partlyCompletedJobs[0]);
        assertAllJobsFinished(cluster, 20);
        for (int i = 1; i <= 20; i++) {
            assertEquals(
                    2 + i % 2,
                    cluster.taskStartsByJob.get(JobFixtures.id(i)),
                    "starts of job " + i);
        }
    }

    /**
     * The controller that is asked to cancel a job doesn't know yet of the placements of the job's
     * first tasks: it must not confirm the cancellation.
     */
    @Test
    void controllerUnawareOfFirstPlacementsDoesNotConfirmCancellation() {
        SimulatedCluster cluster = clusterWithReadyMachines(6, 3, 18);
        cluster.start();
        cluster.runUntil(8_000);
        int askedController = (cluster.leaderIndex() + 1) % 3;
        int otherController = (cluster.leaderIndex() + 2) % 3;
        boolean[] observed = {false, false};
        cluster.store.arrivalObserver =
                t -> {
                    if (!observed[0] && anyStartsWith(t.path("then"), "put", "a/t/wk-000001/")) {
                        observed[0] = true;
                        cluster.store.setWatchDelayed(
                                cluster.controllers.get(askedController).ip, true);
                        cluster.cancel("wk-000001", askedController);
                        cluster.after(
                                4_000,
                                () ->
                                        cluster.store.setWatchDelayed(
                                                cluster.controllers.get(askedController).ip,
                                                false));
                    }
                };
        cluster.submit(
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 250, 0.2, 100),
                otherController);
        for (int t = 8_000; t < 30_000; t += 10) {
            cluster.after(
                    t - 8_000,
                    () ->
                            observed[1] |=
                                    cluster.cancellationConfirmedAtMillis("wk-000001") >= 0
                                            && cluster.cloud.machines.values().stream()
                                                    .anyMatch(
                                                            worker ->
                                                                    worker.tasks.values().stream()
                                                                            .anyMatch(
                                                                                    SimulatedWorker
                                                                                                    .SimulatedTask
                                                                                            ::occupiesMachine)));
        }
        cluster.runUntil(60_000);
        assertTrue(
                observed[0] && cluster.taskStartsByJob.get("wk-000001") > 0,
                "the meeting: " + cluster.taskStartsByJob);
        assertTrue(!observed[1], "told while tasks were on machines");
        assertAllJobsFinished(cluster, 1);
    }

    /**
     * Jobs are cancelled as soon as their placements are on record. A job without a started task
     * once waited for its machine's next heartbeat before its cancellation was confirmed.
     */
    @Test
    void cancellationOfJobWithoutStartsIsConfirmedAtOnce() {
        SimulatedCluster cluster = clusterWithReadyMachines(5, 1, 12);
        cluster.heartbeatIntervalMillis = 4_000;
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        cluster.runUntil(20_000);
        long[] confirmationDelaysMillis = new long[41];
        for (int i = 1; i <= 40; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 6, 1, 30);
            int jobNumber = i;
            cluster.submitAfter(i * 1_000L, job);
            cluster.after(
                    i * 1_000L + 250,
                    () -> {
                        confirmationDelaysMillis[jobNumber] = -cluster.nowMillis();
                        cluster.cancel(job.jobId());
                    });
        }
        cluster.runUntil(100_000);
        for (int i = 1; i <= 40; i++) {
            confirmationDelaysMillis[i] += cluster.cancellationConfirmedAtMillis(JobFixtures.id(i));
        }
        java.util.Arrays.sort(confirmationDelaysMillis);
        assertTrue(
                confirmationDelaysMillis[1] > 0 && confirmationDelaysMillis[36] < 1_500,
                "ms until told: " + java.util.Arrays.toString(confirmationDelaysMillis));
        assertEquals(Set.of(), cluster.violations());
    }
}
