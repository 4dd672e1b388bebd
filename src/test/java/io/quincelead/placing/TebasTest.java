package io.quincelead.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The pass against examples worked by hand from the paper's Algorithm 1. */
class TebasTest {
    private static List<Tebas.Seat> seats(int... caps) {
        List<Tebas.Seat> out = new ArrayList<>();
        for (int i = 0; i < caps.length; i++) {
            out.add(new Tebas.Seat("m" + i, 1, caps[i], caps[i]));
        }
        return out;
    }

    private static int[] assigned(List<Tebas.Seat> seats) {
        return seats.stream().mapToInt(s -> s.assigned).toArray();
    }

    private static void assertAssigned(List<Tebas.Seat> seats, int... expected) {
        assertEquals(java.util.Arrays.toString(expected), java.util.Arrays.toString(assigned(seats)));
    }

    @Test void fitnessFollowsAmdahlsLaw() {
        assertEquals(1.0, Tebas.fitness(0.9, 1, 1), 1e-12);
        // k = 4: 1 / (0.1 + 0.9 / 4) = 3.0769...
        assertEquals(1 / 0.325, Tebas.fitness(0.9, 4, 1), 1e-12);
        assertEquals(1.0, Tebas.fitness(0, 16, 3), 1e-12);
    }

    @Test void remainCapIsTheScarcestResource() {
        assertEquals(3, Tebas.remainCap(8, 14, 0, 2, 4, 0));
        assertEquals(1, Tebas.remainCap(8, 64, 1, 2, 4, 1));
        assertEquals(0, Tebas.remainCap(-1, 64, 1, 2, 4, 0));
    }

    @Test void theFirstGroupTakesAllThatFits() {
        // Six machines, beta 3: two groups. Seven tasks: 7 / 3 = 2 each for the first three, then 1 / 3 < 1: one for the fourth.
        List<Tebas.Seat> s = seats(9, 8, 7, 6, 5, 4);
        assertEquals(0, Tebas.pass(s, 7, 3));
        assertAssigned(s, 2, 2, 2, 1, 0, 0);
    }

    @Test void oneTaskEachWhenFewerTasksThanMachines() {
        List<Tebas.Seat> s = seats(9, 8, 7, 6, 5, 4);
        assertEquals(0, Tebas.pass(s, 2, 3));
        assertAssigned(s, 1, 1, 0, 0, 0, 0);
    }

    @Test void remainCapBoundsAndFurtherSweepsFillUp() {
        // Ten tasks, 3 machines in one group: 3 each, but the last holds 1; the second sweep places what is left.
        List<Tebas.Seat> s = seats(9, 4, 1);
        assertEquals(0, Tebas.pass(s, 10, 3));
        assertAssigned(s, 5, 4, 1);
    }

    @Test void theLastGroupHoldsTheRemainder() {
        // Seven machines, beta 3: two groups, of 3 and of 4.
        List<Tebas.Seat> s = seats(1, 1, 1, 1, 1, 1, 1);
        assertEquals(2, Tebas.pass(s, 9, 3));
        assertAssigned(s, 1, 1, 1, 1, 1, 1, 1);
    }

    @Test void higherFitnessComesBeforeMoreRoom() {
        List<Tebas.Seat> s = new ArrayList<>(List.of(new Tebas.Seat("slow", 1.0, 50, 50), new Tebas.Seat("fast", 1.2, 2, 2)));
        assertEquals(0, Tebas.pass(s, 1, 1));
        assertAssigned(s, 0, 1);
    }

    @Test void neverMoreThanRoomAndNeverLessThanPossible() {
        SplittableRandom random = new SplittableRandom(5964);
        for (int run = 0; run < 500; run++) {
            int n = random.nextInt(0, 12);
            List<Tebas.Seat> s = new ArrayList<>();
            int room = 0;
            int[] caps = new int[n];
            for (int i = 0; i < n; i++) {
                caps[i] = random.nextInt(0, 9);
                room += caps[i];
                s.add(new Tebas.Seat("m" + i, random.nextInt(3), caps[i], caps[i]));
            }
            int tasks = random.nextInt(0, 60);
            int left = Tebas.pass(s, tasks, random.nextInt(1, 5));
            assertEquals(Math.max(0, tasks - room), left);
            for (int i = 0; i < n; i++) {
                assertEquals(caps[i], s.get(i).assigned + s.get(i).remainCap);
            }
        }
    }
}
