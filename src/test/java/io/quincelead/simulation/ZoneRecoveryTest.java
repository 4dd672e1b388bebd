package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Loss and return of a zone, with failures of controllers at every step. */
class ZoneRecoveryTest {
    /**
     * All replicas of a model were once in one zone and lost with it. Every model must keep
     * replicas, and the lost ones must run again soon after the evidence of the loss.
     */
    @ParameterizedTest
    @ValueSource(strings = {"none", "leader", "two", "all"})
    void zoneLossLeavesEveryModelServing(String crashing) {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(81, true);
        cluster.runUntil(85_000);
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertTrue(
                                        byZone.size() >= 2
                                                && ThreeZoneFixtures.replicaCount(byZone) == 6,
                                        model + " " + byZone));
        cluster.after(5_000, () -> ThreeZoneFixtures.crashZone(cluster, "a"));
        cluster.after(
                5_500,
                () -> {
                    int leader = cluster.leaderIndex();
                    for (int i = 0; i < cluster.controllers.size(); i++) {
                        boolean crashes =
                                crashing.equals("all")
                                        || crashing.equals("leader") && i == leader
                                        || crashing.equals("two")
                                                && (i == leader || i == (leader + 1) % 5);
                        if (crashes) {
                            cluster.faults.crashController(i, crashing.equals("all") ? 100 : 3_000);
                        }
                    }
                });
        int[] minReplicas = {99};
        for (long atMillis = 6_000; atMillis < 100_000; atMillis += 1_000) {
            cluster.after(
                    atMillis,
                    () ->
                            minReplicas[0] =
                                    Math.min(
                                            minReplicas[0],
                                            ThreeZoneFixtures.runningReplicas(cluster)
                                                    .values()
                                                    .stream()
                                                    .mapToInt(ThreeZoneFixtures::replicaCount)
                                                    .min()
                                                    .orElse(0)));
        }
        cluster.runUntil(150_000);
        assertEquals(Set.of(), cluster.violations());
        assertTrue(minReplicas[0] >= 1, "least replicas of a model: " + minReplicas[0]);
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertEquals(
                                        6,
                                        ThreeZoneFixtures.replicaCount(byZone),
                                        model + " " + byZone));
        assertTrue(
                Set.of("lost", "returning", "settled")
                        .contains(ThreeZoneFixtures.zoneState(cluster, "a")),
                ThreeZoneFixtures.zoneState(cluster, "a"));
    }

    /** All zones are lost: one replica of every model must be back before any model has many. */
    @Test
    void oneReplicaOfEveryModelComesFirst() {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(82, true);
        cluster.runUntil(90_000);
        List.of("a", "b", "c").forEach(z -> ThreeZoneFixtures.crashZone(cluster, z));
        int[] maxReplicas = {0};
        boolean[] allServing = {false};
        for (long atMillis = 500; atMillis < 120_000; atMillis += 250) {
            cluster.after(
                    atMillis,
                    () -> {
                        Map<String, Map<String, Integer>> replicas =
                                ThreeZoneFixtures.runningReplicas(cluster);
                        allServing[0] |=
                                replicas.values().stream()
                                        .allMatch(z -> ThreeZoneFixtures.replicaCount(z) > 0);
                        if (!allServing[0]) {
                            maxReplicas[0] =
                                    Math.max(
                                            maxReplicas[0],
                                            replicas.values().stream()
                                                    .mapToInt(ThreeZoneFixtures::replicaCount)
                                                    .max()
                                                    .orElse(0));
                        }
                    });
        }
        cluster.runUntil(220_000);
        assertEquals(Set.of(), cluster.violations());
        assertTrue(allServing[0]);
        assertTrue(
                maxReplicas[0] <= 2,
                "replicas of one model while another had none: " + maxReplicas[0]);
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertEquals(
                                        6,
                                        ThreeZoneFixtures.replicaCount(byZone),
                                        model + " " + byZone));
    }

    /**
     * A zone is partitioned with a controller inside, without one, or with the leader: no task may
     * run twice, and replicas inside the zone must keep serving.
     */
    @ParameterizedTest
    @CsvSource({"none, 40000", "one, 40000", "leader, 40000", "one, 1000", "none, 30000"})
    void partitionedZoneKeepsItsPlacements(String inside, long durationMillis) {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(83, true);
        cluster.runUntil(90_000);
        int leader = cluster.leaderIndex();
        List<Integer> insideControllers =
                inside.equals("none")
                        ? List.of()
                        : inside.equals("leader") ? List.of(leader) : List.of((leader + 1) % 5);
        cluster.faults.partitionZone("b", insideControllers, durationMillis);
        List<String> states = new ArrayList<>();
        for (long atMillis = 1_000; atMillis < 100_000; atMillis += 1_000) {
            cluster.after(atMillis, () -> states.add(ThreeZoneFixtures.zoneState(cluster, "b")));
        }
        cluster.runUntil(260_000);
        assertEquals(Set.of(), cluster.violations());
        assertTrue(!states.contains("lost"), "" + states);
        int starts = 0;
        for (int i = 1; i <= ThreeZoneFixtures.MODEL_COUNT; i++) {
            starts += cluster.taskStartsByJob.getOrDefault(ThreeZoneFixtures.modelId(i), 0);
        }
        // With five controllers, a worker's lease is too short to try each of them for its owner:
        // in a longer partition, tasks end with their leases.
        assertTrue(starts <= (durationMillis > 17_500 ? 72 + 36 : 72 + 4), "starts: " + starts);
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertEquals(
                                        6,
                                        ThreeZoneFixtures.replicaCount(byZone),
                                        model + " " + byZone));
    }

    /**
     * Operators release a partitioned zone: its replicas must run again elsewhere, and the zone
     * counts as lost on the cloud's confirmation.
     */
    @Test
    void releasedZoneIsLost() {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(84, true);
        cluster.runUntil(90_000);
        cluster.faults.partitionZone("b", List.of(1), 120_000);
        Map<String, ObjectNode> answers = new HashMap<>();
        cluster.after(
                30_000,
                () ->
                        OperatorCommands.commandUntilAnswered(
                                cluster,
                                "/ops/zones/release",
                                OperatorCommands.json("{'change':'r1','zone':'b'}"),
                                answers));
        cluster.runUntil(175_000);
        assertEquals(Set.of(), cluster.violations());
        assertTrue(
                Set.of("lost", "returning", "settled")
                        .contains(ThreeZoneFixtures.zoneState(cluster, "b")),
                ThreeZoneFixtures.zoneState(cluster, "b"));
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertEquals(
                                        6,
                                        ThreeZoneFixtures.replicaCount(byZone),
                                        model + " " + byZone));
        cluster.runUntil(400_000);
        assertEquals(Set.of(), cluster.violations());
    }

    /** A priority class sets for how long its replicas may be left in a partitioned zone. */
    @Test
    void classSetsZonePatience() {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(85, true);
        cluster.after(
                10_000,
                () ->
                        OperatorCommands.commandUntilAnswered(
                                cluster,
                                "/ops/classes/apply",
                                OperatorCommands.json(
                                        "{'change':'c1','classes':[{'name':'models','rank':10,"
                                            + "'match':{'mode':'standing'},'zonePatienceS':25}]}")));
        cluster.runUntil(90_000);
        cluster.faults.partitionZone("b", List.of(), 120_000);
        cluster.runUntil(150_000);
        assertEquals(Set.of(), cluster.violations());
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) ->
                                assertEquals(
                                        6,
                                        ThreeZoneFixtures.replicaCount(byZone)
                                                - byZone.getOrDefault("b", 0),
                                        model + " " + byZone));
    }

    /**
     * A zone that returns must first stay up. Then the spread is restored by moves, with one
     * replica of a model stopped at a time, and none while a calendar window is open.
     */
    @Test
    void zoneSpreadIsRestoredGradually() {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(86, true);
        cluster.runUntil(90_000);
        ThreeZoneFixtures.crashZone(cluster, "a");
        int[] minReplicas = {99};
        cluster.runUntil(140_000);
        int startsBefore = cluster.taskStartsByJob.values().stream().mapToInt(count -> count).sum();
        for (long atMillis = 0; atMillis < 300_000; atMillis += 500) {
            cluster.after(
                    atMillis,
                    () ->
                            minReplicas[0] =
                                    Math.min(
                                            minReplicas[0],
                                            ThreeZoneFixtures.runningReplicas(cluster)
                                                    .values()
                                                    .stream()
                                                    .mapToInt(ThreeZoneFixtures::replicaCount)
                                                    .min()
                                                    .orElse(0)));
        }
        cluster.runUntil(440_000);
        assertEquals(Set.of(), cluster.violations());
        assertTrue(minReplicas[0] >= 5, "least replicas of a model: " + minReplicas[0]);
        assertTrue(startsBefore > 0);
        Map<String, Map<String, Integer>> replicas = ThreeZoneFixtures.runningReplicas(cluster);
        long modelsInZoneA =
                replicas.values().stream()
                        .filter(byZone -> byZone.getOrDefault("a", 0) >= 1)
                        .count();
        assertTrue(
                modelsInZoneA >= ThreeZoneFixtures.MODEL_COUNT - 1,
                "" + replicas + " " + ThreeZoneFixtures.zoneState(cluster, "a"));
    }

    /**
     * A returned zone gets replicas of every model again, on seeds that failed in each of the two
     * known ways: five and three of the eight failing seeds of 80 to 95.
     *
     * <p>82 and 89: the zone stayed "returning" permanently. To settle it needs a machine that
     * sends heartbeats, but machines were provisioned there only for moves, and nothing moved while
     * a zone was returning; the other zones had capacity for all replicas (32 machines each, 0 in
     * the returning zone from 118 s on).
     *
     * <p>84 and 88: a replica was stopped to be moved and started again in a zone that it was to
     * leave, 23 times in 300 s. The rebalancer had found capacity in any shard, while the leader
     * placed on its own machines first and looked for the zone with the fewest replicas among those
     * alone.
     */
    @ParameterizedTest
    @ValueSource(longs = {82, 84, 88, 89})
    void everyModelGetsReplicasInReturnedZoneByFewMoves(long seed) {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(seed, true);
        cluster.runUntil(90_000);
        ThreeZoneFixtures.crashZone(cluster, "a");
        cluster.runUntil(140_000);
        Map<String, Integer> startsBefore = new HashMap<>(cluster.taskStartsByJob);
        cluster.runUntil(440_000);
        assertEquals(Set.of(), cluster.violations());
        assertEquals("settled", ThreeZoneFixtures.zoneState(cluster, "a"));
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) -> {
                            assertTrue(byZone.getOrDefault("a", 0) >= 1, model + " " + byZone);
                            int moves =
                                    cluster.taskStartsByJob.get(model)
                                            - startsBefore.getOrDefault(model, 0);
                            // Six replicas in one zone become two in each by four moves.
                            assertTrue(moves <= 4, model + " was moved " + moves + " times");
                        });
    }

    /**
     * The recovery plan for the assumed loss of a zone must have a step for every replica in that
     * zone, and the query must change nothing.
     */
    @Test
    void recoveryPlanIsShownWithoutSideEffects() {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(87, true);
        cluster.runUntil(90_000);
        long revision = cluster.store.revision();
        int replicasInZoneA =
                ThreeZoneFixtures.runningReplicas(cluster).values().stream()
                        .mapToInt(byZone -> byZone.getOrDefault("a", 0))
                        .sum();
        ObjectNode[] plan = {null};
        ObjectNode request = WireFormat.newMap();
        request.putArray("lost").add("a");
        cluster.sendOperatorCommand(
                2, "/ops/zones/plan", request, (status, response) -> plan[0] = response);
        cluster.runUntil(90_100);
        assertEquals(replicasInZoneA, plan[0].path("list").size(), "" + plan[0]);
        assertTrue(cluster.store.revision() - revision < 20);
        plan[0].path("list")
                .forEach(
                        step ->
                                assertTrue(
                                        step.path("etaS").asInt() >= 0
                                                && !step.path("where").asText().endsWith("in a"),
                                        "" + step));
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204})
    void randomScenarioWithZoneLossKeepsInvariants(long seed) {
        assertEquals("", RandomScenarios.playZoneLoss(seed).problems());
    }
}
