package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import java.util.List;
import java.util.SplittableRandom;

/** Jobs for tests. */
public final class JobFixtures {
    private JobFixtures() {}

    public static JobSpec array(
            int id,
            String team,
            JobSpec.Priority priority,
            int taskCount,
            double cpus,
            double runtimeSeconds) {
        return job(
                id,
                team,
                JobSpec.Mode.ARRAY,
                priority,
                taskCount,
                cpus,
                0,
                runtimeSeconds,
                null,
                null,
                false,
                false,
                true,
                0);
    }

    public static JobSpec job(
            int id,
            String team,
            JobSpec.Mode mode,
            JobSpec.Priority priority,
            int taskCount,
            double cpus,
            double gpus,
            double runtimeSeconds,
            List<String> machineTypes,
            String zone,
            boolean zoneAffinity,
            boolean zoneSpread,
            boolean spot,
            double checkpointIntervalSeconds) {
        return new JobSpec(
                String.format("wk-%06d", id),
                priority == JobSpec.Priority.BEST_EFFORT ? "slow" : "quick",
                team,
                mode,
                priority,
                taskCount,
                cpus,
                gpus,
                cpus * 2,
                machineTypes,
                zone,
                zoneAffinity,
                zoneSpread,
                spot,
                "img-1",
                0.5,
                mode == JobSpec.Mode.SERVICE ? 0 : runtimeSeconds,
                checkpointIntervalSeconds,
                checkpointIntervalSeconds > 0 ? 2 : 0,
                -1);
    }

    /** A job of any kind that the test world can run. */
    public static JobSpec randomJob(int id, SplittableRandom random) {
        JobSpec.Priority priority = JobSpec.Priority.values()[random.nextInt(4)];
        String team = random.nextBoolean() ? "red" : "blue";
        double run = 2 + random.nextInt(25);
        return switch (random.nextInt(8)) {
            case 0 ->
                    job(
                            id,
                            team,
                            JobSpec.Mode.GANG,
                            priority,
                            2 + random.nextInt(4),
                            2,
                            0,
                            run,
                            null,
                            null,
                            random.nextBoolean(),
                            false,
                            true,
                            random.nextBoolean() ? 5 : 0);
            case 1 ->
                    job(
                            id,
                            team,
                            JobSpec.Mode.SERVICE,
                            priority,
                            2 + random.nextInt(2),
                            1,
                            0,
                            0,
                            null,
                            null,
                            false,
                            true,
                            random.nextBoolean(),
                            0);
            case 2 ->
                    job(
                            id,
                            team,
                            JobSpec.Mode.ARRAY,
                            priority,
                            1 + random.nextInt(3),
                            1,
                            1,
                            run,
                            List.of("big"),
                            null,
                            false,
                            false,
                            true,
                            0);
            case 3 ->
                    job(
                            id,
                            team,
                            JobSpec.Mode.ARRAY,
                            priority,
                            1 + random.nextInt(6),
                            2,
                            0,
                            run,
                            null,
                            "b",
                            false,
                            false,
                            false,
                            5);
            case 4 ->
                    job(
                            id,
                            team,
                            JobSpec.Mode.ARRAY,
                            priority,
                            1 + random.nextInt(5),
                            1,
                            0,
                            run,
                            null,
                            null,
                            true,
                            false,
                            true,
                            0);
            default ->
                    array(id, team, priority, 1 + random.nextInt(20), 1 + random.nextInt(3), run);
        };
    }
}
