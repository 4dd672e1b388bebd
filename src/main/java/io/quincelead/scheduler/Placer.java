package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.config.OperatorSettings;
import io.quincelead.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Places one job after the other by TEBAS passes and records the placements in the plan. Created
 * for one plan.
 */
final class Placer {
    /**
     * A job that is being placed; {@code lastResort}: also on machines that are withheld from it or
     * reserved for the leader's work.
     */
    private record PlacementRequest(Job job, int tier, boolean lastResort) {}

    private final OperatorSettings operatorSettings;
    private final Policy policy;
    private final SchedulingPlan plan;
    private final CandidateFinder candidateFinder;
    private final ZoneOccupancy zoneOccupancy;
    private final DrainReservations drainReservations;
    private final boolean spreadsServices;

    /**
     * Demands that found no free capacity, without machines that are withheld from them or reserved
     * for the leader's work.
     */
    private final UnsatisfiableDemands unsatisfiable = new UnsatisfiableDemands();

    /**
     * Demands that found no free capacity, not even on machines that are withheld from them or
     * reserved for the leader's work.
     */
    private final UnsatisfiableDemands unsatisfiableAsLastResort = new UnsatisfiableDemands();

    Placer(OperatorSettings operatorSettings, ClusterView cluster, SchedulingPlan plan) {
        this.operatorSettings = operatorSettings;
        this.policy = cluster.policy();
        this.plan = plan;
        this.candidateFinder = new CandidateFinder(operatorSettings, cluster.imageCaches(), plan);
        this.zoneOccupancy = new ZoneOccupancy(cluster.machines(), policy, plan);
        this.drainReservations = new DrainReservations(plan);
        this.spreadsServices = operatorSettings.zoneRecovery().enabled();
    }

    /**
     * Places as many of the entry's tasks as fit.
     *
     * @param lastResort whether machines that are withheld from the job or reserved for the
     *     leader's work may be used, too
     * @return how many of the tasks that the entry covers were not placed
     */
    int place(QueueOrder.QueueEntry entry, boolean lastResort) {
        Job job = entry.job();
        JobSpec spec = job.spec;
        int wanted = Math.min(entry.maxTasks(), plan.unplacedTasks(job));
        int tasks = permittedTasks(entry, wanted, lastResort);
        if (tasks <= 0
                || spec.isGang() && tasks < wanted
                || (lastResort ? unsatisfiableAsLastResort : unsatisfiable).covers(spec)) {
            return wanted;
        }
        if (spec.isGang() && job.pages.length > plan.writeBudget - plan.edits.size()) {
            // All pages of a gang must be in one write.
            plan.truncated = true;
            return wanted;
        }
        PlacementRequest request = new PlacementRequest(job, entry.tier(), lastResort);
        Map<String, Integer> tasksByHost = new LinkedHashMap<>();
        // The leader prefers machines of its own shard, but not for services spread evenly over
        // zones: the zone with the fewest replicas may have free capacity in other shards alone.
        boolean ownShardOnly = !plan.leading || !isSpreadEvenly(job);
        int unplaced = assign(request, tasks, ownShardOnly, tasksByHost);
        if (unplaced > 0 && plan.leading && ownShardOnly) {
            if (spec.isGang()) {
                tasksByHost.clear();
            }
            unplaced = assign(request, spec.isGang() ? tasks : unplaced, false, tasksByHost);
        }
        if (spec.isGang() && unplaced > 0) {
            return wanted;
        }
        return wanted - recordPlacements(job, tasksByHost);
    }

    /** How many of the wanted tasks the quota share and the reserve for urgent work admit. */
    private int permittedTasks(QueueOrder.QueueEntry entry, int wanted, boolean lastResort) {
        JobSpec spec = entry.job().spec;
        int tasks = Math.min(wanted, plan.tasksWithinQuotaShare(spec));
        if (tasks <= 0
                || spec.priority() != JobSpec.Priority.BEST_EFFORT
                || !spec.allowsAnyOffering()) {
            return tasks;
        }
        // Capacity that urgent work will soon need is left free: preempting best-effort work loses
        // what it has computed, and costs store writes.
        double freeCpus = lastResort ? plan.freeCpus(true) : plan.freeCpus();
        int besideReserve =
                Tebas.taskCapacity(
                        freeCpus - plan.urgentReserveCpus, Double.MAX_VALUE, 0, spec.cpus(), 0, 0);
        return Math.min(tasks, besideReserve);
    }

    /**
     * Places one task of an array on a machine that is withheld because other work demands its
     * GPUs, if such machines have been withheld for too long. Services aren't admitted, since they
     * would stay there permanently.
     *
     * @return how many tasks were placed
     */
    int placeOnWithheldMachine(QueueOrder.QueueEntry entry) {
        JobSpec spec = entry.job().spec;
        boolean withheld =
                spec.isArray()
                        && plan.gpuWithholding.canChange()
                        && plan.tasksWithinQuotaShare(spec) > 0
                        && hasFreeCapacity(entry, pool -> pool.isWithheldFrom(spec));
        if (!withheld || !plan.gpuWithholding.tryAdmitTask()) {
            return 0;
        }
        return 1 - place(entry.limitedTo(1), true);
    }

    private boolean hasFreeCapacity(QueueOrder.QueueEntry entry, Predicate<MachinePool> allowed) {
        for (MachinePool pool : plan.pools.values()) {
            for (FreeCapacity machine : pool.machinesIf(allowed.test(pool))) {
                if (entry.tier() < machine.reservedForTier
                        && machine.taskCapacity(entry.job().spec) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Reserves machines to be drained for tasks that found no free capacity, so that smaller tasks
     * don't take what becomes free on them.
     */
    void reserveMachines(QueueOrder.QueueEntry entry, int tasks) {
        drainReservations.reserve(entry.job().spec, entry.tier(), tasks);
    }

    /**
     * The zones where the job may have more tasks; capacity freed in other zones is of no use to
     * it.
     */
    Predicate<String> allowedZones(Job job) {
        return zoneOccupancy.allowedZones(job);
    }

    /**
     * Assigns tasks to machines within the job's zone rules; adds them to {@code tasksByHost}.
     *
     * @param ownShardOnly false to use machines of all shards, as only the leader may
     * @return how many tasks found no machine
     */
    private int assign(
            PlacementRequest request,
            int tasks,
            boolean ownShardOnly,
            Map<String, Integer> tasksByHost) {
        Job job = request.job;
        JobSpec spec = job.spec;
        Map<String, List<Tebas.CandidateMachine>> candidatesByZone =
                candidateFinder.candidatesByZone(
                        spec, request.tier, request.lastResort, ownShardOnly, tasksByHost);
        if (candidatesByZone.isEmpty()
                && tasksByHost.isEmpty()
                && (!ownShardOnly || !plan.leading)) {
            (request.lastResort ? unsatisfiableAsLastResort : unsatisfiable).add(spec);
        }
        int maxPerZone = policy.maxTasksPerZone(job);
        if (isSpreadEvenly(job)) {
            return assignEvenly(job, tasks, candidatesByZone, tasksByHost, maxPerZone);
        }
        if (!spec.zoneAffinity() && !spec.zoneSpread()) {
            List<Tebas.CandidateMachine> candidates = new ArrayList<>();
            candidatesByZone.values().forEach(candidates::addAll);
            return assignTo(candidates, tasks, tasksByHost);
        }
        return assignZoneByZone(job, tasks, candidatesByZone, tasksByHost, maxPerZone);
    }

    /**
     * Whether the job is a service whose replicas are placed in the zones with the fewest of them.
     */
    private boolean isSpreadEvenly(Job job) {
        JobSpec spec = job.spec;
        return spec.isService()
                && !spec.zoneAffinity()
                && (spreadsServices
                        || policy.maxTasksPerZone(job) < spec.taskCount() && !spec.zoneSpread());
    }

    /** Runs one TEBAS pass over these machines; returns how many tasks found no machine. */
    private int assignTo(
            List<Tebas.CandidateMachine> candidates, int tasks, Map<String, Integer> tasksByHost) {
        int unplaced = Tebas.assign(candidates, tasks, operatorSettings.tebasGroupSize());
        for (Tebas.CandidateMachine candidate : candidates) {
            if (candidate.assigned > 0) {
                tasksByHost.merge(candidate.host, candidate.assigned, Integer::sum);
            }
        }
        return unplaced;
    }

    /**
     * Assigns tasks zone by zone, beginning with the zone with the most free capacity; a job with
     * zone affinity stays in the zone that it has started in.
     */
    private int assignZoneByZone(
            Job job,
            int tasks,
            Map<String, List<Tebas.CandidateMachine>> candidatesByZone,
            Map<String, Integer> tasksByHost,
            int maxPerZone) {
        JobSpec spec = job.spec;
        Map<String, Integer> tasksByZone = zoneOccupancy.tasksByZone(job, tasksByHost);
        List<String> zones = new ArrayList<>(candidatesByZone.keySet());
        zones.sort(
                Comparator.comparingInt((String zone) -> -capacityOf(candidatesByZone.get(zone)))
                        .thenComparing(Comparator.naturalOrder()));
        int unplaced = tasks;
        for (String zone : zones) {
            if (spec.zoneAffinity() && !tasksByZone.isEmpty() && !tasksByZone.containsKey(zone)) {
                continue;
            }
            int maxTasks =
                    spec.zoneSpread()
                            ? Math.min(unplaced, maxPerZone - tasksByZone.getOrDefault(zone, 0))
                            : unplaced;
            List<Tebas.CandidateMachine> candidates = candidatesByZone.get(zone);
            boolean mustFitWhole = spec.zoneAffinity() && spec.isGang();
            if (maxTasks <= 0 || mustFitWhole && capacityOf(candidates) < unplaced) {
                continue;
            }
            unplaced -= maxTasks - assignTo(candidates, maxTasks, tasksByHost);
            tasksByZone.merge(zone, 0, Integer::sum);
            if (unplaced == 0) {
                break;
            }
        }
        return unplaced;
    }

    private static int capacityOf(List<Tebas.CandidateMachine> candidates) {
        int capacity = 0;
        for (Tebas.CandidateMachine candidate : candidates) {
            capacity += candidate.remainingCapacity;
        }
        return capacity;
    }

    /**
     * Assigns a service's replicas one by one to the zone with the fewest of them, up to the
     * maximum per zone; within a zone a TEBAS pass places them.
     */
    private int assignEvenly(
            Job job,
            int tasks,
            Map<String, List<Tebas.CandidateMachine>> candidatesByZone,
            Map<String, Integer> tasksByHost,
            int maxPerZone) {
        Map<String, Integer> tasksByZone = zoneOccupancy.tasksByZone(job, tasksByHost);
        Map<String, Integer> capacityByZone = new TreeMap<>();
        candidatesByZone.forEach(
                (zone, candidates) -> capacityByZone.put(zone, capacityOf(candidates)));
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
                    assignTo(candidatesByZone.get(entry.getKey()), entry.getValue(), tasksByHost);
        }
        return unplaced;
    }

    /** Writes the placements into the job's pages; returns how many tasks were placed. */
    private int recordPlacements(Job job, Map<String, Integer> tasksByHost) {
        List<String> hosts = new ArrayList<>();
        tasksByHost.forEach(
                (host, tasks) -> {
                    for (int i = 0; i < tasks; i++) {
                        hosts.add(host);
                    }
                });
        long lastGangAttempt = 0;
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            lastGangAttempt = Math.max(lastGangAttempt, job.pageOrEmpty(pageIndex).lastAttempt);
        }
        int placed = 0;
        for (int pageIndex = 0;
                pageIndex < job.pages.length && placed < hosts.size();
                pageIndex++) {
            if (plan.unplacedTasks(job, pageIndex) == 0) {
                continue;
            }
            TaskStatePageEdit edit = plan.edit(job, pageIndex);
            if (edit == null) {
                break;
            }
            long attempt = (job.spec.isGang() ? lastGangAttempt : edit.page().lastAttempt) + 1;
            placed = placeOnPage(edit, attempt, hosts, placed);
        }
        return placed;
    }

    /**
     * Places tasks of the page on the hosts from index {@code firstHost} on; returns the index of
     * the next unused host.
     */
    private int placeOnPage(
            TaskStatePageEdit edit, long attempt, List<String> hosts, int firstHost) {
        JobSpec spec = edit.page().job.spec;
        int next = firstHost;
        int endIndex = edit.page().firstTaskIndex() + edit.page().taskCount();
        for (int i = edit.page().firstTaskIndex(); i < endIndex && next < hosts.size(); i++) {
            if (edit.isPlaceable(i)) {
                FreeCapacity machine = plan.machines.get(hosts.get(next));
                edit.place(i, machine.host, attempt);
                plan.allocate(machine, spec, 1);
                TeamUsage.add(plan.ownUsage, spec, 1);
                TeamUsage.add(plan.totalUsage, spec, 1);
                next++;
            }
        }
        return next;
    }
}
