package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import io.quincelead.transport.WireFormat;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the messages of every protocol and every stored record, byte for byte, with {@code
 * golden/messages.tsv} and {@code golden/records.tsv}. {@link #main} regenerates the tables and
 * prints each form that is new or gone. It is run after an intended change of a form, or after a
 * change of behaviour, which produces another history and may neither add nor remove a form.
 */
class GoldenMessagesTest {
    /** Seeds whose scenarios together produce every form that the tables have ever contained. */
    private static final long[] SEEDS = {4702, 4704, 4716, 4724, 4738, 4749, 4754, 4735};

    private static Map<String, GoldenTable.Row> messages;
    private static Map<String, GoldenTable.Row> records;

    public static void main(String[] args) throws IOException {
        GoldenCapture capture = play(SEEDS);
        rewrite("messages", capture.messages());
        rewrite("records", capture.records());
    }

    private static void rewrite(String table, List<GoldenTable.Row> rows) throws IOException {
        Set<String> before = GoldenCapture.formsOf(GoldenTable.rows(table));
        Set<String> after = GoldenCapture.formsOf(rows);
        before.stream()
                .filter(form -> !after.contains(form))
                .forEach(form -> System.out.println(table + ": gone: " + form));
        after.stream()
                .filter(form -> !before.contains(form))
                .forEach(form -> System.out.println(table + ": new: " + form));
        GoldenTable.write(table, rows);
    }

    private static Map<String, GoldenTable.Row> byName(List<GoldenTable.Row> rows) {
        return rows.stream().collect(Collectors.toMap(GoldenTable.Row::name, Function.identity()));
    }

    @BeforeAll
    static void playOnce() {
        GoldenCapture capture = play(SEEDS);
        messages = byName(capture.messages());
        records = byName(capture.records());
    }

    static Stream<String> messages() {
        return GoldenTable.rows("messages").stream().map(GoldenTable.Row::name);
    }

    static Stream<String> records() {
        return GoldenTable.rows("records").stream().map(GoldenTable.Row::name);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageIsWrittenAsBefore(String name) {
        assertEquals(
                byName(GoldenTable.rows("messages")).get(name).toString(),
                String.valueOf(messages.get(name)));
    }

    @ParameterizedTest
    @MethodSource("records")
    void recordIsWrittenAsBefore(String name) {
        assertEquals(
                byName(GoldenTable.rows("records")).get(name).toString(),
                String.valueOf(records.get(name)));
    }

    @Test
    void noFormIsNewOrGone() {
        assertEquals(byName(GoldenTable.rows("messages")).keySet(), messages.keySet());
        assertEquals(byName(GoldenTable.rows("records")).keySet(), records.keySet());
    }

    /** Captures examples from the scenarios of all these seeds. */
    static GoldenCapture play(long... seeds) {
        GoldenCapture capture = new GoldenCapture();
        for (long seed : seeds) {
            play(capture, seed);
        }
        return capture;
    }

    /** Captures examples from a scenario that produces every form of message and record. */
    private static void play(GoldenCapture capture, long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                SimulatedCloud.MachineType.small(5, List.of("a", "b", "c"), 14),
                                new SimulatedCloud.MachineType(
                                        "big", 16, 4, 64, 1.0, 0.4, 8, List.of("a", "b"), 3)),
                        3);
        cluster.setTeam("red", 40, 60, 2, 4);
        cluster.operatorSettings =
                OperatorSettings.DEFAULTS.withZoneRecovery(
                        new OperatorSettings.ZoneRecovery(true, 20, 30, 0.1));
        cluster.store.maxPageSize = 30;
        cluster.store.maxRetainedChanges = 40;
        cluster.cloud.addRunningMachines("small", "c", 2);
        capture.observe(cluster);
        cluster.start();
        scheduleUserRequests(cluster);
        scheduleOperatorCommands(cluster);
        scheduleFaults(cluster);
        cluster.runUntil(520_000);
    }

    private static void scheduleUserRequests(SimulatedCluster cluster) {
        for (int i = 1; i <= 45; i++) {
            JobSpec job = JobFixtures.randomJob(i, cluster.random());
            long atMillis = 3_000 + i * 3_000L;
            cluster.submitAfter(atMillis, job);
            if (job.isService() || i % 6 == 0) {
                cluster.cancelAfter(atMillis + (job.isService() ? 150_000 : 9_000), job.jobId());
            }
            cluster.queryAfter(atMillis + 500, "wk-9" + job.jobId().substring(3));
        }
        for (int i = 60; i < 80; i++) {
            JobSpec shortJob = JobFixtures.array(i, "blue", JobSpec.Priority.HIGH, 1, 1, 1);
            cluster.submitAfter(80_000 + (i - 60) * 2_500L, shortJob);
        }
        JobSpec largeJob = JobFixtures.array(50, "red", JobSpec.Priority.NORMAL, 450, 0.2, 15);
        cluster.submitAfter(20_000, largeJob);
        JobSpec deadlineJob =
                JobFixtures.arrayJob(51, "blue", JobSpec.Priority.HIGH, 2)
                        .cpus(1)
                        .runtimeSeconds(10)
                        .machineTypes(List.of("small", "big"))
                        .zone("a")
                        .checkpointIntervalSeconds(5)
                        .deadlineSeconds(90)
                        .build();
        cluster.submitAfter(25_000, deadlineJob);
        JobSpec service =
                JobFixtures.service(52, "red", JobSpec.Priority.PRODUCTION, 6)
                        .cpus(1)
                        .zoneSpread(true)
                        .build();
        cluster.submitAfter(28_000, service);
        for (int second = 30; second < 200; second += 17) {
            cluster.after(second * 1000L, cluster.users::sendUnusualRequest);
            cluster.after(
                    second * 1000L + 300,
                    () ->
                            cluster.network.call(
                                    SimulatedCluster.USERS_ADDRESS,
                                    cluster.controllers.get(2).userAddress,
                                    "GET",
                                    "/ready",
                                    null,
                                    1_000,
                                    (status, body, retry) -> {}));
        }
        cluster.submitAfter(40_000, largeJob);
        cluster.cancelAfter(41_000, "wk-977777");
    }

    private static void commandAt(
            SimulatedCluster cluster, long atMillis, int controller, String path, String body) {
        cluster.after(
                atMillis,
                () ->
                        cluster.sendOperatorCommand(
                                controller,
                                path,
                                OperatorCommands.json(body),
                                (status, response) -> {}));
    }

    private static void putAt(
            SimulatedCluster cluster, long atMillis, String key, ObjectNode value) {
        ObjectNode transaction = WireFormat.newMap();
        transaction.putArray("guards");
        transaction.putArray("then").addObject().put("put", key).set("value", value);
        cluster.after(
                atMillis,
                () ->
                        cluster.network.call(
                                "10.0.0.1:0",
                                SimulatedCluster.STORE_ADDRESS,
                                "POST",
                                "/commit",
                                WireFormat.CBOR.encode(transaction),
                                1_000,
                                (status, body, retry) -> {}));
    }

    private static void scheduleOperatorCommands(SimulatedCluster cluster) {
        applyPriorityClasses(cluster);
        addCalendarEntries(cluster);
        changeCalendarEntries(cluster);
        queryOperatorState(cluster);
    }

    /**
     * Changes the priority classes and overwrites one generation as a later version would write it;
     * then a controller crashes and reads it at its restart.
     */
    private static void applyPriorityClasses(SimulatedCluster cluster) {
        String classes =
                "[{'name':'storm','description':'first','rank':10,'match':{'owner':'blue','urgency':'normal'},'keep':'urgent','passes':'normal','beginWithinS':60,'leastShare':0.25},"
                    + "{'name':'models','rank':20,'match':{'mode':'standing'},'zonePatienceS':25,'zoneSpare':0.5},{'name':'rest','rank':800,'match':{'jobClass':'slow'},'keep':'never'}]";
        commandAt(
                cluster,
                12_000,
                0,
                "/ops/classes/apply",
                "{'change':'c1','dryRun':true,'classes':" + classes + "}");
        commandAt(
                cluster,
                14_000,
                1,
                "/ops/classes/apply",
                "{'change':'c1','classes':" + classes + "}");
        commandAt(
                cluster,
                14_050,
                2,
                "/ops/classes/apply",
                "{'change':'c9','classes':" + classes + "}");
        commandAt(
                cluster,
                18_000,
                1,
                "/ops/classes/apply",
                "{'change':'c1','classes':" + classes + "}");
        commandAt(
                cluster,
                22_000,
                2,
                "/ops/classes/apply",
                "{'change':'c2','classes':[{'name':'other','rank':5}]}");
        commandAt(cluster, 26_000, 0, "/ops/classes/rollback", "{'change':'c3','to':1}");
        commandAt(
                cluster,
                30_000,
                0,
                "/ops/classes/apply",
                "{'change':'c4','classes':[{'name':'four','rank':5}]}");
        putAt(
                cluster,
                33_000,
                "a/oc/p/4/0",
                WireFormat.newMap()
                        .put(
                                "t",
                                "{\"classes\":[{\"name\":\"x\",\"rank\":1,\"fromTheFuture\":true}]}"));
        cluster.faults.crashAfter(34_000, 2, 100);
    }

    private static void addCalendarEntries(SimulatedCluster cluster) {
        putAt(
                cluster,
                9_000,
                "a/ok/m/morning",
                WireFormat.newMap()
                        .put("through", 0)
                        .set("cpus", WireFormat.newList().add(7.5).add(8.5)));
        commandAt(
                cluster,
                10_000,
                0,
                "/ops/calendar/add",
                OperatorCommands.calendarEntry(
                                "morning",
                                130_000,
                                60,
                                "{'owner':'blue'},{'jobClass':'quick','mode':'array'}")
                        .toString());
        commandAt(
                cluster,
                10_500,
                1,
                "/ops/calendar/add",
                OperatorCommands.calendarEntry("noon", 330_000, 250, "{'urgency':'high'}")
                        .toString());
        commandAt(
                cluster,
                11_000,
                1,
                "/ops/calendar/add",
                OperatorCommands.calendarEntry("dates", 330_000, 250, "{}")
                        .put("dryRun", true)
                        .toString());
        commandAt(
                cluster,
                11_500,
                1,
                "/ops/calendar/add",
                "{'change':'y1','entry':{'name':'yearly','time':'06:30','zone':'America/Toronto','dates':['2027-01-31','--02-29'],'covers':[{'owner':'red'}],"
                    + "'skipped':['2027-01-31'],'moved':{'2028-02-29':'07:15'}}}");
    }

    private static void changeCalendarEntries(SimulatedCluster cluster) {
        String date =
                java.time.Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS)
                        .toString()
                        .substring(0, 10);
        String nextDate =
                java.time.Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS + 86_400_000)
                        .toString()
                        .substring(0, 10);
        commandAt(
                cluster,
                90_000,
                0,
                "/ops/calendar/move",
                "{'change':'m1','name':'noon','date':'" + nextDate + "','time':'05:30'}");
        commandAt(
                cluster,
                91_000,
                0,
                "/ops/calendar/move",
                "{'change':'m1','name':'noon','date':'" + nextDate + "','time':'05:30'}");
        commandAt(
                cluster,
                92_000,
                1,
                "/ops/calendar/skip",
                "{'change':'s1','name':'noon','date':'" + date + "'}");
        commandAt(cluster, 460_000, 1, "/ops/calendar/remove", "{'change':'r1','name':'yearly'}");
    }

    /** Sends every read-only operator command, to each controller in turn. */
    private static void queryOperatorState(SimulatedCluster cluster) {
        for (int second = 15; second < 500; second += 23) {
            int controller = second % 3;
            for (String path :
                    List.of(
                            "/ops/classes/list",
                            "/ops/classes/history",
                            "/ops/calendar/list",
                            "/ops/calendar/next",
                            "/ops/queue",
                            "/ops/zones/list",
                            "/ops/zones/plan")) {
                commandAt(cluster, second * 1000L, controller, path, "{}");
            }
            commandAt(
                    cluster,
                    second * 1000L,
                    controller,
                    "/ops/calendar/ledger",
                    "{'name':'morning'}");
            commandAt(cluster, second * 1000L, controller, "/ops/zones/plan", "{'lost':['a']}");
            cluster.after(second * 1000L, () -> explainWaitingJobs(cluster, controller));
        }
    }

    private static void explainWaitingJobs(SimulatedCluster cluster, int controller) {
        cluster.acceptedJobs().stream()
                .filter(id -> !cluster.hasFinalStatus(id))
                .limit(3)
                .toList()
                .forEach(
                        id ->
                                cluster.sendOperatorCommand(
                                        controller,
                                        "/ops/explain",
                                        WireFormat.newMap().put("job", id),
                                        (status, response) -> {}));
    }

    private static void scheduleFaults(SimulatedCluster cluster) {
        stopLeaderStoreAndCloud(cluster);
        breakMachines(cluster);
        refuseAndLoseStoreResponses(cluster);
        partitionZone(cluster);
        crashZoneAndControllers(cluster);
        cluster.expectFaultsUntil(330_000);
    }

    private static void stopLeaderStoreAndCloud(SimulatedCluster cluster) {
        cluster.faults.crashLeaderAfter(45_000, 12_000);
        cluster.after(70_000, () -> cluster.faults.injectStoreOutage(8_000));
        cluster.after(85_000, () -> cluster.cloud.down = true);
        cluster.after(93_000, () -> cluster.cloud.down = false);
    }

    private static void breakMachines(SimulatedCluster cluster) {
        cluster.after(
                60_000,
                () -> cluster.faults.onRandomMachine(worker -> worker.reclaimNoticeSeconds = 25));
        cluster.after(80_000, () -> cluster.faults.onRandomMachine(SimulatedWorker::crash));
        cluster.after(
                95_000,
                () ->
                        cluster.faults.onRandomMachine(
                                worker -> cluster.faults.makeUnreachableOutbound(worker, 20_000)));
        cluster.after(
                100_000,
                () ->
                        cluster.faults.onRandomMachine(
                                worker -> cluster.faults.makeUnreachableInbound(worker, 30_000)));
        cluster.after(
                105_000,
                () ->
                        cluster.faults.onRandomMachine(
                                worker -> {
                                    worker.setHung(true);
                                    cluster.after(15_000, () -> worker.setHung(false));
                                }));
        cluster.after(
                110_000, () -> cluster.faults.onRandomMachine(worker -> worker.failsTasks = true));
    }

    /**
     * Sends operator commands while the store rejects a controller's requests or its responses get
     * lost.
     */
    private static void refuseAndLoseStoreResponses(SimulatedCluster cluster) {
        cluster.after(
                112_000,
                () -> cluster.faults.injectStoreRefusal((cluster.leaderIndex() + 1) % 3, 14_000));
        commandAt(cluster, 72_000, 0, "/ops/classes/apply", "{'change':'c5','classes':[]}");
        commandAt(cluster, 73_000, 1, "/ops/calendar/ledger", "{'name':'morning'}");
        cluster.after(115_000, () -> cluster.store.responseLossRate = 1);
        commandAt(
                cluster,
                115_500,
                0,
                "/ops/classes/apply",
                "{'change':'c6','classes':[{'name':'six','rank':6}]}");
        cluster.after(118_000, () -> cluster.store.responseLossRate = 0);
        cluster.after(130_000, () -> cluster.store.responseLossRate = 0.2);
        cluster.after(140_000, () -> cluster.store.responseLossRate = 0);
    }

    /**
     * Partitions a zone that operators hold and release, while one controller's watch is delayed.
     */
    private static void partitionZone(SimulatedCluster cluster) {
        cluster.after(150_000, () -> cluster.faults.partitionZone("b", List.of(), 60_000));
        for (int i = 0; i < 4; i++) {
            commandAt(
                    cluster,
                    158_000 + i * 10_000L,
                    0,
                    "/ops/zones/hold",
                    "{'zone':'b','dryRun':true}");
            commandAt(cluster, 159_000 + i * 10_000L, i % 3, "/ops/zones/hold", "{'zone':'b'}");
            commandAt(cluster, 160_000 + i * 10_000L, 1, "/ops/zones/hold", "{'zone':'b'}");
            commandAt(cluster, 161_000 + i * 10_000L, 1, "/ops/zones/release", "{'zone':'b'}");
            commandAt(cluster, 161_600 + i * 10_000L, 1, "/ops/zones/list", "{}");
        }
        cluster.after(
                160_000, () -> cluster.store.setWatchDelayed(cluster.controllers.get(2).ip, true));
        cluster.after(
                195_000, () -> cluster.store.setWatchDelayed(cluster.controllers.get(2).ip, false));
    }

    private static void crashZoneAndControllers(SimulatedCluster cluster) {
        cluster.after(
                240_000,
                () ->
                        cluster.cloud.machines.values().stream()
                                .filter(worker -> worker.zone.equals("c"))
                                .forEach(SimulatedWorker::crash));
        cluster.faults.crashLeaderAfter(300_000, 300);
        cluster.after(310_000, () -> cluster.store.maxExtraLatencyMillis = 1_500);
        cluster.after(325_000, () -> cluster.store.maxExtraLatencyMillis = 0);
        cluster.after(
                310_000,
                () -> {
                    for (int i = 0; i < 3; i++) {
                        cluster.faults.crashController(i, 2_000 + i * 3_000L);
                    }
                });
    }
}
