package io.quincelead.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.GoldenTable;
import io.quincelead.simulation.GoldenTable.Row;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Each stored record of {@code golden/records.tsv} is decoded from the store and encoded again,
 * byte for byte.
 */
class GoldenRecordsTest {
    /**
     * Kinds of records that only their writer reads; their bytes are compared where they are
     * written, together with the messages.
     */
    private static final Set<String> WRITTEN_ONLY = Set.of("a/r/", "a/rn", "a/ti", "z/");

    private ClusterMembership membership;
    private MachineTypeCatalog catalog;
    private JobTable jobs;
    private MachineTable machines;
    private ZoneTable zones;
    private Policy policy;

    static Stream<Row> records() {
        return GoldenTable.rows("records").stream()
                .filter(row -> !WRITTEN_ONLY.contains(kind(row)));
    }

    private static String kind(Row row) {
        return row.name().substring(0, row.name().indexOf(' '));
    }

    /** Loads a controller's views from a store that holds these records. */
    private void loadRecords(List<Row> rows) {
        SimulatedClock clock = new SimulatedClock(1);
        SimulatedClock.SimulatedProcess eventLoop = clock.newProcess();
        ObjectNode page = WireFormat.newMap().put("truncated", false).put("generation", 10);
        ArrayNode items = page.putArray("items");
        rows.forEach(
                row ->
                        items.addObject()
                                .put("path", row.head())
                                .put("stamp", 5)
                                .set("value", row.decodeBody()));
        StoreClient store =
                new StoreClient(
                        eventLoop,
                        (address, method, path, codec, body, timeoutMs, reply) -> {
                            if (path.startsWith("/store?")) {
                                clock.schedule(
                                        1,
                                        () -> reply.onResponse(200, WireFormat.CBOR.encode(page)));
                            }
                        },
                        TestSettings.SINGLE_CONTROLLER);
        WatchCache watchCache = new WatchCache(eventLoop, store, 400);
        membership = new ClusterMembership(TestSettings.SINGLE_CONTROLLER, watchCache);
        jobs = new JobTable(eventLoop, watchCache);
        machines = new MachineTable(watchCache);
        catalog = new MachineTypeCatalog(watchCache);
        zones = new ZoneTable(watchCache);
        policy = new Policy(watchCache);
        watchCache.start();
        clock.runUntil(1_000);
        assertTrue(watchCache.isSynced());
    }

    private JsonNode reencode(String kind, String rest, Row row) throws InvalidRecordException {
        String entry = rest.contains("/") ? rest.substring(0, rest.indexOf('/')) : rest;
        return switch (kind) {
            case "a/lead" -> membership.leaderRecord().encode();
            case "a/term" -> WireFormat.newMap().put("n", membership.latestFencingToken());
            case "a/n/" ->
                    WireFormat.newMap()
                            .put("a", membership.member(rest).address())
                            .put("i", membership.member(rest).incarnation())
                            .put("g", membership.member(rest).leaseId());
            case "a/b/" -> membership.shardOf(rest).encode();
            case "a/c/" -> catalog.get(rest).encode();
            case "a/j/" -> jobs.get(rest).encode();
            case "a/t/" ->
                    jobs.get(entry)
                            .pages[Integer.parseInt(rest.substring(rest.indexOf('/') + 1))]
                            .edit()
                            .encode();
            case "a/m/" -> {
                Transaction transaction = new Transaction();
                machines.beginEdits(transaction).put(machines.all().iterator().next());
                yield transaction.encode().path("then").get(0).path("value");
            }
            case "a/oz/" -> zones.get(rest).encode();
            case "a/oc/head" -> PriorityClassesCodec.encodeHead(policy.records().classesHead());
            case "a/oc/p/" ->
                    PriorityClassesCodec.encodePart(
                            PriorityClassesCodec.encodeParts(
                                            policy.records().loadGeneration(Long.parseLong(entry)))
                                    .get(0));
            case "a/oc/x/" ->
                    PriorityClassesCodec.encodeUnreadable(
                            policy.records().unreadableGenerationByMember().get(rest));
            case "a/ok/head" -> CalendarCodec.encodeHead(policy.records().calendarHead());
            case "a/ok/e/" -> CalendarCodec.encodeEntry(policy.records().entries().get(rest));
            case "a/ok/o/" -> OccurrenceCodec.encode(policy.records().occurrences().get(rest));
            case "a/ok/m/" -> CalendarCodec.encodeHistory(policy.records().historyOf(rest));
            case "a/ok/s/" ->
                    CalendarCodec.encodeCompletion(
                            policy.records().uncountedCompletions().get(rest));
            case "z/oe/" ->
                    OccurrenceCodec.encodeSummary(
                                    OccurrenceCodec.decode(
                                            entry,
                                            rest.substring(rest.indexOf('/') + 1),
                                            row.decodeBody()))
                            .put("closed", row.decodeBody().path("closed").asLong())
                            .put("unfinished", row.decodeBody().path("unfinished").asInt());
            default -> throw new IllegalArgumentException(kind);
        };
    }

    @ParameterizedTest
    @MethodSource("records")
    void recordIsReadAndWrittenAgain(Row row) throws InvalidRecordException {
        String kind = kind(row);
        // A page of task states is read together with its job.
        List<Row> job =
                kind.equals("a/t/")
                        ? GoldenTable.rows("records", "a/j/")
                                .filter(
                                        r ->
                                                row.head()
                                                        .startsWith(
                                                                "a/t/"
                                                                        + r.head().substring(4)
                                                                        + "/"))
                                .limit(1)
                                .toList()
                        : List.of();
        loadRecords(Stream.concat(job.stream(), Stream.of(row)).toList());
        assertEquals(
                row.toString(),
                row.withValue(
                                reencode(
                                        kind,
                                        row.head()
                                                .substring(
                                                        Math.min(
                                                                kind.length(),
                                                                row.head().length())),
                                        row))
                        .toString());
    }

    /** A submission has the form of the job's record, field by field. */
    @Test
    void submissionsAreReadAndWrittenAgain() throws JobSpec.MalformedJobException {
        List<Row> accepted =
                GoldenTable.rows("messages", "users POST /v2/runs #")
                        .filter(
                                row ->
                                        row.decodeBody().path("vcpus").asDouble() < 500
                                                && row.decodeBody().path("members").asInt() > 0)
                        .toList();
        assertTrue(accepted.size() > 4, "" + accepted.size());
        int decodedCount = 0;
        for (Row row : accepted) {
            try {
                assertEquals(
                        row.toString(),
                        row.withValue(JobSpec.decode(row.decodeBody()).encode()).toString());
                decodedCount++;
            } catch (JobSpec.MalformedJobException e) {
                assertTrue(row.decodeBody().size() < 18, row + ": " + e.getMessage());
            }
        }
        assertTrue(decodedCount > 4, "" + decodedCount);
    }
}
