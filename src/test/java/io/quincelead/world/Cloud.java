package io.quincelead.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud: rents and returns workers; its list lags. */
public final class Cloud {
    /** A machine type. */
    public record Shape(String name, double cpus, double gpus, double memoryGb, double price, double spotPrice, double bootSeconds,
            List<String> zones, int capacity) { }

    private record Listed(long takenAtMillis, ArrayNode hosts) { }

    private final World cluster;
    private final Sim clock;
    private final List<Shape> machineTypes;
    private final Map<String, ArrayNode> hostsByRequest = new HashMap<>();
    private final List<Listed> inventorySnapshots = new ArrayList<>();
    /** Machines that exist, by name. */
    public final TreeMap<String, Worker> machines = new TreeMap<>();
    public boolean down;
    /** Share of machines that never come up. */
    public double bootFailureRate;
    /** Machines are up within two seconds. */
    public boolean fastBoots;
    private int lastInstanceNumber;

    /** Machines ever rented. */
    public int rentedMachineCount() {
        return lastInstanceNumber;
    }

    Cloud(World cluster, List<Shape> machineTypes) {
        this.cluster = cluster;
        this.clock = cluster.clock;
        this.machineTypes = machineTypes;
        clock.schedule(500, this::takeInventorySnapshot);
    }

    public Shape machineType(String name) {
        return machineTypes.stream().filter(type -> type.name().equals(name)).findFirst().orElseThrow();
    }

    private void takeInventorySnapshot() {
        ArrayNode hosts = Codec.newList();
        for (Worker worker : machines.values()) {
            hosts.addObject().put("nameId", worker.host).put("addr", worker.address).put("shape", worker.machineType.name()).put("site", worker.zone)
                    .put("preemptible", worker.spot).put("status", worker.dead ? "failed" : worker.up ? "running" : "booting")
                    .put("ageS", (clock.nowMillis() - worker.rentedAtMillis) / 1000.0);
        }
        inventorySnapshots.add(new Listed(clock.nowMillis(), hosts));
        clock.schedule(500, this::takeInventorySnapshot);
    }

    public void handle(Request request) {
        if (down) {
            request.respondError(503, "trouble");
            return;
        }
        if (request.path.equals("/catalog")) {
            ObjectNode response = Codec.newMap();
            ArrayNode types = response.putArray("shapes");
            for (Shape type : machineTypes) {
                ObjectNode node = types.addObject().put("label", type.name()).put("vcpus", type.cpus()).put("cards", type.gpus()).put("ramGb", type.memoryGb())
                        .put("localGb", 50).put("pullGbPerS", 1).put("price", type.price()).put("spotPrice", type.spotPrice()).put("bootS", type.bootSeconds());
                type.zones().forEach(node.putArray("sites")::add);
            }
            request.respond(200, response);
        } else if (request.path.equals("/rentals/release")) {
            for (JsonNode host : Codec.CBOR.decodeMap(request.body).path("hosts")) {
                Worker worker = machines.remove(host.asText());
                if (worker != null) {
                    worker.release();
                }
            }
            request.respond(200, Codec.newMap());
        } else if (request.method.equals("GET")) {
            ObjectNode response = Codec.newMap().put("truncated", false);
            response.putArray("hosts");
            for (Listed snapshot : inventorySnapshots) {
                if (snapshot.takenAtMillis <= clock.nowMillis() - 8000) {
                    response.set("hosts", snapshot.hosts);
                }
            }
            request.respond(200, response);
        } else {
            provision(request, Codec.CBOR.decodeMap(request.body));
        }
    }

    private Worker createMachine(Shape type, String zone, boolean spot) {
        String host = String.format("i-%06d", ++lastInstanceNumber);
        Worker worker = new Worker(cluster, host, "10.1." + lastInstanceNumber / 250 + "." + lastInstanceNumber % 250 + ":9000", type, zone, spot);
        machines.put(host, worker);
        return worker;
    }

    /** Machines that are there and up before any controller is. */
    public void addRunningMachines(String name, String zone, int count) {
        for (int i = 0; i < count; i++) {
            Worker worker = createMachine(machineType(name), zone, false);
            clock.schedule(clock.random.nextInt(1_000), worker::boot);
        }
    }

    private void provision(Request request, ObjectNode body) {
        String name = body.path("rental").asText();
        ArrayNode hosts = hostsByRequest.get(name);
        if (hosts == null) {
            Shape type = machineType(body.path("shape").asText());
            long used = machines.values().stream().filter(worker -> worker.machineType == type && !worker.dead).count();
            int count = (int) Math.min(body.path("howMany").asInt(), type.capacity() - used);
            if (count <= 0) {
                request.respondError(503, "no capacity");
                return;
            }
            hosts = Codec.newList();
            for (int i = 0; i < count; i++) {
                Worker worker = createMachine(type, body.path("site").asText(), body.path("preemptible").asBoolean());
                String host = worker.host;
                if (clock.random.nextDouble() >= bootFailureRate) {
                    clock.schedule(fastBoots ? 200 + clock.random.nextLong(1_800) : (long) (type.bootSeconds() * 1000 * (0.5 + clock.random.nextDouble())), worker::boot);
                }
                hosts.add(host);
            }
            hostsByRequest.put(name, hosts);
        }
        ObjectNode response = Codec.newMap();
        response.set("hosts", hosts);
        request.respond(200, response);
    }
}
