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
 * More faults that coincide (docs/design/compound-faults.md): each test brings its faults about and
 * asserts that they coincided.
 */
class CompoundFaultInteractionTest {

    /** What the machines of the cancelled jobs do meanwhile. */
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
     * Every team is at its limit, half of its jobs are cancelled, the machines that run them can't
     * be asked, and the leader changes: what runs there counts until there is evidence, and is free
     * again within the time that silence is borne.
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
        // The lease, its slack, the new leader and a scheduling cycle: from then on others of the
        // team run there.
        cluster.runUntil(30_000 + 75_000);
        assertTrue(
                cancelled.stream()
                        .allMatch(
                                id ->
                                        cluster.wasToldFinalStatus(id, "cancelled")
                                                || cluster.wasToldFinalStatus(id, "done")),
                fault + ": not all were told");
        // Red's waiting jobs are short: they have all run in the room that came free. Blue has
        // enough long ones to be at its limit still.
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

    /** Both teams are at their limits with long tasks; as much again waits. */
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

    /** Up to eight machines with tasks of those jobs suffer it; returns how many do. */
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

    /** What the leader does last. */
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
     * Machines are up within two seconds and get work at once, writes lag, and the leader's last
     * change is each of those that brought them.
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

    /** Of what the old reports are that arrive. */
    private enum StaleElement {
        FENCING_TOKEN,
        AGENT_EPOCH,
        ATTEMPT
    }

    static Stream<Arguments> staleElementsAndSeeds() {
        return ScenarioArguments.withSeeds(StaleElement.values(), 6);
    }

    /**
     * Old reports reach every controller as a leader begins: before its first grant, while it
     * claims, and after that.
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
        outdate(cluster, staleElement);
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

    /** Makes old what the reports retained so far say of that element. */
    private static void outdate(SimulatedCluster cluster, StaleElement staleElement) {
        switch (staleElement) {
            // Machines change hands and get a new term.
            case FENCING_TOKEN ->
                    cluster.faults.crashController((cluster.leaderIndex() + 1) % 3, 12_000);
            // They lose their sessions with all that they run.
            case AGENT_EPOCH ->
                    cluster.cloud.machines.values().stream()
                            .limit(6)
                            .toList()
                            .forEach(
                                    worker ->
                                            cluster.faults.partition(
                                                    ipOf(worker), controllerIps(cluster), 12_000));
            // Their tasks fail and begin again.
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

    /** A report is held up until a new leader has acted, and then arrives there. */
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

    /** What goes wrong beside the stream of small jobs. */
    private enum BackgroundFault {
        NOTHING,
        SLOW_STORE,
        LEADER_CRASHES_TWICE
    }

    /** One-task jobs come four a second for five minutes, a quarter of them cancelled. */
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
