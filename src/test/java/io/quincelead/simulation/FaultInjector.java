package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** What goes wrong on the days of the test world. */
final class FaultInjector {
    private FaultInjector() {}

    /** One of many, at random. */
    static void injectRandomFault(SimulatedCluster cluster) {
        int controllerCount = cluster.controllers.size();
        long durationMillis = 2_000 + cluster.clock.random.nextLong(25_000);
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        switch (cluster.clock.random.nextInt(9)) {
            case 0 ->
                    crashController(
                            cluster,
                            cluster.clock.random.nextInt(controllerCount),
                            2_000 + cluster.clock.random.nextLong(6_000));
            case 1 -> {
                for (int i = 0; i < controllerCount; i++) {
                    crashController(cluster, i, 3_000);
                }
            }
            case 2 -> {
                cluster.store.setDown(true);
                cluster.clock.schedule(durationMillis, () -> cluster.store.setDown(false));
            }
            case 3 ->
                    partition(
                            cluster,
                            cluster.controllers.get(cluster.clock.random.nextInt(controllerCount))
                                    .ip,
                            List.of("10.2.0.1"),
                            durationMillis);
            case 4 -> {
                String ip =
                        cluster.controllers.get(cluster.clock.random.nextInt(controllerCount)).ip;
                List<String> otherIps =
                        new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "10.3.0.1"));
                cluster.cloud
                        .machines
                        .values()
                        .forEach(
                                worker ->
                                        otherIps.add(
                                                worker.address.substring(
                                                        0, worker.address.indexOf(':'))));
                cluster.controllers.forEach(controller -> otherIps.add(controller.ip));
                otherIps.remove(ip);
                partition(cluster, ip, otherIps, durationMillis);
            }
            case 5 -> {
                String ip =
                        cluster.controllers.get(cluster.clock.random.nextInt(controllerCount)).ip;
                partition(
                        cluster,
                        ip,
                        cluster.cloud.machines.values().stream()
                                .map(
                                        worker ->
                                                worker.address.substring(
                                                        0, worker.address.indexOf(':')))
                                .toList(),
                        durationMillis);
            }
            case 6 ->
                    onRandomMachine(
                            cluster,
                            worker -> {
                                worker.setHung(true);
                                cluster.clock.schedule(durationMillis, () -> worker.setHung(false));
                            });
            case 7 -> onRandomMachine(cluster, SimulatedWorker::crash);
            default -> onRandomMachine(cluster, worker -> worker.failsTasks = true);
        }
    }

    static void crashController(SimulatedCluster cluster, int controller, long restartDelayMillis) {
        if (cluster.controllers.get(controller).isAlive()) {
            cluster.controllers.get(controller).kill();
            cluster.expectFaultsUntil(cluster.clock.nowMillis() + restartDelayMillis);
            cluster.clock.schedule(restartDelayMillis, cluster.controllers.get(controller)::start);
        }
    }

    static void partition(
            SimulatedCluster cluster, String ip, List<String> otherIps, long durationMillis) {
        boolean buffer = cluster.clock.random.nextBoolean();
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
        otherIps.forEach(otherIp -> cluster.network.partition(ip, otherIp, buffer));
        cluster.clock.schedule(
                durationMillis,
                () -> otherIps.forEach(otherIp -> cluster.network.heal(ip, otherIp)));
    }

    /** Cuts a zone's machines, with one controller among them, off from everything else. */
    static void partitionZone(
            SimulatedCluster cluster, String zone, int controller, long durationMillis) {
        partitionZone(cluster, zone, List.of(controller), durationMillis);
    }

    /** The same with these controllers inside, perhaps none. */
    static void partitionZone(
            SimulatedCluster cluster, String zone, List<Integer> controllers, long durationMillis) {
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + durationMillis);
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
                                        .add(
                                                worker.address.substring(
                                                        0, worker.address.indexOf(':'))));
        insideIps.forEach(
                insideIp ->
                        outsideIps.forEach(
                                outsideIp ->
                                        cluster.network.partition(insideIp, outsideIp, false)));
        cluster.clock.schedule(
                durationMillis,
                () ->
                        insideIps.forEach(
                                insideIp ->
                                        outsideIps.forEach(
                                                outsideIp ->
                                                        cluster.network.heal(
                                                                insideIp, outsideIp))));
    }

    static void onRandomMachine(SimulatedCluster cluster, Consumer<SimulatedWorker> action) {
        List<SimulatedWorker> runningWorkers =
                cluster.cloud.machines.values().stream()
                        .filter(worker -> worker.up && !worker.dead)
                        .toList();
        if (!runningWorkers.isEmpty()) {
            action.accept(runningWorkers.get(cluster.clock.random.nextInt(runningWorkers.size())));
        }
    }

    /** ms. A process may be back within a fraction of a second. */
    static long quickRestartDelayMillis(SimulatedCluster cluster) {
        return 50 + cluster.clock.random.nextLong(450);
    }

    /**
     * Processes that end and are back at once: one, all, one again and again, and leaders as they
     * come to lead.
     */
    static void injectRandomQuickRestart(SimulatedCluster cluster) {
        int controllerCount = cluster.controllers.size();
        int controller = cluster.clock.random.nextInt(controllerCount);
        switch (cluster.clock.random.nextInt(6)) {
            case 0 -> crashController(cluster, controller, quickRestartDelayMillis(cluster));
            case 1 -> {
                for (int i = 0; i < controllerCount; i++) {
                    crashController(cluster, i, quickRestartDelayMillis(cluster));
                }
            }
            case 2 -> crashRepeatedly(cluster, controller, 5);
            case 3 -> crashLeaderAndSuccessor(cluster, ElectionPhase.CANDIDACY_COMMITTED);
            case 4 -> crashLeaderAndSuccessor(cluster, ElectionPhase.ELECTED);
            default -> crashLeaderAndSuccessor(cluster, ElectionPhase.FIRST_GRANT);
        }
    }

    /** Ends one process and, each time that it is back, ends it again a little later. */
    private static void crashRepeatedly(SimulatedCluster cluster, int controller, int count) {
        if (count > 0) {
            crashController(cluster, controller, quickRestartDelayMillis(cluster));
            cluster.clock.schedule(
                    700 + cluster.clock.random.nextLong(2_500),
                    () -> crashRepeatedly(cluster, controller, count - 1));
        }
    }

    /** Moments of an election. */
    enum ElectionPhase {
        /** Its candidacy has come to the store and is carried out; the answer finds nobody. */
        CANDIDACY_COMMITTED,
        /** It has just heard that it leads. */
        ELECTED,
        /** Its first change of a block is on its way. */
        FIRST_GRANT
    }

    /** Ends the leader, and its successor at that moment of its election; both are back at once. */
    static void crashLeaderAndSuccessor(SimulatedCluster cluster, ElectionPhase phase) {
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
                            int next =
                                    cluster.indexOfController(
                                            phase == ElectionPhase.FIRST_GRANT
                                                    ? cluster.store
                                                            .value("a/lead")
                                                            .path("m")
                                                            .asText()
                                                    : operation.path("value").path("m").asText());
                            cluster.store.arrivalObserver = previousObserver;
                            cluster.clock.schedule(
                                    phase == ElectionPhase.ELECTED ? 15 : 0,
                                    () ->
                                            crashController(
                                                    cluster,
                                                    next,
                                                    quickRestartDelayMillis(cluster)));
                            return;
                        }
                    }
                };
        cluster.expectFaultsUntil(cluster.clock.nowMillis() + 30_000);
        crashController(
                cluster,
                cluster.indexOfController(leaderRecord.path("m").asText()),
                quickRestartDelayMillis(cluster));
    }
}
