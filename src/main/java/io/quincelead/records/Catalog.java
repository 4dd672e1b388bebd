package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The machine types, as the leader last read them from the cloud and recorded them for all controllers. */
public final class Catalog {
    /** A machine type; prices are per hour. */
    public record Shape(String label, double vcpus, double cards, double ramGb, double localGb, double pullGbPerS, double price,
            double spotPrice, double bootS, List<String> sites) {

        public double price(boolean spot) {
            return spot ? spotPrice : price;
        }

        public boolean holds(JobSpec s) {
            return s.vcpus() <= vcpus && s.cards() <= cards && s.ramGb() <= ramGb;
        }

        /** The record of this type. */
        public ObjectNode encode() {
            ObjectNode n = Codec.map().put("label", label).put("vcpus", vcpus).put("cards", cards).put("ramGb", ramGb).put("localGb", localGb)
                    .put("pullGbPerS", pullGbPerS).put("price", price).put("spotPrice", spotPrice).put("bootS", bootS);
            sites.forEach(n.putArray("sites")::add);
            return n;
        }

        /** A type as the cloud's catalog and our record have it (protocol, "GET /catalog"); what is missing gets a careful value. */
        public static Shape read(JsonNode n) {
            List<String> sites = new ArrayList<>();
            n.path("sites").forEach(s -> sites.add(s.asText()));
            double price = n.path("price").asDouble();
            return new Shape(n.path("label").asText(), n.path("vcpus").asDouble(), n.path("cards").asDouble(),
                    n.path("ramGb").asDouble(), n.path("localGb").asDouble(20), n.path("pullGbPerS").asDouble(1), price,
                    n.path("spotPrice").asDouble(price), n.path("bootS").asDouble(30), sites);
        }
    }

    private final Map<String, Shape> shapes = new TreeMap<>();

    public Catalog(Mirror mirror) {
        mirror.view(Keys.SHAPE, new Mirror.View() {
            @Override public void put(String key, JsonNode value, long stamp) {
                Shape s = Shape.read(value);
                shapes.put(s.label(), s);
            }

            @Override public void remove(String key) {
                shapes.remove(key.substring(Keys.SHAPE.length()));
            }
        });
    }

    public boolean known() {
        return !shapes.isEmpty();
    }

    public Shape get(String label) {
        return shapes.get(label);
    }

    public Collection<Shape> all() {
        return shapes.values();
    }

    /** Prices move; the leader's last reading counts for the leader alone and is not recorded again. */
    public void current(Shape shape) {
        shapes.put(shape.label(), shape);
    }

    /** Whether some allowed machine could ever hold one task of the job. */
    public boolean fitsSome(JobSpec s) {
        return shapes.values().stream().anyMatch(t -> allowed(s, t.label()) && t.holds(s)
                && (s.site() == null || t.sites().contains(s.site())));
    }

    public static boolean allowed(JobSpec s, String shape) {
        return s.shapes() == null || s.shapes().contains(shape);
    }
}
