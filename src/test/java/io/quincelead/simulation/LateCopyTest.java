package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Copies of requests that were carried out and answered arrive once more, at machines and
 * controllers that are back within a second, for tasks that were moved, cancelled or cleared since.
 */
class LateCopyTest {
    private static final int JOBS = 30;
    private static final int REPLAYS = 6;
    private static final long REPLAY_INTERVAL_MILLIS = 12_000;
    private static final long FIRST_REPLAY_MILLIS = 20_000;

    /** What happened to a task between a request that named it and the request's copy. */
    private enum Change {
        MOVED,
        CANCELLED,
        CLEARED
    }

    /** Who was away for less than a second when the copies arrive. */
    private enum Restarted {
        MACHINES,
        CONTROLLER,
        LEADER,
        ALL_CONTROLLERS
    }

    /** Keeps answered requests and delivers copies of them. */
    private static final class Copies {
        private final SimulatedCluster cluster;
        private final List<SimulatedNetwork.Exchange> answered = new ArrayList<>();
        private final Set<String> clearedAttempts = new HashSet<>();
        private final Map<Change, Integer> copiesByChange = new EnumMap<>(Change.class);
        private int commandCopies;
        private int copiesToControllers;

        Copies(SimulatedCluster cluster) {
            this.cluster = cluster;
            cluster.network.exchangeObserver = this::keep;
        }

        private void keep(SimulatedNetwork.Exchange exchange) {
            if (exchange.status() < 200 || exchange.status() >= 300 || exchange.body() == null) {
                return;
            }
            boolean toService =
                    exchange.to().equals(SimulatedCluster.STORE_ADDRESS)
                            || exchange.to().equals(SimulatedCluster.CLOUD_ADDRESS);
            if (!toService) {
                answered.add(exchange);
            }
            if (exchange.path().equals("/v1/report")) {
                ObjectNode response = WireFormat.CBOR.decodeMap(exchange.responseBody());
                for (JsonNode command : response.path("orders")) {
                    if (command.path("verb").asText().equals("clear")) {
                        clearedAttempts.add(attemptKey(command));
                    }
                }
            }
        }

        /** Delivers a copy of each request kept so far, in an order drawn at random. */
        void deliverAll() {
            for (SimulatedNetwork.Exchange exchange : answered) {
                cluster.after(
                        1 + cluster.random().nextLong(2_000),
                        () -> {
                            count(exchange);
                            cluster.network.deliverCopy(exchange);
                        });
            }
            answered.clear();
        }

        private void count(SimulatedNetwork.Exchange exchange) {
            boolean isCommand = exchange.path().equals("/orders");
            commandCopies += isCommand ? 1 : 0;
            copiesToControllers += isCommand ? 0 : 1;
            ObjectNode body = WireFormat.CBOR.decodeMap(exchange.body());
            if (body == null) {
                return;
            }
            body.path("orders").forEach(command -> count(command, exchange.to()));
            body.path("members").forEach(task -> count(task, ""));
        }

        private void count(JsonNode task, String address) {
            String taskId = task.path("member").asText();
            long attempt = task.path("try").asLong();
            boolean moved =
                    cluster.cloud.machines.values().stream()
                            .flatMap(
                                    machine ->
                                            machine.address.equals(address)
                                                    ? Stream.empty()
                                                    : machine.tasks.values().stream())
                            .anyMatch(other -> other.id.equals(taskId) && other.attempt > attempt);
            if (moved) {
                copiesByChange.merge(Change.MOVED, 1, Integer::sum);
            }
            if (cluster.isCancellationRequested(taskId.substring(0, taskId.indexOf('/')))) {
                copiesByChange.merge(Change.CANCELLED, 1, Integer::sum);
            }
            if (clearedAttempts.contains(attemptKey(task))) {
                copiesByChange.merge(Change.CLEARED, 1, Integer::sum);
            }
        }

        private static String attemptKey(JsonNode task) {
            return task.path("member").asText() + "#" + task.path("try").asLong();
        }
    }

    /**
     * Urgent arrays stop tasks of arrays, gangs and services, which then move; some are cancelled.
     */
    private static void submitJobs(SimulatedCluster cluster) {
        for (int i = 1; i <= JOBS; i++) {
            JobSpec job =
                    switch (i % 4) {
                        case 0 -> JobFixtures.array(i, "blue", JobSpec.Priority.HIGH, 8, 2, 6);
                        case 1 ->
                                JobFixtures.gang(i, "red", JobSpec.Priority.NORMAL, 4)
                                        .cpus(2)
                                        .runtimeSeconds(12)
                                        .checkpointIntervalSeconds(4)
                                        .build();
                        default ->
                                JobFixtures.arrayJob(i, "red", JobSpec.Priority.BEST_EFFORT, 10)
                                        .cpus(1)
                                        .runtimeSeconds(18)
                                        .checkpointIntervalSeconds(i % 4 == 2 ? 5 : 0)
                                        .build();
                    };
            cluster.submitAfter(2_000 + i * 2_500L, job);
            if (i % 3 == 0) {
                cluster.cancelAfter(6_000 + i * 2_500L, job.jobId());
            }
        }
    }

    private static void restart(Restarted restarted, SimulatedCluster cluster) {
        long awayMillis = 100 + cluster.random().nextLong(800);
        cluster.expectFaultsUntil(cluster.nowMillis() + 5_000);
        switch (restarted) {
            case MACHINES ->
                    cluster.cloud
                            .machines
                            .values()
                            .forEach(
                                    machine -> {
                                        machine.setHung(true);
                                        cluster.after(awayMillis, () -> machine.setHung(false));
                                    });
            case CONTROLLER ->
                    cluster.faults.crashController(
                            cluster.random().nextInt(cluster.controllers.size()), awayMillis);
            case LEADER ->
                    cluster.faults.crashController(Math.max(0, cluster.leaderIndex()), awayMillis);
            default -> {
                for (int i = 0; i < cluster.controllers.size(); i++) {
                    cluster.faults.crashController(i, awayMillis);
                }
            }
        }
    }

    /**
     * A copy of a start once ran a task on two machines, and a cancelled task again, in another
     * service of this kind.
     */
    @ParameterizedTest
    @CsvSource({
        "MACHINES, 1",
        "MACHINES, 2",
        "CONTROLLER, 3",
        "CONTROLLER, 4",
        "LEADER, 5",
        "LEADER, 6",
        "ALL_CONTROLLERS, 7",
        "ALL_CONTROLLERS, 8"
    })
    void copiesOfAnsweredRequestsChangeNothing(Restarted restarted, long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 8);
        Copies copies = new Copies(cluster);
        cluster.start();
        submitJobs(cluster);
        for (int i = 0; i < REPLAYS; i++) {
            cluster.after(
                    FIRST_REPLAY_MILLIS + i * REPLAY_INTERVAL_MILLIS,
                    () -> {
                        restart(restarted, cluster);
                        cluster.after(1_000, copies::deliverAll);
                    });
        }

        cluster.runUntil(600_000);

        assertAllJobsFinished(cluster, JOBS);
        assertTrue(copies.commandCopies > 20, "commands: " + copies.commandCopies);
        assertTrue(copies.copiesToControllers > 500, "others: " + copies.copiesToControllers);
        for (Change change : Change.values()) {
            assertTrue(
                    copies.copiesByChange.getOrDefault(change, 0) > 0,
                    change + ": " + copies.copiesByChange);
        }
    }

    /** Direct commands run late, so a start in one could start a task a second time. */
    @Test
    void directCommandsCarryNoStarts() {
        SimulatedCluster cluster = clusterWithReadyMachines(9, 3, 8);
        List<String> verbs = new ArrayList<>();
        cluster.network.requestObserver =
                (path, body) -> {
                    if (path.equals("/orders")) {
                        WireFormat.CBOR
                                .decodeMap(body)
                                .path("orders")
                                .forEach(command -> verbs.add(command.path("verb").asText()));
                    }
                };
        cluster.start();
        submitJobs(cluster);
        cluster.faults.crashLeaderAfter(30_000, 300);

        cluster.runUntil(600_000);

        assertAllJobsFinished(cluster, JOBS);
        assertEquals(Set.of("kill"), Set.copyOf(verbs));
    }
}
