package io.quincelead.world;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.net.Codec;
import io.quincelead.records.JobSpec;
import java.util.ArrayList;
import java.util.List;

/** What users do besides submitting, asking every few seconds and cancelling now and then. */
final class Users {
    private final World w;
    /** They ask all controllers, and repeat the submission, within milliseconds of an acceptance, end or cancellation. */
    boolean closeLooks;
    /** Share of jobs that are then cancelled at once. */
    double cancelledAtOnce;
    /** Share of jobs that are cancelled at the moment at which their last task ends. */
    double cancelledAtEnd;
    /** How often each has happened. */
    int looks;
    int atOnce;
    int atEnd;
    int now;
    /** Odd requests that got the refusal they should get, and those about jobs that are known. */
    int refused;
    int odd;
    private int odds;
    private int ids = 1_000;

    Users(World w) {
        this.w = w;
    }

    /** The number of a job that nobody has submitted yet. */
    int id() {
        return ++ids;
    }

    /** The first time that anybody is told that the job is accepted. */
    void accepted(JobSpec s) {
        if (cancelledAtOnce > 0 && !s.service() && w.sim.random.nextDouble() < cancelledAtOnce) {
            atOnce++;
            w.sim.after(w.sim.random.nextLong(30), () -> w.cancel(s.id()));
        }
        look(s.id());
    }

    /** The first time that anybody is told that it is done or cancelled. */
    void ended(String id) {
        look(id);
    }

    /** A task of the job has just completed. */
    void completed(JobSpec s) {
        for (int i = 0; i < s.members(); i++) {
            if (!w.results.contains(s.id() + "/" + i)) {
                return;
            }
        }
        if (cancelledAtEnd > 0 && w.told().contains(s.id()) && w.sim.random.nextDouble() < cancelledAtEnd) {
            atEnd++;
            w.sim.after(w.sim.random.nextLong(20), () -> w.cancel(s.id()));
        }
        look(s.id());
    }

    private void look(String id) {
        JobSpec s = w.specs.get(id);
        if (!closeLooks || s == null || !w.told().contains(id)) {
            return;
        }
        looks++;
        for (int i = 0; i < w.controllers.size(); i++) {
            int c = i;
            for (int k = 0; k < 3; k++) {
                w.sim.after(w.sim.random.nextLong(60), () -> w.query(id, c));
            }
            w.sim.after(w.sim.random.nextLong(60), () -> w.submit(s, c));
        }
    }

    /** Cancels so many running jobs that have long to go, within 0.2 s; up to eight of their machines hang for so many ms. */
    void cancelNow(int count, long hangMs) {
        List<String> running = new ArrayList<>();
        for (String id : w.told()) {
            JobSpec s = w.specs.get(id);
            boolean runs = w.cloud.machines.values().stream().anyMatch(m -> m.tasks.values().stream().anyMatch(t -> t.on() && w.spec(t.name) == s));
            if (runs && !s.service() && !w.cancelAsked(id) && s.runtimeS() >= 5) {
                running.add(id);
            }
        }
        List<String> chosen = running.subList(0, Math.min(count, running.size()));
        now += chosen.size();
        chosen.forEach(id -> w.sim.after(w.sim.random.nextLong(200), () -> w.cancel(id)));
        if (hangMs > 0) {
            w.troubled(w.sim.now() + hangMs);
            w.cloud.machines.values().stream().filter(m -> m.up && !m.dead && !m.hung
                    && m.tasks.values().stream().anyMatch(t -> chosen.contains(w.spec(t.name).id()))).limit(8).toList().forEach(m -> {
                        m.hang(true);
                        w.sim.after(hangMs, () -> m.hang(false));
                    });
        }
    }

    /** One odd request. */
    void oddRequest() {
        List<String> told = new ArrayList<>(w.told());
        String id = String.format("wk-7%05d", ++odds);
        ObjectNode job = Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 3, 1, 5).encode().put("nameId", id);
        switch (w.sim.random.nextInt(7)) {
            case 0 -> told.stream().filter(i -> !w.finalTold(i)).skip(w.sim.random.nextInt(3)).findFirst().ifPresent(i -> {
                odd++;
                w.submit(w.specs.get(i));
            });
            case 1 -> told.stream().filter(i -> w.told(i, "done")).skip(w.sim.random.nextInt(3)).findFirst().ifPresent(i -> {
                odd++;
                w.cancel(i);
            });
            case 2 -> w.submitOdd(id, Codec.CBOR.write(job.put("vcpus", 1_000)), 422);
            case 3 -> w.submitOdd(id, Codec.CBOR.write(job.put("owner", "nobody")), 422);
            case 4 -> w.submitOdd(id, Codec.CBOR.write(job.put("mode", "ensemble").put("members", 5_000)), 422);
            case 5 -> {
                job.remove(List.of("vcpus", "members", "owner", "mode", "container").get(w.sim.random.nextInt(5)));
                w.submitOdd(id, Codec.CBOR.write(job), 400);
            }
            default -> w.submitOdd(id, Codec.CBOR.write(job.put("members", -1)), 400);
        }
    }

    void oddRequests(long everyMs, long forMs) {
        for (long t = 0; t < forMs; t += everyMs) {
            w.sim.after(t, this::oddRequest);
        }
    }

    /** One-task jobs of both teams, so many a second, a quarter of them cancelled within three seconds. */
    void oneTaskJobs(int count, long everyMs) {
        for (int i = 0; i < count; i++) {
            JobSpec s = Jobs.array(id(), i % 2 == 0 ? "red" : "blue", JobSpec.Urgency.values()[1 + i % 3], 1, 1, 2 + i % 6);
            w.sim.after(i * everyMs, () -> w.submit(s));
            if (i % 4 == 3) {
                w.sim.after(i * everyMs + w.sim.random.nextLong(3_000), () -> w.cancel(s.id()));
            }
        }
    }
}
