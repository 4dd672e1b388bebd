package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Picks examples of every form that messages and stored records take in a simulated scenario. The
 * form of a body is made of its fields, the types of their values and the words of enumerations; of
 * each such feature the shortest body that has it is kept, of equals the first.
 */
final class GoldenCapture {
    /** Fields whose texts are words of an enumeration or fixed sentences. */
    private static final Set<String> WORDS =
            Set.of(
                    "status",
                    "verb",
                    "exitReason",
                    "mode",
                    "urgency",
                    "st",
                    "order",
                    "state",
                    "error",
                    "keep",
                    "passes",
                    "s",
                    "how",
                    "waitsFor",
                    "dueFrom",
                    "tier",
                    "classFrom",
                    "rankFrom",
                    "what");

    /** Fields of the store's messages that name keys, of which the kind matters. */
    private static final Set<String> KEYS = Set.of("put", "remove", "path");

    private static final List<String> PREFIXES =
            List.of(
                    "a/b/", "a/c/", "a/j/", "a/m/", "a/n/", "a/oc/p/", "a/oc/x/", "a/ok/e/",
                    "a/ok/m/", "a/ok/o/", "a/ok/s/", "a/oz/", "a/r/", "a/t/", "z/oe/", "z/");

    private record Example(long number, String kind, String head, WireFormat codec, byte[] body) {}

    private final Map<String, Example> messages = new TreeMap<>();
    private final Map<String, Example> records = new TreeMap<>();

    /** The newest record of each job of the cluster that is observed. */
    private final Map<String, ObjectNode> jobs = new LinkedHashMap<>();

    /** By the number of a page of task states: the record of its job, which it is read with. */
    private final Map<Long, ObjectNode> jobOfPage = new HashMap<>();

    private long number;

    /** Picks examples of what is sent in this cluster from now on. */
    void observe(SimulatedCluster cluster) {
        jobs.clear();
        cluster.network.exchangeObserver = exchange -> onExchange(cluster, exchange);
        cluster.store.commitObserver = this::onCommit;
    }

    /**
     * What the scenario itself writes into the store: no controller changes anything without a
     * precondition.
     */
    private static boolean isWrittenByScenario(ObjectNode transaction) {
        return transaction.path("guards").isEmpty() && !transaction.path("then").isEmpty();
    }

    private void onExchange(SimulatedCluster cluster, SimulatedNetwork.Exchange exchange) {
        if (exchange.path().equals("/commit")
                && isWrittenByScenario(WireFormat.CBOR.decodeMap(exchange.body()))) {
            return;
        }
        String path =
                exchange.path().startsWith("/store/")
                        ? "/store/" + kind(exchange.path().substring(7))
                        : exchange.path();
        int query = path.indexOf('?');
        String line =
                protocol(cluster, exchange)
                        + " "
                        + exchange.method()
                        + " "
                        + path.substring(0, query < 0 ? path.length() : query)
                                .replaceAll("/[^/]*[0-9]{2,}[^/]*|(?<=holds)/[0-9]+", "/*")
                        + (query < 0
                                ? ""
                                : "?" + path.substring(query + 1).replaceAll("=[^&]*", ""));
        WireFormat codec =
                exchange.path().startsWith("/peer") || exchange.path().startsWith("/ops")
                        ? WireFormat.JSON
                        : WireFormat.CBOR;
        add(messages, line, exchange.method() + " " + exchange.path(), codec, exchange.body());
        if (exchange.status() != 0) {
            add(
                    messages,
                    line + " -> " + exchange.status(),
                    exchange.status() + " " + exchange.retryAfterSeconds(),
                    codec,
                    exchange.responseBody());
        }
    }

    private static String protocol(SimulatedCluster cluster, SimulatedNetwork.Exchange exchange) {
        if (exchange.to().equals(SimulatedCluster.STORE_ADDRESS)
                || exchange.to().equals(SimulatedCluster.CLOUD_ADDRESS)) {
            return exchange.to().equals(SimulatedCluster.STORE_ADDRESS) ? "store" : "cloud";
        }
        if (cluster.controllers.stream().anyMatch(c -> c.peerAddress.equals(exchange.to()))) {
            return exchange.path().startsWith("/ops") ? "operators" : "peers";
        }
        return cluster.controllers.stream().noneMatch(c -> c.userAddress.equals(exchange.to()))
                ? "commands"
                : exchange.path().equals("/v1/report") ? "reports" : "users";
    }

    private void onCommit(ObjectNode transaction) {
        if (isWrittenByScenario(transaction)) {
            return;
        }
        for (JsonNode op : transaction.path("then")) {
            String key = op.path("put").asText();
            if (key.startsWith("a/j/")) {
                jobs.put(key.substring(4), (ObjectNode) op.path("value"));
            }
            if (key.startsWith("a/t/")) {
                jobOfPage.put(number, jobs.get(key.substring(4, key.lastIndexOf('/'))));
            }
            if (op.has("put")) {
                add(
                        records,
                        kind(key),
                        key,
                        WireFormat.CBOR,
                        WireFormat.CBOR.encode(op.path("value")));
            }
        }
    }

    /** The key without what it names: {@code a/j/wk-000001} is {@code a/j/}. */
    private static String kind(String key) {
        return PREFIXES.stream().filter(key::startsWith).findFirst().orElse(key);
    }

    private void add(
            Map<String, Example> all, String kind, String head, WireFormat codec, byte[] body) {
        Set<String> features = new TreeSet<>(Set.of(kind));
        ObjectNode map = codec.decodeMap(body);
        if (map != null) {
            features(map, kind, features);
        }
        Example e = new Example(number++, kind, head, codec, map == null ? null : body);
        for (String f : features) {
            Example best = all.get(f);
            if (best == null
                    || body != null && best.body != null && body.length < best.body.length) {
                all.put(f, e);
            }
        }
    }

    private static void features(JsonNode n, String at, Set<String> out) {
        if (n.isObject()) {
            n.fields()
                    .forEachRemaining(
                            f -> {
                                String name =
                                        f.getKey().matches(".*[0-9].*|red|blue") ? "*" : f.getKey();
                                boolean word =
                                        f.getValue().isTextual()
                                                && (WORDS.contains(name) || KEYS.contains(name));
                                if (name.equals("value")
                                        && !at.startsWith("a/")
                                        && !at.startsWith("z/")) {
                                    out.add(at + ".value");
                                } else if (word) {
                                    out.add(
                                            at
                                                    + "."
                                                    + name
                                                    + "="
                                                    + (KEYS.contains(name)
                                                            ? kind(f.getValue().asText())
                                                            : f.getValue()
                                                                    .asText()
                                                                    .replaceAll(
                                                                            "[0-9.]+|wk-[0-9]+|\".*\"",
                                                                            "*")));
                                } else {
                                    features(f.getValue(), at + "." + name, out);
                                }
                            });
        } else if (n.isArray() && !n.isEmpty()) {
            n.forEach(x -> features(x, at + "[]", out));
        } else {
            out.add(at + ":" + n.getNodeType() + (n.isNumber() ? n.isIntegralNumber() : ""));
        }
    }

    /** The forms that a table's examples show: fields, types of values, words of enumerations. */
    static Set<String> formsOf(Collection<GoldenTable.Row> rows) {
        Set<String> forms = new TreeSet<>();
        for (GoldenTable.Row row : rows) {
            String kind = row.name().substring(0, row.name().lastIndexOf(" #"));
            forms.add(kind);
            if (row.body() != null) {
                features(row.decodeBody(), kind, forms);
            }
        }
        return forms;
    }

    List<GoldenTable.Row> messages() {
        return rows(messages.values());
    }

    /** Examples of the stored records; with each page of task states its job's record. */
    List<GoldenTable.Row> records() {
        List<Example> all = new ArrayList<>(records.values());
        for (Example e : records.values()) {
            if (e.kind.equals("a/t/")) {
                String id = e.head.substring(4, e.head.lastIndexOf('/'));
                all.add(
                        new Example(
                                number++,
                                "a/j/",
                                "a/j/" + id,
                                WireFormat.CBOR,
                                WireFormat.CBOR.encode(jobOfPage.get(e.number))));
            }
        }
        return rows(all);
    }

    private static List<GoldenTable.Row> rows(Collection<Example> examples) {
        Map<String, TreeMap<Long, Example>> byKind = new TreeMap<>();
        examples.forEach(
                e -> byKind.computeIfAbsent(e.kind, k -> new TreeMap<>()).put(e.number, e));
        List<GoldenTable.Row> out = new ArrayList<>();
        byKind.forEach(
                (kind, of) -> {
                    int i = 0;
                    for (Example e : of.values()) {
                        out.add(
                                new GoldenTable.Row(
                                        kind + " #" + ++i,
                                        e.head,
                                        e.body == null ? null : e.codec,
                                        e.body));
                    }
                });
        return out;
    }
}
