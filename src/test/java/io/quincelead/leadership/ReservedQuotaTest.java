package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Reservations for gangs of a team at its limit, whose arrays refill each CPU that becomes free
 * while a gang needs all its CPUs at once. Priorities in this test: 0 urgent, 1 normal.
 */
class ReservedQuotaTest {
    private static final double LIMIT = 24;
    private static final int MEMBERS = 3;
    private static final int NORMAL = 1;

    /** Number of splits after which a gang must have its quota if enough is free. */
    private static final int MAX_SPLITS = 4;

    private static double committed(double[] shares, double[] used) {
        double sum = 0;
        for (int i = 0; i < used.length; i++) {
            sum += Math.max(shares[i], used[i]);
        }
        return sum;
    }

    private static double[] array(List<Double> list) {
        return list.stream().mapToDouble(x -> x).toArray();
    }

    /** A split in which any amount is useful. */
    private static double[] split(
            double[] shares,
            double[] used,
            double[][] pending,
            QuotaShareCalculator.Reservation reservation) {
        List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(
                    new QuotaShareCalculator.MemberQuota(
                            shares[i], used[i], pending[i], new double[pending[i].length]));
        }
        return QuotaShareCalculator.split(LIMIT, 0, members, reservation, false);
    }

    private static double[][] pendingByMember(double[] urgent, double[] normal) {
        double[][] pending = new double[urgent.length][];
        for (int i = 0; i < urgent.length; i++) {
            pending[i] = new double[] {urgent[i], normal[i]};
        }
        return pending;
    }

    @Property(tries = 2000, seed = "21")
    void splitWithReservationNeverPassesTheLimit(
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 20) Double> shares,
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 20) Double> used,
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 60) Double> urgent,
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 60) Double> normal,
            @ForAll @DoubleRange(max = LIMIT) double need,
            @ForAll @IntRange(max = MEMBERS - 1) int member,
            @ForAll @IntRange(max = NORMAL) int priority) {
        double[] nextShares =
                split(
                        array(shares),
                        array(used),
                        pendingByMember(array(urgent), array(normal)),
                        reservation(member, need, priority));
        assertTrue(
                committed(nextShares, array(used))
                        <= Math.max(LIMIT, committed(array(shares), array(used))) + 1e-6);
        assertTrue(Arrays.stream(nextShares).allMatch(share -> share >= 0));
    }

    /** A gang with its whole quota takes none from tasks that run at other members. */
    @Property(tries = 500, seed = "22")
    void satisfiedReservationTakesNothingFromOtherMembers(
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 6) Double> used,
            @ForAll @DoubleRange(max = 6) double need,
            @ForAll @IntRange(max = MEMBERS - 1) int member) {
        double[] usedArray = array(used);
        double[] shares = usedArray.clone();
        shares[member] += need;
        double[][] pending = pendingByMember(new double[MEMBERS], new double[] {100, 100, 100});
        double[] nextShares = split(shares, usedArray, pending, reservation(member, need));
        for (int i = 0; i < MEMBERS; i++) {
            assertTrue(nextShares[i] >= usedArray[i] - 1e-9, Arrays.toString(nextShares));
        }
        assertTrue(nextShares[member] >= shares[member] - 1e-9, Arrays.toString(nextShares));
    }

    /** Gangs once waited indefinitely because arrays took each CPU as it became free. */
    @Test
    void refillingArraysGiveUpOnlyWhatTheGangLacks() {
        double[] used = {12, 12, 0};
        double[][] pending = pendingByMember(new double[MEMBERS], new double[] {100, 100, 0});
        double[] shares = split(used, used, pending, reservation(2, 8));
        assertArrayEquals(new double[] {4, 4, 0}, shares, 1e-9);
    }

    @Test
    void urgentDemandGetsFreedQuotaBeforeTheGang() {
        double[] shares = {4, 4, 0};
        double[] used = {10, 6, 0};
        double[][] pending = pendingByMember(new double[] {0, 5, 0}, new double[] {100, 100, 0});
        double[] nextShares = split(shares, used, pending, reservation(2, 8));
        assertEquals(11, nextShares[1], 1e-9);
        assertEquals(3, nextShares[2], 1e-9);
    }

    private static QuotaShareCalculator.Reservation reservation(int member, double need) {
        return reservation(member, need, NORMAL);
    }

    private static QuotaShareCalculator.Reservation reservation(
            int member, double need, int priority) {
        double[] amounts = new double[MEMBERS];
        amounts[member] = need;
        return new QuotaShareCalculator.Reservation(amounts, priority);
    }

    /** Simulates a team: each member's array refills its share, and two gangs are pending. */
    private static final class TeamSimulation {
        final SplittableRandom random;
        final double[] shares;
        final double[] used;
        final int[] gangMembers;
        final double[] gangNeeds;
        int startedGangs;

        TeamSimulation(long seed) {
            random = new SplittableRandom(seed);
            used = new double[] {8, 8, 8};
            shares = used.clone();
            gangMembers = new int[] {random.nextInt(MEMBERS), random.nextInt(MEMBERS)};
            gangNeeds = new double[] {1 + random.nextInt(24), 1 + random.nextInt(24)};
        }

        private boolean isGangPending() {
            return startedGangs < gangNeeds.length;
        }

        /** Ends one of the member's running tasks of one CPU. */
        void endTask(int member) {
            used[member] = Math.max(0, used[member] - 1);
        }

        /** Starts tasks of the member's array on the share not withheld for the reserved gang. */
        void refill(int member) {
            double withheld =
                    isGangPending() && gangMembers[startedGangs] == member
                            ? gangNeeds[startedGangs]
                            : 0;
            while (shares[member] - used[member] - withheld >= 1 - 1e-9) {
                used[member]++;
            }
        }

        void split() {
            double[][] pending = pendingByMember(new double[MEMBERS], new double[] {200, 200, 200});
            QuotaShareCalculator.Reservation reservation =
                    isGangPending()
                            ? reservation(gangMembers[startedGangs], gangNeeds[startedGangs])
                            : QuotaShareCalculator.Reservation.none(MEMBERS);
            double[] next = ReservedQuotaTest.split(shares, used, pending, reservation);
            System.arraycopy(next, 0, shares, 0, MEMBERS);
        }

        void startGangIfQuotaSuffices() {
            if (isGangPending()) {
                int member = gangMembers[startedGangs];
                if (shares[member] - used[member] >= gangNeeds[startedGangs] - 1e-9) {
                    used[member] += gangNeeds[startedGangs];
                    startedGangs++;
                }
            }
        }

        void checkLimit() {
            assertTrue(committed(shares, used) <= LIMIT + 1e-6, "beyond the limit");
        }
    }

    /**
     * After the first split, tasks end, arrays refill and splits are written in random order. Once
     * all tasks that ran at that split have ended, the first gang has started; the same holds for
     * the second gang.
     */
    @Property(tries = 500, seed = "23")
    void gangsGetTheirWholeQuotaInTurn(@ForAll long seed) {
        TeamSimulation simulation = new TeamSimulation(seed);
        for (int gang = 1; gang <= 2; gang++) {
            simulation.split();
            int[] tasksToEnd =
                    Arrays.stream(simulation.used)
                            .mapToInt(used -> (int) Math.round(used))
                            .toArray();
            while (Arrays.stream(tasksToEnd).sum() > 0 && simulation.startedGangs < gang) {
                int member = simulation.random.nextInt(MEMBERS);
                switch (simulation.random.nextInt(3)) {
                    case 0 -> simulation.split();
                    case 1 -> simulation.refill(member);
                    default -> {
                        if (tasksToEnd[member] > 0) {
                            tasksToEnd[member]--;
                            simulation.endTask(member);
                        }
                    }
                }
                simulation.startGangIfQuotaSuffices();
                simulation.checkLimit();
            }
            for (int split = 0; split < MAX_SPLITS && simulation.startedGangs < gang; split++) {
                simulation.split();
                simulation.startGangIfQuotaSuffices();
                simulation.checkLimit();
            }
            assertTrue(simulation.startedGangs >= gang, "gang " + gang + " has not started");
        }
    }

    /** Once no gang is pending any more, the arrays can use the whole limit again. */
    @Property(tries = 200, seed = "24")
    void quotaReturnsToTheArraysWhenTheGangHasStarted(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] used = {8, 8, 8};
        double[] shares = used.clone();
        double[][] pending = pendingByMember(new double[MEMBERS], new double[] {200, 200, 200});
        double need = 1 + random.nextInt(20);
        int member = random.nextInt(MEMBERS);
        shares = split(shares, used, pending, reservation(member, need));
        used = new double[] {4, 2, 6};
        for (int split = 0; split < MAX_SPLITS; split++) {
            shares = split(shares, used, pending, QuotaShareCalculator.Reservation.none(MEMBERS));
            for (int i = 0; i < MEMBERS; i++) {
                used[i] += Math.max(0, Math.floor(shares[i] - used[i] + 1e-9));
            }
        }
        assertTrue(Arrays.stream(used).sum() > LIMIT - MEMBERS, Arrays.toString(used));
    }
}
