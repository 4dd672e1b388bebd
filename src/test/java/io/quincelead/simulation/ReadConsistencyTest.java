package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.anyStartsWith;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Consistency of the answers to users (docs/design/compound-faults.md): no controller may report a
 * state older than one that any user has already been told.
 */
class ReadConsistencyTest {
    /**
     * Users query all controllers and resubmit jobs within milliseconds of each change, while
     * controllers' watches are delayed and store responses get lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void answersNeverGoBackwards(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 24);
        cluster.start();
        cluster.users.consistencyProbes = true;
        cluster.users.cancelAtAcceptanceRate = 0.25;
        cluster.users.cancelAtCompletionRate = 0.25;
        cluster.store.responseLossRate = seed % 2 == 0 ? 0.25 : 0;
        for (int i = 1; i <= 40; i++) {
            JobSpec job =
                    i % 8 == 0
                            ? JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 250, 0.2, 8)
                            : JobFixtures.array(
                                    i, "red", JobSpec.Priority.values()[i % 4], 1 + i % 4, 1, 4);
            cluster.submitAfter(4_000 + i * 900L, job);
        }
        for (int i = 0; i < 16; i++) {
            String ip = cluster.controllers.get(i % 3).ip;
            cluster.after(4_000 + i * 2_400L, () -> cluster.store.setWatchDelayed(ip, true));
            cluster.after(6_000 + i * 2_400L, () -> cluster.store.setWatchDelayed(ip, false));
        }
        cluster.runUntil(60_000);
        cluster.store.responseLossRate = 0;
        assertTrue(
                cluster.users.probeCount > 60
                        && cluster.users.cancelledAtAcceptanceCount > 3
                        && cluster.users.cancelledAtCompletionCount > 3,
                cluster.users.probeCount
                        + " looks, "
                        + cluster.users.cancelledAtAcceptanceCount
                        + ", "
                        + cluster.users.cancelledAtCompletionCount);
        assertTrue(
                seed % 2 != 0 || cluster.store.lostResponses > 20,
                "answers lost: " + cluster.store.lostResponses);
        cluster.runUntil(300_000);
        assertAllJobsFinished(cluster, 40);
    }

    /**
     * A controller whose watch cache is behind detects this and reads the store, but once answered
     * from the cache all the same. Of larger jobs it once compared only the job's own record, while
     * their task states are in other records.
     */
    @ParameterizedTest
    @ValueSource(ints = {12, 450})
    void staleControllerAnswersFromItsLinearizableRead(int tasks) {
        SimulatedCluster cluster = clusterWithReadyMachines(7, 3, 24);
        cluster.start();
        cluster.runUntil(8_000);
        int staleController = (cluster.leaderIndex() + 1) % 3;
        cluster.submit(
                JobFixtures.array(
                        1, "red", JobSpec.Priority.NORMAL, tasks, tasks > 100 ? 0.2 : 2, 20),
                (staleController + 1) % 3);
        cluster.runUntil(16_000);
        cluster.store.setWatchDelayed(cluster.controllers.get(staleController).ip, true);
        int[] missedWrites = {0};
        cluster.store.commitObserver =
                t ->
                        missedWrites[0] +=
                                anyStartsWith(t.path("then"), "put", "a/j/wk-000001")
                                                || anyStartsWith(
                                                        t.path("then"), "put", "a/t/wk-000001/")
                                        ? 1
                                        : 0;
        for (int t = 0; t < 40_000; t += 100) {
            int controller = t / 100 % 3;
            cluster.queryAfter(t, "wk-000001", controller);
        }
        cluster.runUntil(40_000);
        assertTrue(missedWrites[0] > 3, "changes that it didn't hear of: " + missedWrites[0]);
        cluster.store.setWatchDelayed(cluster.controllers.get(staleController).ip, false);
        cluster.runUntil(120_000);
        assertAllJobsFinished(cluster, 1);
    }

    /** The commit that can overtake a request. */
    private enum CommitStep {
        /** The cancellation is recorded. */
        CANCELLATION(
                transaction ->
                        anyStartsWith(transaction.path("then"), "put", "a/j/wk-000001")
                                && transaction.path("then").get(0).path("value").has("x")),
        /** The job moves to its final key. */
        COMPLETION(transaction -> anyStartsWith(transaction.path("then"), "put", "z/wk-000001")),
        /** The job is accepted. */
        ACCEPTANCE(
                transaction ->
                        anyStartsWith(transaction.path("then"), "put", "a/j/wk-000001")
                                && anyStartsWith(
                                        transaction.path("guards"), "path", "z/wk-000001")),
        /** The job's last task is placed, or its end is recorded. */
        SCHEDULING_CYCLE(
                transaction ->
                        anyStartsWith(transaction.path("then"), "put", "a/j/wk-000001")
                                && anyStartsWith(transaction.path("guards"), "path", "a/b/"));

        private final Predicate<ObjectNode> matcher;

        CommitStep(Predicate<ObjectNode> matcher) {
            this.matcher = matcher;
        }
    }

    static Stream<Arguments> stepsAndSeeds() {
        return ScenarioArguments.withSeeds(CommitStep.values(), 6);
    }

    /**
     * Submissions, queries and cancellations of a job coincide with each kind of commit up to its
     * end, while the store's response to that commit is lost; they are repeated at every
     * controller.
     */
    @ParameterizedTest
    @MethodSource("stepsAndSeeds")
    void requestOvertakenByCompletionIsAnsweredWithTheFinalStatus(CommitStep step, int seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.start();
        cluster.runUntil(8_000);
        int[] occurrences = {0};
        cluster.store.dropsResponse =
                transaction -> {
                    if (!step.matcher.test(transaction)) {
                        return false;
                    }
                    if (occurrences[0]++ == 0) {
                        for (int controller = 0; controller < 3; controller++) {
                            int askedController = controller;
                            for (int delayMillis : new int[] {0, 3, 20, 150}) {
                                cluster.queryAfter(delayMillis, "wk-000001", askedController);
                                cluster.after(
                                        delayMillis,
                                        () ->
                                                cluster.submit(
                                                        cluster.jobsById.get("wk-000001"),
                                                        askedController));
                            }
                            cluster.cancelAfter(5 + controller * 40L, "wk-000001", askedController);
                        }
                    }
                    return true;
                };
        JobSpec job =
                JobFixtures.array(
                        1,
                        "red",
                        seed % 2 == 0 ? JobSpec.Priority.HIGH : JobSpec.Priority.NORMAL,
                        2,
                        1,
                        4);
        cluster.submit(job, seed % 3);
        // The last task ends 2 to 6 s after it began.
        int submittingController = seed % 3;
        cluster.cancelAfter(
                step == CommitStep.CANCELLATION ? 700 * seed : 60_000,
                "wk-000001",
                submittingController);
        cluster.after(20_000, () -> cluster.store.dropsResponse = transaction -> false);
        cluster.runUntil(120_000);
        assertTrue(occurrences[0] > 0, "the meeting");
        assertAllJobsFinished(cluster, 1);
        assertTrue(cluster.hasFinalStatus("wk-000001"));
    }

    /**
     * A cancellation, a query and a resubmission arrive just as the last task ends, without any
     * other fault.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void cancellationAtCompletionHasOneOutcome(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.start();
        cluster.users.consistencyProbes = true;
        cluster.users.cancelAtCompletionRate = 0.7;
        for (int i = 1; i <= 40; i++) {
            JobSpec job =
                    JobFixtures.array(i, "red", JobSpec.Priority.values()[i % 4], 1 + i % 3, 1, 3);
            cluster.submitAfter(4_000 + i * 500L, job);
        }
        cluster.runUntil(120_000);
        assertTrue(
                cluster.users.cancelledAtCompletionCount > 15,
                "at the end: " + cluster.users.cancelledAtCompletionCount);
        assertAllJobsFinished(cluster, 40);
        assertTrue(
                cluster.jobsById.keySet().stream()
                                .anyMatch(id -> cluster.wasToldFinalStatus(id, "done"))
                        && cluster.jobsById.keySet().stream()
                                .anyMatch(id -> cluster.wasToldFinalStatus(id, "cancelled")));
    }

    /**
     * Resubmissions of unfinished jobs, cancellations of finished ones, and jobs that fit no
     * machine or lack a field: none of these requests may cause a job to be lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void unacceptableRequestsLoseNoJob(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryWindowMillis = 200_000;
        cluster.start();
        for (int i = 1; i <= 20; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 1 + i % 3, 1, 10);
            cluster.submitAfter(4_000 + i * 1_500L, job);
        }
        cluster.after(6_000, () -> cluster.users.sendUnusualRequests(100, 60_000));
        cluster.faults.crashLeaderAfter(15_000, 300);
        cluster.after(25_000, () -> cluster.faults.injectStoreOutage(10_000));
        cluster.runUntil(200_000);
        assertTrue(
                cluster.users.expectedRefusalCount > 150 && cluster.users.knownJobRequestCount > 30,
                cluster.users.expectedRefusalCount
                        + " refused, "
                        + cluster.users.knownJobRequestCount
                        + " odd");
        assertAllJobsFinished(cluster, 20);
        cluster.unacceptableJobs.forEach(
                id -> assertEquals(null, cluster.store.value("a/j/" + id)));
    }

    /**
     * A resubmission of a known job is answered with the job's status, however a new job with that
     * body would be answered; if the status can't be determined yet, the response says so.
     */
    @Test
    void resubmissionOfKnownJobIsAnsweredWithItsStatus() {
        SimulatedCluster cluster = clusterWithReadyMachines(3, 3, 12);
        cluster.start();
        cluster.runUntil(8_000);
        JobSpec job = JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 2, 1, 30);
        cluster.submit(job, 0);
        cluster.runUntil(9_000);
        ObjectNode incomplete = job.encode();
        incomplete.remove("vcpus");
        List<ObjectNode> bodies =
                List.of(
                        incomplete,
                        job.encode().put("vcpus", 1_000),
                        job.encode().put("owner", "nobody"));
        for (int controller = 0; controller < 3; controller++) {
            for (ObjectNode body : bodies) {
                int[] status = new int[1];
                JsonNode[] response = {null};
                submitAndAwait(cluster, controller, body, status, response);
                assertEquals(200, status[0], () -> body + ": " + response[0]);
                assertEquals("wk-000001", response[0].path("nameId").asText());
                submitAndAwait(
                        cluster,
                        controller,
                        body.deepCopy().put("nameId", "wk-000002"),
                        status,
                        response);
                assertTrue(status[0] == 400 || status[0] == 422, "an unknown one: " + status[0]);
                assertTrue(
                        Set.of("vcpus", "owner", "no allowed machine type").stream()
                                .anyMatch(response[0].path("error").asText()::contains),
                        response[0] + "");
            }
        }
        cluster.store.setDown(true);
        int[] status = new int[1];
        JsonNode[] response = {null};
        submitAndAwait(cluster, 1, incomplete, status, response);
        assertEquals(503, status[0]);
        cluster.store.setDown(false);
        cluster.runUntil(200_000);
        assertAllJobsFinished(cluster, 1);
    }

    private static void submitAndAwait(
            SimulatedCluster cluster,
            int controller,
            ObjectNode body,
            int[] status,
            JsonNode[] response) {
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                cluster.controllers.get(controller).userAddress,
                "POST",
                "/v2/runs",
                io.quincelead.transport.WireFormat.CBOR.encode(body),
                5_000,
                (responseStatus, responseBody, retryAfterSeconds) -> {
                    status[0] = responseStatus;
                    response[0] = io.quincelead.transport.WireFormat.CBOR.decodeMap(responseBody);
                    assertTrue(responseStatus != 503 || retryAfterSeconds > 0, "no Retry-After");
                });
        cluster.runUntil(cluster.nowMillis() + 2_500);
    }
}
