package standins;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One controller ends and is back 5 s later. Afterwards a user with one open connection, which leads to that
 * controller, submits two jobs. The second must not wait for 90 s while a machine that fits has room.
 */
final class CaseWait {
    private static final int CONTROLLERS = 3;
    private static final int BACK = 2;

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
                6);
        for (int i = 0; i < CONTROLLERS; i++) {
            world.start(i);
        }
        if (!world.awaitReady(CONTROLLERS, 15_000)) {
            world.finish(2, "the controllers don't get ready");
        }
        // The morning: short jobs through all controllers, until each machine has had work.
        for (int i = 0; i < 6; i++) {
            Job job = new Job();
            job.id = String.format("wk-%06d", 101 + i);
            job.owner = "roads-desk";
            job.members = 8;
            job.realRunS = 3;
            job.runtimeS = 3;
            int at = i % CONTROLLERS;
            Threads.start("user", () -> world.submit(job, at));
        }
        Threads.sleep(9_000);
        world.say(world.cloud.present().size() + " machines, " + world.rules.starts + " tasks ran");

        if (trouble) {
            world.kill(BACK);
            Threads.sleep(5_000);
            world.start(BACK);
        } else {
            Threads.sleep(5_000);
        }
        if (!world.awaitReady(CONTROLLERS, 10_000)) {
            world.finish(2, "the controller is not back");
        }
        Threads.sleep(6_500);

        Job first = new Job();
        first.id = "wk-000200";
        first.jobClass = "ensemble-rerun";
        first.owner = "marine-desk";
        first.members = 12;
        first.vcpus = 2;
        first.ramGb = 3.6;
        first.realRunS = 180;
        first.runtimeS = 180;
        Job second = new Job();
        second.id = "wk-000201";
        second.owner = "model-ops";
        second.members = 40;
        second.realRunS = 60;
        second.runtimeS = 60;
        Http.Client user = new Http.Client(world.nodes.get(BACK).userAddress, 500);
        submit(world, user, first);
        Threads.sleep(1_200);
        submit(world, user, second);

        long since = Threads.now();
        long nextLine = 0;
        while (Threads.now() < since + 90_000) {
            if (world.rules.begunCount(second) > 0) {
                world.finish(
                        0, second.id + " began after " + (Threads.now() - since) / 1000.0 + " s");
            }
            Map<String, Double> free = new LinkedHashMap<>();
            List<Cloud.Machine> present = world.cloud.present();
            for (Cloud.Machine machine : present) {
                free.put(machine.name, machine.worker.freeCpus(second.ramGb));
            }
            if (free.values().stream().noneMatch(cpus -> cpus >= second.vcpus)) {
                world.finish(0, "no machine has room, after " + (Threads.now() - since) / 1000.0);
            }
            if (Threads.now() >= nextLine) {
                nextLine = Threads.now() + 10_000;
                String answer = ask(user, second);
                world.say(
                        second.id + " is " + answer + ", " + world.rules.begunCount(first)
                                + " tasks of " + first.id + " began, free CPUs " + free);
            }
            Threads.sleep(250);
        }
        world.finish(
                1,
                second.id + " waits for 90 s, no task began, and at each look (every 0.25 s) a machine had"
                        + " room for it; model-ops uses "
                        + world.rules.usage().getOrDefault("model-ops", 0.0) + " of "
                        + world.limits.get("model-ops") + " CPUs");
    }

    private static void submit(World world, Http.Client user, Job job) throws Exception {
        world.jobs.put(job.id, job);
        for (int attempt = 0; attempt < 20; attempt++) {
            Http.Response response =
                    user.call("POST", "/v2/runs", Cbor.encode(job.submission()), 5_000);
            world.say("submit " + job.id + ": " + World.describe(response));
            if (response.status() == 201 || response.status() == 200) {
                return;
            }
            Threads.sleep(1_000);
        }
        world.finish(2, job.id + " is not accepted");
    }

    private static String ask(Http.Client user, Job job) {
        try {
            return World.describe(user.call("GET", "/v2/runs/" + job.id, null, 2_000));
        } catch (Exception e) {
            return e.toString();
        }
    }
}
