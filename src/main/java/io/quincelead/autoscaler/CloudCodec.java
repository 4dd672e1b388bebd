package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The messages of the cloud's protocol. Fields missing in a response are read as empty, false or 0,
 * a missing address as null.
 */
final class CloudCodec {
    private static final Logger LOG = LoggerFactory.getLogger(CloudCodec.class);

    private CloudCodec() {}

    /** Whether the body of a response with status 200 is a catalog. */
    static boolean isCatalog(ObjectNode response) {
        return response.path("shapes").isArray();
    }

    /**
     * The machine types of a catalog; one without a name, CPUs, memory or zones is left out and
     * logged.
     */
    static List<MachineType> decodeCatalog(ObjectNode response) {
        List<MachineType> machineTypes = new ArrayList<>();
        for (JsonNode node : response.path("shapes")) {
            MachineType machineType = MachineType.decode(node);
            if (machineType.name().isEmpty()
                    || machineType.cpus() <= 0
                    || machineType.memoryGb() <= 0
                    || machineType.zones().isEmpty()) {
                LOG.info("a machine type of the catalog can't be read: {}", node);
                continue;
            }
            machineTypes.add(machineType);
        }
        return machineTypes;
    }

    static InstancePage decodeInstances(ObjectNode response) {
        List<InstancePage.Instance> instances = new ArrayList<>();
        for (JsonNode node : response.path("hosts")) {
            instances.add(
                    new InstancePage.Instance(
                            node.path("nameId").asText(),
                            node.path("shape").asText(),
                            node.path("site").asText(),
                            node.path("preemptible").asBoolean(),
                            node.path("addr").asText(null),
                            node.path("status").asText().equals("failed"),
                            node.path("ageS").asDouble()));
        }
        return new InstancePage(instances, response.path("truncated").asBoolean());
    }

    static ObjectNode encodeRequest(ProvisioningRequest request) {
        return WireFormat.newMap()
                .put("rental", request.name())
                .put("shape", request.machineType())
                .put("site", request.zone())
                .put("preemptible", request.spot())
                .put("howMany", request.machineCount());
    }

    /**
     * Reads the response to a provisioning request; {@code response} may be null unless the status
     * is 200.
     */
    static ProvisioningResult decodeResult(int status, ObjectNode response) {
        if (status == 200 && response.path("hosts").isArray()) {
            List<String> hosts = new ArrayList<>();
            response.path("hosts").forEach(host -> hosts.add(host.asText()));
            return new ProvisioningResult.Provisioned(hosts);
        }
        if (status == 400 || status == Transport.NOT_SENT) {
            return new ProvisioningResult.Malformed();
        }
        if (status == 503
                && response != null
                && response.path("error").asText().contains("capacity")) {
            return new ProvisioningResult.NoCapacity();
        }
        return new ProvisioningResult.Unknown();
    }

    static ObjectNode encodeRelease(List<String> hosts) {
        ObjectNode body = WireFormat.newMap();
        ArrayNode hostNodes = body.putArray("hosts");
        hosts.forEach(hostNodes::add);
        return body;
    }
}
