package io.quincelead.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Plays random days of the test world over many seeds: {@code ScenarioRunner
 * rough|flood|quick|meetings|first|operators|zones FROM TO [THREADS]}. Not a test. Prints kind,
 * seed, number of messages and history digest of each, separated by tabs; what went wrong goes to
 * standard error.
 */
public final class ScenarioRunner {
    /** A day that was played, and what is wrong with it, in words; empty if nothing is. */
    record ScenarioResult(SimulatedCluster cluster, String problems) {}

    private ScenarioRunner() {}

    public static void main(String[] args) throws InterruptedException, ExecutionException {
        ExecutorService pool =
                Executors.newFixedThreadPool(args.length > 3 ? Integer.parseInt(args[3]) : 1);
        List<Future<Boolean>> scenarios = new ArrayList<>();
        long firstSeed = Long.parseLong(args[1]);
        for (long seed = firstSeed; seed <= Long.parseLong(args[2]); seed++) {
            long scenarioSeed = seed;
            scenarios.add(pool.submit(() -> playAndReport(args[0], scenarioSeed)));
        }
        int failures = 0;
        for (Future<Boolean> result : scenarios) {
            failures += result.get() ? 0 : 1;
        }
        pool.shutdown();
        System.err.println(
                scenarios.size()
                        + " days, "
                        + failures
                        + " with a broken rule, an open job or somebody left behind");
        System.exit(failures == 0 ? 0 : 1);
    }

    private static boolean playAndReport(String scenario, long seed) {
        ScenarioResult result = play(scenario, seed);
        System.out.println(scenario + "\t" + seed + "\t" + result.cluster.network.history.finish());
        if (!result.problems.isEmpty()) {
            System.err.println(scenario + " " + seed + ": " + result.problems);
        }
        return result.problems.isEmpty();
    }

    private static ScenarioResult play(String scenario, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        switch (scenario) {
            case "operators" -> {
                return OperatorRecordsTest.playRandomScenario(seed);
            }
            case "zones" -> {
                return ZoneRecoveryTest.playRandomScenario(seed);
            }
            case "flood" -> cluster = RandomizedScenarioTest.playOverload(seed);
            case "quick" -> RandomizedScenarioTest.playQuickRestarts(cluster);
            case "meetings" -> CompoundFaults.playAllKinds(cluster);
            case "first" -> CompoundFaults.playInitialKinds(cluster);
            case "rough" -> RandomizedScenarioTest.playRandomFaults(cluster);
            default -> throw new IllegalArgumentException("no such kind of day: " + scenario);
        }
        List<String> starved =
                scenario.equals("meetings") || scenario.equals("first")
                        ? CompoundFaults.starved(cluster)
                        : cluster.serviceLevels().starved();
        if (scenario.equals("meetings") && !starved.isEmpty()) {
            List<String> starvedDespiteCapacity = CompoundFaults.starvedDespiteCapacity(cluster);
            starved =
                    starved.stream()
                            .map(
                                    line ->
                                            starvedDespiteCapacity.contains(line)
                                                    ? line
                                                    : line
                                                            + " (there was no room for it, or its"
                                                            + " team was at its limit)")
                            .toList();
        }
        boolean passed =
                cluster.violations().isEmpty()
                        && cluster.unfinishedJobs().isEmpty()
                        && starved.isEmpty();
        return new ScenarioResult(
                cluster,
                passed
                        ? ""
                        : "broken "
                                + cluster.violations()
                                + " open "
                                + cluster.unfinishedJobs()
                                + " left behind "
                                + starved);
    }
}
