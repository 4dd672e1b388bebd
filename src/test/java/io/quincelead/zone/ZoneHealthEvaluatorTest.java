package io.quincelead.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.ZoneTable;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import io.quincelead.zone.ZoneRecoveryPlan.CandidateMachine;
import io.quincelead.zone.ZoneRecoveryPlan.LostService;
import io.quincelead.zone.ZoneRecoveryPlan.RecoveryStep;
import io.quincelead.zone.ZoneRecoveryPlan.RentableType;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ZoneHealthEvaluatorTest {
    private final ZoneHealthEvaluator evaluator = new ZoneHealthEvaluator(20_000, 60_000);

    private static ZoneHealthEvaluator.ZoneObservation observation(
            int machineCount, int reachableCount, int remainingCount) {
        return new ZoneHealthEvaluator.ZoneObservation(
                machineCount, machineCount, reachableCount, remainingCount, true);
    }

    /**
     * Whatever is seen: lost only by the cloud's word, never by time; from cut alone or from doubt;
     * nothing is judged by who hears nobody.
     */
    @Property(tries = 300, seed = "5")
    void zoneIsLostOnlyByTheCloudsWord(
            @ForAll @Size(min = 5, max = 60)
                    List<@IntRange(min = 0, max = 10) Integer> reachableCounts,
            @ForAll @IntRange(min = 0, max = 3) int goneQuarters) {
        Zone zone = Zone.up("a");
        int remainingCount = 10;
        long nowMillis = 0;
        for (int i = 0; i < reachableCounts.size() && zone != null; i++) {
            nowMillis += 7_000;
            remainingCount = i > reachableCounts.size() / 2 ? 10 - goneQuarters * 10 / 4 : 10;
            Zone next =
                    evaluator.evaluate(
                            zone,
                            observation(
                                    10,
                                    Math.min(reachableCounts.get(i), remainingCount),
                                    remainingCount),
                            nowMillis);
            if (next != null && next.state() == State.LOST && zone.state() != State.LOST) {
                assertTrue(remainingCount <= 5, "lost with " + remainingCount + " of 10 left");
                assertTrue(zone.state() == State.DOUBTFUL || zone.state() == State.CUT);
            }
            if (next != null && next.state() == State.SETTLED && zone.state() == State.RETURNING) {
                assertTrue(nowMillis - zone.sinceEpochMillis() > 60_000);
            }
            zone = next;
        }
    }

    @Test
    void onlookerThatReachesNobodyChangesNoState() {
        Zone zone = Zone.up("a");
        assertEquals(
                zone,
                evaluator.evaluate(
                        zone,
                        new ZoneHealthEvaluator.ZoneObservation(10, 10, 0, 10, false),
                        1_000));
        assertEquals(
                zone,
                evaluator.evaluate(
                        zone, new ZoneHealthEvaluator.ZoneObservation(10, 3, 0, 10, true), 1_000));
        assertEquals(
                State.DOUBTFUL, evaluator.evaluate(zone, observation(10, 2, 10), 1_000).state());
    }

    @Test
    void flappingZoneMustHoldLongerToSettle() {
        Zone flappedOnce =
                new Zone("a", State.RETURNING, 0, 10, 1, "", ZoneTable.OperatorOrder.NONE);
        assertEquals(
                State.SETTLED,
                evaluator.evaluate(flappedOnce, observation(10, 10, 10), 61_000).state());
        Zone flappedThrice =
                new Zone("a", State.RETURNING, 0, 10, 3, "", ZoneTable.OperatorOrder.NONE);
        assertEquals(
                State.RETURNING,
                evaluator.evaluate(flappedThrice, observation(10, 10, 10), 61_000).state());
        assertEquals(
                State.SETTLED,
                evaluator.evaluate(flappedThrice, observation(10, 10, 10), 241_000).state());
        assertNull(
                evaluator.evaluate(
                        new Zone("a", State.DOUBTFUL, 0, 10, 0, "", ZoneTable.OperatorOrder.HOLD),
                        observation(10, 9, 10),
                        5_000));
    }

    private static LostService service(
            String id,
            int classRank,
            int taskCount,
            Map<String, Integer> survivorsByZone,
            int maxTasksPerZone) {
        return new LostService(
                id,
                "c",
                classRank,
                0,
                taskCount,
                survivorsByZone,
                false,
                2,
                4,
                0,
                "img-" + id,
                20,
                null,
                null,
                true,
                maxTasksPerZone);
    }

    private static CandidateMachine candidate(
            String host,
            String zone,
            double freeCpus,
            Set<String> cachedImages,
            double displaceableCpus) {
        List<double[]> displaceableByPriority =
                new ArrayList<>(
                        List.of(
                                new double[3],
                                new double[3],
                                new double[3],
                                new double[] {displaceableCpus, displaceableCpus * 2, 0}));
        return new CandidateMachine(
                host,
                "g",
                zone,
                false,
                freeCpus,
                freeCpus * 2,
                0,
                2,
                new HashSet<>(cachedImages),
                displaceableByPriority);
    }

    @Test
    void everyServiceGetsOneReplicaBeforeAnyGetsASecond() {
        List<RecoveryStep> plan =
                ZoneRecoveryPlan.compute(
                        List.of(
                                service("b", 5, 3, Map.of(), 9),
                                service("a", 5, 2, Map.of("y", 1), 9),
                                service("z", 1, 1, Map.of(), 9)),
                        List.of(
                                candidate("h1", "y", 2, Set.of("img-b"), 0),
                                candidate("h2", "y", 2, Set.of(), 0),
                                candidate("h3", "y", 0, Set.of(), 4)),
                        List.of(new RentableType("g", "y", false, 8, 16, 0, 2, 30, 1)));
        assertEquals(
                List.of("z 1", "b 1", "b 2", "a 2", "b 3"),
                plan.stream().map(s -> s.jobId() + " " + s.replicaNumber()).toList());
        assertEquals(
                List.of(
                        "free room",
                        "free room, weights there",
                        "displaces other work",
                        "free room",
                        "rented"),
                plan.stream().map(RecoveryStep::method).toList());
        assertEquals(
                List.of(10.0, 0.0, 10.0, 10.0, 40.0),
                plan.stream().map(RecoveryStep::etaSeconds).toList());
    }

    @Test
    void unavailableReplicaNamesItsBindingConstraint() {
        List<RecoveryStep> plan =
                ZoneRecoveryPlan.compute(
                        List.of(service("a", 5, 4, Map.of("y", 2), 2)),
                        List.of(candidate("h1", "y", 100, Set.of(), 0)),
                        List.of());
        assertEquals(2, plan.size());
        assertTrue(
                plan.stream()
                        .allMatch(
                                s ->
                                        s.etaSeconds() < 0
                                                && s.reason()
                                                        .equals(
                                                                "at most 2 of its replicas may be"
                                                                        + " in one zone")),
                "" + plan);
    }
}
