package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The machine types, as the leader last read them from the cloud and recorded them for all
 * controllers.
 */
public final class MachineTypeCatalog {
    /** A machine type; prices are per hour. */
    public record MachineType(
            String name,
            double cpus,
            double gpus,
            double memoryGb,
            double localDiskGb,
            double imagePullGbPerSecond,
            double onDemandPricePerHour,
            double spotPricePerHour,
            double bootSeconds,
            List<String> zones) {

        public double pricePerHour(boolean spot) {
            return spot ? spotPricePerHour : onDemandPricePerHour;
        }

        public boolean fits(JobSpec spec) {
            return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
        }

        /** The record of this type. */
        public ObjectNode encode() {
            ObjectNode node =
                    WireFormat.newMap()
                            .put("label", name)
                            .put("vcpus", cpus)
                            .put("cards", gpus)
                            .put("ramGb", memoryGb)
                            .put("localGb", localDiskGb)
                            .put("pullGbPerS", imagePullGbPerSecond)
                            .put("price", onDemandPricePerHour)
                            .put("spotPrice", spotPricePerHour)
                            .put("bootS", bootSeconds);
            zones.forEach(node.putArray("sites")::add);
            return node;
        }

        /**
         * A type as the cloud's catalog and our record have it (protocol, "GET /catalog"); what is
         * missing gets a careful value.
         */
        public static MachineType decode(JsonNode node) {
            List<String> zones = new ArrayList<>();
            node.path("sites").forEach(zone -> zones.add(zone.asText()));
            double onDemandPricePerHour = node.path("price").asDouble();
            return new MachineType(
                    node.path("label").asText(),
                    node.path("vcpus").asDouble(),
                    node.path("cards").asDouble(),
                    node.path("ramGb").asDouble(),
                    node.path("localGb").asDouble(20),
                    node.path("pullGbPerS").asDouble(1),
                    onDemandPricePerHour,
                    node.path("spotPrice").asDouble(onDemandPricePerHour),
                    node.path("bootS").asDouble(30),
                    zones);
        }
    }

    private final Map<String, MachineType> machineTypes = new TreeMap<>();

    public MachineTypeCatalog(WatchCache mirror) {
        mirror.addPrefixListener(
                StoreKeys.MACHINE_TYPE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long stamp) {
                        MachineType s = MachineType.decode(value);
                        machineTypes.put(s.name(), s);
                    }

                    @Override
                    public void onRemove(String key) {
                        machineTypes.remove(key.substring(StoreKeys.MACHINE_TYPE_PREFIX.length()));
                    }
                });
    }

    public boolean isLoaded() {
        return !machineTypes.isEmpty();
    }

    public MachineType get(String name) {
        return machineTypes.get(name);
    }

    public Collection<MachineType> all() {
        return machineTypes.values();
    }

    /**
     * Prices move; the leader's last reading counts for the leader alone and is not recorded again.
     */
    public void overrideLocally(MachineType machineType) {
        machineTypes.put(machineType.name(), machineType);
    }

    /** Whether some allowed machine could ever hold one task of the job. */
    public boolean canEverFit(JobSpec spec) {
        return machineTypes.values().stream()
                .anyMatch(
                        machineType ->
                                isAllowed(spec, machineType.name())
                                        && machineType.fits(spec)
                                        && (spec.zone() == null
                                                || machineType.zones().contains(spec.zone())));
    }

    public static boolean isAllowed(JobSpec spec, String machineType) {
        return spec.machineTypes() == null || spec.machineTypes().contains(machineType);
    }
}
