package io.quincelead.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.simulation.GoldenTable;
import io.quincelead.simulation.GoldenTable.Row;
import io.quincelead.transport.WireFormat;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What workers send in {@code golden/messages.tsv}, reports and the answers to direct commands, is
 * read whole.
 */
class GoldenReportsTest {
    static Stream<Row> reports() {
        return Stream.of(
                        "reports POST /v1/report #",
                        "commands POST /orders -> 200",
                        "commands POST /orders -> 409")
                .flatMap(p -> GoldenTable.rows("messages", p));
    }

    @ParameterizedTest
    @MethodSource("reports")
    void reportIsReadWhole(Row row) {
        Heartbeat r = Heartbeat.parse(row.body());
        ObjectNode read =
                WireFormat.newMap()
                        .put("host", r.host)
                        .put("addr", r.address)
                        .put("shape", r.machineType)
                        .put("site", r.zone)
                        .put("preemptible", r.spot)
                        .put("tenure", r.agentEpoch)
                        .put("serial", r.serial)
                        .put("epoch", r.fencingToken);
        if (r.reclaimNoticeSeconds >= 0) {
            read.put("warningS", r.reclaimNoticeSeconds);
        }
        ArrayNode members = read.putArray("members");
        ObjectNode sent = row.map();
        for (JsonNode m : sent.path("members")) {
            Heartbeat.ReportedAttempt s =
                    Heartbeat.ReportedAttempt.find(
                            r.attempts.get(m.path("member").asText()), m.path("try").asLong());
            ObjectNode shown =
                    members.addObject()
                            .put("member", s.taskId)
                            .put("try", s.attempt)
                            .put("status", s.status);
            if (s.isTerminated()) {
                shown.put("exitReason", s.exitReason);
            }
            // Whether progress was stored is the worker's affair.
            ((ObjectNode) m).remove("stored");
        }
        assertEquals(row.with(sent).toString(), row.with(read).toString());
    }
}
