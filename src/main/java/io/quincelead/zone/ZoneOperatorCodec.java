package io.quincelead.zone;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** Decodes the operators' requests about zones and encodes the responses. */
final class ZoneOperatorCodec {
    /**
     * A zone's status for operators, with the numbers of its machines on record and of those that
     * are reachable.
     */
    record ZoneStatus(ZoneTable.Zone zone, long machineCount, long reachableCount) {}

    private ZoneOperatorCodec() {}

    /** The zone that an order is for; empty when none is named. */
    static String decodeZone(ObjectNode request) {
        return request.path("zone").asText();
    }

    static boolean isDryRun(ObjectNode request) {
        return request.path("dryRun").asBoolean();
    }

    /** The zones that a plan assumes to be lost, as named in the request. */
    static List<String> decodeLostZones(ObjectNode request) {
        List<String> zones = new ArrayList<>();
        for (JsonNode zone : request.path("lost")) {
            zones.add(zone.asText());
        }
        return zones;
    }

    static String stateName(ZoneTable.State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    private static String orderName(ZoneTable.OperatorOrder order) {
        return order.name().toLowerCase(Locale.ROOT);
    }

    static ObjectNode encodeList(boolean isRecoveryEnabled, List<ZoneStatus> zones) {
        ObjectNode response = WireFormat.newMap().put("watched", isRecoveryEnabled);
        ArrayNode list = response.putArray("list");
        for (ZoneStatus status : zones) {
            ZoneTable.Zone zone = status.zone;
            list.addObject()
                    .put("zone", zone.name())
                    .put("state", stateName(zone.state()))
                    .put("machines", status.machineCount)
                    .put("heard", status.reachableCount)
                    .put("had", zone.machineCountWhenDoubted())
                    .put("since", zone.sinceEpochMillis())
                    .put("why", zone.reason())
                    .put("order", orderName(zone.operatorOrder()));
        }
        return response;
    }

    /** The response to an order; {@code state} is a text that says what was done. */
    static ObjectNode encodeOrder(int replicasInside, ZoneTable.OperatorOrder order, String state) {
        return WireFormat.newMap()
                .put("replicasInside", replicasInside)
                .put("order", orderName(order))
                .put("state", state);
    }

    /**
     * The response to a plan request; {@code isCurrentState}: whether the request named no zone.
     */
    static ObjectNode encodePlan(
            Set<String> lostZones, boolean isCurrentState, List<RecoveryStep> steps) {
        ObjectNode response =
                WireFormat.newMap()
                        .put("lost", String.join(", ", new TreeSet<>(lostZones)))
                        .put("what", isCurrentState ? "as things are" : "as if they were gone now");
        ArrayNode list = response.putArray("list");
        double totalFetchGb = 0;
        int unavailableCount = 0;
        for (RecoveryStep step : steps) {
            list.addObject()
                    .put("order", step.position())
                    .put("model", step.jobId())
                    .put("class", step.priorityClassName())
                    .put("replica", step.replicaNumber())
                    .put("how", step.capacitySource())
                    .put("where", step.location())
                    .put("fetchGb", step.fetchGb())
                    .put("etaS", Math.round(step.etaSeconds()))
                    .put("why", step.reason());
            totalFetchGb += step.fetchGb();
            unavailableCount += step.etaSeconds() < 0 ? 1 : 0;
        }
        return response.put("fetchGb", totalFetchGb).put("cantBeHad", unavailableCount);
    }
}
