package io.quincelead.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Placement;
import io.quincelead.state.Mirror;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import io.quincelead.world.Jobs;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PreemptionTest {
    /** A clock that moves on at each look, as it does while a slow controller computes. */
    private static final class BusyLoop implements Loop {
        private long nowMillis = 100_000;

        @Override public long nowMillis() {
            return nowMillis++;
        }

        @Override public long wallClockMillis() {
            return nowMillis;
        }

        @Override public void runAfter(long ms, Runnable task) { }
    }

    private final Loop loop = new BusyLoop();
    private final Settings.Team team = new Settings.Team("red", 1_000, 1_000, 0, 0);
    private final Settings settings = new Settings("w", "a", "10.0.0.1:1", "10.0.0.1:2", Map.of(), "10.2.0.2:1", "10.2.0.1:1", 1, 25,
            Map.of("red", team), List.of(), new Settings.Workers(1, 10, 45, 6, 40), new Settings.State(100, 100, 8, 12),
            new Settings.Cloud(2, 4), new Settings.Limits(1, 256, 100));
    private final Mirror watchCache = new Mirror(loop, new StoreClient(loop, (address, method, path, codec, body, ms, reply) -> { }, settings), 100);
    private final JobTable jobs = new JobTable(loop, watchCache);
    private final Policy policy = new Policy(watchCache);

    private void putJob(JobSpec spec, String host) {
        ObjectNode job = Codec.newMap().put("c", "w").put("at", 1);
        job.set("s", spec.encode());
        watchCache.applyCommitted(new Txn().put("a/j/" + spec.jobId(), job), 1);
        for (int pageIndex = 0; host != null && pageIndex * 200 < spec.taskCount(); pageIndex++) {
            ObjectNode page = Codec.newMap().put("t", 1);
            page.putArray("d");
            StringBuilder placed = new StringBuilder();
            for (int i = 0; i < Math.min(200, spec.taskCount() - pageIndex * 200); i++) {
                placed.append(i).append(' ').append(host).append(" 1;");
            }
            page.put("p", placed.toString());
            watchCache.applyCommitted(new Txn().put("a/t/" + spec.jobId() + "/" + String.format("%04d", pageIndex), page), 1);
        }
    }

    /** Victims were once sorted by a loss read from the clock at each comparison: the sort failed and ended all rounds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void candidatesAreFoundThoughTimePassesWhileTheyAreSorted(long seed) {
        putJob(Jobs.array(1, "red", JobSpec.Urgency.BEST_EFFORT, 600, 1, 1e6), "i-1");
        putJob(Jobs.array(2, "red", JobSpec.Urgency.HIGH, 100, 1, 10), null);
        SplittableRandom random = new SplittableRandom(seed);
        for (Placement placement : jobs.placementsOn("i-1").values()) {
            placement.runningSinceMillis = 50_000 + random.nextInt(4);
        }
        Plan plan = new Plan(new Blocks.Block("w", new HashMap<>(), Map.of("red", new Blocks.Amount(1_000, 0))), true, 1, 12, 12);
        plan.addMachine(new Room("i-1", plan.pool(new Catalog.Shape("big", 600, 0, 2_000, 50, 1, 1, 1, 10, List.of("a")), "a", false), true, jobs.loadOf("i-1")));
        new Preemption(loop, settings, jobs, plan, false, policy)
                .makeRoom(new QueueOrder.Ranked(jobs.get("wk-000002"), JobSpec.Urgency.HIGH.ordinal(), false, false, 0, false, false, Integer.MAX_VALUE, policy.priorityOf(jobs.get("wk-000002")), 1), 100, z -> true);
        long stopped = 0;
        for (int pageIndex = 0; pageIndex < 3; pageIndex++) {
            for (int taskIndex = pageIndex * 200; taskIndex < pageIndex * 200 + 200; taskIndex++) {
                stopped += plan.edits.containsKey(jobs.get("wk-000001").page(pageIndex)) && !plan.edits.get(jobs.get("wk-000001").page(pageIndex)).isRunning(taskIndex) ? 1 : 0;
            }
        }
        assertEquals(100, stopped);
    }
}
