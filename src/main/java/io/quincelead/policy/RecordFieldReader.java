package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of a map in an operators' record; errors name the field's path and what is
 * allowed. Fields that this build doesn't know are rejected: a controller that understood only half
 * of a rule would enforce it differently from the others.
 */
final class RecordFieldReader {
    private final JsonNode node;
    private final String path;

    RecordFieldReader(JsonNode node, String path, Set<String> knownFields)
            throws InvalidRecordException {
        if (node == null || !node.isObject()) {
            throw new InvalidRecordException(path, "must be a map");
        }
        this.node = node;
        this.path = path;
        for (Iterator<String> fieldNames = node.fieldNames(); fieldNames.hasNext(); ) {
            String name = fieldNames.next();
            if (!knownFields.contains(name)) {
                throw invalid(
                        name,
                        "is not known here; known are " + knownFields.stream().sorted().toList());
            }
        }
    }

    InvalidRecordException invalid(String field, String requirement) {
        return new InvalidRecordException(path + "." + field, requirement);
    }

    InvalidRecordException invalid(String field, String requirement, Throwable cause) {
        return new InvalidRecordException(path + "." + field, requirement, cause);
    }

    boolean has(String field) {
        return node.hasNonNull(field);
    }

    String pathOf(String field) {
        return path + "." + field;
    }

    JsonNode get(String field) {
        return node.get(field);
    }

    /** Reads a text of 1 to 200 characters; null if it is missing and not required. */
    String readText(String field, boolean required) throws InvalidRecordException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            if (required) {
                throw invalid(field, "a text is required");
            }
            return null;
        }
        if (!value.isTextual() || value.asText().isBlank() || value.asText().length() > 200) {
            throw invalid(field, "must be a text of 1 to 200 characters");
        }
        return value.asText();
    }

    /** Reads a name that may be part of a store key. */
    String readName(String field) throws InvalidRecordException {
        String value = readText(field, true);
        if (!value.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,39}")) {
            throw invalid(
                    field,
                    "must be 1 to 40 letters, digits, dots, dashes or underscores, and begin with a"
                            + " letter or digit");
        }
        return value;
    }

    double readNumber(String field, double min, double max, double defaultValue)
            throws InvalidRecordException {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber()
                || !Double.isFinite(value.asDouble())
                || value.asDouble() < min
                || value.asDouble() > max) {
            throw invalid(
                    field,
                    "must be a number from " + formatNumber(min) + " to " + formatNumber(max));
        }
        return value.asDouble();
    }

    int readInt(String field, int min, int max, int defaultValue) throws InvalidRecordException {
        JsonNode value = node.get(field);
        if (value != null && !value.isNull() && !value.isIntegralNumber()) {
            throw invalid(field, "must be a whole number from " + min + " to " + max);
        }
        return (int) readNumber(field, min, max, defaultValue);
    }

    /** Reads one of the constants by its name in records; the default if the field is missing. */
    <E> E readEnum(String field, E[] constants, Function<E, String> wireName, E defaultValue)
            throws InvalidRecordException {
        String text = readText(field, false);
        if (text == null) {
            return defaultValue;
        }
        for (E constant : constants) {
            if (wireName.apply(constant).equals(text)) {
                return constant;
            }
        }
        throw invalid(field, "must be one of " + Arrays.stream(constants).map(wireName).toList());
    }

    List<String> readTexts(String field) throws InvalidRecordException {
        List<String> texts = new ArrayList<>();
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return texts;
        }
        if (!value.isArray()) {
            throw invalid(field, "must be a list of texts");
        }
        for (JsonNode item : value) {
            if (!item.isTextual()) {
                throw invalid(field, "must be a list of texts");
            }
            texts.add(item.asText());
        }
        return texts;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
