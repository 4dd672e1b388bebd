package standins;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The state service refuses one controller alone, while the others record much. Afterwards a user whose connection
 * leads to that controller cancels a job.
 */
final class CaseCatchUp {
    private static final int CONTROLLERS = 5;
        
    /** The longest cut of the state service in the site's days lasts 37.5 s. */
    private static final int MOST_REFUSED_SECONDS = 36;

    private static final long ENOUGH_BYTES = 8_800_000;
    private static final int TASKS = 200;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0]));
        world.exitAfter(118);
        world.quiet = true;
        world.rps = 600;
        world.writeRps = 250;
        world.cloudRps = 3.5;
        world.reportS = 3;
        world.leaseS = 17.5;
        world.cancelS = 47.5;
        world.maxConnections = 2354;
        world.team("marine-desk", 2500, 8000);
        world.team("roads-desk", 1500, 4000);
        world.team("model-ops", 2500, 8000);
        world.team("archive-group", 1200, 2500);
        world.prepare(
                CONTROLLERS,
                List.of(
                        new Cloud.Shape(
                                "osprey", 64, 512, 3.81, 1.7, 1.5, 0.8, List.of("duluth", "sarnia"))),
                130);
        for (int i = 0; i < CONTROLLERS; i++) {
            world.start(i);
        }
        if (!world.awaitReady(CONTROLLERS, 15_000)) {
            world.finish(2, "the controllers don't get ready");
        }
        long begin = Threads.now();
        long refuseAt = begin + 8_000;
        long healAt = refuseAt + MOST_REFUSED_SECONDS * 1000L;
        String[] owners = {"marine-desk", "roads-desk", "model-ops"};
        // As many jobs as keep the machines full; no more once enough is recorded.
        int refusedNode = CONTROLLERS - 1;
        boolean refused = false;
        long next = begin;
        long firstBytes = 0;
        long nextLine = begin;
        long firstRevision = 0;
        int count = 0;
        Job kept = null;
        while (Threads.now() < healAt) {
            long now = Threads.now();
            long recorded = refused ? world.store.changeBytes() - firstBytes : 0;
            if (recorded >= ENOUGH_BYTES) {
                break;
            }
            if (!refused && now >= refuseAt) {
                refused = true;
                // Not the leader, for whose successor all would wait.
                Map<?, ?> lead = (Map<?, ?>) world.store.value("a/lead");
                if (lead != null && world.nodes.get(refusedNode).member.equals(lead.get("m"))) {
                    refusedNode--;
                }
                firstRevision = world.store.changeCount();
                firstBytes = world.store.changeBytes();
                if (trouble) {
                    world.store.setMode(refusedNode, Store.Mode.REFUSE);
                    world.say("the state service refuses " + world.nodes.get(refusedNode).member);
                }
            }
            if (kept == null && now >= refuseAt + 10_000) {
                kept = new Job();
                kept.id = "wk-900000";
                kept.jobClass = "archive-regrid";
                kept.owner = "archive-group";
                kept.members = 20;
                kept.vcpus = 4;
                kept.ramGb = 7.5;
                kept.realRunS = 300;
                kept.runtimeS = 300;
                Job job = kept;
                Threads.start("user", () -> world.submit(job, 0));
            }
            boolean full = (long) count * TASKS - world.rules.starts > 9_000;
            if (now >= next && recorded < ENOUGH_BYTES - 2_000_000 && (!full || count < 110)) {
                next = now + 20;
                Job job = new Job();
                job.id = String.format("wk-%06d", ++count);
                job.owner = owners[count % owners.length];
                job.members = TASKS;
                job.realRunS = 12;
                job.runtimeS = 12;
                job.spread = 0.9;
                int at = count % (CONTROLLERS - 2);
                Threads.start("user", () -> world.submit(job, at));
            }
            if (now >= nextLine) {
                nextLine += 5_000;
                world.say(
                        world.cloud.present().size() + " machines, " + world.rules.starts
                                + " tasks began, " + count + " jobs"
                                + (refused
                                        ? ", recorded since: "
                                                + (world.store.changeCount() - firstRevision)
                                                + " changes, " + recorded + " bytes"
                                        : ""));
            }
            Threads.sleep(10);
        }
        world.store.setMode(refusedNode, Store.Mode.OK);
        world.say(
                "the state service serves all again, after "
                        + (Threads.now() - refuseAt) / 1000.0 + " s");

        // The balancer takes the controller back after two good probes and at least 3 s.
        long since = 0;
        int good = 0;
        while (good < 4) {
            good = world.isReady(refusedNode) ? good + 1 : 0;
            Threads.sleep(1_000);
        }
        Http.Client user = new Http.Client(world.nodes.get(refusedNode).userAddress, 500);
        Job late = new Job();
        late.id = "wk-900001";
        late.members = 2;
        late.realRunS = 5;
        late.runtimeS = 5;
        world.jobs.put(late.id, late);
        Http.Response accepted =
                user.call("POST", "/v2/runs", Cbor.encode(late.submission()), 5_000);
        world.say("submit " + late.id + ": " + World.describe(accepted));
        long acceptedAt = Threads.now();
        since = Threads.now();
        String answer = "";
        int answers = 0;
        int ready = 0;
        int probes = 0;
        while (Threads.now() < since + 60_000) {
            Http.Response response;
            try {
                response = user.call("POST", "/v2/runs/" + kept.id + "/cancel", null, 5_000);
            } catch (java.io.IOException e) {
                response = new Http.Response(-1, new byte[0]);
            }
            answer = World.describe(response);
            if (answers++ % 5 == 0) {
                world.say("cancel " + kept.id + ": " + answer);
            }
            if (response.status() == 200) {
                world.say("cancel " + kept.id + ": " + answer);
                world.finish(
                        0, "the cancellation is answered after "
                                + (Threads.now() - since) / 1000.0 + " s");
            }
            probes++;
            ready += world.isReady(refusedNode) ? 1 : 0;
            Threads.sleep(1_000);
        }
        world.say(
                "seen beside: " + late.id + ", accepted " + (Threads.now() - acceptedAt) / 1000
                        + " s ago by the same controller, has begun "
                        + world.rules.begunCount(late) + " of 2 tasks; "
                        + world.store.summary(refusedNode)
                        + "; changes since the refusal began: "
                        + (world.store.changeCount() - firstRevision));
        world.finish(
                1,
                "no cancellation of " + kept.id + " was answered in 60 s, " + answers
                        + " requests, last answer " + answer + "; GET /ready was 200 in " + ready
                        + " of " + probes + " probes; tasks of the job on machines: "
                        + world.rules.onMachines(kept));
    }
}
