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

/** A machine of our block and what we know of it under the current term. */
public final class ShardWorker {
    /**
     * States of a machine of our block; {@link #transitionTo} is the one function that changes
     * them.
     */
    public enum Phase {
        /**
         * Granted; no message bearing our term has come from it. Nothing may be concluded or
         * started.
         */
        CLAIMING,
        /** It has shown our term: its reports are evidence. */
        FENCED,
        /** Its return has been recorded or is being recorded. */
        LEAVING
    }

    private static final Logger LOG = LoggerFactory.getLogger(ShardWorker.class);
    private final EventLoop loop;
    private final JobTable jobs;
    private final double heartbeatIntervalSeconds;
    private final long silenceTimeoutMillis;
    public final String host;
    public final long fencingToken;

    /**
     * Generation of the grant: until the watch has passed it, records of what was there before may
     * be out of date.
     */
    final long grantRevision;

    private Phase phase = Phase.CLAIMING;
    String address;
    long agentEpoch = -1;
    long serial = -1;
    long heartbeatAgentEpoch = -1;
    long heartbeatSerial = -1;

    /**
     * When it last reported or, before that, first answered: a machine that only answers gets no
     * start and reaches nobody.
     */
    long lastHeardAtMillis;

    long lastHeartbeatAtMillis;

    /** Whether anything came from it under this term: before, it may still be booting. */
    boolean everHeard;

    long lastClaimAtMillis;
    double reclaimNoticeSeconds = -1;
    long reclaimNoticeAtMillis;

    /**
     * Reports in a row that didn't show what the answer to an earlier one had started; when the
     * first of them came.
     */
    int missedStarts;

    long missedSinceMillis;

    /** When its first report came; a machine that boots is granted long before. */
    private long firstHeartbeatAtMillis = -1;

    int consecutiveFailures;
    final Set<String> failedJobIds = new HashSet<>();
    long fullUntilMillis;
    Map<String, Heartbeat.ReportedAttempt> reportedTasks = Map.of();
    IncomingRequest deferredRequest;
    long deferredUntilMillis;
    boolean heldForFutureStart;

    /** {@code silentMs}: how long its silence is borne. */
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
        this.lastHeardAtMillis = loop.nowMillis();
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

    /** Whether this very report, or one that the worker sent after it, came before. */
    boolean isStale(Heartbeat heartbeat) {
        return !Heartbeat.isNewer(
                heartbeat.agentEpoch, heartbeat.serial, heartbeatAgentEpoch, heartbeatSerial);
    }

    /**
     * Whether it reports but shows again and again that our answers don't reach it. What we start
     * there never begins, and what it runs ends with its lease, though it seems as well as any
     * other.
     */
    boolean isUnreachableInbound() {
        return missedStarts >= WorkerConstants.UNREACHABLE_INBOUND_AFTER_HEARTBEATS;
    }

    /** Whether it has reported for so long, ms, without showing that it hears us. */
    boolean isUnreachableInboundFor(long millis) {
        return isUnreachableInbound()
                ? loop.nowMillis() - missedSinceMillis > millis
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
     * Whether it hasn't reported for so long that it may reach nobody: no start can leave for it,
     * but it may answer when it is asked.
     */
    boolean isHeartbeatOverdue() {
        return phase == Phase.FENCED
                && loop.nowMillis() - lastHeardAtMillis > silenceTimeoutMillis / 2;
    }

    /** It has answered a direct command. */
    void recordCommandAccepted() {
        missedStarts = 0;
    }

    /**
     * A report has been judged: {@code lacking}, a start of ours did not arrive; {@code shown}, one
     * did.
     */
    void recordStartDelivery(boolean anyArrived, boolean anyMissing) {
        if (anyArrived) {
            missedStarts = 0;
        } else if (anyMissing) {
            missedSinceMillis = missedStarts == 0 ? loop.nowMillis() : missedSinceMillis;
            missedStarts++;
        }
    }

    /** Whether new tasks may go there. */
    public boolean isSchedulable() {
        return phase == Phase.FENCED
                && !isUnreachableInbound()
                && reclaimNoticeSeconds < 0
                && consecutiveFailures < WorkerConstants.SUSPECT_AFTER_FAILURES
                && loop.nowMillis() >= fullUntilMillis
                && loop.nowMillis() - lastHeardAtMillis < silenceTimeoutMillis / 2;
    }

    /** Seconds until a start can leave for it: an open answer takes one along at once. */
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

    public boolean isBeingReclaimed() {
        return reclaimNoticeSeconds >= 0;
    }

    public double reclaimSecondsLeft() {
        return reclaimNoticeSeconds - (loop.nowMillis() - reclaimNoticeAtMillis) / 1000.0;
    }

    /** Whether nothing shows that it ever came up. */
    public boolean isBooting() {
        return !everHeard && jobs.placementsOn(host).isEmpty();
    }
}
