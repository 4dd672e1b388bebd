package io.quincelead.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.PeerConstants;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import io.quincelead.worker.MisroutedWorker;
import io.quincelead.worker.ShardWorker;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Notifies the leader of misrouted workers and of the status of this controller's machines, and
 * takes the same from others. All of it is advice: no safety rule depends on what travels here.
 */
public final class PeerMessenger {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final ClusterMembership membership;
    private final Transport transport;
    private final Consumer<MisroutedWorker> localLeader;
    private final Supplier<Iterable<ShardWorker>> localWorkers;
    private final Map<String, PeerStatus> statusByMember = new HashMap<>();
    private long lastSentSequence;
    private long acknowledgedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Starts to send the status periodically, first one interval later.
     *
     * @param localLeader takes misrouted workers where this controller leads, and ignores them else
     * @param localWorkers the workers of this controller's shard, at each call
     */
    public PeerMessenger(
            EventLoop eventLoop,
            Settings settings,
            ClusterMembership membership,
            Transport transport,
            Consumer<MisroutedWorker> localLeader,
            Supplier<Iterable<ShardWorker>> localWorkers) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.transport = transport;
        this.localLeader = localLeader;
        this.localWorkers = localWorkers;
        eventLoop.runEvery(PeerConstants.STATUS_INTERVAL_MILLIS, this::sendStatusToLeader);
    }

    /** Takes another controller's message and answers 200, 400 if it is none, 404 if unknown. */
    public void handle(IncomingRequest request) {
        ObjectNode message = PeerMessageCodec.parse(request.body);
        if (message == null) {
            respondError(request, 400, "not a message");
            return;
        }
        switch (request.path) {
            case PeerMessageCodec.MISROUTED_WORKER_PATH -> {
                localLeader.accept(PeerMessageCodec.decodeMisroutedWorker(message));
                request.respond(200, WireFormat.JSON, WireFormat.newMap(), 0);
            }
            case PeerMessageCodec.STATUS_PATH -> {
                acceptIfNewer(
                        PeerMessageCodec.senderId(message),
                        PeerMessageCodec.decodeStatus(message, eventLoop.nowMillis()));
                request.respond(200, WireFormat.JSON, WireFormat.newMap(), 0);
            }
            default -> respondError(request, 404, "no such message");
        }
    }

    private static void respondError(IncomingRequest request, int status, String reason) {
        request.respond(status, WireFormat.JSON, WireFormat.newMap().put("error", reason), 0);
    }

    private void acceptIfNewer(String senderId, PeerStatus status) {
        PeerStatus previous = statusByMember.get(senderId);
        if (previous == null || status.supersedes(previous)) {
            statusByMember.put(senderId, status);
        }
    }

    /** A member's latest status; null where there is none or it is too old. */
    private PeerStatus validStatus(String memberId) {
        PeerStatus status = statusByMember.get(memberId);
        return status != null && status.isValidAt(eventLoop.nowMillis()) ? status : null;
    }

    /**
     * Whether the leader has taken this controller's status recently: without it, the leader places
     * nothing on this controller's machines.
     */
    public boolean isStatusAcknowledgedByLeader() {
        return eventLoop.nowMillis() - acknowledgedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /** Whether the machine's owner reported recently that it may get tasks. */
    public boolean isReportedSchedulable(String owner, String host) {
        PeerStatus status = validStatus(owner);
        return status != null && status.schedulableHosts().contains(host);
    }

    /**
     * Whether the machine's owner reported recently that it has not come up yet; null without such
     * a report, or where {@code owner} is null.
     */
    public Boolean reportedBooting(String owner, String host) {
        PeerStatus status = validStatus(owner);
        return status == null ? null : Boolean.valueOf(status.bootingHosts().contains(host));
    }

    /**
     * Brings a misrouted worker to the leader's notice, once: a lost message isn't repeated, for
     * the worker sends further heartbeats.
     */
    public void reportMisroutedWorker(MisroutedWorker worker) {
        if (settings.memberId().equals(membership.leaderId())) {
            localLeader.accept(worker);
            return;
        }
        sendToLeader(
                PeerMessageCodec.MISROUTED_WORKER_PATH,
                PeerMessageCodec.encodeMisroutedWorker(settings.memberId(), worker),
                () -> {});
    }

    private void sendStatusToLeader() {
        if (membership.localShard() == null || settings.memberId().equals(membership.leaderId())) {
            return;
        }
        ClusterMembership.Member self = membership.member(settings.memberId());
        byte[] status =
                PeerMessageCodec.encodeStatus(
                        settings.memberId(),
                        self == null ? 0 : self.leaseId(),
                        ++lastSentSequence,
                        localWorkers.get());
        sendToLeader(
                PeerMessageCodec.STATUS_PATH,
                status,
                () -> acknowledgedAtMillis = eventLoop.nowMillis());
    }

    /** Does nothing while there is no leader, or its address isn't known. */
    private void sendToLeader(String path, byte[] message, Runnable onAccepted) {
        ClusterMembership.Member leader =
                membership.leaderId() == null ? null : membership.member(membership.leaderId());
        if (leader == null) {
            return;
        }
        transport.call(
                leader.address(),
                "POST",
                path,
                WireFormat.JSON,
                message,
                TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS,
                (status, responseBody) -> {
                    if (status == 200) {
                        onAccepted.run();
                    }
                });
    }
}
