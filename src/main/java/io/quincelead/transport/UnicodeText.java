package io.quincelead.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;

/**
 * Checks texts for unpaired surrogates. The decoders accept them, although no UTF-8 contains any;
 * the encoders don't.
 */
public final class UnicodeText {
    private UnicodeText() {}

    /**
     * Whether each surrogate of the text is one of a pair, so that UTF-8 can represent the text.
     */
    public static boolean isWellFormed(String text) {
        int length = text.length();
        for (int i = 0; i < length; i++) {
            char unit = text.charAt(i);
            if (!Character.isSurrogate(unit)) {
                continue;
            }
            boolean paired =
                    Character.isHighSurrogate(unit)
                            && i + 1 < length
                            && Character.isLowSurrogate(text.charAt(i + 1));
            if (!paired) {
                return false;
            }
            i++;
        }
        return true;
    }

    /** Whether all texts of a value, including the names of its fields, are well-formed. */
    static boolean isWellFormed(JsonNode node) {
        if (node.isTextual()) {
            return isWellFormed(node.textValue());
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            if (!isWellFormed(names.next())) {
                return false;
            }
        }
        for (JsonNode child : node) {
            if (!isWellFormed(child)) {
                return false;
            }
        }
        return true;
    }
}
