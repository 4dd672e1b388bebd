package io.quincelead.scheduler;

import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Runs the TEBAS pass for one job after the other and writes where its tasks go into the plan. */
final class Placer {
    private final OperatorSettings operatorSettings;
    private final MachineTable machines;
    private final ImageCaches imageCaches;
    private final SchedulingPlan plan;
    private final Policy policy;
    private final boolean spreadsServices;
    private boolean lastResort;

    /** Machines that may still be left to run empty. */
    private int remainingReservations;

    private int tier;

    /**
     * Demands that no machine had any room for: on those that suit, and as a last resort on all
     * that are allowed.
     */
    private final UnsatisfiableDemands unsatisfiable = new UnsatisfiableDemands();

    private final UnsatisfiableDemands unsatisfiableAnywhere = new UnsatisfiableDemands();

    Placer(OperatorSettings operatorSettings, ClusterView cluster, SchedulingPlan plan) {
        this.policy = cluster.policy();
        this.spreadsServices = operatorSettings.zoneRecovery().enabled();
        this.operatorSettings = operatorSettings;
        this.machines = cluster.machines();
        this.imageCaches = cluster.imageCaches();
        this.plan = plan;
        this.remainingReservations =
                Math.max(
                        SchedulerConstants.MIN_DRAIN_RESERVE_MACHINES,
                        (int)
                                (plan.machines.size()
                                        * SchedulerConstants.DRAIN_RESERVE_MACHINES_FRACTION));
    }

    /**
     * Places what fits, as a last resort also on machines that should be left to others; returns
     * how many tasks found no place.
     */
    int place(QueueOrder.RankedJob ranked, boolean anywhere) {
        Job job = ranked.job();
        lastResort = anywhere;
        tier = ranked.tier();
        JobSpec spec = job.spec;
        int wanted = Math.min(ranked.maxTasks(), plan.unplacedTasks(job));
        int tasks = Math.min(wanted, plan.tasksWithinQuotaShare(spec));
        if (spec.priority() == JobSpec.Priority.BEST_EFFORT && spec.isUnconstrained()) {
            // What urgent work will need before long is left free: displacing low work costs it its
            // run, and the store changes.
            tasks =
                    Math.min(
                            tasks,
                            Tebas.taskCapacity(
                                    (anywhere ? plan.freeCpus(true) : plan.freeCpus())
                                            - plan.reservedCpus,
                                    Double.MAX_VALUE,
                                    0,
                                    spec.cpus(),
                                    0,
                                    0));
        }
        if (tasks <= 0
                || spec.isGang() && tasks < wanted
                || (anywhere ? unsatisfiableAnywhere : unsatisfiable).covers(spec)) {
            return wanted;
        }
        if (spec.isGang() && job.pages.length > plan.writeBudget - plan.edits.size()) {
            // All of it must be in one write.
            plan.truncated = true;
            return wanted;
        }
        Map<String, Integer> tasksByHost = new LinkedHashMap<>();
        int unplaced = assign(job, tasks, true, tasksByHost);
        if (unplaced > 0 && plan.leading) {
            if (spec.isGang()) {
                tasksByHost.clear();
            }
            unplaced = assign(job, spec.isGang() ? tasks : unplaced, false, tasksByHost);
        }
        if (spec.isGang() && unplaced > 0) {
            return wanted;
        }
        return wanted - recordPlacements(job, tasksByHost);
    }

    /**
     * Leaves the machines that will soonest have room for so many tasks to run empty: on a full
     * cluster, smaller tasks would take each part of them as it comes free, for ever. For a gang,
     * whose tasks start together, also those that have some room now.
     */
    void reserveMachines(JobSpec spec, int tasks) {
        int maxMachines =
                spec.isGang()
                        ? Math.max(
                                SchedulerConstants.MIN_DRAIN_RESERVE_MACHINES,
                                (int)
                                        (plan.machines.size()
                                                * SchedulerConstants
                                                        .GANG_DRAIN_RESERVE_MACHINES_FRACTION))
                        : Math.min(tasks, remainingReservations);
        if (maxMachines <= 0 || plan.tasksWithinQuotaShare(spec) < (spec.isGang() ? tasks : 1)) {
            return;
        }
        Map<String, List<FreeCapacity>> machinesByZone = new LinkedHashMap<>();
        for (MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine :
                    pool.suits(spec, tier) ? pool.machines : List.<FreeCapacity>of()) {
                if (machine.reservedForTier == Integer.MAX_VALUE
                        && (machine.inOwnShard || plan.leading)
                        && (spec.isGang() || machine.taskCapacity(spec) == 0)) {
                    machinesByZone
                            .computeIfAbsent(
                                    spec.zoneAffinity() ? pool.zone : "", z -> new ArrayList<>())
                            .add(machine);
                }
            }
        }
        List<FreeCapacity> bestMachines = List.of();
        double bestFreeCpus = -1;
        for (List<FreeCapacity> zoneMachines : machinesByZone.values()) {
            zoneMachines.sort(
                    Comparator.comparingDouble((FreeCapacity machine) -> -machine.freeCpus())
                            .thenComparing(machine -> machine.host));
            int uncovered = tasks;
            int count = 0;
            double freeCpus = 0;
            while (uncovered > 0 && count < Math.min(maxMachines, zoneMachines.size())) {
                FreeCapacity machine = zoneMachines.get(count++);
                freeCpus += machine.freeCpus();
                uncovered -= spec.isGang() ? machine.pool.tasksPerEmptyMachine(spec) : 1;
            }
            if (freeCpus > bestFreeCpus && (uncovered <= 0 || !spec.isGang())) {
                bestMachines = zoneMachines.subList(0, count);
                bestFreeCpus = freeCpus;
            }
        }
        for (FreeCapacity machine : bestMachines) {
            machine.reservedForTier = tier;
            remainingReservations--;
        }
    }

    /**
     * Runs the pass over the block's machines (or, for the leader, all machines) within the job's
     * zone rules.
     */
    private int assign(Job job, int tasks, boolean ownShardOnly, Map<String, Integer> tasksByHost) {
        JobSpec spec = job.spec;
        Map<String, List<Tebas.CandidateMachine>> candidatesByZone =
                candidatesByZone(spec, ownShardOnly, tasksByHost);
        if (candidatesByZone.isEmpty()
                && tasksByHost.isEmpty()
                && (!ownShardOnly || !plan.leading)) {
            (lastResort ? unsatisfiableAnywhere : unsatisfiable).add(spec);
        }
        int maxPerZone = policy.maxTasksPerZone(job);
        if (spec.isService()
                && !spec.zoneAffinity()
                && (spreadsServices || maxPerZone < spec.taskCount() && !spec.zoneSpread())) {
            return assignEvenly(job, tasks, candidatesByZone, tasksByHost, maxPerZone);
        }
        if (!spec.zoneAffinity() && !spec.zoneSpread()) {
            List<Tebas.CandidateMachine> candidates = new ArrayList<>();
            candidatesByZone.values().forEach(candidates::addAll);
            int unplaced = Tebas.assign(candidates, tasks, operatorSettings.tebasGroupSize());
            candidates.forEach(candidate -> tally(tasksByHost, candidate));
            return unplaced;
        }
        Map<String, Integer> tasksByZone = tasksByZone(job);
        tasksByHost.forEach(
                (host, n) -> tasksByZone.merge(plan.machines.get(host).pool.zone, n, Integer::sum));
        List<String> zones = new ArrayList<>(candidatesByZone.keySet());
        zones.sort(
                Comparator.comparingInt(
                                (String zone) ->
                                        -candidatesByZone.get(zone).stream()
                                                .mapToInt(x -> x.remainingCapacity)
                                                .sum())
                        .thenComparing(zone -> zone));
        int unplaced = tasks;
        for (String zone : zones) {
            if (spec.zoneAffinity() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone)) {
                continue;
            }
            int maxTasks =
                    spec.zoneSpread()
                            ? Math.min(unplaced, maxPerZone - tasksByZone.getOrDefault(zone, 0))
                            : unplaced;
            int zoneCapacity =
                    candidatesByZone.get(zone).stream().mapToInt(x -> x.remainingCapacity).sum();
            if (maxTasks <= 0 || spec.zoneAffinity() && spec.isGang() && zoneCapacity < unplaced) {
                continue;
            }
            unplaced -=
                    maxTasks
                            - Tebas.assign(
                                    candidatesByZone.get(zone),
                                    maxTasks,
                                    operatorSettings.tebasGroupSize());
            candidatesByZone.get(zone).forEach(candidate -> tally(tasksByHost, candidate));
            tasksByZone.merge(zone, 0, Integer::sum);
            if (unplaced == 0) {
                break;
            }
        }
        return unplaced;
    }

    /**
     * A service's replicas go where the fewest are, one by one, within what one zone may have;
     * within a zone the pass places them.
     */
    private int assignEvenly(
            Job job,
            int tasks,
            Map<String, List<Tebas.CandidateMachine>> candidatesByZone,
            Map<String, Integer> tasksByHost,
            int maxPerZone) {
        Map<String, Integer> tasksByZone = tasksByZone(job);
        tasksByHost.forEach(
                (host, n) -> tasksByZone.merge(plan.machines.get(host).pool.zone, n, Integer::sum));
        Map<String, Integer> capacityByZone = new TreeMap<>();
        candidatesByZone.forEach(
                (zone, candidates) ->
                        capacityByZone.put(
                                zone,
                                candidates.stream().mapToInt(x -> x.remainingCapacity).sum()));
        Map<String, Integer> newTasksByZone = new TreeMap<>();
        int undistributed = tasks;
        while (undistributed > 0) {
            String emptiestZone = null;
            for (String zone : capacityByZone.keySet()) {
                boolean eligible =
                        capacityByZone.get(zone) > newTasksByZone.getOrDefault(zone, 0)
                                && tasksByZone.getOrDefault(zone, 0) < maxPerZone;
                if (eligible
                        && (emptiestZone == null
                                || tasksByZone.getOrDefault(zone, 0)
                                        < tasksByZone.getOrDefault(emptiestZone, 0))) {
                    emptiestZone = zone;
                }
            }
            if (emptiestZone == null) {
                break;
            }
            newTasksByZone.merge(emptiestZone, 1, Integer::sum);
            tasksByZone.merge(emptiestZone, 1, Integer::sum);
            undistributed--;
        }
        int unplaced = undistributed;
        for (Map.Entry<String, Integer> entry : newTasksByZone.entrySet()) {
            unplaced +=
                    Tebas.assign(
                            candidatesByZone.get(entry.getKey()),
                            entry.getValue(),
                            operatorSettings.tebasGroupSize());
            candidatesByZone
                    .get(entry.getKey())
                    .forEach(candidate -> tally(tasksByHost, candidate));
        }
        return unplaced;
    }

    /** The machines with room for a task of the job, by zone. */
    private Map<String, List<Tebas.CandidateMachine>> candidatesByZone(
            JobSpec spec, boolean ownShardOnly, Map<String, Integer> tasksByHost) {
        Map<String, List<Tebas.CandidateMachine>> candidatesByZone = new LinkedHashMap<>();
        for (MachinePool pool : plan.pools.values()) {
            if (!(lastResort ? pool.allows(spec) : pool.suits(spec, tier))) {
                continue;
            }
            List<Tebas.CandidateMachine> candidates = null;
            double clockFactor =
                    operatorSettings
                            .clockSpeedByMachineType()
                            .getOrDefault(pool.machineType.name(), 1.0);
            // Where the time to reach a worker doesn't count, a kind's machines differ by the image
            // alone.
            boolean urgent = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal();
            double fitnessWithImage =
                    Tebas.fitness(
                            operatorSettings.parallelFraction(),
                            spec.cpus(),
                            effectiveFrequency(spec, pool, clockFactor, true, 0));
            double fitnessWithoutImage =
                    Tebas.fitness(
                            operatorSettings.parallelFraction(),
                            spec.cpus(),
                            effectiveFrequency(spec, pool, clockFactor, false, 0));
            for (FreeCapacity machine : pool.machines) {
                int capacity =
                        ownShardOnly && !machine.inOwnShard
                                        || !machine.hasFreeCapacity()
                                        || tier >= machine.reservedForTier
                                ? 0
                                : machine.taskCapacity(spec)
                                        - (tasksByHost.isEmpty()
                                                ? 0
                                                : tasksByHost.getOrDefault(machine.host, 0));
                if (capacity > 0) {
                    boolean hasImage = imageCaches.hasImage(machine.host, spec.image());
                    double fitness =
                            !urgent || machine.reachSeconds <= 0
                                    ? hasImage ? fitnessWithImage : fitnessWithoutImage
                                    : Tebas.fitness(
                                            operatorSettings.parallelFraction(),
                                            spec.cpus(),
                                            effectiveFrequency(
                                                    spec,
                                                    pool,
                                                    clockFactor,
                                                    hasImage,
                                                    machine.reachSeconds));
                    candidates =
                            candidates == null
                                    ? candidatesByZone.computeIfAbsent(
                                            pool.zone, z -> new ArrayList<>())
                                    : candidates;
                    candidates.add(
                            new Tebas.CandidateMachine(machine.host, fitness, capacity, capacity));
                }
            }
        }
        return candidatesByZone;
    }

    /**
     * The machine's frequency as this task gets to feel it: while its image is fetched, nothing
     * runs. Where fetches take as long as the tasks themselves, the paper's gain of a machine is
     * mostly a matter of who has the image.
     */
    private static double effectiveFrequency(
            JobSpec spec,
            MachinePool pool,
            double clockFactor,
            boolean hasImage,
            double waitSeconds) {
        double fetchSeconds =
                hasImage
                        ? 0
                        : spec.imageSizeGb()
                                / Math.max(pool.machineType.imagePullGbPerSecond(), 0.01);
        double runSeconds =
                spec.isService()
                        ? SchedulerConstants.SERVICE_RANKING_RUNTIME_SECONDS
                        : Math.max(spec.runtimeSeconds(), 1);
        // Where workers report seldom, whose answer is still open matters as well to work that
        // should start at once.
        return clockFactor * runSeconds / (runSeconds + fetchSeconds + waitSeconds);
    }

    private static void tally(Map<String, Integer> tasksByHost, Tebas.CandidateMachine candidate) {
        if (candidate.assigned > 0) {
            tasksByHost.merge(candidate.host, candidate.assigned, Integer::sum);
        }
    }

    /**
     * The zones where the job may have more tasks than it has: room made elsewhere would be of no
     * use to it.
     */
    Predicate<String> allowedZones(Job job) {
        JobSpec spec = job.spec;
        int maxPerZone = policy.maxTasksPerZone(job);
        if (!spec.zoneAffinity() && maxPerZone >= spec.taskCount()) {
            return zone -> true;
        }
        Map<String, Integer> tasksByZone = tasksByZone(job);
        return zone ->
                spec.zoneAffinity()
                        ? tasksByZone.isEmpty() || tasksByZone.containsKey(zone)
                        : tasksByZone.getOrDefault(zone, 0) < maxPerZone;
    }

    /** Where the job's tasks may be now, by zone, evidence of this round included. */
    private Map<String, Integer> tasksByZone(Job job) {
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (TaskStatePage page : job.pages) {
            if (page == null) {
                continue;
            }
            tally(tasksByZone, page.placements.stream().filter(p -> plan.edits.get(page) == null));
        }
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            TaskStatePage.Edit edit = plan.edits.get(job.page(pageIndex));
            if (edit != null) {
                // What an earlier pass of this round has placed counts too.
                tally(tasksByZone, edit.placements().stream());
            }
        }
        return tasksByZone;
    }

    private void tally(
            Map<String, Integer> tasksByZone, java.util.stream.Stream<Placement> placements) {
        placements
                .map(p -> machines.get(p.host))
                .filter(java.util.Objects::nonNull)
                .forEach(m -> tasksByZone.merge(m.zone(), 1, Integer::sum));
    }

    /** Writes the spread into the chunks; returns how many tasks got a place. */
    private int recordPlacements(Job job, Map<String, Integer> tasksByHost) {
        List<String> hosts = new ArrayList<>();
        tasksByHost.forEach(
                (host, tasks) -> {
                    for (int i = 0; i < tasks; i++) {
                        hosts.add(host);
                    }
                });
        int placed = 0;
        long lastGangAttempt = 0;
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            lastGangAttempt = Math.max(lastGangAttempt, job.page(pageIndex).lastAttempt);
        }
        for (int pageIndex = 0;
                pageIndex < job.pages.length && placed < hosts.size();
                pageIndex++) {
            if (plan.unplacedTasks(job, pageIndex) == 0) {
                continue;
            }
            TaskStatePage.Edit edit = plan.edit(job, pageIndex);
            if (edit == null) {
                break;
            }
            long attempt = (job.spec.isGang() ? lastGangAttempt : edit.page().lastAttempt) + 1;
            for (int i = edit.page().firstTaskIndex();
                    i < edit.page().firstTaskIndex() + edit.page().taskCount()
                            && placed < hosts.size();
                    i++) {
                if (edit.isPlaceable(i)) {
                    FreeCapacity machine = plan.machines.get(hosts.get(placed));
                    edit.place(i, machine.host, attempt);
                    plan.allocate(machine, job.spec, 1);
                    TeamUsage.add(plan.ownUsage, job.spec, 1);
                    TeamUsage.add(plan.totalUsage, job.spec, 1);
                    placed++;
                }
            }
        }
        return placed;
    }
}
