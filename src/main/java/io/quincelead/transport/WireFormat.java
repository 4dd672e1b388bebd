package io.quincelead.transport;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

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

    /** Value of the header Content-Type. */
    public String contentType() {
        return contentType;
    }

    /** The bytes of a value. */
    public byte[] encode(JsonNode node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (IOException e) {
            // Nothing is written to but memory, so it is the node that can't be encoded.
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The map in a body; null if the body is null or anything else: malformed input is never an
     * exception.
     */
    public ObjectNode decodeMap(byte[] body) {
        if (body == null || body.length == 0) {
            return null;
        }
        try (var parser = mapper.createParser(body)) {
            JsonNode root = mapper.readTree(parser);
            return root instanceof ObjectNode object && parser.nextToken() == null ? object : null;
        } catch (IOException | RuntimeException e) {
            // The parsers throw either on input of the right damage.
            return null;
        }
    }

    /**
     * Reads a body piece by piece; the caller closes the parser.
     *
     * @throws IOException if the body doesn't begin as the format does
     */
    public JsonParser createParser(byte[] body) throws IOException {
        return mapper.createParser(body);
    }

    /** A new map without fields. */
    public static ObjectNode newMap() {
        return NODES.objectNode();
    }

    /** A new list without elements. */
    public static ArrayNode newList() {
        return NODES.arrayNode();
    }
}
