package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreAccess;
import io.quincelead.transport.WireFormat;
import java.util.Map;

/**
 * Builds the commands for a worker: starts, only in heartbeat responses; kills, also sent
 * immediately; clears, only for terminations that are on record.
 */
final class WorkerCommands {
    private final EventLoop loop;
    private final StoreAccess store;
    private final ClusterMembership membership;
    private final JobTable jobs;

    WorkerCommands(EventLoop loop, StoreAccess store, ClusterMembership membership, JobTable jobs) {
        this.loop = loop;
        this.store = store;
        this.membership = membership;
        this.jobs = jobs;
    }

    /** Builds the response to the worker's last heartbeat and records the starts in it as sent. */
    ObjectNode buildHeartbeatResponse(ShardWorker worker) {
        ObjectNode response = WorkerMessageCodec.newHeartbeatResponse(worker.fencingToken);
        ArrayNode commands = WorkerMessageCodec.commandsOf(response);
        if (worker.phase() == ShardWorker.Phase.CLAIMED) {
            if (store.lease().isMember()) {
                commands.addAll(killsAndClears(worker));
            }
            if (store.lease().isValid() && membership.localShard() != null) {
                for (Placement placement : jobs.placementsOn(worker.host).values()) {
                    if (isStartDue(worker, placement)
                            && commands.size() < WorkerConstants.MAX_COMMANDS_PER_MESSAGE) {
                        WorkerMessageCodec.addStart(
                                commands, placement.taskId(), placement.attempt);
                        placement.recordStartSent(
                                worker.heartbeatAgentEpoch, worker.heartbeatSerial);
                    }
                }
            }
        }
        return response;
    }

    /**
     * Collects the kills to be sent immediately and records them as sent; null if there are none. A
     * kill of a task whose start wasn't sent changes nothing on the machine, but its response shows
     * immediately that the task isn't there.
     */
    ArrayNode collectDueKills(ShardWorker worker) {
        long now = loop.nowMillis();
        ArrayNode kills = null;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            boolean stoppable =
                    placement.phase() == Placement.Phase.REPORTED
                            && !placement.reportedState().equals(Heartbeat.STATUS_SAVING);
            if (!placement.shouldRun()
                    && (stoppable || placement.phase() == Placement.Phase.RECORDED)
                    && (placement.killSentAtMillis() == 0
                            || now - placement.killSentAtMillis()
                                    > WorkerConstants.KILL_RETRY_MILLIS)) {
                kills = kills == null ? WireFormat.newList() : kills;
                if (kills.size() < WorkerConstants.MAX_COMMANDS_PER_MESSAGE) {
                    WorkerMessageCodec.addKill(
                            kills, placement.taskId(), placement.attempt, graceSeconds(placement));
                    placement.recordKillSent(now);
                }
            }
        }
        return kills;
    }

    private boolean isStartDue(ShardWorker worker, Placement placement) {
        if (placement.isTerminated()
                || !placement.shouldRun()
                || worker.phase() != ShardWorker.Phase.CLAIMED
                || store.watchCache().storeRevision() < worker.grantRevision) {
            // A controller that is the leader applies its own grant before the watch delivers
            // what earlier owners of the machine recorded: a placement known so far may be out of
            // date, and its task may have been placed elsewhere since.
            return false;
        }
        return placement.phase() == Placement.Phase.RECORDED
                || TaskStatusReconciler.hasReportedSinceStart(worker, placement);
    }

    /**
     * Whether the worker's heartbeat should be answered now, because there are commands for the
     * worker or none can follow.
     */
    boolean isResponseDue(ShardWorker worker) {
        if (worker.phase() != ShardWorker.Phase.CLAIMED || !store.lease().isValid()) {
            return true;
        }
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            if (isStartDue(worker, placement)) {
                return true;
            }
        }
        return !killsAndClears(worker).isEmpty();
    }

    /**
     * Kills for the reported attempts that must not run, and clears for those whose termination is
     * on record.
     */
    private ArrayNode killsAndClears(ShardWorker worker) {
        ArrayNode commands = WireFormat.newList();
        Map<String, Placement> recorded = jobs.placementsOn(worker.host);
        for (Heartbeat.ReportedAttempt first : worker.reportedAttempts.values()) {
            Placement placement = recorded.get(first.taskId);
            for (Heartbeat.ReportedAttempt reported = first;
                    reported != null;
                    reported = reported.next()) {
                boolean isRecorded = placement != null && placement.attempt == reported.attempt;
                if (reported.isTerminated()) {
                    if (!isRecorded) {
                        WorkerMessageCodec.addClear(commands, reported.taskId, reported.attempt);
                    }
                } else if (!isRecorded) {
                    WorkerMessageCodec.addKill(commands, reported.taskId, reported.attempt, 0);
                } else if (!placement.shouldRun()
                        && !reported.status.equals(Heartbeat.STATUS_SAVING)) {
                    WorkerMessageCodec.addKill(
                            commands, reported.taskId, reported.attempt, graceSeconds(placement));
                } else if (placement.job.isCancelled()) {
                    WorkerMessageCodec.addKill(commands, reported.taskId, reported.attempt, 0);
                }
            }
        }
        return commands;
    }

    /**
     * The time that a killed task gets to save a last checkpoint; 0 for cancelled jobs and for jobs
     * without checkpoints.
     */
    private static double graceSeconds(Placement placement) {
        return placement.job.isCancelled() || placement.job.spec.checkpointIntervalSeconds() <= 0
                ? 0
                : Math.ceil(placement.job.spec.checkpointSeconds()) + 1;
    }
}
