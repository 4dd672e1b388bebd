package io.quincelead.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' own settings (JSON, checked against {@code operator-settings.schema.json}). Every
 * field is optional; the defaults are those the design states.
 */
public record OperatorSettings(
        double parallelFraction,
        int tebasGroupSize,
        double shardLeaseSeconds,
        Map<String, Double> clockSpeedByMachineType,
        double drainBacklogSeconds,
        double idleReturnSeconds,
        double reserveFraction,
        ZoneRecovery zoneRecovery) {

    /**
     * How lost zones are met; off unless stated. {@code settleS}: seconds for which a zone that
     * came back must hold before work is moved to it; {@code movesPerMinute}: replicas moved at
     * most, of all models together; {@code heavyGb}: images from this size on are recorded with
     * their machines.
     */
    public record ZoneRecovery(
            boolean enabled, double settleSeconds, double movesPerMinute, double heavyImageGb) {
        public static final ZoneRecovery DISABLED = new ZoneRecovery(false, 60, 6, 5);
    }

    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(0.9, 3, 20, Map.of(), 30, 15, 0.15, ZoneRecovery.DISABLED);

    /** The same with zones met in this way. */
    public OperatorSettings withZoneRecovery(ZoneRecovery zoneRecovery) {
        return new OperatorSettings(
                parallelFraction,
                tebasGroupSize,
                shardLeaseSeconds,
                clockSpeedByMachineType,
                drainBacklogSeconds,
                idleReturnSeconds,
                reserveFraction,
                zoneRecovery);
    }

    public static OperatorSettings load(File file) throws Settings.InvalidSettingsException {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        try {
            root = mapper.readTree(file);
        } catch (IOException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
            throw new Settings.InvalidSettingsException(
                    file + ": can't be read as JSON: " + firstLine);
        }
        try (InputStream schemaStream =
                OperatorSettings.class.getResourceAsStream("/operator-settings.schema.json")) {
            var schema =
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                            .getSchema(schemaStream);
            for (ValidationMessage violation : schema.validate(root)) {
                throw new Settings.InvalidSettingsException(file + ": " + violation.getMessage());
            }
        } catch (IOException e) {
            throw new IllegalStateException("the schema is not in the jar", e);
        }
        Map<String, Double> clockSpeedByMachineType = new HashMap<>();
        root.path("frequencyByType")
                .fields()
                .forEachRemaining(
                        field ->
                                clockSpeedByMachineType.put(
                                        field.getKey(), field.getValue().asDouble()));
        OperatorSettings defaults = DEFAULTS;
        return new OperatorSettings(
                root.path("alpha").asDouble(defaults.parallelFraction),
                root.path("beta").asInt(defaults.tebasGroupSize),
                root.path("blockLeaseSeconds").asDouble(defaults.shardLeaseSeconds),
                clockSpeedByMachineType,
                root.path("drainBacklogSeconds").asDouble(defaults.drainBacklogSeconds),
                root.path("idleReturnSeconds").asDouble(defaults.idleReturnSeconds),
                root.path("headroom").asDouble(defaults.reserveFraction),
                readZoneRecovery(root.path("zones")));
    }

    private static ZoneRecovery readZoneRecovery(JsonNode node) {
        ZoneRecovery defaults = ZoneRecovery.DISABLED;
        return node.isMissingNode()
                ? defaults
                : new ZoneRecovery(
                        node.path("on").asBoolean(true),
                        node.path("settleSeconds").asDouble(defaults.settleSeconds),
                        node.path("movesPerMinute").asDouble(defaults.movesPerMinute),
                        node.path("heavyImageGb").asDouble(defaults.heavyImageGb));
    }
}
