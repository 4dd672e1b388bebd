package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The machine types, as the leader last read them from the cloud and recorded them for all
 * controllers.
 */
public final class MachineTypeCatalog {
    /**
     * A machine type.
     *
     * @param name as the cloud calls it
     * @param localDiskGb room for images, shared by all tasks of a machine
     * @param imagePullGbPerSecond how fast images are fetched, shared likewise
     * @param bootSeconds the usual time from the rental until the worker reports
     * @param zones where it can be rented
     */
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

        /** The price of a spot or an on-demand machine. */
        public double pricePerHour(boolean spot) {
            return spot ? spotPricePerHour : onDemandPricePerHour;
        }

        /** Whether an empty machine has the resources for one task of the job. */
        public boolean fits(JobSpec spec) {
            return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
        }

        /** The record of this type. */
        public ObjectNode encode() {
            return MachineTypeCodec.encode(this);
        }

        /** A type as the cloud's catalog and our record have it; what is missing gets a default. */
        public static MachineType decode(JsonNode node) {
            return MachineTypeCodec.decode(node);
        }
    }

    private final Map<String, MachineType> machineTypes = new TreeMap<>();
    private final Collection<MachineType> machineTypesView =
            Collections.unmodifiableCollection(machineTypes.values());

    /** Empty until the watch cache has read the store. */
    public MachineTypeCatalog(WatchCache watchCache) {
        watchCache.addPrefixListener(
                StoreKeys.MACHINE_TYPE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        MachineType machineType = MachineTypeCodec.decode(value);
                        machineTypes.put(machineType.name(), machineType);
                    }

                    @Override
                    public void onRemove(String key) {
                        machineTypes.remove(key.substring(StoreKeys.MACHINE_TYPE_PREFIX.length()));
                    }
                });
    }

    /** Whether any machine type is known. */
    public boolean isLoaded() {
        return !machineTypes.isEmpty();
    }

    /** The machine type of this name; null: it is not known. */
    public MachineType get(String name) {
        return machineTypes.get(name);
    }

    /** All machine types by name; a live, unmodifiable view. */
    public Collection<MachineType> all() {
        return machineTypesView;
    }

    /**
     * Replaces a type in this process only: prices move, and the leader's last reading counts for
     * the leader alone and is not recorded again.
     */
    public void overrideLocally(MachineType machineType) {
        machineTypes.put(machineType.name(), machineType);
    }

    /** Whether some allowed machine could ever have room for one task of the job. */
    public boolean canEverFit(JobSpec spec) {
        return machineTypes.values().stream()
                .anyMatch(
                        machineType ->
                                isAllowed(spec, machineType.name())
                                        && machineType.fits(spec)
                                        && (spec.zone() == null
                                                || machineType.zones().contains(spec.zone())));
    }

    /** Whether the job may run on machines of this type. */
    public static boolean isAllowed(JobSpec spec, String machineType) {
        return spec.machineTypes() == null || spec.machineTypes().contains(machineType);
    }
}
