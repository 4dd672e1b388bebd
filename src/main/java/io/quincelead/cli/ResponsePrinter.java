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

/** Prints a response for people: each single value on a line, lists as tables. */
final class ResponsePrinter {
    private static final Set<String> EPOCH_MILLIS_FIELDS =
            Set.of("pub", "last", "open", "closed", "since");

    private ResponsePrinter() {}

    /**
     * Prints all fields of a response.
     *
     * @param columns the fields of its {@code list} that are printed, in order
     */
    static void print(ObjectNode response, List<String> columns, PrintWriter out) {
        for (Iterator<Map.Entry<String, JsonNode>> fields = response.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            printField(field.getKey(), field.getValue(), columns, out);
        }
    }

    private static void printField(
            String name, JsonNode value, List<String> columns, PrintWriter out) {
        if (name.equals("list")) {
            printTable(value, columns, out);
        } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
            out.println(name + ":");
            List<String> fieldNames = new ArrayList<>();
            value.get(0).fieldNames().forEachRemaining(fieldNames::add);
            printTable(value, fieldNames, out);
        } else if (value.isObject()) {
            out.println(name + ":");
            value.fields()
                    .forEachRemaining(entry -> printEntry(entry.getKey(), entry.getValue(), out));
        } else if (value.isArray()) {
            value.forEach(element -> out.println(name + ": " + element.asText()));
        } else {
            out.println(name + ": " + formatCell(name, value));
        }
    }

    private static void printEntry(String name, JsonNode value, PrintWriter out) {
        String label = name.isEmpty() ? "(no class)" : name;
        out.println("  " + label + "  " + formatCell(name, value));
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
                            field ->
                                    parts.add(
                                            field.getKey()
                                                    + "="
                                                    + formatCell(
                                                            field.getKey(), field.getValue())));
            return parts.isEmpty() ? "all" : String.join(" ", parts);
        }
        if (value.isArray()) {
            List<String> parts = new ArrayList<>();
            value.forEach(element -> parts.add(formatCell("", element)));
            return String.join(",", parts);
        }
        return value.asText();
    }
}
