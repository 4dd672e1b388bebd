package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Fixtures of tests of compound faults. */
final class CompoundFaultFixtures {
    /** Duration in ms of a worker lease that is longer than a controller's lease. */
    static final long LONG_LEASE_MILLIS = 22_000;

    private CompoundFaultFixtures() {}

    /**
     * A cluster of two zones with {@code machineCount} small machines in all, added before its
     * controllers start.
     */
    static SimulatedCluster clusterWithReadyMachines(
            long seed, int controllerCount, int machineCount) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                SimulatedCloud.MachineType.small(
                                        5, List.of("a", "b"), machineCount)),
                        controllerCount);
        cluster.setTeam("red", 300, 400);
        cluster.cloud.addRunningMachines("small", "a", machineCount / 2);
        cluster.cloud.addRunningMachines("small", "b", machineCount / 2);
        return cluster;
    }

    /** Whether the text field of any of the nodes starts with the prefix. */
    static boolean anyStartsWith(JsonNode nodes, String field, String prefix) {
        for (JsonNode node : nodes) {
            if (node.path(field).asText().startsWith(prefix)) {
                return true;
            }
        }
        return false;
    }

    /** The hosts of the machines in a controller's shard. */
    static Set<String> machinesOf(SimulatedCluster cluster, String memberId) {
        JsonNode shard = cluster.store.value("a/b/" + memberId);
        Set<String> result = new HashSet<>();
        shard.path("ms")
                .forEach(
                        group ->
                                group.forEach(
                                        host ->
                                                result.add(
                                                        shard.path("p").asText() + host.asText())));
        return result;
    }

    /**
     * Commits a transaction directly at the store, not through a controller; {@code status[0]}
     * receives the response's status.
     */
    static void commitDirectly(SimulatedCluster cluster, ObjectNode transaction, int[] status) {
        cluster.network.call(
                "10.0.0.1:0",
                SimulatedCluster.STORE_ADDRESS,
                "POST",
                "/commit",
                WireFormat.CBOR.encode(transaction),
                1_000,
                (responseStatus, body, retryAfterSeconds) -> status[0] = responseStatus);
    }

    /** CPUs in use by the team's tasks on machines. */
    static double cpusInUse(SimulatedCluster cluster, String team) {
        return cluster.cloud.machines.values().stream()
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(SimulatedWorker.SimulatedTask::occupiesMachine)
                .map(task -> cluster.jobOfTask(task.id))
                .filter(job -> job.team().equals(team))
                .mapToDouble(JobSpec::cpus)
                .sum();
    }

    /** The IP of a machine. */
    static String ipOf(SimulatedWorker worker) {
        return worker.address.substring(0, worker.address.indexOf(':'));
    }

    /** The IPs of all controllers. */
    static List<String> controllerIps(SimulatedCluster cluster) {
        return cluster.controllers.stream().map(controller -> controller.ip).toList();
    }
}
