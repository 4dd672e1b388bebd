package io.quincelead.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

/**
 * Runs random scenarios of the simulated cluster for many seeds. A program, not a test: {@code
 * ScenarioRunner KIND FROM TO [THREADS]} runs a range of seeds of one kind (rough, flood, quick,
 * meetings, first, operators or zones); {@code ScenarioRunner @FILE [THREADS]} runs the kinds and
 * seeds in the first two columns of a tab-separated file.
 *
 * <p>Prints kind, seed, number of messages and history digest of each scenario, separated by tabs;
 * descriptions of failures go to standard error, and any failure makes the exit status 1.
 */
public final class ScenarioRunner {
    private record Scenario(String kind, long seed) {}

    private ScenarioRunner() {}

    public static void main(String[] args)
            throws IOException, InterruptedException, ExecutionException {
        boolean readsFile = args[0].startsWith("@");
        List<Scenario> scenarios =
                readsFile
                        ? readList(Path.of(args[0].substring(1)))
                        : range(args[0], Long.parseLong(args[1]), Long.parseLong(args[2]));
        int threadArgument = readsFile ? 1 : 3;
        int threads = args.length > threadArgument ? Integer.parseInt(args[threadArgument]) : 1;
        int failures = playAll(scenarios, threads);
        System.err.println(
                scenarios.size()
                        + " scenarios, "
                        + failures
                        + " with a broken rule, an open job or a starved one");
        System.exit(failures == 0 ? 0 : 1);
    }

    private static List<Scenario> range(String kind, long first, long last) {
        return LongStream.rangeClosed(first, last)
                .mapToObj(seed -> new Scenario(kind, seed))
                .toList();
    }

    private static List<Scenario> readList(Path file) throws IOException {
        return Files.readAllLines(file).stream()
                .map(line -> line.split("\t"))
                .map(columns -> new Scenario(columns[0], Long.parseLong(columns[1])))
                .toList();
    }

    /** Runs the scenarios in parallel and returns the number of failed ones. */
    private static int playAll(List<Scenario> scenarios, int threads)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Boolean>> results = new ArrayList<>();
            for (Scenario scenario : scenarios) {
                results.add(pool.submit(() -> playAndReport(scenario.kind, scenario.seed)));
            }
            int failures = 0;
            for (Future<Boolean> result : results) {
                failures += result.get() ? 0 : 1;
            }
            return failures;
        } finally {
            pool.shutdownNow();
        }
    }

    private static boolean playAndReport(String kind, long seed) {
        ScenarioResult result = play(kind, seed);
        System.out.println(kind + "\t" + seed + "\t" + result.cluster().network.history.finish());
        if (!result.problems().isEmpty()) {
            System.err.println(kind + " " + seed + ": " + result.problems());
        }
        return result.problems().isEmpty();
    }

    private static ScenarioResult play(String kind, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        switch (kind) {
            case "operators" -> {
                return RandomScenarios.playOperatorRecords(seed);
            }
            case "zones" -> {
                return RandomScenarios.playZoneLoss(seed);
            }
            case "flood" -> cluster = RandomScenarios.playOverload(seed);
            case "quick" -> RandomScenarios.playQuickRestarts(cluster);
            case "meetings" -> CompoundFaults.playAllKinds(cluster);
            case "first" -> CompoundFaults.playInitialKinds(cluster);
            case "rough" -> RandomScenarios.playRandomFaults(cluster);
            default -> throw new IllegalArgumentException("no such kind of scenario: " + kind);
        }
        List<String> starved =
                kind.equals("meetings") || kind.equals("first")
                        ? CompoundFaults.starved(cluster)
                        : cluster.serviceLevels().starved();
        if (kind.equals("meetings") && !starved.isEmpty()) {
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
        List<String> unreached = cluster.serviceLevels().unreachedJobs();
        if (!unreached.isEmpty()) {
            System.err.println(kind + " " + seed + ": reached nobody: " + unreached);
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
                                + " starving "
                                + starved);
    }
}
