package standins;

import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A user sends one malformed submission: a text in it is not UTF-8, so the body is not CBOR. Other users' jobs must go
 * on.
 */
final class CaseMalformed {
    private static final int CONTROLLERS = 3;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0]));
        world.exitAfter(118);
        world.verbose = true;
        world.team("marine-desk", 128, 700);
        world.team("roads-desk", 88, 350);
        world.team("model-ops", 128, 700);
        world.team("archive-group", 72, 250);
        world.prepare(
                CONTROLLERS,
                List.of(
                        new Cloud.Shape(
                                "gull", 8, 64, 0.46, 0.17, 2, 0.8, List.of("duluth", "sarnia"))),
                20);
        for (int i = 0; i < CONTROLLERS; i++) {
            world.start(i);
        }
        if (!world.awaitReady(CONTROLLERS, 15_000)) {
            world.finish(2, "the controllers don't get ready");
        }
        Job earlier = new Job();
        earlier.id = "wk-000101";
        earlier.owner = "model-ops";
        earlier.members = 6;
        earlier.realRunS = 22;
        earlier.runtimeS = 22;
        if (!world.submit(earlier, 1)) {
            world.finish(2, earlier.id + " is not accepted");
        }
        long until = Threads.now() + 20_000;
        while (world.rules.begunCount(earlier) < earlier.members) {
            if (Threads.now() > until) {
                world.finish(2, earlier.id + " does not begin");
            }
            Threads.sleep(50);
        }
        world.say(earlier.id + " is accepted and all its tasks run");
        if (trouble) {
            Threads.start("malformed", () -> sendMalformed(world));
            Threads.sleep(17_000);
        }

        // A sound user, who tries for 60 s as the protocol says; the balancer takes the nodes in turn.
        Job later = new Job();
        later.id = "wk-000103";
        later.owner = "roads-desk";
        later.members = 2;
        later.realRunS = 3;
        later.runtimeS = 3;
        long askedAt = Threads.now();
        Thread submission = Threads.start("user", () -> world.submit(later, 0));
        long endedAt = 0;
        int polls = 0;
        int node = 0;
        while (true) {
            long now = Threads.now();
            if (endedAt == 0 && world.rules.doneCount(earlier) == earlier.members) {
                endedAt = now;
                world.say("the last task of " + earlier.id + " has completed");
            }
            node = (node + 1) % CONTROLLERS;
            String status = world.poll(earlier, node);
            polls += endedAt > 0 ? 1 : 0;
            world.log("poll " + earlier.id + " at " + world.nodes.get(node).member + ": " + status);
            boolean told = status.equals("done");
            if (told && later.acceptedAt > 0) {
                world.finish(
                        0, earlier.id + " is told done " + (Threads.now() - endedAt) / 1000.0
                                + " s after its end, " + later.id + " was accepted after "
                                + (later.acceptedAt - askedAt) / 1000.0 + " s");
            }
            if (endedAt > 0 && now - endedAt > 45_000 && !submission.isAlive()) {
                world.say(
                        earlier.id + ": last answer " + earlier.lastStatus + ", "
                                + (now - endedAt) / 1000 + " s after its last task has completed, "
                                + polls + " polls since, at all controllers in turn");
                int ready = 0;
                for (int i = 0; i < CONTROLLERS; i++) {
                    ready += world.isReady(i) ? 1 : 0;
                }
                world.finish(
                        1, (told ? "" : earlier.id + " is never told done; ")
                                + (later.acceptedAt > 0
                                        ? ""
                                        : later.id + " was not answered in 60 s; ")
                                + "GET /ready is 200 at " + ready + " of " + CONTROLLERS
                                + " controllers");
            }
            Threads.sleep(700);
        }
    }

    /** Sends it until it is answered 400 or 60 s are over, as users do where no answer comes. */
    private static void sendMalformed(World world) {
        Job job = new Job();
        job.id = "wk-000102";
        job.owner = "marine-desk";
        Map<String, Object> body = job.submission();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        // The text "img-" and the first half of a surrogate pair, as some encoders write a text that was cut.
        text.writeBytes(new byte[] {0x67, 'i', 'm', 'g', '-', (byte) 0xed, (byte) 0xa0, (byte) 0xbd});
        body.put("container", new Cbor.Raw(text.toByteArray()));
        long until = Threads.now() + 60_000;
        for (int node = 0; Threads.now() < until; node = (node + 1) % CONTROLLERS) {
            Http.Response response = world.ask(node, "POST", "/v2/runs", body, 5_000);
            world.say(
                    "malformed submission at " + world.nodes.get(node).member + ": "
                            + (response.status() < 0 ? "no answer" : World.describe(response)));
            if (response.status() == 400) {
                return;
            }
            Threads.sleep(1_000);
        }
    }
}
