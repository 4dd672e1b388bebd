package io.quincelead.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.ZoneTable;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ZoneHealthEvaluatorTest {
    private final ZoneHealthEvaluator evaluator = new ZoneHealthEvaluator(20_000, 60_000);

    private static ZoneObservation observation(
            int machineCount, int reachableCount, int remainingCount) {
        return new ZoneObservation(
                machineCount, machineCount, reachableCount, remainingCount, true);
    }

    /**
     * For any sequence of observations, a zone becomes lost only by evidence of the cloud, never
     * because of elapsed time, and only from DOUBTFUL or CUT. That an observer which reaches no
     * other zone concludes nothing is checked by {@link #inconclusiveObservationKeepsState}.
     */
    @Property(tries = 300, seed = "5")
    void zoneIsLostOnlyByCloudEvidence(
            @ForAll @Size(min = 5, max = 60)
                    List<@IntRange(min = 0, max = 10) Integer> reachableCounts,
            @ForAll @IntRange(min = 0, max = 3) int goneQuarters) {
        Zone zone = Zone.up("a");
        int remainingCount = 10;
        long nowEpochMillis = 0;
        for (int i = 0; i < reachableCounts.size() && zone != null; i++) {
            nowEpochMillis += 7_000;
            remainingCount = i > reachableCounts.size() / 2 ? 10 - goneQuarters * 10 / 4 : 10;
            Zone next =
                    evaluator.evaluate(
                            zone,
                            observation(
                                    10,
                                    Math.min(reachableCounts.get(i), remainingCount),
                                    remainingCount),
                            nowEpochMillis);
            if (next != null && next.state() == State.LOST && zone.state() != State.LOST) {
                assertTrue(remainingCount <= 5, "lost with " + remainingCount + " of 10 left");
                assertTrue(zone.state() == State.DOUBTFUL || zone.state() == State.CUT);
            }
            if (next != null && next.state() == State.SETTLED && zone.state() == State.RETURNING) {
                assertTrue(nowEpochMillis - zone.sinceEpochMillis() > 60_000);
            }
            zone = next;
        }
    }

    @Test
    void inconclusiveObservationKeepsState() {
        Zone zone = Zone.up("a");
        assertEquals(
                zone, evaluator.evaluate(zone, new ZoneObservation(10, 10, 0, 10, false), 1_000));
        assertEquals(
                zone, evaluator.evaluate(zone, new ZoneObservation(10, 3, 0, 10, true), 1_000));
        assertEquals(
                State.DOUBTFUL, evaluator.evaluate(zone, observation(10, 2, 10), 1_000).state());
    }

    @Test
    void flappingZoneNeedsLongerSettleTime() {
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
}
