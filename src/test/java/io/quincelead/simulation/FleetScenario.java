package io.quincelead.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Scenarios of the size of the users' fleets or larger, with the users' mix of classes, faults and
 * service-level requirements: {@code FleetScenario counter|lakes restart|loss|calm TIMES SEED
 * [JOB|records]}, where TIMES scales the fleet and its load. Not a test: it prints, for each class
 * and for its largest tenth, the times until the first start and until half of the tasks have
 * started, then the shares of served jobs and the groups and jobs that were starved.
 */
public final class FleetScenario {
    private FleetScenario() {}

    /**
     * A class of jobs. Task counts and run times are given as median, 95% quantile and maximum;
     * initial jobs are submitted at the start, besides the arrivals.
     */
    private record JobProfile(
            String name,
            JobSpec.Priority priority,
            double arrivalsPerMinute,
            int initialJobs,
            double[] taskCountQuantiles,
            double cpus,
            double memoryGb,
            double[] runtimeSecondsQuantiles,
            double imageGb,
            double deadlineFactor,
            double checkpointIntervalSeconds,
            List<String> teams) {}

    public static void main(String[] args) {
        SimulatedCluster cluster =
                args[0].equals("counter")
                        ? counterCluster(Double.parseDouble(args[2]), Long.parseLong(args[3]))
                        : lakesCluster(Double.parseDouble(args[2]), Long.parseLong(args[3]));
        cluster.invariantChecksEnabled = false;
        cluster.start();
        List<JobProfile> profiles = args[0].equals("counter") ? COUNTER : LAKES;
        Map<String, String> jobClassById =
                scheduleArrivals(
                        cluster,
                        profiles,
                        Double.parseDouble(args[2]),
                        args[1].equals("calm") ? 1 : 3);
        if (args[1].equals("restart")) {
            scheduleRestarts(cluster);
        } else if (args[1].equals("loss")) {
            scheduleMachineLoss(cluster);
        }
        if (args.length > 4 && args[4].equals("records")) {
            scheduleOperatorRecords(cluster, profiles);
        } else if (args.length > 4) {
            traceJob(cluster, args[4]);
        }
        cluster.runUntil(1_000_000);
        printReport(cluster, profiles, jobClassById);
    }

    private static final List<JobProfile> COUNTER =
            List.of(
                    new JobProfile(
                            "seats",
                            JobSpec.Priority.NORMAL,
                            17,
                            19,
                            new double[] {30, 90, 200},
                            2,
                            3.1,
                            new double[] {60, 150, 240},
                            1.5,
                            3,
                            0,
                            List.of("t1", "t2", "t3", "t5")),
                    new JobProfile(
                            "night",
                            JobSpec.Priority.BEST_EFFORT,
                            5.1,
                            5,
                            new double[] {25, 80, 150},
                            4,
                            3.6,
                            new double[] {80, 180, 300},
                            1,
                            0,
                            30,
                            List.of("t1", "t2", "t3", "t4", "t5")),
                    new JobProfile(
                            "passes",
                            JobSpec.Priority.HIGH,
                            5.2,
                            5,
                            new double[] {30, 80, 150},
                            2,
                            2.2,
                            new double[] {25, 60, 90},
                            0.6,
                            3,
                            0,
                            List.of("t1", "t2", "t3", "t5")));
    private static final List<JobProfile> LAKES =
            List.of(
                    new JobProfile(
                            "reruns",
                            JobSpec.Priority.NORMAL,
                            7.5,
                            12,
                            new double[] {70, 250, 500},
                            2,
                            3.6,
                            new double[] {60, 180, 300},
                            0.7,
                            3,
                            0,
                            List.of("t1", "t2", "t3", "t4")),
                    new JobProfile(
                            "regrid",
                            JobSpec.Priority.BEST_EFFORT,
                            12,
                            15,
                            new double[] {25, 60, 120},
                            4,
                            7.5,
                            new double[] {90, 200, 350},
                            2.5,
                            0,
                            30,
                            List.of("t1", "t2", "t3", "t4")),
                    new JobProfile(
                            "ice",
                            JobSpec.Priority.HIGH,
                            54,
                            41,
                            new double[] {12, 40, 60},
                            1,
                            3.7,
                            new double[] {35, 80, 120},
                            0.5,
                            0,
                            0,
                            List.of("t4")),
                    new JobProfile(
                            "wind",
                            JobSpec.Priority.NORMAL,
                            70,
                            44,
                            new double[] {90, 400, 900},
                            1,
                            2.7,
                            new double[] {12, 40, 60},
                            1,
                            0,
                            0,
                            List.of("t2", "t3")));

    private static SimulatedCluster counterCluster(double scale, long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "small",
                                        4,
                                        0,
                                        8,
                                        0.16,
                                        0.05,
                                        35,
                                        List.of("a"),
                                        (int) (994 * scale))),
                        3);
        cluster.heartbeatIntervalMillis = 4_000;
        cluster.workerLeaseMillis = 22_000;
        cluster.storeLimits = new Settings.StoreLimits(150, 35, 8, 12);
        setTeams(
                cluster,
                scale,
                new double[][] {{350, 1200}, {700, 2000}, {700, 1200}, {350, 700}, {600, 1800}});
        return cluster;
    }

    private static SimulatedCluster lakesCluster(double scale, long seed) {
        SimulatedCluster cluster =
                new SimulatedCluster(
                        seed,
                        List.of(
                                new SimulatedCloud.MachineType(
                                        "gull",
                                        8,
                                        0,
                                        64,
                                        0.46,
                                        0.17,
                                        25,
                                        List.of("a", "b"),
                                        (int) (530 * scale)),
                                new SimulatedCloud.MachineType(
                                        "heron",
                                        16,
                                        0,
                                        64,
                                        0.83,
                                        0.36,
                                        15,
                                        List.of("a", "b"),
                                        (int) (178 * scale)),
                                new SimulatedCloud.MachineType(
                                        "osprey",
                                        64,
                                        0,
                                        512,
                                        3.81,
                                        1.7,
                                        20,
                                        List.of("a", "b"),
                                        (int) (32 * scale))),
                        5);
        cluster.heartbeatIntervalMillis = 3_000;
        cluster.workerLeaseMillis = 17_500;
        cluster.storeLimits = new Settings.StoreLimits(600, 250, 8, 12);
        setTeams(
                cluster,
                scale,
                new double[][] {{2500, 8000}, {1500, 4000}, {2500, 8000}, {1200, 2500}});
        return cluster;
    }

    private static void setTeams(SimulatedCluster cluster, double scale, double[][] cpuLimits) {
        cluster.teams.clear();
        for (int i = 0; i < cpuLimits.length; i++) {
            cluster.setTeam("t" + (i + 1), cpuLimits[i][0] * scale, cpuLimits[i][1] * scale);
        }
    }

    private static double drawLognormal(SplittableRandom random, double[] quantiles) {
        double sigma = Math.log(quantiles[1] / quantiles[0]) / 1.645;
        double normal =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                        * Math.cos(2 * Math.PI * random.nextDouble());
        return Math.min(quantiles[2], quantiles[0] * Math.exp(sigma * normal));
    }

    /**
     * Schedules arrivals over 500 s; for one minute, jobs of the first class arrive {@code burst}
     * times as often.
     */
    private static Map<String, String> scheduleArrivals(
            SimulatedCluster cluster, List<JobProfile> profiles, double scale, double burst) {
        SplittableRandom random = new SplittableRandom(cluster.random().nextLong());
        Map<String, String> jobClassById = new TreeMap<>();
        int id = 0;
        for (JobProfile profile : profiles) {
            List<Double> arrivalSeconds = new ArrayList<>();
            for (int i = 0; i < profile.initialJobs * scale; i++) {
                arrivalSeconds.add(3 + 2 * random.nextDouble());
            }
            for (double second = 3; second < 500; ) {
                double rate =
                        profile.arrivalsPerMinute
                                / 60
                                * scale
                                * (profile == profiles.get(0) && second > 110 && second < 170
                                        ? burst
                                        : 1);
                second += -Math.log(1 - random.nextDouble()) / rate;
                arrivalSeconds.add(second);
            }
            for (double second : arrivalSeconds) {
                double runtimeSeconds = drawLognormal(random, profile.runtimeSecondsQuantiles);
                int taskCount =
                        (int) Math.max(1, drawLognormal(random, profile.taskCountQuantiles));
                JobSpec job =
                        JobFixtures.arrayJob(
                                        ++id,
                                        profile.teams.get(random.nextInt(profile.teams.size())),
                                        profile.priority,
                                        taskCount)
                                .jobClass(profile.name)
                                .cpus(
                                        Math.min(
                                                4,
                                                profile.cpus * (0.85 + 0.3 * random.nextDouble())))
                                .memoryGb(profile.memoryGb)
                                .image(profile.name + random.nextInt(8), profile.imageGb)
                                .runtimeSeconds(runtimeSeconds * (0.7 + 0.6 * random.nextDouble()))
                                .checkpointIntervalSeconds(profile.checkpointIntervalSeconds)
                                .checkpointSeconds(3)
                                .deadlineSeconds(
                                        profile.deadlineFactor > 0
                                                ? runtimeSeconds * profile.deadlineFactor + 10
                                                : -1)
                                .build();
                jobClassById.put(job.jobId(), profile.name);
                cluster.submitAfter((long) (second * 1000), job);
            }
        }
        return jobClassById;
    }

    private static void scheduleRestarts(SimulatedCluster cluster) {
        cluster.after(165_000, () -> cluster.store.setDown(true));
        cluster.after(180_000, () -> cluster.store.setDown(false));
        for (int i = 0; i < cluster.controllers.size(); i++) {
            int controller = i;
            cluster.faults.crashAfter(187_000, controller, 300);
            cluster.faults.crashAfter(222_000 + controller * 25_000L, controller, 300);
            cluster.faults.crashAfter(371_000, controller, 300);
        }
    }

    private static void scheduleMachineLoss(SimulatedCluster cluster) {
        cluster.after(
                159_000,
                () ->
                        cluster.faults.partition(
                                cluster.controllers.get(1).ip, List.of("10.2.0.1"), 25_000));
        cluster.after(
                251_000,
                () -> {
                    for (int i = 0; i < 50; i++) {
                        cluster.faults.onRandomMachine(SimulatedWorker::crash);
                    }
                });
        cluster.after(
                266_000,
                () -> {
                    for (int i = 0; i < cluster.controllers.size() - 1; i++) {
                        cluster.faults.crashController(i, 300);
                    }
                });
        cluster.after(
                300_000,
                () -> {
                    for (int i = 0; i < 21; i++) {
                        cluster.faults.onRandomMachine(
                                worker -> {
                                    worker.setHung(true);
                                    cluster.after(40_000, () -> worker.setHung(false));
                                });
                    }
                });
    }

    /**
     * Applies operators' records: a priority class for each class of jobs, and a calendar entry for
     * the first of them, published at 420 s with a lead time of 150 s, in which the leader crashes
     * twice.
     */
    private static void scheduleOperatorRecords(
            SimulatedCluster cluster, List<JobProfile> profiles) {
        StringBuilder classes = new StringBuilder();
        profiles.forEach(
                profile ->
                        classes.append(classes.length() == 0 ? "" : ",")
                                .append("{'name':'")
                                .append(profile.name)
                                .append("','rank':")
                                .append(100 + profiles.indexOf(profile) * 100)
                                .append(",'match':{'jobClass':'")
                                .append(profile.name)
                                .append("'}}"));
        cluster.after(
                20_000,
                () ->
                        OperatorCommands.commandUntilAnswered(
                                cluster,
                                "/ops/classes/apply",
                                OperatorCommands.json(
                                        "{'change':'c','classes':[" + classes + "]}")));
        cluster.after(
                21_000,
                () ->
                        OperatorCommands.commandUntilAnswered(
                                cluster,
                                "/ops/calendar/add",
                                OperatorCommands.calendarEntry(
                                        "morning",
                                        420_000,
                                        150,
                                        "{'jobClass':'" + profiles.get(0).name + "'}")));
        for (long atMillis : new long[] {300_000, 400_000}) {
            cluster.after(
                    atMillis, () -> cluster.faults.crashController(cluster.leaderIndex(), 300));
        }
        cluster.after(
                999_000,
                () ->
                        System.out.println(
                                "ledger "
                                        + cluster.store.ledgerWrites
                                        + " "
                                        + cluster.store.value(
                                                cluster.store.ledgerWrites.keySet().stream()
                                                        .findFirst()
                                                        .orElse(""))));
    }

    /** Prints the state of a job and its team every 20 s. */
    private static void traceJob(SimulatedCluster cluster, String id) {
        for (long atMillis = 20_000; atMillis < 560_000; atMillis += 20_000) {
            cluster.after(atMillis, () -> printTrace(cluster, id));
        }
    }

    /** Prints one line if the job is unfinished, that is, has a record in the store. */
    private static void printTrace(SimulatedCluster cluster, String id) {
        JobSpec job = cluster.jobsById.get(id);
        if (job == null || cluster.store.value("a/j/" + id) == null) {
            return;
        }
        Map<String, Double> cpusInUse = new TreeMap<>();
        double freeCpus = 0;
        int machinesWithRoom = 0;
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            double usedCpus = addCpusInUse(cluster, worker, cpusInUse);
            freeCpus += worker.up ? worker.machineType.cpus() - usedCpus : 0;
            machinesWithRoom +=
                    worker.up && worker.machineType.cpus() - usedCpus >= job.cpus() ? 1 : 0;
        }
        Object controllerNode = cluster.store.value("a/j/" + id).get("c");
        cpusInUse.replaceAll((key, value) -> (double) Math.round(value));
        System.out.println(
                cluster.nowMillis() / 1000
                        + " s: "
                        + job.team()
                        + " "
                        + job.cpus()
                        + " at "
                        + controllerNode
                        + " free "
                        + Math.round(freeCpus)
                        + ", rooms "
                        + machinesWithRoom
                        + ", use "
                        + cpusInUse
                        + " allowances "
                        + quotaSharesByController(cluster, job.team()));
    }

    /** Adds a machine's CPUs in use to the totals by team and class, and returns their sum. */
    private static double addCpusInUse(
            SimulatedCluster cluster, SimulatedWorker worker, Map<String, Double> cpusInUse) {
        double usedCpus = 0;
        for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
            if (!task.hasEnded()) {
                JobSpec job = cluster.jobsById.get(task.id.substring(0, task.id.indexOf('/')));
                usedCpus += job.cpus();
                cpusInUse.merge(job.team() + " " + job.jobClass(), job.cpus(), Double::sum);
            }
        }
        return usedCpus;
    }

    /** A team's quota share in each controller's shard; null for a controller without a shard. */
    private static List<JsonNode> quotaSharesByController(SimulatedCluster cluster, String team) {
        return cluster.controllers.stream()
                .map(controller -> cluster.store.value("a/b/" + controller.memberId))
                .map(shard -> shard == null ? null : shard.path("al").path(team))
                .toList();
    }

    private static String quantiles(List<Long> delaysMillis, int total) {
        if (delaysMillis.isEmpty()) {
            return "none of " + total;
        }
        long[] sorted = delaysMillis.stream().mapToLong(value -> value).sorted().toArray();
        return String.format(
                "%d of %d, p50 %.0f p90 %.0f max %.0f s",
                sorted.length,
                total,
                sorted[sorted.length / 2] / 1e3,
                sorted[(int) (sorted.length * 0.9)] / 1e3,
                sorted[sorted.length - 1] / 1e3);
    }

    private static void printReport(
            SimulatedCluster cluster, List<JobProfile> profiles, Map<String, String> jobClassById) {
        for (JobProfile profile : profiles) {
            List<JobSpec> jobs =
                    new ArrayList<>(
                            jobClassById.keySet().stream()
                                    .filter(id -> jobClassById.get(id).equals(profile.name))
                                    .map(cluster.jobsById::get)
                                    .filter(job -> job != null)
                                    .toList());
            jobs.sort((left, right) -> right.taskCount() - left.taskCount());
            for (List<JobSpec> group :
                    Arrays.asList(jobs, jobs.subList(0, Math.max(1, jobs.size() / 10)))) {
                List<Long> firstStartDelays =
                        group.stream()
                                .map(
                                        job ->
                                                cluster.serviceLevels()
                                                        .firstStartDelayMillis(job.jobId()))
                                .filter(delayMillis -> delayMillis >= 0)
                                .toList();
                List<Long> halfStartDelays =
                        group.stream()
                                .map(
                                        job ->
                                                cluster.serviceLevels()
                                                        .halfStartedDelayMillis(job.jobId()))
                                .filter(delayMillis -> delayMillis >= 0)
                                .toList();
                System.out.printf(
                        "%s%s: first start %s; half %s; starts %d%n",
                        profile.name,
                        group == jobs ? "" : ", largest tenth",
                        quantiles(firstStartDelays, group.size()),
                        quantiles(halfStartDelays, group.size()),
                        group.stream()
                                .mapToInt(
                                        job -> cluster.taskStartsByJob.getOrDefault(job.jobId(), 0))
                                .sum());
            }
        }
        System.out.println("served " + cluster.serviceLevels().servedShares());
        System.out.println(
                "starving "
                        + cluster.serviceLevels().starved().size()
                        + " "
                        + cluster.serviceLevels().starved().stream().limit(5).toList()
                        + " open "
                        + cluster.unfinishedJobs()
                        + " broken "
                        + cluster.violations()
                        + " machines "
                        + cluster.cloud.provisionedMachineCount()
                        + " largest record "
                        + cluster.store.largestValueLength);
    }
}
