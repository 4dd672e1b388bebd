package io.quincelead.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A report is evidence: what can't be read whole must not pass for a list without the tasks that were cut off. */
class ReportTest {
    private static ObjectNode report() {
        ObjectNode n = Codec.map().put("host", "i-1").put("tenure", 2).put("serial", 7).put("epoch", 41).put("unknown", 1);
        n.putObject("more").putArray("x").addObject().put("host", "i-2");
        n.putArray("members")
                .add(entry("wk-1/0", 1, "ended").put("exitReason", "busy"))
                .add(entry("wk-1/0", 2, "running").put("later", true))
                .add(entry("wk-1/0", 3, "ended").put("exitReason", "done"))
                .add(entry("wk-2/5", 1, "fetching"));
        return n;
    }

    private static ObjectNode entry(String member, long attempt, String status) {
        return Codec.map().put("member", member).put("try", attempt).put("status", status);
    }

    @Test void attemptsOfATaskAreKeptApartAndARunningOneComesFirst() {
        Report r = Report.read(Codec.CBOR.write(report()));
        assertEquals(2, r.members.size());
        Report.Shown first = r.members.get("wk-1/0");
        assertEquals(2, first.attempt);
        assertEquals("busy", Report.Shown.of(first, 1).reason);
        assertEquals("done", Report.Shown.of(first, 3).reason);
        assertNull(Report.Shown.of(first, 4));
        assertEquals(-1, r.warningS);
        assertEquals(41, r.epoch);
    }

    @Test void whatIsNoWholeReportIsNone() {
        byte[] whole = Codec.CBOR.write(report());
        for (int n = 0; n < whole.length; n++) {
            assertNull(Report.read(Arrays.copyOf(whole, n)), "cut to " + n + " bytes");
        }
        assertNull(Report.read(Arrays.copyOf(whole, whole.length + 1)), "with a byte behind it");
        assertNull(Report.read(Codec.CBOR.write(report().put("epoch", 1.5))));
        assertNull(Report.read(Codec.CBOR.write(report().put("members", "none"))));
        assertNull(Report.read(Codec.CBOR.write((ObjectNode) report().without("serial"))));
        assertNotNull(Report.read(Codec.CBOR.write(report().putNull("members"))));
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 5_000; i++) {
            byte[] bad = whole.clone();
            bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
            Report.read(bad);
        }
    }
}
