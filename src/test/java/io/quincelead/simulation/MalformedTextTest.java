package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages with a text that isn't UTF-8: half of a surrogate pair, as of a text that was cut. */
class MalformedTextTest {
    private static final String PLACEHOLDER = "XYZ";
    private static final byte[] HALF_PAIR = {(byte) 0xED, (byte) 0xA0, (byte) 0xBD};
    private final List<Integer> statuses = new ArrayList<>();

    private static SimulatedCluster cluster() {
        return new SimulatedCluster(
                7, List.of(SimulatedCloud.MachineType.small(5, List.of("a", "b"), 6)));
    }

    private static byte[] encodeWithHalfPair(ObjectNode message) {
        byte[] body = WireFormat.CBOR.encode(message);
        String ascii = new String(body, StandardCharsets.ISO_8859_1);
        System.arraycopy(HALF_PAIR, 0, body, ascii.indexOf(PLACEHOLDER), HALF_PAIR.length);
        return body;
    }

    private void sendToAll(SimulatedCluster cluster, String path, byte[] body) {
        for (SimulatedCluster.SimulatedController controller : cluster.controllers) {
            cluster.network.call(
                    SimulatedCluster.USERS_ADDRESS,
                    controller.userAddress,
                    "POST",
                    path,
                    body,
                    5_000,
                    (status, responseBody, retryAfterSeconds) -> statuses.add(status));
        }
    }

    /** One malformed submission stopped every later commit of each controller that read it. */
    @ParameterizedTest
    @EnumSource(
            value = JobSpec.Priority.class,
            names = {"HIGH", "NORMAL"})
    void malformedSubmissionIsRefusedAndStopsNoOtherJob(JobSpec.Priority priority) {
        SimulatedCluster cluster = cluster();
        cluster.start();
        cluster.submitAfter(2_000, JobFixtures.array(1, "red", priority, 4, 1, 20));
        ObjectNode malformed =
                JobFixtures.arrayJob(2, "red", priority, 1)
                        .runtimeSeconds(5)
                        .image("img-" + PLACEHOLDER, 0.5)
                        .build()
                        .encode();
        cluster.after(15_000, () -> sendToAll(cluster, "/v2/runs", encodeWithHalfPair(malformed)));
        cluster.submitAfter(17_000, JobFixtures.array(3, "blue", priority, 2, 1, 5));

        cluster.runUntil(90_000);

        assertEquals(List.of(400, 400, 400), statuses);
        assertAllJobsFinished(cluster, 2);
    }

    /** A worker's malformed text would be part of the response and of its machine's record. */
    @Test
    void malformedHeartbeatIsRefused() {
        SimulatedCluster cluster = cluster();
        cluster.start();
        ObjectNode heartbeat =
                WireFormat.newMap()
                        .put("host", "i-" + PLACEHOLDER)
                        .put("addr", "10.9.0.1:9000")
                        .put("tenure", 1)
                        .put("serial", 1)
                        .put("epoch", 0);
        cluster.after(
                15_000, () -> sendToAll(cluster, "/v1/report", encodeWithHalfPair(heartbeat)));

        cluster.runUntil(30_000);

        assertEquals(List.of(400, 400, 400), statuses);
    }
}
