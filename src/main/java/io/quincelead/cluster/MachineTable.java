package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machines on record, from the rental until the cloud has confirmed their release. Machines
 * that were rented together share a record, so that a large rental, a wave of losses or a wave of
 * returns costs few changes.
 */
public final class MachineTable {
    /**
     * A machine. {@code addr} is null until the cloud's list has shown it: whoever takes the
     * machine over can then show its worker the new term at once. {@code returning} is recorded
     * before the release is asked for, so a successor asks again. A {@code closed} one gets no new
     * tasks.
     */
    public record Machine(
            String host,
            String groupId,
            String machineType,
            String zone,
            boolean spot,
            String address,
            long rentedAtEpochMillis,
            boolean releasing,
            boolean cordoned) {
        /** A machine just rented. */
        public Machine(
                String host,
                String groupId,
                String machineType,
                String zone,
                boolean spot,
                long rentedAtEpochMillis) {
            this(host, groupId, machineType, zone, spot, null, rentedAtEpochMillis, false, false);
        }

        public Machine asReleasing() {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    address,
                    rentedAtEpochMillis,
                    true,
                    cordoned);
        }

        public Machine withCordoned(boolean nowCordoned) {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    address,
                    rentedAtEpochMillis,
                    releasing,
                    nowCordoned);
        }

        public Machine withAddress(String newAddress) {
            return new Machine(
                    host,
                    groupId,
                    machineType,
                    zone,
                    spot,
                    newAddress,
                    rentedAtEpochMillis,
                    releasing,
                    cordoned);
        }

        /** The record it shares. */
        public String storeKey() {
            return StoreKeys.MACHINE_PREFIX + groupId;
        }
    }

    private final WatchCache mirror;
    private final Map<String, Machine> machinesByHost = new LinkedHashMap<>();
    private final Map<String, List<String>> hostsByGroup = new HashMap<>();
    private final Set<String> cordonedHosts = new HashSet<>();
    private long version;

    /** Heavy images that machines have, as recorded, with their GB. */
    private final Map<String, Map<String, Double>> largeImagesByHost = new HashMap<>();

    private java.util.function.Function<String, Map<String, Double>> currentLargeImages = h -> null;
    private java.util.function.BiConsumer<String, Map<String, Double>> largeImagesListener =
            (h, i) -> {};

    public MachineTable(WatchCache mirror) {
        this.mirror = mirror;
        mirror.addPrefixListener(
                StoreKeys.MACHINE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode v, long stamp) {
                        applyRecord(key.substring(StoreKeys.MACHINE_PREFIX.length()), v);
                    }

                    @Override
                    public void onRemove(String key) {
                        forgetGroup(key.substring(StoreKeys.MACHINE_PREFIX.length()), Set.of());
                    }
                });
    }

    private void applyRecord(String groupId, JsonNode node) {
        version++;
        Set<String> releasing = textSet(node.path("x"));
        Set<String> cordoned = textSet(node.path("q"));
        List<String> hosts = new ArrayList<>();
        node.path("h").forEach(h -> hosts.add(h.asText()));
        forgetGroup(groupId, new HashSet<>(hosts));
        for (String h : hosts) {
            machinesByHost.put(
                    h,
                    new Machine(
                            h,
                            groupId,
                            node.path("k").asText(),
                            node.path("s").asText(),
                            node.path("p").asBoolean(),
                            node.path("a").path(h).isTextual()
                                    ? node.path("a").path(h).asText()
                                    : null,
                            node.path("r").asLong(),
                            releasing.contains(h),
                            cordoned.contains(h)));
        }
        hosts.forEach(largeImagesByHost::remove);
        node.path("w")
                .fields()
                .forEachRemaining(
                        field -> {
                            Map<String, Double> images = new java.util.TreeMap<>();
                            field.getValue()
                                    .fields()
                                    .forEachRemaining(
                                            image ->
                                                    images.put(
                                                            image.getKey(),
                                                            image.getValue().asDouble()));
                            largeImagesByHost.put(field.getKey(), images);
                            largeImagesListener.accept(field.getKey(), images);
                        });
        hostsByGroup.put(groupId, hosts);
        cordonedHosts.removeAll(hosts);
        cordonedHosts.addAll(cordoned);
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

    private static Set<String> textSet(JsonNode list) {
        Set<String> out = new HashSet<>();
        list.forEach(text -> out.add(text.asText()));
        return out;
    }

    /**
     * Heavy images are recorded with their machines: {@code now} tells a machine's; {@code
     * recorded} hears of what is on record.
     */
    public void trackLargeImages(
            java.util.function.Function<String, Map<String, Double>> current,
            java.util.function.BiConsumer<String, Map<String, Double>> listener) {
        currentLargeImages = current;
        largeImagesListener = listener;
    }

    /** The heavy images that are on record for it, with their GB. */
    public Map<String, Double> recordedLargeImages(String host) {
        return largeImagesByHost.getOrDefault(host, Map.of());
    }

    public Machine get(String host) {
        return machinesByHost.get(host);
    }

    public Collection<Machine> all() {
        return machinesByHost.values();
    }

    /** Rises with every change of what is on record. */
    public long version() {
        return version;
    }

    /** Machines that get no new tasks. */
    public Set<String> cordonedHosts() {
        return cordonedHosts;
    }

    /** Changes of machines that are part of one transaction. */
    public MachineEdits beginEdits(Transaction transaction) {
        return new MachineEdits(transaction);
    }

    /**
     * Keeps a transaction's machine records in step with the changes asked for; each shared record
     * is written once.
     */
    public final class MachineEdits {
        private final Transaction transaction;
        private final Map<String, Map<String, Machine>> machinesByEditedGroup = new HashMap<>();

        /**
         * Records begun for unexpected machines, by what all machines of one record have in common.
         */
        private final Map<String, String> openGroupByAttributes = new HashMap<>();

        private MachineEdits(Transaction transaction) {
            this.transaction = transaction;
        }

        private Map<String, Machine> machinesOf(String groupId) {
            return machinesByEditedGroup.computeIfAbsent(
                    groupId,
                    g -> {
                        Map<String, Machine> current = new LinkedHashMap<>();
                        hostsByGroup
                                .getOrDefault(g, List.of())
                                .forEach(host -> current.put(host, machinesByHost.get(host)));
                        return current;
                    });
        }

        /**
         * Takes in a machine that is on no record. Alike ones share one: a whole cluster may be
         * found up at once.
         */
        public void addUnexpected(
                String host,
                String machineType,
                String zone,
                boolean spot,
                String address,
                long rentedAtEpochMillis) {
            String attributes = machineType + "/" + zone + "/" + spot;
            String groupId = openGroupByAttributes.get(attributes);
            if (groupId == null
                    || machinesOf(groupId).size()
                            >= AutoscalerConstants.MAX_MACHINES_PER_PROVISIONING_REQUEST) {
                groupId = "s-" + host;
                openGroupByAttributes.put(attributes, groupId);
            }
            put(
                    new Machine(host, groupId, machineType, zone, spot, rentedAtEpochMillis)
                            .withAddress(address));
            // The record may be gone again when a copy of this comes: its guard of 0 would then
            // hold, and bring back machines that are gone.
            transaction
                    .requireRevision(
                            StoreKeys.UNEXPECTED_MACHINE_INTAKE,
                            mirror.modRevision(StoreKeys.UNEXPECTED_MACHINE_INTAKE))
                    .put(StoreKeys.UNEXPECTED_MACHINE_INTAKE, WireFormat.newMap());
        }

        public void put(Machine machine) {
            Map<String, Machine> groupMachines = machinesOf(machine.groupId());
            groupMachines.put(machine.host(), machine);
            write(machine.storeKey(), groupMachines);
        }

        public void remove(Machine machine) {
            Map<String, Machine> groupMachines = machinesOf(machine.groupId());
            groupMachines.remove(machine.host());
            write(machine.storeKey(), groupMachines);
        }

        private void write(String key, Map<String, Machine> groupMachines) {
            transaction.requireRevision(key, mirror.modRevision(key));
            if (groupMachines.isEmpty()) {
                transaction.remove(key);
                return;
            }
            Machine any = groupMachines.values().iterator().next();
            ObjectNode node =
                    WireFormat.newMap()
                            .put("k", any.machineType())
                            .put("s", any.zone())
                            .put("p", any.spot())
                            .put("r", any.rentedAtEpochMillis());
            ArrayNode hosts = node.putArray("h");
            ArrayNode releasing = WireFormat.newList();
            ArrayNode cordoned = WireFormat.newList();
            ObjectNode addresses = WireFormat.newMap();
            for (Machine machine : groupMachines.values()) {
                hosts.add(machine.host());
                if (machine.releasing()) {
                    releasing.add(machine.host());
                }
                if (machine.cordoned()) {
                    cordoned.add(machine.host());
                }
                if (machine.address() != null) {
                    addresses.put(machine.host(), machine.address());
                }
            }
            if (!addresses.isEmpty()) {
                node.set("a", addresses);
            }
            if (!releasing.isEmpty()) {
                node.set("x", releasing);
            }
            if (!cordoned.isEmpty()) {
                node.set("q", cordoned);
            }
            ObjectNode largeImages = WireFormat.newMap();
            for (Machine machine : groupMachines.values()) {
                Map<String, Double> current = currentLargeImages.apply(machine.host());
                current = current == null ? recordedLargeImages(machine.host()) : current;
                if (!current.isEmpty()) {
                    ObjectNode images = largeImages.putObject(machine.host());
                    current.forEach(images::put);
                }
            }
            // Where weights are is worth a record only as far as it fits beside the machines.
            if (!largeImages.isEmpty()
                    && largeImages.toString().length() + node.toString().length()
                            < RecordConstants.MAX_MACHINE_RECORD_CHARS) {
                node.set("w", largeImages);
            }
            transaction.put(key, node);
        }
    }
}
