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

/** Shares of a team at its limit are split in whole pending tasks and gangs. */
class QuotaUnitsTest {
    private static final double LIMIT = 24;

    /** Number of splits within which the shares become stable if no task ends. */
    private static final int SETTLING_SPLITS = 6;

    private static double[] split(
            double[] shares, double[] used, double[] pending, double[] units) {
        List<QuotaShareCalculator.MemberQuota> members = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            members.add(
                    new QuotaShareCalculator.MemberQuota(
                            shares[i],
                            used[i],
                            new double[] {pending[i]},
                            new double[] {units[i]}));
        }
        return QuotaShareCalculator.split(
                LIMIT, 0, members, QuotaShareCalculator.Reservation.none(shares.length), false);
    }

    /** Starts tasks at each member until its share has no room for another one. */
    private static void refill(double[] shares, double[] used, double[] units) {
        for (int i = 0; i < shares.length; i++) {
            while (shares[i] - used[i] >= units[i] - 1e-9) {
                used[i] += units[i];
            }
        }
    }

    /**
     * Shares once ended in fractions of tasks, which added up to whole tasks that no member could
     * start.
     */
    @Property(tries = 1000, seed = "31")
    void pendingTasksUseAllQuotaThatFitsAnyOfThem(
            @ForAll @Size(3) List<@DoubleRange(max = 8) Double> startShares,
            @ForAll @Size(3) List<@IntRange(min = 1, max = 5) Integer> unitSizes,
            @ForAll @Size(3) List<@IntRange(min = 20, max = 500) Integer> waitingTasks) {
        double[] shares = startShares.stream().mapToDouble(share -> share).toArray();
        double[] units = unitSizes.stream().mapToDouble(unit -> unit).toArray();
        double[] used = new double[shares.length];
        double[] pending = new double[shares.length];
        for (int i = 0; i < pending.length; i++) {
            pending[i] = waitingTasks.get(i) * units[i];
        }
        for (int split = 0; split < SETTLING_SPLITS; split++) {
            refill(shares, used, units);
            shares = split(shares, used, pending, units);
            assertTrue(Arrays.stream(shares).sum() <= LIMIT + 1e-6, "beyond the limit");
        }
        refill(shares, used, units);
        double unused = LIMIT - Arrays.stream(used).sum();
        assertTrue(
                unused < Arrays.stream(units).min().orElseThrow(),
                Arrays.toString(used) + " of tasks of " + Arrays.toString(units));
        // Each change of a share fails the scheduling cycles in flight.
        assertArrayEquals(shares, split(shares, used, pending, units), 1e-9);
    }

    /** Two gangs on two controllers once got half of their need each, so neither could start. */
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
