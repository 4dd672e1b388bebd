package io.quincelead.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.net.Codec;
import io.quincelead.records.JobSpec;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The checker can fail: a deliberately broken world trips each rule. */
class CheckerTest {
    private final World w = new World(1);
    private int machines;

    private Worker machine(String site, boolean spot) {
        machines++;
        Worker m = new Worker(w, "i-" + machines, "10.1.0." + machines + ":9000", w.cloud.shape("small"), site, spot);
        w.cloud.machines.put(m.host, m);
        return m;
    }

    private Worker.Task run(Worker m, JobSpec s, int index, long attempt) {
        w.specs.put(s.id(), s);
        Worker.Task t = new Worker.Task(s.id() + "/" + index, attempt);
        m.tasks.put(t.name + "#" + attempt, t);
        w.began(m, t, s);
        t.status = "running";
        w.sim.after(1, () -> { });
        w.sim.run(w.sim.now() + 2);
        return t;
    }

    private void assertTripped(String rule) {
        assertTrue(w.broken().stream().anyMatch(b -> b.startsWith(rule)), rule + " in " + w.broken());
    }

    private static JobSpec plain() {
        return Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 4, 2, 10);
    }

    @Test void ranTwice() {
        run(machine("a", true), plain(), 0, 1);
        run(machine("b", true), plain(), 0, 2);
        assertTripped("ran_twice");
    }

    @Test void quota() {
        JobSpec s = Jobs.array(1, "blue", JobSpec.Urgency.NORMAL, 40, 8, 10);
        for (int i = 0; i < 4; i++) {
            run(machine("a", true), s, i, 1);
        }
        assertTripped("quota");
    }

    @Test void wrongPlace() {
        run(machine("a", true), Jobs.job(1, "red", JobSpec.Mode.ARRAY, JobSpec.Urgency.NORMAL, 2, 1, 0, 5, List.of("big"), null, false, false, true, 0), 0, 1);
        assertTripped("wrong_place");
    }

    @Test void wrongPlaceByZones() {
        JobSpec s = Jobs.job(1, "red", JobSpec.Mode.ARRAY, JobSpec.Urgency.NORMAL, 2, 1, 0, 5, null, null, true, false, true, 0);
        run(machine("a", true), s, 0, 1);
        run(machine("b", true), s, 1, 1);
        assertTripped("wrong_place");
    }

    @Test void ranCancelled() {
        JobSpec s = plain();
        run(machine("a", true), s, 0, 1);
        w.net.host("10.0.0.1:8080", r -> r.answer(200, Codec.map().put("nameId", s.id()).put("status", "cancelled")));
        w.net.host("10.0.0.2:8080", r -> r.answer(200, Codec.map().put("nameId", s.id()).put("status", "cancelled")));
        w.net.host("10.0.0.3:8080", r -> r.answer(200, Codec.map().put("nameId", s.id()).put("status", "cancelled")));
        w.cancel(s.id());
        w.sim.run(60_000);
        assertTripped("ran_cancelled");
    }

    private void everyController(int status, String answer) {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> {
            if (r.method.equals("POST")) {
                r.answer(201, Codec.map().put("status", "pending"));
            } else {
                r.answer(status, Codec.map().put("status", answer));
            }
        }));
    }

    @Test void forgotten() {
        everyController(404, "");
        w.submit(plain());
        w.sim.run(20_000);
        assertTripped("forgotten");
    }

    /** A poll that is never answered, whatever others are told. */
    @Test void forgottenByNotAnswering() {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> {
            if (r.method.equals("POST")) {
                r.answer(201, Codec.map().put("status", "pending"));
            } else if (r.path.endsWith("2")) {
                r.answer(200, Codec.map().put("status", "pending"));
            } else {
                r.later(503, "not ready");
            }
        }));
        w.troubled(40_000);
        w.submit(plain());
        w.submit(Jobs.array(2, "red", JobSpec.Urgency.NORMAL, 4, 2, 10));
        w.sim.run(114_000);
        assertEquals(Set.of(), w.broken());
        w.sim.run(120_000);
        assertEquals(Set.of("forgotten: wk-000001 got no answer for 75 s"), w.broken());
    }

    /** By class, by team, by size, and by the time of the first start. */
    @Test void leftBehind() {
        everyController(200, "pending");
        for (int i = 1; i <= 11; i++) {
            w.submit(Jobs.array(i, i == 11 ? "blue" : "red", JobSpec.Urgency.NORMAL, i == 10 ? 40 : 4, 2, 10));
        }
        w.sim.run(20_000);
        for (int i = 1; i <= 9; i++) {
            String id = String.format("wk-%06d", i);
            run(machine("a", true), w.specs.get(id), 0, 1);
            for (int k = 0; k < 4; k++) {
                w.results.add(id + "/" + k);
            }
            w.answered(id, "done", null);
        }
        w.sim.run(239_000);
        assertEquals(List.of("largest of class quick: 0.0 served", "team blue: 0.0 served"), w.service().leftBehind());
        run(machine("a", true), w.specs.get("wk-000011"), 0, 1);
        w.sim.run(241_000);
        assertTrue(w.service().leftBehind().contains("wk-000010 (40 tasks, NORMAL) began after 241 s"), "" + w.service().leftBehind());
        assertTrue(w.service().leftBehind().stream().noneMatch(t -> t.startsWith("wk-000011")), "" + w.service().leftBehind());
    }

    /** What was carried out arrives again. */
    @Test void copiesArrive() {
        int[] got = {0};
        w.net.copies = 1;
        w.net.host("10.9.0.1:1", r -> {
            got[0]++;
            r.answer(200, Codec.map());
        });
        w.net.call(World.USERS, "10.9.0.1:1", "POST", "/x", null, 1_000, (status, body, retry) -> { });
        w.sim.run(200_000);
        assertEquals(2, got[0]);
    }

    @Test void invented() {
        everyController(200, "running");
        w.query("wk-77");
        w.sim.run(20_000);
        assertTripped("invented");
    }

    @Test void notDone() {
        everyController(200, "done");
        w.submit(plain());
        w.sim.run(20_000);
        assertTripped("not_done");
    }

    @Test void wentBack() {
        everyController(200, "cancelled");
        w.submit(plain());
        w.sim.run(20_000);
        assertTripped("went_back");
    }

    private void toldCancelled(JobSpec s) {
        w.specs.put(s.id(), s);
        w.controllers.forEach(c -> w.net.host(c.listen, r -> r.answer(200, Codec.map().put("nameId", s.id()).put("status", "cancelled"))));
        w.cancel(s.id());
        w.sim.run(w.sim.now() + 1_000);
        assertTrue(w.cancelledAt(s.id()) >= 0);
    }

    /** At once, not only after {@code cancel_s}. */
    @Test void startsAfterTheCancellationWasConfirmed() {
        toldCancelled(plain());
        assertEquals(Set.of(), w.broken());
        run(machine("a", true), plain(), 0, 1);
        assertTripped("ran_cancelled: wk-000001/0 starts");
    }

    @Test void goesOnAfterItsMachineHung() {
        JobSpec s = plain();
        Worker m = machine("a", true);
        m.boot();
        run(m, s, 0, 1);
        m.hang(true);
        toldCancelled(s);
        assertEquals(Set.of(), w.broken());
        m.hang(false);
        assertTripped("ran_cancelled: wk-000001/0 goes on after i-1 hung");
    }

    /** Fewer tasks are done than anybody had been told before the question was sent; not: before its answer came. */
    @Test void anOlderAnswer() {
        int[] done = {3};
        w.controllers.forEach(c -> w.net.host(c.listen, r -> r.answer(200, Codec.map().put("status", "running").put("done", done[0]))));
        w.submit(plain());
        w.sim.run(1_000);
        w.query("wk-000001", 0);
        done[0] = 2;
        w.answered("wk-000001", Codec.map().put("status", "running").put("done", 3), null, 0);
        w.query("wk-000001", 1);
        w.sim.run(1_100);
        assertTripped("older: wk-000001: 2 tasks are done, there were 3");
    }

    @Test void anAnswerThatWasOvertakenIsNotOlder() {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> r.answer(200, Codec.map().put("status", "running").put("done", 2))));
        w.submit(plain());
        w.query("wk-000001", 0);
        w.answered("wk-000001", Codec.map().put("status", "running").put("done", 3), null, 0);
        w.sim.run(500);
        assertEquals(Set.of(), w.broken());
    }

    @Test void acceptedThoughItCannotRun() {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> r.answer(201, Codec.map().put("status", "pending"))));
        w.submitOdd("wk-700001", Codec.CBOR.write(plain().encode().put("nameId", "wk-700001").put("vcpus", 1_000)), 422);
        w.sim.run(500);
        assertTripped("accepted: wk-700001 can't run");
    }

    @Test void refusedForAnotherReason() {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> r.refuse(422, "")));
        w.submitOdd("wk-700001", new byte[] {1}, 400);
        w.sim.run(500);
        assertTripped("accepted: wk-700001 got 422 instead of 400");
        assertEquals(0, w.users.refused);
    }

    @Test void acceptedTwiceOrUnknownToWhoeverCancels() {
        w.controllers.forEach(c -> w.net.host(c.listen, r -> {
            if (r.path.endsWith("/cancel")) {
                r.refuse(404, "");
            } else {
                r.answer(201, Codec.map().put("status", "pending"));
            }
        }));
        w.submit(plain());
        w.sim.run(500);
        assertEquals(Set.of(), w.broken());
        w.submit(plain());
        w.cancel("wk-000001");
        w.sim.run(900);
        assertEquals(Set.of("forgotten: wk-000001 was accepted once more", "forgotten: wk-000001 can't be cancelled"), w.broken());
    }

    /** By real room: a machine that fits, a team under its limit, and nothing for 90 s; not where either is missing or just being passed on. */
    @Test void waitingThoughThereIsRoom() {
        everyController(200, "pending");
        Worker m = machine("a", true);
        m.boot();
        JobSpec waits = plain();
        JobSpec noRoom = Jobs.array(2, "red", JobSpec.Urgency.NORMAL, 1, 9, 10);
        JobSpec overLimit = Jobs.array(3, "blue", JobSpec.Urgency.NORMAL, 4, 1, 10);
        w.troubled(10_000);
        w.submit(waits);
        w.submit(noRoom);
        w.submit(overLimit);
        JobSpec full = Jobs.array(4, "blue", JobSpec.Urgency.NORMAL, 24, 1, 10);
        w.submit(full);
        for (int i = 0; i < 24; i++) {
            Worker other = i % 8 == 0 ? machine("b", true) : w.cloud.machines.get("i-" + machines);
            run(other, full, i, 1);
        }
        w.sim.run(99_000);
        assertEquals(Set.of(), w.broken());
        w.sim.run(103_000);
        assertEquals(Set.of("waiting: wk-000001 could go on since 11 s"), w.broken());
    }

    @Test void aPlaceThatIsPassedOnIsNotFree() {
        everyController(200, "pending");
        Worker m = machine("a", true);
        m.boot();
        JobSpec waits = Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 1, 8, 10);
        JobSpec many = Jobs.array(2, "red", JobSpec.Urgency.NORMAL, 100, 8, 10);
        w.submit(waits);
        w.submit(many);
        for (int i = 0; i < 40; i++) {
            Worker.Task t = run(m, many, i, 1);
            w.sim.run(w.sim.now() + 2_000);
            m.tasks.remove(t.name + "#1");
            w.sim.run(w.sim.now() + 2_000);
        }
        assertTrue(w.sim.now() > 150_000);
        assertEquals(Set.of(), w.broken());
    }

    /** Who could not have begun, for its team was at its limit with work as urgent, is not left behind; who could have is. */
    @Test void leftBehindByLessUrgentWorkOnly() {
        everyController(200, "pending");
        Worker m = machine("a", true);
        m.boot();
        JobSpec high = Jobs.array(1, "blue", JobSpec.Urgency.HIGH, 1, 2, 10);
        JobSpec low = Jobs.array(2, "blue", JobSpec.Urgency.BEST_EFFORT, 1, 2, 10);
        JobSpec full = Jobs.array(3, "blue", JobSpec.Urgency.NORMAL, 12, 2, 10);
        w.submit(high);
        w.submit(low);
        w.submit(full);
        for (int i = 0; i < 12; i++) {
            Worker other = i % 4 == 0 ? machine("b", true) : w.cloud.machines.get("i-" + machines);
            run(other, full, i, 1);
        }
        w.sim.run(250_000);
        assertTrue(w.couldBegin(high.id()) > 200, "high: " + w.couldBegin(high.id()));
        assertEquals(0, w.couldBegin(low.id()));
        assertTrue(Meetings.leftBehindThoughTheyCould(w).stream().anyMatch(t -> t.startsWith(high.id())));
        assertTrue(Meetings.leftBehindThoughTheyCould(w).stream().noneMatch(t -> t.startsWith(low.id())));
    }

    /** Carried out, and nobody hears of it. */
    @Test void anAnswerGetsLost() {
        int[] status = {-1};
        w.store.lostAnswers = 1;
        w.net.call("10.0.0.1:0", World.STORE, "POST", "/commit", Codec.CBOR.write(Codec.JSON.readMap(
                "{\"guards\":[],\"then\":[{\"put\":\"a/x\",\"value\":{}}]}".getBytes(java.nio.charset.StandardCharsets.UTF_8))), 1_000, (s, b, retry) -> status[0] = s);
        w.sim.run(2_000);
        assertEquals(0, status[0]);
        assertEquals(1, w.store.answersLost);
        assertTrue(w.store.value("a/x") != null);
    }

    /** Reports are kept for the next leader, or held up until it acts; who reaches nobody answers direct commands. */
    @Test void reportsThatWaitForALeader() {
        int[] got = {0};
        w.controllers.forEach(c -> w.net.host(c.listen, r -> {
            got[0]++;
            r.answer(200, Codec.map().put("epoch", 1));
        }));
        Worker m = machine("a", true);
        w.net.keptReports = 1;
        m.boot();
        w.sim.run(4_500);
        int sent = got[0];
        w.net.keptReports = 0;
        w.net.bringKept(w.controllers.stream().map(c -> c.listen).toList());
        w.sim.run(4_990);
        assertTrue(sent > 3 && w.net.keptArrived >= 3 * sent && w.net.keptArrived % 3 == 0, sent + " sent, " + w.net.keptArrived + " arrived");
        w.net.heldReports = 1;
        w.sim.run(9_000);
        int before = got[0];
        w.net.heldReports = 0;
        w.net.letGo();
        w.sim.run(9_450);
        assertTrue(w.net.heldArrived > 0 && got[0] >= before + w.net.heldArrived);
        m.mute = true;
        w.sim.run(15_000);
        int mute = got[0];
        int[] status = {0};
        w.net.call("10.0.0.1:0", m.addr, "GET", "/show", null, 1_000, (s, b, retry) -> status[0] = s);
        w.sim.run(22_000);
        assertEquals(mute, got[0]);
        assertEquals(200, status[0]);
    }
}
