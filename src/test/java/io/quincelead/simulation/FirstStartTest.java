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
 * 249 s and 28 s; quick 50008 255 s and 24 s; rough 60258 292 s and 5 s. Arrays of the same team
 * start task by task meanwhile. Suspected, not shown: what comes free of the team's quota is split
 * over the controllers' shares and spent by arrays before one share holds enough for the gang.
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
