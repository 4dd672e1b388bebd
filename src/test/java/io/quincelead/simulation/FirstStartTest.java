package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** First starts within 240 s, on seeds where gangs began late though they could have begun. */
class FirstStartTest {
    /** Arrays of the gang's team kept its quota (docs/incidents/late-gangs.md). */
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
