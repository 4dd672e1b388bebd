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

    /** Adds this many tasks of the job; a negative number subtracts them. */
    void add(JobSpec spec, int tasks) {
        cpus += tasks * spec.cpus();
        gpus += tasks * spec.gpus();
    }

    /** Adds this many tasks of the job to its team's usage. */
    static void add(Map<String, TeamUsage> usageByTeam, JobSpec spec, int tasks) {
        usageByTeam.computeIfAbsent(spec.team(), t -> new TeamUsage()).add(spec, tasks);
    }

    /** The team's usage; the caller must not change it. */
    static TeamUsage of(Map<String, TeamUsage> usageByTeam, String team) {
        return usageByTeam.getOrDefault(team, NONE);
    }
}
