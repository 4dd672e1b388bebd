package io.quincelead.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machines on record, from the rental until the cloud has confirmed their release. */
public final class MachineTable {
    /**
     * A machine's record. {@code addr} is null until its worker has reported; {@code returning} is recorded before
     * the release is asked for, so a successor asks again. A {@code closed} one gets no new tasks.
     */
    public record Machine(String host, String shape, String site, boolean spot, String addr, long rentedAt, boolean returning, boolean closed) {
        public ObjectNode encode() {
            ObjectNode n = Codec.map().put("k", shape).put("s", site).put("p", spot).put("r", rentedAt);
            if (addr != null) {
                n.put("a", addr);
            }
            if (closed) {
                n.put("q", true);
            }
            return returning ? n.put("x", true) : n;
        }

        public Machine up(String at) {
            return new Machine(host, shape, site, spot, at, rentedAt, returning, closed);
        }

        public Machine returned() {
            return new Machine(host, shape, site, spot, addr, rentedAt, true, closed);
        }

        public Machine closed(boolean yes) {
            return new Machine(host, shape, site, spot, addr, rentedAt, returning, yes);
        }

        public String key() {
            return Keys.MACHINE + host;
        }
    }

    private final Map<String, Machine> machines = new LinkedHashMap<>();

    public MachineTable(Mirror mirror) {
        mirror.view(Keys.MACHINE, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                String host = key.substring(Keys.MACHINE.length());
                machines.put(host, new Machine(host, v.path("k").asText(), v.path("s").asText(), v.path("p").asBoolean(),
                        v.hasNonNull("a") ? v.path("a").asText() : null, v.path("r").asLong(), v.path("x").asBoolean(),
                        v.path("q").asBoolean()));
            }

            @Override public void remove(String key) {
                machines.remove(key.substring(Keys.MACHINE.length()));
            }
        });
    }

    public Machine get(String host) {
        return machines.get(host);
    }

    public Collection<Machine> all() {
        return machines.values();
    }
}
