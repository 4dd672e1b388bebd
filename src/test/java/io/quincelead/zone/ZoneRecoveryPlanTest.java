package io.quincelead.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ZoneRecoveryPlanTest {
    private static RecoverableService service(
            String id,
            int classRank,
            int taskCount,
            Map<String, Integer> survivorsByZone,
            int maxTasksPerZone) {
        return new RecoverableService(
                id,
                "c",
                classRank,
                0,
                taskCount,
                survivorsByZone,
                false,
                new Resources(2, 4, 0),
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
        return new CandidateMachine(
                host,
                new MachineOffering("g", zone, false, 2),
                new Resources(freeCpus, freeCpus * 2, 0),
                List.of(
                        Resources.NONE,
                        Resources.NONE,
                        Resources.NONE,
                        new Resources(displaceableCpus, displaceableCpus * 2, 0)),
                cachedImages);
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
                        List.of(
                                new RentableType(
                                        new MachineOffering("g", "y", false, 2),
                                        new Resources(8, 16, 0),
                                        30,
                                        1)));
        assertEquals(
                List.of("z 1", "b 1", "b 2", "a 2", "b 3"),
                plan.stream().map(step -> step.jobId() + " " + step.replicaNumber()).toList());
        assertEquals(
                List.of(
                        "free room",
                        "free room, weights there",
                        "displaces other work",
                        "free room",
                        "rented"),
                plan.stream().map(RecoveryStep::capacitySource).toList());
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
                                step ->
                                        step.etaSeconds() < 0
                                                && step.reason()
                                                        .equals(
                                                                "at most 2 of its replicas may be"
                                                                        + " in one zone")),
                "" + plan);
    }
}
