package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/**
 * Golden tables in {@code src/test/resources/golden}: the bytes of messages and stored records at
 * the time the table was written. Each line is one row of tab-separated columns: name, head, body
 * (JSON as it is, CBOR in hexadecimal), and for CBOR the body as JSON for human readers.
 */
public final class GoldenTable {
    private GoldenTable() {}

    /**
     * One row. {@code head} is the request line, the status with {@code Retry-After}, or the key of
     * a record; {@code body} is null if there is none.
     */
    public record Row(String name, String head, WireFormat codec, byte[] body) {
        static Row parse(String line) {
            String[] columns = line.split("\t", -1);
            if (columns[2].equals("-")) {
                return new Row(columns[0], columns[1], null, null);
            }
            return columns[2].startsWith("{")
                    ? new Row(
                            columns[0],
                            columns[1],
                            WireFormat.JSON,
                            columns[2].getBytes(StandardCharsets.UTF_8))
                    : new Row(
                            columns[0],
                            columns[1],
                            WireFormat.CBOR,
                            HexFormat.of().parseHex(columns[2]));
        }

        /** Decodes the body into a new tree. */
        public ObjectNode decodeBody() {
            return codec.decodeMap(body);
        }

        /** Returns this row with the body replaced by an encoded value. */
        public Row withValue(JsonNode value) {
            return new Row(name, head, codec, codec.encode(value));
        }

        @Override
        public String toString() {
            if (body == null) {
                return name + "\t" + head + "\t-";
            }
            if (codec == WireFormat.JSON) {
                return name + "\t" + head + "\t" + new String(body, StandardCharsets.UTF_8);
            }
            return name
                    + "\t"
                    + head
                    + "\t"
                    + HexFormat.of().formatHex(body)
                    + "\t"
                    + WireFormat.CBOR.decodeMap(body);
        }
    }

    /** The rows of a table, in file order. */
    public static List<Row> rows(String table) {
        try (InputStream in = GoldenTable.class.getResourceAsStream("/golden/" + table + ".tsv")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(Row::parse)
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The rows of a table whose names start with a prefix. */
    public static Stream<Row> rows(String table, String prefix) {
        return rows(table).stream().filter(row -> row.name().startsWith(prefix));
    }

    static void write(String table, List<Row> rows) throws IOException {
        Files.write(
                Path.of("src/test/resources/golden/" + table + ".tsv"),
                rows.stream().map(Row::toString).toList());
    }
}
