package standins;

import java.util.List;
import java.util.Map;

/** Text form of values, for logs and for the size limits, which count it. */
final class Json {
    private Json() {}

    static int length(Object value) {
        return text(value).length();
    }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(first ? "" : ",").append('"').append(entry.getKey()).append("\":");
                write(out, entry.getValue());
                first = false;
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            boolean first = true;
            for (Object item : list) {
                out.append(first ? "" : ",");
                write(out, item);
                first = false;
            }
            out.append(']');
        } else if (value instanceof String s) {
            out.append('"').append(s).append('"');
        } else {
            out.append(value);
        }
    }
}
