package standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service of PROTOCOL. Each controller reaches it at an address of its own, so that one of them
 * alone can be cut off or refused.
 */
final class Store {
    /** What one controller meets. */
    enum Mode {
        OK,
        /** 503 to each request; open watches wait. */
        REFUSE,
        /** The network holds packets and delivers them in order afterwards. */
        HOLD
    }

    /** One change; {@code body} is its form in a watch's answer. */
    private record Change(long revision, String key, byte[] body) {}

    private static final class Entry {
        Object value;
        long stamp;
        long grant;
    }

    private static final class Lease {
        long lifeMillis;
        long endsAt;
        int node;
    }

    private static final class Bucket {
        final double rate;
        double tokens;
        long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.tokens = rate;
        }

        boolean take(double n) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + (now - at) / 1e9 * rate);
            at = now;
            if (tokens < n) {
                return false;
            }
            tokens -= n;
            return true;
        }
    }

    final Http.Server[] servers;
    final Mode[] modes;
    private final long[] heldSinceNanos;
    private final TreeMap<String, Entry> data = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Bucket requests;
    private final Bucket writes;
    private final double valueBytes;
    private final int txnOps;
    private long revision = 1;
    private long lastLease;
    private long changeCount;
    private long changeBytes;
    boolean outage;
    volatile int latencyMillis = 2;

    // What was seen.
    long writtenOps;
    long throttled;
    long tooLarge;
    final long[] largestWatchBytes;
    final long[] watchRequests;
    final long[] largestWatchChanges;
    long watchBytesTotal;

    Store(int nodes, double rps, double writeRps, double valueKb, int txnOps) throws IOException {
        this.requests = new Bucket(rps);
        this.writes = new Bucket(writeRps);
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        servers = new Http.Server[nodes];
        modes = new Mode[nodes];
        heldSinceNanos = new long[nodes];
        largestWatchBytes = new long[nodes];
        watchRequests = new long[nodes];
        largestWatchChanges = new long[nodes];
        for (int i = 0; i < nodes; i++) {
            int node = i;
            modes[i] = Mode.OK;
            servers[i] = new Http.Server(request -> handle(node, request));
        }
        Threads.start(
                "leases",
                () -> {
                    while (true) {
                        Thread.sleep(20);
                        expire();
                    }
                });
    }

    synchronized void setMode(int node, Mode mode) {
        modes[node] = mode;
        heldSinceNanos[node] = System.nanoTime();
        notifyAll();
    }

    synchronized void setOutage(boolean on) {
        outage = on;
        if (!on) {
            long now = Threads.now();
            leases.values().forEach(lease -> lease.endsAt = now + lease.lifeMillis);
        }
        notifyAll();
    }

    synchronized long revision() {
        return revision;
    }

    /** How many keys were put or removed so far. */
    synchronized long changeCount() {
        return changeCount;
    }

    /** The size of all changes so far, as a watch's answer bears them. */
    synchronized long changeBytes() {
        return changeBytes;
    }

    synchronized String summary(int node) {
        return "largest answer to a watch of this controller: " + largestWatchBytes[node]
                + " bytes of changes, " + largestWatchChanges[node] + " changes";
    }

    synchronized Object value(String key) {
        Entry entry = data.get(key);
        return entry == null ? null : entry.value;
    }

    synchronized Map<String, Object> dump(String prefix) {
        Map<String, Object> out = new LinkedHashMap<>();
        for (Map.Entry<String, Entry> e : data.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            out.put(e.getKey(), e.getValue().value);
        }
        return out;
    }

    private Http.Response handle(int node, Http.Request request) throws Exception {
        boolean heldFromStart = false;
        synchronized (this) {
            if (modes[node] == Mode.HOLD) {
                // A connection attempt that was made during the cut and given up does not complete.
                heldFromStart = request.openedAtNanos >= heldSinceNanos[node];
                while (modes[node] == Mode.HOLD) {
                    wait();
                }
            }
        }
        if (heldFromStart && request.isAbandoned()) {
            return null;
        }
        Http.Response response =
                request.path.equals("/watch") ? watch(node, request) : answer(node, request);
        if (latencyMillis > 0 && !request.path.equals("/watch")) {
            Thread.sleep(latencyMillis);
        }
        synchronized (this) {
            while (modes[node] == Mode.HOLD) {
                wait();
            }
        }
        return response;
    }

    private static Http.Response error(int status, String text) {
        return Http.Response.of(status, Map.of("error", text));
    }

    private synchronized Http.Response answer(int node, Http.Request request) {
        if (outage || modes[node] == Mode.REFUSE) {
            return error(503, "trouble");
        }
        if (!requests.take(1)) {
            throttled++;
            return error(429, "too many requests");
        }
        String path = request.path;
        Map<String, Object> body = Cbor.decodeMap(request.body);
        if (path.startsWith("/store/") && request.method.equals("GET")) {
            String key = path.substring(7);
            Entry entry = data.get(key);
            if (entry == null) {
                return Http.Response.of(404, Map.of("generation", revision));
            }
            Map<String, Object> out = new LinkedHashMap<>();
            out.put("path", key);
            out.put("value", entry.value);
            out.put("stamp", entry.stamp);
            if (entry.grant != 0) {
                out.put("grant", entry.grant);
            }
            return Http.Response.of(200, out);
        }
        if (path.equals("/store")) {
            return list(request);
        }
        if (path.equals("/commit")) {
            return commit(body);
        }
        if (path.equals("/holds")) {
            Lease lease = new Lease();
            lease.lifeMillis = ((Number) body.get("lifeMs")).longValue();
            lease.endsAt = Threads.now() + lease.lifeMillis;
            lease.node = node;
            leases.put(++lastLease, lease);
            return Http.Response.of(200, Map.of("grant", lastLease));
        }
        if (path.startsWith("/holds/")) {
            boolean touch = path.endsWith("/touch");
            long id = Long.parseLong(path.substring(7, touch ? path.length() - 6 : path.length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return error(404, "no such lease");
            }
            if (touch) {
                lease.endsAt = Threads.now() + lease.lifeMillis;
            } else {
                end(id);
            }
            return Http.Response.of(200, Map.of("grant", id));
        }
        return error(400, "malformed");
    }

    private Http.Response list(Http.Request request) {
        String prefix = request.param("prefix");
        String after = request.param("after");
        int limit = Math.min(1000, Integer.parseInt(request.param("limit")));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        String from = after == null || after.compareTo(prefix) < 0 ? prefix : after;
        for (Map.Entry<String, Entry> e : data.tailMap(from, after == null).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() >= limit || bytes > 480 * 1024) {
                truncated = true;
                break;
            }
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("path", e.getKey());
            item.put("value", e.getValue().value);
            item.put("stamp", e.getValue().stamp);
            byte[] raw = Cbor.encode(item);
            bytes += raw.length;
            items.add(new Cbor.Raw(raw));
        }
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("items", items);
        out.put("truncated", truncated);
        out.put("generation", revision);
        return Http.Response.of(200, out);
    }

    @SuppressWarnings("unchecked")
    private Http.Response commit(Map<String, Object> body) {
        List<Map<String, Object>> guards =
                (List<Map<String, Object>>) body.getOrDefault("guards", List.of());
        List<Map<String, Object>> then =
                (List<Map<String, Object>>) body.getOrDefault("then", List.of());
        if (then.size() > txnOps || guards.size() > 4 * txnOps) {
            tooLarge++;
            return error(400, "too many operations");
        }
        int total = 0;
        for (Map<String, Object> op : then) {
            int size = op.get("put") == null ? 0 : Json.length(op.get("value"));
            total += size + 60;
            if (size > valueBytes) {
                tooLarge++;
                return error(400, "value too large");
            }
        }
        if (total > 64 * 1024) {
            tooLarge++;
            return error(400, "transaction too large");
        }
        if (!then.isEmpty() && !writes.take(then.size())) {
            throttled++;
            return error(429, "too many changes");
        }
        for (Map<String, Object> op : then) {
            Object grant = op.get("grant");
            if (grant != null && !leases.containsKey(((Number) grant).longValue())) {
                return error(400, "no such lease");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = data.get((String) guard.get("path"));
            if ((entry == null ? 0 : entry.stamp) != ((Number) guard.get("stamp")).longValue()) {
                failed.add(guard.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Response.of(409, Map.of("failed", failed, "generation", revision));
        }
        if (then.isEmpty()) {
            return Http.Response.of(200, Map.of("generation", revision));
        }
        revision++;
        for (Map<String, Object> op : then) {
            writtenOps++;
            if (op.get("put") != null) {
                Object grant = op.get("grant");
                put(
                        (String) op.get("put"),
                        op.get("value"),
                        grant == null ? 0 : ((Number) grant).longValue());
            } else {
                remove((String) op.get("remove"));
            }
        }
        notifyAll();
        return Http.Response.of(200, Map.of("generation", revision));
    }

    private void put(String key, Object value, long grant) {
        Entry entry = data.computeIfAbsent(key, k -> new Entry());
        entry.value = value;
        entry.stamp = revision;
        entry.grant = grant;
        Map<String, Object> change = new LinkedHashMap<>();
        change.put("put", key);
        change.put("value", value);
        change.put("stamp", revision);
        record(key, change);
    }

    private void remove(String key) {
        if (data.remove(key) != null) {
            Map<String, Object> change = new LinkedHashMap<>();
            change.put("remove", key);
            change.put("stamp", revision);
            record(key, change);
        }
    }

    private void record(String key, Map<String, Object> change) {
        changeCount++;
        Change added = new Change(revision, key, Cbor.encode(change));
        changes.addLast(added);
        changeBytes += added.body.length;
        while (changes.size() > 10_000) {
            changes.removeFirst();
        }
    }

    private void end(long leaseId) {
        leases.remove(leaseId);
        List<String> keys = new ArrayList<>();
        data.forEach(
                (key, entry) -> {
                    if (entry.grant == leaseId) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private synchronized void expire() {
        if (outage) {
            return;
        }
        long now = Threads.now();
        List<Long> over = new ArrayList<>();
        leases.forEach(
                (id, lease) -> {
                    if (lease.endsAt + 20 < now) {
                        over.add(id);
                    }
                });
        over.forEach(this::end);
    }

    private Http.Response watch(int node, Http.Request request) throws InterruptedException {
        String prefix = request.param("prefix");
        long after = Long.parseLong(request.param("after"));
        String hold = request.param("holdMs");
        long until = Threads.now() + (hold == null ? 0 : Long.parseLong(hold));
        synchronized (this) {
            if (outage || modes[node] == Mode.REFUSE) {
                return error(503, "trouble");
            }
            if (!requests.take(1)) {
                throttled++;
                return error(429, "too many requests");
            }
            watchRequests[node]++;
            while (true) {
                boolean cut = outage || modes[node] != Mode.OK;
                if (!cut) {
                    if (!changes.isEmpty()
                            && changes.size() >= 10_000
                            && after < changes.peekFirst().revision - 1) {
                        return error(410, "too old");
                    }
                    List<Object> news = new ArrayList<>();
                    long bytes = 0;
                    var newest = changes.descendingIterator();
                    while (newest.hasNext()) {
                        Change change = newest.next();
                        if (change.revision <= after) {
                            break;
                        }
                        if (change.key.startsWith(prefix)) {
                            news.add(new Cbor.Raw(change.body));
                            bytes += change.body.length;
                        }
                    }
                    if (!news.isEmpty() || Threads.now() >= until) {
                        java.util.Collections.reverse(news);
                        largestWatchBytes[node] = Math.max(largestWatchBytes[node], bytes);
                        largestWatchChanges[node] =
                                Math.max(largestWatchChanges[node], news.size());
                        watchBytesTotal += bytes;
                        Map<String, Object> out = new LinkedHashMap<>();
                        out.put("generation", revision);
                        out.put("news", news);
                        return Http.Response.of(200, out);
                    }
                }
                wait(Math.max(1, cut ? 100 : Math.min(1000, until - Threads.now())));
            }
        }
    }
}
