package io.quincelead.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.Placement;
import io.quincelead.simulation.JobFixtures;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QueueSchedulerTest {
    /**
     * Naive reference: for each job in queue order, filters and sorts all machines, runs the TEBAS
     * pass over all of them and takes the capacity. The pass with cached loads and remembered
     * failures must assign the same.
     */
    private static Map<String, Map<String, Integer>> assignNaively(
            ClusterFixture cluster, List<JobSpec> queue) {
        Map<String, double[]> freeByHost = new TreeMap<>();
        cluster.machineTypeByHost.forEach(
                (host, machineType) -> {
                    double[] free = {machineType.cpus(), machineType.memoryGb()};
                    for (Placement placement : cluster.jobs.placementsOn(host).values()) {
                        free[0] -= placement.isTerminated() ? 0 : placement.job.spec.cpus();
                        free[1] -= placement.isTerminated() ? 0 : placement.job.spec.memoryGb();
                    }
                    freeByHost.put(host, free);
                });
        Map<String, Map<String, Integer>> tasksByJob = new TreeMap<>();
        for (JobSpec spec : queue) {
            List<Tebas.CandidateMachine> candidates = new ArrayList<>();
            for (Map.Entry<String, double[]> entry : freeByHost.entrySet()) {
                boolean allowed =
                        spec.machineTypes() == null
                                || spec.machineTypes()
                                        .contains(
                                                cluster.machineTypeByHost
                                                        .get(entry.getKey())
                                                        .name());
                int capacity =
                        Tebas.taskCapacity(
                                entry.getValue()[0],
                                entry.getValue()[1],
                                0,
                                spec.cpus(),
                                spec.memoryGb(),
                                0);
                if (allowed && capacity > 0) {
                    double effectiveFrequency =
                            spec.runtimeSeconds()
                                    / (spec.runtimeSeconds()
                                            + spec.imageSizeGb()
                                                    / cluster.machineTypeByHost
                                                            .get(entry.getKey())
                                                            .imagePullGbPerSecond());
                    candidates.add(
                            new Tebas.CandidateMachine(
                                    entry.getKey(),
                                    Tebas.fitness(0.9, spec.cpus(), effectiveFrequency),
                                    capacity,
                                    capacity));
                }
            }
            assignFullySorted(candidates, spec.taskCount());
            Map<String, Integer> tasksByHost = new TreeMap<>();
            for (Tebas.CandidateMachine candidate : candidates) {
                if (candidate.assigned > 0) {
                    tasksByHost.put(candidate.host, candidate.assigned);
                }
                freeByHost.get(candidate.host)[0] -= candidate.assigned * spec.cpus();
                freeByHost.get(candidate.host)[1] -= candidate.assigned * spec.memoryGb();
            }
            tasksByJob.put(spec.jobId(), tasksByHost);
        }
        return tasksByJob;
    }

    /** Algorithm 1 over all machines, fully sorted. */
    private static void assignFullySorted(List<Tebas.CandidateMachine> machines, int tasks) {
        machines.sort(
                Comparator.comparingDouble((Tebas.CandidateMachine machine) -> -machine.fitness)
                        .thenComparingDouble(machine -> -machine.initialCapacity)
                        .thenComparing(machine -> machine.host));
        int machineCount = machines.size();
        int groupCount = Math.max(1, machineCount / 3);
        int unassigned = tasks;
        for (int previous = -1; machineCount > 0 && unassigned > 0 && unassigned != previous; ) {
            previous = unassigned;
            int average = 0;
            for (int i = 0; i < machineCount && unassigned > 0; i++) {
                int group = Math.min(i / (machineCount / groupCount), groupCount - 1);
                if (i == group * (machineCount / groupCount)) {
                    average =
                            unassigned
                                    / (group < groupCount - 1
                                            ? machineCount / groupCount
                                            : machineCount
                                                    - machineCount / groupCount * (groupCount - 1));
                }
                int count =
                        Math.min(
                                unassigned,
                                Math.min(Math.max(average, 1), machines.get(i).remainingCapacity));
                machines.get(i).assigned += count;
                machines.get(i).remainingCapacity -= count;
                unassigned -= count;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void assignsSameAsNaiveReference(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 25; run++) {
            ClusterFixture cluster = new ClusterFixture(3 + random.nextInt(60), random);
            int runningJobs = addRunningJobs(cluster, random);
            terminateSomeTasks(cluster, random);
            List<JobSpec> waiting = addWaitingJobs(cluster, runningJobs, random);
            SchedulingPlan plan = cluster.newPlan(10_000);

            cluster.queueScheduler.placeWaitingJobs(plan, null, cluster.noOpTerminationRecorder);

            Map<String, Map<String, Integer>> assigned = new TreeMap<>();
            waiting.forEach(
                    spec -> assigned.put(spec.jobId(), ClusterFixture.tasksByMachine(plan, spec)));
            assertEquals(assignNaively(cluster, cluster.inQueueOrder(waiting)), assigned);
        }
    }

    private static int addRunningJobs(ClusterFixture cluster, SplittableRandom random) {
        int id = 0;
        for (int i = random.nextInt(40); i > 0; i--) {
            cluster.addRunningJob(
                    JobFixtures.array(
                            ++id,
                            "red",
                            JobSpec.Priority.NORMAL,
                            1 + random.nextInt(4),
                            0.5 + random.nextInt(8) / 2.0,
                            60),
                    random);
        }
        return id;
    }

    /**
     * Terminates some tasks by evidence that is not on record; their capacity must be free at once.
     */
    private static void terminateSomeTasks(ClusterFixture cluster, SplittableRandom random) {
        for (Job job : cluster.jobs.all()) {
            for (Placement placement : job.pages[0].placements) {
                if (random.nextInt(6) == 0) {
                    placement.transitionTo(Placement.Phase.COMPLETED);
                }
            }
        }
    }

    private static List<JobSpec> addWaitingJobs(
            ClusterFixture cluster, int lastId, SplittableRandom random) {
        int id = lastId;
        List<JobSpec> waiting = new ArrayList<>();
        for (int i = 1 + random.nextInt(60); i > 0; i--) {
            waiting.add(
                    cluster.addWaitingJob(
                            JobFixtures.arrayJob(
                                            ++id,
                                            "red",
                                            JobSpec.Priority.NORMAL,
                                            1 + random.nextInt(12))
                                    .cpus(0.5 + random.nextInt(20) / 2.0)
                                    .runtimeSeconds(10 + random.nextInt(50))
                                    .machineTypes(random.nextInt(4) == 0 ? List.of("big") : null)
                                    .build()));
        }
        return waiting;
    }

    /**
     * Guards against terminations known by evidence that free quota share before they are on
     * record, as seen in scenario "rough" of seed 14: the machine changed owners, the record
     * entitled its new owner to start the terminated tasks again, and the team exceeded its limit.
     */
    @Test
    void terminationFreesQuotaShareOnlyInTheTransactionThatRecordsIt() {
        SplittableRandom random = new SplittableRandom(1);
        ClusterFixture cluster = new ClusterFixture(6, random);
        JobSpec terminated =
                cluster.addRunningJob(
                        JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 2, 4, 60), random);
        JobSpec next =
                cluster.addWaitingJob(JobFixtures.array(2, "red", JobSpec.Priority.HIGH, 2, 4, 60));
        cluster.quotaShareCpus = 8;
        cluster.jobs
                .get(terminated.jobId())
                .pages[0]
                .placements
                .forEach(placement -> placement.transitionTo(Placement.Phase.GONE));

        SchedulingPlan unrecordedPlan = cluster.newPlan(10_000);
        cluster.queueScheduler.placeWaitingJobs(
                unrecordedPlan, null, cluster.noOpTerminationRecorder);
        assertEquals(Map.of(), ClusterFixture.tasksByMachine(unrecordedPlan, next));

        SchedulingPlan recordedPlan = cluster.newPlan(10_000);
        cluster.queueScheduler.placeWaitingJobs(
                recordedPlan, null, cluster.eagerTerminationRecorder);
        assertEquals(
                2,
                ClusterFixture.tasksByMachine(recordedPlan, next).values().stream()
                        .mapToInt(tasks -> tasks)
                        .sum());
        assertTrue(recordedPlan.edits.containsKey(cluster.jobs.get(terminated.jobId()).pages[0]));
    }

    /**
     * Guards against a transaction full of admitted jobs that places none of them, so that each
     * waits for a second transaction.
     */
    @Test
    void placesJobsAdmittedInAFullTransaction() {
        ClusterFixture cluster = new ClusterFixture(20, new SplittableRandom(3));
        List<JobSpec> specs = new ArrayList<>();
        for (int i = 1; i <= 12; i++) {
            specs.add(
                    cluster.addWaitingJob(
                            JobFixtures.array(i, "red", JobSpec.Priority.HIGH, 1, 1, 10)));
        }
        SchedulingPlan plan = cluster.newPlan(12);
        specs.forEach(spec -> plan.edit(cluster.jobs.get(spec.jobId()), 0));
        assertTrue(plan.isFull());
        cluster.queueScheduler.placeWaitingJobs(plan, null, cluster.noOpTerminationRecorder);
        specs.forEach(spec -> assertEquals(1, ClusterFixture.tasksByMachine(plan, spec).size()));
    }

    private static int placedTasks(SchedulingPlan plan, JobSpec spec) {
        return ClusterFixture.tasksByMachine(plan, spec).values().stream()
                .mapToInt(tasks -> tasks)
                .sum();
    }

    /**
     * Guards against arrays that take the quota reserved for a gang, CPU by CPU, at the gang's own
     * controller.
     */
    @Test
    void onlyMoreUrgentWorkUsesQuotaReservedForAGang() {
        ClusterFixture cluster = new ClusterFixture(20, new SplittableRandom(5));
        JobSpec gang =
                cluster.addWaitingJob(
                        JobFixtures.gang(1, "red", JobSpec.Priority.NORMAL, 4).cpus(2).build(),
                        100_000);
        JobSpec older =
                cluster.addWaitingJob(
                        JobFixtures.array(2, "red", JobSpec.Priority.NORMAL, 5, 1, 10), 110_000);
        JobSpec normal =
                cluster.addWaitingJob(
                        JobFixtures.array(3, "red", JobSpec.Priority.NORMAL, 5, 1, 10));
        JobSpec urgent =
                cluster.addWaitingJob(JobFixtures.array(4, "red", JobSpec.Priority.HIGH, 2, 1, 10));
        cluster.quotaShareCpus = 8;
        SchedulingPlan insufficientQuotaPlan = cluster.newPlan(100);
        cluster.queueScheduler.placeWaitingJobs(
                insufficientQuotaPlan, null, cluster.noOpTerminationRecorder);
        assertEquals(2, placedTasks(insufficientQuotaPlan, urgent));
        assertEquals(0, placedTasks(insufficientQuotaPlan, gang));
        assertEquals(0, placedTasks(insufficientQuotaPlan, older));
        assertEquals(0, placedTasks(insufficientQuotaPlan, normal));

        cluster.quotaShareCpus = 13;
        SchedulingPlan sufficientQuotaPlan = cluster.newPlan(100);
        cluster.queueScheduler.placeWaitingJobs(
                sufficientQuotaPlan, null, cluster.noOpTerminationRecorder);
        assertEquals(2, placedTasks(sufficientQuotaPlan, urgent));
        assertEquals(4, placedTasks(sufficientQuotaPlan, gang));
        assertEquals(
                3,
                placedTasks(sufficientQuotaPlan, older) + placedTasks(sufficientQuotaPlan, normal));
    }

    @Test
    void quotaShareBelowUsageAdmitsNothing() {
        SplittableRandom random = new SplittableRandom(6);
        ClusterFixture cluster = new ClusterFixture(20, random);
        cluster.addRunningJob(
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 6, 1, 60), random);
        JobSpec waiting =
                cluster.addWaitingJob(JobFixtures.array(2, "red", JobSpec.Priority.HIGH, 5, 1, 10));
        cluster.quotaShareCpus = 4;
        SchedulingPlan plan = cluster.newPlan(100);
        cluster.queueScheduler.placeWaitingJobs(plan, null, cluster.noOpTerminationRecorder);
        assertEquals(0, placedTasks(plan, waiting));
    }
}
