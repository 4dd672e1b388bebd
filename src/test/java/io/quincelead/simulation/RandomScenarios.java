package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Scenarios drawn at random from a seed; tests run some seeds, the scenario runner any. */
final class RandomScenarios {
    /** Number of calendar entries in the scenario of operators' records. */
    private static final int CALENDAR_ENTRY_COUNT = 3;

    /** Number of class changes in the scenario of operators' records. */
    private static final int CLASS_CHANGE_COUNT = 4;

    private RandomScenarios() {}

    /**
     * Submits jobs over the first part of the scenario, cancels some, and queries jobs that don't
     * exist.
     */
    static void submitRandomJobs(SimulatedCluster cluster, int jobCount, long intervalMillis) {
        for (int i = 1; i <= jobCount; i++) {
            long atMillis = submitRandomJob(cluster, i, jobCount * intervalMillis);
            cluster.queryAfter(atMillis + 500, "wk-9" + JobFixtures.id(i).substring(3));
        }
    }

    /**
     * Submits a job at a random time, cancels it later if it is a service and otherwise sometimes,
     * and returns the time of the submission.
     */
    private static long submitRandomJob(
            SimulatedCluster cluster, int jobNumber, long arrivalSpanMillis) {
        JobSpec job = JobFixtures.randomJob(jobNumber, cluster.random());
        long atMillis = 3_000 + cluster.random().nextLong(arrivalSpanMillis);
        cluster.submitAfter(atMillis, job);
        if (job.isService() || cluster.random().nextInt(6) == 0) {
            cluster.cancelAfter(
                    atMillis + (job.isService() ? 40_000 : cluster.random().nextLong(30_000)),
                    job.jobId());
        }
        return atMillis;
    }

    /** Runs random jobs with random faults of all kinds; the test says which. */
    static void playRandomFaults(SimulatedCluster cluster) {
        cluster.network.responseLossRate = 0.003;
        cluster.cloud.bootFailureRate = 0.05;
        cluster.start();
        submitRandomJobs(cluster, 40, 3_000);
        for (int i = 0; i < 14; i++) {
            cluster.after(
                    8_000 + cluster.random().nextLong(150_000),
                    () -> cluster.faults.injectRandomFault());
        }
        cluster.after(200_000, () -> cluster.network.responseLossRate = 0);
        cluster.expectFaultsUntil(200_000);
        cluster.runUntil(600_000);
    }

    /**
     * Runs random jobs while controllers crash and restart immediately and duplicates of old
     * messages arrive.
     */
    static void playQuickRestarts(SimulatedCluster cluster) {
        cluster.network.responseLossRate = 0.003;
        cluster.network.duplicationRate = 0.02;
        cluster.start();
        submitRandomJobs(cluster, 40, 3_000);
        for (int i = 0; i < 12; i++) {
            cluster.after(
                    8_000 + cluster.random().nextLong(150_000),
                    () -> cluster.faults.injectRandomQuickRestart());
        }
        for (int i = 0; i < 4; i++) {
            cluster.after(
                    8_000 + cluster.random().nextLong(150_000),
                    () -> cluster.faults.injectRandomFault());
        }
        stopMessageFaultsAfter(cluster, 200_000);
        cluster.expectFaultsUntil(380_000);
        cluster.runUntil(600_000);
    }

    /**
     * Overloads a cluster of three zones in which zones are partitioned and random faults occur.
     */
    static SimulatedCluster playOverload(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                SimulatedCloud.MachineType.small(6, List.of("a", "b", "c"), 60),
                                new SimulatedCloud.MachineType(
                                        "gpu", 16, 4, 64, 5, 2, 8, List.of("a", "c"), 14)));
        cluster.workerLeaseMillis = 24_000;
        cluster.setTeam("red", 150, 260, 16, 32);
        cluster.setTeam("blue", 90, 150, 8, 16);
        for (String zone : List.of("a", "b", "c")) {
            cluster.cloud.addRunningMachines("small", zone, 9);
        }
        cluster.cloud.addRunningMachines("gpu", "a", 4);
        cluster.cloud.addRunningMachines("gpu", "c", 4);
        cluster.start();
        submitOverload(cluster);
        for (int i = 0; i < 2; i++) {
            int controller = cluster.random().nextInt(3);
            String zone = List.of("a", "b", "c").get(cluster.random().nextInt(3));
            cluster.after(
                    15_000 + 70_000L * i + cluster.random().nextLong(30_000),
                    () ->
                            cluster.faults.partitionZone(
                                    zone, controller, 20_000 + cluster.random().nextLong(40_000)));
        }
        for (int i = 0; i < 8; i++) {
            cluster.after(
                    12_000 + cluster.random().nextLong(140_000),
                    () -> cluster.faults.injectRandomFault());
        }
        cluster.runUntil(900_000);
        return cluster;
    }

    /** Submits more work than fits, the first 24 jobs within 6 s, and cancels some jobs. */
    private static void submitOverload(SimulatedCluster cluster) {
        for (int i = 1; i <= 66; i++) {
            JobSpec job = overloadJob(cluster, i);
            long atMillis = 2_000 + cluster.random().nextLong(i < 25 ? 6_000 : 130_000);
            cluster.submitAfter(atMillis, job);
            if (job.isService() || cluster.random().nextInt(12) == 0) {
                cluster.cancelAfter(
                        atMillis + 5_000 + cluster.random().nextLong(150_000), job.jobId());
            }
        }
    }

    /** A spread service, a gang on GPUs of one zone, or a large array of low priority, in turn. */
    private static JobSpec overloadJob(SimulatedCluster cluster, int jobNumber) {
        String team = cluster.random().nextInt(3) == 0 ? "blue" : "red";
        return switch (jobNumber % 3) {
            case 0 ->
                    JobFixtures.service(
                                    jobNumber,
                                    team,
                                    JobSpec.Priority.PRODUCTION,
                                    List.of(3, 5, 8).get(cluster.random().nextInt(3)))
                            .cpus(1)
                            .zoneSpread(true)
                            .preemptible(false)
                            .build();
            case 1 ->
                    JobFixtures.gang(
                                    jobNumber,
                                    team,
                                    JobSpec.Priority.HIGH,
                                    List.of(1, 2, 4).get(cluster.random().nextInt(3)))
                            .cpus(14)
                            .gpus(4)
                            .runtimeSeconds(5 + cluster.random().nextInt(30))
                            .zoneAffinity(true)
                            .preemptible(false)
                            .checkpointIntervalSeconds(cluster.random().nextBoolean() ? 10 : 0)
                            .build();
            default ->
                    JobFixtures.array(
                            jobNumber,
                            team,
                            JobSpec.Priority.BEST_EFFORT,
                            10 + cluster.random().nextInt(240),
                            1,
                            5 + cluster.random().nextInt(25));
        };
    }

    /**
     * Compares the queue orders of all live controllers that were built from the same revisions of
     * classes and calendar.
     */
    static void compareQueueOrders(
            SimulatedCluster cluster, Map<String, String> knownRanks, int[] compared) {
        for (int i = 0; i < cluster.controllers.size(); i++) {
            if (cluster.controllers.get(i).isAlive()) {
                cluster.sendOperatorCommand(
                        i,
                        "/ops/queue",
                        WireFormat.newMap(),
                        (status, response) -> {
                            if (status == 200) {
                                compareRanks(response, knownRanks, compared);
                            }
                        });
            }
        }
    }

    /**
     * Checks that the rank, class and coverage of each job are the same on every controller for the
     * same revisions of classes and calendar.
     */
    private static void compareRanks(
            JsonNode response, Map<String, String> knownRanks, int[] compared) {
        for (JsonNode job : response.path("list")) {
            String key =
                    response.path("classes")
                            + "/"
                            + response.path("calendar")
                            + "/"
                            + job.path("job").asText();
            String ranks = job.path("rank") + " " + job.path("class") + " " + job.path("covered");
            String previousRanks = knownRanks.putIfAbsent(key, ranks);
            assertTrue(
                    previousRanks == null || previousRanks.equals(ranks),
                    key + ": " + previousRanks + " and " + ranks);
            compared[0] += previousRanks == null ? 0 : 1;
        }
    }

    /**
     * Runs a random scenario with changes of classes and calendar, and returns the problems found.
     */
    static ScenarioResult playOperatorRecords(long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                SimulatedCloud.MachineType.small(5, List.of("a", "b", "c"), 12),
                                new SimulatedCloud.MachineType(
                                        "big", 16, 4, 64, 1.0, 0.4, 8, List.of("a", "b"), 4)),
                        5);
        cluster.network.responseLossRate = 0.003;
        cluster.network.duplicationRate = 0.01;
        cluster.start();
        for (int i = 1; i <= 40; i++) {
            submitRandomJob(cluster, i, 120_000);
        }
        addCalendarEntries(cluster);
        applyClassChanges(cluster);
        scheduleFaultsAndQuickRestarts(cluster);
        scheduleQueueOrderChecks(cluster);
        stopMessageFaultsAfter(cluster, 200_000);
        cluster.expectFaultsUntil(385_000);
        cluster.runUntil(600_000);
        return new ScenarioResult(cluster, String.join("; ", operatorRecordProblems(cluster)));
    }

    private static void addCalendarEntries(SimulatedCluster cluster) {
        for (int i = 0; i < CALENDAR_ENTRY_COUNT; i++) {
            String name = "e" + i;
            ObjectNode addCommand =
                    OperatorCommands.calendarEntry(
                            name,
                            70_000 + cluster.random().nextLong(120_000),
                            20 + cluster.random().nextInt(60),
                            cluster.random().nextBoolean()
                                    ? "{'owner':'red'}"
                                    : "{'urgency':'normal'},{'mode':'ensemble'}");
            cluster.after(
                    5_000 + cluster.random().nextLong(15_000),
                    () ->
                            OperatorCommands.commandUntilAnswered(
                                    cluster, "/ops/calendar/add", addCommand));
        }
    }

    private static void applyClassChanges(SimulatedCluster cluster) {
        for (int i = 0; i < CLASS_CHANGE_COUNT; i++) {
            ObjectNode applyCommand =
                    OperatorCommands.json(
                            "{'change':'c"
                                    + i
                                    + "','classes':[{'name':'one','rank':"
                                    + cluster.random().nextInt(1000)
                                    + ",'match':{'owner':'"
                                    + (cluster.random().nextBoolean() ? "red" : "blue")
                                    + "'}},"
                                    + "{'name':'two','rank':"
                                    + cluster.random().nextInt(1000)
                                    + ",'match':{'urgency':'"
                                    + (cluster.random().nextBoolean() ? "normal" : "best_effort")
                                    + "'},'keep':'"
                                    + List.of("protocol", "urgent", "never")
                                            .get(cluster.random().nextInt(3))
                                    + "'}]}");
            cluster.after(
                    10_000 + cluster.random().nextLong(150_000),
                    () ->
                            OperatorCommands.commandUntilAnswered(
                                    cluster, "/ops/classes/apply", applyCommand));
        }
    }

    private static void scheduleFaultsAndQuickRestarts(SimulatedCluster cluster) {
        for (int i = 0; i < 8; i++) {
            boolean quick = cluster.random().nextBoolean();
            cluster.after(
                    8_000 + cluster.random().nextLong(170_000),
                    () -> {
                        if (quick) {
                            cluster.faults.injectRandomQuickRestart();
                        } else {
                            cluster.faults.injectRandomFault();
                        }
                    });
        }
    }

    private static void scheduleQueueOrderChecks(SimulatedCluster cluster) {
        Map<String, String> knownRanks = new HashMap<>();
        int[] compared = {0};
        for (long checkAtMillis = 20_000; checkAtMillis < 200_000; checkAtMillis += 7_000) {
            cluster.after(checkAtMillis, () -> compareQueueOrders(cluster, knownRanks, compared));
        }
    }

    private static void stopMessageFaultsAfter(SimulatedCluster cluster, long delayMillis) {
        cluster.after(
                delayMillis,
                () -> {
                    cluster.network.responseLossRate = 0;
                    cluster.network.duplicationRate = 0;
                });
    }

    private static List<String> operatorRecordProblems(SimulatedCluster cluster) {
        List<String> problems = new ArrayList<>(cluster.violations());
        cluster.unfinishedJobs().forEach(id -> problems.add("open " + id));
        // Faults last for 200 s and the teams are small: best-effort work of a team at its limit
        // waits behind the team's production and high work.
        problems.addAll(cluster.serviceLevels().starved(300_000));
        problems.addAll(ledgerProblems(cluster));
        if (cluster.store.value("a/oc/head").path("last").asLong() != CLASS_CHANGE_COUNT) {
            problems.add("classes " + cluster.store.value("a/oc/head"));
        }
        return problems;
    }

    /** Occurrences that are not in the ledger exactly once, or whose counts don't add up. */
    private static List<String> ledgerProblems(SimulatedCluster cluster) {
        List<String> problems = new ArrayList<>();
        cluster.store.ledgerWrites.forEach(
                (key, count) -> {
                    if (count != 1) {
                        problems.add(key + " written " + count + " times");
                    }
                });
        for (int i = 0; i < CALENDAR_ENTRY_COUNT; i++) {
            JsonNode ledgerRecord = cluster.store.value("z/oe/e" + i + "/" + OperatorCommands.DATE);
            if (ledgerRecord == null) {
                problems.add(
                        "e"
                                + i
                                + " is not in the ledger: "
                                + cluster.store.value(
                                        "a/ok/o/e" + i + "/" + OperatorCommands.DATE));
            } else if (ledgerRecord.path("n").asInt()
                    != ledgerRecord.path("done").asInt()
                            + ledgerRecord.path("cancelled").asInt()
                            + ledgerRecord.path("unfinished").asInt()) {
                problems.add("e" + i + " doesn't sum up: " + ledgerRecord);
            }
        }
        return problems;
    }

    /**
     * Runs a random scenario in which zones crash, are partitioned and recover while leaders crash
     * and the cloud and the store fail, and returns the problems found.
     */
    static ScenarioResult playZoneLoss(long seed) {
        SimulatedCluster cluster = ThreeZoneFixtures.clusterWithThreeZones(seed, true);
        cluster.network.responseLossRate = 0.002;
        if (cluster.random().nextBoolean()) {
            cluster.after(12_000, () -> applyModelClass(cluster));
        }
        scheduleZoneLosses(cluster);
        for (int i = 0; i < 5; i++) {
            cluster.after(
                    60_000 + cluster.random().nextLong(190_000),
                    () -> injectCloudOrLeaderFault(cluster));
        }
        for (int i = 1; i <= ThreeZoneFixtures.MODEL_COUNT; i += 3) {
            String jobId = ThreeZoneFixtures.modelId(i);
            cluster.cancelAfter(380_000, jobId);
        }
        cluster.after(270_000, () -> cluster.network.responseLossRate = 0);
        cluster.expectFaultsUntil(330_000);
        cluster.runUntil(600_000);
        return new ScenarioResult(cluster, String.join("; ", zoneLossProblems(cluster)));
    }

    /** Applies a class that matches all models, with random settings for zone recovery. */
    private static void applyModelClass(SimulatedCluster cluster) {
        OperatorCommands.commandUntilAnswered(
                cluster,
                "/ops/classes/apply",
                OperatorCommands.json(
                        "{'change':'c1','classes':[{'name':'models','rank':"
                                + cluster.random().nextInt(1000)
                                + ",'match':{'mode':'standing'},'zonePatienceS':"
                                + (10 + cluster.random().nextInt(60))
                                + ",'zoneSpare':"
                                + cluster.random().nextInt(2) * 0.5
                                + "}]}"));
    }

    /**
     * Schedules three losses of a zone: its machines crash, or it is partitioned with or without a
     * controller.
     */
    private static void scheduleZoneLosses(SimulatedCluster cluster) {
        for (int i = 0; i < 3; i++) {
            String zone = List.of("a", "b", "c").get(cluster.random().nextInt(3));
            int insideController = cluster.random().nextInt(7);
            long durationMillis =
                    List.of(1_000L, 30_000L, 70_000L).get(cluster.random().nextInt(3));
            boolean crashes = cluster.random().nextInt(3) == 0;
            cluster.after(
                    60_000 + 60_000L * i + cluster.random().nextLong(30_000),
                    () -> {
                        if (crashes) {
                            ThreeZoneFixtures.crashZone(cluster, zone);
                            cluster.expectFaultsUntil(cluster.nowMillis() + 60_000);
                        } else {
                            cluster.faults.partitionZone(
                                    zone,
                                    insideController < 5 ? List.of(insideController) : List.of(),
                                    durationMillis);
                        }
                    });
        }
    }

    /**
     * Makes the cloud unavailable for 15 s, injects a random fault, or (mostly) crashes the leader.
     */
    private static void injectCloudOrLeaderFault(SimulatedCluster cluster) {
        JsonNode leaderRecord = cluster.store.value("a/lead");
        switch (cluster.random().nextInt(6)) {
            case 0 -> cluster.cloud.down = true;
            case 1 -> cluster.faults.injectRandomFault();
            default -> {
                if (leaderRecord != null) {
                    cluster.faults.crashController(
                            cluster.indexOfController(leaderRecord.path("m").asText()),
                            cluster.random().nextBoolean() ? 100 : 4_000);
                }
            }
        }
        cluster.after(15_000, () -> cluster.cloud.down = false);
    }

    private static List<String> zoneLossProblems(SimulatedCluster cluster) {
        List<String> problems = new ArrayList<>(cluster.violations());
        cluster.unfinishedJobs().forEach(id -> problems.add("open " + id));
        problems.addAll(cluster.serviceLevels().starved());
        ThreeZoneFixtures.runningReplicas(cluster)
                .forEach(
                        (model, byZone) -> {
                            int modelNumber = Integer.parseInt(model.substring(3));
                            if (ThreeZoneFixtures.replicaCount(byZone)
                                    != (modelNumber % 3 == 1 ? 0 : 6)) {
                                problems.add(model + " has " + byZone);
                            }
                        });
        return problems;
    }
}
