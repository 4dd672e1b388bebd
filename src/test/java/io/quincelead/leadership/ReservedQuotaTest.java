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
 * A team at its limit whose arrays refill each CPU that comes free, and gangs that need theirs at
 * one time. Priorities here: 0 urgent, 1 normal.
 */
class ReservedQuotaTest {
    private static final double LIMIT = 24;
    private static final int MEMBERS = 3;
    private static final int NORMAL = 1;

    /** Splits after which a gang whose quota is free must have it. */
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

    /** A split in which any amount is of use. */
    private static double[] split(
            double[] shares,
            double[] used,
            double[][] wanted,
            QuotaShareCalculator.Reservation reservation) {
        List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(
                    new QuotaShareCalculator.MemberQuota(
                            shares[i], used[i], wanted[i], new double[wanted[i].length]));
        }
        return QuotaShareCalculator.split(LIMIT, 0, members, reservation, false);
    }

    private static double[][] wanted(double[] urgent, double[] normal) {
        double[][] wanted = new double[urgent.length][];
        for (int i = 0; i < urgent.length; i++) {
            wanted[i] = new double[] {urgent[i], normal[i]};
        }
        return wanted;
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
                        wanted(array(urgent), array(normal)),
                        reservation(member, need, priority));
        assertTrue(
                committed(nextShares, array(used))
                        <= Math.max(LIMIT, committed(array(shares), array(used))) + 1e-6);
        assertTrue(Arrays.stream(nextShares).allMatch(share -> share >= 0));
    }

    /** A gang that has its whole quota takes nothing from what runs elsewhere. */
    @Property(tries = 500, seed = "22")
    void reservationThatIsMetLeavesOthersTheirUse(
            @ForAll @Size(MEMBERS) List<@DoubleRange(max = 6) Double> used,
            @ForAll @DoubleRange(max = 6) double need,
            @ForAll @IntRange(max = MEMBERS - 1) int member) {
        double[] usedArray = array(used);
        double[] shares = usedArray.clone();
        shares[member] += need;
        double[][] wanted = wanted(new double[MEMBERS], new double[] {100, 100, 100});
        double[] nextShares = split(shares, usedArray, wanted, reservation(member, need));
        for (int i = 0; i < MEMBERS; i++) {
            assertTrue(nextShares[i] >= usedArray[i] - 1e-9, Arrays.toString(nextShares));
        }
        assertTrue(nextShares[member] >= shares[member] - 1e-9, Arrays.toString(nextShares));
    }

    /** Gangs once waited for ever beside arrays that took each CPU as it came free. */
    @Test
    void arraysThatRefillGiveUpOnlyWhatTheGangLacks() {
        double[] used = {12, 12, 0};
        double[][] wanted = wanted(new double[MEMBERS], new double[] {100, 100, 0});
        double[] shares = split(used, used, wanted, reservation(2, 8));
        assertArrayEquals(new double[] {4, 4, 0}, shares, 1e-9);
    }

    @Test
    void urgentDemandGetsFreedQuotaBeforeTheGang() {
        double[] shares = {4, 4, 0};
        double[] used = {10, 6, 0};
        double[][] wanted = wanted(new double[] {0, 5, 0}, new double[] {100, 100, 0});
        double[] nextShares = split(shares, used, wanted, reservation(2, 8));
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

    /** A small service: each member's array refills its share, and gangs wait at two members. */
    private static final class Service {
        final SplittableRandom random;
        final double[] shares;
        final double[] used;
        final int[] gangMembers;
        final double[] gangNeeds;
        int startedGangs;

        Service(long seed) {
            random = new SplittableRandom(seed);
            used = new double[] {8, 8, 8};
            shares = used.clone();
            gangMembers = new int[] {random.nextInt(MEMBERS), random.nextInt(MEMBERS)};
            gangNeeds = new double[] {1 + random.nextInt(24), 1 + random.nextInt(24)};
        }

        private boolean gangWaits() {
            return startedGangs < gangNeeds.length;
        }

        /** One of the member's running tasks of one CPU ends. */
        void endTask(int member) {
            used[member] = Math.max(0, used[member] - 1);
        }

        /** The member's array takes what its share leaves beside the reserved gang. */
        void refill(int member) {
            double withheld =
                    gangWaits() && gangMembers[startedGangs] == member
                            ? gangNeeds[startedGangs]
                            : 0;
            while (shares[member] - used[member] - withheld >= 1 - 1e-9) {
                used[member]++;
            }
        }

        void split() {
            double[][] wanted = wanted(new double[MEMBERS], new double[] {200, 200, 200});
            QuotaShareCalculator.Reservation reservation =
                    gangWaits()
                            ? reservation(gangMembers[startedGangs], gangNeeds[startedGangs])
                            : QuotaShareCalculator.Reservation.none(MEMBERS);
            double[] next = ReservedQuotaTest.split(shares, used, wanted, reservation);
            System.arraycopy(next, 0, shares, 0, MEMBERS);
        }

        void startGangIfWhole() {
            if (gangWaits()) {
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
     * Whatever the order in which tasks end, arrays refill and splits are written after the first
     * one: when each task that ran at that split has ended, the first gang has started, and the
     * second likewise.
     */
    @Property(tries = 500, seed = "23")
    void gangsGetTheirWholeQuotaInTurn(@ForAll long seed) {
        Service service = new Service(seed);
        for (int gang = 1; gang <= 2; gang++) {
            service.split();
            int[] tasksToEnd =
                    Arrays.stream(service.used).mapToInt(used -> (int) Math.round(used)).toArray();
            while (Arrays.stream(tasksToEnd).sum() > 0 && service.startedGangs < gang) {
                int member = service.random.nextInt(MEMBERS);
                switch (service.random.nextInt(3)) {
                    case 0 -> service.split();
                    case 1 -> service.refill(member);
                    default -> {
                        if (tasksToEnd[member] > 0) {
                            tasksToEnd[member]--;
                            service.endTask(member);
                        }
                    }
                }
                service.startGangIfWhole();
                service.checkLimit();
            }
            for (int split = 0; split < MAX_SPLITS && service.startedGangs < gang; split++) {
                service.split();
                service.startGangIfWhole();
                service.checkLimit();
            }
            assertTrue(service.startedGangs >= gang, "gang " + gang + " has not started");
        }
    }

    /** When no gang waits any more, the arrays have the whole limit again. */
    @Property(tries = 200, seed = "24")
    void quotaReturnsToTheArraysWhenTheGangHasStarted(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] used = {8, 8, 8};
        double[] shares = used.clone();
        double[][] wanted = wanted(new double[MEMBERS], new double[] {200, 200, 200});
        double need = 1 + random.nextInt(20);
        int member = random.nextInt(MEMBERS);
        shares = split(shares, used, wanted, reservation(member, need));
        used = new double[] {4, 2, 6};
        for (int split = 0; split < MAX_SPLITS; split++) {
            shares = split(shares, used, wanted, QuotaShareCalculator.Reservation.none(MEMBERS));
            for (int i = 0; i < MEMBERS; i++) {
                used[i] += Math.max(0, Math.floor(shares[i] - used[i] + 1e-9));
            }
        }
        assertTrue(Arrays.stream(used).sum() > LIMIT - MEMBERS, Arrays.toString(used));
    }
}
