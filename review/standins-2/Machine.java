package standins2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine with its worker, as in PROTOCOL, "Workers -> controller nodes" and "Gangs". */
final class Machine {
    /** An attempt of a task on this machine. */
    final class Attempt {
        final String task;
        final long number;
        final Lab.Job job;
        String status;
        String why = "";
        boolean stored;
        long readyAt;
        long runningSince;
        long savingUntil;

        Attempt(String task, long number, Lab.Job job) {
            this.task = task;
            this.number = number;
            this.job = job;
        }

        boolean ended() {
            return status.equals("ended");
        }

        boolean onMachine() {
            return !ended() && !status.equals("fetching");
        }

        void end(String reason) {
            if (onMachine()) {
                lab.taskLeft(this, Machine.this, reason);
            }
            status = "ended";
            why = reason;
            reportDue = true;
        }
    }

    private final Lab lab;
    final String host;
    final Site.Shape shape;
    final String zone;
    final boolean spot;
    final long rentedAt = System.currentTimeMillis();
    final String address;
    private final HttpServer server;
    boolean up;
    boolean deleted;
    boolean hung;

    /** Answers and direct commands to this machine are lost. */
    boolean deaf;

    /** This machine reaches no controller; direct commands reach it. */
    boolean mute;

    private long tenure = 1;
    private long serial;
    private long epoch;
    private long leaseStart;
    private int target;
    private boolean reportDue;
    private final Map<String, Long> images = new HashMap<>();
    final LinkedHashMap<String, Attempt> attempts = new LinkedHashMap<>();

    Machine(Lab lab, String host, Site.Shape shape, String zone, boolean spot) throws Exception {
        this.lab = lab;
        this.host = host;
        this.shape = shape;
        this.zone = zone;
        this.spot = spot;
        server = Wire.serve(this::handle);
        address = Wire.addressOf(server);
        target = Integer.parseInt(host.substring(2)) % lab.site.controllers;
    }

    void boot(long millis) {
        Wire.THREADS.execute(
                () -> {
                    Lab.sleep(millis);
                    synchronized (lab) {
                        up = true;
                        leaseStart = now();
                    }
                    report();
                });
    }

    void delete() {
        synchronized (lab) {
            deleted = true;
            attempts.values().stream()
                    .filter(Attempt::onMachine)
                    .forEach(a -> lab.taskLeft(a, this, "machine gone"));
            attempts.clear();
            lab.notifyAll();
        }
        server.stop(0);
    }

    void setHung(boolean nowHung) {
        synchronized (lab) {
            hung = nowHung;
            lab.note("machine " + host + (nowHung ? " hangs" : " goes on"));
            if (!nowHung) {
                expireLease();
                lab.notifyAll();
            }
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    private void expireLease() {
        if (up && now() - leaseStart > lab.site.leaseS * 1000) {
            attempts.values().stream()
                    .filter(Attempt::onMachine)
                    .forEach(a -> lab.taskLeft(a, this, "lease over"));
            if (!attempts.isEmpty()) {
                lab.note("machine " + host + ": lease over, " + attempts.size() + " tasks killed");
            }
            attempts.clear();
            tenure++;
            leaseStart = now();
            reportDue = true;
        }
    }

    /** Called every 20 ms under the lab's lock. */
    void tick() {
        if (!up || deleted || hung) {
            return;
        }
        expireLease();
        for (Attempt attempt : new ArrayList<>(attempts.values())) {
            switch (attempt.status) {
                case "fetching" -> {
                    if (now() >= attempt.readyAt) {
                        if (lab.isKeptDone(attempt.task)) {
                            attempt.end("done");
                            break;
                        }
                        attempt.status = attempt.job.gang() ? "waiting" : "running";
                        attempt.runningSince = now();
                        reportDue = true;
                        lab.taskStarts(attempt, this);
                        if (attempt.job.gang()) {
                            lab.gangArrives(attempt, this);
                        }
                    }
                }
                case "waiting" -> {
                    if (now() - attempt.runningSince > lab.site.gangWaitS * 1000) {
                        attempt.end("incomplete");
                    }
                }
                case "running" -> {
                    if (attempt.job.failsAlways()) {
                        attempt.end("error");
                    } else if (!attempt.job.service()
                            && now() - attempt.runningSince > attempt.job.runS() * 1000) {
                        lab.taskDone(attempt);
                        attempt.end("done");
                    }
                }
                case "saving" -> {
                    if (now() >= attempt.savingUntil) {
                        attempt.stored = true;
                        attempt.end("halted");
                    }
                }
                default -> {}
            }
        }
    }

    private ObjectNode describe() {
        ObjectNode node =
                Wire.map()
                        .put("host", host)
                        .put("addr", address)
                        .put("shape", shape.label())
                        .put("site", zone)
                        .put("preemptible", spot)
                        .put("tenure", tenure)
                        .put("serial", ++serial)
                        .put("epoch", epoch);
        ArrayNode members = node.putArray("members");
        for (Attempt attempt : attempts.values()) {
            ObjectNode member =
                    members.addObject()
                            .put("member", attempt.task)
                            .put("try", attempt.number)
                            .put("status", attempt.status);
            if (attempt.ended()) {
                member.put("exitReason", attempt.why);
                if (attempt.why.equals("halted")) {
                    member.put("stored", attempt.stored);
                }
            }
        }
        return node;
    }

    private void report() {
        long lastSent = 0;
        long retryAt = 0;
        while (true) {
            ObjectNode body;
            String controller;
            long sentTenure;
            long sentAt;
            synchronized (lab) {
                long wait = 1;
                while (wait > 0) {
                    if (deleted) {
                        return;
                    }
                    long interval = (long) (lab.site.reportS * 1000);
                    long due =
                            retryAt > 0 ? retryAt : lastSent + (reportDue ? 500 : interval);
                    wait = hung ? 20 : due - now();
                    if (wait > 0) {
                        try {
                            lab.wait(Math.min(wait, 20));
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }
                expireLease();
                reportDue = false;
                retryAt = 0;
                body = describe();
                controller = lab.controllers.get(target).address;
                sentTenure = tenure;
                sentAt = now();
                lastSent = sentAt;
            }
            Wire.Answer answer =
                    mute
                            ? new Wire.Answer(0, null)
                            : Wire.call(controller, "POST", "/v1/report", body, 4000);
            synchronized (lab) {
                while (hung && !deleted) {
                    try {
                        lab.wait(20);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (deleted) {
                    return;
                }
                if (deaf) {
                    answer = new Wire.Answer(0, null);
                }
                expireLease();
                if (now() - sentAt > 4000) {
                    answer = new Wire.Answer(0, null);
                }
                if (answer.status() == 200) {
                    JsonNode token = answer.body().path("epoch");
                    if (tenure == sentTenure && token.isNumber() && token.asLong() >= epoch) {
                        leaseStart = sentAt;
                        adopt(token.asLong());
                        answer.body().path("orders").forEach(this::execute);
                    }
                } else {
                    int named =
                            answer.status() == 421
                                    ? lab.controllerIndex(answer.text("controller"))
                                    : -1;
                    if (named >= 0 && named != target) {
                        target = named;
                        retryAt = now() + 100;
                    } else {
                        target = (target + 1) % lab.controllers.size();
                        retryAt = now() + 1000;
                    }
                }
            }
        }
    }

    private void adopt(long token) {
        if (token > epoch) {
            epoch = token;
            reportDue = true;
        }
    }

    private void execute(JsonNode order) {
        String task = order.path("member").asText();
        long number = order.path("try").asLong();
        String key = task + "#" + number;
        Attempt attempt = attempts.get(key);
        switch (order.path("verb").asText()) {
            case "start" -> {
                if (attempt != null) {
                    return;
                }
                lab.startOrders++;
                attempt = new Attempt(task, number, lab.jobOf(task));
                attempts.put(key, attempt);
                attempt.status = "fetching";
                if (attempt.job == null) {
                    attempt.end("unknown");
                    return;
                }
                double cpus = attempt.job.vcpus();
                double ram = attempt.job.ramGb();
                for (Attempt other : attempts.values()) {
                    if (other != attempt && !other.ended()) {
                        if (other.task.equals(task)) {
                            attempt.end("busy");
                            return;
                        }
                        cpus += other.job.vcpus();
                        ram += other.job.ramGb();
                    }
                }
                if (cpus > shape.vcpus() + 1e-6 || ram > shape.ramGb() + 1e-6) {
                    attempt.end("full");
                    return;
                }
                String image = attempt.job.spec.path("container").asText();
                double sizeGb = attempt.job.spec.path("sizeGb").asDouble();
                attempt.readyAt =
                        images.computeIfAbsent(
                                image, i -> now() + (long) (sizeGb / shape.pullGbPerS() * 1000));
                reportDue = true;
            }
            case "kill" -> {
                if (attempt == null || attempt.ended()) {
                    return;
                }
                double drainS = order.path("drainS").asDouble();
                double saveS = attempt.job.spec.path("snapshotS").asDouble();
                boolean saves = attempt.job.spec.path("snapshotEveryS").asDouble() > 0;
                if (attempt.status.equals("running") && saves && drainS >= saveS) {
                    attempt.status = "saving";
                    attempt.savingUntil = now() + (long) (saveS * 1000);
                    reportDue = true;
                } else if (!attempt.status.equals("saving") || drainS <= 0) {
                    attempt.end("halted");
                }
            }
            case "clear" -> {
                if (attempt != null && attempt.ended()) {
                    attempts.remove(key);
                }
            }
            default -> {}
        }
    }

    private Wire.Answer handle(Wire.Request request) throws Exception {
        synchronized (lab) {
            while (hung && !deleted) {
                lab.wait(20);
            }
            if (deleted || !up || deaf) {
                Lab.waitUnlocked(lab, 3000);
                return null;
            }
            expireLease();
            if (request.path().equals("/show")) {
                return Wire.answer(200, describe());
            }
            ObjectNode body = request.body();
            if (body == null || !body.has("epoch") || !body.has("tenure")) {
                return Wire.error(400, "epoch or tenure is missing");
            }
            if (body.path("epoch").asLong() < epoch || body.path("tenure").asLong() != tenure) {
                return Wire.answer(409, describe());
            }
            adopt(body.path("epoch").asLong());
            body.path("orders").forEach(this::execute);
            return Wire.answer(200, describe());
        }
    }

    List<Attempt> running() {
        return attempts.values().stream().filter(Attempt::onMachine).toList();
    }
}
