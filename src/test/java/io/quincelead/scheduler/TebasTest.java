package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the pass against examples computed by hand from the paper's Algorithm 1. */
class TebasTest {
    private static List<Tebas.CandidateMachine> machines(int... capacities) {
        List<Tebas.CandidateMachine> machines = new ArrayList<>();
        for (int i = 0; i < capacities.length; i++) {
            machines.add(new Tebas.CandidateMachine("m" + i, 1, capacities[i], capacities[i]));
        }
        return machines;
    }

    private static int[] assigned(List<Tebas.CandidateMachine> machines) {
        return machines.stream().mapToInt(machine -> machine.assigned).toArray();
    }

    private static void assertAssigned(List<Tebas.CandidateMachine> machines, int... expected) {
        assertEquals(
                java.util.Arrays.toString(expected), java.util.Arrays.toString(assigned(machines)));
    }

    @Test
    void fitnessFollowsAmdahlsLaw() {
        assertEquals(1.0, Tebas.fitness(0.9, 1, 1), 1e-12);
        // k = 4: 1 / (0.1 + 0.9 / 4) = 3.0769...
        assertEquals(1 / 0.325, Tebas.fitness(0.9, 4, 1), 1e-12);
        assertEquals(1.0, Tebas.fitness(0, 16, 3), 1e-12);
    }

    @Test
    void taskCapacityIsTheScarcestResource() {
        assertEquals(3, Tebas.taskCapacity(8, 14, 0, 2, 4, 0));
        assertEquals(1, Tebas.taskCapacity(8, 64, 1, 2, 4, 1));
        assertEquals(0, Tebas.taskCapacity(-1, 64, 1, 2, 4, 0));
    }

    @Test
    void theFirstGroupTakesAllThatFits() {
        // Six machines, beta 3: two groups. Seven tasks: 7 / 3 = 2 each for the first three, then 1
        // / 3 < 1: one for the fourth.
        List<Tebas.CandidateMachine> machines = machines(9, 8, 7, 6, 5, 4);
        assertEquals(0, Tebas.assign(machines, 7, 3));
        assertAssigned(machines, 2, 2, 2, 1, 0, 0);
    }

    @Test
    void oneTaskEachWhenFewerTasksThanMachines() {
        List<Tebas.CandidateMachine> machines = machines(9, 8, 7, 6, 5, 4);
        assertEquals(0, Tebas.assign(machines, 2, 3));
        assertAssigned(machines, 1, 1, 0, 0, 0, 0);
    }

    @Test
    void remainingCapacityBoundsAndFurtherSweepsFillUp() {
        // Ten tasks, 3 machines in one group: 3 each, but the last holds 1; the second sweep places
        // what is left.
        List<Tebas.CandidateMachine> machines = machines(9, 4, 1);
        assertEquals(0, Tebas.assign(machines, 10, 3));
        assertAssigned(machines, 5, 4, 1);
    }

    @Test
    void theLastGroupHoldsTheRemainder() {
        // Seven machines, beta 3: two groups, of 3 and of 4.
        List<Tebas.CandidateMachine> machines = machines(1, 1, 1, 1, 1, 1, 1);
        assertEquals(2, Tebas.assign(machines, 9, 3));
        assertAssigned(machines, 1, 1, 1, 1, 1, 1, 1);
    }

    @Test
    void higherFitnessComesBeforeMoreCapacity() {
        List<Tebas.CandidateMachine> machines =
                new ArrayList<>(
                        List.of(
                                new Tebas.CandidateMachine("slow", 1.0, 50, 50),
                                new Tebas.CandidateMachine("fast", 1.2, 2, 2)));
        assertEquals(0, Tebas.assign(machines, 1, 1));
        assertAssigned(machines, 0, 1);
    }

    @Test
    void neverMoreThanCapacityAndNeverLessThanPossible() {
        SplittableRandom random = new SplittableRandom(5964);
        for (int run = 0; run < 500; run++) {
            int machineCount = random.nextInt(0, 12);
            List<Tebas.CandidateMachine> machines = new ArrayList<>();
            int totalCapacity = 0;
            int[] capacities = new int[machineCount];
            for (int i = 0; i < machineCount; i++) {
                capacities[i] = random.nextInt(0, 9);
                totalCapacity += capacities[i];
                machines.add(
                        new Tebas.CandidateMachine(
                                "m" + i, random.nextInt(3), capacities[i], capacities[i]));
            }
            int tasks = random.nextInt(0, 60);
            int unassigned = Tebas.assign(machines, tasks, random.nextInt(1, 5));
            assertEquals(Math.max(0, tasks - totalCapacity), unassigned);
            for (int i = 0; i < machineCount; i++) {
                assertEquals(
                        capacities[i],
                        machines.get(i).assigned + machines.get(i).remainingCapacity);
            }
        }
    }
}
