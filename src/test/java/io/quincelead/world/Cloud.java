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
    public record Shape(String label, double vcpus, double cards, double ramGb, double price, double spotPrice, double bootS,
            List<String> sites, int capacity) { }

    private record Listed(long at, ArrayNode hosts) { }

    private final World world;
    private final Sim sim;
    private final List<Shape> shapes;
    private final Map<String, ArrayNode> rentals = new HashMap<>();
    private final List<Listed> lists = new ArrayList<>();
    /** Machines that exist, by name. */
    public final TreeMap<String, Worker> machines = new TreeMap<>();
    public boolean down;
    /** Share of machines that never come up. */
    public double dud;
    /** Machines are up within two seconds. */
    public boolean quickBoots;
    private int names;

    /** Machines ever rented. */
    public int rented() {
        return names;
    }

    Cloud(World world, List<Shape> shapes) {
        this.world = world;
        this.sim = world.sim;
        this.shapes = shapes;
        sim.after(500, this::snapshot);
    }

    public Shape shape(String label) {
        return shapes.stream().filter(s -> s.label().equals(label)).findFirst().orElseThrow();
    }

    private void snapshot() {
        ArrayNode hosts = Codec.list();
        for (Worker w : machines.values()) {
            hosts.addObject().put("nameId", w.host).put("addr", w.addr).put("shape", w.shape.label()).put("site", w.site)
                    .put("preemptible", w.spot).put("status", w.dead ? "failed" : w.up ? "running" : "booting")
                    .put("ageS", (sim.now() - w.rentedAt) / 1000.0);
        }
        lists.add(new Listed(sim.now(), hosts));
        sim.after(500, this::snapshot);
    }

    public void handle(Request r) {
        if (down) {
            r.refuse(503, "trouble");
            return;
        }
        if (r.path.equals("/catalog")) {
            ObjectNode out = Codec.map();
            ArrayNode list = out.putArray("shapes");
            for (Shape s : shapes) {
                ObjectNode n = list.addObject().put("label", s.label()).put("vcpus", s.vcpus()).put("cards", s.cards()).put("ramGb", s.ramGb())
                        .put("localGb", 50).put("pullGbPerS", 1).put("price", s.price()).put("spotPrice", s.spotPrice()).put("bootS", s.bootS());
                s.sites().forEach(n.putArray("sites")::add);
            }
            r.answer(200, out);
        } else if (r.path.equals("/rentals/release")) {
            for (JsonNode h : Codec.CBOR.readMap(r.body).path("hosts")) {
                Worker w = machines.remove(h.asText());
                if (w != null) {
                    w.destroy();
                }
            }
            r.answer(200, Codec.map());
        } else if (r.method.equals("GET")) {
            ObjectNode out = Codec.map().put("truncated", false);
            out.putArray("hosts");
            for (Listed l : lists) {
                if (l.at <= sim.now() - 8000) {
                    out.set("hosts", l.hosts);
                }
            }
            r.answer(200, out);
        } else {
            rent(r, Codec.CBOR.readMap(r.body));
        }
    }

    private Worker machine(Shape s, String site, boolean spot) {
        String host = String.format("i-%06d", ++names);
        Worker w = new Worker(world, host, "10.1." + names / 250 + "." + names % 250 + ":9000", s, site, spot);
        machines.put(host, w);
        return w;
    }

    /** Machines that are there and up before any controller is. */
    public void present(String label, String site, int howMany) {
        for (int i = 0; i < howMany; i++) {
            Worker w = machine(shape(label), site, false);
            sim.after(sim.random.nextInt(1_000), w::boot);
        }
    }

    private void rent(Request r, ObjectNode body) {
        String name = body.path("rental").asText();
        ArrayNode hosts = rentals.get(name);
        if (hosts == null) {
            Shape s = shape(body.path("shape").asText());
            long used = machines.values().stream().filter(w -> w.shape == s && !w.dead).count();
            int n = (int) Math.min(body.path("howMany").asInt(), s.capacity() - used);
            if (n <= 0) {
                r.refuse(503, "no capacity");
                return;
            }
            hosts = Codec.list();
            for (int i = 0; i < n; i++) {
                Worker w = machine(s, body.path("site").asText(), body.path("preemptible").asBoolean());
                String host = w.host;
                if (sim.random.nextDouble() >= dud) {
                    sim.after(quickBoots ? 200 + sim.random.nextLong(1_800) : (long) (s.bootS() * 1000 * (0.5 + sim.random.nextDouble())), w::boot);
                }
                hosts.add(host);
            }
            rentals.put(name, hosts);
        }
        ObjectNode out = Codec.map();
        out.set("hosts", hosts);
        r.answer(200, out);
    }
}
