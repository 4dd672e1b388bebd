package io.quincelead.worker;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles placements with what workers report: which tasks run, which have terminated, and
 * whether a failure is attributed to the machine or to the job. It concludes nothing from elapsed
 * time alone.
 */
final class TaskStatusReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStatusReconciler.class);
    private final EventLoop loop;
    private final JobTable jobs;
    private final WorkerGateway.Callbacks callbacks;

    TaskStatusReconciler(EventLoop loop, JobTable jobs, WorkerGateway.Callbacks callbacks) {
        this.loop = loop;
        this.jobs = jobs;
        this.callbacks = callbacks;
    }

    /**
     * Takes a worker's task list as evidence if the message is newer than all earlier ones and
     * bears this controller's fencing token. The response to a direct command ({@code /orders}) may
     * overtake a heartbeat response, so it never proves that a start in that heartbeat response
     * didn't arrive.
     *
     * @param isHeartbeatRequest true for a heartbeat, false for the response to a direct command
     * @return whether the message is newer than all earlier ones from this worker
     */
    boolean reconcile(ShardWorker worker, Heartbeat heartbeat, boolean isHeartbeatRequest) {
        long agentEpoch = heartbeat.agentEpoch;
        long serial = heartbeat.serial;
        if (!Heartbeat.isNewer(agentEpoch, serial, worker.agentEpoch, worker.serial)) {
            return false;
        }
        worker.agentEpoch = agentEpoch;
        worker.serial = serial;
        if (isHeartbeatRequest) {
            worker.recordHeartbeat();
            worker.heartbeatAgentEpoch = agentEpoch;
            worker.heartbeatSerial = serial;
        }
        worker.lastContactAtMillis =
                isHeartbeatRequest || !worker.hasMadeContact
                        ? loop.nowMillis()
                        : worker.lastContactAtMillis;
        worker.hasMadeContact = true;
        if (heartbeat.reclaimNoticeSeconds >= 0) {
            if (worker.reclaimNoticeSeconds < 0) {
                LOG.info(
                        "machine {} is reclaimed in {} s",
                        worker.host,
                        heartbeat.reclaimNoticeSeconds);
                callbacks.requestCycle();
            }
            worker.reclaimNoticeSeconds = heartbeat.reclaimNoticeSeconds;
            worker.reclaimNoticeAtMillis = loop.nowMillis();
        }
        if (heartbeat.fencingToken != worker.fencingToken) {
            return true;
        }
        if (worker.phase() == ShardWorker.Phase.CLAIMING) {
            worker.transitionTo(ShardWorker.Phase.CLAIMED);
            callbacks.requestCycle();
        }
        worker.reportedAttempts = heartbeat.attempts;
        if (isHeartbeatRequest) {
            checkStartDelivery(worker);
        }
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            reconcileTask(
                    worker,
                    placement,
                    Heartbeat.ReportedAttempt.find(
                            worker.reportedAttempts.get(placement.taskId()), placement.attempt));
        }
        return true;
    }

    /**
     * Checks whether the starts that were sent but not yet reported have arrived. Only those starts
     * are checked, because this runs for every heartbeat.
     */
    private void checkStartDelivery(ShardWorker worker) {
        boolean anyArrived = false;
        boolean anyMissing = false;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            if (placement.phase() == Placement.Phase.START_SENT) {
                boolean arrived =
                        Heartbeat.ReportedAttempt.find(
                                        worker.reportedAttempts.get(placement.taskId()),
                                        placement.attempt)
                                != null;
                anyArrived |= arrived;
                anyMissing |= !arrived && hasReportedSinceStart(worker, placement);
            }
        }
        worker.recordStartDelivery(anyArrived, anyMissing);
    }

    /**
     * Whether the worker has sent another heartbeat since the response that carried the placement's
     * start, or its agent has restarted, which discards that response.
     */
    static boolean hasReportedSinceStart(ShardWorker worker, Placement placement) {
        return placement.phase() == Placement.Phase.START_SENT
                && (Heartbeat.isNewer(
                                worker.heartbeatAgentEpoch,
                                worker.heartbeatSerial,
                                placement.startSentAgentEpoch(),
                                placement.startSentSerial())
                        || worker.agentEpoch > placement.startSentAgentEpoch());
    }

    private void reconcileTask(
            ShardWorker worker, Placement placement, Heartbeat.ReportedAttempt reported) {
        if (placement.isTerminated()) {
            return;
        }
        if (reported == null) {
            reconcileMissingTask(worker, placement);
            return;
        }
        if (!reported.isTerminated()) {
            placement.transitionTo(Placement.Phase.REPORTED);
            if (reported.status.equals(Heartbeat.STATUS_RUNNING)
                    && placement.runningSinceMillis() == 0) {
                placement.recordRunningSince(loop.nowMillis());
            }
            placement.recordReportedState(reported.status);
            return;
        }
        reconcileTerminatedTask(worker, placement, reported.exitReason);
    }

    private void reconcileMissingTask(ShardWorker worker, Placement placement) {
        if (placement.phase() == Placement.Phase.REPORTED) {
            recordTermination(worker, placement, "no longer on");
        } else if (hasReportedSinceStart(worker, placement)
                || placement.phase() == Placement.Phase.RECORDED) {
            // The start wasn't sent or didn't arrive. The placement is still on record, so the
            // start may be sent (again), unless the task should not run or no start can reach the
            // worker.
            if (!placement.shouldRun()
                    || worker.isUnreachableInbound()
                    || worker.isHeartbeatOverdue()) {
                recordTermination(worker, placement, "never reached");
            }
        }
    }

    private void reconcileTerminatedTask(
            ShardWorker worker, Placement placement, String exitReason) {
        Job job = placement.job;
        switch (exitReason) {
            case "done" -> {
                placement.transitionTo(Placement.Phase.COMPLETED);
                worker.consecutiveFailures = 0;
                worker.failedJobIds.clear();
                job.recordSuccess();
                callbacks.onTaskTerminated(placement);
            }
            case "error" -> {
                recordFailure(worker, job);
                recordTermination(worker, placement, "failed on");
            }
            case "full" -> {
                worker.fullUntilMillis =
                        loop.nowMillis() + WorkerConstants.REFUSED_START_PAUSE_MILLIS;
                recordTermination(worker, placement, "refused (full) by");
            }
            case "busy" -> {
                // Another attempt of the task is on the machine: the task may be placed elsewhere
                // only when that attempt has terminated.
                Heartbeat.ReportedAttempt first = worker.reportedAttempts.get(placement.taskId());
                if (first != null && first.isTerminated()) {
                    recordTermination(worker, placement, "refused (busy) by");
                }
            }
            case "unknown" -> {
                job.postponeStarts(loop.nowMillis() + WorkerConstants.JOB_BACKOFF_INITIAL_MILLIS);
                recordTermination(worker, placement, "refused (unknown) by");
            }
            default -> recordTermination(worker, placement, "stopped (" + exitReason + ") on");
        }
    }

    private void recordTermination(ShardWorker worker, Placement placement, String reason) {
        LOG.debug(
                "task {} attempt {} {} {}",
                placement.taskId(),
                placement.attempt,
                reason,
                worker.host);
        placement.transitionTo(Placement.Phase.GONE);
        callbacks.onTaskTerminated(placement);
    }

    /**
     * Attributes a task's failure to the machine if other jobs fail there too or the job succeeds
     * elsewhere; otherwise to the job, whose starts are then postponed with backoff.
     */
    private void recordFailure(ShardWorker worker, Job job) {
        worker.consecutiveFailures++;
        worker.failedJobIds.add(job.spec.jobId());
        job.recordFailure(worker.host);
        // Tasks whose completion other controllers recorded count, too, because this process may
        // have started only recently.
        if (job.successCount() == 0
                && job.completedTaskCount() == 0
                && job.consecutiveFailures() >= 2
                && worker.failedJobIds.size() == 1) {
            // If the job has failed often and only on this machine, no further evidence will tell
            // whether the machine or the job is at fault: the machine is declared lost, but only
            // once.
            boolean failsOnlyOnThisHost =
                    job.failedHostCount() == 1
                            && job.consecutiveFailures()
                                    >= WorkerConstants.SINGLE_JOB_FAILURES_BEFORE_DECLARED_LOST;
            worker.consecutiveFailures =
                    failsOnlyOnThisHost
                            ? WorkerConstants.FAILURES_BEFORE_DECLARED_LOST
                            : Math.min(
                                    worker.consecutiveFailures,
                                    WorkerConstants.FAILURES_BEFORE_DECLARED_LOST - 1);
        }
        if (job.consecutiveFailures() >= 2) {
            long backoffMillis =
                    WorkerConstants.JOB_BACKOFF_INITIAL_MILLIS
                            << Math.min(job.consecutiveFailures() - 2, 10);
            job.postponeStarts(
                    loop.nowMillis()
                            + Math.min(backoffMillis, WorkerConstants.JOB_BACKOFF_MAX_MILLIS));
        }
    }
}
