package io.quincelead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints an answer for people: single values a line each, lists as tables. */
final class ResponsePrinter {
    private static final Set<String> EPOCH_MILLIS_FIELDS =
            Set.of("pub", "last", "open", "closed", "since");

    private ResponsePrinter() {}

    static void print(ObjectNode response, List<String> columns, PrintWriter out) {
        for (Iterator<Map.Entry<String, JsonNode>> fields = response.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (field.getKey().equals("list")) {
                printTable(field.getValue(), columns, out);
            } else if (field.getValue().isArray()
                    && !field.getValue().isEmpty()
                    && field.getValue().get(0).isObject()) {
                out.println(field.getKey() + ":");
                List<String> fieldNames = new ArrayList<>();
                field.getValue().get(0).fieldNames().forEachRemaining(fieldNames::add);
                printTable(field.getValue(), fieldNames, out);
            } else if (field.getValue().isObject()) {
                out.println(field.getKey() + ":");
                field.getValue()
                        .fields()
                        .forEachRemaining(
                                g ->
                                        out.println(
                                                "  "
                                                        + (g.getKey().isEmpty()
                                                                ? "(no class)"
                                                                : g.getKey())
                                                        + "  "
                                                        + formatCell(g.getKey(), g.getValue())));
            } else if (field.getValue().isArray()) {
                field.getValue().forEach(v -> out.println(field.getKey() + ": " + v.asText()));
            } else {
                out.println(field.getKey() + ": " + formatCell(field.getKey(), field.getValue()));
            }
        }
    }

    private static void printTable(JsonNode rows, List<String> columns, PrintWriter out) {
        List<List<String>> lines = new ArrayList<>(List.of(columns));
        rows.forEach(
                row ->
                        lines.add(
                                columns.stream()
                                        .map(column -> formatCell(column, row.path(column)))
                                        .toList()));
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int column = 0; column < columns.size(); column++) {
                int index = column;
                int width = lines.stream().mapToInt(l -> l.get(index).length()).max().orElse(0);
                text.append(line.get(column))
                        .append(" ".repeat(width - line.get(column).length() + 2));
            }
            out.println(text.toString().stripTrailing());
        }
    }

    private static String formatCell(String name, JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (EPOCH_MILLIS_FIELDS.contains(name) && value.isIntegralNumber() && value.asLong() > 0) {
            return Instant.ofEpochMilli(value.asLong()).toString();
        }
        if (value.isObject()) {
            List<String> parts = new ArrayList<>();
            value.fields()
                    .forEachRemaining(
                            f ->
                                    parts.add(
                                            f.getKey()
                                                    + "="
                                                    + formatCell(f.getKey(), f.getValue())));
            return parts.isEmpty() ? "all" : String.join(" ", parts);
        }
        if (value.isArray()) {
            List<String> parts = new ArrayList<>();
            value.forEach(x -> parts.add(formatCell("", x)));
            return String.join(",", parts);
        }
        return value.asText();
    }
}
