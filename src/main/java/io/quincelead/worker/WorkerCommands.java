package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.Map;

/**
 * What a worker is told: starts, only in answers to reports; kills, at once; clears, only of ends
 * that are on record.
 */
final class WorkerCommands {
    private final EventLoop loop;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final ClusterMembership shards;
    private final JobTable jobs;

    WorkerCommands(
            EventLoop loop,
            MembershipLease membershipLease,
            WatchCache watchCache,
            ClusterMembership shards,
            JobTable jobs) {
        this.loop = loop;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.shards = shards;
        this.jobs = jobs;
    }

    /** The answer to the worker's last report; the starts in it count as sent. */
    ObjectNode buildHeartbeatResponse(ShardWorker worker) {
        ObjectNode response = WireFormat.newMap().put("epoch", worker.fencingToken);
        ArrayNode commands = response.putArray("orders");
        if (worker.phase() == ShardWorker.Phase.FENCED) {
            if (membershipLease.isMember()) {
                commands.addAll(killsAndClears(worker));
            }
            if (membershipLease.isValid() && shards.localShard() != null) {
                for (Placement placement : jobs.placementsOn(worker.host).values()) {
                    if (isStartDue(worker, placement)
                            && commands.size() < WorkerConstants.MAX_COMMANDS_PER_MESSAGE) {
                        commands.addObject()
                                .put("verb", "start")
                                .put("member", placement.taskName())
                                .put("try", placement.attempt);
                        placement.recordStartSent(
                                worker.heartbeatAgentEpoch, worker.heartbeatSerial);
                    }
                }
            }
        }
        return response;
    }

    /**
     * Kills to be sent at once; null if there are none. A kill of what we have sent no start of
     * changes nothing on the machine, but its answer shows at once that the task isn't there.
     */
    ArrayNode collectDueKills(ShardWorker worker) {
        long now = loop.nowMillis();
        ArrayNode kills = null;
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            boolean stoppable =
                    placement.phase() == Placement.Phase.OBSERVED
                            && !placement.reportedState().equals("saving");
            if (!isWanted(placement)
                    && (stoppable || placement.phase() == Placement.Phase.RECORDED)
                    && (placement.killSentAtMillis() == 0
                            || now - placement.killSentAtMillis()
                                    > WorkerConstants.KILL_RETRY_MILLIS)) {
                kills = kills == null ? WireFormat.newList() : kills;
                if (kills.size() < WorkerConstants.MAX_COMMANDS_PER_MESSAGE) {
                    addKill(
                            kills,
                            placement.taskName(),
                            placement.attempt,
                            graceSeconds(placement));
                    placement.recordKillSent(now);
                }
            }
        }
        return kills;
    }

    private boolean isWanted(Placement placement) {
        return !placement.stopRequested && !placement.job.isCancelled();
    }

    private boolean isStartDue(ShardWorker worker, Placement placement) {
        if (placement.isTerminated()
                || !isWanted(placement)
                || worker.phase() != ShardWorker.Phase.FENCED
                || watchCache.storeRevision() < worker.grantRevision) {
            // A leader applies its own grant before the watch brings what its predecessors on that
            // machine recorded:
            // a start by such a record could be of a task that has been placed elsewhere since.
            return false;
        }
        return placement.phase() == Placement.Phase.RECORDED
                || TaskStatusReconciler.hasReportedSinceStart(worker, placement);
    }

    /** Whether there is something to tell the worker. */
    boolean hasCommands(ShardWorker worker) {
        if (worker.phase() != ShardWorker.Phase.FENCED || !membershipLease.isValid()) {
            return true;
        }
        for (Placement placement : jobs.placementsOn(worker.host).values()) {
            if (isStartDue(worker, placement)) {
                return true;
            }
        }
        return !killsAndClears(worker).isEmpty();
    }

    /** Kills for what must not run and clears for ends that are on record. */
    private ArrayNode killsAndClears(ShardWorker worker) {
        ArrayNode commands = WireFormat.newList();
        Map<String, Placement> recorded = jobs.placementsOn(worker.host);
        for (Heartbeat.ReportedAttempt first : worker.reportedTasks.values()) {
            Placement placement = recorded.get(first.taskId);
            for (Heartbeat.ReportedAttempt reported = first;
                    reported != null;
                    reported = reported.next()) {
                boolean isRecorded = placement != null && placement.attempt == reported.attempt;
                if (reported.isTerminated()) {
                    if (!isRecorded) {
                        commands.addObject()
                                .put("verb", "clear")
                                .put("member", reported.taskId)
                                .put("try", reported.attempt);
                    }
                } else if (!isRecorded) {
                    addKill(commands, reported.taskId, reported.attempt, 0);
                } else if (!isWanted(placement) && !reported.status.equals("saving")) {
                    addKill(commands, reported.taskId, reported.attempt, graceSeconds(placement));
                } else if (placement.job.isCancelled()) {
                    addKill(commands, reported.taskId, reported.attempt, 0);
                }
            }
        }
        return commands;
    }

    private static void addKill(
            ArrayNode commands, String taskId, long attempt, double graceSeconds) {
        commands.addObject()
                .put("verb", "kill")
                .put("member", taskId)
                .put("try", attempt)
                .put("drainS", graceSeconds);
    }

    private static double graceSeconds(Placement placement) {
        return placement.job.isCancelled() || placement.job.spec.checkpointIntervalSeconds() <= 0
                ? 0
                : Math.ceil(placement.job.spec.checkpointSeconds()) + 1;
    }
}
