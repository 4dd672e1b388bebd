package io.quincelead.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import io.quincelead.worker.MisroutedWorker;
import io.quincelead.worker.ShardWorker;
import java.util.HashSet;
import java.util.Set;

/** Encodes and decodes the messages between controllers as JSON, and defines their paths. */
final class PeerMessageCodec {
    static final String MISROUTED_WORKER_PATH = "/peer/stray";
    static final String STATUS_PATH = "/peer/news";

    private PeerMessageCodec() {}

    /** Parses any message; null if the body is no JSON object with the sender's member id. */
    static ObjectNode parse(byte[] body) {
        ObjectNode message = WireFormat.JSON.decodeRequest(body);
        return message == null || !message.path("from").isTextual() ? null : message;
    }

    static String senderId(ObjectNode message) {
        return message.path("from").asText();
    }

    static byte[] encodeMisroutedWorker(String senderId, MisroutedWorker worker) {
        return WireFormat.JSON.encode(
                WireFormat.newMap()
                        .put("from", senderId)
                        .put("host", worker.host())
                        .put("addr", worker.address())
                        .put("shape", worker.machineType())
                        .put("site", worker.zone())
                        .put("preemptible", worker.spot())
                        .put("stuck", worker.ownedElsewhere())
                        .put("term", worker.fencingToken()));
    }

    static MisroutedWorker decodeMisroutedWorker(ObjectNode message) {
        return new MisroutedWorker(
                message.path("host").asText(),
                message.path("addr").asText(),
                message.path("shape").asText(),
                message.path("site").asText(),
                message.path("preemptible").asBoolean(),
                senderId(message),
                message.path("stuck").asBoolean(),
                message.path("term").asLong());
    }

    /**
     * Encodes a status directly from the shard's workers, without an intermediate {@link
     * PeerStatus}: there may be thousands of workers.
     */
    static byte[] encodeStatus(
            String senderId, long leaseId, long sequence, Iterable<ShardWorker> workers) {
        ObjectNode message =
                WireFormat.newMap().put("from", senderId).put("hold", leaseId).put("seq", sequence);
        ArrayNode schedulableHosts = message.putArray("fit");
        ArrayNode bootingHosts = message.putArray("booting");
        for (ShardWorker worker : workers) {
            if (worker.isSchedulable()) {
                schedulableHosts.add(worker.host);
            }
            if (worker.isBooting()) {
                bootingHosts.add(worker.host);
            }
        }
        return WireFormat.JSON.encode(message);
    }

    static PeerStatus decodeStatus(ObjectNode message, long receivedAtMillis) {
        return new PeerStatus(
                receivedAtMillis,
                message.path("hold").asLong(),
                message.path("seq").asLong(),
                textSet(message.path("fit")),
                textSet(message.path("booting")));
    }

    private static Set<String> textSet(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }
}
