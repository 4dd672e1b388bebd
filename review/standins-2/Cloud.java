package standins2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL, "Controller nodes -> cloud". */
final class Cloud {
    private record Shot(long at, List<ObjectNode> hosts) {}

    private final Lab lab;
    final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> granted = new HashMap<>();
    private final List<Shot> shots = new ArrayList<>();
    private int created;

    /** How many machines, the first ones, never come up. */
    int neverUp;

    /** No further machine is available. */
    boolean full;

    /** No spot machine is available; ordinary ones are. */
    boolean noSpot;

    Cloud(Lab lab) {
        this.lab = lab;
    }

    /** Keeps what the delayed list shows; called every half second. */
    synchronized void takeShot() {
        List<ObjectNode> hosts = new ArrayList<>();
        for (Machine machine : machines.values()) {
            hosts.add(
                    Wire.map()
                            .put("nameId", machine.host)
                            .put("addr", machine.address)
                            .put("shape", machine.shape.label())
                            .put("site", machine.zone)
                            .put("preemptible", machine.spot)
                            .put("status", machine.up ? "running" : "booting")
                            .put("ageS", (System.currentTimeMillis() - machine.rentedAt) / 1000.0));
        }
        shots.add(new Shot(System.currentTimeMillis(), hosts));
    }

    Wire.Answer handle(Wire.Request request) throws Exception {
        switch (request.path()) {
            case "/catalog" -> {
                ObjectNode body = Wire.map();
                ArrayNode shapes = body.putArray("shapes");
                for (Site.Shape shape : lab.site.shapes) {
                    ObjectNode node =
                            shapes.addObject()
                                    .put("label", shape.label())
                                    .put("vcpus", shape.vcpus())
                                    .put("cards", shape.cards())
                                    .put("ramGb", shape.ramGb())
                                    .put("localGb", 50.0)
                                    .put("pullGbPerS", shape.pullGbPerS())
                                    .put("price", shape.price())
                                    .put("spotPrice", shape.spotPrice())
                                    .put("bootS", shape.bootS());
                    ArrayNode sites = node.putArray("sites");
                    lab.site.zones.forEach(sites::add);
                }
                return Wire.answer(200, body);
            }
            case "/rentals" -> {
                return request.method().equals("POST") ? rent(request.body()) : list(request);
            }
            case "/rentals/release" -> {
                List<Machine> gone = new ArrayList<>();
                synchronized (this) {
                    for (JsonNode host : request.body().path("hosts")) {
                        Machine machine = machines.remove(host.asText());
                        if (machine != null) {
                            gone.add(machine);
                        }
                    }
                }
                for (Machine machine : gone) {
                    machine.delete();
                    lab.note("machine " + machine.host + " released");
                }
                return Wire.answer(200, null);
            }
            default -> {
                return Wire.error(404, "no such path");
            }
        }
    }

    /** The cloud takes a machine back without notice. */
    void take(Machine machine) {
        synchronized (this) {
            machines.remove(machine.host);
        }
        machine.delete();
        lab.note("the cloud takes " + machine.host + " (" + machine.shape.label() + ") back");
    }

    private synchronized Wire.Answer rent(ObjectNode body) throws Exception {
        String rental = body.path("rental").asText();
        List<String> hosts = granted.get(rental);
        if (hosts == null) {
            Site.Shape shape = lab.site.shape(body.path("shape").asText());
            String zone = body.path("site").asText();
            boolean spot = body.path("preemptible").asBoolean();
            long present =
                    machines.values().stream()
                            .filter(m -> m.shape == shape && m.zone.equals(zone) && m.spot == spot)
                            .count();
            int count =
                    (int) Math.min(body.path("howMany").asInt(), shape.capacity() - present);
            if (count <= 0 || full || spot && noSpot) {
                lab.note("cloud has no " + shape.label() + " in " + zone + (spot ? ", spot" : ""));
                return Wire.error(503, "no capacity");
            }
            hosts = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Machine machine =
                        new Machine(
                                lab, String.format("i-%06d", ++created), shape, zone, spot);
                machines.put(machine.host, machine);
                hosts.add(machine.host);
                if (created > neverUp) {
                    machine.boot(lab.site.bootMillis);
                }
            }
            granted.put(rental, hosts);
            lab.note(
                    "cloud rents "
                            + count
                            + " "
                            + shape.label()
                            + " in "
                            + zone
                            + (spot ? ", spot" : ""));
        }
        ObjectNode answer = Wire.map();
        ArrayNode names = answer.putArray("hosts");
        hosts.forEach(names::add);
        return Wire.answer(200, answer);
    }

    private synchronized Wire.Answer list(Wire.Request request) {
        long at = System.currentTimeMillis() - (long) (lab.site.listLagS * 1000);
        Shot shot = new Shot(0, List.of());
        for (Shot candidate : shots) {
            if (candidate.at <= at) {
                shot = candidate;
            }
        }
        String after = request.query().getOrDefault("after", "");
        int limit = Integer.parseInt(request.query().getOrDefault("limit", "500"));
        ObjectNode body = Wire.map();
        ArrayNode hosts = body.putArray("hosts");
        boolean truncated = false;
        for (ObjectNode host : shot.hosts) {
            if (host.path("nameId").asText().compareTo(after) > 0) {
                if (hosts.size() == limit) {
                    truncated = true;
                    break;
                }
                hosts.add(host);
            }
        }
        return Wire.answer(200, body.put("truncated", truncated));
    }
}
