package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The machine types that the leader last read from the cloud and recorded for all controllers. */
public final class MachineTypeCatalog {
    /**
     * A machine type.
     *
     * @param name the name in the cloud's catalog
     * @param localDiskGb disk space for images, shared by all tasks of a machine
     * @param imagePullGbPerSecond bandwidth for pulling images, shared by all tasks of a machine
     * @param bootSeconds typical time from provisioning until the worker's first heartbeat
     * @param zones the zones where the type can be provisioned
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

        /** The price per hour of a spot or an on-demand machine. */
        public double pricePerHour(boolean spot) {
            return spot ? spotPricePerHour : onDemandPricePerHour;
        }

        /** Whether an empty machine has the resources for one task of the job. */
        public boolean fits(JobSpec spec) {
            return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
        }

        /** Whether CPUs, not memory, limit how many tasks of the job an empty machine holds. */
        public boolean isLimitedByCpus(JobSpec spec) {
            return spec.memoryGb() * cpus <= spec.cpus() * memoryGb;
        }

        /** Encodes the record of this type. */
        public ObjectNode encode() {
            return MachineTypeCodec.encode(this);
        }

        /** Decodes a type from the cloud's catalog or a record; missing fields get defaults. */
        public static MachineType decode(JsonNode node) {
            return MachineTypeCodec.decode(node);
        }
    }

    private final Map<String, MachineType> machineTypes = new TreeMap<>();
    private final Collection<MachineType> machineTypesView =
            Collections.unmodifiableCollection(machineTypes.values());

    /** Creates a catalog that is empty until the watch cache has read the store. */
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

    /** The machine type with this name; null if it is not known. */
    public MachineType get(String name) {
        return machineTypes.get(name);
    }

    /** All machine types by name; a live, unmodifiable view. */
    public Collection<MachineType> all() {
        return machineTypesView;
    }

    /**
     * Replaces a type in this process only. Prices change, and the leader uses the latest values
     * that it has read without recording them again for the other controllers.
     */
    public void overrideLocally(MachineType machineType) {
        machineTypes.put(machineType.name(), machineType);
    }

    /**
     * Whether an empty machine of some allowed type and zone has capacity for one task of the job.
     */
    public boolean canEverFit(JobSpec spec) {
        return machineTypes.values().stream().anyMatch(machineType -> canRunOn(machineType, spec));
    }

    /**
     * Whether the job's tasks may run on every machine without GPUs and use up its CPUs before its
     * memory, so that the job's demand can be measured in CPUs alone. While no machine type is
     * known, each job that allows any offering counts.
     */
    public boolean isUnconstrained(JobSpec spec) {
        if (!spec.allowsAnyOffering()) {
            return false;
        }
        boolean hasTypeWithoutGpus = false;
        for (MachineType machineType : machineTypes.values()) {
            if (machineType.gpus() > 0) {
                continue;
            }
            if (!machineType.fits(spec) || !machineType.isLimitedByCpus(spec)) {
                return false;
            }
            hasTypeWithoutGpus = true;
        }
        return hasTypeWithoutGpus || !isLoaded();
    }

    /**
     * Whether the job may run on an empty machine without GPUs. Machines whose GPUs other work
     * needs can be withheld from such a job.
     */
    public boolean canFitWithoutGpus(JobSpec spec) {
        return machineTypes.values().stream()
                .anyMatch(machineType -> machineType.gpus() == 0 && canRunOn(machineType, spec));
    }

    /**
     * The zones where an empty machine of some allowed type has capacity for one task of the job.
     */
    public Set<String> zonesThatFit(JobSpec spec) {
        Set<String> zones = new TreeSet<>();
        for (MachineType machineType : machineTypes.values()) {
            if (canRunOn(machineType, spec)) {
                zones.addAll(machineType.zones());
            }
        }
        if (spec.zone() != null) {
            zones.retainAll(Set.of(spec.zone()));
        }
        return zones;
    }

    private static boolean canRunOn(MachineType machineType, JobSpec spec) {
        return isAllowed(spec, machineType.name())
                && machineType.fits(spec)
                && (spec.zone() == null || machineType.zones().contains(spec.zone()));
    }

    /** Whether the job may run on machines of this type. */
    public static boolean isAllowed(JobSpec spec, String machineType) {
        return spec.machineTypes() == null || spec.machineTypes().contains(machineType);
    }
}
