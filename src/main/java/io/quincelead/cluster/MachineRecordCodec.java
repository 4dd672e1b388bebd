package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The stored form of machines that share a record: {@code k} machine type, {@code s} zone, {@code
 * p} spot, {@code r} time of provisioning, {@code h} the machines. The following fields are omitted
 * if empty: {@code a} addresses, {@code x} machines being released, {@code q} cordoned machines,
 * {@code w} large images with their sizes in GB.
 */
final class MachineRecordCodec {
    private MachineRecordCodec() {}

    /** A decoded record; it contains no data about machines that the record doesn't list. */
    record MachineGroup(
            List<MachineTable.Machine> machines,
            Map<String, Map<String, Double>> largeImagesByHost) {}

    static MachineGroup decode(String groupId, JsonNode node) {
        Set<String> releasing = decodeTexts(node.path("x"));
        Set<String> cordoned = decodeTexts(node.path("q"));
        JsonNode addresses = node.path("a");
        List<MachineTable.Machine> machines = new ArrayList<>();
        for (JsonNode hostNode : node.path("h")) {
            String host = hostNode.asText();
            JsonNode address = addresses.path(host);
            machines.add(
                    new MachineTable.Machine(
                            host,
                            groupId,
                            node.path("k").asText(),
                            node.path("s").asText(),
                            node.path("p").asBoolean(),
                            address.isTextual() ? address.asText() : null,
                            node.path("r").asLong(),
                            releasing.contains(host),
                            cordoned.contains(host)));
        }
        Map<String, Map<String, Double>> largeImages = decodeLargeImages(node.path("w"));
        largeImages.keySet().retainAll(decodeTexts(node.path("h")));
        return new MachineGroup(machines, largeImages);
    }

    private static Map<String, Map<String, Double>> decodeLargeImages(JsonNode node) {
        Map<String, Map<String, Double>> largeImagesByHost = new LinkedHashMap<>();
        node.fields()
                .forEachRemaining(
                        hostField -> {
                            Map<String, Double> images = new TreeMap<>();
                            hostField
                                    .getValue()
                                    .fields()
                                    .forEachRemaining(
                                            image ->
                                                    images.put(
                                                            image.getKey(),
                                                            image.getValue().asDouble()));
                            largeImagesByHost.put(hostField.getKey(), images);
                        });
        return largeImagesByHost;
    }

    private static Set<String> decodeTexts(JsonNode list) {
        Set<String> texts = new HashSet<>();
        list.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    /**
     * Encodes the machines of one record, which have the same machine type, zone, pricing (spot or
     * on-demand) and time of provisioning.
     *
     * @param machines at least one
     * @param largeImagesOf returns the large images of a machine with their sizes in GB; empty if
     *     there are none
     */
    static ObjectNode encode(
            Collection<MachineTable.Machine> machines,
            Function<String, Map<String, Double>> largeImagesOf) {
        MachineTable.Machine any = machines.iterator().next();
        ObjectNode node =
                WireFormat.newMap()
                        .put("k", any.machineType())
                        .put("s", any.zone())
                        .put("p", any.spot())
                        .put("r", any.provisionedAtEpochMillis());
        ArrayNode hosts = node.putArray("h");
        ArrayNode releasing = WireFormat.newList();
        ArrayNode cordoned = WireFormat.newList();
        ObjectNode addresses = WireFormat.newMap();
        for (MachineTable.Machine machine : machines) {
            hosts.add(machine.host());
            if (machine.releasing()) {
                releasing.add(machine.host());
            }
            if (machine.cordoned()) {
                cordoned.add(machine.host());
            }
            if (machine.address() != null) {
                addresses.put(machine.host(), machine.address());
            }
        }
        if (!addresses.isEmpty()) {
            node.set("a", addresses);
        }
        if (!releasing.isEmpty()) {
            node.set("x", releasing);
        }
        if (!cordoned.isEmpty()) {
            node.set("q", cordoned);
        }
        ObjectNode largeImages = encodeLargeImages(machines, largeImagesOf);
        // The large images are optional: omitted if the record would become too large with them.
        if (!largeImages.isEmpty()
                && largeImages.toString().length() + node.toString().length()
                        < RecordConstants.MAX_MACHINE_RECORD_CHARS) {
            node.set("w", largeImages);
        }
        return node;
    }

    private static ObjectNode encodeLargeImages(
            Collection<MachineTable.Machine> machines,
            Function<String, Map<String, Double>> largeImagesOf) {
        ObjectNode largeImages = WireFormat.newMap();
        for (MachineTable.Machine machine : machines) {
            Map<String, Double> images = largeImagesOf.apply(machine.host());
            if (!images.isEmpty()) {
                ObjectNode imageNode = largeImages.putObject(machine.host());
                images.forEach(imageNode::put);
            }
        }
        return largeImages;
    }
}
