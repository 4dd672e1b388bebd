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

/** A machine of our shard and what we know of it under its current fencing token. */
public final class ShardWorker {
    /** States of a machine of our shard; only {@link #transitionTo} changes them. */
    public enum Phase {
        /**
         * Granted; no message bearing our token has come from it. Nothing may be concluded or
         * started.
         */
        CLAIMING,
        /** It has shown our token: its heartbeats are evidence. */
        CLAIMED,
        /** It is declared lost: its release is on record or being recorded. */
        RELEASING
    }

    private static final Logger LOG = LoggerFactory.getLogger(ShardWorker.class);
    private final EventLoop loop;
    private final JobTable jobs;
    private final double heartbeatIntervalSeconds;
    private final long silenceTimeoutMillis;

    /** The machine's name. */
    public final String host;

    /** The token of the grant; every command bears it. */
    public final long fencingToken;

    /**
     * Store revision of the grant: until the watch has passed it, records of what was placed there
     * before may be out of date.
     */
    final long grantRevision;

    private Phase phase = Phase.CLAIMING;
    String address;
    long agentEpoch = -1;
    long serial = -1;
    long heartbeatAgentEpoch = -1;
    long heartbeatSerial = -1;

    /**
     * When its last heartbeat came or, before any, its first response to a command: a machine that
     * only responds gets no start and reaches nobody.
     */
    long lastContactAtMillis;

    long lastHeartbeatAtMillis;

    /** Whether anything came from it under this token: before, it may still be booting. */
    boolean hasMadeContact;

    long lastClaimAtMillis;
    double reclaimNoticeSeconds = -1;
    long reclaimNoticeAtMillis;

    /**
     * Heartbeats in a row that didn't show what the response to an earlier one had started; below,
     * when the first of them came.
     */
    int heartbeatsMissingStart;

    long startMissingSinceMillis;

    /** When its first heartbeat came, -1 before; a booting machine is granted long before. */
    private long firstHeartbeatAtMillis = -1;

    int consecutiveFailures;
    final Set<String> failedJobIds = new HashSet<>();
    long fullUntilMillis;
    Map<String, Heartbeat.ReportedAttempt> reportedAttempts = Map.of();
    IncomingRequest deferredRequest;
    long deferredUntilMillis;
    boolean deferredForFutureStart;

    /**
     * A machine that has just been granted.
     *
     * @param silenceTimeoutMillis the silence after which a machine is dead or hangs
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

    /** Whether this heartbeat, or one that the worker sent after it, came before. */
    boolean isStale(Heartbeat heartbeat) {
        return !Heartbeat.isNewer(
                heartbeat.agentEpoch, heartbeat.serial, heartbeatAgentEpoch, heartbeatSerial);
    }

    /**
     * Whether it sends heartbeats that show again and again that our responses don't reach it. What
     * we start there never begins, and what it runs ends with its lease, though it seems healthy.
     */
    boolean isUnreachableInbound() {
        return heartbeatsMissingStart >= WorkerConstants.UNREACHABLE_INBOUND_AFTER_HEARTBEATS;
    }

    /** Whether it has sent heartbeats for that long without showing that it gets our responses. */
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
     * Whether its heartbeat is missing for so long that it may reach nobody: no start can be sent
     * to it, but it may respond to commands. Its bound is that of {@link #isSchedulable}; at the
     * bound itself a worker is neither overdue nor schedulable.
     */
    boolean isHeartbeatOverdue() {
        return phase == Phase.CLAIMED
                && loop.nowMillis() - lastContactAtMillis > silenceTimeoutMillis / 2;
    }

    /** It has carried out a direct command. */
    void recordCommandAccepted() {
        heartbeatsMissingStart = 0;
    }

    /**
     * A heartbeat has shown that a start of ours arrived, or that one that must have arrived by now
     * is missing.
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

    /** Whether new tasks may be placed there. */
    public boolean isSchedulable() {
        return phase == Phase.CLAIMED
                && !isUnreachableInbound()
                && reclaimNoticeSeconds < 0
                && consecutiveFailures < WorkerConstants.SUSPECT_AFTER_FAILURES
                && loop.nowMillis() >= fullUntilMillis
                && loop.nowMillis() - lastContactAtMillis < silenceTimeoutMillis / 2;
    }

    /** Seconds until a start can be sent to it; 0 while a heartbeat response is deferred. */
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

    /** Whether the cloud has announced that it takes the machine back. */
    public boolean isBeingReclaimed() {
        return reclaimNoticeSeconds >= 0;
    }

    /** Seconds until the cloud takes the machine back; meaningful only if that is announced. */
    public double reclaimSecondsLeft() {
        return reclaimNoticeSeconds - (loop.nowMillis() - reclaimNoticeAtMillis) / 1000.0;
    }

    /** Whether nothing shows that it ever came up: no message, no placement. */
    public boolean isBooting() {
        return !hasMadeContact && jobs.placementsOn(host).isEmpty();
    }
}
