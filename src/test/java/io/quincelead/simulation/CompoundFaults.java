package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Troubles that meet: each of the kinds that broke rules on real machines, alone or drawn together
 * a few seconds apart.
 */
final class CompoundFaults {
    private CompoundFaults() {}

    /** What can meet. */
    enum FaultKind {
        /**
         * The leader is cut from the store and from the other controllers; its workers and users
         * still reach it.
         */
        LEADER_PARTITIONED,
        /** Transactions get no answer and are carried out 2 to 12 s later. */
        DELAYED_WRITES,
        /** The store answers slowly. */
        SLOW_STORE,
        /** The store refuses the leader alone. */
        LEADER_REFUSED_BY_STORE,
        /** The store is down for all. */
        STORE_DOWN,
        /** The leader ends, and is back late or at once. */
        LEADER_CRASH,
        /** Machines can't be reached, nor reach anybody. */
        MACHINES_PARTITIONED,
        /** Machines' reports arrive; answers and direct commands to them are lost. */
        MACHINES_UNREACHABLE_INBOUND,
        /** Old reports arrive again. */
        STALE_HEARTBEATS,
        /** Direct commands and their answers are held for seconds. */
        DELAYED_COMMANDS,
        /** Machines stand still and go on. */
        MACHINES_HANG,
        /** All controllers end; one is back at once, the others later. */
        ALL_CONTROLLERS_CRASH,
        /** Transactions are carried out at once; only their answers are lost. */
        LOST_STORE_RESPONSES,
        /** Copies of reports are kept and brought to every controller as the next leader begins. */
        REPLAYED_HEARTBEATS,
        /** Reports are held up until a new leader has acted. */
        HELD_HEARTBEATS,
        /** Machines reach no controller; direct commands reach them. */
        MACHINES_UNREACHABLE_OUTBOUND,
        /**
         * Users ask all controllers and repeat submissions within milliseconds of each piece of
         * news; some cancel at once.
         */
        CONSISTENCY_PROBES,
        /**
         * Users repeat submissions of unfinished jobs, cancel what is done, and submit what fits
         * nothing or lacks a field.
         */
        UNACCEPTABLE_REQUESTS,
        /** Many running jobs are cancelled within 0.2 s. */
        MASS_CANCELLATION,
        /** The same, and their machines hang. */
        MASS_CANCELLATION_WITH_HANGS,
        /** Jobs are cancelled at the moment at which their last task ends. */
        CANCELLATION_AT_COMPLETION,
        /** New machines are up within two seconds. */
        FAST_BOOTS,
        /** One-task jobs come four a second, a quarter of them cancelled. */
        SINGLE_TASK_JOB_STREAM,
        /** Links are slow while there is more work than room. */
        SLOW_LINKS,
        /** A zone's machines and one controller are cut off from all else. */
        ZONE_PARTITIONED,
        /** Leaders change again and again. */
        REPEATED_LEADER_CHANGES
    }

    /** The kinds that the first drawn days know, whose seeds stay what they were. */
    private static final int INITIAL_KIND_COUNT = FaultKind.ALL_CONTROLLERS_CRASH.ordinal() + 1;

    /** The leader's place among the controllers; -1: nobody leads. */
    static int leaderIndex(SimulatedCluster cluster) {
        return cluster.store.value("a/lead") == null
                ? -1
                : cluster.indexOfController(cluster.store.value("a/lead").path("m").asText());
    }

    static void inject(SimulatedCluster cluster, FaultKind kind) {
        long durationMillis = 3_000 + cluster.clock.random.nextLong(30_000);
        int leader = Math.max(0, leaderIndex(cluster));
        String ip = cluster.controllers.get(leader).ip;
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        switch (kind) {
            case LEADER_PARTITIONED -> {
                List<String> otherIps = new ArrayList<>(List.of("10.2.0.1"));
                cluster.controllers.forEach(controller -> otherIps.add(controller.ip));
                otherIps.remove(ip);
                FaultInjector.partition(cluster, ip, otherIps, durationMillis);
            }
            case DELAYED_WRITES -> {
                cluster.store.delayedWriteRate = 0.05 + cluster.clock.random.nextDouble() * 0.3;
                cluster.clock.schedule(durationMillis, () -> cluster.store.delayedWriteRate = 0);
                cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis + 12_000);
            }
            case SLOW_STORE -> {
                cluster.store.maxExtraLatencyMillis = 200 + cluster.clock.random.nextLong(1_800);
                cluster.clock.schedule(
                        durationMillis, () -> cluster.store.maxExtraLatencyMillis = 0);
            }
            case LEADER_REFUSED_BY_STORE -> refuseByStore(cluster, leader, durationMillis);
            case STORE_DOWN ->
                    storeOutage(cluster, durationMillis + cluster.clock.random.nextLong(40_000));
            case LEADER_CRASH ->
                    FaultInjector.crashController(
                            cluster,
                            leader,
                            cluster.clock.random.nextBoolean()
                                    ? FaultInjector.quickRestartDelayMillis(cluster)
                                    : 2_000 + cluster.clock.random.nextLong(20_000));
            case MACHINES_PARTITIONED ->
                    forSomeMachines(
                            cluster,
                            worker -> {
                                List<String> controllerIps = new ArrayList<>();
                                cluster.controllers.forEach(
                                        controller -> controllerIps.add(controller.ip));
                                FaultInjector.partition(
                                        cluster,
                                        worker.address.substring(0, worker.address.indexOf(':')),
                                        controllerIps,
                                        durationMillis);
                            });
            case MACHINES_UNREACHABLE_INBOUND ->
                    forSomeMachines(
                            cluster,
                            worker -> makeUnreachableInbound(cluster, worker, durationMillis));
            case STALE_HEARTBEATS -> {
                cluster.network.staleHeartbeatRate = 0.05 + cluster.clock.random.nextDouble() * 0.3;
                cluster.clock.schedule(
                        durationMillis, () -> cluster.network.staleHeartbeatRate = 0);
                cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis + 45_000);
            }
            case DELAYED_COMMANDS -> {
                cluster.network.commandHoldRate = 0.2 + cluster.clock.random.nextDouble() * 0.5;
                cluster.clock.schedule(durationMillis, () -> cluster.network.commandHoldRate = 0);
                cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis + 14_000);
            }
            case MACHINES_HANG ->
                    forSomeMachines(
                            cluster,
                            worker -> {
                                worker.setHung(true);
                                cluster.clock.schedule(
                                        Math.min(durationMillis, 9_000),
                                        () -> worker.setHung(false));
                            });
            case ALL_CONTROLLERS_CRASH -> {
                int first = cluster.clock.random.nextInt(cluster.controllers.size());
                for (int i = 0; i < cluster.controllers.size(); i++) {
                    FaultInjector.crashController(
                            cluster,
                            i,
                            i == first
                                    ? FaultInjector.quickRestartDelayMillis(cluster)
                                    : 1_000 + cluster.clock.random.nextLong(8_000));
                }
            }
            case LOST_STORE_RESPONSES -> {
                cluster.store.responseLossRate = 0.1 + cluster.clock.random.nextDouble() * 0.5;
                cluster.clock.schedule(durationMillis, () -> cluster.store.responseLossRate = 0);
            }
            case REPLAYED_HEARTBEATS -> replayHeartbeats(cluster, 0.3, durationMillis + 10_000);
            case HELD_HEARTBEATS ->
                    holdHeartbeats(
                            cluster,
                            0.3,
                            Math.min(durationMillis, 10_000),
                            durationMillis + 10_000);
            case MACHINES_UNREACHABLE_OUTBOUND ->
                    forSomeMachines(
                            cluster,
                            worker -> makeUnreachableOutbound(cluster, worker, durationMillis));
            case CONSISTENCY_PROBES -> {
                cluster.users.consistencyProbes = true;
                cluster.users.cancelAtOnceRate = 0.2;
                cluster.clock.schedule(
                        durationMillis,
                        () -> {
                            cluster.users.consistencyProbes = false;
                            cluster.users.cancelAtOnceRate = 0;
                        });
            }
            case UNACCEPTABLE_REQUESTS -> cluster.users.sendUnusualRequests(300, durationMillis);
            case MASS_CANCELLATION -> cluster.users.cancelRunningJobs(12, 0);
            case MASS_CANCELLATION_WITH_HANGS ->
                    cluster.users.cancelRunningJobs(12, Math.min(durationMillis, 9_000));
            case CANCELLATION_AT_COMPLETION -> {
                cluster.users.cancelAtCompletionRate = 0.6;
                cluster.clock.schedule(
                        durationMillis, () -> cluster.users.cancelAtCompletionRate = 0);
            }
            case FAST_BOOTS -> {
                cluster.cloud.fastBoots = true;
                cluster.clock.schedule(durationMillis, () -> cluster.cloud.fastBoots = false);
            }
            case SINGLE_TASK_JOB_STREAM ->
                    cluster.users.submitSingleTaskJobs((int) (durationMillis / 250), 250);
            case SLOW_LINKS -> {
                cluster.network.maxExtraLatencyMillis = 50 + cluster.clock.random.nextInt(350);
                cluster.clock.schedule(
                        durationMillis, () -> cluster.network.maxExtraLatencyMillis = 0);
                for (int i = 0; i < 6; i++) {
                    JobSpec job =
                            JobFixtures.array(
                                    cluster.users.nextJobNumber(),
                                    i % 2 == 0 ? "red" : "blue",
                                    JobSpec.Priority.values()[cluster.clock.random.nextInt(4)],
                                    12,
                                    2,
                                    12);
                    cluster.clock.schedule(
                            cluster.clock.random.nextLong(5_000), () -> cluster.submit(job));
                }
            }
            case ZONE_PARTITIONED ->
                    FaultInjector.partitionZone(
                            cluster,
                            cluster.clock.random.nextBoolean() ? "a" : "b",
                            cluster.clock.random.nextInt(cluster.controllers.size()),
                            durationMillis);
            case REPEATED_LEADER_CHANGES ->
                    changeLeadersRepeatedly(
                            cluster, 5, 1_000 + cluster.clock.random.nextLong(8_000));
        }
    }

    /** The leader ends, and is back at once or a little later; so often, so many ms apart. */
    static void changeLeadersRepeatedly(SimulatedCluster cluster, int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            cluster.clock.schedule(
                    i * intervalMillis,
                    () -> {
                        if (leaderIndex(cluster) >= 0) {
                            FaultInjector.crashController(
                                    cluster,
                                    leaderIndex(cluster),
                                    cluster.clock.random.nextBoolean()
                                            ? FaultInjector.quickRestartDelayMillis(cluster)
                                            : 3_000);
                        }
                    });
        }
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + count * intervalMillis + 5_000);
    }

    static void makeUnreachableOutbound(
            SimulatedCluster cluster, SimulatedWorker worker, long durationMillis) {
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        worker.unreachableOutbound = true;
        cluster.clock.schedule(durationMillis, () -> worker.unreachableOutbound = false);
    }

    /** Calls this each time that somebody comes to lead, for so many ms. */
    static void onLeaderElected(SimulatedCluster cluster, long durationMillis, Runnable action) {
        onStoreWrite(cluster, durationMillis, "a/lead", action);
    }

    private static void onStoreWrite(
            SimulatedCluster cluster, long durationMillis, String prefix, Runnable action) {
        Consumer<ObjectNode> previousObserver = cluster.store.commitObserver;
        boolean[] active = {true};
        cluster.store.commitObserver =
                transaction -> {
                    previousObserver.accept(transaction);
                    for (JsonNode operation : transaction.path("then")) {
                        if (active[0] && operation.path("put").asText().startsWith(prefix)) {
                            action.run();
                            return;
                        }
                    }
                };
        cluster.clock.schedule(durationMillis, () -> active[0] = false);
    }

    /**
     * Copies of that share of the reports arrive at every controller just as the next leader
     * begins.
     */
    static void replayHeartbeats(SimulatedCluster cluster, double share, long durationMillis) {
        cluster.network.heartbeatRetentionRate = share;
        List<String> addresses =
                cluster.controllers.stream().map(controller -> controller.userAddress).toList();
        onLeaderElected(
                cluster, durationMillis, () -> cluster.network.replayRetainedHeartbeats(addresses));
        cluster.clock.schedule(durationMillis, () -> cluster.network.heartbeatRetentionRate = 0);
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
    }

    /**
     * That share of the reports is held up and arrives when the next leader has granted machines;
     * at the latest after {@code latestMs}.
     */
    static void holdHeartbeats(
            SimulatedCluster cluster, double share, long holdMillis, long releaseAtLatestMillis) {
        cluster.network.heartbeatHoldRate = share;
        cluster.clock.schedule(holdMillis, () -> cluster.network.heartbeatHoldRate = 0);
        long[] electedAtMillis = {-1};
        onLeaderElected(
                cluster,
                releaseAtLatestMillis,
                () -> electedAtMillis[0] = cluster.clock.nowMillis());
        onStoreWrite(
                cluster,
                releaseAtLatestMillis,
                "a/b/",
                () -> {
                    if (electedAtMillis[0] >= 0) {
                        cluster.network.releaseHeldHeartbeats();
                    }
                });
        cluster.clock.schedule(releaseAtLatestMillis, cluster.network::releaseHeldHeartbeats);
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + releaseAtLatestMillis + 1_000);
    }

    static void refuseByStore(SimulatedCluster cluster, int controller, long durationMillis) {
        String ip = cluster.controllers.get(controller).ip;
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        cluster.store.setRefused(ip, true);
        cluster.clock.schedule(durationMillis, () -> cluster.store.setRefused(ip, false));
    }

    static void storeOutage(SimulatedCluster cluster, long durationMillis) {
        if (cluster.store.down) {
            return;
        }
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        cluster.store.setDown(true);
        cluster.clock.schedule(durationMillis, () -> cluster.store.setDown(false));
    }

    static void makeUnreachableInbound(
            SimulatedCluster cluster, SimulatedWorker worker, long durationMillis) {
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        worker.unreachableInbound = true;
        cluster.clock.schedule(durationMillis, () -> worker.unreachableInbound = false);
    }

    /** A third of the machines that are up. */
    private static void forSomeMachines(
            SimulatedCluster cluster, java.util.function.Consumer<SimulatedWorker> action) {
        for (SimulatedWorker worker : new ArrayList<>(cluster.cloud.machines.values())) {
            if (worker.up && !worker.dead && cluster.clock.random.nextInt(3) == 0) {
                action.accept(worker);
            }
        }
    }

    /**
     * s. Who could have begun for so long and did not is left behind; less is what a gap between
     * two tasks of a team at its limit looks like.
     */
    private static final int STARTABLE_LIMIT_SECONDS = 45;

    /**
     * The same without those whose team was at its limit with work as urgent, or for whom there was
     * no room: by what was on the machines.
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
     * Who was left behind, though the time in which the store was down is not counted: nothing
     * begins without it.
     */
    static List<String> starved(SimulatedCluster cluster) {
        return cluster.serviceLevels()
                .starved(
                        ServiceLevelChecker.FIRST_START_LIMIT_MILLIS
                                + cluster.store.totalDownMillis);
    }

    /**
     * Three times on a day, two or three kinds meet, 0 to 10 s apart; users submit, cancel and ask
     * all the while.
     */
    static void playInitialKinds(SimulatedCluster cluster) {
        play(cluster, 0, INITIAL_KIND_COUNT);
    }

    /** The same with every kind; the first of those that meet is always a newer one. */
    static void playAllKinds(SimulatedCluster cluster) {
        play(cluster, INITIAL_KIND_COUNT, FaultKind.values().length);
    }

    private static void play(SimulatedCluster cluster, int firstKind, int kindCount) {
        cluster.submissionRetryMillis = 300_000;
        cluster.start();
        for (int i = 1; i <= 45; i++) {
            JobSpec randomJob = JobFixtures.randomJob(i, cluster.clock.random);
            // Long tasks, and jobs of two or three that end far apart: what is under way when a
            // leader changes.
            JobSpec job =
                    i % 3 == 0
                            ? JobFixtures.array(
                                    i,
                                    i % 2 == 0 ? "red" : "blue",
                                    JobSpec.Priority.values()[cluster.clock.random.nextInt(4)],
                                    2 + cluster.clock.random.nextInt(2),
                                    2,
                                    20 + cluster.clock.random.nextInt(60))
                            : randomJob;
            long atMillis = 3_000 + cluster.clock.random.nextLong(130_000);
            cluster.clock.schedule(atMillis, () -> cluster.submit(job));
            if (job.isService() || cluster.clock.random.nextInt(3) == 0) {
                cluster.clock.schedule(
                        atMillis
                                + (job.isService() ? 40_000 : 0)
                                + cluster.clock.random.nextLong(40_000),
                        () -> cluster.cancel(job.jobId()));
            }
            cluster.clock.schedule(
                    atMillis + 500, () -> cluster.query("wk-9" + job.jobId().substring(3)));
        }
        for (int i = 0; i < 3; i++) {
            long atMillis = 12_000 + i * 55_000L + cluster.clock.random.nextLong(15_000);
            int faultCount = 2 + cluster.clock.random.nextInt(2);
            for (int k = 0; k < faultCount; k++) {
                FaultKind kind =
                        FaultKind.values()[
                                k == 0
                                        ? cluster.clock.random.nextInt(firstKind, kindCount)
                                        : cluster.clock.random.nextInt(kindCount)];
                long gapMillis = k == 0 ? 0 : cluster.clock.random.nextLong(10_000);
                cluster.clock.schedule(atMillis + gapMillis, () -> inject(cluster, kind));
            }
        }
        cluster.clock.runUntil(700_000);
    }
}
