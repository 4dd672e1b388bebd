package standins2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state service of PROTOCOL, "Controller nodes -> state service". Each controller has an
 * address of its own here, so that one of them alone can be refused.
 */
final class Store {
    private record Entry(JsonNode value, long stamp, long grant) {}

    private record Change(long revision, String key, JsonNode value) {}

    private final Lab lab;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, long[]> holds = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long generation;
    private long lastHold;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.currentTimeMillis();

    /** Controllers that get 503 while the others are served. */
    final Set<Integer> refused = new HashSet<>();

    /** Controllers whose requests don't arrive; they get no answer. */
    final Set<Integer> silent = new HashSet<>();

    /** Share of the transactions that get no answer and are carried out 2 to 12 s later. */
    double lateShare;

    /** Share of the transactions that are carried out at once while their answer is lost. */
    double lostAnswerShare;

    boolean down;
    private long downSince;
    private final Random random = new Random(7);

    /** How many requests were answered with 400, and the reason of the last one. */
    int malformed;

    String lastMalformed = "";

    Store(Lab lab) {
        this.lab = lab;
        requestTokens = lab.site.rps;
        writeTokens = lab.site.writeRps;
        Thread expiry = new Thread(this::expireHolds);
        expiry.setDaemon(true);
        expiry.start();
    }

    synchronized void setDown(boolean nowDown) {
        long now = System.currentTimeMillis();
        if (!nowDown && down) {
            holds.values().forEach(hold -> hold[1] = now + hold[0]);
        }
        down = nowDown;
        downSince = now;
        notifyAll();
    }

    synchronized JsonNode value(String key) {
        return entries.containsKey(key) ? entries.get(key).value : null;
    }

    synchronized Set<String> keys(String prefix) {
        return new HashSet<>(entries.subMap(prefix, prefix + '\uffff').keySet());
    }

    private void expireHolds() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    long now = System.currentTimeMillis();
                    for (Long id : down ? List.<Long>of() : new ArrayList<>(holds.keySet())) {
                        if (holds.get(id)[1] + 20 < now) {
                            endHold(id);
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endHold(long id) {
        holds.remove(id);
        List<String> attached = new ArrayList<>();
        entries.forEach(
                (key, entry) -> {
                    if (entry.grant == id) {
                        attached.add(key);
                    }
                });
        if (!attached.isEmpty()) {
            generation++;
            for (String key : attached) {
                entries.remove(key);
                changes.add(new Change(generation, key, null));
            }
            notifyAll();
        }
    }

    private boolean take(double requests, double writes) {
        long now = System.currentTimeMillis();
        double seconds = (now - refilledAt) / 1000.0;
        refilledAt = now;
        requestTokens = Math.min(lab.site.rps, requestTokens + seconds * lab.site.rps);
        writeTokens = Math.min(lab.site.writeRps, writeTokens + seconds * lab.site.writeRps);
        if (requestTokens < requests || writeTokens < writes) {
            return false;
        }
        requestTokens -= requests;
        writeTokens -= writes;
        return true;
    }

    Wire.Answer handle(int node, Wire.Request request) throws Exception {
        synchronized (this) {
            if (silent.contains(node)) {
                unlockedHang();
                return null;
            }
            if (down || refused.contains(node)) {
                return Wire.error(503, "unavailable");
            }
            if (!take(1, 0)) {
                return Wire.error(429, "too many requests");
            }
            String path = request.path();
            if (path.equals("/commit")) {
                double kind = random.nextDouble();
                if (kind < lateShare) {
                    long delay = 2000 + random.nextInt(10_000);
                    ObjectNode body = request.body();
                    Wire.THREADS.execute(
                            () -> {
                                sleep(delay);
                                synchronized (Store.this) {
                                    while (down) {
                                        try {
                                            Store.this.wait(100);
                                        } catch (InterruptedException e) {
                                            return;
                                        }
                                    }
                                    commit(body);
                                }
                            });
                    unlockedHang();
                    return null;
                }
                Wire.Answer answer = commit(request.body());
                if (kind < lateShare + lostAnswerShare) {
                    unlockedHang();
                    return null;
                }
                return answer;
            }
            if (path.equals("/holds")) {
                long life = request.body().path("lifeMs").asLong();
                holds.put(++lastHold, new long[] {life, System.currentTimeMillis() + life});
                return Wire.answer(200, Wire.map().put("grant", lastHold));
            }
            if (path.startsWith("/holds/")) {
                long id = Long.parseLong(path.split("/")[2]);
                long[] hold = holds.get(id);
                if (hold == null) {
                    return Wire.error(404, "no such lease");
                }
                if (request.method().equals("DELETE")) {
                    endHold(id);
                } else {
                    hold[1] = System.currentTimeMillis() + hold[0];
                }
                return Wire.answer(200, Wire.map().put("grant", id));
            }
            if (path.equals("/watch")) {
                return watch(node, request.query());
            }
            if (path.equals("/store")) {
                return list(request.query());
            }
            String key = path.substring("/store/".length());
            Entry entry = entries.get(key);
            if (entry == null) {
                return Wire.answer(404, Wire.map().put("generation", generation));
            }
            ObjectNode body = item(key, entry);
            if (entry.grant != 0) {
                body.put("grant", entry.grant);
            }
            return Wire.answer(200, body);
        }
    }

    /** Waits without holding the lock until the caller has given up. */
    private void unlockedHang() throws InterruptedException {
        long until = System.currentTimeMillis() + 5000;
        while (System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode item(String key, Entry entry) {
        ObjectNode node = Wire.map().put("path", key).put("stamp", entry.stamp);
        node.set("value", entry.value);
        return node;
    }

    private Wire.Answer list(Map<String, String> query) throws Exception {
        String prefix = query.get("prefix");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        ObjectNode body = Wire.map();
        ArrayNode items = body.putArray("items");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry :
                entries.subMap(prefix, prefix + '\uffff').entrySet()) {
            if (query.containsKey("after") && entry.getKey().compareTo(query.get("after")) <= 0) {
                continue;
            }
            ObjectNode item = item(entry.getKey(), entry.getValue());
            bytes += Wire.JSON.writeValueAsBytes(item).length + 1;
            if (items.size() == limit || bytes > 500 * 1024) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        body.put("truncated", truncated).put("generation", generation);
        return Wire.answer(200, body);
    }

    private Wire.Answer watch(int node, Map<String, String> query) throws Exception {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long until =
                System.currentTimeMillis() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        if (changes.size() > 10_000 && after < changes.get(changes.size() - 10_000).revision) {
            return Wire.error(410, "too old");
        }
        while (true) {
            ObjectNode body = Wire.map();
            ArrayNode news = body.putArray("news");
            if (!down && !refused.contains(node) && !silent.contains(node)) {
                int first = changes.size();
                while (first > 0 && changes.get(first - 1).revision > after) {
                    first--;
                }
                for (Change change : changes.subList(first, changes.size())) {
                    if (change.key.startsWith(prefix)) {
                        ObjectNode item = news.addObject().put("stamp", change.revision);
                        if (change.value == null) {
                            item.put("remove", change.key);
                        } else {
                            item.put("put", change.key).set("value", change.value);
                        }
                    }
                }
                if (news.size() > 0 || System.currentTimeMillis() >= until) {
                    return Wire.answer(200, body.put("generation", generation));
                }
            }
            wait(Math.max(1, Math.min(200, until - System.currentTimeMillis())));
        }
    }

    private Wire.Answer bad(String reason) {
        malformed++;
        lastMalformed = reason;
        if (malformed <= 5) {
            lab.note("state service answers 400: " + reason);
        }
        return Wire.error(400, reason);
    }

    private Wire.Answer commit(ObjectNode body) {
        JsonNode then = body.path("then");
        JsonNode guards = body.path("guards");
        if (!take(0, then.size())) {
            return Wire.error(429, "too many changes");
        }
        int total = length(body);
        if (then.size() > lab.site.txnOps || guards.size() > 4 * lab.site.txnOps) {
            return bad("more than " + lab.site.txnOps + " changes or four times as many conditions");
        }
        if (total > 64 * 1024) {
            return bad("transaction of " + total + " bytes, 64 KiB in total are allowed");
        }
        for (JsonNode operation : then) {
            if (operation.has("put")) {
                int length = length(operation.path("value"));
                if (length > lab.site.valueKb * 1024) {
                    return bad(
                            "value of "
                                    + operation.path("put").asText()
                                    + " has "
                                    + length
                                    + " bytes, "
                                    + lab.site.valueKb
                                    + " KiB are allowed");
                }
                if (operation.hasNonNull("grant")
                        && !holds.containsKey(operation.path("grant").asLong())) {
                    return Wire.error(400, "no such lease");
                }
            }
        }
        ObjectNode answer = Wire.map();
        ArrayNode failed = Wire.JSON.createArrayNode();
        for (JsonNode guard : guards) {
            Entry entry = entries.get(guard.path("path").asText());
            if ((entry == null ? 0 : entry.stamp) != guard.path("stamp").asLong()) {
                failed.add(guard.path("path").asText());
            }
        }
        if (!failed.isEmpty()) {
            answer.set("failed", failed);
            return Wire.answer(409, answer.put("generation", generation));
        }
        if (then.size() > 0) {
            generation++;
            for (JsonNode operation : then) {
                if (operation.has("put")) {
                    String key = operation.path("put").asText();
                    JsonNode value = operation.path("value").deepCopy();
                    entries.put(
                            key, new Entry(value, generation, operation.path("grant").asLong(0)));
                    changes.add(new Change(generation, key, value));
                } else if (entries.remove(operation.path("remove").asText()) != null) {
                    changes.add(new Change(generation, operation.path("remove").asText(), null));
                }
            }
            notifyAll();
        }
        return Wire.answer(200, answer.put("generation", generation));
    }

    private static int length(JsonNode node) {
        try {
            return Wire.JSON.writeValueAsBytes(node).length;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
