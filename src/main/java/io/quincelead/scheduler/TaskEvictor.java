package io.quincelead.scheduler;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.cluster.TaskStatePageEdit;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.worker.ShardWorker;
import io.quincelead.worker.WorkerGateway;
import java.util.List;

/**
 * Stops tasks that cannot continue where they are, whether or not other work waits: tasks of gangs
 * that lost a task, and tasks on machines that are reclaimed or cordoned.
 */
final class TaskEvictor {
    private final EventLoop loop;
    private final JobTable jobs;
    private final MachineTable machines;
    private final WorkerGateway workerGateway;

    TaskEvictor(EventLoop loop, ClusterView cluster, WorkerGateway workerGateway) {
        this.loop = loop;
        this.jobs = cluster.jobs();
        this.machines = cluster.machines();
        this.workerGateway = workerGateway;
    }

    /**
     * Stops the remaining tasks of gangs that lost a task; the next attempt starts when all of them
     * are gone. No task of a completed gang starts again: tasks without a placement are completed,
     * and placed tasks stay placed until there is evidence of their termination, because the record
     * entitles the machine's owner, perhaps another controller that lags behind, to start them.
     */
    void reconcileGangs(SchedulingPlan plan) {
        for (Job job : jobs.all()) {
            if (!job.spec.isGang() || job.isCancelled()) {
                continue;
            }
            if (job.isCompletedGang()) {
                if (job.controllerId().equals(plan.shard.ownerId())) {
                    completeUnplacedTasks(plan, job);
                }
            } else if (job.placedTaskCount() > 0 && isBroken(job)) {
                stopAllTasks(plan, job);
            }
        }
    }

    private static void completeUnplacedTasks(SchedulingPlan plan, Job gang) {
        if (gang.pendingTaskCount() == 0) {
            return;
        }
        for (int pageIndex = 0; pageIndex < gang.pages.length; pageIndex++) {
            if (gang.pageOrEmpty(pageIndex).pendingTaskCount() > 0) {
                TaskStatePageEdit edit = plan.edit(gang, pageIndex);
                if (edit != null) {
                    edit.markPendingCompleted();
                }
            }
        }
    }

    private static boolean isBroken(Job gang) {
        boolean broken = gang.placedTaskCount() + gang.completedTaskCount() < gang.spec.taskCount();
        for (TaskStatePage page : gang.pages) {
            for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                broken |= placement.stopRequested || placement.phase() == Placement.Phase.GONE;
            }
        }
        return broken;
    }

    private static void stopAllTasks(SchedulingPlan plan, Job job) {
        for (TaskStatePage page : job.pages) {
            for (Placement placement : page == null ? List.<Placement>of() : page.placements) {
                stopTask(plan, placement);
            }
        }
    }

    private static void stopTask(SchedulingPlan plan, Placement placement) {
        if (!placement.stopRequested && !placement.isTerminated()) {
            TaskStatePageEdit edit = plan.edit(placement);
            if (edit != null) {
                edit.requestStop(placement.taskIndex);
            }
        }
    }

    /**
     * Evicts tasks from reclaimed and cordoned machines. From a machine with a reclaim notice,
     * tasks that write checkpoints or have not started are evicted; the rest may still complete in
     * time. From a cordoned machine, only tasks that write checkpoints and have run for a while are
     * evicted, so that the machine can be released sooner.
     */
    void drainMachines(SchedulingPlan plan) {
        for (ShardWorker worker : workerGateway.workers()) {
            boolean reclaimed = worker.isBeingReclaimed();
            if (!reclaimed && !machines.cordonedHosts().contains(worker.host)) {
                continue;
            }
            for (Placement placement : jobs.placementsOn(worker.host).values()) {
                if (mustLeave(placement, reclaimed) && !placement.job.isCancelled()) {
                    stopTask(plan, placement);
                }
            }
        }
    }

    private boolean mustLeave(Placement placement, boolean reclaimed) {
        JobSpec spec = placement.job.spec;
        boolean checkpoints = spec.checkpointIntervalSeconds() > 0 || spec.isService();
        if (reclaimed) {
            return checkpoints || placement.runningSinceMillis() == 0;
        }
        return checkpoints
                && !spec.isGang()
                && placement.runningSinceMillis() > 0
                && loop.nowMillis() - placement.runningSinceMillis()
                        > SchedulerConstants.MIN_RUN_BEFORE_MOVE_MILLIS;
    }
}
