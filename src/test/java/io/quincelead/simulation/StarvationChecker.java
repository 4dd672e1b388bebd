package io.quincelead.simulation;

import io.quincelead.cluster.JobSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds jobs that wait although there is free capacity, judged by the tasks on the machines and
 * never by the controllers' records. Once faults are over, no job may wait for 90 s while a
 * suitable machine has room and the job's team is under its limit.
 */
final class StarvationChecker {
    /** Longest wait in ms that users accept. */
    static final long WAIT_LIMIT_MILLIS = 90_000;

    /**
     * Number of checks, one per second, for which the capacity of an ended task still counts as
     * used. Handing it over takes that long: the heartbeat that reports the end, a scheduling
     * cycle, and the heartbeat whose response carries the start command. Without this, a team at
     * its limit whose tasks follow each other would count as under its limit.
     */
    private static final int HANDOVER_CHECKS = 5;

    private final SimulatedCluster cluster;

    /** Time since which each job could have started or continued, by job id. */
    private final Map<String, Long> startableSinceMillis = new HashMap<>();

    /**
     * Last time at which each task was seen on a machine; the capacity of a task that has just
     * ended or gone may be on its way to another task.
     */
    private final Map<SimulatedWorker.SimulatedTask, TaskSighting> lastSightings =
            new LinkedHashMap<>();

    private record TaskSighting(SimulatedWorker worker, JobSpec job, long atMillis) {}

    /**
     * Seconds for which each job without a first start could have started if its team's less urgent
     * work didn't count.
     */
    private final Map<String, Integer> startableSeconds = new HashMap<>();

    StarvationChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** The capacity of a machine that its tasks leave free. */
    private static final class MachineFreeCapacity {
        final SimulatedWorker worker;
        double cpus;
        double gpus;
        double memoryGb;

        MachineFreeCapacity(SimulatedWorker machine) {
            worker = machine;
            cpus = machine.machineType.cpus();
            gpus = machine.machineType.gpus();
            memoryGb = machine.machineType.memoryGb();
        }

        void subtract(JobSpec job) {
            cpus -= job.cpus();
            gpus -= job.gpus();
            memoryGb -= job.memoryGb();
        }

        int tasksThatFit(JobSpec job) {
            if (job.machineTypes() != null
                            && !job.machineTypes().contains(worker.machineType.name())
                    || job.zone() != null && !job.zone().equals(worker.zone)
                    || worker.spot && !job.preemptible()) {
                return 0;
            }
            double taskCount = cpus / job.cpus();
            taskCount = job.gpus() > 0 ? Math.min(taskCount, gpus / job.gpus()) : taskCount;
            return (int) Math.floor(Math.min(taskCount, memoryGb / job.memoryGb()) + 1e-9);
        }
    }

    /** Seconds for which the job could have started before its first start. */
    int startableSeconds(String id) {
        return startableSeconds.getOrDefault(id, 0);
    }

    /** The state of the machines at one check. */
    private static final class Snapshot {
        /** Free capacity of each healthy machine, by host. */
        final Map<String, MachineFreeCapacity> freeCapacity = new HashMap<>();

        /** CPUs and GPUs in use, by team. */
        final Map<String, double[]> usageByTeam = new HashMap<>();

        /** Number of each job's tasks in each zone. */
        final Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();

        final Set<String> presentTasks = new HashSet<>();
    }

    /**
     * Checks all accepted jobs; called every second. Faults are over at {@code faultsEndAtMillis}.
     */
    void check(long faultsEndAtMillis) {
        Snapshot snapshot = new Snapshot();
        recordPresentTasks(snapshot);
        subtractSightedTasks(snapshot);
        for (String id : cluster.acceptedJobs()) {
            JobSpec job = cluster.jobsById.get(id);
            if (cluster.serviceLevels().firstStartDelayMillis(id) < 0
                    && !cluster.hasFinalStatus(id)) {
                countIfStartable(job, snapshot);
            }
            if (cluster.nowMillis() > faultsEndAtMillis) {
                checkWait(job, snapshot, faultsEndAtMillis);
            }
        }
    }

    private void recordPresentTasks(Snapshot snapshot) {
        for (SimulatedWorker worker : cluster.cloud.machines.values()) {
            if (worker.isHealthy()) {
                snapshot.freeCapacity.put(worker.host, new MachineFreeCapacity(worker));
            }
            for (SimulatedWorker.SimulatedTask task : worker.tasks.values()) {
                if (!task.hasEnded()) {
                    JobSpec job = cluster.jobOfTask(task.id);
                    snapshot.presentTasks.add(task.id);
                    lastSightings.put(task, new TaskSighting(worker, job, cluster.nowMillis()));
                    snapshot.tasksByZone
                            .computeIfAbsent(job.jobId(), key -> new HashMap<>())
                            .merge(worker.zone, 1, Integer::sum);
                }
            }
        }
    }

    /**
     * Subtracts all tasks seen lately; the capacity of tasks that have just ended or gone counts as
     * used too.
     */
    private void subtractSightedTasks(Snapshot snapshot) {
        lastSightings
                .values()
                .removeIf(
                        sighting ->
                                cluster.nowMillis() - sighting.atMillis > HANDOVER_CHECKS * 1_000);
        for (TaskSighting sighting : lastSightings.values()) {
            addUsage(
                    snapshot.usageByTeam.computeIfAbsent(sighting.job.team(), key -> new double[2]),
                    sighting.job);
            if (snapshot.freeCapacity.containsKey(sighting.worker.host)) {
                snapshot.freeCapacity.get(sighting.worker.host).subtract(sighting.job);
            }
        }
    }

    private static void addUsage(double[] usage, JobSpec job) {
        usage[0] += job.cpus();
        usage[1] += job.gpus();
    }

    /** Adds a second if the job could start when its team's less urgent work isn't counted. */
    private void countIfStartable(JobSpec job, Snapshot snapshot) {
        double[] usageNotLessUrgent = new double[2];
        for (TaskSighting sighting : lastSightings.values()) {
            if (sighting.job.team().equals(job.team())
                    && sighting.job.priority().compareTo(job.priority()) <= 0) {
                addUsage(usageNotLessUrgent, sighting.job);
            }
        }
        boolean startable =
                !cluster.store.down
                        && canStart(
                                job,
                                job.taskCount(),
                                snapshot.freeCapacity,
                                usageNotLessUrgent,
                                Map.of());
        startableSeconds.merge(job.jobId(), startable ? 1 : 0, Integer::sum);
    }

    /**
     * Records a violation if the job could have started or continued for longer than {@link
     * #WAIT_LIMIT_MILLIS}.
     */
    private void checkWait(JobSpec job, Snapshot snapshot, long faultsEndAtMillis) {
        String id = job.jobId();
        boolean startable =
                !cluster.hasFinalStatus(id)
                        && !cluster.isCancellationRequested(id)
                        && canStart(
                                job,
                                waitingTasks(job, snapshot.presentTasks),
                                snapshot.freeCapacity,
                                snapshot.usageByTeam.getOrDefault(job.team(), new double[2]),
                                snapshot.tasksByZone.getOrDefault(id, Map.of()));
        if (!startable) {
            startableSinceMillis.remove(id);
            return;
        }
        long sinceMillis = startableSinceMillis.computeIfAbsent(id, key -> cluster.nowMillis());
        if (cluster.nowMillis() - Math.max(sinceMillis, faultsEndAtMillis) > WAIT_LIMIT_MILLIS) {
            cluster.recordViolation(
                    "waiting", id + " could go on since " + sinceMillis / 1000 + " s");
        }
    }

    private int waitingTasks(JobSpec job, Set<String> presentTasks) {
        int count = 0;
        for (int i = 0; i < job.taskCount(); i++) {
            String task = job.jobId() + "/" + i;
            count += cluster.completedTasks.contains(task) || presentTasks.contains(task) ? 0 : 1;
        }
        return count;
    }

    private boolean canStart(
            JobSpec job,
            int waitingTasks,
            Map<String, MachineFreeCapacity> freeCapacity,
            double[] usage,
            Map<String, Integer> tasksByZone) {
        int requiredTasks = job.isGang() ? job.taskCount() : 1;
        if (waitingTasks < requiredTasks
                || usage[0] + requiredTasks * job.cpus() > cluster.teams.get(job.team()).maxCpus()
                || usage[1] + requiredTasks * job.gpus()
                        > cluster.teams.get(job.team()).maxGpus()) {
            return false;
        }
        Map<String, Integer> fittingTasksByZone = new HashMap<>();
        for (MachineFreeCapacity capacity : freeCapacity.values()) {
            fittingTasksByZone.merge(
                    capacity.worker.zone, capacity.tasksThatFit(job), Integer::sum);
        }
        int maxPerZone = (job.taskCount() + 1) / 2;
        fittingTasksByZone.replaceAll(
                (zone, count) ->
                        job.zoneSpread()
                                ? Math.min(count, maxPerZone - tasksByZone.getOrDefault(zone, 0))
                                : count);
        if (job.zoneAffinity()) {
            return fittingTasksByZone.entrySet().stream()
                    .anyMatch(
                            entry ->
                                    entry.getValue() >= requiredTasks
                                            && (tasksByZone.isEmpty()
                                                    || tasksByZone.containsKey(entry.getKey())));
        }
        return fittingTasksByZone.values().stream().mapToInt(count -> Math.max(0, count)).sum()
                >= requiredTasks;
    }
}
