package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.config.Settings;
import io.quincelead.config.TestSettings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.simulation.JobFixtures;
import io.quincelead.store.Transaction;
import io.quincelead.store.UnresponsiveStore;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PreemptionTest {
    /** A clock that advances at each reading, as it does while a slow controller computes. */
    private static final class AdvancingLoop implements EventLoop {
        private long nowMillis = 100_000;

        @Override
        public long nowMillis() {
            return nowMillis++;
        }

        @Override
        public long wallClockMillis() {
            return nowMillis;
        }

        @Override
        public void runAfter(long ms, Runnable task) {}
    }

    private final EventLoop loop = new AdvancingLoop();
    private final Settings.Team team = new Settings.Team("red", 1_000, 1_000, 0, 0);
    private final Settings settings =
            TestSettings.singleController(
                    "w",
                    Map.of("red", team),
                    new Settings.WorkerTimings(1, 10, 45, 6, 40),
                    new Settings.StoreLimits(100, 100, 8, 12));
    private final WatchCache watchCache = UnresponsiveStore.watchCache(loop, settings);
    private final JobTable jobs = new JobTable(loop, watchCache);
    private final Policy policy = new Policy(watchCache);

    private void putJob(JobSpec spec, String host) {
        ObjectNode job = WireFormat.newMap().put("c", "w").put("at", 1);
        job.set("s", spec.encode());
        watchCache.applyCommitted(new Transaction().put("a/j/" + spec.jobId(), job), 1);
        for (int pageIndex = 0; host != null && pageIndex * 200 < spec.taskCount(); pageIndex++) {
            ObjectNode page = WireFormat.newMap().put("t", 1);
            page.putArray("d");
            StringBuilder placed = new StringBuilder();
            for (int i = 0; i < Math.min(200, spec.taskCount() - pageIndex * 200); i++) {
                placed.append(i).append(' ').append(host).append(" 1;");
            }
            page.put("p", placed.toString());
            watchCache.applyCommitted(
                    new Transaction()
                            .put(
                                    "a/t/" + spec.jobId() + "/" + String.format("%04d", pageIndex),
                                    page),
                    1);
        }
    }

    /**
     * Guards against candidates sorted by a loss that is computed from the clock at each
     * comparison: the sort failed and ended all scheduling cycles.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void sortsCandidatesWhileTheClockAdvances(long seed) {
        putJob(JobFixtures.array(1, "red", JobSpec.Priority.BEST_EFFORT, 600, 1, 1e6), "i-1");
        putJob(JobFixtures.array(2, "red", JobSpec.Priority.HIGH, 100, 1, 10), null);
        SplittableRandom random = new SplittableRandom(seed);
        for (Placement placement : jobs.placementsOn("i-1").values()) {
            placement.recordRunningSince(50_000 + random.nextInt(4));
        }
        SchedulingPlan plan =
                new SchedulingPlan(
                        new ClusterMembership.Shard(
                                "w",
                                new HashMap<>(),
                                Map.of("red", new ClusterMembership.QuotaShare(1_000, 0))),
                        true,
                        1,
                        12,
                        12);
        plan.addMachine(
                new FreeCapacity(
                        "i-1",
                        plan.pool(
                                new MachineTypeCatalog.MachineType(
                                        "big", 600, 0, 2_000, 50, 1, 1, 1, 10, List.of("a")),
                                "a",
                                false),
                        true,
                        jobs.loadOf("i-1")));

        new Preemption(loop, settings, jobs, plan, false, policy)
                .freeCapacityFor(
                        new QueueOrder.QueueEntry(
                                jobs.get("wk-000002"),
                                JobSpec.Priority.HIGH.ordinal(),
                                false,
                                false,
                                0,
                                false,
                                false,
                                Integer.MAX_VALUE,
                                policy.effectivePriorityOf(jobs.get("wk-000002")),
                                1),
                        100,
                        zone -> true);

        long stopped = 0;
        for (int pageIndex = 0; pageIndex < 3; pageIndex++) {
            for (int taskIndex = pageIndex * 200; taskIndex < pageIndex * 200 + 200; taskIndex++) {
                stopped +=
                        plan.edits.containsKey(jobs.get("wk-000001").pageOrEmpty(pageIndex))
                                        && !plan.edits
                                                .get(jobs.get("wk-000001").pageOrEmpty(pageIndex))
                                                .hasActivePlacement(taskIndex)
                                ? 1
                                : 0;
            }
        }
        assertEquals(100, stopped);
    }
}
