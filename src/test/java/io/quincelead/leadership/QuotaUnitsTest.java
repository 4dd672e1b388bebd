package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Shares of a team at its limit come in whole tasks and gangs of what waits. */
class QuotaUnitsTest {
    private static final double LIMIT = 24;

    /** Splits within which shares settle when no task ends. */
    private static final int SETTLING_SPLITS = 6;

    private static double[] split(double[] shares, double[] used, double[] wanted, double[] units) {
        List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            members.add(
                    new QuotaShareCalculator.MemberQuota(
                            shares[i], used[i], new double[] {wanted[i]}, new double[] {units[i]}));
        }
        return QuotaShareCalculator.split(
                LIMIT, 0, members, QuotaShareCalculator.Reservation.none(shares.length), false);
    }

    /** Tasks start wherever a share lets them in. */
    private static void refill(double[] shares, double[] used, double[] units) {
        for (int i = 0; i < shares.length; i++) {
            while (shares[i] - used[i] >= units[i] - 1e-9) {
                used[i] += units[i];
            }
        }
    }

    /**
     * Shares once ended in parts of tasks, which together were whole tasks that nobody could start.
     */
    @Property(tries = 1000, seed = "31")
    void waitingTasksUseAllThatHoldsAnyOfThem(
            @ForAll @Size(3) List<@DoubleRange(max = 8) Double> startShares,
            @ForAll @Size(3) List<@IntRange(min = 1, max = 5) Integer> unitSizes,
            @ForAll @Size(3) List<@IntRange(min = 20, max = 500) Integer> waitingTasks) {
        double[] shares = startShares.stream().mapToDouble(share -> share).toArray();
        double[] units = unitSizes.stream().mapToDouble(unit -> unit).toArray();
        double[] used = new double[shares.length];
        double[] wanted = new double[shares.length];
        for (int i = 0; i < wanted.length; i++) {
            wanted[i] = waitingTasks.get(i) * units[i];
        }
        for (int split = 0; split < SETTLING_SPLITS; split++) {
            refill(shares, used, units);
            shares = split(shares, used, wanted, units);
            assertTrue(Arrays.stream(shares).sum() <= LIMIT + 1e-6, "beyond the limit");
        }
        refill(shares, used, units);
        double unused = LIMIT - Arrays.stream(used).sum();
        assertTrue(
                unused < Arrays.stream(units).min().orElseThrow(),
                Arrays.toString(used) + " of tasks of " + Arrays.toString(units));
        // Each change of a share fails the scheduling cycles in flight.
        assertArrayEquals(shares, split(shares, used, wanted, units), 1e-9);
    }

    /** Of two gangs on two controllers each was once given half of what it needs. */
    @Test
    void oneOfTwoGangsGetsItsWholeNeed() {
        double[] shares = {5, 5, 14};
        double[] used = {0, 0, 14};
        for (int split = 0; split < SETTLING_SPLITS; split++) {
            shares = split(shares, used, new double[] {8, 8, 0}, new double[] {8, 8, 0});
        }
        assertTrue(Math.max(shares[0], shares[1]) >= 8 - 1e-9, Arrays.toString(shares));
    }
}
