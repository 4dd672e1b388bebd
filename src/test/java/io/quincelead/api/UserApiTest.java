package io.quincelead.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.simulation.SimulatedCloud;
import io.quincelead.simulation.SimulatedCluster;
import io.quincelead.transport.WireFormat;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the HTTP statuses of the user API against a real controller in a simulated cluster. */
class UserApiTest {
    private final SimulatedCluster cluster = new SimulatedCluster(1);
    private int status;
    private int retryAfter;
    private ObjectNode response;

    @BeforeEach
    void start() {
        cluster.start();
        cluster.clock.runUntil(8_000);
    }

    private int call(String method, String path, byte[] body) {
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                "10.0.0.1:8080",
                method,
                path,
                body,
                5_000,
                (responseStatus, responseBody, responseRetryAfter) -> {
                    status = responseStatus;
                    response = WireFormat.CBOR.decodeMap(responseBody);
                    retryAfter = responseRetryAfter;
                });
        cluster.clock.runUntil(cluster.clock.nowMillis() + 3_000);
        return status;
    }

    private ObjectNode validJob(int id) {
        JobSpec spec = JobFixtures.array(id, "red", JobSpec.Priority.HIGH, 2, 1, 5);
        cluster.upload(spec);
        return spec.encode();
    }

    private int submit(ObjectNode job) {
        return call("POST", "/v2/runs", WireFormat.CBOR.encode(job));
    }

    @Test
    void repeatedSubmissionReturnsCurrentStatus() {
        assertEquals(201, submit(validJob(1)));
        assertEquals("pending", response.path("status").asText());
        assertEquals(200, submit(validJob(1)));
        cluster.clock.runUntil(60_000);
        assertEquals(200, submit(validJob(1)));
        assertEquals("done", response.path("status").asText());
        assertEquals(200, call("GET", "/v2/runs/wk-000001", null));
        assertEquals(2, response.path("done").asInt());
    }

    @Test
    void malformedSubmissionReturns400() {
        assertEquals(400, call("POST", "/v2/runs", new byte[] {1, 2, 3}));
        assertEquals(400, call("POST", "/v2/runs", WireFormat.CBOR.encode(WireFormat.newList())));
        assertEquals(400, submit(validJob(2).put("members", 0)));
        assertEquals(400, submit(validJob(2).put("members", 1.5)));
        assertEquals(400, submit(validJob(2).put("members", 100_001)));
        assertEquals(400, submit(validJob(2).put("vcpus", -1)));
        assertEquals(400, submit(validJob(2).put("vcpus", Double.NaN)));
        assertEquals(400, submit(validJob(2).put("ramGb", "much")));
        assertEquals(400, submit(validJob(2).put("urgency", "low")));
        assertEquals(400, submit(validJob(2).put("nameId", "a/../b")));
        assertEquals(400, submit(validJob(2).put("shapes", "gull")));
    }

    /** Such a job was accepted, and its record outgrew the store's limit with its placements. */
    @Test
    void jobWhoseRecordWouldOutgrowItsLimitReturns400() {
        ObjectNode fewTasks = validJob(4);
        ArrayNode shapes = fewTasks.putArray("shapes").add("small");
        for (int i = 0; i < 400; i++) {
            shapes.add(String.format("type-%03d", i));
        }
        assertEquals(201, submit(fewTasks));
        ObjectNode manyTasks = validJob(5).put("members", 200);
        manyTasks.set("shapes", shapes);

        assertEquals(400, submit(manyTasks));

        assertTrue(response.path("error").asText().contains("shapes"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nameId",
                "jobClass",
                "owner",
                "mode",
                "urgency",
                "members",
                "vcpus",
                "ramGb",
                "preemptible",
                "runtimeS"
            })
    void missingFieldReturns400AndIsNamedInError(String field) {
        ObjectNode submission = validJob(2);
        submission.remove(field);

        assertEquals(400, submit(submission));

        assertTrue(response.path("error").asText().contains(field));
    }

    @Test
    void unsatisfiableJobReturns422() {
        assertEquals(422, submit(validJob(3).put("owner", "green")));
        assertEquals(422, submit(validJob(3).put("vcpus", 17)));
        assertEquals(422, submit(validJob(3).put("site", "nowhere")));
        assertEquals(422, submit(validJob(3).put("mode", "ensemble").put("members", 41)));
        assertTrue(response.path("error").asText().contains("members"));
        ObjectNode spreadInOneZone =
                validJob(3).put("mode", "ensemble").put("oneZone", true).put("scatter", true);
        assertEquals(422, submit(spreadInOneZone));
        assertTrue(response.path("error").asText().contains("scatter"));
        ObjectNode gpuJobOnSmallType = validJob(3);
        gpuJobOnSmallType.putArray("shapes").add("small");
        assertEquals(422, submit(gpuJobOnSmallType.put("cards", 1)));
    }

    /**
     * At most half of a gang's tasks may be in one zone; such a gang was accepted and never began.
     */
    @Test
    void spreadGangWhoseMachinesAreInOneZoneReturns422() {
        SimulatedCluster oneZone =
                new SimulatedCluster(
                        3,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "small", 8, 0, 32, 0.4, 0.15, 5, List.of("a"), 8)));
        oneZone.start();
        oneZone.clock.runUntil(8_000);
        JobSpec gang =
                JobFixtures.gang(6, "red", JobSpec.Priority.NORMAL, 4)
                        .zoneSpread(true)
                        .runtimeSeconds(10)
                        .build();
        int[] statuses = new int[1];
        oneZone.network.call(
                SimulatedCluster.USERS_ADDRESS,
                "10.0.0.1:8080",
                "POST",
                "/v2/runs",
                WireFormat.CBOR.encode(gang.encode()),
                5_000,
                (responseStatus, responseBody, retryAfterSeconds) -> statuses[0] = responseStatus);

        oneZone.clock.runUntil(12_000);

        assertEquals(422, statuses[0]);
        assertEquals(201, submit(gang.encode()));
    }

    @Test
    void unknownJobsPathsAndMethodsAreRejected() {
        assertEquals(404, call("GET", "/v2/runs/wk-123", null));
        assertEquals(404, call("GET", "/v2/runs/nonsense", null));
        assertEquals(
                404,
                call(
                        "POST",
                        "/v2/runs/wk-123/cancel",
                        WireFormat.CBOR.encode(WireFormat.newMap())));
        assertEquals(404, call("GET", "/nothing", null));
        assertEquals(405, call("DELETE", "/v2/runs", null));
        assertEquals(405, call("POST", "/ready", null));
        assertEquals(200, call("GET", "/ready", null));
        assertEquals(
                400,
                call(
                        "POST",
                        "/v1/report",
                        WireFormat.CBOR.encode(WireFormat.newMap().put("host", 7))));
    }

    @Test
    void cancellationIsFinalAndIdempotent() {
        assertEquals(201, submit(validJob(4)));
        assertEquals(
                200,
                call(
                        "POST",
                        "/v2/runs/wk-000004/cancel",
                        WireFormat.CBOR.encode(WireFormat.newMap())));
        assertEquals("cancelled", response.path("status").asText());
        assertEquals(
                200,
                call(
                        "POST",
                        "/v2/runs/wk-000004/cancel",
                        WireFormat.CBOR.encode(WireFormat.newMap())));
        assertEquals(200, call("GET", "/v2/runs/wk-000004", null));
        assertEquals("cancelled", response.path("status").asText());
    }

    @Test
    void storeOutageReturns503WithOneSecondRetryAfter() {
        cluster.store.setDown(true);
        cluster.clock.runUntil(cluster.clock.nowMillis() + 10_000);
        long startMillis = cluster.clock.nowMillis();
        assertEquals(503, submit(validJob(5)));
        assertEquals(1, retryAfter);
        assertEquals(503, call("GET", "/v2/runs/wk-000001", null));
        assertEquals(503, call("GET", "/ready", null));
        assertTrue(cluster.clock.nowMillis() - startMillis <= 9_000);
    }
}
