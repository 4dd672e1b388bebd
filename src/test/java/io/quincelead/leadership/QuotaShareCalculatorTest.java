package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

/**
 * Properties of the split of a team's limit, with random quota shares, use and demand of four
 * controllers.
 */
class QuotaShareCalculatorTest {
    private static final double LIMIT = 100;

    private static double committed(double[] shares, double[] used, double orphanedUse) {
        double sum = orphanedUse;
        for (int i = 0; i < used.length; i++) {
            sum += Math.max(shares[i], used[i]);
        }
        return sum;
    }

    private static double[] array(List<Double> list) {
        return list.stream().mapToDouble(x -> x).toArray();
    }

    private static double[][] pendingByMember(double[] high, double[] low) {
        double[][] pending = new double[high.length][];
        for (int i = 0; i < high.length; i++) {
            pending[i] = new double[] {high[i], low[i]};
        }
        return pending;
    }

    /**
     * The quota that could be in use after a split never exceeds the limit or, if more could be in
     * use before the split, that amount.
     */
    @Property(tries = 2000, seed = "11")
    void splitNeverPassesTheLimit(
            @ForAll @Size(4) List<@DoubleRange(max = 60) Double> shares,
            @ForAll @Size(4) List<@DoubleRange(max = 60) Double> used,
            @ForAll @Size(4) List<@DoubleRange(max = 200) Double> high,
            @ForAll @Size(4) List<@DoubleRange(max = 200) Double> low,
            @ForAll @DoubleRange(max = 40) double orphanedUse,
            @ForAll boolean hasNewMember) {
        double[] nextShares =
                QuotaShareCalculator.split(
                        LIMIT,
                        orphanedUse,
                        array(shares),
                        array(used),
                        pendingByMember(array(high), array(low)),
                        hasNewMember);
        assertTrue(
                committed(nextShares, array(used), orphanedUse)
                        <= Math.max(LIMIT, committed(array(shares), array(used), orphanedUse))
                                + 1e-6);
    }

    /**
     * Repeated splits give a gang's whole demand to the gang's controller if there is no demand of
     * higher priority and the free quota suffices, so other members' unused shares do not keep the
     * gang waiting. A gang once got all but the last quarter of a CPU, because changes smaller than
     * that were not written.
     */
    @Property(tries = 2000, seed = "12")
    void demandThatFitsIsServedWithinFewSplits(
            @ForAll @Size(4) List<@DoubleRange(max = 60) Double> start,
            @ForAll @Size(4) List<@DoubleRange(max = 20) Double> used,
            @ForAll @Size(4) List<@DoubleRange(max = 200) Double> low,
            @ForAll @DoubleRange(min = 1, max = 20) double gang) {
        double[] usedArray = array(used);
        double[] shares = committed(array(start), usedArray, 0) > LIMIT ? usedArray : array(start);
        for (int split = 0; split < 8; split++) {
            shares =
                    QuotaShareCalculator.split(
                            LIMIT,
                            0,
                            shares,
                            usedArray,
                            pendingByMember(new double[] {gang, 0, 0, 0}, array(low)),
                            false);
        }
        assertTrue(
                shares[0] - usedArray[0] >= gang - 1e-9,
                "got " + (shares[0] - usedArray[0]) + " of " + gang);
    }
}
