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
 * Parsing keeps all fields of the workers' messages in {@code golden/messages.tsv}: heartbeats and
 * the responses to direct commands.
 */
class GoldenReportsTest {
    static Stream<Row> reports() {
        return Stream.of(
                        "reports POST /v1/report #",
                        "commands POST /orders -> 200",
                        "commands POST /orders -> 409")
                .flatMap(rowPrefix -> GoldenTable.rows("messages", rowPrefix));
    }

    @ParameterizedTest
    @MethodSource("reports")
    void reportIsParsedCompletely(Row row) {
        Heartbeat heartbeat = Heartbeat.parse(row.body());
        ObjectNode parsed =
                WireFormat.newMap()
                        .put("host", heartbeat.host)
                        .put("addr", heartbeat.address)
                        .put("shape", heartbeat.machineType)
                        .put("site", heartbeat.zone)
                        .put("preemptible", heartbeat.spot)
                        .put("tenure", heartbeat.agentEpoch)
                        .put("serial", heartbeat.serial)
                        .put("epoch", heartbeat.fencingToken);
        if (heartbeat.reclaimNoticeSeconds >= 0) {
            parsed.put("warningS", heartbeat.reclaimNoticeSeconds);
        }
        ArrayNode members = parsed.putArray("members");
        ObjectNode sent = row.decodeBody();
        for (JsonNode member : sent.path("members")) {
            Heartbeat.ReportedAttempt reported =
                    Heartbeat.ReportedAttempt.find(
                            heartbeat.attempts.get(member.path("member").asText()),
                            member.path("try").asLong());
            ObjectNode parsedMember =
                    members.addObject()
                            .put("member", reported.taskId)
                            .put("try", reported.attempt)
                            .put("status", reported.status);
            if (reported.isTerminated()) {
                parsedMember.put("exitReason", reported.exitReason);
            }
            // Whether progress was stored concerns only the worker; the controller doesn't parse
            // it.
            ((ObjectNode) member).remove("stored");
        }
        assertEquals(row.withValue(sent).toString(), row.withValue(parsed).toString());
    }
}
