package standins;

import java.nio.file.Path;
import java.util.List;

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
        Threads.sleep(8_000);
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
        Waiting.submit(world, user, first);
        Threads.sleep(1_200);
        Waiting.submit(world, user, second);

        Waiting.judge(world, user, first, second);
    }
}
