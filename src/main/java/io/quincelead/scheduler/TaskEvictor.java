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
 * Stops tasks that cannot go on where they are, whatever waits: of gangs that lost a task, and of
 * machines that are reclaimed or cordoned.
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
     * A gang that lost a task can't go on: the rest is stopped, and the next attempt starts when
     * all are gone. Of a gang that has completed nothing starts again: what isn't placed is
     * completed, and what is placed stays so until there is evidence of it, for the record entitles
     * the machine's owner, perhaps another controller that lags behind, to start it.
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
     * A machine with a reclaim notice is drained of what writes checkpoints or has not started; the
     * rest may still finish in time. Off a cordoned machine only what writes checkpoints and has
     * run for a while is moved, so that the machine can be returned sooner.
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
