package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * The machines on record, from provisioning until the cloud has confirmed their release; follows
 * the watch cache. Machines that were provisioned together share a record, so that a large
 * scale-out or many simultaneous losses or releases cost few store changes.
 */
public final class MachineTable {
    /**
     * A machine.
     *
     * @param groupId identifies the record that the machine shares with others
     * @param address the worker's address, with which a new owner can send the worker the new
     *     fencing token at once; null until the cloud's list has contained it
     * @param provisionedAtEpochMillis wall-clock time of provisioning, or of its discovery if
     *     unexpected
     * @param releasing whether the machine is being released; recorded before the release is
     *     requested, so that a new leader requests it again
     * @param cordoned whether the machine gets no new tasks
     */
    public record Machine(
            String host,
            String groupId,
            String machineType,
            String zone,
            boolean spot,
            String address,
            long provisionedAtEpochMillis,
            boolean releasing,
            boolean cordoned) {
        /** Creates a machine that has just been provisioned. */
        public Machine(
                String host,
                String groupId,
                String machineType,
                String zone,
                boolean spot,
                long provisionedAtEpochMillis) {
            this(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    null,
                    provisionedAtEpochMillis,
                    false,
                    false);
        }

        /** Returns a copy of this machine that is marked as being released. */
        public Machine asReleasing() {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    address,
                    provisionedAtEpochMillis,
                    true,
                    cordoned);
        }

        /** Returns a copy of this machine that is cordoned or uncordoned. */
        public Machine withCordoned(boolean nowCordoned) {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    address,
                    provisionedAtEpochMillis,
                    releasing,
                    nowCordoned);
        }

        /** Returns a copy of this machine with the address of its worker. */
        public Machine withAddress(String newAddress) {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    newAddress,
                    provisionedAtEpochMillis,
                    releasing,
                    cordoned);
        }

        /** The store key of the record that this machine shares with others. */
        public String storeKey() {
            return StoreKeys.MACHINE_PREFIX + groupId;
        }
    }

    private final WatchCache watchCache;
    private final Map<String, Machine> machinesByHost = new LinkedHashMap<>();
    private final Collection<Machine> machinesView =
            Collections.unmodifiableCollection(machinesByHost.values());
    private final Map<String, List<String>> hostsByGroup = new HashMap<>();
    private final Set<String> cordonedHosts = new HashSet<>();
    private final Set<String> cordonedHostsView = Collections.unmodifiableSet(cordonedHosts);
    private long version;

    /** Large images on record for each machine, with their sizes in GB. */
    private final Map<String, Map<String, Double>> largeImagesByHost = new HashMap<>();

    private Function<String, Map<String, Double>> largeImagesSource = host -> null;
    private BiConsumer<String, Map<String, Double>> largeImagesListener = (host, images) -> {};

    /** Creates a table that is empty until the watch cache has read the store. */
    public MachineTable(WatchCache watchCache) {
        this.watchCache = watchCache;
        watchCache.addPrefixListener(
                StoreKeys.MACHINE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        applyRecord(key.substring(StoreKeys.MACHINE_PREFIX.length()), value);
                    }

                    @Override
                    public void onRemove(String key) {
                        removeGroup(key.substring(StoreKeys.MACHINE_PREFIX.length()), Set.of());
                    }
                });
    }

    private void applyRecord(String groupId, JsonNode node) {
        version++;
        MachineRecordCodec.MachineGroup group = MachineRecordCodec.decode(groupId, node);
        List<String> hosts = new ArrayList<>();
        group.machines().forEach(machine -> hosts.add(machine.host()));
        removeGroup(groupId, new HashSet<>(hosts));
        group.machines().forEach(machine -> machinesByHost.put(machine.host(), machine));
        hosts.forEach(largeImagesByHost::remove);
        group.largeImagesByHost()
                .forEach(
                        (host, images) -> {
                            largeImagesByHost.put(host, images);
                            largeImagesListener.accept(host, images);
                        });
        hostsByGroup.put(groupId, hosts);
        cordonedHosts.removeAll(hosts);
        group.machines().stream()
                .filter(Machine::cordoned)
                .forEach(machine -> cordonedHosts.add(machine.host()));
    }

    private void removeGroup(String groupId, Set<String> remainingHosts) {
        version++;
        for (String host : hostsByGroup.getOrDefault(groupId, List.of())) {
            if (!remainingHosts.contains(host)) {
                machinesByHost.remove(host);
                cordonedHosts.remove(host);
                largeImagesByHost.remove(host);
            }
        }
        hostsByGroup.remove(groupId);
    }

    /**
     * Enables recording of large images with their machines. Set after construction because {@link
     * ImageCaches}, which supplies the images, depends on this table.
     *
     * @param source returns the large images of a machine with their sizes in GB; null: the images
     *     on record stay unchanged
     * @param listener called with each machine and its recorded large images when a record is read
     */
    public void trackLargeImages(
            Function<String, Map<String, Double>> source,
            BiConsumer<String, Map<String, Double>> listener) {
        largeImagesSource = source;
        largeImagesListener = listener;
    }

    /** The large images on record for the machine, with their sizes in GB; empty if none. */
    public Map<String, Double> recordedLargeImages(String host) {
        return largeImagesByHost.getOrDefault(host, Map.of());
    }

    /** The large images to store in the machine's next record. */
    Map<String, Double> largeImagesToRecord(String host) {
        Map<String, Double> current = largeImagesSource.apply(host);
        return current == null ? recordedLargeImages(host) : current;
    }

    /** A copy of the machines of one record, by host. */
    Map<String, Machine> groupMachines(String groupId) {
        Map<String, Machine> machines = new LinkedHashMap<>();
        for (String host : hostsByGroup.getOrDefault(groupId, List.of())) {
            machines.put(host, machinesByHost.get(host));
        }
        return machines;
    }

    /** The machine with this host; null if it is not on record. */
    public Machine get(String host) {
        return machinesByHost.get(host);
    }

    /** All machines on record; a live, unmodifiable view. */
    public Collection<Machine> all() {
        return machinesView;
    }

    /** Increases with every change of the machines on record. */
    public long version() {
        return version;
    }

    /** The hosts of cordoned machines, which get no new tasks; a live, unmodifiable view. */
    public Set<String> cordonedHosts() {
        return cordonedHostsView;
    }

    /** Returns an editor that adds changes of machines to the transaction. */
    public MachineEdits beginEdits(Transaction transaction) {
        return new MachineEdits(this, watchCache, transaction);
    }
}
