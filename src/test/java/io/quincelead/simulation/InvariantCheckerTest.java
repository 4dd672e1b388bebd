package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Shows that the invariant checker can fail: each test breaks the simulated cluster deliberately
 * and expects the rule's violation.
 */
class InvariantCheckerTest {
    private final SimulatedCluster cluster = new SimulatedCluster(1);
    private int machineCount;

    private SimulatedWorker addMachine(String zone, boolean spot) {
        machineCount++;
        SimulatedWorker worker =
                new SimulatedWorker(
                        cluster,
                        "i-" + machineCount,
                        "10.1.0." + machineCount + ":9000",
                        cluster.cloud.machineType("small"),
                        zone,
                        spot);
        cluster.cloud.machines.put(worker.host, worker);
        return worker;
    }

    private SimulatedWorker.SimulatedTask runTask(
            SimulatedWorker worker, JobSpec job, int index, long attempt) {
        cluster.jobsById.put(job.jobId(), job);
        SimulatedWorker.SimulatedTask task =
                new SimulatedWorker.SimulatedTask(job.jobId() + "/" + index, attempt);
        worker.tasks.put(task.id + "#" + attempt, task);
        cluster.onTaskStarted(worker, task, job);
        task.status = "running";
        cluster.after(1, () -> {});
        cluster.runUntil(cluster.nowMillis() + 2);
        return task;
    }

    private void assertViolation(String rule) {
        assertTrue(
                cluster.violations().stream().anyMatch(violation -> violation.startsWith(rule)),
                rule + " in " + cluster.violations());
    }

    private static JobSpec plainJob() {
        return JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 4, 2, 10);
    }

    @Test
    void taskRunningTwiceIsDetected() {
        runTask(addMachine("a", true), plainJob(), 0, 1);
        runTask(addMachine("b", true), plainJob(), 0, 2);
        assertViolation("ran_twice");
    }

    @Test
    void exceededQuotaIsDetected() {
        JobSpec job = JobFixtures.array(1, "blue", JobSpec.Priority.NORMAL, 40, 8, 10);
        for (int i = 0; i < 4; i++) {
            runTask(addMachine("a", true), job, i, 1);
        }
        assertViolation("quota");
    }

    @Test
    void wrongMachineTypeIsDetected() {
        runTask(
                addMachine("a", true),
                JobFixtures.arrayJob(1, "red", JobSpec.Priority.NORMAL, 2)
                        .cpus(1)
                        .runtimeSeconds(5)
                        .machineTypes(List.of("big"))
                        .build(),
                0,
                1);
        assertViolation("wrong_place");
    }

    @Test
    void violatedZoneAffinityIsDetected() {
        JobSpec job =
                JobFixtures.arrayJob(1, "red", JobSpec.Priority.NORMAL, 2)
                        .cpus(1)
                        .runtimeSeconds(5)
                        .zoneAffinity(true)
                        .build();
        runTask(addMachine("a", true), job, 0, 1);
        runTask(addMachine("b", true), job, 1, 1);
        assertViolation("wrong_place");
    }

    @Test
    void taskRunningAfterCancellationIsDetected() {
        JobSpec job = plainJob();
        runTask(addMachine("a", true), job, 0, 1);
        cluster.network.setHandler(
                "10.0.0.1:8080",
                request ->
                        request.respond(
                                200,
                                WireFormat.newMap()
                                        .put("nameId", job.jobId())
                                        .put("status", "cancelled")));
        cluster.network.setHandler(
                "10.0.0.2:8080",
                request ->
                        request.respond(
                                200,
                                WireFormat.newMap()
                                        .put("nameId", job.jobId())
                                        .put("status", "cancelled")));
        cluster.network.setHandler(
                "10.0.0.3:8080",
                request ->
                        request.respond(
                                200,
                                WireFormat.newMap()
                                        .put("nameId", job.jobId())
                                        .put("status", "cancelled")));
        cluster.cancel(job.jobId());
        cluster.runUntil(60_000);
        assertViolation("ran_cancelled");
    }

    private void respondFromAllControllers(int status, String answer) {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request -> {
                                    if (request.method.equals("POST")) {
                                        request.respond(
                                                201, WireFormat.newMap().put("status", "pending"));
                                    } else {
                                        request.respond(
                                                status, WireFormat.newMap().put("status", answer));
                                    }
                                }));
    }

    @Test
    void forgottenJobIsDetected() {
        respondFromAllControllers(404, "");
        cluster.submit(plainJob());
        cluster.runUntil(20_000);
        assertViolation("forgotten");
    }

    /** Polls of one job are never answered, while those of another job are. */
    @Test
    void unansweredJobIsDetected() {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request -> {
                                    if (request.method.equals("POST")) {
                                        request.respond(
                                                201, WireFormat.newMap().put("status", "pending"));
                                    } else if (request.path.endsWith("2")) {
                                        request.respond(
                                                200, WireFormat.newMap().put("status", "pending"));
                                    } else {
                                        request.respondRetryLater(503, "not ready");
                                    }
                                }));
        cluster.expectFaultsUntil(40_000);
        cluster.submit(plainJob());
        cluster.submit(JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 4, 2, 10));
        cluster.runUntil(114_000);
        assertEquals(Set.of(), cluster.violations());
        cluster.runUntil(120_000);
        assertEquals(Set.of("forgotten: wk-000001 got no answer for 75 s"), cluster.violations());
    }

    /** Starvation is detected by class, by team, by size, and by the time of the first start. */
    @Test
    void starvedJobsAreDetected() {
        respondFromAllControllers(200, "pending");
        for (int i = 1; i <= 11; i++) {
            cluster.submit(
                    JobFixtures.array(
                            i,
                            i == 11 ? "blue" : "red",
                            JobSpec.Priority.NORMAL,
                            i == 10 ? 40 : 4,
                            2,
                            10));
        }
        cluster.runUntil(20_000);
        for (int i = 1; i <= 9; i++) {
            String id = JobFixtures.id(i);
            runTask(addMachine("a", true), cluster.jobsById.get(id), 0, 1);
            for (int k = 0; k < 4; k++) {
                cluster.completedTasks.add(id + "/" + k);
            }
            cluster.checkAnswer(id, "done", null);
        }
        cluster.runUntil(239_000);
        assertEquals(
                List.of("largest of class quick: 0.0 served", "team blue: 0.0 served"),
                cluster.serviceLevels().starved());
        runTask(addMachine("a", true), cluster.jobsById.get("wk-000011"), 0, 1);
        cluster.runUntil(241_000);
        assertTrue(
                cluster.serviceLevels()
                        .starved()
                        .contains("wk-000010 (40 tasks, NORMAL) began after 241 s"),
                "" + cluster.serviceLevels().starved());
        assertTrue(
                cluster.serviceLevels().starved().stream()
                        .noneMatch(line -> line.startsWith("wk-000011")),
                "" + cluster.serviceLevels().starved());
    }

    /** A copy of a request that was already executed arrives again. */
    @Test
    void duplicatedRequestsArrive() {
        int[] requests = {0};
        cluster.network.duplicationRate = 1;
        cluster.network.setHandler(
                "10.9.0.1:1",
                request -> {
                    requests[0]++;
                    request.respond(200, WireFormat.newMap());
                });
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                "10.9.0.1:1",
                "POST",
                "/x",
                null,
                1_000,
                (status, body, retryAfterSeconds) -> {});
        cluster.runUntil(200_000);
        assertEquals(2, requests[0]);
    }

    @Test
    void inventedJobIsDetected() {
        respondFromAllControllers(200, "running");
        cluster.query("wk-77");
        cluster.runUntil(20_000);
        assertViolation("invented");
    }

    @Test
    void unfinishedJobReportedDoneIsDetected() {
        respondFromAllControllers(200, "done");
        cluster.submit(plainJob());
        cluster.runUntil(20_000);
        assertViolation("not_done");
    }

    @Test
    void revokedFinalStatusIsDetected() {
        respondFromAllControllers(200, "cancelled");
        cluster.submit(plainJob());
        cluster.runUntil(20_000);
        assertViolation("went_back");
    }

    private void confirmCancellation(JobSpec job) {
        cluster.jobsById.put(job.jobId(), job);
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request ->
                                        request.respond(
                                                200,
                                                WireFormat.newMap()
                                                        .put("nameId", job.jobId())
                                                        .put("status", "cancelled"))));
        cluster.cancel(job.jobId());
        cluster.runUntil(cluster.nowMillis() + 1_000);
        assertTrue(cluster.cancellationConfirmedAtMillis(job.jobId()) >= 0);
    }

    /**
     * A start after a confirmed cancellation is detected at once, not only after {@code cancel_s}.
     */
    @Test
    void startAfterConfirmedCancellationIsDetected() {
        confirmCancellation(plainJob());
        assertEquals(Set.of(), cluster.violations());
        runTask(addMachine("a", true), plainJob(), 0, 1);
        assertViolation("ran_cancelled: wk-000001/0 starts");
    }

    @Test
    void cancelledTaskResumingOnHungMachineIsDetected() {
        JobSpec job = plainJob();
        SimulatedWorker worker = addMachine("a", true);
        worker.boot();
        runTask(worker, job, 0, 1);
        worker.setHung(true);
        confirmCancellation(job);
        assertEquals(Set.of(), cluster.violations());
        worker.setHung(false);
        assertViolation("ran_cancelled: wk-000001/0 goes on after i-1 hung");
    }

    /**
     * An answer is stale if it shows fewer tasks done than any user had been told before the query
     * was sent; what users were told before the answer arrived doesn't matter.
     */
    @Test
    void staleAnswerIsDetected() {
        int[] done = {3};
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request ->
                                        request.respond(
                                                200,
                                                WireFormat.newMap()
                                                        .put("status", "running")
                                                        .put("done", done[0]))));
        cluster.submit(plainJob());
        cluster.runUntil(1_000);
        cluster.query("wk-000001", 0);
        done[0] = 2;
        cluster.checkAnswer(
                "wk-000001", WireFormat.newMap().put("status", "running").put("done", 3), null, 0);
        cluster.query("wk-000001", 1);
        cluster.runUntil(1_100);
        assertViolation("older: wk-000001: 2 tasks are done, there were 3");
    }

    @Test
    void overtakenAnswerIsNotStale() {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request ->
                                        request.respond(
                                                200,
                                                WireFormat.newMap()
                                                        .put("status", "running")
                                                        .put("done", 2))));
        cluster.submit(plainJob());
        cluster.query("wk-000001", 0);
        cluster.checkAnswer(
                "wk-000001", WireFormat.newMap().put("status", "running").put("done", 3), null, 0);
        cluster.runUntil(500);
        assertEquals(Set.of(), cluster.violations());
    }

    @Test
    void acceptedUnrunnableJobIsDetected() {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request ->
                                        request.respond(
                                                201,
                                                WireFormat.newMap().put("status", "pending"))));
        cluster.submitUnacceptable(
                "wk-700001",
                WireFormat.CBOR.encode(
                        plainJob().encode().put("nameId", "wk-700001").put("vcpus", 1_000)),
                422);
        cluster.runUntil(500);
        assertViolation("accepted: wk-700001 can't run");
    }

    @Test
    void refusalWithWrongStatusIsDetected() {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress, request -> request.respondError(422, "")));
        cluster.submitUnacceptable("wk-700001", new byte[] {1}, 400);
        cluster.runUntil(500);
        assertViolation("accepted: wk-700001 got 422 instead of 400");
        assertEquals(0, cluster.users.expectedRefusalCount);
    }

    @Test
    void doubleAcceptanceAndUnknownCancellationAreDetected() {
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request -> {
                                    if (request.path.endsWith("/cancel")) {
                                        request.respondError(404, "");
                                    } else {
                                        request.respond(
                                                201, WireFormat.newMap().put("status", "pending"));
                                    }
                                }));
        cluster.submit(plainJob());
        cluster.runUntil(500);
        assertEquals(Set.of(), cluster.violations());
        cluster.submit(plainJob());
        cluster.cancel("wk-000001");
        cluster.runUntil(900);
        assertEquals(
                Set.of(
                        "forgotten: wk-000001 was accepted once more",
                        "forgotten: wk-000001 can't be cancelled"),
                cluster.violations());
    }

    /**
     * A violation needs a machine with enough free capacity and a team under its limit while
     * nothing starts for 90 s; there is none where either is missing or is just passing from one
     * task to the next.
     */
    @Test
    void waitingDespiteFreeCapacityIsDetected() {
        respondFromAllControllers(200, "pending");
        SimulatedWorker worker = addMachine("a", true);
        worker.boot();
        JobSpec waiting = plainJob();
        JobSpec tooLarge = JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 1, 9, 10);
        JobSpec overLimit = JobFixtures.array(3, "blue", JobSpec.Priority.NORMAL, 4, 1, 10);
        cluster.expectFaultsUntil(10_000);
        cluster.submit(waiting);
        cluster.submit(tooLarge);
        cluster.submit(overLimit);
        JobSpec filling = JobFixtures.array(4, "blue", JobSpec.Priority.NORMAL, 24, 1, 10);
        cluster.submit(filling);
        for (int i = 0; i < 24; i++) {
            SimulatedWorker otherWorker =
                    i % 8 == 0
                            ? addMachine("b", true)
                            : cluster.cloud.machines.get("i-" + machineCount);
            runTask(otherWorker, filling, i, 1);
        }
        cluster.runUntil(99_000);
        assertEquals(Set.of(), cluster.violations());
        cluster.runUntil(103_000);
        assertEquals(Set.of("waiting: wk-000001 could go on since 11 s"), cluster.violations());
    }

    @Test
    void recentlyFreedCapacityIsNotFree() {
        respondFromAllControllers(200, "pending");
        SimulatedWorker worker = addMachine("a", true);
        worker.boot();
        JobSpec waiting = JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 1, 8, 10);
        JobSpec largeJob = JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 100, 8, 10);
        cluster.submit(waiting);
        cluster.submit(largeJob);
        for (int i = 0; i < 40; i++) {
            SimulatedWorker.SimulatedTask task = runTask(worker, largeJob, i, 1);
            cluster.runUntil(cluster.nowMillis() + 2_000);
            worker.tasks.remove(task.id + "#1");
            cluster.runUntil(cluster.nowMillis() + 2_000);
        }
        assertTrue(cluster.nowMillis() > 150_000);
        assertEquals(Set.of(), cluster.violations());
    }

    /**
     * A job that couldn't have started, because its team was at its limit with work at least as
     * urgent, doesn't count as starved; a job that could have started does.
     */
    @Test
    void jobsBehindMoreUrgentWorkAreNotStarved() {
        respondFromAllControllers(200, "pending");
        SimulatedWorker worker = addMachine("a", true);
        worker.boot();
        JobSpec high = JobFixtures.array(1, "blue", JobSpec.Priority.HIGH, 1, 2, 10);
        JobSpec low = JobFixtures.array(2, "blue", JobSpec.Priority.BEST_EFFORT, 1, 2, 10);
        JobSpec filling = JobFixtures.array(3, "blue", JobSpec.Priority.NORMAL, 12, 2, 10);
        cluster.submit(high);
        cluster.submit(low);
        cluster.submit(filling);
        for (int i = 0; i < 12; i++) {
            SimulatedWorker otherWorker =
                    i % 4 == 0
                            ? addMachine("b", true)
                            : cluster.cloud.machines.get("i-" + machineCount);
            runTask(otherWorker, filling, i, 1);
        }
        cluster.runUntil(250_000);
        assertTrue(
                cluster.startableSeconds(high.jobId()) > 200,
                "high: " + cluster.startableSeconds(high.jobId()));
        assertEquals(0, cluster.startableSeconds(low.jobId()));
        assertTrue(
                CompoundFaults.starvedDespiteCapacity(cluster).stream()
                        .anyMatch(line -> line.startsWith(high.jobId())));
        assertTrue(
                CompoundFaults.starvedDespiteCapacity(cluster).stream()
                        .noneMatch(line -> line.startsWith(low.jobId())));
    }

    /** The store commits the transaction, and its response is lost. */
    @Test
    void storeResponseIsLostAfterCommit() {
        int[] status = {-1};
        cluster.store.responseLossRate = 1;
        cluster.network.call(
                "10.0.0.1:0",
                SimulatedCluster.STORE_ADDRESS,
                "POST",
                "/commit",
                WireFormat.CBOR.encode(
                        WireFormat.JSON.decodeMap(
                                "{\"guards\":[],\"then\":[{\"put\":\"a/x\",\"value\":{}}]}"
                                        .getBytes(java.nio.charset.StandardCharsets.UTF_8))),
                1_000,
                (responseStatus, responseBody, retryAfterSeconds) -> status[0] = responseStatus);
        cluster.runUntil(2_000);
        assertEquals(0, status[0]);
        assertEquals(1, cluster.store.lostResponses);
        assertTrue(cluster.store.value("a/x") != null);
    }

    /**
     * Heartbeats are retained for the next leader or held until it acts; a worker that can't reach
     * anybody still answers direct commands.
     */
    @Test
    void heartbeatsAreRetainedAndHeld() {
        int[] requests = {0};
        cluster.controllers.forEach(
                controller ->
                        cluster.network.setHandler(
                                controller.userAddress,
                                request -> {
                                    requests[0]++;
                                    request.respond(200, WireFormat.newMap().put("epoch", 1));
                                }));
        SimulatedWorker worker = addMachine("a", true);
        cluster.network.heartbeatRetentionRate = 1;
        worker.boot();
        cluster.runUntil(4_500);
        int sent = requests[0];
        cluster.network.heartbeatRetentionRate = 0;
        cluster.network.replayRetainedHeartbeats(
                cluster.controllers.stream().map(controller -> controller.userAddress).toList());
        cluster.runUntil(4_990);
        assertTrue(
                sent > 3
                        && cluster.network.replayedHeartbeats >= 3 * sent
                        && cluster.network.replayedHeartbeats % 3 == 0,
                sent + " sent, " + cluster.network.replayedHeartbeats + " arrived");
        cluster.network.heartbeatHoldRate = 1;
        cluster.runUntil(9_000);
        int requestsBefore = requests[0];
        cluster.network.heartbeatHoldRate = 0;
        cluster.network.releaseHeldHeartbeats();
        cluster.runUntil(9_450);
        assertTrue(
                cluster.network.releasedHeartbeats > 0
                        && requests[0] >= requestsBefore + cluster.network.releasedHeartbeats);
        worker.unreachableOutbound = true;
        cluster.runUntil(15_000);
        int requestsWhileUnreachable = requests[0];
        int[] status = {0};
        cluster.network.call(
                "10.0.0.1:0",
                worker.address,
                "GET",
                "/show",
                null,
                1_000,
                (responseStatus, responseBody, retryAfterSeconds) -> status[0] = responseStatus);
        cluster.runUntil(22_000);
        assertEquals(requestsWhileUnreachable, requests[0]);
        assertEquals(200, status[0]);
    }

    private void submitWithoutAcceptance(JobSpec job) {
        cluster.start();
        cluster.runUntil(20_000);
        cluster.submit(job);
        cluster.runUntil(320_000);
        assertTrue(!cluster.acceptedJobs().contains(job.jobId()));
    }

    /** A job once counted as started late although no controller could have accepted it. */
    @Test
    void submissionThatReachedNoControllerIsCountedSeparately() {
        for (SimulatedCluster.SimulatedController controller : cluster.controllers) {
            cluster.after(
                    15_000, () -> cluster.network.partition(controller.ip, "10.3.0.1", false));
        }
        submitWithoutAcceptance(plainJob());
        assertEquals(List.of("wk-000001"), cluster.serviceLevels().unreachedJobs());
        assertTrue(
                cluster.serviceLevels().starved().stream()
                        .anyMatch(line -> line.startsWith("1 of 1 jobs reached nobody")),
                cluster.serviceLevels().starved().toString());
    }

    @Test
    void submissionThatAHealthyControllerNeverAcceptsIsStarved() {
        cluster.store.dropsTransaction =
                transaction -> transaction.toString().contains("a/j/wk-000001");
        submitWithoutAcceptance(plainJob());
        assertEquals(List.of(), cluster.serviceLevels().unreachedJobs());
        assertTrue(
                cluster.serviceLevels().starved().stream()
                        .anyMatch(
                                line ->
                                        line.startsWith("wk-000001")
                                                && line.contains("began after")),
                cluster.serviceLevels().starved().toString());
    }

    /** Attempts to submit in the first five seconds after an outage once didn't count. */
    @Test
    void submissionThatIsNotAcceptedASecondAfterAnOutageIsStarved() {
        cluster.submissionRetryWindowMillis = 500;
        cluster.after(15_000, () -> cluster.store.setDown(true));
        cluster.after(19_000, () -> cluster.store.setDown(false));
        submissionThatAHealthyControllerNeverAcceptsIsStarved();
    }
}
