package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import io.quincelead.simulation.JobFixtures;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one queue pass of the leader over a nearly full cluster: the cost of placement by the
 * numbers of machines, waiting jobs and running tasks. Uses the JIT compiler's first tier only, as
 * controllers do.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx1g"})
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class SchedulingCycleBenchmark {
    @Param({"100", "1000", "5000"})
    int machines;

    @Param({"10", "300", "3000"})
    int waiting;

    @Param({"0", "10000", "50000"})
    int running;

    /** Number of priority classes on record, with calendar entries; 0: neither. */
    @Param({"0", "128"})
    int classes;

    private ClusterFixture cluster;

    @Setup(Level.Trial)
    public void fillCluster() {
        SplittableRandom random = new SplittableRandom(7);
        cluster = new ClusterFixture(machines, random);
        double cpus =
                cluster.machineTypeByHost.values().stream()
                        .mapToDouble(machineType -> machineType.cpus())
                        .sum();
        int id = 0;
        for (int remaining = running; remaining > 0; remaining -= 100) {
            JobSpec.Priority priority =
                    id % 2 == 0 ? JobSpec.Priority.BEST_EFFORT : JobSpec.Priority.NORMAL;
            cluster.addRunningJob(
                    JobFixtures.array(
                            ++id,
                            "red",
                            priority,
                            Math.min(100, remaining),
                            Math.min(4, 0.95 * cpus / running),
                            60),
                    random);
        }
        for (int i = 0; i < waiting; i++) {
            JobSpec.Priority priority =
                    JobSpec.Priority.values()[1 + Math.min(2, random.nextInt(5) / 2)];
            cluster.addWaitingJob(
                    JobFixtures.array(
                            ++id,
                            "red",
                            priority,
                            1 + random.nextInt(60),
                            1 + random.nextDouble() * 3,
                            20));
        }
        if (classes > 0) {
            cluster.addOperatorRecords(classes, 1_000, 20);
        }
    }

    /** Plans at most 12 records, as many as the store takes. */
    @Benchmark
    public int runCycle() {
        SchedulingPlan plan = cluster.newPlan(12);
        cluster.queueScheduler.placeWaitingJobs(plan, null, cluster.noOpTerminationRecorder);
        return plan.edits.size();
    }
}
