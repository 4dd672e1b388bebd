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
 * Every protocol's messages and every stored record, byte for byte as they were written when {@code
 * golden/messages.tsv} and {@code golden/records.tsv} were made. {@link #main} makes the tables
 * anew and prints each form that is new or gone: after a change of a form that is meant, or of
 * behaviour, which plays another history and may neither add nor take away a form.
 */
class GoldenMessagesTest {
    /** Seeds whose histories together show every form that the tables have ever shown. */
    private static final long[] SEEDS = {4701, 4704, 4707, 4717, 4734, 4749};

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

    /** The examples of all these seeds' scenarios together. */
    static GoldenCapture play(long... seeds) {
        GoldenCapture capture = new GoldenCapture();
        for (long seed : seeds) {
            play(capture, seed);
        }
        return capture;
    }

    /** A scenario in which everything occurs that has a form of its own. */
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
        users(cluster);
        operators(cluster);
        faults(cluster);
        cluster.runUntil(520_000);
    }

    private static void users(SimulatedCluster cluster) {
        for (int i = 1; i <= 45; i++) {
            JobSpec job = JobFixtures.randomJob(i, cluster.random());
            long at = 3_000 + i * 3_000L;
            cluster.submitAfter(at, job);
            if (job.isService() || i % 6 == 0) {
                cluster.cancelAfter(at + (job.isService() ? 150_000 : 9_000), job.jobId());
            }
            cluster.queryAfter(at + 500, "wk-9" + job.jobId().substring(3));
        }
        for (int i = 60; i < 80; i++) {
            JobSpec brief = JobFixtures.array(i, "blue", JobSpec.Priority.HIGH, 1, 1, 1);
            cluster.submitAfter(80_000 + (i - 60) * 2_500L, brief);
        }
        JobSpec large = JobFixtures.array(50, "red", JobSpec.Priority.NORMAL, 450, 0.2, 15);
        cluster.submitAfter(20_000, large);
        JobSpec due =
                JobFixtures.arrayJob(51, "blue", JobSpec.Priority.HIGH, 2)
                        .cpus(1)
                        .runtimeSeconds(10)
                        .machineTypes(List.of("small", "big"))
                        .zone("a")
                        .checkpointIntervalSeconds(5)
                        .deadlineSeconds(90)
                        .build();
        cluster.submitAfter(25_000, due);
        JobSpec model =
                JobFixtures.service(52, "red", JobSpec.Priority.PRODUCTION, 6)
                        .cpus(1)
                        .zoneSpread(true)
                        .build();
        cluster.submitAfter(28_000, model);
        for (int t = 30; t < 200; t += 17) {
            cluster.after(t * 1000L, cluster.users::sendUnusualRequest);
            cluster.after(
                    t * 1000L + 300,
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
        cluster.submitAfter(40_000, large);
        cluster.cancelAfter(41_000, "wk-977777");
    }

    private static void ask(
            SimulatedCluster cluster, long at, int controller, String path, String body) {
        cluster.after(
                at,
                () ->
                        cluster.sendOperatorCommand(
                                controller,
                                path,
                                OperatorCommands.json(body),
                                (status, out) -> {}));
    }

    private static void put(SimulatedCluster cluster, long at, String key, ObjectNode value) {
        ObjectNode transaction = WireFormat.newMap();
        transaction.putArray("guards");
        transaction.putArray("then").addObject().put("put", key).set("value", value);
        cluster.after(
                at,
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

    private static void operators(SimulatedCluster cluster) {
        applyPriorityClasses(cluster);
        addCalendarEntries(cluster);
        changeCalendar(cluster);
        askForOverviews(cluster);
    }

    /** Changes of the priority classes, one of them by a later version; then its reader ends. */
    private static void applyPriorityClasses(SimulatedCluster cluster) {
        String classes =
                "[{'name':'storm','description':'first','rank':10,'match':{'owner':'blue','urgency':'normal'},'keep':'urgent','passes':'normal','beginWithinS':60,'leastShare':0.25},"
                    + "{'name':'models','rank':20,'match':{'mode':'standing'},'zonePatienceS':25,'zoneSpare':0.5},{'name':'rest','rank':800,'match':{'jobClass':'slow'},'keep':'never'}]";
        ask(
                cluster,
                12_000,
                0,
                "/ops/classes/apply",
                "{'change':'c1','dryRun':true,'classes':" + classes + "}");
        ask(cluster, 14_000, 1, "/ops/classes/apply", "{'change':'c1','classes':" + classes + "}");
        ask(cluster, 14_050, 2, "/ops/classes/apply", "{'change':'c9','classes':" + classes + "}");
        ask(cluster, 18_000, 1, "/ops/classes/apply", "{'change':'c1','classes':" + classes + "}");
        ask(
                cluster,
                22_000,
                2,
                "/ops/classes/apply",
                "{'change':'c2','classes':[{'name':'other','rank':5}]}");
        ask(cluster, 26_000, 0, "/ops/classes/rollback", "{'change':'c3','to':1}");
        ask(
                cluster,
                30_000,
                0,
                "/ops/classes/apply",
                "{'change':'c4','classes':[{'name':'four','rank':5}]}");
        put(
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
        put(
                cluster,
                9_000,
                "a/ok/m/morning",
                WireFormat.newMap()
                        .put("through", 0)
                        .set("cpus", WireFormat.newList().add(7.5).add(8.5)));
        ask(
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
        ask(
                cluster,
                10_500,
                1,
                "/ops/calendar/add",
                OperatorCommands.calendarEntry("noon", 330_000, 250, "{'urgency':'high'}")
                        .toString());
        ask(
                cluster,
                11_000,
                1,
                "/ops/calendar/add",
                OperatorCommands.calendarEntry("dates", 330_000, 250, "{}")
                        .put("dryRun", true)
                        .toString());
        ask(
                cluster,
                11_500,
                1,
                "/ops/calendar/add",
                "{'change':'y1','entry':{'name':'yearly','time':'06:30','zone':'America/Toronto','dates':['2027-01-31','--02-29'],'covers':[{'owner':'red'}],"
                    + "'skipped':['2027-01-31'],'moved':{'2028-02-29':'07:15'}}}");
    }

    private static void changeCalendar(SimulatedCluster cluster) {
        String date =
                java.time.Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS)
                        .toString()
                        .substring(0, 10);
        String next =
                java.time.Instant.ofEpochMilli(SimulatedClock.EPOCH_MILLIS + 86_400_000)
                        .toString()
                        .substring(0, 10);
        ask(
                cluster,
                90_000,
                0,
                "/ops/calendar/move",
                "{'change':'m1','name':'noon','date':'" + next + "','time':'05:30'}");
        ask(
                cluster,
                91_000,
                0,
                "/ops/calendar/move",
                "{'change':'m1','name':'noon','date':'" + next + "','time':'05:30'}");
        ask(
                cluster,
                92_000,
                1,
                "/ops/calendar/skip",
                "{'change':'s1','name':'noon','date':'" + date + "'}");
        ask(cluster, 460_000, 1, "/ops/calendar/remove", "{'change':'r1','name':'yearly'}");
    }

    /** Every question operators have, to each controller in turn. */
    private static void askForOverviews(SimulatedCluster cluster) {
        for (int t = 15; t < 500; t += 23) {
            int c = t % 3;
            for (String path :
                    List.of(
                            "/ops/classes/list",
                            "/ops/classes/history",
                            "/ops/calendar/list",
                            "/ops/calendar/next",
                            "/ops/queue",
                            "/ops/zones/list",
                            "/ops/zones/plan")) {
                ask(cluster, t * 1000L, c, path, "{}");
            }
            ask(cluster, t * 1000L, c, "/ops/calendar/ledger", "{'name':'morning'}");
            ask(cluster, t * 1000L, c, "/ops/zones/plan", "{'lost':['a']}");
            cluster.after(t * 1000L, () -> askWhyJobsWait(cluster, c));
        }
    }

    private static void askWhyJobsWait(SimulatedCluster cluster, int controller) {
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
                                        (status, out) -> {}));
    }

    private static void faults(SimulatedCluster cluster) {
        stopLeaderStoreAndCloud(cluster);
        breakMachines(cluster);
        refuseAndLoseStoreResponses(cluster);
        cutZoneOff(cluster);
        loseZoneAndControllers(cluster);
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
                60_000, () -> cluster.faults.onRandomMachine(m -> m.reclaimNoticeSeconds = 25));
        cluster.after(80_000, () -> cluster.faults.onRandomMachine(SimulatedWorker::crash));
        cluster.after(
                95_000,
                () ->
                        cluster.faults.onRandomMachine(
                                m -> cluster.faults.makeUnreachableOutbound(m, 20_000)));
        cluster.after(
                100_000,
                () ->
                        cluster.faults.onRandomMachine(
                                m -> cluster.faults.makeUnreachableInbound(m, 30_000)));
        cluster.after(
                105_000,
                () ->
                        cluster.faults.onRandomMachine(
                                m -> {
                                    m.setHung(true);
                                    cluster.after(15_000, () -> m.setHung(false));
                                }));
        cluster.after(110_000, () -> cluster.faults.onRandomMachine(m -> m.failsTasks = true));
    }

    /** Operators' commands come while the store refuses a controller or its answers get lost. */
    private static void refuseAndLoseStoreResponses(SimulatedCluster cluster) {
        cluster.after(
                112_000,
                () -> cluster.faults.injectStoreRefusal((cluster.leaderIndex() + 1) % 3, 14_000));
        ask(cluster, 72_000, 0, "/ops/classes/apply", "{'change':'c5','classes':[]}");
        ask(cluster, 73_000, 1, "/ops/calendar/ledger", "{'name':'morning'}");
        cluster.after(115_000, () -> cluster.store.responseLossRate = 1);
        ask(
                cluster,
                115_500,
                0,
                "/ops/classes/apply",
                "{'change':'c6','classes':[{'name':'six','rank':6}]}");
        cluster.after(118_000, () -> cluster.store.responseLossRate = 0);
        cluster.after(130_000, () -> cluster.store.responseLossRate = 0.2);
        cluster.after(140_000, () -> cluster.store.responseLossRate = 0);
    }

    /** A zone is cut off, held and released by operators, while one controller hears nothing. */
    private static void cutZoneOff(SimulatedCluster cluster) {
        cluster.after(150_000, () -> cluster.faults.partitionZone("b", List.of(), 60_000));
        for (int i = 0; i < 4; i++) {
            ask(cluster, 158_000 + i * 10_000L, 0, "/ops/zones/hold", "{'zone':'b','dryRun':true}");
            ask(cluster, 159_000 + i * 10_000L, i % 3, "/ops/zones/hold", "{'zone':'b'}");
            ask(cluster, 160_000 + i * 10_000L, 1, "/ops/zones/hold", "{'zone':'b'}");
            ask(cluster, 161_000 + i * 10_000L, 1, "/ops/zones/release", "{'zone':'b'}");
        }
        cluster.after(
                160_000, () -> cluster.store.setWatchDelayed(cluster.controllers.get(2).ip, true));
        cluster.after(
                195_000, () -> cluster.store.setWatchDelayed(cluster.controllers.get(2).ip, false));
    }

    private static void loseZoneAndControllers(SimulatedCluster cluster) {
        cluster.after(
                240_000,
                () ->
                        cluster.cloud.machines.values().stream()
                                .filter(m -> m.zone.equals("c"))
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
