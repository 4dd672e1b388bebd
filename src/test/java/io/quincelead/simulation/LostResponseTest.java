package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.anyStartsWith;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Transactions that are committed at once while only their responses are lost, so that others read
 * and act on what they wrote (docs/design/compound-faults.md); and cancellations at each step of a
 * reassignment, which consists of such transactions.
 */
class LostResponseTest {
    private static boolean removes(ObjectNode transaction, String prefix) {
        return anyStartsWith(transaction.path("then"), "remove", prefix);
    }

    private static boolean puts(ObjectNode transaction, String prefix) {
        return anyStartsWith(transaction.path("then"), "put", prefix);
    }

    private static boolean hasPrecondition(ObjectNode transaction, String prefix) {
        return anyStartsWith(transaction.path("guards"), "path", prefix);
    }

    private static boolean putsValueWithField(ObjectNode transaction, String prefix, String field) {
        for (JsonNode operation : transaction.path("then")) {
            if (operation.path("put").asText().startsWith(prefix)
                    && operation.path("value").has(field)) {
                return true;
            }
        }
        return false;
    }

    /** The kinds of commits, told apart by what they write and by their preconditions. */
    private enum CommitKind {
        SCHEDULING_CYCLE(
                transaction ->
                        (puts(transaction, "a/j/") || puts(transaction, "a/t/"))
                                && hasPrecondition(transaction, "a/b/")
                                && !hasPrecondition(transaction, "z/")
                                && !puts(transaction, "a/b/")),
        ADMITTING_SCHEDULING_CYCLE(
                transaction ->
                        puts(transaction, "a/j/")
                                && hasPrecondition(transaction, "z/")
                                && hasPrecondition(transaction, "a/b/")),
        SUBMISSION(
                transaction ->
                        puts(transaction, "a/j/")
                                && hasPrecondition(transaction, "z/")
                                && !hasPrecondition(transaction, "a/b/")),
        CANCELLATION(
                transaction ->
                        transaction.path("then").size() == 1
                                && putsValueWithField(transaction, "a/j/", "x")
                                && !hasPrecondition(transaction, "a/b/")
                                && !hasPrecondition(transaction, "a/lead")),
        COMPLETION(transaction -> puts(transaction, "z/wk-")),
        SHARD_GRANT(
                transaction ->
                        puts(transaction, "a/b/")
                                && hasPrecondition(transaction, "a/lead")
                                && puts(transaction, "a/term")),
        QUOTA_SHARES(
                transaction ->
                        puts(transaction, "a/b/")
                                && hasPrecondition(transaction, "a/lead")
                                && !puts(transaction, "a/term")
                                && !puts(transaction, "a/j/")
                                && !puts(transaction, "a/m/")),
        REASSIGNMENT(
                transaction ->
                        puts(transaction, "a/j/")
                                && hasPrecondition(transaction, "a/lead")
                                && transaction.path("then").size() <= 12
                                && !hasPrecondition(transaction, "a/oc/")),
        CANDIDACY(transaction -> puts(transaction, "a/lead") && puts(transaction, "a/term")),
        MACHINE_LOSS(
                transaction ->
                        puts(transaction, "a/m/")
                                && puts(transaction, "a/b/")
                                && !hasPrecondition(transaction, "a/lead")),
        PROVISIONING_REQUEST(transaction -> puts(transaction, "a/r/")),
        PROVISIONING_SETTLEMENT(transaction -> removes(transaction, "a/r/")),
        MACHINE_RECORDS(
                transaction ->
                        (puts(transaction, "a/m/") || removes(transaction, "a/m/"))
                                && hasPrecondition(transaction, "a/lead")
                                && !removes(transaction, "a/r/")),
        CATALOG(transaction -> puts(transaction, "a/c/")),
        MEMBER_ANNOUNCEMENT(transaction -> puts(transaction, "a/n/"));

        private final Predicate<ObjectNode> matcher;

        CommitKind(Predicate<ObjectNode> matcher) {
            this.matcher = matcher;
        }
    }

    /** What the writer of a commit does when the response is lost. */
    private enum WriterBehavior {
        CONTINUES,
        CRASHES
    }

    static Stream<Arguments> commitsWritersAndSeeds() {
        return ScenarioArguments.withSeeds(CommitKind.values(), WriterBehavior.values(), 3);
    }

    /**
     * A scenario with every kind of commit: jobs of all kinds, cancellations, machines that are
     * provisioned, released, hang and die, and controllers that crash. The first responses to one
     * kind of commit are lost, and so is every second one after that; the writer continues or
     * crashes.
     */
    @ParameterizedTest
    @MethodSource("commitsWritersAndSeeds")
    void committedWriteWithLostResponseIsSettled(
            CommitKind kind, WriterBehavior writerFate, int seed) {
        SimulatedCluster cluster = new SimulatedCluster(40 + seed);
        cluster.submissionRetryWindowMillis = 200_000;
        int[] occurrences = {0};
        int[] laterWrites = {0};
        cluster.store.dropsResponse =
                transaction -> {
                    if (!kind.matcher.test(transaction)) {
                        return false;
                    }
                    occurrences[0]++;
                    if (occurrences[0] > 4 && occurrences[0] % 2 == 0) {
                        return false;
                    }
                    long revision = cluster.store.revision();
                    cluster.after(
                            60,
                            () ->
                                    laterWrites[0] +=
                                            cluster.store.revision() > revision + 1 ? 1 : 0);
                    if (writerFate == WriterBehavior.CRASHES
                            && occurrences[0] % 3 == 1
                            && occurrences[0] < 10) {
                        cluster.faults.crashAfter(2, writerOf(cluster, transaction), 400);
                    }
                    return true;
                };
        cluster.start();
        cluster.users.consistencyProbes = true;
        submitJobsOfAllKinds(cluster);
        cluster.after(25_000, () -> cluster.faults.onRandomMachine(SimulatedWorker::crash));
        cluster.after(
                30_000,
                () -> cluster.faults.crashController((cluster.leaderIndex() + 1) % 3, 15_000));
        cluster.faults.crashLeaderAfter(55_000, 500);
        cluster.after(62_000, () -> cluster.faults.onRandomMachine(SimulatedWorker::crash));
        cluster.after(100_000, () -> cluster.store.dropsResponse = transaction -> false);
        cluster.expectFaultsUntil(100_000);
        cluster.runUntil(500_000);
        assertTrue(occurrences[0] > 0, kind + ": none came");
        assertEquals(Set.of(), cluster.violations(), kind + ", " + writerFate + ", seed " + seed);
        assertEquals(
                List.of(), cluster.unfinishedJobs(), kind + ", " + writerFate + ", seed " + seed);
        assertEquals(30, cluster.acceptedJobCount());
        long busyMachines =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> !worker.released && !worker.tasks.isEmpty())
                        .count();
        assertEquals(0, busyMachines, "machines with tasks at the end");
    }

    /**
     * The controller that wrote the transaction: the one that its records name, or the leader if
     * they name none.
     */
    private static int writerOf(SimulatedCluster cluster, ObjectNode transaction) {
        String name = transaction.toString().replaceAll("(?s).*(worker-\\d).*", "$1");
        return name.startsWith("worker-") && name.length() == 8
                ? cluster.indexOfController(name)
                : Math.max(0, cluster.leaderIndex());
    }

    /** Submits 30 jobs, one of them large; services and every fifth job are cancelled. */
    private static void submitJobsOfAllKinds(SimulatedCluster cluster) {
        for (int i = 1; i <= 30; i++) {
            JobSpec job =
                    i == 5
                            ? JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 230, 0.2, 5)
                            : JobFixtures.randomJob(i, cluster.random());
            cluster.submitAfter(4_000 + i * 2_000L, job);
            if (job.isService() || i % 5 == 0) {
                cluster.cancelAfter(
                        7_000 + i * 2_000L + (job.isService() ? 30_000 : 0), job.jobId());
            }
        }
    }

    /**
     * Which controllers receive the cancellations, just before or just after one step's transaction
     * of the reassignment is committed.
     */
    private enum CancellationTarget {
        OLD_OWNER,
        NEW_OWNER,
        THIRD_CONTROLLER,
        ALL_CONTROLLERS
    }

    /** Number of the lost controller's jobs that are cancelled. */
    private static final int CANCELLED_JOBS = 18;

    /**
     * Observes reassignments as they arrive at the store, and sends the cancellations at one of
     * them.
     */
    private static final class ReassignmentCancellations {
        private final SimulatedCluster cluster;
        private final CancellationTarget target;
        private final int step;
        private final int variant;
        private final int lostController;
        private final int thirdController;
        private final Set<String> newOwners = new TreeSet<>();
        private final List<String> movedJobs = new ArrayList<>();
        private int reassignments;

        ReassignmentCancellations(
                SimulatedCluster cluster,
                CancellationTarget target,
                int step,
                int variant,
                int lostController,
                int thirdController) {
            this.cluster = cluster;
            this.target = target;
            this.step = step;
            this.variant = variant;
            this.lostController = lostController;
            this.thirdController = thirdController;
        }

        void onArrival(ObjectNode transaction) {
            if (!CommitKind.REASSIGNMENT.matcher.test(transaction)) {
                return;
            }
            int current = reassignments++;
            for (JsonNode operation : transaction.path("then")) {
                if (operation.path("put").asText().startsWith("a/j/")) {
                    newOwners.add(operation.path("value").path("c").asText());
                    movedJobs.add(operation.path("put").asText().substring(4));
                }
            }
            if (current != step) {
                return;
            }
            cancelJobs();
            if (variant == 1) {
                cluster.after(3, () -> crashNewOwners(5_000));
            } else if (variant == 2) {
                // The lost controller is back at once, and the new owner's jobs are reassigned to
                // it in turn.
                cluster.after(5, () -> cluster.controllers.get(lostController).start());
                cluster.after(6_000, () -> crashNewOwners(9_000));
            }
        }

        private void cancelJobs() {
            List<Integer> cancellingControllers = cancellingControllers();
            for (int i = 1; i <= CANCELLED_JOBS; i++) {
                String id = JobFixtures.id(i);
                for (int controller : cancellingControllers) {
                    // Some arrive before the transaction that is on its way to the store, some with
                    // it, some after it.
                    cluster.cancelAfter(i % 3 * 4L, id, controller);
                }
            }
        }

        private List<Integer> cancellingControllers() {
            return switch (target) {
                case THIRD_CONTROLLER -> List.of(thirdController);
                case OLD_OWNER -> List.of(lostController);
                case NEW_OWNER -> newOwners.stream().map(cluster::indexOfController).toList();
                case ALL_CONTROLLERS -> List.of(0, 1, 2, 3);
            };
        }

        private void crashNewOwners(long restartDelayMillis) {
            newOwners.forEach(
                    newOwner ->
                            cluster.faults.crashController(
                                    cluster.indexOfController(newOwner), restartDelayMillis));
        }
    }

    /**
     * Submits jobs of two teams to one controller; every third one runs for {@code shortSeconds}.
     */
    private static void submitShortAndLongJobs(
            SimulatedCluster cluster,
            int controller,
            int count,
            long intervalMillis,
            int shortSeconds) {
        for (int i = 1; i <= count; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.NORMAL,
                            1 + i % 3,
                            1,
                            i % 3 == 0 ? shortSeconds : 60);
            cluster.submitAfter(i * intervalMillis, job, controller);
        }
    }

    static Stream<Arguments> targetsStepsAndVariants() {
        return Arrays.stream(CancellationTarget.values())
                .flatMap(
                        target ->
                                IntStream.range(0, 12)
                                        .mapToObj(i -> Arguments.of(target, i / 3, i % 3)));
    }

    /**
     * A lost controller's jobs are reassigned while they are cancelled: before, between and after
     * the commits that move them, at the old owner (once it is back), at the new one, at a third
     * controller or at all; then the new owner crashes too, or the jobs move back.
     */
    @ParameterizedTest
    @MethodSource("targetsStepsAndVariants")
    void cancellationsDuringReassignmentTakeEffect(
            CancellationTarget target, int step, int variant) {
        String context = target + ", step " + step + ", besides " + variant;
        SimulatedCluster cluster = clusterWithReadyMachines(60 + step * 3 + variant, 4, 24);
        cluster.submissionRetryWindowMillis = 200_000;
        cluster.start();
        cluster.runUntil(9_000);
        int lostController = (cluster.leaderIndex() + 1) % 4;
        int thirdController = (cluster.leaderIndex() + 2) % 4;
        submitShortAndLongJobs(cluster, lostController, 30, 60, 8);
        cluster.runUntil(16_000);
        ReassignmentCancellations cancellations =
                new ReassignmentCancellations(
                        cluster, target, step, variant, lostController, thirdController);
        cluster.store.arrivalObserver = cancellations::onArrival;
        cluster.users.consistencyProbes = true;
        cluster.expectFaultsUntil(80_000);
        cluster.controllers.get(lostController).kill();
        cluster.after(
                45_000,
                () -> {
                    if (!cluster.controllers.get(lostController).isAlive()) {
                        cluster.controllers.get(lostController).start();
                    }
                });
        cluster.runUntil(60_000);
        assertTrue(
                cancellations.reassignments > 0 && !cancellations.movedJobs.isEmpty(),
                context + ": nothing was handed over");
        if (cancellations.reassignments <= step) {
            // Fewer transactions sufficed, so the cancellations follow the last of them.
            for (int i = 1; i <= CANCELLED_JOBS; i++) {
                cluster.cancel(JobFixtures.id(i));
            }
        }
        cluster.runUntil(500_000);
        assertEquals(Set.of(), cluster.violations(), context);
        assertAllJobsFinished(cluster, 30);
        for (int i = 1; i <= CANCELLED_JOBS; i++) {
            assertTrue(cluster.hasFinalStatus(JobFixtures.id(i)), context + ": wk " + i);
        }
    }

    /**
     * The store is slow, so cancellations and completions are recorded between the planning of a
     * reassignment and its commit. The reassignment rewrites the jobs' records as its writer knew
     * them, and must not undo these changes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void overtakenReassignmentUndoesNothing(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(70 + seed, 4, 24);
        cluster.submissionRetryWindowMillis = 200_000;
        cluster.start();
        cluster.runUntil(9_000);
        int lostController = (cluster.leaderIndex() + 1) % 4;
        submitShortAndLongJobs(cluster, lostController, 40, 50, 9);
        cluster.runUntil(16_000);
        cluster.controllers.get(lostController).kill();
        cluster.store.maxExtraLatencyMillis = 900;
        int[] overtakenWrites = {0};
        cluster.store.arrivalObserver =
                transaction -> overtakenWrites[0] += countOvertakenJobWrites(cluster, transaction);
        cluster.store.holdsTransaction =
                transaction ->
                        overtakenWrites[0] == 0
                                && reassignsJobNotCancelled(transaction)
                                && countOvertakenJobWrites(cluster, transaction) == 0;
        cluster.users.consistencyProbes = true;
        cluster.network.requestObserver =
                (path, body) -> {
                    if (path.equals("/commit")) {
                        cancelReassignedJobs(
                                cluster, lostController, WireFormat.CBOR.decodeMap(body));
                    }
                };
        cluster.after(25_000, () -> cluster.store.maxExtraLatencyMillis = 0);
        cluster.after(30_000, cluster.controllers.get(lostController)::start);
        cluster.expectFaultsUntil(50_000);
        cluster.runUntil(50_000);
        assertTrue(overtakenWrites[0] > 0, "no hand-over was overtaken");
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 40);
    }

    /**
     * Whether the transaction is a reassignment with at least one job record that isn't marked as
     * cancelled.
     */
    private static boolean reassignsJobNotCancelled(ObjectNode transaction) {
        if (!CommitKind.REASSIGNMENT.matcher.test(transaction)) {
            return false;
        }
        for (JsonNode operation : transaction.path("then")) {
            if (operation.path("put").asText().startsWith("a/j/")
                    && !operation.path("value").has("x")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Number of a reassignment's job records that were meanwhile removed or marked as cancelled.
     */
    private static int countOvertakenJobWrites(SimulatedCluster cluster, ObjectNode transaction) {
        if (!CommitKind.REASSIGNMENT.matcher.test(transaction)) {
            return 0;
        }
        int overtaken = 0;
        for (JsonNode operation : transaction.path("then")) {
            String key = operation.path("put").asText();
            JsonNode current = cluster.store.value(key);
            boolean isOvertaken =
                    current == null || current.has("x") && !operation.path("value").has("x");
            overtaken += key.startsWith("a/j/") && isOvertaken ? 1 : 0;
        }
        return overtaken;
    }

    /**
     * Cancels a reassignment's jobs at other controllers as its transaction is sent: of two
     * requests to a slow store, either may be executed first.
     */
    private static void cancelReassignedJobs(
            SimulatedCluster cluster, int lostController, ObjectNode transaction) {
        if (!CommitKind.REASSIGNMENT.matcher.test(transaction)) {
            return;
        }
        for (JsonNode operation : transaction.path("then")) {
            String key = operation.path("put").asText();
            String id = key.startsWith("a/j/") ? key.substring(4) : "";
            if (!id.isEmpty() && !cluster.isCancellationRequested(id)) {
                cluster.after(
                        1,
                        () ->
                                cluster.cancel(
                                        id,
                                        (lostController + 2 + cluster.random().nextInt(2)) % 4));
            }
        }
    }

    /**
     * Store responses get lost while users query and resubmit everywhere and leaders crash: no job
     * may be accepted twice or forgotten.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsSurviveLossOfHalfTheStoreResponses(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryWindowMillis = 200_000;
        cluster.start();
        cluster.users.consistencyProbes = true;
        cluster.users.cancelAtAcceptanceRate = 0.2;
        cluster.store.responseLossRate = 0.5;
        for (int i = 1; i <= 24; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[i % 4],
                            1 + i % 5,
                            1,
                            10);
            cluster.submitAfter(5_000 + i * 1_500L, job);
        }
        for (int k = 1; k <= 3; k++) {
            cluster.after(
                    k * 15_000L,
                    () ->
                            cluster.faults.crashController(
                                    Math.max(0, cluster.leaderIndex()),
                                    cluster.faults.quickRestartDelayMillis()));
        }
        cluster.after(60_000, () -> cluster.store.responseLossRate = 0);
        cluster.expectFaultsUntil(65_000);
        cluster.runUntil(400_000);
        assertTrue(cluster.store.lostResponses > 60, "lost: " + cluster.store.lostResponses);
        assertAllJobsFinished(cluster, 24);
    }
}
