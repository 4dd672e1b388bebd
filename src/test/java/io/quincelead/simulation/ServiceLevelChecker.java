package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the service level of a scenario by the strictest reading of the users' requirements: at
 * least half of the jobs of each class, of each team and of the largest tenth of each class (by
 * tasks; at least one job) are served, and the first task of each job starts within 240 s of the
 * first submission attempt. Jobs that their users cancelled don't count. A service is served when
 * half of its replicas have run, another job when its user was told that it is done.
 */
public final class ServiceLevelChecker {
    /** Longest time in ms to the first start; it applies to the largest jobs too. */
    static final long FIRST_START_LIMIT_MILLIS = 240_000;

    /**
     * Share of all jobs whose submissions may be given up without having reached a controller that
     * could accept them.
     */
    private static final double MAX_UNREACHED_SHARE = 0.05;

    private final SimulatedCluster cluster;
    private final Map<String, JobSpec> submittedJobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedAtMillis = new HashMap<>();
    private final Map<String, Long> firstStartAtMillis = new HashMap<>();
    private final Map<String, Long> halfStartedAtMillis = new HashMap<>();
    private final Map<String, Set<String>> startedTasks = new HashMap<>();

    ServiceLevelChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void onSubmitted(JobSpec job) {
        submittedJobs.put(job.jobId(), job);
        submittedAtMillis.putIfAbsent(job.jobId(), cluster.nowMillis());
    }

    long submittedAtMillis(String id) {
        return submittedAtMillis.get(id);
    }

    void onTaskStarted(JobSpec job, String task) {
        firstStartAtMillis.putIfAbsent(job.jobId(), cluster.nowMillis());
        Set<String> tasks = startedTasks.computeIfAbsent(job.jobId(), key -> new HashSet<>());
        if (tasks.add(task) && tasks.size() * 2 >= job.taskCount()) {
            halfStartedAtMillis.putIfAbsent(job.jobId(), cluster.nowMillis());
        }
    }

    /**
     * Time in ms from the first submission attempt to the first start; -1 if there was none yet.
     */
    public long firstStartDelayMillis(String id) {
        return firstStartAtMillis.containsKey(id)
                ? firstStartAtMillis.get(id) - submittedAtMillis.get(id)
                : -1;
    }

    /**
     * Time in ms from the first submission attempt until half of the tasks had started; -1 if they
     * haven't yet.
     */
    public long halfStartedDelayMillis(String id) {
        return halfStartedAtMillis.containsKey(id)
                ? halfStartedAtMillis.get(id) - submittedAtMillis.get(id)
                : -1;
    }

    private boolean isServed(JobSpec job) {
        return job.isService()
                ? halfStartedAtMillis.containsKey(job.jobId())
                : cluster.wasToldFinalStatus(job.jobId(), "done");
    }

    /**
     * Jobs by the groups whose service level is checked: class, team, and the largest tenth of a
     * class.
     */
    private Map<String, List<JobSpec>> jobGroups() {
        Map<String, List<JobSpec>> result = new TreeMap<>();
        for (JobSpec job : submittedJobs.values()) {
            if (!cluster.isCancellationRequested(job.jobId())) {
                result.computeIfAbsent("class " + job.jobClass(), key -> new ArrayList<>())
                        .add(job);
                result.computeIfAbsent("team " + job.team(), key -> new ArrayList<>()).add(job);
            }
        }
        for (String groupName : new ArrayList<>(result.keySet())) {
            if (groupName.startsWith("class ")) {
                List<JobSpec> bySize = new ArrayList<>(result.get(groupName));
                bySize.sort(
                        Comparator.comparingInt((JobSpec job) -> -job.taskCount())
                                .thenComparing(JobSpec::jobId));
                result.put(
                        "largest of " + groupName,
                        bySize.subList(0, Math.max(1, bySize.size() / 10)));
            }
        }
        return result;
    }

    /** Share of served jobs in each class, in each team and in the largest tenth of each class. */
    public Map<String, Double> servedShares() {
        Map<String, Double> result = new TreeMap<>();
        jobGroups()
                .forEach(
                        (groupName, jobs) ->
                                result.put(
                                        groupName,
                                        jobs.stream().filter(this::isServed).count()
                                                / (double) jobs.size()));
        return result;
    }

    /**
     * Jobs that were never accepted because no submission attempt reached a controller that could
     * accept them.
     */
    List<String> unreachedJobs() {
        return submittedJobs.keySet().stream()
                .filter(cluster.reachability::neverReachedReadyController)
                .toList();
    }

    /**
     * Descriptions of the groups and jobs that missed the service level, with the usual limit for
     * the first start.
     */
    public List<String> starved() {
        return starved(FIRST_START_LIMIT_MILLIS);
    }

    /**
     * Descriptions of the groups and jobs that missed the service level, with the given limit for
     * the first start.
     */
    public List<String> starved(long firstStartLimitMillis) {
        List<String> result = new ArrayList<>();
        servedShares()
                .forEach(
                        (groupName, share) -> {
                            if (share < 0.5) {
                                result.add(groupName + ": " + share + " served");
                            }
                        });
        List<String> unreached = unreachedJobs();
        if (unreached.size() > MAX_UNREACHED_SHARE * submittedJobs.size()) {
            result.add(
                    unreached.size()
                            + " of "
                            + submittedJobs.size()
                            + " jobs reached nobody who could accept them: "
                            + unreached);
        }
        for (JobSpec job : submittedJobs.values()) {
            if (unreached.contains(job.jobId())) {
                continue;
            }
            long startDelayMillis =
                    firstStartAtMillis.getOrDefault(job.jobId(), cluster.nowMillis())
                            - submittedAtMillis.get(job.jobId());
            if (!cluster.isCancellationRequested(job.jobId())
                    && startDelayMillis > firstStartLimitMillis) {
                result.add(
                        job.jobId()
                                + " ("
                                + job.taskCount()
                                + " tasks, "
                                + job.priority()
                                + ") began after "
                                + startDelayMillis / 1000
                                + " s");
            }
        }
        return result;
    }
}
