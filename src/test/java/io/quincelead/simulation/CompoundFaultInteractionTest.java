package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.LONG_LEASE_MILLIS;
import static io.quincelead.simulation.CompoundFaultFixtures.anyStartsWith;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static io.quincelead.simulation.CompoundFaultFixtures.controllerIps;
import static io.quincelead.simulation.CompoundFaultFixtures.cpusInUse;
import static io.quincelead.simulation.CompoundFaultFixtures.ipOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compound faults together with cancellations, provisioning, failover or a stream of small jobs
 * (docs/design/compound-faults.md). Each test injects its faults and asserts that they really
 * coincided.
 */
class CompoundFaultInteractionTest {

    /** The fault on the machines that run the cancelled jobs. */
    private enum MachineFault {
        PARTITIONED,
        HUNG,
        UNREACHABLE_INBOUND,
        UNREACHABLE_OUTBOUND
    }

    static Stream<Arguments> faultsAndSeeds() {
        return ScenarioArguments.withSeeds(MachineFault.values(), 4);
    }

    /**
     * Every team is at its limit, half of its jobs are cancelled, the machines that run them are
     * faulty, and the leader crashes. Tasks on such a machine count against the quota until there
     * is evidence of their end; the quota must be released within the time for which a machine may
     * be silent.
     */
    @ParameterizedTest
    @MethodSource("faultsAndSeeds")
    void quotaOfCancelledTasksOnFaultyMachinesIsReleased(MachineFault fault, int seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 24);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.setTeam("red", 20, 40);
        cluster.start();
        submitLongThenShortJobs(cluster);
        cluster.runUntil(30_000);
        assertTrue(
                cpusInUse(cluster, "red") > 35 && cpusInUse(cluster, "blue") > 21,
                "use: " + cpusInUse(cluster, "red") + ", " + cpusInUse(cluster, "blue"));
        Set<String> cancelled = firstRunningJobs(cluster, 10);
        long durationMillis = fault == MachineFault.HUNG ? 20_000 : 60_000;
        int faultyMachines = breakMachinesOf(cluster, cancelled, fault, durationMillis);
        assertTrue(faultyMachines >= 3, "machines: " + faultyMachines);
        int oldLeader = cluster.leaderIndex();
        cancelled.forEach(id -> cluster.cancelAfter(cluster.random().nextLong(200), id));
        cluster.faults.crashAfter(300 * seed, oldLeader, 8_000);
        cluster.expectFaultsUntil(30_000 + durationMillis);
        // Covers the lease, its slack, the election of a new leader and a scheduling cycle; other
        // jobs of the team use the quota from then on.
        cluster.runUntil(30_000 + 75_000);
        assertTrue(
                cancelled.stream()
                        .allMatch(
                                id ->
                                        cluster.wasToldFinalStatus(id, "cancelled")
                                                || cluster.wasToldFinalStatus(id, "done")),
                fault + ": not all were told");
        // Red's waiting jobs are short and have all started in the released quota. Blue still has
        // enough long jobs to be at its limit.
        long startedJobs = startedJobCount(cluster, "red");
        assertTrue(
                startedJobs == 20 && cpusInUse(cluster, "blue") > 19,
                fault
                        + ", seed "
                        + seed
                        + ": "
                        + startedJobs
                        + " of red begun, blue uses "
                        + cpusInUse(cluster, "blue"));
        cluster.runUntil(900_000);
        assertAllJobsFinished(cluster, 40);
    }

    /**
     * Submits long jobs that bring both teams to their limits, then as many short jobs that wait.
     */
    private static void submitLongThenShortJobs(SimulatedCluster cluster) {
        for (int i = 1; i <= 40; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.NORMAL,
                            4,
                            1,
                            i <= 20 ? 300 : 20);
            cluster.submitAfter(2_000 + i * 100L, job);
        }
    }

    private static Set<String> firstRunningJobs(SimulatedCluster cluster, int maxCount) {
        Set<String> running = new HashSet<>();
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                if (task.occupiesMachine() && running.size() < maxCount) {
                    running.add(cluster.jobOfTask(task.id).jobId());
                }
            }
        }
        return running;
    }

    /**
     * Injects the fault on up to eight machines that run those jobs; returns the number of
     * machines.
     */
    private static int breakMachinesOf(
            SimulatedCluster cluster, Set<String> jobs, MachineFault fault, long durationMillis) {
        int faultyMachines = 0;
        for (SimulatedWorker worker : new ArrayList<>(cluster.cloud.machines.values())) {
            if (worker.tasks.values().stream()
                            .anyMatch(task -> jobs.contains(cluster.jobOfTask(task.id).jobId()))
                    && faultyMachines < 8) {
                faultyMachines++;
                breakMachine(cluster, worker, fault, durationMillis);
            }
        }
        return faultyMachines;
    }

    private static void breakMachine(
            SimulatedCluster cluster,
            SimulatedWorker worker,
            MachineFault fault,
            long durationMillis) {
        switch (fault) {
            case PARTITIONED ->
                    cluster.faults.partition(ipOf(worker), controllerIps(cluster), durationMillis);
            case UNREACHABLE_INBOUND ->
                    cluster.faults.makeUnreachableInbound(worker, durationMillis);
            case UNREACHABLE_OUTBOUND ->
                    cluster.faults.makeUnreachableOutbound(worker, durationMillis);
            default -> {
                worker.setHung(true);
                cluster.after(durationMillis, () -> worker.setHung(false));
            }
        }
    }

    private static long startedJobCount(SimulatedCluster cluster, String team) {
        return cluster.jobsById.values().stream()
                .filter(
                        job ->
                                job.team().equals(team)
                                        && cluster.serviceLevels()
                                                        .firstStartDelayMillis(job.jobId())
                                                >= 0)
                .count();
    }

    private static Set<String> machinesOnTwoRecords(SimulatedCluster cluster) {
        Set<String> seen = new HashSet<>();
        Set<String> duplicates = new HashSet<>();
        for (String key : cluster.store.keys()) {
            if (key.startsWith("a/m/")) {
                cluster.store
                        .value(key)
                        .path("h")
                        .forEach(
                                host -> {
                                    if (!seen.add(host.asText())) {
                                        duplicates.add(host.asText());
                                    }
                                });
            }
        }
        return duplicates;
    }

    /** The last write that the leader commits before it crashes. */
    private enum LastLeaderWrite {
        PROVISIONING_REQUEST(transaction -> anyStartsWith(transaction.path("then"), "put", "a/r/")),
        MACHINE_REGISTRATION(
                transaction ->
                        anyStartsWith(transaction.path("then"), "remove", "a/r/")
                                && anyStartsWith(transaction.path("then"), "put", "a/m/")),
        SHARD_GRANT(
                transaction ->
                        anyStartsWith(transaction.path("then"), "put", "a/b/")
                                && anyStartsWith(transaction.path("then"), "put", "a/term")),
        FIRST_START(
                transaction ->
                        anyStartsWith(transaction.path("then"), "put", "a/j/")
                                && transaction.toString().contains("i-0"));

        private final Predicate<ObjectNode> matcher;

        LastLeaderWrite(Predicate<ObjectNode> matcher) {
            this.matcher = matcher;
        }
    }

    static Stream<Arguments> lastWritesAndSeeds() {
        return ScenarioArguments.withSeeds(LastLeaderWrite.values(), 5);
    }

    /**
     * Machines boot within two seconds and get tasks at once, some writes are delayed, and the
     * leader crashes after each kind of write that provisions a machine or puts it to use.
     */
    @ParameterizedTest
    @MethodSource("lastWritesAndSeeds")
    void fastBootingMachinesSurviveLeaderCrashAfterEachWrite(LastLeaderWrite lastWrite, int seed) {
        SimulatedCluster cluster = new SimulatedCluster(200 + seed);
        cluster.submissionRetryWindowMillis = 200_000;
        cluster.cloud.fastBoots = true;
        cluster.start();
        cluster.runUntil(7_000);
        cluster.store.delayedWriteRate = 0.25;
        int[] occurrences = {0};
        Set<String> duplicateHosts = new HashSet<>();
        cluster.store.commitObserver =
                transaction -> {
                    if (anyStartsWith(transaction.path("then"), "put", "a/m/")) {
                        duplicateHosts.addAll(machinesOnTwoRecords(cluster));
                    }
                    if (lastWrite.matcher.test(transaction)
                            && occurrences[0]++ % 3 == 0
                            && occurrences[0] < 8) {
                        cluster.after(
                                occurrences[0] % 2,
                                () ->
                                        cluster.faults.crashController(
                                                Math.max(0, cluster.leaderIndex()),
                                                300 + 900L * (occurrences[0] % 4)));
                    }
                };
        for (int i = 1; i <= 20; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[i % 4],
                            3,
                            2,
                            8);
            cluster.submitAfter(i * 1_200L, job);
        }
        cluster.after(45_000, () -> cluster.store.delayedWriteRate = 0);
        cluster.expectFaultsUntil(65_000);
        cluster.runUntil(60_000);
        assertTrue(occurrences[0] > 0, lastWrite + ", seed " + seed + ": none");
        cluster.runUntil(500_000);
        assertEquals(Set.of(), cluster.violations(), lastWrite + ", seed " + seed);
        assertAllJobsFinished(cluster, 20);
        assertTrue(
                cluster.cloud.provisionedMachineCount() < 60,
                "rented: " + cluster.cloud.provisionedMachineCount());
        assertEquals(0, cluster.cloud.machines.size(), "machines that nobody returned");
        assertEquals(
                Set.of(),
                duplicateHosts,
                lastWrite + ", seed " + seed + ": machines on two records");
    }

    /** The element of a replayed heartbeat that is out of date. */
    private enum StaleElement {
        FENCING_TOKEN,
        AGENT_EPOCH,
        ATTEMPT
    }

    static Stream<Arguments> staleElementsAndSeeds() {
        return ScenarioArguments.withSeeds(StaleElement.values(), 6);
    }

    /**
     * Old heartbeats reach every controller just after an election: before the new leader's first
     * grant, while it claims machines, and later. They must not count as evidence.
     */
    @ParameterizedTest
    @MethodSource("staleElementsAndSeeds")
    void staleHeartbeatsAtFailoverAreNoEvidence(StaleElement staleElement, int seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(300 + seed, 3, 14);
        cluster.heartbeatIntervalMillis = 2_000;
        cluster.start();
        for (int i = 1; i <= 16; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            staleElement == StaleElement.ATTEMPT && i % 2 == 0
                                    ? JobSpec.Priority.BEST_EFFORT
                                    : JobSpec.Priority.NORMAL,
                            5,
                            1,
                            40);
            cluster.submitAfter(2_000 + i * 300L, job);
        }
        cluster.runUntil(10_000);
        cluster.network.heartbeatRetentionRate = 0.5;
        cluster.runUntil(16_000);
        cluster.network.heartbeatRetentionRate = 0;
        makeRetainedHeartbeatsStale(cluster, staleElement);
        cluster.runUntil(34_000);
        List<String> addresses =
                cluster.controllers.stream().map(controller -> controller.userAddress).toList();
        long replayDelayMillis = seed % 3 == 0 ? 0 : seed % 3 == 1 ? 250 : 3_000;
        boolean[] elected = {false};
        cluster.faults.onLeaderElected(
                60_000,
                () -> {
                    elected[0] = true;
                    cluster.after(
                            replayDelayMillis,
                            () -> cluster.network.replayRetainedHeartbeats(addresses));
                });
        cluster.faults.crashController(
                Math.max(0, cluster.leaderIndex()), seed % 2 == 0 ? 300 : 9_000);
        cluster.expectFaultsUntil(60_000);
        cluster.runUntil(60_000);
        assertTrue(
                elected[0] && cluster.network.replayedHeartbeats > 20,
                staleElement + ": " + cluster.network.replayedHeartbeats + " arrived");
        cluster.runUntil(500_000);
        assertEquals(Set.of(), cluster.violations(), staleElement + ", seed " + seed);
        assertAllJobsFinished(cluster, 16);
    }

    /** Changes that element, so that the heartbeats retained so far are out of date. */
    private static void makeRetainedHeartbeatsStale(
            SimulatedCluster cluster, StaleElement staleElement) {
        switch (staleElement) {
            // Machines change owners and get a new fencing token.
            case FENCING_TOKEN ->
                    cluster.faults.crashController((cluster.leaderIndex() + 1) % 3, 12_000);
            // Workers lose their sessions with all their tasks, and begin a new agent epoch.
            case AGENT_EPOCH ->
                    cluster.cloud.machines.values().stream()
                            .limit(6)
                            .toList()
                            .forEach(
                                    worker ->
                                            cluster.faults.partition(
                                                    ipOf(worker), controllerIps(cluster), 12_000));
            // Tasks fail and start again with a new attempt.
            default ->
                    cluster.cloud.machines.values().stream()
                            .filter(worker -> !worker.tasks.isEmpty())
                            .limit(5)
                            .toList()
                            .forEach(
                                    worker ->
                                            worker.tasks.values().stream()
                                                    .filter(
                                                            SimulatedWorker.SimulatedTask
                                                                    ::occupiesMachine)
                                                    .toList()
                                                    .forEach(
                                                            task -> worker.endTask(task, "error")));
        }
    }

    /**
     * Heartbeats are held until a new leader has granted machines and then arrive there; they must
     * not count as evidence.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void heartbeatsHeldUntilFailoverAreNoEvidence(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 14);
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i, i % 2 == 0 ? "red" : "blue", JobSpec.Priority.NORMAL, 4, 1, 12);
            cluster.submitAfter(2_000 + i * 1_000L, job);
        }
        cluster.runUntil(14_000);
        cluster.faults.holdHeartbeats(0.4, 6_000, 40_000);
        cluster.faults.crashLeaderAfter(3_000, 10_000);
        cluster.faults.crashLeaderAfter(9_000, 400);
        cluster.runUntil(60_000);
        assertTrue(
                cluster.network.releasedHeartbeats > 10,
                "held: " + cluster.network.releasedHeartbeats);
        cluster.runUntil(500_000);
        assertAllJobsFinished(cluster, 24);
    }

    /** The fault during the stream of single-task jobs. */
    private enum BackgroundFault {
        NOTHING,
        SLOW_STORE,
        LEADER_CRASHES_TWICE
    }

    /**
     * Single-task jobs arrive at four a second for five minutes, and a quarter of them are
     * cancelled. They must be accepted quickly, with few commits per job.
     */
    @ParameterizedTest
    @EnumSource(BackgroundFault.class)
    void streamOfSingleTaskJobsIsAnsweredInTime(BackgroundFault fault) {
        SimulatedCluster cluster = clusterWithReadyMachines(400 + fault.ordinal(), 3, 12);
        cluster.storeLimits = new Settings.StoreLimits(400, 60, 8, 12);
        cluster.start();
        cluster.runUntil(8_000);
        long firstRevision = cluster.store.revision();
        cluster.users.submitSingleTaskJobs(1_200, 250);
        if (fault == BackgroundFault.SLOW_STORE) {
            cluster.store.maxExtraLatencyMillis = 400;
            cluster.after(300_000, () -> cluster.store.maxExtraLatencyMillis = 0);
        } else if (fault == BackgroundFault.LEADER_CRASHES_TWICE) {
            for (long atMillis : new long[] {80_000, 200_000}) {
                cluster.faults.crashLeaderAfter(atMillis, 3_000);
            }
        }
        cluster.expectFaultsUntil(308_000);
        cluster.runUntil(340_000);
        long[] delaysMillis =
                cluster.acceptanceDelayMillis.values().stream()
                        .mapToLong(delay -> delay)
                        .sorted()
                        .toArray();
        double commitsPerJob = (cluster.store.revision() - firstRevision) / 1_200.0;
        String summary =
                fault
                        + ": accepted after "
                        + delaysMillis[delaysMillis.length / 2]
                        + ", "
                        + delaysMillis[delaysMillis.length * 99 / 100]
                        + ", "
                        + delaysMillis[delaysMillis.length - 1]
                        + " ms, "
                        + commitsPerJob
                        + " commits a job, "
                        + cluster.network.maxOpenCalls
                        + " requests at once";
        assertTrue(delaysMillis.length > 1_150, summary);
        assertTrue(
                delaysMillis[delaysMillis.length / 2] < 1_000
                        && delaysMillis[delaysMillis.length * 99 / 100] < 12_000,
                summary);
        assertTrue(commitsPerJob < 6 && cluster.network.maxOpenCalls < 250, summary);
        cluster.runUntil(400_000);
        assertAllJobsFinished(cluster, 1_200);
        assertTrue(
                cluster.jobsById.keySet().stream()
                                .filter(id -> cluster.cancellationConfirmedAtMillis(id) >= 0)
                                .count()
                        > 100,
                "cancelled");
    }
}
