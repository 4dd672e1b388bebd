package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * The form of a machine type in the cloud's catalog (protocol, "GET /catalog") and in the store.
 */
final class MachineTypeCodec {
    private static final double DEFAULT_LOCAL_DISK_GB = 20;
    private static final double DEFAULT_IMAGE_PULL_GB_PER_SECOND = 1;
    private static final double DEFAULT_BOOT_SECONDS = 30;

    private MachineTypeCodec() {}

    /**
     * Decodes a machine type; missing disk, pull rate, boot time and spot price get conservative
     * defaults.
     */
    static MachineType decode(JsonNode node) {
        List<String> zones = new ArrayList<>();
        node.path("sites").forEach(zone -> zones.add(zone.asText()));
        double onDemandPricePerHour = node.path("price").asDouble();
        return new MachineType(
                node.path("label").asText(),
                node.path("vcpus").asDouble(),
                node.path("cards").asDouble(),
                node.path("ramGb").asDouble(),
                node.path("localGb").asDouble(DEFAULT_LOCAL_DISK_GB),
                node.path("pullGbPerS").asDouble(DEFAULT_IMAGE_PULL_GB_PER_SECOND),
                onDemandPricePerHour,
                node.path("spotPrice").asDouble(onDemandPricePerHour),
                node.path("bootS").asDouble(DEFAULT_BOOT_SECONDS),
                zones);
    }

    static ObjectNode encode(MachineType machineType) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("label", machineType.name())
                        .put("vcpus", machineType.cpus())
                        .put("cards", machineType.gpus())
                        .put("ramGb", machineType.memoryGb())
                        .put("localGb", machineType.localDiskGb())
                        .put("pullGbPerS", machineType.imagePullGbPerSecond())
                        .put("price", machineType.onDemandPricePerHour())
                        .put("spotPrice", machineType.spotPricePerHour())
                        .put("bootS", machineType.bootSeconds());
        machineType.zones().forEach(node.putArray("sites")::add);
        return node;
    }
}
