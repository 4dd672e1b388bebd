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
 * The machines on record, from provisioning until the cloud has confirmed their release, as the
 * watch cache has them. Machines that were provisioned together share a record, so that a large
 * scale-out, a wave of losses or a wave of returns costs few changes.
 */
public final class MachineTable {
    /**
     * A machine.
     *
     * @param groupId names the record that it shares
     * @param address null until the cloud's list has shown it: a new owner can then show its worker
     *     the new fencing token at once
     * @param provisionedAtEpochMillis wall-clock time of provisioning, or of its discovery if
     *     unexpected
     * @param releasing recorded before the release is requested, so a successor requests it again
     * @param cordoned gets no new tasks
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
        /** A machine just provisioned. */
        public Machine(
                String host,
                String groupId,
                String machineType,
                String zone,
                boolean spot,
                long rentedAtEpochMillis) {
            this(host, groupId, machineType, zone, spot, null, rentedAtEpochMillis, false, false);
        }

        /** This machine while it is being released. */
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

        /** This machine cordoned, or not any more. */
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

        /** This machine with the address of its worker. */
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

        /** The store key of the record that it shares. */
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

    /** Large images that machines have, as recorded, with their GB. */
    private final Map<String, Map<String, Double>> largeImagesByHost = new HashMap<>();

    private Function<String, Map<String, Double>> currentLargeImages = host -> null;
    private BiConsumer<String, Map<String, Double>> largeImagesListener = (host, images) -> {};

    /** Empty until the watch cache has read the store. */
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
                        forgetGroup(key.substring(StoreKeys.MACHINE_PREFIX.length()), Set.of());
                    }
                });
    }

    private void applyRecord(String groupId, JsonNode node) {
        version++;
        MachineRecordCodec.MachineGroup group = MachineRecordCodec.decode(groupId, node);
        List<String> hosts = new ArrayList<>();
        group.machines().forEach(machine -> hosts.add(machine.host()));
        forgetGroup(groupId, new HashSet<>(hosts));
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

    private void forgetGroup(String groupId, Set<String> keptHosts) {
        version++;
        for (String host : hostsByGroup.getOrDefault(groupId, List.of())) {
            if (!keptHosts.contains(host)) {
                machinesByHost.remove(host);
                cordonedHosts.remove(host);
                largeImagesByHost.remove(host);
            }
        }
        hostsByGroup.remove(groupId);
    }

    /**
     * Has large images recorded with their machines. Set late because who knows the images ({@link
     * ImageCaches}) looks up machines here.
     *
     * @param current tells the large images of a machine with their GB; null: what is on record
     *     stays
     * @param listener called with what each record says of a machine
     */
    public void trackLargeImages(
            Function<String, Map<String, Double>> current,
            BiConsumer<String, Map<String, Double>> listener) {
        currentLargeImages = current;
        largeImagesListener = listener;
    }

    /** The large images that are on record for the machine, with their GB; empty if none. */
    public Map<String, Double> recordedLargeImages(String host) {
        return largeImagesByHost.getOrDefault(host, Map.of());
    }

    /** The large images that the machine's next record should name. */
    Map<String, Double> largeImagesToRecord(String host) {
        Map<String, Double> current = currentLargeImages.apply(host);
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

    /** The machine on record; null: there is none. */
    public Machine get(String host) {
        return machinesByHost.get(host);
    }

    /** All machines on record; a live, unmodifiable view. */
    public Collection<Machine> all() {
        return machinesView;
    }

    /** Rises with every change of what is on record. */
    public long version() {
        return version;
    }

    /** The machines that get no new tasks; a live, unmodifiable view. */
    public Set<String> cordonedHosts() {
        return cordonedHostsView;
    }

    /** Begins changes of machines that are part of the transaction. */
    public MachineEdits beginEdits(Transaction transaction) {
        return new MachineEdits(this, watchCache, transaction);
    }
}
