package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import java.util.List;
import java.util.SplittableRandom;

/** Builds job specifications for tests. */
public final class JobFixtures {
    private JobFixtures() {}

    /** The id of the job with this number. */
    public static String id(int number) {
        return String.format("wk-%06d", number);
    }

    public static JobSpec array(
            int id,
            String team,
            JobSpec.Priority priority,
            int taskCount,
            double cpus,
            double runtimeSeconds) {
        return arrayJob(id, team, priority, taskCount)
                .cpus(cpus)
                .runtimeSeconds(runtimeSeconds)
                .build();
    }

    /** An array of independent tasks. */
    public static Builder arrayJob(int id, String team, JobSpec.Priority priority, int taskCount) {
        return job(id, team, JobSpec.Mode.ARRAY, priority, taskCount);
    }

    /** Tasks that run together or not at all. */
    public static Builder gang(int id, String team, JobSpec.Priority priority, int taskCount) {
        return job(id, team, JobSpec.Mode.GANG, priority, taskCount);
    }

    /** Replicas that run until they are cancelled. */
    public static Builder service(int id, String team, JobSpec.Priority priority, int taskCount) {
        return job(id, team, JobSpec.Mode.SERVICE, priority, taskCount);
    }

    /** A job of any mode; the fields that aren't set have the builder's defaults. */
    public static Builder job(
            int id, String team, JobSpec.Mode mode, JobSpec.Priority priority, int taskCount) {
        return new Builder(id, team, mode, priority, taskCount);
    }

    /** Builder of a job specification; without a memory size a job gets two GB per CPU. */
    public static final class Builder {
        private final int id;
        private final String team;
        private final JobSpec.Mode mode;
        private final JobSpec.Priority priority;
        private final int taskCount;
        private String jobClass;
        private double cpus = 1;
        private double gpus;
        private double memoryGb = -1;
        private double runtimeSeconds;
        private List<String> machineTypes;
        private String zone;
        private boolean zoneAffinity;
        private boolean zoneSpread;
        private boolean preemptible = true;
        private double checkpointIntervalSeconds;
        private double checkpointSeconds = 2;
        private String image = "img-1";
        private double imageGb = 0.5;
        private double deadlineSeconds = -1;

        private Builder(
                int id, String team, JobSpec.Mode mode, JobSpec.Priority priority, int taskCount) {
            this.id = id;
            this.team = team;
            this.mode = mode;
            this.priority = priority;
            this.taskCount = taskCount;
            this.jobClass = priority == JobSpec.Priority.BEST_EFFORT ? "slow" : "quick";
        }

        public Builder jobClass(String value) {
            jobClass = value;
            return this;
        }

        public Builder cpus(double value) {
            cpus = value;
            return this;
        }

        public Builder gpus(double value) {
            gpus = value;
            return this;
        }

        public Builder memoryGb(double value) {
            memoryGb = value;
            return this;
        }

        public Builder runtimeSeconds(double value) {
            runtimeSeconds = value;
            return this;
        }

        public Builder machineTypes(List<String> value) {
            machineTypes = value;
            return this;
        }

        public Builder zone(String value) {
            zone = value;
            return this;
        }

        public Builder zoneAffinity(boolean value) {
            zoneAffinity = value;
            return this;
        }

        public Builder zoneSpread(boolean value) {
            zoneSpread = value;
            return this;
        }

        public Builder preemptible(boolean value) {
            preemptible = value;
            return this;
        }

        public Builder checkpointIntervalSeconds(double value) {
            checkpointIntervalSeconds = value;
            return this;
        }

        public Builder checkpointSeconds(double value) {
            checkpointSeconds = value;
            return this;
        }

        public Builder image(String name, double sizeGb) {
            image = name;
            imageGb = sizeGb;
            return this;
        }

        public Builder deadlineSeconds(double value) {
            deadlineSeconds = value;
            return this;
        }

        public JobSpec build() {
            return new JobSpec(
                    JobFixtures.id(id),
                    jobClass,
                    team,
                    mode,
                    priority,
                    taskCount,
                    cpus,
                    gpus,
                    memoryGb < 0 ? cpus * 2 : memoryGb,
                    machineTypes,
                    zone,
                    zoneAffinity,
                    zoneSpread,
                    preemptible,
                    image,
                    imageGb,
                    mode == JobSpec.Mode.SERVICE ? 0 : runtimeSeconds,
                    checkpointIntervalSeconds,
                    checkpointIntervalSeconds > 0 ? checkpointSeconds : 0,
                    deadlineSeconds);
        }
    }

    /** A job of any kind that the default simulated cluster can run. */
    public static JobSpec randomJob(int id, SplittableRandom random) {
        JobSpec.Priority priority = JobSpec.Priority.values()[random.nextInt(4)];
        String team = random.nextBoolean() ? "red" : "blue";
        double runtimeSeconds = 2 + random.nextInt(25);
        return switch (random.nextInt(8)) {
            case 0 ->
                    gang(id, team, priority, 2 + random.nextInt(4))
                            .cpus(2)
                            .runtimeSeconds(runtimeSeconds)
                            .zoneAffinity(random.nextBoolean())
                            .checkpointIntervalSeconds(random.nextBoolean() ? 5 : 0)
                            .build();
            case 1 ->
                    service(id, team, priority, 2 + random.nextInt(2))
                            .cpus(1)
                            .zoneSpread(true)
                            .preemptible(random.nextBoolean())
                            .build();
            case 2 ->
                    arrayJob(id, team, priority, 1 + random.nextInt(3))
                            .cpus(1)
                            .gpus(1)
                            .runtimeSeconds(runtimeSeconds)
                            .machineTypes(List.of("big"))
                            .build();
            case 3 ->
                    arrayJob(id, team, priority, 1 + random.nextInt(6))
                            .cpus(2)
                            .runtimeSeconds(runtimeSeconds)
                            .zone("b")
                            .preemptible(false)
                            .checkpointIntervalSeconds(5)
                            .build();
            case 4 ->
                    arrayJob(id, team, priority, 1 + random.nextInt(5))
                            .cpus(1)
                            .runtimeSeconds(runtimeSeconds)
                            .zoneAffinity(true)
                            .build();
            default ->
                    array(
                            id,
                            team,
                            priority,
                            1 + random.nextInt(20),
                            1 + random.nextInt(3),
                            runtimeSeconds);
        };
    }
}
