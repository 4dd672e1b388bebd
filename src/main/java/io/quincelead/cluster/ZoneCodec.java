package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ZoneTable.OperatorOrder;
import io.quincelead.cluster.ZoneTable.State;
import io.quincelead.cluster.ZoneTable.Zone;
import io.quincelead.transport.WireFormat;
import java.util.Locale;

/**
 * The stored form of a zone. States and operator orders are stored as the lower-case names of their
 * enum constants, so these names must not change.
 */
final class ZoneCodec {
    private ZoneCodec() {}

    /**
     * Decodes a zone's record.
     *
     * @throws MalformedRecordException if the state or the operator order is unknown, as one of a
     *     later version would be
     */
    static Zone decode(String name, JsonNode node) throws MalformedRecordException {
        try {
            return new Zone(
                    name,
                    State.valueOf(node.path("st").asText().toUpperCase(Locale.ROOT)),
                    node.path("since").asLong(),
                    node.path("had").asInt(),
                    node.path("losses").asInt(),
                    node.path("why").asText(),
                    OperatorOrder.valueOf(
                            node.path("order").asText("none").toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            throw new MalformedRecordException("zone " + name, e);
        }
    }

    static ObjectNode encode(Zone zone) {
        return WireFormat.newMap()
                .put("st", zone.state().name().toLowerCase(Locale.ROOT))
                .put("since", zone.sinceEpochMillis())
                .put("had", zone.machineCountWhenDoubted())
                .put("losses", zone.recentLossCount())
                .put("why", zone.reason())
                .put("order", zone.operatorOrder().name().toLowerCase(Locale.ROOT));
    }
}
