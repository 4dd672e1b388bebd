package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.OperatorSettings;
import io.quincelead.transport.WireFormat;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Requests with missing and wrong fields, and what they are answered with, word for word: {@code
 * golden/refusals.tsv}. A line: when (cold: before the store is read; ready; down: without the
 * store), to whom (users, reports, operators, peers; unwatched: operators where zones aren't
 * watched), request line, body (JSON, in hexadecimal what is none), status with {@code
 * Retry-After}, answer. {@link #main} answers all anew.
 */
class GoldenRefusalsTest {
    private static final Path TABLE = Path.of("src/test/resources/golden/refusals.tsv");
    private static List<String> expected;
    private static List<String> answered;

    public static void main(String[] args) throws IOException {
        Files.write(TABLE, play(Files.readAllLines(TABLE)));
    }

    @BeforeAll
    static void playOnce() throws IOException {
        expected = Files.readAllLines(TABLE);
        answered = play(expected);
    }

    static IntStream lines() throws IOException {
        return IntStream.range(0, Files.readAllLines(TABLE).size());
    }

    @ParameterizedTest
    @MethodSource("lines")
    void isAnsweredAsBefore(int line) {
        assertEquals(expected.get(line), answered.get(line));
    }

    private static List<String> play(List<String> table) {
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.controllers.get(0).start();
        cluster.operatorSettings =
                OperatorSettings.DEFAULTS.withZoneRecovery(
                        new OperatorSettings.ZoneRecovery(true, 20, 30, 5));
        cluster.controllers.get(1).start();
        cluster.controllers.get(2).start();
        List<String> out = new ArrayList<>();
        for (String line : table) {
            String[] f = line.split("\t", -1);
            long from = f[0].equals("ready") ? 12_000 : f[0].equals("down") ? 400_000 : 0;
            if (cluster.nowMillis() < from) {
                cluster.store.setDown(f[0].equals("down"));
                cluster.runUntil(from + 12_000);
            }
            out.add(
                    String.join("\t", f[0], f[1], f[2], f[3])
                            + "\t"
                            + call(cluster, f[1], f[2], f[3]));
        }
        return out;
    }

    private static byte[] body(WireFormat codec, String text) {
        if (text.startsWith("{")) {
            ObjectNode map = WireFormat.JSON.decodeMap(text.getBytes(StandardCharsets.UTF_8));
            return codec.encode(map);
        }
        return text.equals("-") ? null : HexFormat.of().parseHex(text);
    }

    private static String call(SimulatedCluster cluster, String to, String line, String text) {
        WireFormat codec =
                to.equals("users") || to.equals("reports") ? WireFormat.CBOR : WireFormat.JSON;
        SimulatedCluster.SimulatedController controller =
                cluster.controllers.get(to.equals("unwatched") ? 0 : 1);
        byte[] body = body(codec, text);
        try {
            if (line.equals("POST /v2/runs")) {
                cluster.upload(JobSpec.decode(codec.decodeMap(body)));
            }
        } catch (JobSpec.MalformedJobException e) {
            // It is refused, and no worker will ask for it.
        }
        String[] answer = {null};
        cluster.network.call(
                SimulatedCluster.USERS_ADDRESS,
                codec == WireFormat.CBOR ? controller.userAddress : controller.peerAddress,
                line.substring(0, line.indexOf(' ')),
                line.substring(line.indexOf(' ') + 1),
                body,
                6_000,
                (status, out, retry) -> {
                    ObjectNode map = codec.decodeMap(out);
                    assertEquals(
                            map == null ? "" : HexFormat.of().formatHex(codec.encode(map)),
                            map == null ? "" : HexFormat.of().formatHex(out),
                            "the body's form");
                    answer[0] = status + " " + retry + "\t" + (map == null ? "-" : map);
                });
        while (answer[0] == null) {
            cluster.runUntil(cluster.nowMillis() + 10);
        }
        return answer[0];
    }
}
