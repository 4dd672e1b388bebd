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
 * whether a failure is the machine's or the job's. Nothing follows from time alone.
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
     * Takes a worker's task list as evidence, if it is newer than all before and bears our fencing
     * token. A response to {@code /orders} may overtake a heartbeat response, so it never proves
     * that a start of ours did not arrive.
     *
     * @param isHeartbeatRequest whether this is a heartbeat, not a response to a direct command
     * @return whether the message is newer than all before
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
     * Checks whether the starts that were sent and not yet observed have arrived: only those, for
     * every heartbeat passes here.
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
     * Whether the machine has sent another heartbeat since the response that carried the start, or
     * has begun another agent epoch, which drops that response.
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
            terminate(worker, placement, "no longer on");
        } else if (hasReportedSinceStart(worker, placement)
                || placement.phase() == Placement.Phase.RECORDED) {
            // It never arrived there. The record stands, so its start may be sent (again),
            // unless it is unwanted or nothing arrives.
            if (!placement.shouldRun()
                    || worker.isUnreachableInbound()
                    || worker.isHeartbeatOverdue()) {
                terminate(worker, placement, "never reached");
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
                terminate(worker, placement, "failed on");
            }
            case "full" -> {
                worker.fullUntilMillis =
                        loop.nowMillis() + WorkerConstants.REFUSED_START_PAUSE_MILLIS;
                terminate(worker, placement, "refused (full) by");
            }
            case "busy" -> {
                // Another attempt of the task is there: only its end makes the task free to go
                // elsewhere.
                Heartbeat.ReportedAttempt first = worker.reportedAttempts.get(placement.taskId());
                if (first != null && first.isTerminated()) {
                    terminate(worker, placement, "refused (busy) by");
                }
            }
            case "unknown" -> {
                job.postponeStarts(loop.nowMillis() + WorkerConstants.JOB_BACKOFF_INITIAL_MILLIS);
                terminate(worker, placement, "refused (unknown) by");
            }
            default -> terminate(worker, placement, "stopped (" + exitReason + ") on");
        }
    }

    private void terminate(ShardWorker worker, Placement placement, String reason) {
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
     * Counts a failure against the machine if other jobs fail there too or the job succeeds
     * elsewhere; else against the job, which backs off.
     */
    private void recordFailure(ShardWorker worker, Job job) {
        worker.consecutiveFailures++;
        worker.failedJobIds.add(job.spec.jobId());
        job.recordFailure(worker.host);
        // Completions that other controllers saw count too: this process may be new.
        if (job.successCount() == 0
                && job.completedTaskCount() == 0
                && job.consecutiveFailures() >= 2
                && worker.failedJobIds.size() == 1) {
            // Where it has failed often and on no other machine, nothing will ever show whose fault
            // it is: the machine is declared lost, once.
            boolean failsOnlyHere =
                    job.failedHostCount() == 1
                            && job.consecutiveFailures()
                                    >= WorkerConstants.SINGLE_JOB_FAILURES_BEFORE_DECLARED_LOST;
            worker.consecutiveFailures =
                    failsOnlyHere
                            ? WorkerConstants.SUSPECT_AFTER_FAILURES
                            : Math.min(
                                    worker.consecutiveFailures,
                                    WorkerConstants.SUSPECT_AFTER_FAILURES - 1);
        }
        if (job.consecutiveFailures() >= 2) {
            long pauseMillis =
                    WorkerConstants.JOB_BACKOFF_INITIAL_MILLIS
                            << Math.min(job.consecutiveFailures() - 2, 10);
            job.postponeStarts(
                    loop.nowMillis()
                            + Math.min(pauseMillis, WorkerConstants.JOB_BACKOFF_MAX_MILLIS));
        }
    }
}
