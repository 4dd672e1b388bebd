package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Who is alive, who leads and who holds which machines under which terms, as mirrored from the store. */
public final class Blocks {
    /** A live controller. */
    public record Node(String member, String address, long incarnation, long grant) { }

    /** The leadership, fixed to one incarnation of a controller. */
    public record Lead(String member, long incarnation, long term) {
        public ObjectNode encode() {
            return Codec.map().put("m", member).put("i", incarnation).put("t", term);
        }
    }

    /** What a team may use: CPUs and GPUs. */
    public record Amount(double cpus, double gpus) {
        public static final Amount NONE = new Amount(0, 0);

        /** What is left when tasks on record move to another controller with their job: their use moves out with them. */
        public Amount without(int tasks, double taskCpus, double taskGpus) {
            return new Amount(Math.max(0, cpus - tasks * taskCpus), Math.max(0, gpus - tasks * taskGpus));
        }
    }

    /** A block: the machines leased to a controller, each with its term (the token), and its share of the teams' limits. */
    public record Block(String member, Map<String, Long> machines, Map<String, Amount> allowances) {
        public Amount allowance(String team) {
            return allowances.getOrDefault(team, Amount.NONE);
        }

        public Block copy() {
            return new Block(member, new LinkedHashMap<>(machines), new LinkedHashMap<>(allowances));
        }

        public String key() {
            return Keys.BLOCK + member;
        }

        private static String common(String a, String b) {
            int n = 0;
            while (n < Math.min(a.length(), b.length()) && a.charAt(n) == b.charAt(n)) {
                n++;
            }
            return a.substring(0, n);
        }

        /** Machines by term, names without their common prefix: a controller alone may hold every machine in one record. */
        public ObjectNode encode() {
            ObjectNode n = Codec.map();
            String prefix = machines.keySet().stream().reduce(Block::common).orElse("");
            n.put("p", prefix);
            ObjectNode m = n.putObject("ms");
            machines.forEach((host, term) -> m.withArray("/" + term).add(host.substring(prefix.length())));
            ObjectNode a = n.putObject("al");
            allowances.forEach((team, x) -> a.putArray(team).add(x.cpus).add(x.gpus));
            return n;
        }
    }

    private final String me;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Block> blocks = new TreeMap<>();
    private final Map<String, String> owners = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private Lead lead;
    private long term;
    private long version;

    public Blocks(Settings settings, Mirror mirror) {
        this.me = settings.member();
        mirror.view(Keys.NODE, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                String member = key.substring(Keys.NODE.length());
                nodes.put(member, new Node(member, v.path("a").asText(), v.path("i").asLong(), v.path("g").asLong()));
            }

            @Override public void remove(String key) {
                nodes.remove(key.substring(Keys.NODE.length()));
            }
        });
        mirror.view(Keys.BLOCK, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                String member = key.substring(Keys.BLOCK.length());
                forget(member);
                Map<String, Long> machines = new LinkedHashMap<>();
                String prefix = v.path("p").asText();
                v.path("ms").fields().forEachRemaining(f -> f.getValue().forEach(h -> machines.put(prefix + h.asText(), Long.parseLong(f.getKey()))));
                Map<String, Amount> allowances = new LinkedHashMap<>();
                v.path("al").fields().forEachRemaining(f -> allowances.put(f.getKey(),
                        new Amount(f.getValue().path(0).asDouble(), f.getValue().path(1).asDouble())));
                blocks.put(member, new Block(member, machines, allowances));
                machines.keySet().forEach(h -> owners.put(h, member));
                listeners.forEach(Runnable::run);
            }

            @Override public void remove(String key) {
                forget(key.substring(Keys.BLOCK.length()));
                listeners.forEach(Runnable::run);
            }
        });
        mirror.view(Keys.LEAD, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                lead = new Lead(v.path("m").asText(), v.path("i").asLong(), v.path("t").asLong());
            }

            @Override public void remove(String key) {
                lead = null;
            }
        });
        mirror.view(Keys.TERM, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                term = v.path("n").asLong();
            }

            @Override public void remove(String key) {
                term = 0;
            }
        });
    }

    private void forget(String member) {
        version++;
        Block old = blocks.remove(member);
        if (old != null) {
            old.machines.keySet().forEach(h -> owners.remove(h, member));
        }
    }

    /** Called whenever a block changes. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Rises with every change of a block. */
    public long version() {
        return version;
    }

    public Block mine() {
        return blocks.get(me);
    }

    public Block of(String member) {
        return blocks.get(member);
    }

    public Collection<Block> all() {
        return blocks.values();
    }

    public String owner(String host) {
        return owners.get(host);
    }

    public Collection<Node> nodes() {
        return nodes.values();
    }

    public Node node(String member) {
        return nodes.get(member);
    }

    public Lead lead() {
        return lead;
    }

    public String leader() {
        return lead == null ? null : lead.member;
    }

    public long term() {
        return term;
    }
}
