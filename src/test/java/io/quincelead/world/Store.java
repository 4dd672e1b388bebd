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

/** A stand-in for the state service, written from the protocol. */
public final class Store {
    private record Entry(JsonNode value, long stamp, long grant) { }

    private record Change(long generation, String key, JsonNode value) { }

    private record Watch(String prefix, long after, Request request, String from) { }

    private final Sim sim;
    private final int txnOps;
    private final TreeMap<String, Entry> data = new TreeMap<>();
    private final Map<Long, Long> holds = new HashMap<>();
    private final Map<Long, Long> lives = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long generation;
    private long grants;
    /** Changes kept for watches. */
    public int kept = 10_000;
    public boolean down;
    private long downAt;
    /** ms for which the store has been down, when it is up again. */
    public long downMs;
    /** Controllers, by IP, that get 503 while the others are served; their open watches wait. */
    private final java.util.Set<String> refused = new java.util.HashSet<>();
    /** Controllers, by IP, whose watches are late though all else is served. */
    private final java.util.Set<String> blind = new java.util.HashSet<>();
    /** Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
    public double lateWrites;
    /** Share of transactions that are carried out at once and of which only the answer is lost; how many there were. */
    public double lostAnswers;
    public int answersLost;
    /** Which transactions are carried out at once without an answer, whatever their share. */
    public java.util.function.Predicate<ObjectNode> unanswered = t -> false;
    /** Sees each transaction that has just been carried out. */
    public java.util.function.Consumer<ObjectNode> committed = t -> { };
    /** How many of those were carried out, and how many failed by then. */
    public int landedLate;
    public int failedLate;
    /** Items that a page of a list holds at most. */
    public int page = 1_000;
    /** ms. Each request takes up to so much longer. */
    public long slowMs;
    /** How often each key of the ledger was written. */
    public final Map<String, Integer> ledgered = new HashMap<>();
    /** Which transactions get lost on their way, perhaps to arrive later. */
    public java.util.function.Predicate<ObjectNode> lost = t -> false;
    /** Sees each transaction as it arrives, before anything is done with it. */
    public java.util.function.Consumer<ObjectNode> arriving = t -> { };
    public int largestValue;
    public int largestTxn;

    public Store(Sim sim, int txnOps) {
        this.sim = sim;
        this.txnOps = txnOps;
        sim.after(50, this::expire);
    }

    public JsonNode value(String key) {
        Entry e = data.get(key);
        return e == null ? null : e.value;
    }

    public long generation() {
        return generation;
    }

    public java.util.Collection<String> keys() {
        return data.keySet();
    }

    private void expire() {
        if (!down) {
            for (Long g : new ArrayList<>(holds.keySet())) {
                if (holds.get(g) + 100 < sim.now()) {
                    end(g);
                }
            }
        }
        sim.after(50, this::expire);
    }

    /** After an outage all leases have their full time again. */
    public void outage(boolean on) {
        downMs += down ? sim.now() - downAt : 0;
        downAt = sim.now();
        down = on;
        if (!on) {
            holds.replaceAll((g, t) -> sim.now() + lives.get(g));
            notifyWatches();
        }
    }

    private void end(long grant) {
        holds.remove(grant);
        generation++;
        for (String key : new ArrayList<>(data.keySet())) {
            if (data.get(key).grant == grant) {
                data.remove(key);
                changes.add(new Change(generation, key, null));
            }
        }
        notifyWatches();
    }

    /** Refuses one controller alone, or serves it again. */
    public void refuse(String ip, boolean on) {
        if (on) {
            refused.add(ip);
        } else {
            refused.remove(ip);
            notifyWatches();
        }
    }

    /** Keeps what changes from one controller, or lets it catch up. */
    public void blind(String ip, boolean on) {
        if (on) {
            blind.add(ip);
        } else {
            blind.remove(ip);
            notifyWatches();
        }
    }

    private boolean out(String from) {
        return down || refused.contains(from);
    }

    public void handle(Request r, String from) {
        if (slowMs > 0) {
            sim.after(sim.random.nextLong(slowMs), () -> take(r, from));
        } else {
            take(r, from);
        }
    }

    private void take(Request r, String from) {
        if (r.path.equals("/watch") && !out(from)) {
            Watch w = new Watch(r.query.get("prefix"), Long.parseLong(r.query.get("after")), r, from);
            watches.add(w);
            sim.after(Long.parseLong(r.query.getOrDefault("holdMs", "0")), () -> {
                if (!out(from) && !blind.contains(from) && watches.remove(w)) {
                    answer(w, news(w));
                }
            });
            notifyWatches();
            return;
        }
        if (out(from)) {
            r.refuse(503, "trouble");
            return;
        }
        ObjectNode body = r.method.equals("POST") ? Codec.CBOR.readMap(r.body) : null;
        if (r.path.equals("/holds")) {
            long g = ++grants;
            lives.put(g, body.path("lifeMs").asLong());
            holds.put(g, sim.now() + body.path("lifeMs").asLong());
            r.answer(200, Codec.map().put("grant", g));
        } else if (r.path.startsWith("/holds/")) {
            long g = Long.parseLong(r.path.split("/")[2]);
            if (!holds.containsKey(g)) {
                r.answer(404, Codec.map());
            } else if (r.method.equals("DELETE")) {
                end(g);
                r.answer(200, Codec.map());
            } else {
                holds.put(g, sim.now() + lives.get(g));
                r.answer(200, Codec.map());
            }
        } else if (r.path.equals("/commit")) {
            if (lateWrites > 0 && !body.path("then").isEmpty() && sim.random.nextDouble() < lateWrites) {
                late(r, body, 2_000 + sim.random.nextLong(10_000));
            } else if (unanswered.test(body) || lostAnswers > 0 && !body.path("then").isEmpty() && sim.random.nextDouble() < lostAnswers) {
                answersLost++;
                commit(silent(), body);
            } else {
                commit(r, body);
            }
        } else if (r.path.equals("/store")) {
            list(r);
        } else {
            Entry e = data.get(r.path.substring("/store/".length()));
            if (e == null) {
                r.answer(404, Codec.map().put("generation", generation));
            } else {
                ObjectNode out = Codec.map().put("path", r.path.substring("/store/".length())).put("stamp", e.stamp).put("grant", e.grant);
                out.set("value", e.value);
                r.answer(200, out);
            }
        }
    }

    /** Carries a transaction out after so many ms; nobody hears of it. */
    void late(Request r, ObjectNode body, long ms) {
        sim.after(ms, () -> {
            if (down) {
                late(r, body, 1_000);
                return;
            }
            long before = generation;
            commit(silent(), body);
            if (generation > before) {
                landedLate++;
            } else {
                failedLate++;
            }
        });
    }

    /** Nobody hears the answer. */
    static Request silent() {
        return new Request("POST", "/commit", Map.of(), new byte[0]) {
            @Override protected void send(int status, Codec codec, byte[] out, int retryAfterS) { }
        };
    }

    private void list(Request r) {
        ArrayNode items = Codec.list();
        String prefix = r.query.get("prefix");
        int limit = Math.min(page, Integer.parseInt(r.query.getOrDefault("limit", "1000")));
        boolean more = false;
        for (Map.Entry<String, Entry> e : data.tailMap(r.query.getOrDefault("after", prefix), false).entrySet()) {
            if (e.getKey().startsWith(prefix)) {
                if (items.size() >= limit) {
                    more = true;
                    break;
                }
                items.addObject().put("path", e.getKey()).put("stamp", e.getValue().stamp).set("value", e.getValue().value);
            }
        }
        ObjectNode out = Codec.map().put("truncated", more).put("generation", generation);
        out.set("items", items);
        r.answer(200, out);
    }

    private void commit(Request r, ObjectNode body) {
        if (lost.test(body)) {
            return;
        }
        arriving.accept(body);
        JsonNode then = body.path("then");
        if (then.size() > txnOps || body.path("guards").size() > 4 * txnOps) {
            throw new IllegalStateException("a transaction over the limits: " + then.size() + " changes, " + body.path("guards").size() + " guards");
        }
        largestTxn = Math.max(largestTxn, then.size());
        for (JsonNode op : then) {
            if (op.hasNonNull("grant") && !holds.containsKey(op.path("grant").asLong())) {
                r.refuse(400, "no such lease");
                return;
            }
            if (op.has("put")) {
                int size = op.path("value").toString().length();
                largestValue = Math.max(largestValue, size);
                if (size > 8 * 1024) {
                    throw new IllegalStateException("a value over the limit: " + size);
                }
            }
        }
        ArrayNode failed = Codec.list();
        for (JsonNode g : body.path("guards")) {
            Entry e = data.get(g.path("path").asText());
            if ((e == null ? 0 : e.stamp) != g.path("stamp").asLong()) {
                failed.add(g.path("path").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode out = Codec.map().put("generation", generation);
            out.set("failed", failed);
            r.answer(409, out);
            return;
        }
        if (!then.isEmpty()) {
            generation++;
        }
        for (JsonNode op : then) {
            if (op.path("put").asText().startsWith("z/oe/")) {
                ledgered.merge(op.path("put").asText(), 1, Integer::sum);
            }
            if (op.has("put")) {
                data.put(op.path("put").asText(), new Entry(op.path("value"), generation, op.path("grant").asLong()));
                changes.add(new Change(generation, op.path("put").asText(), op.path("value")));
            } else if (data.remove(op.path("remove").asText()) != null) {
                changes.add(new Change(generation, op.path("remove").asText(), null));
            }
        }
        r.answer(200, Codec.map().put("generation", generation));
        notifyWatches();
        if (!then.isEmpty()) {
            committed.accept(body);
        }
    }

    private void notifyWatches() {
        if (down) {
            return;
        }
        for (Watch w : new ArrayList<>(watches)) {
            if (out(w.from) || blind.contains(w.from)) {
                continue;
            }
            if (changes.size() > kept && changes.get(changes.size() - kept).generation > w.after) {
                watches.remove(w);
                w.request.answer(410, Codec.map());
                continue;
            }
            ArrayNode news = news(w);
            if (!news.isEmpty()) {
                watches.remove(w);
                answer(w, news);
            }
        }
    }

    private ArrayNode news(Watch w) {
        ArrayNode news = Codec.list();
        for (int i = changes.size() - 1; i >= 0 && changes.get(i).generation > w.after; i--) {
            Change c = changes.get(i);
            if (c.key.startsWith(w.prefix)) {
                ObjectNode n = Codec.map().put(c.value == null ? "remove" : "put", c.key).put("stamp", c.generation);
                if (c.value != null) {
                    n.set("value", c.value);
                }
                news.insert(0, n);
            }
        }
        return news;
    }

    private void answer(Watch w, ArrayNode news) {
        ObjectNode out = Codec.map().put("generation", generation);
        out.set("news", news);
        w.request.answer(200, out);
    }
}
