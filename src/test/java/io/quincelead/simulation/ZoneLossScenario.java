package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the loss of a zone costs models of 8 to 140 GB: {@code ZoneLossScenario dead|cut on|off
 * SEED}. Not a test. Three zones, 5 controllers, 12 models of 6 replicas on cheap machines of 8
 * CPUs beside low work; one zone dies at 200 s or is cut for 90 s. Prints time without any replica,
 * replicas' up-time, time to the last one back, GB fetched, low tasks started again, machines
 * rented.
 */
public final class ZoneLossScenario {
    private ZoneLossScenario() {}

    public static void main(String[] args) {
        boolean recoveryEnabled = args[1].equals("on");
        SimulatedCluster cluster =
                new SimulatedCluster(
                        Long.parseLong(args[2]),
                        List.of(SimulatedCloud.MachineType.small(25, List.of("a", "b", "c"), 400)),
                        5);
        cluster.heartbeatIntervalMillis = 3_000;
        cluster.workerLeaseMillis = 17_500;
        cluster.imageFetchGbPerSecond = 4;
        cluster.setTeam("red", 400, 1_200);
        cluster.setTeam("blue", 100, 600);
        cluster.operatorSettings =
                OperatorSettings.DEFAULTS.withZoneRecovery(
                        new OperatorSettings.ZoneRecovery(recoveryEnabled, 30, 12, 5));
        cluster.start();
        double[] imageGb = {8, 14, 24, 40, 70, 140};
        for (int i = 1; i <= 12; i++) {
            JobSpec job =
                    JobFixtures.service(i, "red", JobSpec.Priority.PRODUCTION, 6)
                            .jobClass("model")
                            .cpus(3)
                            .memoryGb(6)
                            .zoneSpread(i % 4 == 0)
                            .image("w-" + i, imageGb[i % 6])
                            .build();
            cluster.submitAfter(3_000, job);
        }
        for (int i = 13; i < 140; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.BEST_EFFORT, 20, 1, 30);
            cluster.submitAfter(4_000 + (i - 13) * 3_500L, job);
        }
        cluster.runUntil(200_000);
        Map<String, Integer> initialReplicas = runningReplicas(cluster);
        Map<String, Long> machinesByZone = new TreeMap<>();
        cluster.cloud.machines.values().forEach(m -> machinesByZone.merge(m.zone, 1L, Long::sum));
        String lostZone =
                machinesByZone.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
        double fetchedBeforeGb = cluster.fetchedImageGb;
        int rentedBefore = cluster.cloud.rentedMachineCount();
        int startsBefore = cluster.taskStarts.values().stream().mapToInt(count -> count).sum();
        if (args[0].equals("dead")) {
            cluster.cloud.machines.values().stream()
                    .filter(m -> m.zone.equals(lostZone))
                    .forEach(SimulatedWorker::crash);
        } else {
            cluster.faults.partitionZone(lostZone, List.of(1), 90_000);
        }
        Map<String, Integer> checksWithoutReplica = new HashMap<>();
        double[] replicaChecks = new double[2];
        long[] lastIncompleteMillis = {-1};
        for (long offsetMillis = 500; offsetMillis <= 200_000; offsetMillis += 500) {
            long atMillis = offsetMillis;
            cluster.after(
                    offsetMillis,
                    () -> {
                        Map<String, Integer> replicas = runningReplicas(cluster);
                        initialReplicas
                                .keySet()
                                .forEach(
                                        m -> {
                                            checksWithoutReplica.merge(
                                                    m,
                                                    replicas.getOrDefault(m, 0) == 0 ? 1 : 0,
                                                    Integer::sum);
                                            replicaChecks[0] += replicas.getOrDefault(m, 0);
                                            replicaChecks[1] += 6;
                                        });
                        if (replicas.values().stream().mapToInt(count -> count).sum() < 72) {
                            lastIncompleteMillis[0] = atMillis;
                        }
                    });
        }
        cluster.runUntil(400_500);
        System.out.printf(
                "%s %s: machines by zone %s, %s lost; without any replica: %d of 12 models, longest"
                    + " %.0f s, in all %.0f s; up %.3f; last one missing at %.0f s; fetched %.0f"
                    + " GB; starts %d; rented %d; broken %s%n",
                args[0],
                args[1],
                machinesByZone,
                lostZone,
                checksWithoutReplica.values().stream().filter(count -> count > 0).count(),
                checksWithoutReplica.values().stream().mapToInt(count -> count).max().orElse(0)
                        / 2.0,
                checksWithoutReplica.values().stream().mapToInt(count -> count).sum() / 2.0,
                replicaChecks[0] / replicaChecks[1],
                lastIncompleteMillis[0] / 1000.0,
                cluster.fetchedImageGb - fetchedBeforeGb,
                cluster.taskStarts.values().stream().mapToInt(count -> count).sum() - startsBefore,
                cluster.cloud.rentedMachineCount() - rentedBefore,
                cluster.violations());
    }

    /** Replicas that run on machines that are there, by model. */
    private static Map<String, Integer> runningReplicas(SimulatedCluster cluster) {
        Map<String, Integer> result = new TreeMap<>();
        for (int i = 1; i <= 12; i++) {
            result.put(JobFixtures.id(i), 0);
        }
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                String jobId = task.name.substring(0, task.name.indexOf('/'));
                if (task.status.equals("running") && !worker.dead) {
                    result.computeIfPresent(jobId, (key, count) -> count + 1);
                }
            }
        }
        return result;
    }
}
