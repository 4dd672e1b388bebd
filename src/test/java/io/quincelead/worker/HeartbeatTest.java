package io.quincelead.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A heartbeat is evidence: one that can't be parsed completely must be rejected, because a
 * truncated task list would show the missing tasks as terminated.
 */
class HeartbeatTest {
    private static ObjectNode heartbeat() {
        ObjectNode heartbeat =
                WireFormat.newMap()
                        .put("host", "i-1")
                        .put("tenure", 2)
                        .put("serial", 7)
                        .put("epoch", 41)
                        .put("unknown", 1);
        heartbeat.putObject("more").putArray("x").addObject().put("host", "i-2");
        heartbeat
                .putArray("members")
                .add(attempt("wk-1/0", 1, "ended").put("exitReason", "busy"))
                .add(attempt("wk-1/0", 2, "running").put("later", true))
                .add(attempt("wk-1/0", 3, "ended").put("exitReason", "done"))
                .add(attempt("wk-2/5", 1, "fetching"));
        return heartbeat;
    }

    private static ObjectNode attempt(String taskId, long attempt, String status) {
        return WireFormat.newMap().put("member", taskId).put("try", attempt).put("status", status);
    }

    @Test
    void attemptsOfATaskAreKeptApartAndARunningOneComesFirst() {
        Heartbeat heartbeat = Heartbeat.parse(WireFormat.CBOR.encode(heartbeat()));
        assertEquals(2, heartbeat.attempts.size());
        Heartbeat.ReportedAttempt first = heartbeat.attempts.get("wk-1/0");
        assertEquals(2, first.attempt);
        assertEquals("busy", Heartbeat.ReportedAttempt.find(first, 1).exitReason);
        assertEquals("done", Heartbeat.ReportedAttempt.find(first, 3).exitReason);
        assertNull(Heartbeat.ReportedAttempt.find(first, 4));
        assertEquals(-1, heartbeat.reclaimNoticeSeconds);
        assertEquals(41, heartbeat.fencingToken);
    }

    @Test
    void incompleteHeartbeatIsRejected() {
        byte[] whole = WireFormat.CBOR.encode(heartbeat());
        for (int length = 0; length < whole.length; length++) {
            assertNull(
                    Heartbeat.parse(Arrays.copyOf(whole, length)), "cut to " + length + " bytes");
        }
        assertNull(
                Heartbeat.parse(Arrays.copyOf(whole, whole.length + 1)), "with a byte behind it");
        assertNull(Heartbeat.parse(WireFormat.CBOR.encode(heartbeat().put("epoch", 1.5))));
        assertNull(Heartbeat.parse(WireFormat.CBOR.encode(heartbeat().put("members", "none"))));
        assertNull(
                Heartbeat.parse(
                        WireFormat.CBOR.encode((ObjectNode) heartbeat().without("serial"))));
        assertNotNull(Heartbeat.parse(WireFormat.CBOR.encode(heartbeat().putNull("members"))));
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 5_000; i++) {
            byte[] corrupted = whole.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            Heartbeat.parse(corrupted);
        }
    }
}
