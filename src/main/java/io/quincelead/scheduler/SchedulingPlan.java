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
 * that remain under them. Lives for one cycle and is never shared.
 */
final class SchedulingPlan {
    /** What the plan writes; filled when all else is decided. */
    final Transaction transaction = new Transaction();

    /** The edits by the page that they start from, in the order they were made. */
    final Map<TaskStatePage, TaskStatePageEdit> edits = new LinkedHashMap<>();

    /** Machines that accept tasks, by host. */
    final Map<String, FreeCapacity> machines = new LinkedHashMap<>();

    /** The same machines by what every job sees alike in them. */
    final Map<MachinePool.Key, MachinePool> pools = new LinkedHashMap<>();

    /**
     * What tasks of this controller's jobs use by team: those on record, less the terminations that
     * this very transaction puts on record. A termination that is only known here doesn't count:
     * were the machine to change owners before it is on record, the record would entitle the new
     * owner to start the task again, beside what took its place.
     */
    final Map<String, TeamUsage> ownUsage = new HashMap<>();

    /**
     * What tasks of all jobs use by team, without those known to have terminated: for the choice of
     * what to preempt.
     */
    final Map<String, TeamUsage> totalUsage = new HashMap<>();

    /** Jobs that should be escalated to the leader. */
    final List<Job> jobsToEscalate = new ArrayList<>();

    /** Jobs that this cycle would record for the first time. */
    final Set<Job> admittedJobs = new LinkedHashSet<>();

    /** Jobs within their team's guarantee. */
    Set<Job> jobsWithinGuarantee = Set.of();

    /**
     * Jobs of which no more tasks have started than they are entitled to by their age, with how
     * many that is.
     */
    final Map<Job, Integer> entitledTasksByStarvingJob = new HashMap<>();

    /** The own shard under which this plan is made. */
    final ClusterMembership.Shard shard;

    /** Whether this controller leads, and may place on all shards. */
    final boolean leading;

    final int shardCount;

    /** Records that the store's budget lets the transaction write. */
    final int writeBudget;

    final int maxTransactionOps;

    /** Whether there was more to write than the transaction holds. */
    boolean truncated;

    /** CPUs free on machines whose GPUs are not in demand; NaN when they have to be summed up. */
    private double cachedFreeCpus = Double.NaN;

    /** CPUs that best-effort work leaves free. */
    double urgentReserveCpus;

    /** Work that is kept from machines only because others need their GPUs. */
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

    /** Jobs that the plan records for the first time, each with its only page. */
    void addAdmittedJobs(List<Job> jobs) {
        admittedJobs.addAll(jobs);
        jobs.forEach(job -> edit(job, 0));
    }

    /**
     * How many records one transaction may hold: each needs two preconditions, beside those of the
     * leadership, the operators' records and the shards.
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

    /** Whether none fits if so many are reserved for others. */
    boolean isFull(int reservedRecords) {
        return edits.size()
                >= maxRecords(writeBudget, shardCount, maxTransactionOps) - reservedRecords;
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

    /** The pool of such machines; made if there is none. */
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

    /** Tasks that are placed by this plan take capacity of a machine. */
    void allocate(FreeCapacity machine, JobSpec spec, int tasks) {
        machine.allocate(spec, tasks);
        cachedFreeCpus = Double.NaN;
    }

    /**
     * The edit of a page, with the terminations known by evidence; null when one more does not fit
     * the transaction.
     */
    TaskStatePageEdit edit(Job job, int pageIndex) {
        TaskStatePage page = job.pageOrEmpty(pageIndex);
        TaskStatePageEdit edit = edits.get(page);
        if (edit == null) {
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

    /** The edit of the page that the placement is on; null as above. */
    TaskStatePageEdit edit(Placement placement) {
        return edit(placement.job, placement.taskIndex / RecordConstants.TASKS_PER_STATE_PAGE);
    }

    /** Tasks of the job that may be placed and are not by this plan. */
    int unplacedTasks(Job job) {
        int tasks = job.waitingTaskCount();
        for (int pageIndex = 0; !edits.isEmpty() && pageIndex < job.pages.length; pageIndex++) {
            TaskStatePage page = job.pageOrEmpty(pageIndex);
            TaskStatePageEdit edit = edits.get(page);
            tasks += edit == null ? 0 : edit.placeableTaskCount() - waitingTasks(page);
        }
        return tasks;
    }

    /** The same of one page. */
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

    /** The same, also on the others if {@code anywhere}. */
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

    /** Whether the plan changes the state of any task of the job. */
    boolean hasChangesOf(Job job) {
        return edits.values().stream().anyMatch(e -> e.page().job == job && e.isChanged());
    }

    /** How many more tasks of the job its team's quota share here lets in. */
    int tasksWithinQuotaShare(JobSpec spec) {
        return tasksWithinQuotaShare(shard, ownUsage, spec);
    }

    /** How many more tasks of the job a shard's quota share lets in beside that usage. */
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
