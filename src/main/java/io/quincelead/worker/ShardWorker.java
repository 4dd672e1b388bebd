package io.quincelead.worker;

import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.IncomingRequest;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A machine of this controller's shard, with what this controller has learned about it under its
 * current fencing token.
 */
public final class ShardWorker {
    /** States of a machine of this controller's shard; only {@link #transitionTo} changes them. */
    public enum Phase {
        /**
         * The machine is granted to this controller, but no message bearing the grant's fencing
         * token has come from it. No conclusions may be drawn and no tasks started.
         */
        CLAIMING,
        /**
         * A message from the machine has borne the grant's fencing token: its heartbeats are
         * evidence.
         */
        CLAIMED,
        /** The machine is declared lost: its release is on record or being recorded. */
        RELEASING
    }

    private static final Logger LOG = LoggerFactory.getLogger(ShardWorker.class);
    private final EventLoop loop;
    private final JobTable jobs;
    private final double heartbeatIntervalSeconds;
    private final long silenceTimeoutMillis;

    /** The machine's ID. */
    public final String host;

    /** The fencing token of the grant; every command bears it. */
    public final long fencingToken;

    /**
     * Store revision of the grant: until the watch has passed it, the records of tasks that were
     * placed on the machine before may be out of date.
     */
    final long grantRevision;

    private Phase phase = Phase.CLAIMING;
    String address;
    long agentEpoch = -1;
    long serial = -1;
    long heartbeatAgentEpoch = -1;
    long heartbeatSerial = -1;

    /**
     * When the machine's last heartbeat arrived or, before the first heartbeat, its first response
     * to a command. Later responses don't count, because a machine that only responds to commands
     * can be sent no starts and reaches no controller by itself.
     */
    long lastContactAtMillis;

    long lastHeartbeatAtMillis;

    /**
     * Whether any message has come from the machine under this grant; until then it may still be
     * booting.
     */
    boolean hasMadeContact;

    long lastClaimAtMillis;
    double reclaimNoticeSeconds = -1;
    long reclaimNoticeAtMillis;

    /**
     * Number of consecutive heartbeats that didn't show a task started by an earlier heartbeat
     * response.
     */
    int heartbeatsMissingStart;

    /** When the first heartbeat counted in {@link #heartbeatsMissingStart} arrived. */
    long startMissingSinceMillis;

    /**
     * When the machine's first heartbeat arrived; -1 before that. A booting machine is granted long
     * before it sends one.
     */
    private long firstHeartbeatAtMillis = -1;

    int consecutiveFailures;
    final Set<String> failedJobIds = new HashSet<>();
    long fullUntilMillis;
    Map<String, Heartbeat.ReportedAttempt> reportedAttempts = Map.of();
    IncomingRequest deferredRequest;
    long deferredUntilMillis;
    boolean deferredForFutureStart;

    /**
     * Creates the state of a machine that has just been granted.
     *
     * @param silenceTimeoutMillis the time without messages after which a machine is considered
     *     dead or hung
     * @param grantRevision the store revision of the grant
     */
    ShardWorker(
            EventLoop loop,
            JobTable jobs,
            double heartbeatIntervalSeconds,
            long silenceTimeoutMillis,
            String host,
            long fencingToken,
            long grantRevision) {
        this.loop = loop;
        this.jobs = jobs;
        this.heartbeatIntervalSeconds = heartbeatIntervalSeconds;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
        this.host = host;
        this.fencingToken = fencingToken;
        this.grantRevision = grantRevision;
        this.lastContactAtMillis = loop.nowMillis();
    }

    Phase phase() {
        return phase;
    }

    void transitionTo(Phase next) {
        if (phase != next) {
            LOG.debug("machine {} {} -> {}", host, phase, next);
            phase = next;
        }
    }

    /** Whether this heartbeat, or one that the worker sent after it, has arrived before. */
    boolean isStale(Heartbeat heartbeat) {
        return !Heartbeat.isNewer(
                heartbeat.agentEpoch, heartbeat.serial, heartbeatAgentEpoch, heartbeatSerial);
    }

    /**
     * Whether consecutive heartbeats have shown that this controller's responses don't reach the
     * worker. Tasks started there never begin, and running tasks end when the worker's lease
     * expires, although the worker seems healthy.
     */
    boolean isUnreachableInbound() {
        return heartbeatsMissingStart >= WorkerConstants.UNREACHABLE_INBOUND_AFTER_HEARTBEATS;
    }

    /**
     * Whether the worker has sent heartbeats for longer than {@code millis} without showing that it
     * receives this controller's responses.
     */
    boolean isUnreachableInboundFor(long millis) {
        return isUnreachableInbound()
                ? loop.nowMillis() - startMissingSinceMillis > millis
                : phase == Phase.CLAIMING
                        && firstHeartbeatAtMillis >= 0
                        && loop.nowMillis() - firstHeartbeatAtMillis > millis;
    }

    void recordHeartbeat() {
        lastHeartbeatAtMillis = loop.nowMillis();
        firstHeartbeatAtMillis =
                firstHeartbeatAtMillis < 0 ? lastHeartbeatAtMillis : firstHeartbeatAtMillis;
    }

    /**
     * Whether the worker's heartbeat has been missing for so long that the worker may be unable to
     * reach any controller: no start can be sent to it, but it may respond to commands. The time
     * limit is the same as in {@link #isSchedulable}; exactly at the limit a worker is neither
     * overdue nor schedulable.
     */
    boolean isHeartbeatOverdue() {
        return phase == Phase.CLAIMED
                && loop.nowMillis() - lastContactAtMillis > silenceTimeoutMillis / 2;
    }

    /** Records that the worker has executed a direct command, so it is reachable inbound. */
    void recordCommandAccepted() {
        heartbeatsMissingStart = 0;
    }

    /**
     * Records that a heartbeat has shown whether starts arrived: any that arrived, or any missing
     * that must have arrived by now.
     */
    void recordStartDelivery(boolean anyArrived, boolean anyMissing) {
        if (anyArrived) {
            heartbeatsMissingStart = 0;
        } else if (anyMissing) {
            startMissingSinceMillis =
                    heartbeatsMissingStart == 0 ? loop.nowMillis() : startMissingSinceMillis;
            heartbeatsMissingStart++;
        }
    }

    /** Whether new tasks may be placed on the machine. */
    public boolean isSchedulable() {
        return phase == Phase.CLAIMED
                && !isUnreachableInbound()
                && reclaimNoticeSeconds < 0
                && consecutiveFailures < WorkerConstants.FAILURES_BEFORE_DECLARED_LOST
                && loop.nowMillis() >= fullUntilMillis
                && loop.nowMillis() - lastContactAtMillis < silenceTimeoutMillis / 2;
    }

    /**
     * Estimated seconds until a start can be sent to the worker; 0 while a heartbeat response is
     * deferred.
     */
    public double startDelaySeconds() {
        return deferredRequest != null
                ? 0
                : Math.max(
                        0,
                        Math.min(
                                heartbeatIntervalSeconds,
                                heartbeatIntervalSeconds
                                        - (loop.nowMillis() - lastHeartbeatAtMillis) / 1000.0));
    }

    /** Whether the cloud has given notice that it will reclaim the machine. */
    public boolean isBeingReclaimed() {
        return reclaimNoticeSeconds >= 0;
    }

    /** Seconds until the cloud reclaims the machine; meaningful only after a reclaim notice. */
    public double reclaimSecondsLeft() {
        return reclaimNoticeSeconds - (loop.nowMillis() - reclaimNoticeAtMillis) / 1000.0;
    }

    /**
     * Whether nothing shows that the machine has ever finished booting: it has sent no message and
     * has no placement.
     */
    public boolean isBooting() {
        return !hasMadeContact && jobs.placementsOn(host).isEmpty();
    }
}
