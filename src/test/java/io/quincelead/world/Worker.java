package io.quincelead.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.records.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for one machine and its worker, written from the protocol. */
public final class Worker {
    /** A task on the machine, or one that has ended there. */
    /** ms. gang_wait_s of the settings that the world hands over. */
    static final long GANG_WAIT_MS = 45_000;

    public static final class Task {
        final String name;
        final long attempt;
        String status = "fetching";
        String reason = "";
        boolean stored;
        long doneAt;

        Task(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
        }

        /** Whether it counts as being on the machine. */
        boolean on() {
            return status.equals("running") || status.equals("waiting") || status.equals("saving");
        }

        boolean ended() {
            return status.equals("ended");
        }
    }

    final World world;
    final Sim sim;
    final String host;
    final String addr;
    final Cloud.Shape shape;
    final String site;
    final boolean spot;
    final long rentedAt;
    boolean up;
    boolean dead;
    boolean gone;
    boolean hung;
    boolean sick;
    /** Its reports arrive; answers and direct commands to it are lost. */
    boolean deaf;
    /** It reaches no controller; direct commands reach it. */
    boolean mute;
    double warningS = -1;
    private long tenure = 1;
    private long serial;
    private long epoch;
    private long leaseFrom;
    private int target;
    private boolean inFlight;
    private boolean soon;
    private long lastSent = -10_000;
    private int round;
    final Map<String, Task> tasks = new LinkedHashMap<>();
    /** Images, by when they are here. */
    private final Map<String, Long> images = new java.util.HashMap<>();
    private final List<Runnable> frozen = new ArrayList<>();

    Worker(World world, String host, String addr, Cloud.Shape shape, String site, boolean spot) {
        this.world = world;
        this.sim = world.sim;
        this.host = host;
        this.addr = addr;
        this.shape = shape;
        this.site = site;
        this.spot = spot;
        this.rentedAt = sim.now();
        this.target = sim.random.nextInt(world.controllers.size());
    }

    private static String key(String name, long attempt) {
        return name + "#" + attempt;
    }

    /** Runs now, or when a hanging machine resumes, or never. */
    private void run(Runnable r) {
        if (gone || dead) {
            return;
        }
        if (hung) {
            frozen.add(r);
        } else {
            r.run();
        }
    }

    void boot() {
        if (!gone) {
            up = true;
            leaseFrom = sim.now();
            world.net.host(addr, r -> run(() -> orders(r)));
            tick();
        }
    }

    void destroy() {
        gone = true;
        tasks.clear();
        world.net.host(addr, null);
    }

    void die() {
        dead = true;
        tasks.clear();
        world.net.host(addr, null);
    }

    void hang(boolean on) {
        hung = on;
        if (!on) {
            List<Runnable> late = new ArrayList<>(frozen);
            frozen.clear();
            checkLease();
            late.forEach(this::run);
            if (!gone) {
                world.wentOn(this);
            }
        }
    }

    private void checkLease() {
        if (sim.now() - leaseFrom > world.leaseMs) {
            tasks.clear();
            tenure++;
            serial = 0;
            leaseFrom = sim.now();
        }
    }

    boolean working() {
        return up && !dead && !gone && !hung && !deaf && !mute && !sick && warningS < 0;
    }

    private void tick() {
        if (gone || dead) {
            return;
        }
        run(() -> {
            checkLease();
            if (!inFlight && (sim.now() - lastSent >= world.reportMs || soon && sim.now() - lastSent >= 500)) {
                report();
            }
        });
        sim.after(100, this::tick);
    }

    private ObjectNode body() {
        ObjectNode n = Codec.map().put("host", host).put("addr", addr).put("shape", shape.label()).put("site", site)
                .put("preemptible", spot).put("tenure", tenure).put("serial", ++serial).put("epoch", epoch);
        if (warningS >= 0) {
            n.put("warningS", warningS);
        }
        ArrayNode m = n.putArray("members");
        for (Task t : tasks.values()) {
            ObjectNode x = m.addObject().put("member", t.name).put("try", t.attempt).put("status", t.status);
            if (t.ended()) {
                x.put("exitReason", t.reason).put("stored", t.stored);
            }
        }
        return n;
    }

    private void report() {
        inFlight = true;
        soon = false;
        lastSent = sim.now();
        long sent = sim.now();
        long session = tenure;
        int mine = ++round;
        if (mute) {
            sim.after(500, () -> run(() -> answered(mine, sent, session, 0, null)));
            return;
        }
        World.Member to = world.controllers.get(target);
        world.net.call(addr, to.listen, "POST", "/v1/report", Codec.CBOR.write(body()), 4000, (status, bytes, retry) -> run(() -> {
            if (mine != round) {
                return;
            }
            if (deaf && status != 0) {
                sim.after(Math.max(0, 4000 - (sim.now() - sent)), () -> run(() -> answered(mine, sent, session, 0, null)));
                return;
            }
            answered(mine, sent, session, status, bytes);
        }));
    }

    private void answered(int mine, long sent, long session, int status, byte[] bytes) {
        if (mine != round) {
            return;
        }
        inFlight = false;
        ObjectNode answer = Codec.CBOR.readMap(bytes);
        if (status == 200 && answer != null) {
            if (sim.now() - sent > 4000 || session != tenure || !answer.has("epoch") || answer.path("epoch").asLong() < epoch) {
                return;
            }
            leaseFrom = sent;
            adopt(answer.path("epoch").asLong());
            answer.path("orders").forEach(this::obey);
            return;
        }
        String other = status == 421 && answer != null ? answer.path("controller").asText("") : "";
        int named = world.index(other);
        if (named >= 0 && named != target) {
            target = named;
            soon = true;
        } else {
            target = (target + 1) % world.controllers.size();
            lastSent = sim.now() - world.reportMs + 1000;
        }
    }

    private void adopt(long token) {
        if (token > epoch) {
            epoch = token;
            soon = true;
        }
    }

    private void orders(Request r) {
        if (deaf) {
            return;
        }
        checkLease();
        ObjectNode b = r.path.equals("/orders") ? Codec.CBOR.readMap(r.body) : Codec.map();
        if (r.path.equals("/orders")) {
            if (b.path("epoch").asLong() < epoch || b.path("tenure").asLong() != tenure) {
                r.answer(409, body());
                return;
            }
            adopt(b.path("epoch").asLong());
            b.path("orders").forEach(this::obey);
        }
        r.answer(200, body());
    }

    private void obey(JsonNode o) {
        String name = o.path("member").asText();
        long attempt = o.path("try").asLong();
        Task t = tasks.get(key(name, attempt));
        switch (o.path("verb").asText()) {
            case "start" -> {
                if (t == null) {
                    start(name, attempt);
                }
            }
            case "kill" -> {
                if (t != null && !t.ended()) {
                    JobSpec s = world.spec(name);
                    boolean saves = t.status.equals("running") && s.snapshotEveryS() > 0 && o.path("drainS").asDouble() >= s.snapshotS();
                    if (saves) {
                        t.status = "saving";
                        sim.after((long) (s.snapshotS() * 1000), () -> run(() -> {
                            if (tasks.get(key(name, attempt)) == t && !t.ended()) {
                                t.stored = true;
                                end(t, "halted");
                            }
                        }));
                    } else if (!t.status.equals("saving") || o.path("drainS").asDouble() == 0) {
                        end(t, "halted");
                    }
                }
            }
            case "clear" -> {
                if (t != null && t.ended()) {
                    tasks.remove(key(name, attempt));
                }
            }
            default -> throw new IllegalStateException("an unknown order " + o);
        }
    }

    private void start(String name, long attempt) {
        Task t = new Task(name, attempt);
        JobSpec s = world.spec(name);
        double cpu = 0;
        double ram = 0;
        double gpu = 0;
        boolean other = false;
        for (Task x : tasks.values()) {
            if (!x.ended()) {
                JobSpec xs = world.spec(x.name);
                cpu += xs.vcpus();
                ram += xs.ramGb();
                gpu += xs.cards();
                other |= x.name.equals(name);
            }
        }
        tasks.put(key(name, attempt), t);
        if (s == null) {
            end(t, "unknown");
        } else if (other) {
            end(t, "busy");
        } else if (cpu + s.vcpus() > shape.vcpus() + 1e-9 || ram + s.ramGb() > shape.ramGb() + 1e-9 || gpu + s.cards() > shape.cards() + 1e-9) {
            end(t, "full");
        } else {
            sim.after(fetchMs(s), () -> run(() -> {
                if (tasks.get(key(name, attempt)) == t && t.status.equals("fetching")) {
                    world.began(this, t, s);
                    soon = true;
                    if (sick) {
                        t.status = "running";
                        sim.after(700, () -> run(() -> {
                            if (tasks.get(key(name, attempt)) == t && !t.ended()) {
                                end(t, "error");
                            }
                        }));
                    } else if (s.gang() && world.results.contains(t.name)) {
                        end(t, "done");
                    } else if (s.gang()) {
                        t.status = "waiting";
                        sim.after(GANG_WAIT_MS, () -> run(() -> {
                            if (tasks.get(key(name, attempt)) == t && t.status.equals("waiting")) {
                                end(t, "incomplete");
                            }
                        }));
                        world.gang(s);
                    } else {
                        runs(t, s);
                    }
                }
            }));
        }
    }

    /** A machine fetches an image once for all tasks that need it, and keeps it. */
    private long fetchMs(JobSpec s) {
        if (world.fetchGbPerS <= 0) {
            return 300;
        }
        Long at = images.get(s.container());
        if (at == null) {
            world.fetchedGb += s.sizeGb();
            at = sim.now() + (long) (s.sizeGb() / world.fetchGbPerS * 1000);
            images.put(s.container(), at);
        }
        return Math.max(50, at - sim.now());
    }

    void runs(Task t, JobSpec s) {
        t.status = "running";
        if (!s.service()) {
            double real = s.runtimeS() * (0.5 + sim.random.nextDouble());
            sim.after(world.results.contains(t.name) ? 0 : (long) (real * 1000), () -> run(() -> {
                if (tasks.get(key(t.name, t.attempt)) == t && t.status.equals("running")) {
                    world.completed(t, s);
                    end(t, "done");
                }
            }));
        }
    }

    void end(Task t, String reason) {
        t.status = "ended";
        t.reason = reason;
        soon = true;
        JobSpec s = world.spec(t.name);
        if (s != null && s.gang()) {
            world.gangLost(s, t.attempt, reason);
        }
    }
}
