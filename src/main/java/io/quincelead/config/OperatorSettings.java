package io.quincelead.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' own settings (JSON, checked against {@code operator-settings.schema.json}). Every
 * field of the file is optional; a missing one has its value in {@link #DEFAULTS}.
 *
 * @param parallelFraction fraction of a task, 0 to 1, that runs in parallel, in the fitness formula
 *     (file: {@code alpha})
 * @param tebasGroupSize machines in one group of a TEBAS pass (file: {@code beta})
 * @param shardLeaseSeconds longest lease of a shard; reduced if workers' own leases are shorter
 *     (file: {@code blockLeaseSeconds})
 * @param clockSpeedByMachineType relative clock speed, 1 for types that aren't named; unmodifiable
 *     (file: {@code frequencyByType})
 * @param drainBacklogSeconds time within which provisioned machines should complete the backlog
 * @param idleReleaseSeconds idle time after which a machine that isn't needed is released (file:
 *     {@code idleReturnSeconds})
 * @param reserveFraction spare capacity kept, as a fraction of what is in use (file: {@code
 *     headroom})
 * @param zoneRecovery how lost zones are handled (file: {@code zones})
 */
public record OperatorSettings(
        double parallelFraction,
        int tebasGroupSize,
        double shardLeaseSeconds,
        Map<String, Double> clockSpeedByMachineType,
        double drainBacklogSeconds,
        double idleReleaseSeconds,
        double reserveFraction,
        ZoneRecovery zoneRecovery) {

    /**
     * How lost zones are handled; recovery is disabled by default.
     *
     * @param enabled whether controllers recover from lost zones (file: {@code on})
     * @param settleSeconds time for which a zone that is available again must stay up before work
     *     is moved to it
     * @param movesPerMinute maximum number of replicas moved per minute, of all services together
     * @param largeImageGb size from which on cached images are recorded with their machines (file:
     *     {@code heavyImageGb})
     */
    public record ZoneRecovery(
            boolean enabled, double settleSeconds, double movesPerMinute, double largeImageGb) {
        /** Recovery is disabled; the other values are the defaults. */
        public static final ZoneRecovery DISABLED = new ZoneRecovery(false, 60, 6, 5);
    }

    /** The settings that apply without a file. */
    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(0.9, 3, 20, Map.of(), 30, 15, 0.15, ZoneRecovery.DISABLED);

    /** Wraps the map so that it is unmodifiable. */
    public OperatorSettings {
        clockSpeedByMachineType = Collections.unmodifiableMap(clockSpeedByMachineType);
    }

    /** Returns a copy with these settings for zone recovery. */
    public OperatorSettings withZoneRecovery(ZoneRecovery zoneRecovery) {
        return new OperatorSettings(
                parallelFraction,
                tebasGroupSize,
                shardLeaseSeconds,
                clockSpeedByMachineType,
                drainBacklogSeconds,
                idleReleaseSeconds,
                reserveFraction,
                zoneRecovery);
    }

    /**
     * Reads and validates a file.
     *
     * @throws Settings.InvalidSettingsException if it can't be read or doesn't match the schema;
     *     the message names the file and what is wrong
     */
    public static OperatorSettings load(File file) throws Settings.InvalidSettingsException {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        try {
            root = mapper.readTree(file);
        } catch (IOException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
            throw new Settings.InvalidSettingsException(
                    file + ": can't be read as JSON: " + firstLine, e);
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
                root.path("idleReturnSeconds").asDouble(defaults.idleReleaseSeconds),
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
                        node.path("heavyImageGb").asDouble(defaults.largeImageGb));
    }
}
