package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * First starts within 240 s, on seeds where a job misses that although its team's limit and the
 * machines allowed a start for a while.
 *
 * <p>What is known: every late job is a gang of the smaller team, "blue" (limit 24 CPUs), which
 * asks for 6 to 10 of them: quick 2088 began after 243 s and could have for 59 s before; rough 2064
 * 249 s and 28 s; quick 50008 255 s and 24 s; rough 60258 292 s and 5 s.
 *
 * <p>quick 2088 was traced by the shards' records each 8 s, from 188 s to 284 s: the gang's
 * controller had a quota share that shrank from 6.4 to 0.8 CPUs, of 8 that the gang needs, while
 * two arrays at the other controllers used 9 to 15 CPUs without a break and the share of one grew
 * to 13.7. Two causes: free quota is split in proportion to what waits, so a large array takes most
 * of it (an overdue gang counts no more than other normal work); and a share is never lowered below
 * its use, so arrays that place a task in the change that records one's end keep it for good. The
 * first alone mended (a trial: overdue demand before other normal demand) left the gang 6 CPUs and
 * every seed red.
 */
class FirstStartTest {
    @ParameterizedTest
    @CsvSource({"quick, 2088", "rough, 2064", "quick, 50008", "rough, 60258"})
    void gangOfSmallTeamBeginsInTime(String kind, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        if (kind.equals("quick")) {
            RandomScenarios.playQuickRestarts(cluster);
        } else {
            RandomScenarios.playRandomFaults(cluster);
        }
        List<String> startableButLate =
                cluster.serviceLevels().starved().stream()
                        .filter(line -> cluster.startableSeconds(line.split(" ")[0]) > 0)
                        .toList();
        assertEquals(List.of(), startableButLate);
    }
}
