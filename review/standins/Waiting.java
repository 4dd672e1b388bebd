package standins;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The rule that no job waits for 90 s while a machine that fits has room and its team is under its limit. */
final class Waiting {
    private Waiting() {}

    /** Ends the run with what comes of the second job, none of whose tasks has begun yet. */
    static void judge(World world, Http.Client user, Job first, Job second) {
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
                        + " room for it; " + second.owner + " uses "
                        + world.rules.usage().getOrDefault(second.owner, 0.0) + " of "
                        + world.limits.get(second.owner) + " CPUs");
    }

    static void submit(World world, Http.Client user, Job job) throws Exception {
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
