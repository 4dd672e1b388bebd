package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** What goes wrong in scenarios of the simulated cluster. */
final class FaultInjector {
    private final SimulatedCluster cluster;

    FaultInjector(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** One of many, at random. */
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

    /** Cuts a controller off from everything else. */
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

    /** Ends a controller so many ms from now; it is back after {@code restartDelayMillis}. */
    void crashAfter(long delayMillis, int controller, long restartDelayMillis) {
        cluster.after(delayMillis, () -> crashController(controller, restartDelayMillis));
    }

    /** Ends whoever leads so many ms from now; the first controller if nobody does. */
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

    /** Cuts a zone's machines, with one controller among them, off from everything else. */
    void partitionZone(String zone, int controller, long durationMillis) {
        partitionZone(zone, List.of(controller), durationMillis);
    }

    /** The same with these controllers inside, perhaps none. */
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

    /** ms. A process may be back within a fraction of a second. */
    long quickRestartDelayMillis() {
        return 50 + cluster.random().nextLong(450);
    }

    /**
     * Processes that end and are back at once: one, all, one again and again, and leaders as they
     * come to lead.
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

    /** Ends one process and, each time that it is back, ends it again a little later. */
    private void crashRepeatedly(int controller, int count) {
        if (count > 0) {
            crashController(controller, quickRestartDelayMillis());
            cluster.after(
                    700 + cluster.random().nextLong(2_500),
                    () -> crashRepeatedly(controller, count - 1));
        }
    }

    /** Moments of an election. */
    enum ElectionPhase {
        /** Its candidacy has come to the store and is carried out; the answer finds nobody. */
        CANDIDACY_COMMITTED,
        /** It has just heard that it leads. */
        ELECTED,
        /** Its first change of a shard is on its way. */
        FIRST_GRANT
    }

    /** Ends the leader, and its successor at that moment of its election; both are back at once. */
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

    /** The leader ends, and is back at once or a little later; so often, so many ms apart. */
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

    /** Calls this each time that somebody comes to lead, for so many ms. */
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
     * Copies of that share of the reports arrive at every controller just as the next leader
     * begins.
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
     * That share of the reports is held up and arrives when the next leader has granted machines;
     * at the latest after {@code latestMs}.
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
