package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.List;

/**
 * A large simulation without faults, for profiling the controllers: {@code LargeClusterScenario
 * MACHINES SECONDS}. Not a test; run it with a profiler such as {@code -XX:StartFlightRecording}.
 */
public final class LargeClusterScenario {
    private LargeClusterScenario() {}

    public static void main(String[] args) {
        int machineCount = Integer.parseInt(args[0]);
        long seconds = Long.parseLong(args[1]);
        SimulatedCluster cluster = createCluster(machineCount);
        cluster.start();
        scheduleJobs(cluster, machineCount, seconds);
        for (long second = 10; second <= seconds; second += 10) {
            cluster.runUntil(second * 1000);
            System.out.printf(
                    "%d s: %d machines, %d tasks begun, %d jobs open, broken %s%n",
                    second,
                    cluster.cloud.machines.size(),
                    cluster.taskStartsByJob.values().stream().mapToInt(count -> count).sum(),
                    cluster.unfinishedJobs().size(),
                    cluster.violations());
        }
    }

    static SimulatedCluster createCluster(int machineCount) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        1,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "small",
                                        8,
                                        0,
                                        64,
                                        0.46,
                                        0.17,
                                        25,
                                        List.of("a", "b"),
                                        machineCount / 3),
                                new SimulatedCloud.MachineType(
                                        "middle",
                                        16,
                                        0,
                                        64,
                                        0.83,
                                        0.36,
                                        15,
                                        List.of("a", "b"),
                                        machineCount / 8),
                                new SimulatedCloud.MachineType(
                                        "large",
                                        64,
                                        0,
                                        512,
                                        3.81,
                                        1.7,
                                        20,
                                        List.of("a", "b"),
                                        machineCount / 40)),
                        5);
        cluster.heartbeatIntervalMillis = 3_000;
        cluster.workerLeaseMillis = 17_500;
        cluster.storeLimits = new Settings.StoreLimits(600, 250, 8, 12);
        cluster.invariantChecksEnabled = false;
        double scale = machineCount / 742.0;
        cluster.setTeam("red", 5_000 * scale, 12_000 * scale);
        cluster.setTeam("blue", 2_700 * scale, 6_500 * scale);
        return cluster;
    }

    /**
     * Submits about 1.2 short jobs with many tasks, 0.9 high-priority jobs and 0.3 long jobs per
     * second for 742 machines, or in proportion for other sizes.
     */
    private static void scheduleJobs(SimulatedCluster cluster, int machineCount, long seconds) {
        double scale = machineCount / 742.0;
        int id = 0;
        for (double second = 2; second < seconds; second += 1 / (2.4 * scale)) {
            int draw = cluster.random().nextInt(24);
            String team = cluster.random().nextInt(3) == 0 ? "blue" : "red";
            double variation = 0.7 + cluster.random().nextDouble() * 0.6;
            JobSpec job =
                    draw < 12
                            ? JobFixtures.array(
                                    ++id,
                                    team,
                                    JobSpec.Priority.NORMAL,
                                    20 + cluster.random().nextInt(200),
                                    variation,
                                    6 + cluster.random().nextInt(20))
                            : draw < 21
                                    ? JobFixtures.array(
                                            ++id,
                                            team,
                                            JobSpec.Priority.HIGH,
                                            4 + cluster.random().nextInt(30),
                                            variation,
                                            15 + cluster.random().nextInt(50))
                                    : draw < 23
                                            ? JobFixtures.array(
                                                    ++id,
                                                    team,
                                                    JobSpec.Priority.BEST_EFFORT,
                                                    10 + cluster.random().nextInt(40),
                                                    4 * variation,
                                                    50 + cluster.random().nextInt(100))
                                            : JobFixtures.array(
                                                    ++id,
                                                    team,
                                                    JobSpec.Priority.NORMAL,
                                                    40 + cluster.random().nextInt(150),
                                                    2 * variation,
                                                    30 + cluster.random().nextInt(100));
            cluster.submitAfter((long) (second * 1000), job);
        }
    }
}
