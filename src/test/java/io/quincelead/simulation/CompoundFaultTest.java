package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.LONG_LEASE_MILLIS;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static io.quincelead.simulation.CompoundFaultFixtures.controllerIps;
import static io.quincelead.simulation.CompoundFaultFixtures.machinesOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Faults that coincide (docs/design/compound-faults.md). Each test injects its faults and asserts
 * that they really coincided.
 */
class CompoundFaultTest {
    /**
     * The store rejects only the leader's requests, the other controllers confirm cancellations,
     * and then the store is down for all controllers for longer than {@code cancel_s}. All the
     * while the workers send their heartbeats to the old leader. The seed sets the time between the
     * two faults.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void cancellationsConfirmedBetweenLeaderRefusalAndStoreOutageTakeEffect(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 30);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 60; i++) {
            // One job in four belongs to a team at its limit, and most of those have no placement
            // yet.
            JobSpec job =
                    i % 4 == 0
                            ? JobFixtures.array(i, "blue", JobSpec.Priority.NORMAL, 12, 2, 100)
                            : JobFixtures.array(
                                    i, "red", JobSpec.Priority.NORMAL, 1 + i % 3, 1, 200);
            cluster.submitAfter(2_000 + i * 200L, job);
        }
        cluster.runUntil(40_000);
        int oldLeader = cluster.leaderIndex();
        long gapMillis = 500 + seed * 950;
        cluster.faults.injectStoreRefusal(oldLeader, 14_000);
        List<String> jobsElsewhere =
                jobsWithoutTaskOnOwnMachines(cluster, cluster.controllers.get(oldLeader).memberId);
        for (int i = 1; i <= 40; i++) {
            String id = JobFixtures.id(i);
            cluster.cancelAfter(cluster.random().nextLong(Math.min(gapMillis, 1_000)), id);
        }
        cluster.after(gapMillis, () -> cluster.faults.injectStoreOutage(64_000));
        cluster.runUntil(40_000 + gapMillis + 64_000);
        long confirmedInGap =
                cluster.jobsById.keySet().stream()
                        .filter(
                                id ->
                                        cluster.cancellationConfirmedAtMillis(id) >= 40_000
                                                && cluster.cancellationConfirmedAtMillis(id)
                                                        <= 40_000 + gapMillis + 10)
                        .count();
        assertTrue(confirmedInGap > 0, "nobody was told in the gap");
        // Cancellations are also confirmed for jobs of the rejected leader whose tasks were on
        // other controllers' machines: once no controller ended these tasks.
        assertNotEquals(List.of(), jobsElsewhere);
        if (gapMillis > 5_000) {
            jobsElsewhere.forEach(
                    id ->
                            assertTrue(
                                    cluster.cancellationConfirmedAtMillis(id) >= 0
                                            && cluster.cancellationConfirmedAtMillis(id)
                                                    <= 40_000 + gapMillis,
                                    id + " told at " + cluster.cancellationConfirmedAtMillis(id)));
        }
        cluster.runUntil(900_000);
        assertAllJobsFinished(cluster, 60);
        assertEquals(
                40,
                cluster.jobsById.keySet().stream()
                        .filter(id -> cluster.cancellationConfirmedAtMillis(id) >= 0)
                        .count());
    }

    /** The jobs among the first 40 that the controller owns but that none of its machines runs. */
    private static List<String> jobsWithoutTaskOnOwnMachines(
            SimulatedCluster cluster, String controllerName) {
        Set<String> ownHosts = machinesOf(cluster, controllerName);
        List<String> result = new ArrayList<>();
        for (int i = 1; i <= 40; i++) {
            String id = JobFixtures.id(i);
            JsonNode record = cluster.store.value("a/j/" + id);
            boolean runsOnOwnMachine =
                    ownHosts.stream()
                            .anyMatch(host -> record.path("k").path("p").asText().contains(host));
            if (record.path("c").asText().equals(controllerName) && !runsOnOwnMachine) {
                result.add(id);
            }
        }
        return result;
    }

    /** A further fault besides the store's rejection of the leader and its outage. */
    private enum AdditionalFault {
        SECOND_CONTROLLER_REFUSED,
        CONFIRMING_CONTROLLER_CRASH,
        OLD_LEADER_RESTARTS_WITH_STORE,
        SECOND_REFUSAL_AND_OUTAGE
    }

    static Stream<Arguments> additionalFaultsAndSeeds() {
        return ScenarioArguments.withSeeds(AdditionalFault.values(), 10);
    }

    @ParameterizedTest
    @MethodSource("additionalFaultsAndSeeds")
    void cancellationsBetweenLeaderRefusalAndStoreOutageSurviveAnAdditionalFault(
            AdditionalFault fault, int seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 1 + i % 3, 1, 150);
            cluster.submitAfter(2_000 + i * 200L, job);
        }
        cluster.runUntil(30_000);
        int oldLeader = cluster.leaderIndex();
        long gapMillis = 2_000 + seed * 700;
        cluster.faults.injectStoreRefusal(oldLeader, 14_000);
        for (int i = 1; i <= 20; i++) {
            String id = JobFixtures.id(i);
            cluster.cancelAfter(cluster.random().nextLong(1_500), id);
        }
        cluster.after(gapMillis, () -> cluster.faults.injectStoreOutage(60_000));
        switch (fault) {
            case SECOND_CONTROLLER_REFUSED ->
                    cluster.after(
                            gapMillis / 2,
                            () -> cluster.faults.injectStoreRefusal((oldLeader + 1) % 3, 12_000));
            case CONFIRMING_CONTROLLER_CRASH ->
                    cluster.faults.crashAfter(gapMillis - 100, (oldLeader + 1) % 3, 300);
            case OLD_LEADER_RESTARTS_WITH_STORE ->
                    cluster.faults.crashAfter(gapMillis + 59_800, oldLeader, 250);
            default ->
                    cluster.after(
                            gapMillis + 75_000,
                            () -> {
                                cluster.faults.injectStoreRefusal(
                                        Math.max(0, cluster.leaderIndex()), 14_000);
                                cluster.cancel("wk-000021");
                                cluster.after(
                                        gapMillis, () -> cluster.faults.injectStoreOutage(60_000));
                            });
        }
        cluster.runUntil(30_000 + gapMillis + 10);
        assertTrue(
                cluster.jobsById.keySet().stream()
                        .anyMatch(id -> cluster.cancellationConfirmedAtMillis(id) >= 30_000),
                fault + ": nobody was told in the gap");
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 30);
        assertTrue(
                cluster.jobsById.keySet().stream()
                                .filter(id -> cluster.cancellationConfirmedAtMillis(id) >= 0)
                                .count()
                        >= 20,
                fault + ": not all were told");
    }

    /**
     * The leader is partitioned from the store and the other controllers, while workers and users
     * still reach it: cancellations and submissions must go through its successor.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void partitionedLeaderGivesNoStaleAnswers(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 20);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 3, 1, 60);
            cluster.submitAfter(i < 20 ? 2_000 : 34_000 + i * 600L, job);
        }
        cluster.runUntil(30_000);
        int oldLeader = cluster.leaderIndex();
        List<String> otherIps = new ArrayList<>(List.of("10.2.0.1"));
        cluster.controllers.forEach(controller -> otherIps.add(controller.ip));
        otherIps.remove(cluster.controllers.get(oldLeader).ip);
        cluster.faults.partition(cluster.controllers.get(oldLeader).ip, otherIps, 40_000);
        for (int i = 1; i <= 10; i++) {
            String id = JobFixtures.id(i);
            cluster.cancelAfter(2_000 + i * 2_000L, id);
        }
        for (int second = 1; second < 40; second++) {
            String id = JobFixtures.id(1 + second % 30);
            cluster.queryAfter(second * 1_000L, id);
        }
        cluster.runUntil(66_000);
        assertNotEquals(oldLeader, cluster.leaderIndex());
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 30);
        // Tasks on the old leader's machines kept running: its successor claimed the workers by the
        // addresses on record.
        for (int i = 11; i < 20; i++) {
            assertEquals(3, cluster.taskStartsByJob.get(JobFixtures.id(i)));
        }
    }

    /**
     * The store is slow, then rejects the leader's requests, then is down for longer than {@code
     * cancel_s}, while users cancel and query jobs.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void slowRefusingAndFailingStoreKeepsInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 20);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 2, 2, 40);
            cluster.submitAfter(2_000 + i * 900L, job);
        }
        cluster.after(30_000, () -> cluster.store.maxExtraLatencyMillis = 1_900);
        cluster.after(
                40_000,
                () ->
                        cluster.faults.injectStoreRefusal(
                                Math.max(0, cluster.leaderIndex()), 12_000));
        cluster.after(47_000, () -> cluster.faults.injectStoreOutage(55_000));
        cluster.after(110_000, () -> cluster.store.maxExtraLatencyMillis = 0);
        cluster.expectFaultsUntil(110_000);
        for (int i = 1; i <= 12; i++) {
            String id = JobFixtures.id(i);
            cluster.cancelAfter(31_000 + i * 2_000L, id);
        }
        cluster.runUntil(47_000);
        long confirmedWhileSlow =
                cluster.jobsById.keySet().stream()
                        .filter(id -> cluster.cancellationConfirmedAtMillis(id) >= 0)
                        .count();
        assertTrue(confirmedWhileSlow > 0, "nobody was told while the store was slow");
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 30);
    }

    /**
     * The leader crashes while machines with long tasks receive nothing, although their heartbeats
     * arrive. Such machines once counted as healthy: they got tasks that never started, a new owner
     * waited indefinitely for its claim to arrive, and they were passed from one controller to the
     * next.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void machinesUnreachableInboundAreDeclaredLost(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 14; i++) {
            JobSpec job =
                    JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 6, 1, i < 7 ? 80 : 15);
            cluster.submitAfter(i < 7 ? 2_000 : 25_000 + i * 2_000L, job);
        }
        cluster.runUntil(20_000);
        List<SimulatedWorker> unreachable =
                cluster.cloud.machines.values().stream()
                        .filter(
                                worker ->
                                        worker.up
                                                && Integer.parseInt(worker.host.substring(2)) % 4
                                                        == 0)
                        .toList();
        unreachable.forEach(worker -> cluster.faults.makeUnreachableInbound(worker, 400_000));
        int oldLeader = cluster.leaderIndex();
        cluster.faults.crashController(oldLeader, 15_000);
        cluster.runUntil(20_000 + 150_000);
        assertNotEquals(0, unreachable.size());
        unreachable.forEach(
                worker -> assertTrue(worker.released, worker.host + " hears nobody and is kept"));
        cluster.runUntil(300_000);
        assertAllJobsFinished(cluster, 14);
        assertEquals(List.of(), cluster.serviceLevels().starved());
    }

    /**
     * The leader crashes while machines with long tasks are partitioned from all controllers, for
     * longer than their lease on some seeds and for less on others.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void machinesPartitionedAtLeaderFailoverRunNoTaskTwice(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 10; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 6, 1, 90);
            cluster.submitAfter(2_000, job);
        }
        cluster.runUntil(20_000);
        long durationMillis = seed % 2 == 0 ? 12_000 : 45_000;
        List<String> controllerIps = new ArrayList<>();
        cluster.controllers.forEach(controller -> controllerIps.add(controller.ip));
        Set<String> partitionedHosts = new HashSet<>();
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            if (Integer.parseInt(worker.host.substring(2)) % 3 == 0 && !worker.tasks.isEmpty()) {
                partitionedHosts.add(worker.host);
                cluster.faults.partition(
                        worker.address.substring(0, worker.address.indexOf(':')),
                        controllerIps,
                        durationMillis);
            }
        }
        assertNotEquals(Set.of(), partitionedHosts);
        int oldLeader = cluster.leaderIndex();
        cluster.faults.crashController(oldLeader, 3_000);
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 10);
    }

    /**
     * Copies of old heartbeats reach controllers that no longer own the machine. They once caused
     * healthy machines to be moved away from their owners.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void staleHeartbeatsMoveNoMachine(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 20);
        cluster.heartbeatIntervalMillis = 4_000;
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 8; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 6, 1, 100);
            cluster.submitAfter(2_000, job);
        }
        cluster.runUntil(15_000);
        cluster.network.staleHeartbeatRate = 1;
        cluster.network.maxStaleHeartbeatDelayMillis = seed == 1 ? 45_000 : 9_000;
        cluster.expectFaultsUntil(130_000);
        // Machines change owners, by the loss of a controller and by rebalancing, so that copies
        // reach former owners.
        cluster.faults.crashController((cluster.leaderIndex() + 1) % 3, 1_000);
        cluster.runUntil(25_000);
        long fencingToken = cluster.store.value("a/term").path("n").asLong();
        int[] stuckReports = {0};
        cluster.network.requestObserver =
                (path, body) ->
                        stuckReports[0] +=
                                path.equals("/peer/stray")
                                                && WireFormat.JSON
                                                        .decodeMap(body)
                                                        .path("stuck")
                                                        .asBoolean()
                                        ? 1
                                        : 0;
        cluster.runUntil(85_000);
        assertTrue(
                cluster.network.staleHeartbeatsSent > 100,
                "copies: " + cluster.network.staleHeartbeatsSent);
        assertTrue(
                cluster.store.value("a/term").path("n").asLong() > fencingToken,
                "no machine changed hands");
        assertEquals(0, stuckReports[0], "machines were called stuck");
        cluster.network.staleHeartbeatRate = 0;
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 8);
    }

    /**
     * Kills, claims and their responses arrive seconds late, after the next attempt, session or
     * owner.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void delayedCommandsKeepInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 8);
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            i % 4 == 0 ? JobSpec.Priority.HIGH : JobSpec.Priority.BEST_EFFORT,
                            4,
                            2,
                            15);
            cluster.submitAfter(2_000 + i * 1_500L, job);
            if (i % 3 == 0) {
                cluster.cancelAfter(6_000 + i * 1_500L, job.jobId());
            }
        }
        cluster.network.commandHoldRate = 0.6;
        cluster.faults.crashLeaderAfter(15_000, 300);
        cluster.faults.crashLeaderAfter(30_000, 8_000);
        cluster.after(80_000, () -> cluster.network.commandHoldRate = 0);
        cluster.expectFaultsUntil(95_000);
        cluster.runUntil(80_000);
        assertTrue(
                cluster.network.heldCommandCount > 20, "held: " + cluster.network.heldCommandCount);
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 24);
    }

    /**
     * The response to a kill arrives after the heartbeat that shows tasks started on the machine
     * since then. It must not count as evidence about those tasks.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void overtakenKillResponseIsNoEvidence(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 8);
        cluster.start();
        cluster.network.commandHoldRate = 0.7;
        cluster.network.minCommandResponseDelayMillis = 1_000 + (int) seed * 100;
        for (int i = 1; i <= 40; i++) {
            boolean high = i % 2 == 0;
            JobSpec job =
                    JobFixtures.array(
                            i,
                            high ? "blue" : "red",
                            high ? JobSpec.Priority.HIGH : JobSpec.Priority.BEST_EFFORT,
                            high ? 8 : 24,
                            1,
                            high ? 4 : 20);
            cluster.submitAfter(2_000 + i * 1_000L, job);
        }
        cluster.runUntil(60_000);
        assertTrue(
                cluster.network.heldCommandCount > 30, "held: " + cluster.network.heldCommandCount);
        cluster.network.commandHoldRate = 0;
        cluster.runUntil(600_000);
        assertAllJobsFinished(cluster, 40);
    }

    /** Two or three faults of all kinds, 0 to 10 s apart, three times in a scenario. */
    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void randomCompoundFaultsOfAllKindsKeepInvariants(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(300_000 + seed);
        CompoundFaults.playAllKinds(cluster);
        assertEquals(Set.of(), cluster.violations());
        assertEquals(List.of(), cluster.unfinishedJobs());
        assertEquals(List.of(), CompoundFaults.starvedDespiteCapacity(cluster));
    }

    /** Two or three faults of the initial kinds, 0 to 10 s apart, three times in a scenario. */
    @ParameterizedTest
    // 20559: while the store was slow, a lost controller's job was reassigned. A scheduling cycle
    // that the new owner had planned without the job's use was committed after that, within the
    // quota share, and the leader's next division of the quota counted only one of the two uses.
    @ValueSource(
            longs = {
                20559, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21,
                22, 23, 24
            })
    void randomCompoundFaultsOfInitialKindsKeepInvariants(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(80_000 + seed);
        CompoundFaults.playInitialKinds(cluster);
        assertAllJobsFinished(cluster, 45);
        assertEquals(List.of(), CompoundFaults.starved(cluster));
    }
}
