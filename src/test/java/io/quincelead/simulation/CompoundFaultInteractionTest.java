package io.quincelead.simulation;

import static io.quincelead.simulation.CompoundFaultTest.LONG_LEASE_MILLIS;
import static io.quincelead.simulation.CompoundFaultTest.anyStartsWith;
import static io.quincelead.simulation.CompoundFaultTest.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultTest.clusterWithReadyMachines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * More troubles that meet (docs/design/meetings.md): each test brings its meeting about and says
 * that it came about.
 */
class CompoundFaultInteractionTest {
    private static double cpusInUse(SimulatedCluster cluster, String team) {
        return cluster.cloud.machines.values().stream()
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(SimulatedWorker.SimulatedTask::occupiesMachine)
                .map(task -> cluster.jobOfTask(task.name))
                .filter(job -> job.team().equals(team))
                .mapToDouble(JobSpec::cpus)
                .sum();
    }

    private static String ipOf(SimulatedWorker worker) {
        return worker.address.substring(0, worker.address.indexOf(':'));
    }

    private static List<String> controllerIps(SimulatedCluster cluster) {
        return cluster.controllers.stream().map(controller -> controller.ip).toList();
    }

    /** What the machines of the cancelled jobs do meanwhile. */
    private enum MachineFault {
        PARTITIONED,
        HUNG,
        UNREACHABLE_INBOUND,
        UNREACHABLE_OUTBOUND
    }

    /**
     * Every team is at its limit, half of its jobs are cancelled, the machines that run them can't
     * be asked, and the leader changes: what runs there counts until there is evidence, and is free
     * again within the time that silence is borne.
     */
    @ParameterizedTest
    @EnumSource(MachineFault.class)
    void quotaOfCancelledTasksOnFaultyMachinesIsReleased(MachineFault fault) {
        for (int seed = 1; seed <= 4; seed++) {
            SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 24);
            cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
            cluster.teams.put("red", new Settings.Team("red", 20, 40, 0, 0));
            cluster.start();
            // Both teams are at their limits with long tasks; as much again waits.
            for (int i = 1; i <= 40; i++) {
                JobSpec job =
                        JobFixtures.array(
                                i,
                                i % 2 == 0 ? "red" : "blue",
                                JobSpec.Priority.NORMAL,
                                4,
                                1,
                                i <= 20 ? 300 : 20);
                cluster.clock.schedule(2_000 + i * 100L, () -> cluster.submit(job));
            }
            cluster.clock.runUntil(30_000);
            assertTrue(
                    cpusInUse(cluster, "red") > 35 && cpusInUse(cluster, "blue") > 21,
                    "use: " + cpusInUse(cluster, "red") + ", " + cpusInUse(cluster, "blue"));
            Set<String> cancelled = new HashSet<>();
            for (SimulatedWorker worker : cluster.cloud.machines.values()) {
                for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                    if (task.occupiesMachine() && cancelled.size() < 10) {
                        cancelled.add(cluster.jobOfTask(task.name).jobId());
                    }
                }
            }
            long durationMillis = fault == MachineFault.HUNG ? 20_000 : 60_000;
            int[] faultyMachines = {0};
            for (SimulatedWorker worker : new ArrayList<>(cluster.cloud.machines.values())) {
                if (worker.tasks.values().stream()
                                .anyMatch(
                                        task ->
                                                cancelled.contains(
                                                        cluster.jobOfTask(task.name).jobId()))
                        && faultyMachines[0] < 8) {
                    faultyMachines[0]++;
                    switch (fault) {
                        case PARTITIONED ->
                                FaultInjector.partition(
                                        cluster,
                                        ipOf(worker),
                                        controllerIps(cluster),
                                        durationMillis);
                        case UNREACHABLE_INBOUND ->
                                CompoundFaults.makeUnreachableInbound(
                                        cluster, worker, durationMillis);
                        case UNREACHABLE_OUTBOUND ->
                                CompoundFaults.makeUnreachableOutbound(
                                        cluster, worker, durationMillis);
                        default -> {
                            worker.setHung(true);
                            cluster.clock.schedule(durationMillis, () -> worker.setHung(false));
                        }
                    }
                }
            }
            assertTrue(faultyMachines[0] >= 3, "machines: " + faultyMachines[0]);
            int oldLeader = CompoundFaults.leaderIndex(cluster);
            cancelled.forEach(
                    id ->
                            cluster.clock.schedule(
                                    cluster.clock.random.nextLong(200), () -> cluster.cancel(id)));
            cluster.clock.schedule(
                    300 * seed, () -> FaultInjector.crashController(cluster, oldLeader, 8_000));
            cluster.expectFaultsUntil(30_000 + durationMillis);
            // The lease, its slack, the new leader and a round: from then on others of the team run
            // there.
            cluster.clock.runUntil(30_000 + 75_000);
            assertTrue(
                    cancelled.stream()
                            .allMatch(
                                    id ->
                                            cluster.wasToldFinalStatus(id, "cancelled")
                                                    || cluster.wasToldFinalStatus(id, "done")),
                    fault + ": not all were told");
            // Red's waiting jobs are short: they have all run in the room that came free. Blue has
            // enough long ones to be at its limit still.
            long startedJobs =
                    cluster.jobsById.values().stream()
                            .filter(
                                    job ->
                                            job.team().equals("red")
                                                    && cluster.serviceLevels()
                                                                    .firstStartDelayMillis(
                                                                            job.jobId())
                                                            >= 0)
                            .count();
            assertTrue(
                    startedJobs == 20 && cpusInUse(cluster, "blue") > 19,
                    fault
                            + ", seed "
                            + seed
                            + ": "
                            + startedJobs
                            + " of red begun, blue uses "
                            + cpusInUse(cluster, "blue"));
            cluster.clock.runUntil(900_000);
            assertAllJobsFinished(cluster, 40);
        }
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

    /**
     * Machines are up within two seconds and get work at once, writes lag, and the leader's last
     * change is each of those that brought them.
     */
    @ParameterizedTest
    @EnumSource(LastLeaderWrite.class)
    void fastBootingMachinesSurviveLeaderCrashAfterEachWrite(LastLeaderWrite lastWrite) {
        for (int seed = 1; seed <= 5; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(200 + seed);
            cluster.submissionRetryMillis = 200_000;
            cluster.cloud.fastBoots = true;
            cluster.start();
            cluster.clock.runUntil(7_000);
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
                            cluster.clock.schedule(
                                    occurrences[0] % 2,
                                    () ->
                                            FaultInjector.crashController(
                                                    cluster,
                                                    Math.max(
                                                            0, CompoundFaults.leaderIndex(cluster)),
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
                cluster.clock.schedule(i * 1_200L, () -> cluster.submit(job));
            }
            cluster.clock.schedule(45_000, () -> cluster.store.delayedWriteRate = 0);
            cluster.expectFaultsUntil(65_000);
            cluster.clock.runUntil(60_000);
            assertTrue(occurrences[0] > 0, lastWrite + ", seed " + seed + ": none");
            cluster.clock.runUntil(500_000);
            assertEquals(Set.of(), cluster.violations(), lastWrite + ", seed " + seed);
            assertAllJobsFinished(cluster, 20);
            assertTrue(
                    cluster.cloud.rentedMachineCount() < 60,
                    "rented: " + cluster.cloud.rentedMachineCount());
            assertEquals(0, cluster.cloud.machines.size(), "machines that nobody returned");
            assertEquals(
                    Set.of(),
                    duplicateHosts,
                    lastWrite + ", seed " + seed + ": machines on two records");
        }
    }

    /** Of what the old reports are that arrive. */
    private enum StaleElement {
        FENCING_TOKEN,
        AGENT_EPOCH,
        ATTEMPT
    }

    /**
     * Old reports reach every controller as a leader begins: before its first grant, while it
     * claims, and after that.
     */
    @ParameterizedTest
    @EnumSource(StaleElement.class)
    void staleHeartbeatsAtFailoverAreNoEvidence(StaleElement staleElement) {
        for (int seed = 1; seed <= 6; seed++) {
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
                cluster.clock.schedule(2_000 + i * 300L, () -> cluster.submit(job));
            }
            cluster.clock.runUntil(10_000);
            cluster.network.heartbeatRetentionRate = 0.5;
            cluster.clock.runUntil(16_000);
            cluster.network.heartbeatRetentionRate = 0;
            switch (staleElement) {
                // Machines change hands and get a new term.
                case FENCING_TOKEN ->
                        FaultInjector.crashController(
                                cluster, (CompoundFaults.leaderIndex(cluster) + 1) % 3, 12_000);
                // They lose their sessions with all that they run.
                case AGENT_EPOCH ->
                        cluster.cloud.machines.values().stream()
                                .limit(6)
                                .toList()
                                .forEach(
                                        worker ->
                                                FaultInjector.partition(
                                                        cluster,
                                                        ipOf(worker),
                                                        controllerIps(cluster),
                                                        12_000));
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
                                                                task ->
                                                                        worker.endTask(
                                                                                task, "error")));
            }
            cluster.clock.runUntil(34_000);
            List<String> addresses =
                    cluster.controllers.stream().map(controller -> controller.userAddress).toList();
            long replayDelayMillis = seed % 3 == 0 ? 0 : seed % 3 == 1 ? 250 : 3_000;
            boolean[] elected = {false};
            CompoundFaults.onLeaderElected(
                    cluster,
                    60_000,
                    () -> {
                        elected[0] = true;
                        cluster.clock.schedule(
                                replayDelayMillis,
                                () -> cluster.network.replayRetainedHeartbeats(addresses));
                    });
            FaultInjector.crashController(
                    cluster,
                    Math.max(0, CompoundFaults.leaderIndex(cluster)),
                    seed % 2 == 0 ? 300 : 9_000);
            cluster.expectFaultsUntil(60_000);
            cluster.clock.runUntil(60_000);
            assertTrue(
                    elected[0] && cluster.network.replayedHeartbeats > 20,
                    staleElement + ": " + cluster.network.replayedHeartbeats + " arrived");
            cluster.clock.runUntil(500_000);
            assertEquals(Set.of(), cluster.violations(), staleElement + ", seed " + seed);
            assertAllJobsFinished(cluster, 16);
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
            cluster.clock.schedule(2_000 + i * 1_000L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(14_000);
        CompoundFaults.holdHeartbeats(cluster, 0.4, 6_000, 40_000);
        cluster.clock.schedule(
                3_000,
                () ->
                        FaultInjector.crashController(
                                cluster, Math.max(0, CompoundFaults.leaderIndex(cluster)), 10_000));
        cluster.clock.schedule(
                9_000,
                () ->
                        FaultInjector.crashController(
                                cluster, Math.max(0, CompoundFaults.leaderIndex(cluster)), 400));
        cluster.clock.runUntil(60_000);
        assertTrue(
                cluster.network.releasedHeartbeats > 10,
                "held: " + cluster.network.releasedHeartbeats);
        cluster.clock.runUntil(500_000);
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
        cluster.storeSettings = new Settings.StoreLimits(400, 60, 8, 12);
        cluster.start();
        cluster.clock.runUntil(8_000);
        long firstRevision = cluster.store.revision();
        cluster.users.submitSingleTaskJobs(1_200, 250);
        if (fault == BackgroundFault.SLOW_STORE) {
            cluster.store.maxExtraLatencyMillis = 400;
            cluster.clock.schedule(300_000, () -> cluster.store.maxExtraLatencyMillis = 0);
        } else if (fault == BackgroundFault.LEADER_CRASHES_TWICE) {
            for (long atMillis : new long[] {80_000, 200_000}) {
                cluster.clock.schedule(
                        atMillis,
                        () ->
                                FaultInjector.crashController(
                                        cluster,
                                        Math.max(0, CompoundFaults.leaderIndex(cluster)),
                                        3_000));
            }
        }
        cluster.expectFaultsUntil(308_000);
        cluster.clock.runUntil(340_000);
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
        cluster.clock.runUntil(400_000);
        assertAllJobsFinished(cluster, 1_200);
        assertTrue(
                cluster.jobsById.keySet().stream()
                                .filter(id -> cluster.cancellationConfirmedAtMillis(id) >= 0)
                                .count()
                        > 100,
                "cancelled");
    }

    /**
     * A zone with its workers and one controller is cut off for longer than the lease, and jobs are
     * cancelled on both sides.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void zonePartitionedWithAControllerKeepsInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 16; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 80);
            cluster.clock.schedule(2_000, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(20_000);
        int insideController =
                seed % 2 == 0
                        ? CompoundFaults.leaderIndex(cluster)
                        : (CompoundFaults.leaderIndex(cluster) + 1) % 3;
        long busyMachines =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.zone.equals("a") && !worker.tasks.isEmpty())
                        .count();
        FaultInjector.partitionZone(cluster, "a", insideController, 45_000);
        for (int i = 1; i <= 6; i++) {
            String id = String.format("wk-%06d", i);
            cluster.clock.schedule(i * 3_000L, () -> cluster.cancel(id));
        }
        if (seed == 3) {
            cluster.clock.schedule(
                    20_000,
                    () -> FaultInjector.crashController(cluster, (insideController + 1) % 3, 500));
        }
        cluster.clock.runUntil(64_000);
        assertTrue(busyMachines > 2, "machines in the zone: " + busyMachines);
        assertNotEquals(insideController, CompoundFaults.leaderIndex(cluster));
        cluster.clock.runUntil(600_000);
        assertAllJobsFinished(cluster, 16);
    }

    /** Leaders change ten times in two minutes, also while the store is down. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tenLeaderChangesInTwoMinutesKeepInvariants(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 30; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[i % 4],
                            4,
                            1,
                            25);
            cluster.clock.schedule(2_000 + i * 3_500L, () -> cluster.submit(job));
            if (i % 4 == 0) {
                cluster.clock.schedule(6_000 + i * 3_500L, () -> cluster.cancel(job.jobId()));
            }
        }
        int[] elections = {0};
        CompoundFaults.onLeaderElected(cluster, 200_000, () -> elections[0]++);
        cluster.clock.schedule(
                8_000, () -> CompoundFaults.changeLeadersRepeatedly(cluster, 11, 11_000));
        if (seed % 2 == 0) {
            cluster.clock.schedule(50_000, () -> CompoundFaults.storeOutage(cluster, 30_000));
            for (int k = 0; k < 6; k++) {
                int controller = k % 3;
                cluster.clock.schedule(
                        52_000 + k * 4_000L,
                        () -> FaultInjector.crashController(cluster, controller, 300));
            }
        }
        cluster.clock.runUntil(200_000);
        assertTrue(elections[0] >= (seed % 2 == 0 ? 8 : 10), "leaders: " + elections[0]);
        cluster.clock.runUntil(700_000);
        assertAllJobsFinished(cluster, 30);
    }

    /**
     * Workers reach no controller while direct commands reach them: they are not taken for well,
     * and what they run ends with their lease.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workersUnreachableOutboundAreDeclaredLost(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.start();
        for (int i = 1; i <= 14; i++) {
            JobSpec job =
                    JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 5, 1, i < 7 ? 60 : 12);
            cluster.clock.schedule(i < 7 ? 2_000 : 15_000 + i * 2_000L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(16_000);
        List<SimulatedWorker> unreachable =
                cluster.cloud.machines.values().stream()
                        .filter(
                                worker ->
                                        worker.up
                                                && Integer.parseInt(worker.host.substring(2)) % 3
                                                        == 0)
                        .toList();
        unreachable.forEach(
                worker -> CompoundFaults.makeUnreachableOutbound(cluster, worker, 300_000));
        cluster.cancel("wk-000001");
        cluster.cancel("wk-000002");
        cluster.clock.schedule(2_000, () -> cluster.cancel("wk-000003"));
        if (seed % 2 == 0) {
            FaultInjector.crashController(
                    cluster, Math.max(0, CompoundFaults.leaderIndex(cluster)), 5_000);
        }
        cluster.clock.runUntil(100_000);
        assertTrue(unreachable.size() >= 3);
        unreachable.forEach(
                worker -> assertTrue(worker.released, worker.host + " reaches nobody and is kept"));
        for (int i = 1; i <= 3; i++) {
            assertTrue(
                    cluster.cancellationConfirmedAtMillis("wk-00000" + i) >= 0,
                    "job " + i + " was not told");
        }
        cluster.clock.runUntil(500_000);
        assertAllJobsFinished(cluster, 14);
    }

    /**
     * Most machines of a zone reach nobody for several leases, and their silence is borne for
     * longer than that: what ended there with the lease is free again as soon as it is over, for
     * they are asked, and their refusal of the old session shows the new one.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void quotaOfTasksEndedOnUnreachableMachinesIsReleased(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "small", 8, 0, 32, 0.4, 0.15, 5, List.of("a"), 30)),
                        1);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.teams.put("red", new Settings.Team("red", 0, 40, 0, 0));
        cluster.cloud.addRunningMachines("small", "a", 12);
        cluster.start();
        for (int i = 1; i <= 10; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 400);
            cluster.clock.schedule(9_000 + i * 100L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(20_000);
        List<SimulatedWorker> unreachable =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.up)
                        .limit(10)
                        .toList();
        long runningTasks =
                unreachable.stream()
                        .mapToLong(
                                worker ->
                                        worker.tasks.values().stream()
                                                .filter(
                                                        SimulatedWorker.SimulatedTask
                                                                ::occupiesMachine)
                                                .count())
                        .sum();
        assertTrue(
                unreachable.size() == 10 && runningTasks > 24,
                runningTasks + " tasks on " + unreachable.size());
        unreachable.forEach(
                worker -> CompoundFaults.makeUnreachableOutbound(cluster, worker, 125_000));
        for (int i = 11; i <= 14; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.HIGH, 4, 1, 10);
            cluster.clock.schedule(i * 100L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(20_000 + LONG_LEASE_MILLIS + 2_000 + 16_000);
        assertEquals(10, unreachable.stream().filter(worker -> !worker.released).count());
        for (int i = 11; i <= 14; i++) {
            assertTrue(
                    cluster.taskStarts.containsKey("wk-0000" + i),
                    "job " + i + " waits for quota that nothing uses");
        }
        cluster.clock.runUntil(1_500_000);
        assertAllJobsFinished(cluster, 14);
    }

    /**
     * Jobs bound to one zone, by name or because all their tasks must be in one, arrays and gangs,
     * lose machines again and again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void zoneBoundJobsSurviveMachineLoss(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 20);
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            boolean isGang = i % 3 == 0;
            JobSpec job =
                    JobFixtures.job(
                            i,
                            "red",
                            isGang ? JobSpec.Mode.GANG : JobSpec.Mode.ARRAY,
                            JobSpec.Priority.NORMAL,
                            4,
                            2,
                            0,
                            20,
                            null,
                            i % 4 == 1 ? "a" : null,
                            i % 4 > 1,
                            i % 4 == 0,
                            true,
                            isGang ? 5 : 0);
            cluster.clock.schedule(2_000 + i * 1_000L, () -> cluster.submit(job));
        }
        int[] lostMachines = {0};
        for (int k = 0; k < 6; k++) {
            int round = k;
            cluster.clock.schedule(
                    9_000 + k * 5_000L,
                    () ->
                            cluster.cloud.machines.values().stream()
                                    .filter(
                                            worker ->
                                                    !worker.dead
                                                            && worker.tasks.values().stream()
                                                                    .anyMatch(
                                                                            SimulatedWorker
                                                                                            .SimulatedTask
                                                                                    ::occupiesMachine))
                                    .skip(round % 3)
                                    .findFirst()
                                    .ifPresent(
                                            worker -> {
                                                lostMachines[0]++;
                                                if (round % 2 == 0) {
                                                    worker.crash();
                                                } else {
                                                    FaultInjector.partition(
                                                            cluster,
                                                            ipOf(worker),
                                                            controllerIps(cluster),
                                                            25_000);
                                                }
                                            }));
        }
        cluster.clock.schedule(
                18_000,
                () ->
                        FaultInjector.crashController(
                                cluster, Math.max(0, CompoundFaults.leaderIndex(cluster)), 500));
        cluster.expectFaultsUntil(70_000);
        cluster.clock.runUntil(70_000);
        assertTrue(lostMachines[0] >= 5, "lost: " + lostMachines[0]);
        cluster.clock.runUntil(700_000);
        assertAllJobsFinished(cluster, 24);
    }

    /** There is more work than room, urgent and not, and each packet takes up to half a second. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void overloadOverSlowLinksServesUrgentJobsFirst(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "small", 8, 0, 32, 0.4, 0.15, 5, List.of("a", "b"), 4)));
        cluster.submissionRetryMillis = 300_000;
        cluster.start();
        cluster.network.maxExtraLatencyMillis = 250 * (int) seed;
        for (int i = 1; i <= 36; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i,
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[i % 4],
                            6,
                            2,
                            8);
            cluster.clock.schedule(2_000 + i * 800L, () -> cluster.submit(job));
        }
        double[] maxCpusInUse = {0};
        long[] maxWaitingJobs = {0};
        for (int atMillis = 15_000; atMillis < 60_000; atMillis += 500) {
            cluster.clock.schedule(
                    atMillis,
                    () -> {
                        maxCpusInUse[0] =
                                Math.max(
                                        maxCpusInUse[0],
                                        cpusInUse(cluster, "red") + cpusInUse(cluster, "blue"));
                        maxWaitingJobs[0] =
                                Math.max(
                                        maxWaitingJobs[0],
                                        cluster.acceptedJobs().stream()
                                                .filter(
                                                        id ->
                                                                cluster.serviceLevels()
                                                                                .firstStartDelayMillis(
                                                                                        id)
                                                                        < 0)
                                                .count());
                    });
        }
        cluster.clock.schedule(
                30_000,
                () ->
                        FaultInjector.crashController(
                                cluster, Math.max(0, CompoundFaults.leaderIndex(cluster)), 800));
        cluster.clock.schedule(120_000, () -> cluster.network.maxExtraLatencyMillis = 0);
        cluster.expectFaultsUntil(125_000);
        cluster.clock.runUntil(120_000);
        assertTrue(
                maxCpusInUse[0] >= 24 && maxWaitingJobs[0] >= 8,
                "of 32 CPUs "
                        + maxCpusInUse[0]
                        + " in use, "
                        + maxWaitingJobs[0]
                        + " jobs waiting");
        // What is urgent doesn't wait behind the rest.
        long startedUrgentJobs =
                cluster.jobsById.values().stream()
                        .filter(
                                job ->
                                        job.priority().ordinal() <= 1
                                                && cluster.serviceLevels()
                                                                .firstStartDelayMillis(job.jobId())
                                                        >= 0)
                        .count();
        assertTrue(startedUrgentJobs > 12, "urgent jobs begun: " + startedUrgentJobs);
        cluster.clock.runUntil(900_000);
        assertAllJobsFinished(cluster, 36);
    }

    /**
     * All controllers are away for longer than the workers' lease; every machine has lost what it
     * ran.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsSurviveControllersDownLongerThanTheLease(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.submissionRetryMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 20; i++) {
            JobSpec job =
                    JobFixtures.array(
                            i, i % 2 == 0 ? "red" : "blue", JobSpec.Priority.NORMAL, 3, 1, 40);
            cluster.clock.schedule(2_000 + i * 300L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(14_000);
        cluster.cancel("wk-000001");
        cluster.cancel("wk-000002");
        for (int i = 0; i < 3; i++) {
            FaultInjector.crashController(cluster, i, 14_000 + i * 2_500L + seed * 1_000);
        }
        cluster.clock.runUntil(27_000);
        assertTrue(
                cluster.cloud.machines.values().stream()
                        .noneMatch(
                                worker ->
                                        worker.tasks.values().stream()
                                                .anyMatch(
                                                        SimulatedWorker.SimulatedTask
                                                                ::occupiesMachine)),
                "the leases are over");
        assertTrue(
                cluster.controllers.stream()
                        .noneMatch(SimulatedCluster.SimulatedController::isAlive));
        cluster.clock.runUntil(500_000);
        assertAllJobsFinished(cluster, 20);
        assertTrue(cluster.hasFinalStatus("wk-000001") && cluster.hasFinalStatus("wk-000002"));
    }

    /**
     * Many running jobs are cancelled within 0.2 s, and their machines hang: told by evidence,
     * nothing goes on when they resume.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksDoNotResumeOnHungMachines(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 16);
        cluster.workerLeaseMillis = LONG_LEASE_MILLIS;
        cluster.start();
        for (int i = 1; i <= 24; i++) {
            JobSpec job = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 4, 1, 120);
            cluster.clock.schedule(2_000 + i * 100L, () -> cluster.submit(job));
        }
        cluster.clock.runUntil(20_000);
        cluster.users.consistencyProbes = true;
        cluster.users.cancelRunningJobs(14, seed % 2 == 0 ? 15_000 : 35_000);
        if (seed > 2) {
            cluster.clock.schedule(
                    1_000,
                    () ->
                            FaultInjector.crashController(
                                    cluster,
                                    Math.max(0, CompoundFaults.leaderIndex(cluster)),
                                    4_000));
        }
        assertEquals(14, cluster.users.massCancelledCount);
        assertEquals(
                8, cluster.cloud.machines.values().stream().filter(worker -> worker.hung).count());
        cluster.clock.runUntil(400_000);
        assertAllJobsFinished(cluster, 24);
    }

    /**
     * A team at its limit: one task of it waits at a controller whose machines are full and that
     * holds the allowance, and there is room in another's block for one or two. It once waited for
     * as long as the others ran.
     */
    @Test
    void teamAtItsLimitUsesSmallFreeCapacityOfOtherShards() {
        Map<Long, Set<String>> violationsBySeed = new HashMap<>();
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 30);
            cluster.start();
            for (int i = 1; i <= 12; i++) {
                JobSpec redJob = JobFixtures.array(i, "red", JobSpec.Priority.NORMAL, 9, 2, 400);
                cluster.clock.schedule(2_000 + i * 200L, () -> cluster.submit(redJob));
                JobSpec blueJob =
                        JobFixtures.array(100 + i, "blue", JobSpec.Priority.NORMAL, 8, 2, 100);
                cluster.clock.schedule(2_100 + i * 200L, () -> cluster.submit(blueJob));
            }
            cluster.clock.runUntil(1_800_000);
            if (!cluster.violations().isEmpty()) {
                violationsBySeed.put(seed, cluster.violations());
            }
            assertEquals(List.of(), cluster.unfinishedJobs());
        }
        assertEquals(Map.of(), violationsBySeed);
    }

    /**
     * An urgent gang that needs most of what its team may use comes together though single tasks of
     * lower work fit into less.
     */
    @Test
    void urgentGangOfATeamAtItsLimitStarts() {
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
            cluster.start();
            for (int i = 1; i <= 40; i++) {
                JobSpec lowPriorityJob =
                        JobFixtures.array(
                                i,
                                "blue",
                                i % 2 == 0 ? JobSpec.Priority.NORMAL : JobSpec.Priority.BEST_EFFORT,
                                9,
                                2,
                                20);
                cluster.clock.schedule(2_000 + i * 300L, () -> cluster.submit(lowPriorityJob));
            }
            JobSpec gang =
                    JobFixtures.job(
                            50,
                            "blue",
                            JobSpec.Mode.GANG,
                            JobSpec.Priority.PRODUCTION,
                            9,
                            2,
                            0,
                            20,
                            null,
                            null,
                            false,
                            false,
                            true,
                            0);
            cluster.clock.schedule(20_000, () -> cluster.submit(gang));
            cluster.clock.runUntil(280_000);
            long startDelayMillis = cluster.serviceLevels().firstStartDelayMillis(gang.jobId());
            assertTrue(
                    startDelayMillis >= 0 && startDelayMillis < 200_000,
                    "seed " + seed + ": began after " + startDelayMillis + " ms");
            assertEquals(Set.of(), cluster.violations());
        }
    }

    /**
     * A larger job, whose tasks are in records of their own, is cancelled and ended by another
     * controller while its own one hears nothing and finds room for it: the round is guarded by the
     * job's record too, or tasks of a cancelled job would start.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void schedulingCommitForJobCancelledElsewhereStartsNothing(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.teams.put("red", new Settings.Team("red", 0, 40, 0, 0));
        cluster.start();
        cluster.clock.runUntil(9_000);
        int ownController = (CompoundFaults.leaderIndex(cluster) + 1) % 3;
        int otherController = (CompoundFaults.leaderIndex(cluster) + 2) % 3;
        // The team is at its limit by tasks that end at 20 s or a little later, so that the larger
        // job has no place until then.
        cluster.submit(
                JobFixtures.array(1, "red", JobSpec.Priority.PRODUCTION, 40, 1, 16), ownController);
        cluster.clock.runUntil(12_000);
        JobSpec largeJob = JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 230, 0.2, 20);
        cluster.submit(largeJob, ownController);
        cluster.clock.runUntil(13_000);
        assertEquals(0, cluster.taskStarts.getOrDefault(largeJob.jobId(), 0));
        cluster.store.setWatchDelayed(cluster.controllers.get(ownController).ip, true);
        int[] attempts = {0};
        cluster.store.arrivalObserver =
                transaction ->
                        attempts[0] +=
                                anyStartsWith(transaction.path("then"), "put", "a/t/wk-000002/")
                                        ? 1
                                        : 0;
        cluster.cancel(largeJob.jobId(), otherController);
        cluster.clock.runUntil(40_000);
        assertTrue(
                cluster.cancellationConfirmedAtMillis(largeJob.jobId()) >= 0
                        && cluster.cancellationConfirmedAtMillis(largeJob.jobId()) < 18_000,
                "told at " + cluster.cancellationConfirmedAtMillis(largeJob.jobId()));
        assertTrue(attempts[0] > 0, "its own controller never tried");
        cluster.store.setWatchDelayed(cluster.controllers.get(ownController).ip, false);
        cluster.clock.runUntil(200_000);
        assertEquals(0, cluster.taskStarts.getOrDefault(largeJob.jobId(), 0));
        assertAllJobsFinished(cluster, 2);
    }

    /**
     * A controller that hears nothing has room left by an allowance that has gone to another: its
     * round is guarded by its block.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void schedulingCommitWithMovedQuotaShareFails(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 18);
        cluster.start();
        cluster.clock.runUntil(9_000);
        int staleController = (CompoundFaults.leaderIndex(cluster) + 1) % 3;
        int otherController = (CompoundFaults.leaderIndex(cluster) + 2) % 3;
        // The allowance comes to where the want is, and stays there when that has ended.
        cluster.submit(
                JobFixtures.array(1, "blue", JobSpec.Priority.NORMAL, 12, 2, 4), staleController);
        cluster.clock.runUntil(30_000);
        assertTrue(cluster.hasFinalStatus("wk-000001"));
        cluster.store.setWatchDelayed(cluster.controllers.get(staleController).ip, true);
        cluster.submit(
                JobFixtures.array(2, "blue", JobSpec.Priority.HIGH, 12, 2, 60), otherController);
        cluster.clock.runUntil(42_000);
        assertTrue(cpusInUse(cluster, "blue") > 20, "use: " + cpusInUse(cluster, "blue"));
        int[] attempts = {0};
        cluster.store.arrivalObserver =
                transaction ->
                        attempts[0] +=
                                anyStartsWith(transaction.path("then"), "put", "a/j/wk-000003")
                                                && transaction
                                                        .path("then")
                                                        .toString()
                                                        .contains(" i-0")
                                        ? 1
                                        : 0;
        cluster.submit(
                JobFixtures.array(3, "blue", JobSpec.Priority.HIGH, 12, 1, 20), staleController);
        cluster.clock.runUntil(50_000);
        assertTrue(attempts[0] > 0, "it never tried");
        cluster.store.setWatchDelayed(cluster.controllers.get(staleController).ip, false);
        cluster.clock.runUntil(300_000);
        assertAllJobsFinished(cluster, 3);
    }
}
