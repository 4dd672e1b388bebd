package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;

/** The stored records of provisioning requests. */
final class ProvisioningRequestCodec {
    private ProvisioningRequestCodec() {}

    /** The record of a request; its name is part of the key. */
    static ObjectNode encode(ProvisioningRequest request) {
        return WireFormat.newMap()
                .put("k", request.machineType())
                .put("s", request.zone())
                .put("p", request.spot())
                .put("n", request.machineCount());
    }

    /**
     * Reads the record of the request with this name; missing fields are read as empty, false or 0.
     */
    static ProvisioningRequest decode(String name, JsonNode node) {
        return new ProvisioningRequest(
                name,
                node.path("k").asText(),
                node.path("s").asText(),
                node.path("p").asBoolean(),
                node.path("n").asInt());
    }

    /** The record that counts the requests ever recorded. */
    static ObjectNode encodeCounter(long recordedRequestCount) {
        return WireFormat.newMap().put("n", recordedRequestCount);
    }

    static long decodeCounter(JsonNode node) {
        return node.path("n").asLong();
    }
}
