package io.quincelead.base;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings file that the platform hands over (TOML), checked once at the start. Unknown fields are ignored. */
public record Settings(String member, String zone, String listen, String clusterListen, Map<String, String> peers,
        String cloud, String state, int count, double clockErrorMs, Map<String, Team> teams, List<Objective> objectives,
        Workers workers, State store, Cloud cloudLimits, Limits limits) {

    /** A team's guarantee and limit. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) { }

    /** What is expected of a class of jobs. */
    public record Objective(String kind, String jobClass, double withinS, double share, double times) { }

    /** What the platform says of workers, in seconds. */
    public record Workers(double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) { }

    /** Limits of the state service. */
    public record State(double rps, double writeRps, double valueKb, int txnOps) { }

    /** Limits of the cloud. */
    public record Cloud(double rps, double listLagS) { }

    /** What the process may use. */
    public record Limits(double cpuShare, double ramMb, int maxConnections) { }

    /** A settings file that can't be used: the message names file, field and what is allowed. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        public Invalid(String message) {
            super(message);
        }
    }

    public static Settings load(File file) throws Invalid {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(file);
        } catch (IOException e) {
            String first = String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
            throw new Invalid(file + ": can't be read as TOML: " + first);
        }
        return read(root, file.toString());
    }

    /** Reads settings; {@code file} is named in the error. */
    public static Settings read(JsonNode root, String file) throws Invalid {
        Reader r = new Reader(file, "", root);
        Reader ext = r.child("external");
        Reader s = r.child("settings");
        Map<String, String> peers = new LinkedHashMap<>();
        for (Reader p : r.list("known", false)) {
            peers.put(p.text("member"), p.address("address"));
        }
        Map<String, Team> teams = new LinkedHashMap<>();
        for (Reader t : s.list("teams", true)) {
            Team team = new Team(t.text("name"), t.number("cpus", 0, 0), t.number("cpus_max", 0, null),
                    t.number("gpus", 0, 0), t.number("gpus_max", 0, 0));
            teams.put(team.name(), team);
        }
        List<Objective> objectives = new ArrayList<>();
        for (Reader o : s.list("objectives", false)) {
            objectives.add(new Objective(o.text("kind"), o.textOr("class", ""), o.number("within_s", 0, 0),
                    o.number("share", 0, 0), o.number("times", 0, 1)));
        }
        Reader w = s.child("workers");
        Reader st = s.child("state");
        Reader cl = s.child("cloud");
        Reader li = s.child("limits");
        return new Settings(r.text("member"), r.text("domain"), r.address("listen"), r.address("cluster_listen"), peers,
                ext.address("cloud"), ext.address("state"), (int) s.number("count", 1, peers.size() + 1),
                s.number("clock_error_ms", 0, 0), teams, objectives,
                new Workers(w.number("report_s", 0.01, null), w.number("lease_s", 0.1, null),
                        w.number("gang_wait_s", 0, 30), w.number("gang_peer_s", 0, 5), w.number("cancel_s", 0.1, null)),
                new State(st.number("rps", 1, null), st.number("write_rps", 1, null), st.number("value_kb", 1, null),
                        (int) st.number("txn_ops", 4, null)),
                new Cloud(cl.number("rps", 0.01, null), cl.number("list_lag_s", 0, 5)),
                new Limits(li.number("cpu_share", 0, 1), li.number("ram_mb", 1, 256),
                        (int) li.number("max_connections", 8, 500)));
    }

    /** Reads one table of the file and names the place of whatever is wrong. */
    private record Reader(String file, String at, JsonNode node) {
        Invalid wrong(String field, String allowed) {
            return new Invalid(file + ": " + at + field + ": " + allowed);
        }

        Reader child(String field) throws Invalid {
            JsonNode n = node.get(field);
            if (n == null || !n.isObject()) {
                throw wrong(field, "a table is required");
            }
            return new Reader(file, at + field + ".", n);
        }

        List<Reader> list(String field, boolean required) throws Invalid {
            JsonNode n = node.get(field);
            List<Reader> out = new ArrayList<>();
            if (n == null && !required) {
                return out;
            }
            if (n == null || !n.isArray() || (required && n.isEmpty())) {
                throw wrong(field, "a list of tables is required");
            }
            for (int i = 0; i < n.size(); i++) {
                if (!n.get(i).isObject()) {
                    throw wrong(field + "[" + i + "]", "a table is required");
                }
                out.add(new Reader(file, at + field + "[" + i + "].", n.get(i)));
            }
            return out;
        }

        String text(String field) throws Invalid {
            JsonNode n = node.get(field);
            if (n == null || !n.isTextual() || n.asText().isBlank()) {
                throw wrong(field, "a non-empty text is required");
            }
            return n.asText();
        }

        String textOr(String field, String other) throws Invalid {
            return node.get(field) == null ? other : text(field);
        }

        String address(String field) throws Invalid {
            String a = text(field);
            int colon = a.lastIndexOf(':');
            try {
                int port = Integer.parseInt(a.substring(colon + 1));
                if (colon > 0 && port >= 0 && port < 65536) {
                    return a;
                }
            } catch (NumberFormatException e) {
                // falls through to the refusal below
            }
            throw wrong(field, "an address like 10.0.0.1:8080 is required, not \"" + a + "\"");
        }

        double number(String field, double least, Number other) throws Invalid {
            JsonNode n = node.get(field);
            if (n == null && other != null) {
                return other.doubleValue();
            }
            if (n == null || !n.isNumber() || !Double.isFinite(n.asDouble()) || n.asDouble() < least) {
                throw wrong(field, "a number of at least " + least + " is required");
            }
            return n.asDouble();
        }
    }
}
