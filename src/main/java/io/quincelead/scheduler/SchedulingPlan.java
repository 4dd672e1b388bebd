package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
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
 * One cycle's plan: the edits of task state pages it would write, and the free capacity and usage
 * that result from them. Created for one cycle and never shared.
 */
final class SchedulingPlan {
    /** The plan's transaction; filled when everything else is decided. */
    final Transaction transaction = new Transaction();

    /** The edits, by the page that they are based on, in the order they were made. */
    final Map<TaskStatePage, TaskStatePageEdit> edits = new LinkedHashMap<>();

    /** Machines that accept tasks, by host. */
    final Map<String, FreeCapacity> machines = new LinkedHashMap<>();

    /** Pools of equivalent machines among those that accept tasks. */
    final Map<MachinePool.Key, MachinePool> pools = new LinkedHashMap<>();

    /**
     * Usage by team of this controller's jobs: tasks on record, less the terminations that this
     * transaction records. A termination that is known only by evidence doesn't count: if the
     * machine changed owners before the termination is on record, the record would entitle the new
     * owner to start the task again, beside the task that took its place.
     */
    final Map<String, TeamUsage> ownUsage = new HashMap<>();

    /**
     * Usage by team of all jobs, without tasks that are known to have terminated; used to choose
     * what to preempt.
     */
    final Map<String, TeamUsage> totalUsage = new HashMap<>();

    /** Jobs that should be escalated to the leader. */
    final List<Job> jobsToEscalate = new ArrayList<>();

    /** Jobs that are admitted with this plan, which would record them for the first time. */
    final Set<Job> admittedJobs = new LinkedHashSet<>();

    /** Jobs whose records the store has called invalid; nothing of them is planned. */
    Set<Job> unrecordableJobs = Set.of();

    /** Jobs within their team's guarantee. */
    Set<Job> jobsWithinGuarantee = Set.of();

    /**
     * Jobs of which no more tasks have started than the job is entitled to by its age, with that
     * number.
     */
    final Map<Job, Integer> entitledTasksByStarvingJob = new HashMap<>();

    /** This controller's shard, as the plan is based on it. */
    final ClusterMembership.Shard shard;

    /** Whether this controller is the leader, which may place on all shards. */
    final boolean leading;

    final int shardCount;

    /** Number of records that the store's write budget lets the transaction write. */
    final int writeBudget;

    final int maxTransactionOps;

    /** Whether there was more to write than the transaction holds. */
    boolean truncated;

    /**
     * CPUs free on machines whose GPUs are not in demand; NaN when the sum must be computed again.
     */
    private double cachedFreeCpus = Double.NaN;

    /** CPUs that best-effort work leaves free for urgent work. */
    double urgentReserveCpus;

    /** Tracks machines withheld from work only because other work demands their GPUs. */
    CapacityWithholding gpuWithholding = new CapacityWithholding(false);

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

    /** Adds jobs that the plan records for the first time, each with its only page. */
    void addAdmittedJobs(List<Job> jobs) {
        admittedJobs.addAll(jobs);
        jobs.forEach(job -> edit(job, 0));
    }

    /**
     * How many records one transaction may hold: each needs two preconditions, in addition to those
     * of the leadership, the operators' records and the shards.
     */
    static int maxRecords(int writeBudget, int shardCount, int maxTransactionOps) {
        return Math.min(
                writeBudget,
                (maxTransactionOps * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION
                                - 6
                                - shardCount)
                        / 2);
    }

    /** Whether no further record fits into the transaction. */
    boolean isFull() {
        return edits.size() >= maxRecords(writeBudget, shardCount, maxTransactionOps);
    }

    /** Whether no further record fits if this many are reserved for other work. */
    boolean isFull(int reservedRecords) {
        return edits.size()
                >= maxRecords(writeBudget, shardCount, maxTransactionOps) - reservedRecords;
    }

    /** The jobs whose records the plan edits, one for each record. */
    List<Job> recordedJobs() {
        return edits.keySet().stream().map(page -> page.job).toList();
    }

    /** The job's tier in the queue. */
    int tier(Job job) {
        return QueueOrder.tier(
                job.spec.priority().ordinal(),
                jobsWithinGuarantee.contains(job),
                entitledTasksByStarvingJob.containsKey(job));
    }

    /** Whether a record of the job is in the transaction already. */
    boolean containsRecordOf(Job job) {
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            if (edits.containsKey(job.pageOrEmpty(pageIndex))) {
                return true;
            }
        }
        return false;
    }

    /** The pool of such machines; created if there is none. */
    MachinePool pool(MachineTypeCatalog.MachineType machineType, String zone, boolean spot) {
        return pools.computeIfAbsent(
                new MachinePool.Key(machineType.name(), zone, spot),
                k -> new MachinePool(machineType, zone, spot));
    }

    void addMachine(FreeCapacity machine) {
        machines.put(machine.host, machine);
        machine.pool.machines.add(machine);
        cachedFreeCpus = Double.NaN;
    }

    /** Allocates a machine's capacity to tasks that this plan places. */
    void allocate(FreeCapacity machine, JobSpec spec, int tasks) {
        machine.allocate(spec, tasks);
        cachedFreeCpus = Double.NaN;
    }

    /**
     * The edit of a page, which includes the page's terminations known by evidence; null when no
     * further record fits into the transaction.
     */
    TaskStatePageEdit edit(Job job, int pageIndex) {
        TaskStatePage page = job.pageOrEmpty(pageIndex);
        TaskStatePageEdit edit = edits.get(page);
        if (edit == null) {
            if (unrecordableJobs.contains(job)) {
                return null;
            }
            if (isFull()) {
                truncated = true;
                return null;
            }
            edit = page.edit();
            edits.put(page, edit);
            for (Placement placement : page.placements) {
                boolean completed =
                        placement.phase() == Placement.Phase.COMPLETED && !job.spec.isService();
                if (completed || placement.isTerminated() && job.isCompletedGang()) {
                    edit.markCompleted(placement.taskIndex);
                } else if (placement.isTerminated()) {
                    edit.markGone(placement.taskIndex);
                }
                if (placement.isTerminated() && job.controllerId().equals(shard.ownerId())) {
                    TeamUsage.add(ownUsage, job.spec, -1);
                }
            }
        }
        return edit;
    }

    /**
     * The edit of the page that the placement is on; null when no further record fits into the
     * transaction.
     */
    TaskStatePageEdit edit(Placement placement) {
        return edit(placement.job, placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
    }

    /** Number of the job's tasks that may be placed and are not placed by this plan. */
    int unplacedTasks(Job job) {
        int tasks = job.waitingTaskCount();
        for (int pageIndex = 0; !edits.isEmpty() && pageIndex < job.pages.length; pageIndex++) {
            TaskStatePage page = job.pageOrEmpty(pageIndex);
            TaskStatePageEdit edit = edits.get(page);
            tasks += edit == null ? 0 : edit.placeableTaskCount() - waitingTasks(page);
        }
        return tasks;
    }

    /** Number of one page's tasks that may be placed and are not placed by this plan. */
    int unplacedTasks(Job job, int pageIndex) {
        TaskStatePage page = job.pageOrEmpty(pageIndex);
        TaskStatePageEdit edit = edits.get(page);
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

    /** CPUs that are free on machines whose GPUs are not in demand. */
    double freeCpus() {
        if (Double.isNaN(cachedFreeCpus)) {
            cachedFreeCpus = freeCpus(false);
        }
        return cachedFreeCpus;
    }

    /**
     * CPUs that are free on machines; those whose GPUs are in demand count only if {@code
     * includeGpusInDemand}.
     */
    double freeCpus(boolean includeGpusInDemand) {
        double free = 0;
        for (FreeCapacity machine : machines.values()) {
            free +=
                    machine.hasFreeCapacity() && (includeGpusInDemand || !machine.pool.gpusInDemand)
                            ? machine.freeCpus()
                            : 0;
        }
        return free;
    }

    /** Whether the plan changes the state of any task of the job. */
    boolean hasChangesOf(Job job) {
        return edits.values().stream().anyMatch(edit -> edit.page().job == job && edit.isChanged());
    }

    /** How many more tasks of the job its team's quota share in this shard admits. */
    int tasksWithinQuotaShare(JobSpec spec) {
        return tasksWithinQuotaShare(shard, ownUsage, spec);
    }

    /** How many more tasks of the job a shard's quota share admits beside this usage. */
    static int tasksWithinQuotaShare(
            ClusterMembership.Shard shard, Map<String, TeamUsage> usageByTeam, JobSpec spec) {
        ClusterMembership.QuotaShare quotaShare = shard.quotaShare(spec.team());
        TeamUsage usage = TeamUsage.of(usageByTeam, spec.team());
        return Tebas.taskCapacity(
                quotaShare.cpus() - usage.cpus(),
                Double.MAX_VALUE,
                quotaShare.gpus() - usage.gpus(),
                spec.cpus(),
                0,
                spec.gpus());
    }
}
