package io.quincelead.world;

import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The network between hosts: delays messages, loses answers, and cuts pairs of hosts, holding packets or not. */
public final class Net {
    /** A host answers through a callback, or never. */
    @FunctionalInterface
    public interface Host {
        void handle(Request request);
    }

    private final Sim sim;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> held = new HashSet<>();
    private final Map<String, List<Runnable>> parked = new HashMap<>();
    /** Share of answers that get lost after the request was executed. */
    public double lossy;
    /** Share of requests of which a copy arrives again, up to three minutes later; nobody hears the answer to a copy. */
    public double copies;

    /** Share of the workers' reports of which a copy arrives again, from 2 s to well over a lease later. */
    public double lateReports;
    public int latestMs = 45_000;
    /** Share of the workers' reports of which a copy is kept for whoever leads next. */
    public double keptReports;
    /** Share of the workers' reports that are held up themselves until {@link #letGo}. */
    public double heldReports;
    /** ms. Each packet takes up to so much longer. */
    public int slowMs;
    /** How many kept copies arrived, and how many reports were held up and then arrived. */
    public int keptArrived;
    public int heldArrived;
    private record Kept(String from, String path, byte[] body) { }

    private final List<Kept> kept = new ArrayList<>();
    private final List<Runnable> heldUp = new ArrayList<>();
    /** Share of direct commands that are held up for seconds, on their way or with their answer. */
    public double heldCommands;
    /** ms by which the answers to such commands are held at least, and whether nothing else is. */
    public int answersHeldMs;
    /** How many copies of reports arrived, and how many commands were held up. */
    public int reportedLate;
    public int commandsHeld;
    /** Everything that was called and answered. */
    final HistoryDigest history = new HistoryDigest();
    /** Sees path and body of each request as it is sent. */
    public java.util.function.BiConsumer<String, byte[]> sending = (path, body) -> { };
    /** Who sent what is being handled. */
    private String sender = "";

    public Net(Sim sim) {
        this.sim = sim;
    }

    public void host(String address, Host host) {
        if (host == null) {
            hosts.remove(address);
        } else {
            hosts.put(address, host);
        }
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    private static String ip(String address) {
        return address.substring(0, address.indexOf(':'));
    }

    /** Cuts two hosts; with {@code hold}, what was sent arrives late, even if the sender has given up. */
    public void cut(String ipA, String ipB, boolean hold) {
        cuts.add(pair(ipA, ipB));
        if (hold) {
            held.add(pair(ipA, ipB));
        }
    }

    public void mend(String ipA, String ipB) {
        String p = pair(ipA, ipB);
        cuts.remove(p);
        held.remove(p);
        List<Runnable> late = parked.remove(p);
        if (late != null) {
            late.forEach(r -> sim.after(sim.random.nextInt(1, 30), r));
        }
    }

    /** A packet: now, late or never. */
    private void packet(String from, String to, Runnable arrive) {
        String p = pair(ip(from), ip(to));
        if (!cuts.contains(p)) {
            sim.after(sim.random.nextInt(1, 6) + (slowMs > 0 ? sim.random.nextInt(slowMs) : 0), arrive);
        } else if (held.contains(p)) {
            parked.computeIfAbsent(p, k -> new ArrayList<>()).add(arrive);
        }
    }

    /** The answer as the caller sees it: status 0 when none came in time. */
    @FunctionalInterface
    public interface Answer {
        void got(int status, byte[] body, int retryAfterS);
    }

    /** Questions under way, and the most at once. */
    private int open;
    public int mostOpen;

    public void call(String from, String to, String method, String path, byte[] body, long timeoutMs, Answer got) {
        sending.accept(path, body);
        history.call(sim.now(), from, to, method, path, body);
        boolean[] over = {false};
        mostOpen = Math.max(mostOpen, ++open);
        Answer answer = (status, out, retry) -> {
            open--;
            history.answer(sim.now(), status, retry, out);
            got.got(status, out, retry);
        };
        sim.after(timeoutMs, () -> {
            if (!over[0]) {
                over[0] = true;
                answer.got(0, null, 0);
            }
        });
        if (lateReports > 0 && path.equals("/v1/report") && sim.random.nextDouble() < lateReports) {
            reportedLate++;
            sim.after(sim.random.nextInt(2_000, latestMs), () -> arrive(from, to, method, path, body, (status, out, retry) -> { }));
        }
        if (keptReports > 0 && path.equals("/v1/report") && sim.random.nextDouble() < keptReports && kept.size() < 400) {
            kept.add(new Kept(from, path, body));
        }
        if (heldReports > 0 && path.equals("/v1/report") && sim.random.nextDouble() < heldReports) {
            heldUp.add(() -> arrive(from, to, method, path, body, (status, out, retry) -> { }));
            return;
        }
        boolean held = heldCommands > 0 && path.equals("/orders") && sim.random.nextDouble() < heldCommands;
        commandsHeld += held ? 1 : 0;
        long there = held && answersHeldMs == 0 && sim.random.nextBoolean() ? sim.random.nextInt(1_000, 9_000) : 0;
        long back = !held ? 0 : answersHeldMs > 0 ? answersHeldMs : sim.random.nextInt(0, 2_000);
        if (copies > 0 && sim.random.nextDouble() < copies) {
            sim.after(sim.random.nextInt(100, 180_000), () -> arrive(from, to, method, path, body, (status, out, retry) -> { }));
        }
        packet(from, to, () -> later(there, () -> arrive(from, to, method, path, body, (status, out, retry) -> {
            if (sim.random.nextDouble() < lossy) {
                return;
            }
            packet(to, from, () -> later(back, () -> {
                if (!over[0]) {
                    over[0] = true;
                    answer.got(status, out, retry);
                }
            }));
        })));
    }

    /** Brings a copy of each report that was kept to each of these addresses. */
    void bringKept(List<String> addresses) {
        for (Kept k : kept) {
            for (String to : addresses) {
                sim.after(sim.random.nextInt(1, 400), () -> {
                    keptArrived += hosts.containsKey(to) ? 1 : 0;
                    arrive(k.from, to, "POST", k.path, k.body, (status, out, retry) -> { });
                });
            }
        }
        kept.clear();
    }

    /** What was held up arrives where it was sent to, long after its sender has given up. */
    void letGo() {
        heldArrived += heldUp.size();
        heldUp.forEach(r -> sim.after(sim.random.nextInt(1, 400), r));
        heldUp.clear();
    }

    private void later(long ms, Runnable r) {
        if (ms > 0) {
            sim.after(ms, r);
        } else {
            r.run();
        }
    }

    /** The IP of whoever sent the request that is being handled. */
    String sender() {
        return sender;
    }

    private void arrive(String from, String to, String method, String path, byte[] body, Answer answer) {
        Host host = hosts.get(to);
        if (host == null) {
            return;
        }
        sender = ip(from);
        Map<String, String> query = new HashMap<>();
        int q = path.indexOf('?');
        if (q >= 0) {
            for (String kv : path.substring(q + 1).split("&")) {
                query.put(kv.substring(0, kv.indexOf('=')), kv.substring(kv.indexOf('=') + 1));
            }
        }
        host.handle(new Request(method, q < 0 ? path : path.substring(0, q), query, body == null ? new byte[0] : body) {
            @Override protected void send(int status, Codec codec, byte[] out, int retryAfterS) {
                answer.got(status, out, retryAfterS);
            }
        });
    }

    /** The transport of one process. */
    public Transport transport(String ip, Sim.Process process) {
        return (address, method, path, codec, body, timeoutMs, reply) ->
                call(ip + ":0", address, method, path, body, timeoutMs, (status, bytes, retry) -> {
                    if (!process.dead()) {
                        reply.got(status, bytes);
                    }
                });
    }
}
