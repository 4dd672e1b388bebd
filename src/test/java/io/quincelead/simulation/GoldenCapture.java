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
 * Collects examples of every form of messages and stored records in a simulated scenario. The form
 * of a body consists of features: its fields, the types of their values and the values of
 * enumerations. For each feature the shortest body that has it is kept; among equally short ones,
 * the first.
 */
final class GoldenCapture {
    /** Fields whose texts are values of an enumeration or fixed sentences. */
    private static final Set<String> ENUMERATION_FIELDS =
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

    /** Fields of the store's messages that hold keys; only the kind of the key is a feature. */
    private static final Set<String> KEY_FIELDS = Set.of("put", "remove", "path");

    private static final List<String> KEY_PREFIXES =
            List.of(
                    "a/b/", "a/c/", "a/j/", "a/m/", "a/n/", "a/oc/p/", "a/oc/x/", "a/ok/e/",
                    "a/ok/m/", "a/ok/o/", "a/ok/s/", "a/oz/", "a/r/", "a/t/", "z/oe/", "z/");

    private record Example(long number, String kind, String head, WireFormat codec, byte[] body) {}

    private final Map<String, Example> messages = new TreeMap<>();
    private final Map<String, Example> records = new TreeMap<>();

    /** The latest record of each job of the observed cluster, by job id. */
    private final Map<String, ObjectNode> latestJobRecords = new LinkedHashMap<>();

    /**
     * The job record with which a page of task states is read, by the number of the page's example.
     */
    private final Map<Long, ObjectNode> jobRecordByExampleNumber = new HashMap<>();

    private long nextNumber;

    /** Collects examples of the messages and records of this cluster from now on. */
    void observe(SimulatedCluster cluster) {
        latestJobRecords.clear();
        cluster.network.exchangeObserver = exchange -> onExchange(cluster, exchange);
        cluster.store.commitObserver = this::onCommit;
    }

    /**
     * Whether the scenario itself wrote the transaction: controllers never change anything without
     * a precondition.
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
                        ? "/store/" + keyKind(exchange.path().substring(7))
                        : exchange.path();
        int queryStart = path.indexOf('?');
        String kind =
                protocolOf(cluster, exchange)
                        + " "
                        + exchange.method()
                        + " "
                        + path.substring(0, queryStart < 0 ? path.length() : queryStart)
                                .replaceAll("/[^/]*[0-9]{2,}[^/]*|(?<=holds)/[0-9]+", "/*")
                        + (queryStart < 0
                                ? ""
                                : "?" + path.substring(queryStart + 1).replaceAll("=[^&]*", ""));
        WireFormat codec =
                exchange.path().startsWith("/peer") || exchange.path().startsWith("/ops")
                        ? WireFormat.JSON
                        : WireFormat.CBOR;
        addExample(
                messages, kind, exchange.method() + " " + exchange.path(), codec, exchange.body());
        if (exchange.status() != 0) {
            addExample(
                    messages,
                    kind + " -> " + exchange.status(),
                    exchange.status() + " " + exchange.retryAfterSeconds(),
                    codec,
                    exchange.responseBody());
        }
    }

    private static String protocolOf(SimulatedCluster cluster, SimulatedNetwork.Exchange exchange) {
        if (exchange.to().equals(SimulatedCluster.STORE_ADDRESS)
                || exchange.to().equals(SimulatedCluster.CLOUD_ADDRESS)) {
            return exchange.to().equals(SimulatedCluster.STORE_ADDRESS) ? "store" : "cloud";
        }
        if (cluster.controllers.stream()
                .anyMatch(controller -> controller.peerAddress.equals(exchange.to()))) {
            return exchange.path().startsWith("/ops") ? "operators" : "peers";
        }
        return cluster.controllers.stream()
                        .noneMatch(controller -> controller.userAddress.equals(exchange.to()))
                ? "commands"
                : exchange.path().equals("/v1/report") ? "reports" : "users";
    }

    private void onCommit(ObjectNode transaction) {
        if (isWrittenByScenario(transaction)) {
            return;
        }
        for (JsonNode operation : transaction.path("then")) {
            String key = operation.path("put").asText();
            if (key.startsWith("a/j/")) {
                latestJobRecords.put(key.substring(4), (ObjectNode) operation.path("value"));
            }
            if (key.startsWith("a/t/")) {
                jobRecordByExampleNumber.put(
                        nextNumber, latestJobRecords.get(key.substring(4, key.lastIndexOf('/'))));
            }
            if (operation.has("put")) {
                addExample(
                        records,
                        keyKind(key),
                        key,
                        WireFormat.CBOR,
                        WireFormat.CBOR.encode(operation.path("value")));
            }
        }
    }

    /** The prefix of the key without ids: {@code a/j/wk-000001} becomes {@code a/j/}. */
    private static String keyKind(String key) {
        return KEY_PREFIXES.stream().filter(key::startsWith).findFirst().orElse(key);
    }

    private void addExample(
            Map<String, Example> examplesByFeature,
            String kind,
            String head,
            WireFormat codec,
            byte[] body) {
        Set<String> features = new TreeSet<>(Set.of(kind));
        ObjectNode decodedBody = codec.decodeMap(body);
        if (decodedBody != null) {
            collectFeatures(decodedBody, kind, features);
        }
        Example example =
                new Example(nextNumber++, kind, head, codec, decodedBody == null ? null : body);
        for (String feature : features) {
            Example shortest = examplesByFeature.get(feature);
            if (shortest == null
                    || body != null
                            && shortest.body != null
                            && body.length < shortest.body.length) {
                examplesByFeature.put(feature, example);
            }
        }
    }

    private static void collectFeatures(JsonNode node, String path, Set<String> features) {
        if (node.isObject()) {
            node.fields()
                    .forEachRemaining(
                            field -> {
                                String name =
                                        field.getKey().matches(".*[0-9].*|red|blue")
                                                ? "*"
                                                : field.getKey();
                                boolean isEnumerationOrKey =
                                        field.getValue().isTextual()
                                                && (ENUMERATION_FIELDS.contains(name)
                                                        || KEY_FIELDS.contains(name));
                                if (name.equals("value")
                                        && !path.startsWith("a/")
                                        && !path.startsWith("z/")) {
                                    features.add(path + ".value");
                                } else if (isEnumerationOrKey) {
                                    features.add(
                                            path
                                                    + "."
                                                    + name
                                                    + "="
                                                    + (KEY_FIELDS.contains(name)
                                                            ? keyKind(field.getValue().asText())
                                                            : field.getValue()
                                                                    .asText()
                                                                    .replaceAll(
                                                                            "[0-9.]+|wk-[0-9]+|\".*\"",
                                                                            "*")));
                                } else {
                                    collectFeatures(field.getValue(), path + "." + name, features);
                                }
                            });
        } else if (node.isArray() && !node.isEmpty()) {
            node.forEach(element -> collectFeatures(element, path + "[]", features));
        } else {
            features.add(
                    path
                            + ":"
                            + node.getNodeType()
                            + (node.isNumber() ? node.isIntegralNumber() : ""));
        }
    }

    /**
     * The features of a table's rows: kinds, fields, types of values and values of enumerations.
     */
    static Set<String> formsOf(Collection<GoldenTable.Row> rows) {
        Set<String> forms = new TreeSet<>();
        for (GoldenTable.Row row : rows) {
            String kind = row.name().substring(0, row.name().lastIndexOf(" #"));
            forms.add(kind);
            if (row.body() != null) {
                collectFeatures(row.decodeBody(), kind, forms);
            }
        }
        return forms;
    }

    List<GoldenTable.Row> messages() {
        return rows(messages.values());
    }

    /** Examples of the stored records, with the job's record for each page of task states. */
    List<GoldenTable.Row> records() {
        List<Example> all = new ArrayList<>(records.values());
        for (Example example : records.values()) {
            if (example.kind.equals("a/t/")) {
                String id = example.head.substring(4, example.head.lastIndexOf('/'));
                all.add(
                        new Example(
                                nextNumber++,
                                "a/j/",
                                "a/j/" + id,
                                WireFormat.CBOR,
                                WireFormat.CBOR.encode(
                                        jobRecordByExampleNumber.get(example.number))));
            }
        }
        return rows(all);
    }

    private static List<GoldenTable.Row> rows(Collection<Example> examples) {
        Map<String, TreeMap<Long, Example>> byKind = new TreeMap<>();
        examples.forEach(
                example ->
                        byKind.computeIfAbsent(example.kind, key -> new TreeMap<>())
                                .put(example.number, example));
        List<GoldenTable.Row> rows = new ArrayList<>();
        byKind.forEach(
                (kind, examplesOfKind) -> {
                    int i = 0;
                    for (Example example : examplesOfKind.values()) {
                        rows.add(
                                new GoldenTable.Row(
                                        kind + " #" + ++i,
                                        example.head,
                                        example.body == null ? null : example.codec,
                                        example.body));
                    }
                });
        return rows;
    }
}
