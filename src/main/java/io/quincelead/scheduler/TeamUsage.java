package io.quincelead.scheduler;

import io.quincelead.cluster.JobSpec;
import java.util.Map;

/** CPUs and GPUs that tasks of one team use. */
final class TeamUsage {
    private static final TeamUsage NONE = new TeamUsage();

    private double cpus;
    private double gpus;

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }

    /** Adds so many tasks of the job; a negative number takes them away. */
    void add(JobSpec spec, int tasks) {
        cpus += tasks * spec.cpus();
        gpus += tasks * spec.gpus();
    }

    /** Adds so many tasks of the job to what its team uses. */
    static void add(Map<String, TeamUsage> usageByTeam, JobSpec spec, int tasks) {
        usageByTeam.computeIfAbsent(spec.team(), t -> new TeamUsage()).add(spec, tasks);
    }

    /** What the team uses; not to be changed. */
    static TeamUsage of(Map<String, TeamUsage> usageByTeam, String team) {
        return usageByTeam.getOrDefault(team, NONE);
    }
}
