package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Injects faults into a simulated cluster. */
final class FaultInjector {
    private final SimulatedCluster cluster;

    FaultInjector(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Injects a fault of a random kind. */
    void injectRandomFault() {
        int controllerCount = cluster.controllers.size();
        long durationMillis = 2_000 + cluster.random().nextLong(25_000);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        switch (cluster.random().nextInt(9)) {
            case 0 ->
                    crashController(
                            cluster.random().nextInt(controllerCount),
                            2_000 + cluster.random().nextLong(6_000));
            case 1 -> {
                for (int i = 0; i < controllerCount; i++) {
                    crashController(i, 3_000);
                }
            }
            case 2 -> {
                cluster.store.setDown(true);
                cluster.after(durationMillis, () -> cluster.store.setDown(false));
            }
            case 3 -> partition(randomControllerIp(), List.of("10.2.0.1"), durationMillis);
            case 4 -> isolateController(randomControllerIp(), durationMillis);
            case 5 ->
                    partition(
                            randomControllerIp(),
                            cluster.cloud.machines.values().stream()
                                    .map(FaultInjector::ipOf)
                                    .toList(),
                            durationMillis);
            case 6 ->
                    onRandomMachine(
                            worker -> {
                                worker.setHung(true);
                                cluster.after(durationMillis, () -> worker.setHung(false));
                            });
            case 7 -> onRandomMachine(SimulatedWorker::crash);
            default -> onRandomMachine(worker -> worker.failsTasks = true);
        }
    }

    private String randomControllerIp() {
        return cluster.controllers.get(cluster.random().nextInt(cluster.controllers.size())).ip;
    }

    static String ipOf(SimulatedWorker worker) {
        return worker.address.substring(0, worker.address.indexOf(':'));
    }

    /** Partitions a controller from all other hosts. */
    private void isolateController(String ip, long durationMillis) {
        List<String> otherIps = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "10.3.0.1"));
        cluster.cloud.machines.values().forEach(worker -> otherIps.add(ipOf(worker)));
        cluster.controllers.forEach(controller -> otherIps.add(controller.ip));
        otherIps.remove(ip);
        partition(ip, otherIps, durationMillis);
    }

    void crashController(int controller, long restartDelayMillis) {
        if (cluster.controllers.get(controller).isAlive()) {
            cluster.controllers.get(controller).kill();
            cluster.expectFaultsUntil(cluster.nowMillis() + restartDelayMillis);
            cluster.after(restartDelayMillis, cluster.controllers.get(controller)::start);
        }
    }

    /** Crashes a controller after a delay in ms; it restarts {@code restartDelayMillis} later. */
    void crashAfter(long delayMillis, int controller, long restartDelayMillis) {
        cluster.after(delayMillis, () -> crashController(controller, restartDelayMillis));
    }

    /**
     * Crashes the leader, or the first controller if there is no leader, after a delay in ms; it
     * restarts {@code restartDelayMillis} later.
     */
    void crashLeaderAfter(long delayMillis, long restartDelayMillis) {
        cluster.after(
                delayMillis,
                () -> crashController(Math.max(0, cluster.leaderIndex()), restartDelayMillis));
    }

    void partition(String ip, List<String> otherIps, long durationMillis) {
        boolean buffer = cluster.random().nextBoolean();
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        otherIps.forEach(otherIp -> cluster.network.partition(ip, otherIp, buffer));
        cluster.after(
                durationMillis,
                () -> otherIps.forEach(otherIp -> cluster.network.heal(ip, otherIp)));
    }

    /** Partitions a zone's machines and one controller from all other hosts. */
    void partitionZone(String zone, int controller, long durationMillis) {
        partitionZone(zone, List.of(controller), durationMillis);
    }

    /** Partitions a zone's machines and the given controllers, if any, from all other hosts. */
    void partitionZone(String zone, List<Integer> controllers, long durationMillis) {
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        List<String> insideIps =
                new ArrayList<>(
                        controllers.stream()
                                .map(controller -> cluster.controllers.get(controller).ip)
                                .toList());
        List<String> outsideIps = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "10.3.0.1"));
        cluster.controllers.forEach(controller -> outsideIps.add(controller.ip));
        outsideIps.removeAll(insideIps);
        cluster.cloud
                .machines
                .values()
                .forEach(
                        worker ->
                                (worker.zone.equals(zone) ? insideIps : outsideIps)
                                        .add(ipOf(worker)));
        insideIps.forEach(
                insideIp ->
                        outsideIps.forEach(
                                outsideIp ->
                                        cluster.network.partition(insideIp, outsideIp, false)));
        cluster.after(
                durationMillis,
                () ->
                        insideIps.forEach(
                                insideIp ->
                                        outsideIps.forEach(
                                                outsideIp ->
                                                        cluster.network.heal(
                                                                insideIp, outsideIp))));
    }

    void onRandomMachine(Consumer<SimulatedWorker> action) {
        List<SimulatedWorker> runningWorkers =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.up && !worker.dead)
                        .toList();
        if (!runningWorkers.isEmpty()) {
            action.accept(runningWorkers.get(cluster.random().nextInt(runningWorkers.size())));
        }
    }

    /** Returns a random restart delay of less than 500 ms. */
    long quickRestartDelayMillis() {
        return 50 + cluster.random().nextLong(450);
    }

    /**
     * Crashes controllers that restart immediately: one, all, one repeatedly, or the leader and its
     * successor during the election.
     */
    void injectRandomQuickRestart() {
        int controllerCount = cluster.controllers.size();
        int controller = cluster.random().nextInt(controllerCount);
        switch (cluster.random().nextInt(6)) {
            case 0 -> crashController(controller, quickRestartDelayMillis());
            case 1 -> {
                for (int i = 0; i < controllerCount; i++) {
                    crashController(i, quickRestartDelayMillis());
                }
            }
            case 2 -> crashRepeatedly(controller, 5);
            case 3 -> crashLeaderAndSuccessor(ElectionPhase.CANDIDACY_COMMITTED);
            case 4 -> crashLeaderAndSuccessor(ElectionPhase.ELECTED);
            default -> crashLeaderAndSuccessor(ElectionPhase.FIRST_GRANT);
        }
    }

    /** Crashes one controller several times, each time a little after its restart. */
    private void crashRepeatedly(int controller, int count) {
        if (count > 0) {
            crashController(controller, quickRestartDelayMillis());
            cluster.after(
                    700 + cluster.random().nextLong(2_500),
                    () -> crashRepeatedly(controller, count - 1));
        }
    }

    /** Moments of an election at which the new leader may crash. */
    enum ElectionPhase {
        /** The store has committed the candidacy; the response reaches no process. */
        CANDIDACY_COMMITTED,
        /** The new leader has just learned that it is elected. */
        ELECTED,
        /** The store has just received the new leader's first change of a shard. */
        FIRST_GRANT
    }

    /**
     * Crashes the leader, and its successor at the given moment of the election; both restart
     * immediately.
     */
    void crashLeaderAndSuccessor(ElectionPhase phase) {
        JsonNode leaderRecord = cluster.store.value("a/lead");
        if (leaderRecord == null) {
            return;
        }
        Consumer<ObjectNode> previousObserver = cluster.store.arrivalObserver;
        cluster.store.arrivalObserver =
                transaction -> {
                    previousObserver.accept(transaction);
                    for (JsonNode operation : transaction.path("then")) {
                        boolean candidacy = operation.path("put").asText().equals("a/lead");
                        boolean grant =
                                operation.path("put").asText().startsWith("a/b/")
                                        && cluster.store.value("a/lead") != null;
                        if (phase == ElectionPhase.FIRST_GRANT ? grant : candidacy) {
                            int successor =
                                    cluster.indexOfController(
                                            phase == ElectionPhase.FIRST_GRANT
                                                    ? cluster.store
                                                            .value("a/lead")
                                                            .path("m")
                                                            .asText()
                                                    : operation.path("value").path("m").asText());
                            cluster.store.arrivalObserver = previousObserver;
                            cluster.after(
                                    phase == ElectionPhase.ELECTED ? 15 : 0,
                                    () -> crashController(successor, quickRestartDelayMillis()));
                            return;
                        }
                    }
                };
        cluster.expectFaultsUntil(cluster.nowMillis() + 30_000);
        crashController(
                cluster.indexOfController(leaderRecord.path("m").asText()),
                quickRestartDelayMillis());
    }

    /**
     * Crashes the leader {@code count} times at a fixed interval; it restarts immediately or after
     * 3 s.
     */
    void changeLeadersRepeatedly(int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            cluster.after(
                    i * intervalMillis,
                    () -> {
                        if (cluster.leaderIndex() >= 0) {
                            crashController(
                                    cluster.leaderIndex(),
                                    cluster.random().nextBoolean()
                                            ? quickRestartDelayMillis()
                                            : 3_000);
                        }
                    });
        }
        cluster.expectFaultsUntil(cluster.nowMillis() + count * intervalMillis + 5_000);
    }

    void makeUnreachableOutbound(SimulatedWorker worker, long durationMillis) {
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        worker.unreachableOutbound = true;
        cluster.after(durationMillis, () -> worker.unreachableOutbound = false);
    }

    /** Runs an action at each election of a leader within the given time. */
    void onLeaderElected(long durationMillis, Runnable action) {
        onStoreWrite(durationMillis, "a/lead", action);
    }

    private void onStoreWrite(long durationMillis, String prefix, Runnable action) {
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
        cluster.after(durationMillis, () -> active[0] = false);
    }

    /**
     * Retains copies of a share of the heartbeats and delivers them to every controller when the
     * next leader is elected.
     */
    void replayHeartbeats(double share, long durationMillis) {
        cluster.network.heartbeatRetentionRate = share;
        List<String> addresses =
                cluster.controllers.stream().map(controller -> controller.userAddress).toList();
        onLeaderElected(durationMillis, () -> cluster.network.replayRetainedHeartbeats(addresses));
        cluster.after(durationMillis, () -> cluster.network.heartbeatRetentionRate = 0);
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
    }

    /**
     * Holds a share of the heartbeats and delivers them when the next leader has granted machines,
     * at the latest after {@code releaseAtLatestMillis}.
     */
    void holdHeartbeats(double share, long holdMillis, long releaseAtLatestMillis) {
        cluster.network.heartbeatHoldRate = share;
        cluster.after(holdMillis, () -> cluster.network.heartbeatHoldRate = 0);
        long[] electedAtMillis = {-1};
        onLeaderElected(releaseAtLatestMillis, () -> electedAtMillis[0] = cluster.nowMillis());
        onStoreWrite(
                releaseAtLatestMillis,
                "a/b/",
                () -> {
                    if (electedAtMillis[0] >= 0) {
                        cluster.network.releaseHeldHeartbeats();
                    }
                });
        cluster.after(releaseAtLatestMillis, cluster.network::releaseHeldHeartbeats);
        cluster.expectFaultsUntil(cluster.nowMillis() + releaseAtLatestMillis + 1_000);
    }

    void injectStoreRefusal(int controller, long durationMillis) {
        String ip = cluster.controllers.get(controller).ip;
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        cluster.store.setRefused(ip, true);
        cluster.after(durationMillis, () -> cluster.store.setRefused(ip, false));
    }

    void injectStoreOutage(long durationMillis) {
        if (cluster.store.down) {
            return;
        }
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        cluster.store.setDown(true);
        cluster.after(durationMillis, () -> cluster.store.setDown(false));
    }

    void makeUnreachableInbound(SimulatedWorker worker, long durationMillis) {
        cluster.expectFaultsUntil(cluster.nowMillis() + durationMillis);
        worker.unreachableInbound = true;
        cluster.after(durationMillis, () -> worker.unreachableInbound = false);
    }
}
