package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.List;

/**
 * A large simulated day without troubles, for profiles of the controllers: {@code
 * LargeClusterScenario MACHINES SECONDS}. Not a test; run with a recorder such as {@code
 * -XX:StartFlightRecording}.
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
            cluster.clock.runUntil(second * 1000);
            System.out.printf(
                    "%d s: %d machines, %d tasks begun, %d jobs open, broken %s%n",
                    second,
                    cluster.cloud.machines.size(),
                    cluster.taskStarts.values().stream().mapToInt(count -> count).sum(),
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
        cluster.storeSettings = new Settings.StoreLimits(600, 250, 8, 12);
        cluster.invariantChecksEnabled = false;
        double scale = machineCount / 742.0;
        cluster.teams.put("red", new Settings.Team("red", 5_000 * scale, 12_000 * scale, 0, 0));
        cluster.teams.put("blue", new Settings.Team("blue", 2_700 * scale, 6_500 * scale, 0, 0));
        return cluster;
    }

    /** Some 1.2 wide short jobs, 0.9 urgent ones and 0.3 long ones a second for 742 machines. */
    private static void scheduleJobs(SimulatedCluster cluster, int machineCount, long seconds) {
        double scale = machineCount / 742.0;
        int id = 0;
        for (double second = 2; second < seconds; second += 1 / (2.4 * scale)) {
            int draw = cluster.clock.random.nextInt(24);
            String team = cluster.clock.random.nextInt(3) == 0 ? "blue" : "red";
            double variation = 0.7 + cluster.clock.random.nextDouble() * 0.6;
            JobSpec job =
                    draw < 12
                            ? JobFixtures.array(
                                    ++id,
                                    team,
                                    JobSpec.Priority.NORMAL,
                                    20 + cluster.clock.random.nextInt(200),
                                    variation,
                                    6 + cluster.clock.random.nextInt(20))
                            : draw < 21
                                    ? JobFixtures.array(
                                            ++id,
                                            team,
                                            JobSpec.Priority.HIGH,
                                            4 + cluster.clock.random.nextInt(30),
                                            variation,
                                            15 + cluster.clock.random.nextInt(50))
                                    : draw < 23
                                            ? JobFixtures.array(
                                                    ++id,
                                                    team,
                                                    JobSpec.Priority.BEST_EFFORT,
                                                    10 + cluster.clock.random.nextInt(40),
                                                    4 * variation,
                                                    50 + cluster.clock.random.nextInt(100))
                                            : JobFixtures.array(
                                                    ++id,
                                                    team,
                                                    JobSpec.Priority.NORMAL,
                                                    40 + cluster.clock.random.nextInt(150),
                                                    2 * variation,
                                                    30 + cluster.clock.random.nextInt(100));
            cluster.clock.schedule((long) (second * 1000), () -> cluster.submit(job));
        }
    }
}
