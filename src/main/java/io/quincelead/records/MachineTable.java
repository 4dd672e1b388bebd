package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machines on record, from the rental until the cloud has confirmed their release. Machines that were rented
 * together share a record, so that a large rental, a wave of losses or a wave of returns costs few changes.
 */
public final class MachineTable {
    /**
     * A machine. {@code addr} is null until the cloud's list has shown it: whoever takes the machine over can then show its
     * worker the new term at once. {@code returning} is recorded before the release is asked for, so a successor asks again. A
     * {@code closed} one gets no new tasks.
     */
    public record Machine(String host, String group, String shape, String site, boolean spot, String addr, long rentedAt, boolean returning, boolean closed) {
        /** A machine just rented. */
        public Machine(String host, String group, String shape, String site, boolean spot, long rentedAt) {
            this(host, group, shape, site, spot, null, rentedAt, false, false);
        }

        public Machine returned() {
            return new Machine(host, group, shape, site, spot, addr, rentedAt, true, closed);
        }

        public Machine closed(boolean yes) {
            return new Machine(host, group, shape, site, spot, addr, rentedAt, returning, yes);
        }

        public Machine at(String address) {
            return new Machine(host, group, shape, site, spot, address, rentedAt, returning, closed);
        }

        /** The record it shares. */
        public String key() {
            return Keys.MACHINE + group;
        }
    }

    private final Mirror mirror;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> groups = new HashMap<>();
    private final Set<String> closed = new HashSet<>();
    private long version;
    /** Heavy images that machines have, as recorded, with their GB. */
    private final Map<String, Map<String, Double>> heavy = new HashMap<>();
    private java.util.function.Function<String, Map<String, Double>> heavyNow = h -> null;
    private java.util.function.BiConsumer<String, Map<String, Double>> onHeavy = (h, i) -> { };

    public MachineTable(Mirror mirror) {
        this.mirror = mirror;
        mirror.view(Keys.MACHINE, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                read(key.substring(Keys.MACHINE.length()), v);
            }

            @Override public void remove(String key) {
                forget(key.substring(Keys.MACHINE.length()), Set.of());
            }
        });
    }

    private void read(String group, JsonNode v) {
        version++;
        Set<String> returning = texts(v.path("x"));
        Set<String> closing = texts(v.path("q"));
        List<String> hosts = new ArrayList<>();
        v.path("h").forEach(h -> hosts.add(h.asText()));
        forget(group, new HashSet<>(hosts));
        for (String h : hosts) {
            machines.put(h, new Machine(h, group, v.path("k").asText(), v.path("s").asText(), v.path("p").asBoolean(),
                    v.path("a").path(h).isTextual() ? v.path("a").path(h).asText() : null, v.path("r").asLong(), returning.contains(h), closing.contains(h)));
        }
        hosts.forEach(heavy::remove);
        v.path("w").fields().forEachRemaining(f -> {
            Map<String, Double> of = new java.util.TreeMap<>();
            f.getValue().fields().forEachRemaining(i -> of.put(i.getKey(), i.getValue().asDouble()));
            heavy.put(f.getKey(), of);
            onHeavy.accept(f.getKey(), of);
        });
        groups.put(group, hosts);
        closed.removeAll(hosts);
        closed.addAll(closing);
    }

    private void forget(String group, Set<String> except) {
        version++;
        for (String h : groups.getOrDefault(group, List.of())) {
            if (!except.contains(h)) {
                machines.remove(h);
                closed.remove(h);
                heavy.remove(h);
            }
        }
        groups.remove(group);
    }

    private static Set<String> texts(JsonNode list) {
        Set<String> out = new HashSet<>();
        list.forEach(t -> out.add(t.asText()));
        return out;
    }

    /** Heavy images are recorded with their machines: {@code now} tells a machine's; {@code recorded} hears of what is on record. */
    public void recordHeavy(java.util.function.Function<String, Map<String, Double>> now, java.util.function.BiConsumer<String, Map<String, Double>> recorded) {
        heavyNow = now;
        onHeavy = recorded;
    }

    /** The heavy images that are on record for it, with their GB. */
    public Map<String, Double> heavy(String host) {
        return heavy.getOrDefault(host, Map.of());
    }

    public Machine get(String host) {
        return machines.get(host);
    }

    public Collection<Machine> all() {
        return machines.values();
    }

    /** Rises with every change of what is on record. */
    public long version() {
        return version;
    }

    /** Machines that get no new tasks. */
    public Set<String> closed() {
        return closed;
    }

    /** Changes of machines that are part of one transaction. */
    public Edits edits(Txn txn) {
        return new Edits(txn);
    }

    /** Keeps a transaction's machine records in step with the changes asked for; each shared record is written once. */
    public final class Edits {
        private final Txn txn;
        private final Map<String, Map<String, Machine>> edited = new HashMap<>();
        /** Records begun for unexpected machines, by what all machines of one record have in common. */
        private final Map<String, String> adopting = new HashMap<>();

        private Edits(Txn txn) {
            this.txn = txn;
        }

        private Map<String, Machine> members(String group) {
            return edited.computeIfAbsent(group, g -> {
                Map<String, Machine> now = new LinkedHashMap<>();
                groups.getOrDefault(g, List.of()).forEach(h -> now.put(h, machines.get(h)));
                return now;
            });
        }

        /** Takes in a machine that is on no record. Alike ones share one: a whole cluster may be found up at once. */
        public void adopt(String host, String shape, String site, boolean spot, String addr, long rentedAt) {
            String kind = shape + "/" + site + "/" + spot;
            String group = adopting.get(kind);
            if (group == null || members(group).size() >= Constants.MAX_RENT) {
                group = "s-" + host;
                adopting.put(kind, group);
            }
            put(new Machine(host, group, shape, site, spot, rentedAt).at(addr));
            // The record may be gone again when a copy of this comes: its guard of 0 would then hold, and bring back machines that are gone.
            txn.guard(Keys.TAKEN_IN, mirror.stamp(Keys.TAKEN_IN)).put(Keys.TAKEN_IN, Codec.map());
        }

        public void put(Machine m) {
            Map<String, Machine> members = members(m.group());
            members.put(m.host(), m);
            write(m.key(), members);
        }

        public void remove(Machine m) {
            Map<String, Machine> members = members(m.group());
            members.remove(m.host());
            write(m.key(), members);
        }

        private void write(String key, Map<String, Machine> members) {
            txn.guard(key, mirror.stamp(key));
            if (members.isEmpty()) {
                txn.remove(key);
                return;
            }
            Machine any = members.values().iterator().next();
            ObjectNode n = Codec.map().put("k", any.shape()).put("s", any.site()).put("p", any.spot()).put("r", any.rentedAt());
            ArrayNode hosts = n.putArray("h");
            ArrayNode returning = Codec.list();
            ArrayNode closed = Codec.list();
            ObjectNode addresses = Codec.map();
            for (Machine m : members.values()) {
                hosts.add(m.host());
                if (m.returning()) {
                    returning.add(m.host());
                }
                if (m.closed()) {
                    closed.add(m.host());
                }
                if (m.addr() != null) {
                    addresses.put(m.host(), m.addr());
                }
            }
            if (!addresses.isEmpty()) {
                n.set("a", addresses);
            }
            if (!returning.isEmpty()) {
                n.set("x", returning);
            }
            if (!closed.isEmpty()) {
                n.set("q", closed);
            }
            ObjectNode weights = Codec.map();
            for (Machine m : members.values()) {
                Map<String, Double> now = heavyNow.apply(m.host());
                now = now == null ? heavy(m.host()) : now;
                if (!now.isEmpty()) {
                    ObjectNode of = weights.putObject(m.host());
                    now.forEach(of::put);
                }
            }
            // Where weights are is worth a record only as far as it fits beside the machines.
            if (!weights.isEmpty() && weights.toString().length() + n.toString().length() < Constants.MACHINE_RECORD_CHARS) {
                n.set("w", weights);
            }
            txn.put(key, n);
        }
    }
}
