package io.quincelead.scheduler;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.config.TestSettings;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.UnresponsiveStore;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Machines, jobs and the leader's pass over them, built from records alone, for tests and
 * benchmarks of one scheduling cycle.
 */
final class ClusterFixture {
    static final String MEMBER_ID = "w";
    private static final List<MachineTypeCatalog.MachineType> MACHINE_TYPES =
            List.of(
                    new MachineTypeCatalog.MachineType(
                            "small", 8, 0, 64, 70, 0.2, 0.46, 0.17, 25, List.of("a")),
                    new MachineTypeCatalog.MachineType(
                            "middle", 16, 0, 64, 50, 0.8, 0.83, 0.36, 15, List.of("a")),
                    new MachineTypeCatalog.MachineType(
                            "big", 64, 0, 512, 60, 0.8, 3.81, 1.7, 20, List.of("a")));

    final EventLoop loop =
            new EventLoop() {
                @Override
                public long nowMillis() {
                    return 100_000;
                }

                @Override
                public long wallClockMillis() {
                    return 1_000_000;
                }

                @Override
                public void runAfter(long ms, Runnable task) {}
            };
    final Settings settings =
            TestSettings.singleController(
                    MEMBER_ID,
                    Map.of("red", new Settings.Team("red", 0, 1e9, 0, 0)),
                    new Settings.WorkerTimings(3, 17.5, 45, 6, 40),
                    new Settings.StoreLimits(600, 250, 8, 12));
    final StoreClient store = UnresponsiveStore.client(loop, settings);
    private final WatchCache watchCache = new WatchCache(loop, store, 100);
    private final ClusterMembership membership = new ClusterMembership(settings, watchCache);
    final JobTable jobs = new JobTable(loop, watchCache);
    private final MachineTable machines = new MachineTable(watchCache);
    private final MachineTypeCatalog catalog = new MachineTypeCatalog(watchCache);
    final Policy policy = new Policy(watchCache);
    private final QueueOrder queueOrder = new QueueOrder(settings, policy);
    final QueueScheduler queueScheduler =
            new QueueScheduler(
                    loop,
                    settings,
                    OperatorSettings.DEFAULTS,
                    store,
                    new ClusterView(
                            membership,
                            jobs,
                            machines,
                            catalog,
                            new ImageCaches(machines, label -> 50),
                            new ConstrainedDemand(loop, jobs, catalog),
                            policy),
                    new MachineStatus() {
                        @Override
                        public boolean isAcceptingTasks(String owner, String host) {
                            return true;
                        }

                        @Override
                        public double startDelaySeconds(String host) {
                            return 0;
                        }
                    });
    final Map<String, MachineTypeCatalog.MachineType> machineTypeByHost = new LinkedHashMap<>();
    private final Map<String, double[]> freeByHost = new LinkedHashMap<>();
    private final List<String> hostNames;
    double quotaShareCpus = 1e9;
    private long revision;

    /** Records no termination. */
    final TerminationRecorder noOpTerminationRecorder =
            new TerminationRecorder() {
                @Override
                public void recordDue(SchedulingPlan plan) {}

                @Override
                public void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks) {}
            };

    /** Records every termination that is requested for quota. */
    final TerminationRecorder eagerTerminationRecorder =
            new TerminationRecorder() {
                @Override
                public void recordDue(SchedulingPlan plan) {}

                @Override
                public void recordForQuota(SchedulingPlan plan, JobSpec spec, int tasks) {
                    for (Job job : jobs.all()) {
                        for (int page = 0; page < job.pages.length; page++) {
                            if (job.pages[page] != null
                                    && job.possiblyRunningTaskCount() < job.placedTaskCount()) {
                                plan.edit(job, page);
                            }
                        }
                    }
                }
            };

    ClusterFixture(int machineCount, SplittableRandom random) {
        for (MachineTypeCatalog.MachineType machineType : MACHINE_TYPES) {
            ObjectNode typeRecord =
                    WireFormat.newMap()
                            .put("label", machineType.name())
                            .put("vcpus", machineType.cpus())
                            .put("cards", 0)
                            .put("ramGb", machineType.memoryGb())
                            .put("localGb", machineType.localDiskGb())
                            .put("pullGbPerS", machineType.imagePullGbPerSecond())
                            .put("price", machineType.onDemandPricePerHour())
                            .put("spotPrice", machineType.spotPricePerHour())
                            .put("bootS", machineType.bootSeconds());
            typeRecord.putArray("sites").add("a");
            putRecord("a/c/" + machineType.name(), typeRecord);
        }
        Map<String, ArrayNode> hostsByType = new LinkedHashMap<>();
        MACHINE_TYPES.forEach(
                machineType -> hostsByType.put(machineType.name(), WireFormat.newList()));
        ObjectNode shard = WireFormat.newMap().put("p", "");
        ArrayNode shardMachines = shard.putObject("ms").putArray("1");
        shard.putObject("al").putArray("red").add(1e9).add(0);
        for (int i = 0; i < machineCount; i++) {
            MachineTypeCatalog.MachineType machineType =
                    MACHINE_TYPES.get(Math.max(0, random.nextInt(10) - 7));
            String host = String.format("i-%06d", i);
            machineTypeByHost.put(host, machineType);
            freeByHost.put(host, new double[] {machineType.cpus(), machineType.memoryGb()});
            hostsByType.get(machineType.name()).add(host);
            shardMachines.add(host);
        }
        hostsByType.forEach(
                (label, list) ->
                        putRecord(
                                "a/m/r-" + label,
                                (ObjectNode)
                                        WireFormat.newMap()
                                                .put("k", label)
                                                .put("s", "a")
                                                .put("p", false)
                                                .put("r", 0)
                                                .set("h", list)));
        putRecord("a/b/" + MEMBER_ID, shard);
        hostNames = new ArrayList<>(machineTypeByHost.keySet());
    }

    private void putRecord(String key, ObjectNode value) {
        watchCache.applyCommitted(new Transaction().put(key, value), ++revision);
    }

    private ObjectNode jobRecord(JobSpec spec) {
        ObjectNode record = WireFormat.newMap().put("c", MEMBER_ID).put("at", 999_000 + revision);
        record.set("s", spec.encode());
        return record;
    }

    JobSpec addWaitingJob(JobSpec spec) {
        putRecord("a/j/" + spec.jobId(), jobRecord(spec));
        return spec;
    }

    /** Records a job that has waited for this long. */
    JobSpec addWaitingJob(JobSpec spec, long ageMillis) {
        putRecord(
                "a/j/" + spec.jobId(),
                jobRecord(spec).put("at", loop.wallClockMillis() - ageMillis));
        return spec;
    }

    /**
     * Records the job's tasks on machines with free capacity for them; tasks that find none are
     * recorded as completed.
     */
    JobSpec addRunningJob(JobSpec spec, SplittableRandom random) {
        ObjectNode tasks = WireFormat.newMap().put("t", 1);
        ArrayNode done = tasks.putArray("d");
        StringBuilder placed = new StringBuilder();
        int hostIndex = random.nextInt(hostNames.size());
        for (int i = 0; i < spec.taskCount(); i++) {
            int tries = 0;
            while (tries < hostNames.size() && !fits(hostNames.get(hostIndex), spec)) {
                hostIndex = (hostIndex + 1) % hostNames.size();
                tries++;
            }
            if (tries == hostNames.size()) {
                done.add(i).add(i + 1);
                continue;
            }
            freeByHost.get(hostNames.get(hostIndex))[0] -= spec.cpus();
            freeByHost.get(hostNames.get(hostIndex))[1] -= spec.memoryGb();
            placed.append(i).append(' ').append(hostNames.get(hostIndex)).append(" 1;");
            hostIndex = (hostIndex + 1) % hostNames.size();
        }
        tasks.put("p", placed.toString());
        ObjectNode jobRecord = jobRecord(spec);
        jobRecord.set("k", tasks);
        putRecord("a/j/" + spec.jobId(), jobRecord);
        return spec;
    }

    private boolean fits(String host, JobSpec spec) {
        return freeByHost.get(host)[0] >= spec.cpus() && freeByHost.get(host)[1] >= spec.memoryGb();
    }

    SchedulingPlan newPlan(int writeBudget) {
        return new SchedulingPlan(
                new ClusterMembership.Shard(
                        MEMBER_ID,
                        membership.localShard().fencingTokensByHost(),
                        Map.of("red", new ClusterMembership.QuotaShare(quotaShareCpus, 0))),
                true,
                1,
                writeBudget,
                writeBudget);
    }

    List<JobSpec> inQueueOrder(List<JobSpec> waiting) {
        return waiting.stream()
                .map(
                        spec ->
                                queueOrder.entryFor(
                                        jobs.get(spec.jobId()), false, loop.wallClockMillis()))
                .sorted(QueueOrder.BY_QUEUE_ORDER)
                .map(entry -> entry.job().spec)
                .toList();
    }

    /** How many of the job's tasks are on each machine by the plan. */
    static Map<String, Integer> tasksByMachine(SchedulingPlan plan, JobSpec spec) {
        Map<String, Integer> tasksByMachine = new LinkedHashMap<>();
        for (Map.Entry<TaskStatePage, TaskStatePageEdit> entry : plan.edits.entrySet()) {
            if (entry.getKey().job.spec.jobId().equals(spec.jobId())) {
                entry.getValue()
                        .placements()
                        .forEach(
                                placement -> tasksByMachine.merge(placement.host, 1, Integer::sum));
            }
        }
        return tasksByMachine;
    }

    /**
     * Records this many priority classes, calendar entries and open windows; few of them match any
     * job.
     */
    void addOperatorRecords(int classes, int entries, int openWindows) {
        Transaction transaction = new Transaction();
        StringBuilder text = new StringBuilder("{\"classes\":[");
        for (int i = 0; i < classes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"c")
                    .append(i)
                    .append("\",\"rank\":")
                    .append(i)
                    .append(",\"match\":{\"jobClass\":\"k")
                    .append(i)
                    .append("\"}}");
        }
        transaction
                .put("a/oc/p/1/0", WireFormat.newMap().put("t", text.append("]}").toString()))
                .put("a/oc/head", WireFormat.newMap().put("rules", 1).put("last", 1));
        for (int i = 0; i < entries; i++) {
            ObjectNode entry =
                    WireFormat.newMap()
                            .put("name", "e" + i)
                            .put("time", "06:00")
                            .put("zone", "UTC");
            entry.putArray("days").add("mon");
            entry.putArray("covers").addObject().put("jobClass", "k" + i);
            transaction.put("a/ok/e/e" + i, entry);
            if (i < openWindows) {
                ObjectNode occurrence =
                        WireFormat.newMap()
                                .put("st", "open")
                                .put("pub", loop.wallClockMillis() + 60_000)
                                .put("open", 1);
                occurrence
                        .putArray("cov")
                        .addObject()
                        .put("jobClass", i == 0 ? "quick" : "k" + i)
                        .put("owner", i == 0 ? "blue" : "red");
                transaction.put("a/ok/o/e" + i + "/2026-12-07", occurrence);
            }
        }
        watchCache.applyCommitted(transaction, ++revision);
    }
}
