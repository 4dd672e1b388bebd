package io.quincelead.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.worker.MisroutedWorker;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerMessageCodecTest {
    private static byte[] bytes(String json) {
        return json.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void misroutedWorkerKeepsItsWireForm() {
        MisroutedWorker worker =
                new MisroutedWorker("m-7", "10.0.0.7:9", "c8", "z1", true, "worker-2", true, 41);

        byte[] encoded = PeerMessageCodec.encodeMisroutedWorker("worker-2", worker);

        assertEquals(
                "{\"from\":\"worker-2\",\"host\":\"m-7\",\"addr\":\"10.0.0.7:9\",\"shape\":\"c8\","
                        + "\"site\":\"z1\",\"preemptible\":true,\"stuck\":true,\"term\":41}",
                new String(encoded, StandardCharsets.UTF_8));
        ObjectNode message = PeerMessageCodec.parse(encoded);
        assertNotNull(message);
        assertEquals(worker, PeerMessageCodec.decodeMisroutedWorker(message));
    }

    @Test
    void statusOfAnEmptyShardKeepsItsWireForm() {
        byte[] encoded = PeerMessageCodec.encodeStatus("worker-1", 12, 3, List.of());

        assertEquals(
                "{\"from\":\"worker-1\",\"hold\":12,\"seq\":3,\"fit\":[],\"booting\":[]}",
                new String(encoded, StandardCharsets.UTF_8));
    }

    @Test
    void statusIsDecodedWithTheTimeOfItsArrival() {
        ObjectNode message =
                PeerMessageCodec.parse(
                        bytes(
                                "{\"from\":\"worker-1\",\"hold\":12,\"seq\":3,"
                                        + "\"fit\":[\"a\",\"b\"],\"booting\":[\"c\"]}"));

        assertNotNull(message);
        assertEquals("worker-1", PeerMessageCodec.senderId(message));
        assertEquals(
                new PeerStatus(500, 12, 3, Set.of("a", "b"), Set.of("c")),
                PeerMessageCodec.decodeStatus(message, 500));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{}", "{\"from\":7}", "{\"host\":\"m-7\"}"})
    void messageWithoutASenderIsRejected(String body) {
        assertNull(PeerMessageCodec.parse(bytes(body)));
    }
}
