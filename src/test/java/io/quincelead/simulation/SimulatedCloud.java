package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A simulated cloud that provisions and releases machines; its list of machines lags. */
public final class SimulatedCloud {
    /**
     * A machine type that the cloud offers, with the zones that have it and the most machines that
     * exist at once.
     */
    public record MachineType(
            String name,
            double cpus,
            double gpus,
            double memoryGb,
            double price,
            double spotPrice,
            double bootSeconds,
            List<String> zones,
            int capacity) {
        /** The usual machine type of tests: 8 CPUs, 32 GB, no GPUs. */
        static MachineType small(double bootSeconds, List<String> zones, int capacity) {
            return new MachineType("small", 8, 0, 32, 0.4, 0.15, bootSeconds, zones, capacity);
        }
    }

    private record InventorySnapshot(long takenAtMillis, ArrayNode hosts) {}

    private final SimulatedCluster cluster;
    private final SimulatedClock clock;
    private final List<MachineType> machineTypes;
    private final Map<String, ArrayNode> hostsByRequest = new HashMap<>();
    private final List<InventorySnapshot> inventorySnapshots = new ArrayList<>();

    /** Existing machines by host. */
    public final TreeMap<String, SimulatedWorker> machines = new TreeMap<>();

    public boolean down;

    /** Whether there is no capacity for spot machines. */
    public boolean refusesSpot;

    /** Share of machines that never boot. */
    public double bootFailureRate;

    /** Whether machines boot within two seconds. */
    public boolean fastBoots;

    private int lastInstanceNumber;

    /** Number of machines that were ever provisioned. */
    public int provisionedMachineCount() {
        return lastInstanceNumber;
    }

    SimulatedCloud(SimulatedCluster cluster, List<MachineType> machineTypes) {
        this.cluster = cluster;
        this.clock = cluster.clock;
        this.machineTypes = machineTypes;
        clock.schedule(500, this::takeInventorySnapshot);
    }

    public MachineType machineType(String name) {
        return machineTypes.stream()
                .filter(type -> type.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void takeInventorySnapshot() {
        ArrayNode hosts = WireFormat.newList();
        for (SimulatedWorker worker : machines.values()) {
            hosts.addObject()
                    .put("nameId", worker.host)
                    .put("addr", worker.address)
                    .put("shape", worker.machineType.name())
                    .put("site", worker.zone)
                    .put("preemptible", worker.spot)
                    .put("status", worker.dead ? "failed" : worker.up ? "running" : "booting")
                    .put("ageS", (clock.nowMillis() - worker.provisionedAtMillis) / 1000.0);
        }
        inventorySnapshots.add(new InventorySnapshot(clock.nowMillis(), hosts));
        clock.schedule(500, this::takeInventorySnapshot);
    }

    public void handle(IncomingRequest request) {
        if (down) {
            request.respondError(503, "trouble");
            return;
        }
        if (request.path.equals("/catalog")) {
            ObjectNode response = WireFormat.newMap();
            ArrayNode types = response.putArray("shapes");
            for (MachineType type : machineTypes) {
                ObjectNode node =
                        types.addObject()
                                .put("label", type.name())
                                .put("vcpus", type.cpus())
                                .put("cards", type.gpus())
                                .put("ramGb", type.memoryGb())
                                .put("localGb", 50)
                                .put("pullGbPerS", 1)
                                .put("price", type.price())
                                .put("spotPrice", type.spotPrice())
                                .put("bootS", type.bootSeconds());
                type.zones().forEach(node.putArray("sites")::add);
            }
            request.respond(200, response);
        } else if (request.path.equals("/rentals/release")) {
            for (JsonNode host : WireFormat.CBOR.decodeMap(request.body).path("hosts")) {
                SimulatedWorker worker = machines.remove(host.asText());
                if (worker != null) {
                    worker.release();
                }
            }
            request.respond(200, WireFormat.newMap());
        } else if (request.method.equals("GET")) {
            ObjectNode response = WireFormat.newMap().put("truncated", false);
            response.putArray("hosts");
            for (InventorySnapshot snapshot : inventorySnapshots) {
                if (snapshot.takenAtMillis <= clock.nowMillis() - 8000) {
                    response.set("hosts", snapshot.hosts);
                }
            }
            request.respond(200, response);
        } else {
            provision(request, WireFormat.CBOR.decodeMap(request.body));
        }
    }

    private SimulatedWorker createMachine(MachineType type, String zone, boolean spot) {
        String host = String.format("i-%06d", ++lastInstanceNumber);
        SimulatedWorker worker =
                new SimulatedWorker(
                        cluster,
                        host,
                        "10.1."
                                + lastInstanceNumber / 250
                                + "."
                                + lastInstanceNumber % 250
                                + ":9000",
                        type,
                        zone,
                        spot);
        machines.put(host, worker);
        return worker;
    }

    /** Adds machines that boot within one second of the call; called before controllers start. */
    public void addRunningMachines(String machineTypeName, String zone, int count) {
        for (int i = 0; i < count; i++) {
            SimulatedWorker worker = createMachine(machineType(machineTypeName), zone, false);
            clock.schedule(clock.random.nextInt(1_000), worker::boot);
        }
    }

    private void provision(IncomingRequest request, ObjectNode body) {
        String requestName = body.path("rental").asText();
        ArrayNode hosts = hostsByRequest.get(requestName);
        if (hosts == null) {
            MachineType type = machineType(body.path("shape").asText());
            long used =
                    machines.values().stream()
                            .filter(worker -> worker.machineType == type && !worker.dead)
                            .count();
            int count = (int) Math.min(body.path("howMany").asInt(), type.capacity() - used);
            if (count <= 0 || refusesSpot && body.path("preemptible").asBoolean()) {
                request.respondError(503, "no capacity");
                return;
            }
            hosts = WireFormat.newList();
            for (int i = 0; i < count; i++) {
                SimulatedWorker worker =
                        createMachine(
                                type,
                                body.path("site").asText(),
                                body.path("preemptible").asBoolean());
                String host = worker.host;
                if (clock.random.nextDouble() >= bootFailureRate) {
                    clock.schedule(
                            fastBoots
                                    ? 200 + clock.random.nextLong(1_800)
                                    : (long)
                                            (type.bootSeconds()
                                                    * 1000
                                                    * (0.5 + clock.random.nextDouble())),
                            worker::boot);
                }
                hosts.add(host);
            }
            hostsByRequest.put(requestName, hosts);
        }
        ObjectNode response = WireFormat.newMap();
        response.set("hosts", hosts);
        request.respond(200, response);
    }
}
