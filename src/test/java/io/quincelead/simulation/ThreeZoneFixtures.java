package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Fixtures of tests that run models (services of six replicas each) in a cluster of three zones.
 */
final class ThreeZoneFixtures {
    static final int MODEL_COUNT = 12;

    private ThreeZoneFixtures() {}

    /** The job id of a model. */
    static String modelId(int model) {
        return JobFixtures.id(model);
    }

    /**
     * A cluster of 3 zones and 5 controllers, with 12 models of 6 replicas, every other one spread
     * over the zones, and best-effort jobs beside them.
     */
    static SimulatedCluster clusterWithThreeZones(long seed, boolean recoveryEnabled) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(SimulatedCloud.MachineType.small(12, List.of("a", "b", "c"), 300)),
                        5);
        cluster.heartbeatIntervalMillis = 3_000;
        cluster.workerLeaseMillis = 17_500;
        cluster.setTeam("red", 400, 1_200);
        cluster.setTeam("blue", 100, 600);
        cluster.operatorSettings =
                OperatorSettings.DEFAULTS.withZoneRecovery(
                        new OperatorSettings.ZoneRecovery(recoveryEnabled, 20, 30, 0.1));
        cluster.start();
        for (int i = 1; i <= MODEL_COUNT; i++) {
            JobSpec job =
                    JobFixtures.service(i, "red", JobSpec.Priority.PRODUCTION, 6)
                            .cpus(3)
                            .zoneSpread(i % 2 == 0)
                            .preemptible(false)
                            .build();
            cluster.submitAfter(3_000, job);
        }
        for (int i = MODEL_COUNT + 1; i < 60; i++) {
            JobSpec job = JobFixtures.array(i, "blue", JobSpec.Priority.BEST_EFFORT, 20, 1, 30);
            cluster.submitAfter(4_000 + (i - MODEL_COUNT - 1) * 3_500L, job);
        }
        return cluster;
    }

    /** Number of running replicas, by model and zone. */
    static Map<String, Map<String, Integer>> runningReplicas(SimulatedCluster cluster) {
        Map<String, Map<String, Integer>> result = new TreeMap<>();
        for (int i = 1; i <= MODEL_COUNT; i++) {
            result.put(modelId(i), new TreeMap<>());
        }
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                String jobId = task.id.substring(0, task.id.indexOf('/'));
                if (task.status.equals("running") && result.containsKey(jobId) && !worker.dead) {
                    result.get(jobId).merge(worker.zone, 1, Integer::sum);
                }
            }
        }
        return result;
    }

    /** Number of replicas in all zones together. */
    static int replicaCount(Map<String, Integer> byZone) {
        return byZone.values().stream().mapToInt(count -> count).sum();
    }

    /** Crashes all machines of the zone at once. */
    static void crashZone(SimulatedCluster cluster, String zone) {
        cluster.cloud.machines.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .forEach(SimulatedWorker::crash);
    }

    /** The zone's recorded state; {@code up} if there is no record. */
    static String zoneState(SimulatedCluster cluster, String zone) {
        JsonNode record = cluster.store.value("a/oz/" + zone);
        return record == null ? "up" : record.path("st").asText();
    }
}
