package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks first starts within 240 s, on seeds where gangs started late although they could have
 * started.
 */
class FirstStartTest {
    /**
     * Arrays of the same team kept using the quota that the gang needed
     * (docs/incidents/late-gangs.md).
     */
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

    /**
     * Less urgent jobs kept using the quota that urgent gangs needed
     * (docs/incidents/urgent-gang-quota.md).
     */
    @ParameterizedTest
    @ValueSource(longs = {12001, 12036, 8007, 8009})
    void urgentGangOnGpusBeginsInTime(long seed) {
        SimulatedCluster cluster = RandomScenarios.playOverload(seed);
        assertEquals(List.of(), cluster.serviceLevels().starved());
        assertEquals(Set.of(), cluster.violations());
    }
}
