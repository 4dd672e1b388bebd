package io.quincelead.transport;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** The encodings of message bodies. */
public enum WireFormat {
    /** Used with users, workers, the cloud and the state service. */
    CBOR(new CBORMapper(), "application/cbor"),

    /** Used between controllers and with operators. */
    JSON(new ObjectMapper(), "application/json");

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private final ObjectMapper mapper;
    private final String contentType;

    WireFormat(ObjectMapper mapper, String contentType) {
        this.mapper = mapper;
        this.contentType = contentType;
    }

    /** Returns the value of the header Content-Type. */
    public String contentType() {
        return contentType;
    }

    /**
     * Encodes a value.
     *
     * @throws EncodingException if one of its texts isn't well-formed Unicode
     */
    public byte[] encode(JsonNode node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (IOException e) {
            // Only memory is written to, so the node itself can't be encoded.
            throw new EncodingException(e);
        }
    }

    /**
     * Decodes a body that is a map. Returns null if the body is null or anything else, so that
     * malformed input never causes an exception.
     */
    public ObjectNode decodeMap(byte[] body) {
        if (body == null || body.length == 0) {
            return null;
        }
        try (var parser = mapper.createParser(body)) {
            JsonNode root = mapper.readTree(parser);
            return root instanceof ObjectNode object && parser.nextToken() == null ? object : null;
        } catch (IOException | RuntimeException e) {
            // Depending on how the input is malformed, the parsers throw either.
            return null;
        }
    }

    /**
     * Decodes the body of an inbound request. As {@link #decodeMap}, but also returns null if a
     * text isn't well-formed Unicode: such a body isn't in this format, and no record or response
     * can hold the text.
     */
    public ObjectNode decodeRequest(byte[] body) {
        ObjectNode map = decodeMap(body);
        return map != null && UnicodeText.isWellFormed(map) ? map : null;
    }

    /**
     * Creates a parser that reads a body incrementally. The caller closes it.
     *
     * @throws IOException if the beginning of the body isn't valid in this format
     */
    public JsonParser createParser(byte[] body) throws IOException {
        return mapper.createParser(body);
    }

    /** Creates an empty map. */
    public static ObjectNode newMap() {
        return NODES.objectNode();
    }

    /** Creates an empty list. */
    public static ArrayNode newList() {
        return NODES.arrayNode();
    }
}
