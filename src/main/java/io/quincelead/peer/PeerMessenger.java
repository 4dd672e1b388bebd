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
 * Sends the leader reports of misrouted workers and the status of this controller's machines, and
 * receives both from other controllers. All of it is advisory: no safety rule depends on these
 * messages.
 */
public final class PeerMessenger {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final ClusterMembership membership;
    private final Transport transport;
    private final Consumer<MisroutedWorker> misroutedWorkerListener;
    private final Supplier<Iterable<ShardWorker>> localWorkers;
    private final Map<String, PeerStatus> statusByMember = new HashMap<>();
    private long lastSentSequence;
    private long statusAcknowledgedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Schedules the periodic sending of the status, the first one interval later.
     *
     * @param misroutedWorkerListener called with each misrouted worker that is reported to this
     *     controller; must ignore it while this controller is not the leader
     * @param localWorkers returns the current workers of this controller's shard
     */
    public PeerMessenger(
            EventLoop eventLoop,
            Settings settings,
            ClusterMembership membership,
            Transport transport,
            Consumer<MisroutedWorker> misroutedWorkerListener,
            Supplier<Iterable<ShardWorker>> localWorkers) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
        this.transport = transport;
        this.misroutedWorkerListener = misroutedWorkerListener;
        this.localWorkers = localWorkers;
        eventLoop.runEvery(PeerConstants.STATUS_INTERVAL_MILLIS, this::sendStatusToLeader);
    }

    /**
     * Handles another controller's message. Responds with status 200, with 400 if the body is not a
     * message, or with 404 if the path is unknown.
     */
    public void handle(IncomingRequest request) {
        ObjectNode message = PeerMessageCodec.parse(request.body);
        if (message == null) {
            respondError(request, 400, "not a message");
            return;
        }
        switch (request.path) {
            case PeerMessageCodec.MISROUTED_WORKER_PATH -> {
                misroutedWorkerListener.accept(PeerMessageCodec.decodeMisroutedWorker(message));
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
        ClusterMembership.Member sender = membership.member(senderId);
        long recordedLeaseId = sender == null ? PeerStatus.UNKNOWN_LEASE : sender.leaseId();
        if (status.isNewest(statusByMember.get(senderId), recordedLeaseId)) {
            statusByMember.put(senderId, status);
        }
    }

    /** A member's latest status; null if there is none or it is no longer valid. */
    private PeerStatus validStatus(String memberId) {
        PeerStatus status = statusByMember.get(memberId);
        return status != null && status.isValidAt(eventLoop.nowMillis()) ? status : null;
    }

    /**
     * Whether the leader recently accepted this controller's status; without a recent status, the
     * leader places no tasks on this controller's machines.
     */
    public boolean isStatusAcknowledgedByLeader() {
        return eventLoop.nowMillis() - statusAcknowledgedAtMillis
                < PeerConstants.STATUS_VALID_MILLIS;
    }

    /** Whether the machine's owner recently reported that the machine may get tasks. */
    public boolean isReportedSchedulable(String owner, String host) {
        PeerStatus status = validStatus(owner);
        return status != null && status.schedulableHosts().contains(host);
    }

    /**
     * Whether the machine is still booting by its owner's status; null if there is no valid status
     * of the owner, or {@code owner} is null.
     */
    public Boolean reportedBooting(String owner, String host) {
        PeerStatus status = validStatus(owner);
        return status == null ? null : Boolean.valueOf(status.bootingHosts().contains(host));
    }

    /**
     * Reports a misrouted worker to the leader once. A lost message is not retried, because the
     * worker's next heartbeats cause further reports.
     */
    public void reportMisroutedWorker(MisroutedWorker worker) {
        if (settings.memberId().equals(membership.leaderId())) {
            misroutedWorkerListener.accept(worker);
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
                        self == null ? PeerStatus.UNKNOWN_LEASE : self.leaseId(),
                        ++lastSentSequence,
                        localWorkers.get());
        sendToLeader(
                PeerMessageCodec.STATUS_PATH,
                status,
                () -> statusAcknowledgedAtMillis = eventLoop.nowMillis());
    }

    /** Sends a message to the leader; does nothing if the leader or its address is unknown. */
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
