package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One round's plan: the changes of chunks it would write, and what room and use there is under
 * them.
 */
final class SchedulingPlan {
    final Transaction transaction = new Transaction();
    final Map<TaskStatePage, TaskStatePage.Edit> edits = new LinkedHashMap<>();
    final Map<String, FreeCapacity> machines = new LinkedHashMap<>();

    /** The same rooms by what every job sees alike in them. */
    final Map<List<Object>, FreeCapacity.MachinePool> pools = new LinkedHashMap<>();

    /**
     * What tasks of this controller's jobs use by team: those on record, less the ends that this
     * very change puts on record. An end that is only known here doesn't count: were the machine to
     * change hands before it is on record, the record would entitle the new owner to start the task
     * again, beside what took its place.
     */
    final Map<String, double[]> ownUsage = new HashMap<>();

    /**
     * What tasks of all jobs use by team, ends by evidence left out: for the choice of whom to
     * displace.
     */
    final Map<String, double[]> totalUsage = new HashMap<>();

    final List<Job> jobsToEscalate = new ArrayList<>();

    /** Jobs that this round would record for the first time. */
    final Set<Job> enteringJobs = new LinkedHashSet<>();

    /** Jobs within their team's guarantee. */
    Set<Job> jobsWithinGuarantee = Set.of();

    /**
     * Jobs of which no more has begun than they would else be left behind by, with how many tasks
     * that is.
     */
    final Map<Job, Integer> entitledTasksOfStarving = new HashMap<>();

    final ClusterMembership.Shard shard;
    final boolean leading;
    final int shardCount;
    final int writeBudget;
    final int maxTransactionOps;
    boolean truncated;

    /** CPUs free in rooms whose GPUs nobody seeks; NaN when they have to be summed up anew. */
    private double cachedFreeCpus = Double.NaN;

    /** CPUs of the rooms that low work leaves free. */
    double reservedCpus;

    SchedulingPlan(
            ClusterMembership.Shard shard,
            boolean leading,
            int shardCount,
            int writeBudget,
            int maxTransactionOps) {
        this.shard = shard;
        this.leading = leading;
        this.shardCount = shardCount;
        this.writeBudget = writeBudget;
        this.maxTransactionOps = maxTransactionOps;
    }

    /**
     * How many records one change may hold: each needs two guards, beside those of the leadership,
     * the operators' records and the blocks.
     */
    static int maxRecords(int writeBudget, int shardCount, int maxTransactionOps) {
        return Math.min(
                writeBudget,
                (maxTransactionOps * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION
                                - 6
                                - shardCount)
                        / 2);
    }

    /** Whether no further record fits into the change. */
    boolean isFull() {
        return edits.size() >= maxRecords(writeBudget, shardCount, maxTransactionOps);
    }

    /** Whether it only fits as long as so many others are kept. */
    boolean isFull(int reservedRecords) {
        return edits.size()
                >= maxRecords(writeBudget, shardCount, maxTransactionOps) - reservedRecords;
    }

    /** The job's tier in the queue. */
    int tier(Job job) {
        return QueueOrder.tier(
                job.spec.priority().ordinal(),
                jobsWithinGuarantee.contains(job),
                entitledTasksOfStarving.containsKey(job));
    }

    /** Whether a record of the job is in the change already. */
    boolean containsRecordOf(Job job) {
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            if (edits.containsKey(job.page(pageIndex))) {
                return true;
            }
        }
        return false;
    }

    FreeCapacity.MachinePool pool(
            MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return pools.computeIfAbsent(
                List.of(machineType.name(), zone, spot),
                k -> new FreeCapacity.MachinePool(machineType, zone, spot));
    }

    void addMachine(FreeCapacity machine) {
        machines.put(machine.host, machine);
        machine.pool.machines.add(machine);
        cachedFreeCpus = Double.NaN;
    }

    /** Room of a machine is taken by tasks that get their place in this plan. */
    void allocate(FreeCapacity machine, JobSpec spec, int tasks) {
        machine.allocate(spec, tasks);
        cachedFreeCpus = Double.NaN;
    }

    /**
     * The edit of a chunk, with the ends known by evidence; null when the transaction has no room
     * for one more.
     */
    TaskStatePage.Edit edit(Job job, int pageIndex) {
        TaskStatePage page = job.page(pageIndex);
        TaskStatePage.Edit edit = edits.get(page);
        if (edit == null) {
            if (isFull()) {
                truncated = true;
                return null;
            }
            edit = page.edit();
            edits.put(page, edit);
            for (Placement placement : page.placements) {
                if (placement.phase() == Placement.Phase.COMPLETED && !job.spec.isService()) {
                    edit.markCompleted(placement.taskIndex);
                } else if (placement.isTerminated()) {
                    edit.markGone(placement.taskIndex);
                }
                if (placement.isTerminated() && job.controllerId.equals(shard.ownerId())) {
                    addUsage(ownUsage, job.spec, -1);
                }
            }
        }
        return edit;
    }

    TaskStatePage.Edit edit(Placement placement) {
        return edit(placement.job, placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
    }

    /** Tasks of the job that may get a place and have none in this plan. */
    int unplacedTasks(Job job) {
        int tasks = job.waitingTaskCount();
        for (int pageIndex = 0; !edits.isEmpty() && pageIndex < job.pages.length; pageIndex++) {
            TaskStatePage page = job.page(pageIndex);
            TaskStatePage.Edit edit = edits.get(page);
            tasks += edit == null ? 0 : edit.placeableTaskCount() - waitingTasks(page);
        }
        return tasks;
    }

    int unplacedTasks(Job job, int pageIndex) {
        TaskStatePage page = job.page(pageIndex);
        TaskStatePage.Edit edit = edits.get(page);
        return edit != null ? edit.placeableTaskCount() : waitingTasks(page);
    }

    private static int waitingTasks(TaskStatePage page) {
        int tasks = page.pendingTaskCount();
        if (!page.job.spec.isGang()) {
            for (Placement placement : page.placements) {
                tasks += placement.phase() == Placement.Phase.GONE ? 1 : 0;
            }
        }
        return tasks;
    }

    /** CPUs that are free in rooms whose GPUs nobody seeks. */
    double freeCpus() {
        if (Double.isNaN(cachedFreeCpus)) {
            cachedFreeCpus = freeCpus(false);
        }
        return cachedFreeCpus;
    }

    /** The same, also in the others if {@code anywhere}. */
    double freeCpus(boolean anywhere) {
        double free = 0;
        for (FreeCapacity machine : machines.values()) {
            free +=
                    machine.hasFreeCapacity() && (anywhere || !machine.pool.gpusInDemand)
                            ? machine.freeCpus()
                            : 0;
        }
        return free;
    }

    boolean hasChangesOf(Job job) {
        return edits.values().stream().anyMatch(e -> e.page().job == job && e.isChanged());
    }

    void addUsage(Map<String, double[]> usageByTeam, JobSpec spec, int tasks) {
        double[] usage = usageByTeam.computeIfAbsent(spec.team(), t -> new double[2]);
        usage[0] += tasks * spec.cpus();
        usage[1] += tasks * spec.gpus();
    }

    /** How many more tasks of the job its team's allowance here lets in. */
    int tasksWithinQuotaShare(JobSpec spec) {
        return tasksWithinQuotaShare(shard, ownUsage, spec);
    }

    static int tasksWithinQuotaShare(
            ClusterMembership.Shard shard, Map<String, double[]> usageByTeam, JobSpec spec) {
        ClusterMembership.QuotaShare quotaShare = shard.quotaShare(spec.team());
        double[] usage = usageByTeam.getOrDefault(spec.team(), new double[2]);
        return Tebas.taskCapacity(
                quotaShare.cpus() - usage[0],
                Double.MAX_VALUE,
                quotaShare.gpus() - usage[1],
                spec.cpus(),
                0,
                spec.gpus());
    }
}
