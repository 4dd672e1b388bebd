package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Measures the effect of losing a zone on models of 8 to 140 GB: {@code ZoneLossScenario dead|cut
 * on|off SEED}, where on and off select zone recovery. Not a test. 3 zones, 5 controllers, and 12
 * models of 6 replicas on spot machines of 8 CPUs beside best-effort jobs; at 200 s one zone's
 * machines crash or the zone is partitioned for 90 s. Prints the time without any replica, the
 * availability of the replicas, the time until the last one is back, the GB fetched, the tasks
 * started and the machines provisioned since the loss.
 */
public final class ZoneLossScenario {
    private ZoneLossScenario() {}

    private static final int MODEL_COUNT = 12;

    private static final int REPLICAS_PER_MODEL = 6;

    public static void main(String[] args) {
        SimulatedCluster cluster = createCluster(Long.parseLong(args[2]), args[1].equals("on"));
        cluster.start();
        submitModels(cluster);
        submitBestEffortJobs(cluster);
        cluster.runUntil(200_000);
        Map<String, Long> machinesByZone = machinesByZone(cluster);
        String lostZone =
                machinesByZone.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
        ResourceUsage before = ResourceUsage.of(cluster);
        ReplicaSampler sampler = new ReplicaSampler(runningReplicas(cluster).keySet());
        if (args[0].equals("dead")) {
            cluster.cloud.machines.values().stream()
                    .filter(worker -> worker.zone.equals(lostZone))
                    .forEach(SimulatedWorker::crash);
        } else {
            cluster.faults.partitionZone(lostZone, List.of(1), 90_000);
        }
        sampler.schedule(cluster);
        cluster.runUntil(400_500);
        ResourceUsage after = ResourceUsage.of(cluster);
        System.out.printf(
                "%s %s: machines by zone %s, %s lost; without any replica: %d of 12 models, longest"
                    + " %.0f s, in all %.0f s; up %.3f; last one missing at %.0f s; fetched %.0f"
                    + " GB; starts %d; rented %d; broken %s%n",
                args[0],
                args[1],
                machinesByZone,
                lostZone,
                sampler.modelsOnceWithoutReplica(),
                sampler.longestSecondsWithoutReplica(),
                sampler.totalSecondsWithoutReplica(),
                sampler.availability(),
                sampler.lastIncompleteMillis / 1000.0,
                after.fetchedGb - before.fetchedGb,
                after.taskStarts - before.taskStarts,
                after.provisionedMachines - before.provisionedMachines,
                cluster.violations());
    }

    private static SimulatedCluster createCluster(long seed, boolean recoveryEnabled) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
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
        return cluster;
    }

    private static void submitModels(SimulatedCluster cluster) {
        double[] imageGb = {8, 14, 24, 40, 70, 140};
        for (int i = 1; i <= MODEL_COUNT; i++) {
            JobSpec job =
                    JobFixtures.service(i, "red", JobSpec.Priority.PRODUCTION, REPLICAS_PER_MODEL)
                            .jobClass("model")
                            .cpus(3)
                            .memoryGb(6)
                            .zoneSpread(i % 4 == 0)
                            .image("w-" + i, imageGb[i % 6])
                            .build();
            cluster.submitAfter(3_000, job);
        }
    }

    private static void submitBestEffortJobs(SimulatedCluster cluster) {
        for (int i = MODEL_COUNT + 1; i < 140; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.BEST_EFFORT, 20, 1, 30);
            cluster.submitAfter(4_000 + (i - MODEL_COUNT - 1) * 3_500L, job);
        }
    }

    private static Map<String, Long> machinesByZone(SimulatedCluster cluster) {
        Map<String, Long> result = new TreeMap<>();
        cluster.cloud.machines.values().forEach(worker -> result.merge(worker.zone, 1L, Long::sum));
        return result;
    }

    /** Resources that the scenario has used so far. */
    private record ResourceUsage(double fetchedGb, int provisionedMachines, int taskStarts) {
        static ResourceUsage of(SimulatedCluster cluster) {
            return new ResourceUsage(
                    cluster.fetchedImageGb,
                    cluster.cloud.provisionedMachineCount(),
                    cluster.taskStartsByJob.values().stream().mapToInt(count -> count).sum());
        }
    }

    /** Counts the running replicas twice a second after the loss of the zone. */
    private static final class ReplicaSampler {
        private static final long INTERVAL_MILLIS = 500;

        private final Set<String> models;
        private final Map<String, Integer> samplesWithoutReplica = new HashMap<>();
        private double runningReplicaCount;
        private double expectedReplicaCount;

        /** Time in ms after the loss at which a replica was last missing; -1 if none was. */
        private long lastIncompleteMillis = -1;

        ReplicaSampler(Set<String> models) {
            this.models = models;
        }

        void schedule(SimulatedCluster cluster) {
            for (long delay = INTERVAL_MILLIS; delay <= 200_000; delay += INTERVAL_MILLIS) {
                long delayMillis = delay;
                cluster.after(delayMillis, () -> sample(runningReplicas(cluster), delayMillis));
            }
        }

        private void sample(Map<String, Integer> replicas, long delayMillis) {
            for (String model : models) {
                int running = replicas.getOrDefault(model, 0);
                samplesWithoutReplica.merge(model, running == 0 ? 1 : 0, Integer::sum);
                runningReplicaCount += running;
                expectedReplicaCount += REPLICAS_PER_MODEL;
            }
            if (replicas.values().stream().mapToInt(count -> count).sum()
                    < MODEL_COUNT * REPLICAS_PER_MODEL) {
                lastIncompleteMillis = delayMillis;
            }
        }

        long modelsOnceWithoutReplica() {
            return samplesWithoutReplica.values().stream().filter(count -> count > 0).count();
        }

        double longestSecondsWithoutReplica() {
            return samplesWithoutReplica.values().stream().mapToInt(count -> count).max().orElse(0)
                    / 2.0;
        }

        double totalSecondsWithoutReplica() {
            return samplesWithoutReplica.values().stream().mapToInt(count -> count).sum() / 2.0;
        }

        double availability() {
            return runningReplicaCount / expectedReplicaCount;
        }
    }

    /** Number of replicas that run on live machines, by model. */
    private static Map<String, Integer> runningReplicas(SimulatedCluster cluster) {
        Map<String, Integer> result = new TreeMap<>();
        for (int i = 1; i <= MODEL_COUNT; i++) {
            result.put(JobFixtures.id(i), 0);
        }
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                String jobId = task.id.substring(0, task.id.indexOf('/'));
                if (task.status.equals("running") && !worker.dead) {
                    result.computeIfPresent(jobId, (key, count) -> count + 1);
                }
            }
        }
        return result;
    }
}
