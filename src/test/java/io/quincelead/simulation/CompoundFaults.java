package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Scenarios of coinciding faults: each kind that has violated invariants on real machines, alone or
 * several kinds drawn at random a few seconds apart.
 */
final class CompoundFaults {
    private CompoundFaults() {}

    /** Kinds of faults that can coincide. */
    enum FaultKind {
        /**
         * The leader is partitioned from the store and the other controllers; its workers and users
         * still reach it.
         */
        LEADER_PARTITIONED,
        /** Transactions get no response and are committed 2 to 12 s later. */
        DELAYED_WRITES,
        /** The store responds slowly. */
        SLOW_STORE,
        /** The store refuses only the leader's requests. */
        LEADER_REFUSED_BY_STORE,
        /** The store is down for all clients. */
        STORE_DOWN,
        /** The leader crashes and restarts late or immediately. */
        LEADER_CRASH,
        /** Some machines and the controllers can't reach each other. */
        MACHINES_PARTITIONED,
        /** Heartbeats of some machines arrive; responses and direct commands to them are lost. */
        MACHINES_UNREACHABLE_INBOUND,
        /** Old heartbeats arrive again. */
        STALE_HEARTBEATS,
        /** Direct commands and their responses are held for seconds. */
        DELAYED_COMMANDS,
        /** Some machines hang and resume. */
        MACHINES_HANG,
        /** All controllers crash; one restarts immediately, the others later. */
        ALL_CONTROLLERS_CRASH,
        /** Transactions are committed immediately; only their responses are lost. */
        LOST_STORE_RESPONSES,
        /**
         * Copies of heartbeats are kept and delivered to every controller when the next leader is
         * elected.
         */
        REPLAYED_HEARTBEATS,
        /** Heartbeats are held until a new leader has granted machines. */
        HELD_HEARTBEATS,
        /** Some machines reach no controller; direct commands reach them. */
        MACHINES_UNREACHABLE_OUTBOUND,
        /**
         * Users query all controllers and repeat submissions within milliseconds of each reported
         * change; some cancel immediately.
         */
        CONSISTENCY_PROBES,
        /**
         * Users repeat submissions of unfinished jobs, cancel done jobs, and submit jobs that fit
         * no machine or lack a field.
         */
        UNACCEPTABLE_REQUESTS,
        /** Many running jobs are cancelled within 0.2 s. */
        MASS_CANCELLATION,
        /** Many running jobs are cancelled within 0.2 s, and some of their machines hang. */
        MASS_CANCELLATION_WITH_HANGS,
        /** Jobs are cancelled when their last task ends. */
        CANCELLATION_AT_COMPLETION,
        /** New machines boot within two seconds. */
        FAST_BOOTS,
        /** Single-task jobs arrive at four per second; a quarter of them are cancelled. */
        SINGLE_TASK_JOB_STREAM,
        /** Links are slow while there is more work than capacity. */
        SLOW_LINKS,
        /** A zone's machines and one controller are partitioned from all other hosts. */
        ZONE_PARTITIONED,
        /** Leaders change repeatedly. */
        REPEATED_LEADER_CHANGES
    }

    /**
     * Number of kinds that the first version of these scenarios draws from; it stays, so that a
     * seed keeps its scenario.
     */
    private static final int INITIAL_KIND_COUNT = FaultKind.ALL_CONTROLLERS_CRASH.ordinal() + 1;

    static void inject(SimulatedCluster cluster, FaultKind kind) {
        long durationMillis = 3_000 + cluster.random().nextLong(30_000);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        if (kind.ordinal() < INITIAL_KIND_COUNT) {
            injectInitialKind(cluster, kind, durationMillis);
        } else {
            injectNewerKind(cluster, kind, durationMillis);
        }
    }

    private static void injectInitialKind(
            SimulatedCluster cluster, FaultKind kind, long durationMillis) {
        FaultInjector faults = cluster.faults;
        switch (kind) {
            case LEADER_PARTITIONED -> partitionLeader(cluster, durationMillis);
            case DELAYED_WRITES -> delayWrites(cluster, durationMillis);
            case SLOW_STORE -> {
                cluster.store.maxExtraLatencyMillis = 200 + cluster.random().nextLong(1_800);
                cluster.after(durationMillis, () -> cluster.store.maxExtraLatencyMillis = 0);
            }
            case LEADER_REFUSED_BY_STORE ->
                    faults.injectStoreRefusal(leaderOrFirst(cluster), durationMillis);
            case STORE_DOWN ->
                    faults.injectStoreOutage(durationMillis + cluster.random().nextLong(40_000));
            case LEADER_CRASH -> crashLeader(cluster);
            case MACHINES_PARTITIONED ->
                    forSomeMachines(
                            cluster,
                            worker -> partitionFromControllers(cluster, worker, durationMillis));
            case MACHINES_UNREACHABLE_INBOUND ->
                    forSomeMachines(
                            cluster,
                            worker -> faults.makeUnreachableInbound(worker, durationMillis));
            case STALE_HEARTBEATS -> repeatStaleHeartbeats(cluster, durationMillis);
            case DELAYED_COMMANDS -> delayCommands(cluster, durationMillis);
            case MACHINES_HANG ->
                    forSomeMachines(
                            cluster,
                            worker -> hang(cluster, worker, Math.min(durationMillis, 9_000)));
            case ALL_CONTROLLERS_CRASH -> crashAllControllers(cluster);
            default -> throw new IllegalArgumentException("an unknown kind of fault: " + kind);
        }
    }

    private static void injectNewerKind(
            SimulatedCluster cluster, FaultKind kind, long durationMillis) {
        FaultInjector faults = cluster.faults;
        SimulatedUsers users = cluster.users;
        switch (kind) {
            case LOST_STORE_RESPONSES -> {
                cluster.store.responseLossRate = 0.1 + cluster.random().nextDouble() * 0.5;
                cluster.after(durationMillis, () -> cluster.store.responseLossRate = 0);
            }
            case REPLAYED_HEARTBEATS -> faults.replayHeartbeats(0.3, durationMillis + 10_000);
            case HELD_HEARTBEATS ->
                    faults.holdHeartbeats(
                            0.3, Math.min(durationMillis, 10_000), durationMillis + 10_000);
            case MACHINES_UNREACHABLE_OUTBOUND ->
                    forSomeMachines(
                            cluster,
                            worker -> faults.makeUnreachableOutbound(worker, durationMillis));
            case CONSISTENCY_PROBES -> probeConsistency(cluster, durationMillis);
            case UNACCEPTABLE_REQUESTS -> users.sendUnusualRequests(300, durationMillis);
            case MASS_CANCELLATION -> users.cancelRunningJobs(12, 0);
            case MASS_CANCELLATION_WITH_HANGS ->
                    users.cancelRunningJobs(12, Math.min(durationMillis, 9_000));
            case CANCELLATION_AT_COMPLETION -> {
                users.cancelAtCompletionRate = 0.6;
                cluster.after(durationMillis, () -> users.cancelAtCompletionRate = 0);
            }
            case FAST_BOOTS -> {
                cluster.cloud.fastBoots = true;
                cluster.after(durationMillis, () -> cluster.cloud.fastBoots = false);
            }
            case SINGLE_TASK_JOB_STREAM ->
                    users.submitSingleTaskJobs((int) (durationMillis / 250), 250);
            case SLOW_LINKS -> slowLinksUnderLoad(cluster, durationMillis);
            case ZONE_PARTITIONED ->
                    faults.partitionZone(
                            cluster.random().nextBoolean() ? "a" : "b",
                            cluster.random().nextInt(cluster.controllers.size()),
                            durationMillis);
            case REPEATED_LEADER_CHANGES ->
                    faults.changeLeadersRepeatedly(5, 1_000 + cluster.random().nextLong(8_000));
            default -> throw new IllegalArgumentException("an unknown kind of fault: " + kind);
        }
    }

    /** The index of the leader, or of the first controller if there is no leader. */
    private static int leaderOrFirst(SimulatedCluster cluster) {
        return Math.max(0, cluster.leaderIndex());
    }

    private static void partitionLeader(SimulatedCluster cluster, long durationMillis) {
        String ip = cluster.controllers.get(leaderOrFirst(cluster)).ip;
        List<String> otherIps = new ArrayList<>(List.of("10.2.0.1"));
        cluster.controllers.forEach(controller -> otherIps.add(controller.ip));
        otherIps.remove(ip);
        cluster.faults.partition(ip, otherIps, durationMillis);
    }

    private static void delayWrites(SimulatedCluster cluster, long durationMillis) {
        cluster.store.delayedWriteRate = 0.05 + cluster.random().nextDouble() * 0.3;
        cluster.after(durationMillis, () -> cluster.store.delayedWriteRate = 0);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis + 12_000);
    }

    private static void crashLeader(SimulatedCluster cluster) {
        cluster.faults.crashController(
                leaderOrFirst(cluster),
                cluster.random().nextBoolean()
                        ? cluster.faults.quickRestartDelayMillis()
                        : 2_000 + cluster.random().nextLong(20_000));
    }

    private static void partitionFromControllers(
            SimulatedCluster cluster, SimulatedWorker worker, long durationMillis) {
        List<String> controllerIps = new ArrayList<>();
        cluster.controllers.forEach(controller -> controllerIps.add(controller.ip));
        cluster.faults.partition(FaultInjector.ipOf(worker), controllerIps, durationMillis);
    }

    private static void repeatStaleHeartbeats(SimulatedCluster cluster, long durationMillis) {
        cluster.network.staleHeartbeatRate = 0.05 + cluster.random().nextDouble() * 0.3;
        cluster.after(durationMillis, () -> cluster.network.staleHeartbeatRate = 0);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis + 45_000);
    }

    private static void delayCommands(SimulatedCluster cluster, long durationMillis) {
        cluster.network.commandHoldRate = 0.2 + cluster.random().nextDouble() * 0.5;
        cluster.after(durationMillis, () -> cluster.network.commandHoldRate = 0);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis + 14_000);
    }

    private static void hang(SimulatedCluster cluster, SimulatedWorker worker, long hangMillis) {
        worker.setHung(true);
        cluster.after(hangMillis, () -> worker.setHung(false));
    }

    /** Crashes all controllers; a random one restarts immediately, the others later. */
    private static void crashAllControllers(SimulatedCluster cluster) {
        int first = cluster.random().nextInt(cluster.controllers.size());
        for (int i = 0; i < cluster.controllers.size(); i++) {
            cluster.faults.crashController(
                    i,
                    i == first
                            ? cluster.faults.quickRestartDelayMillis()
                            : 1_000 + cluster.random().nextLong(8_000));
        }
    }

    private static void probeConsistency(SimulatedCluster cluster, long durationMillis) {
        cluster.users.consistencyProbes = true;
        cluster.users.cancelAtAcceptanceRate = 0.2;
        cluster.after(
                durationMillis,
                () -> {
                    cluster.users.consistencyProbes = false;
                    cluster.users.cancelAtAcceptanceRate = 0;
                });
    }

    /** Slows all links, and submits more work than there is capacity for. */
    private static void slowLinksUnderLoad(SimulatedCluster cluster, long durationMillis) {
        cluster.network.maxExtraLatencyMillis = 50 + cluster.random().nextInt(350);
        cluster.after(durationMillis, () -> cluster.network.maxExtraLatencyMillis = 0);
        for (int i = 0; i < 6; i++) {
            JobSpec job =
                    JobFixtures.array(
                            cluster.users.nextJobNumber(),
                            i % 2 == 0 ? "red" : "blue",
                            JobSpec.Priority.values()[cluster.random().nextInt(4)],
                            12,
                            2,
                            12);
            cluster.submitAfter(cluster.random().nextLong(5_000), job);
        }
    }

    /** Applies an action to each running machine with a probability of a third. */
    private static void forSomeMachines(
            SimulatedCluster cluster, Consumer<SimulatedWorker> action) {
        for (SimulatedWorker worker : new ArrayList<>(cluster.cloud.machines.values())) {
            if (worker.up && !worker.dead && cluster.random().nextInt(3) == 0) {
                action.accept(worker);
            }
        }
    }

    /**
     * Time in s for which a job must have been startable without starting to count as starved.
     * Shorter times occur in the gap between two tasks of a team at its limit.
     */
    private static final int STARTABLE_LIMIT_SECONDS = 45;

    /**
     * Descriptions of the starved groups, and of the starved jobs for which there was capacity on
     * the machines while their team's work of the same or higher priority was under its limit.
     */
    static List<String> starvedDespiteCapacity(SimulatedCluster cluster) {
        return starved(cluster).stream()
                .filter(
                        line ->
                                !line.startsWith("wk-")
                                        || cluster.startableSeconds(
                                                        line.substring(0, line.indexOf(' ')))
                                                > STARTABLE_LIMIT_SECONDS)
                .toList();
    }

    /**
     * Descriptions of the groups and jobs that missed the service level. The limit is extended by
     * the time for which the store was down, since no task starts without it.
     */
    static List<String> starved(SimulatedCluster cluster) {
        return cluster.serviceLevels()
                .starved(
                        ServiceLevelChecker.FIRST_START_LIMIT_MILLIS
                                + cluster.store.totalDownMillis);
    }

    /**
     * Runs a scenario in which three times two or three of the initial kinds coincide, 0 to 10 s
     * apart, while users submit, cancel and query jobs.
     */
    static void playInitialKinds(SimulatedCluster cluster) {
        play(cluster, 0, INITIAL_KIND_COUNT);
    }

    /**
     * Runs a scenario in which three times two or three of all kinds coincide, the first of them
     * always a newer one, while users submit, cancel and query jobs.
     */
    static void playAllKinds(SimulatedCluster cluster) {
        play(cluster, INITIAL_KIND_COUNT, FaultKind.values().length);
    }

    private static void play(SimulatedCluster cluster, int firstKind, int kindCount) {
        cluster.submissionRetryWindowMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 45; i++) {
            JobSpec randomJob = JobFixtures.randomJob(i, cluster.random());
            // Every third job has two or three long tasks that end far apart, so that they are
            // running when the leader changes.
            JobSpec job =
                    i % 3 == 0
                            ? JobFixtures.array(
                                    i,
                                    i % 2 == 0 ? "red" : "blue",
                                    JobSpec.Priority.values()[cluster.random().nextInt(4)],
                                    2 + cluster.random().nextInt(2),
                                    2,
                                    20 + cluster.random().nextInt(60))
                            : randomJob;
            long atMillis = 3_000 + cluster.random().nextLong(130_000);
            cluster.submitAfter(atMillis, job);
            if (job.isService() || cluster.random().nextInt(3) == 0) {
                cluster.cancelAfter(
                        atMillis
                                + (job.isService() ? 40_000 : 0)
                                + cluster.random().nextLong(40_000),
                        job.jobId());
            }
            cluster.queryAfter(atMillis + 500, "wk-9" + job.jobId().substring(3));
        }
        for (int i = 0; i < 3; i++) {
            long atMillis = 12_000 + i * 55_000L + cluster.random().nextLong(15_000);
            int faultCount = 2 + cluster.random().nextInt(2);
            for (int k = 0; k < faultCount; k++) {
                FaultKind kind =
                        FaultKind.values()[
                                k == 0
                                        ? cluster.random().nextInt(firstKind, kindCount)
                                        : cluster.random().nextInt(kindCount)];
                long gapMillis = k == 0 ? 0 : cluster.random().nextLong(10_000);
                cluster.after(atMillis + gapMillis, () -> inject(cluster, kind));
            }
        }
        cluster.runUntil(700_000);
    }
}
