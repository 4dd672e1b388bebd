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

/** CBOR for users, workers, cloud and state; JSON between controllers. */
public enum WireFormat {
    CBOR(new CBORMapper(), "application/cbor"),
    JSON(new ObjectMapper(), "application/json");

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private final ObjectMapper mapper;
    private final String contentType;

    WireFormat(ObjectMapper mapper, String contentType) {
        this.mapper = mapper;
        this.contentType = contentType;
    }

    public String contentType() {
        return contentType;
    }

    public byte[] encode(JsonNode node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The map in a body, or null if the body is anything else: malformed input is never an
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
            return null;
        }
    }

    /** Reads a body piece by piece; the caller closes it. */
    public JsonParser createParser(byte[] body) throws IOException {
        return mapper.createParser(body);
    }

    public static ObjectNode newMap() {
        return NODES.objectNode();
    }

    public static ArrayNode newList() {
        return NODES.arrayNode();
    }
}
