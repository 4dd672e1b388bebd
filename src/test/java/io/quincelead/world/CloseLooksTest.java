package io.quincelead.world;

import static io.quincelead.world.MeetingsTest.assertAllDone;
import static io.quincelead.world.MeetingsTest.names;
import static io.quincelead.world.MeetingsTest.world;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.records.JobSpec;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Users who look closely (docs/design/meetings.md): no controller tells anybody anything older than what somebody has been told. */
class CloseLooksTest {
    /** Everybody asks everywhere and submits again, within milliseconds of each piece of news; controllers hear late of changes and answers get lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void nobodyIsToldAnythingOlder(long seed) {
        World w = world(seed, 3, 24);
        w.start();
        w.users.closeLooks = true;
        w.users.cancelledAtOnce = 0.25;
        w.users.cancelledAtEnd = 0.25;
        w.store.lostAnswers = seed % 2 == 0 ? 0.25 : 0;
        for (int i = 1; i <= 40; i++) {
            JobSpec s = i % 8 == 0 ? Jobs.array(i, "red", JobSpec.Urgency.NORMAL, 250, 0.2, 8) : Jobs.array(i, "red", JobSpec.Urgency.values()[i % 4], 1 + i % 4, 1, 4);
            w.sim.after(4_000 + i * 900L, () -> w.submit(s));
        }
        for (int i = 0; i < 16; i++) {
            String ip = w.controllers.get(i % 3).ip;
            w.sim.after(4_000 + i * 2_400L, () -> w.store.blind(ip, true));
            w.sim.after(6_000 + i * 2_400L, () -> w.store.blind(ip, false));
        }
        w.sim.run(60_000);
        w.store.lostAnswers = 0;
        assertTrue(w.users.looks > 60 && w.users.atOnce > 3 && w.users.atEnd > 3, w.users.looks + " looks, " + w.users.atOnce + ", " + w.users.atEnd);
        assertTrue(seed % 2 != 0 || w.store.answersLost > 20, "answers lost: " + w.store.answersLost);
        w.sim.run(300_000);
        assertAllDone(w, 40);
    }

    /**
     * A controller whose copy is behind finds that out, reads the store and once answered from the copy all the same; and of larger jobs it
     * compared the job's own record alone, while their tasks are in others.
     */
    @ParameterizedTest
    @ValueSource(ints = {12, 450})
    void whoIsBehindAnswersFromWhatItReads(int tasks) {
        World w = world(7, 3, 24);
        w.start();
        w.sim.run(8_000);
        int behind = (Meetings.leader(w) + 1) % 3;
        w.submit(Jobs.array(1, "red", JobSpec.Urgency.NORMAL, tasks, tasks > 100 ? 0.2 : 2, 20), (behind + 1) % 3);
        w.sim.run(16_000);
        w.store.blind(w.controllers.get(behind).ip, true);
        int[] news = {0};
        w.store.committed = t -> news[0] += names(t.path("then"), "put", "a/j/wk-000001") || names(t.path("then"), "put", "a/t/wk-000001/") ? 1 : 0;
        for (int t = 0; t < 40_000; t += 100) {
            int c = t / 100 % 3;
            w.sim.after(t, () -> w.query("wk-000001", c));
        }
        w.sim.run(40_000);
        assertTrue(news[0] > 3, "changes that it didn't hear of: " + news[0]);
        w.store.blind(w.controllers.get(behind).ip, false);
        w.sim.run(120_000);
        assertAllDone(w, 1);
    }

    /** What a request can be overtaken by. */
    private enum Step {
        /** The cancellation is recorded. */
        CANCELLATION(t -> names(t.path("then"), "put", "a/j/wk-000001") && t.path("then").get(0).path("value").has("x")),
        /** The job moves to its final key. */
        END(t -> names(t.path("then"), "put", "z/wk-000001")),
        /** It is accepted. */
        ACCEPTANCE(t -> names(t.path("then"), "put", "a/j/wk-000001") && names(t.path("guards"), "path", "z/wk-000001")),
        /** Its last task gets a place, or its end is recorded. */
        ROUND(t -> names(t.path("then"), "put", "a/j/wk-000001") && names(t.path("guards"), "path", "a/b/"));

        private final Predicate<ObjectNode> is;

        Step(Predicate<ObjectNode> is) {
            this.is = is;
        }
    }

    /** A submission or a cancellation meets the end that it asks about at each step, whose answer gets lost; both are repeated elsewhere. */
    @ParameterizedTest
    @EnumSource(Step.class)
    void whatIsOvertakenByTheEndIsToldTheEnd(Step step) {
        for (int seed = 1; seed <= 6; seed++) {
            World w = world(seed, 3, 12);
            w.start();
            w.sim.run(8_000);
            int[] met = {0};
            w.store.unanswered = t -> {
                if (!step.is.test(t)) {
                    return false;
                }
                if (met[0]++ == 0) {
                    for (int c = 0; c < 3; c++) {
                        int at = c;
                        for (int ms : new int[] {0, 3, 20, 150}) {
                            w.sim.after(ms, () -> w.query("wk-000001", at));
                            w.sim.after(ms, () -> w.submit(w.specs.get("wk-000001"), at));
                        }
                        w.sim.after(5 + c * 40L, () -> w.cancel("wk-000001", at));
                    }
                }
                return true;
            };
            JobSpec s = Jobs.array(1, "red", seed % 2 == 0 ? JobSpec.Urgency.HIGH : JobSpec.Urgency.NORMAL, 2, 1, 4);
            w.submit(s, seed % 3);
            // The last task ends 2 to 6 s after it began.
            int from = seed % 3;
            w.sim.after(step == Step.CANCELLATION ? 700 * seed : 60_000, () -> w.cancel("wk-000001", from));
            w.sim.after(20_000, () -> w.store.unanswered = t -> false);
            w.sim.run(120_000);
            assertTrue(met[0] > 0, "the meeting");
            assertAllDone(w, 1);
            assertTrue(w.finalTold("wk-000001"));
        }
    }

    /** A cancellation, a question and a repeated submission at the very end of the last task, and nothing else. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theEndOfTheLastTaskIsToldOneWay(long seed) {
        World w = world(seed, 3, 16);
        w.start();
        w.users.closeLooks = true;
        w.users.cancelledAtEnd = 0.7;
        for (int i = 1; i <= 40; i++) {
            JobSpec s = Jobs.array(i, "red", JobSpec.Urgency.values()[i % 4], 1 + i % 3, 1, 3);
            w.sim.after(4_000 + i * 500L, () -> w.submit(s));
        }
        w.sim.run(120_000);
        assertTrue(w.users.atEnd > 15, "at the end: " + w.users.atEnd);
        assertAllDone(w, 40);
        assertTrue(w.specs.keySet().stream().anyMatch(id -> w.told(id, "done")) && w.specs.keySet().stream().anyMatch(id -> w.told(id, "cancelled")));
    }

    /** Submissions of unfinished jobs, cancellations of finished ones, jobs that fit nothing or lack a field: nothing is lost by any of them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oddRequestsLoseNothing(long seed) {
        World w = world(seed, 3, 16);
        w.patienceMs = 200_000;
        w.start();
        for (int i = 1; i <= 20; i++) {
            JobSpec s = Jobs.array(i, "red", JobSpec.Urgency.NORMAL, 1 + i % 3, 1, 10);
            w.sim.after(4_000 + i * 1_500L, () -> w.submit(s));
        }
        w.sim.after(6_000, () -> w.users.oddRequests(100, 60_000));
        w.sim.after(15_000, () -> Troubles.crash(w, Math.max(0, Meetings.leader(w)), 300));
        w.sim.after(25_000, () -> Meetings.outage(w, 10_000));
        w.sim.run(200_000);
        assertTrue(w.users.refused > 150 && w.users.odd > 30, w.users.refused + " refused, " + w.users.odd + " odd");
        assertAllDone(w, 20);
        w.never.forEach(id -> assertEquals(null, w.store.value("a/j/" + id)));
    }

    /** A job that is known is told as it is, whatever its repeated submission would get now; an answer that can't be given yet says so. */
    @Test void aKnownJobIsToldWhateverItsSubmissionWouldGet() {
        World w = world(3, 3, 12);
        w.start();
        w.sim.run(8_000);
        JobSpec s = Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 2, 1, 30);
        w.submit(s, 0);
        w.sim.run(9_000);
        ObjectNode lacks = s.encode();
        lacks.remove("vcpus");
        List<ObjectNode> bodies = List.of(lacks, s.encode().put("vcpus", 1_000), s.encode().put("owner", "nobody"));
        for (int c = 0; c < 3; c++) {
            for (ObjectNode body : bodies) {
                int[] got = new int[1];
                JsonNode[] answer = {null};
                call(w, c, body, got, answer);
                assertEquals(200, got[0], () -> body + ": " + answer[0]);
                assertEquals("wk-000001", answer[0].path("nameId").asText());
                call(w, c, body.deepCopy().put("nameId", "wk-000002"), got, answer);
                assertTrue(got[0] == 400 || got[0] == 422, "an unknown one: " + got[0]);
                assertTrue(Set.of("vcpus", "owner", "no allowed machine type").stream().anyMatch(answer[0].path("error").asText()::contains), answer[0] + "");
            }
        }
        w.store.outage(true);
        int[] got = new int[1];
        JsonNode[] answer = {null};
        call(w, 1, lacks, got, answer);
        assertEquals(503, got[0]);
        w.store.outage(false);
        w.sim.run(200_000);
        assertAllDone(w, 1);
    }

    private static void call(World w, int controller, ObjectNode body, int[] status, JsonNode[] answer) {
        w.net.call(World.USERS, w.controllers.get(controller).listen, "POST", "/v2/runs", io.quincelead.net.Codec.CBOR.write(body), 5_000, (s, out, retry) -> {
            status[0] = s;
            answer[0] = io.quincelead.net.Codec.CBOR.readMap(out);
            assertTrue(s != 503 || retry > 0, "no Retry-After");
        });
        w.sim.run(w.sim.now() + 2_500);
    }
}
