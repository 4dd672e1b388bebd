package io.quincelead.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.PeerConstants;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import io.quincelead.worker.MisroutedWorker;
import io.quincelead.worker.ShardWorker;
import io.quincelead.worker.WorkerGateway;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What controllers tell each other, in JSON: the leader hears of machines that report to the wrong
 * place and of those that should get no work. All of it is advice; nothing that a rule depends on
 * travels here.
 */
public final class PeerMessenger {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final ClusterMembership shards;
    private final Transport transport;
    private final Leader leader;
    private final Map<String, PeerStatus> statusByMember = new HashMap<>();
    private WorkerGateway workerGateway;
    private long lastSentSequence;
    private long acknowledgedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Machines that may get work: named one by one, for a machine granted since isn't known to be
     * up.
     */
    private record PeerStatus(
            long receivedAtMillis,
            long leaseId,
            long sequence,
            Set<String> schedulableHosts,
            Set<String> bootingHosts) {}

    public PeerMessenger(
            EventLoop eventLoop,
            Settings settings,
            ClusterMembership shards,
            Transport transport,
            Leader leader) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.shards = shards;
        this.transport = transport;
        this.leader = leader;
        eventLoop.runEvery(PeerConstants.STATUS_INTERVAL_MILLIS, this::sendStatusToLeader);
    }

    public void setWorkerGateway(WorkerGateway gateway) {
        workerGateway = gateway;
    }

    public void handle(IncomingRequest request) {
        ObjectNode body = WireFormat.JSON.decodeMap(request.body);
        if (body == null || !body.path("from").isTextual()) {
            request.respond(
                    400, WireFormat.JSON, WireFormat.newMap().put("error", "not a message"), 0);
            return;
        }
        switch (request.path) {
            case "/peer/stray" -> {
                leader.onMisroutedWorker(
                        new MisroutedWorker(
                                body.path("host").asText(),
                                body.path("addr").asText(),
                                body.path("shape").asText(),
                                body.path("site").asText(),
                                body.path("preemptible").asBoolean(),
                                body.path("from").asText(),
                                body.path("stuck").asBoolean(),
                                body.path("term").asLong()));
                request.respond(200, WireFormat.JSON, WireFormat.newMap(), 0);
            }
            case "/peer/news" -> {
                acceptIfNewer(
                        body.path("from").asText(),
                        new PeerStatus(
                                eventLoop.nowMillis(),
                                body.path("hold").asLong(),
                                body.path("seq").asLong(),
                                textSet(body.path("fit")),
                                textSet(body.path("booting"))));
                request.respond(200, WireFormat.JSON, WireFormat.newMap(), 0);
            }
            default ->
                    request.respond(
                            404,
                            WireFormat.JSON,
                            WireFormat.newMap().put("error", "no such message"),
                            0);
        }
    }

    /**
     * What was told before, by the same process or by its predecessor, may arrive after what is
     * told now.
     */
    private void acceptIfNewer(String senderId, PeerStatus status) {
        PeerStatus previous = statusByMember.get(senderId);
        if (previous == null
                || status.leaseId == 0
                || status.leaseId > previous.leaseId
                || status.leaseId == previous.leaseId && status.sequence > previous.sequence) {
            statusByMember.put(senderId, status);
        }
    }

    /** Whether the leader has taken our word of late: without it, it leaves our block alone. */
    public boolean isAcknowledgedByLeader() {
        return eventLoop.nowMillis() - acknowledgedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /** Whether the owner said of late that the machine may get work. */
    public boolean isReportedSchedulable(String owner, String host) {
        PeerStatus status = statusByMember.get(owner);
        return status != null
                && eventLoop.nowMillis() - status.receivedAtMillis
                        < PeerConstants.STATUS_VALID_MILLIS
                && status.schedulableHosts.contains(host);
    }

    /**
     * Whether the owner said of late that the machine has not come up yet; null without its word.
     */
    public Boolean reportedBooting(String owner, String host) {
        PeerStatus status = owner == null ? null : statusByMember.get(owner);
        return status != null
                        && eventLoop.nowMillis() - status.receivedAtMillis
                                < PeerConstants.STATUS_VALID_MILLIS
                ? status.bootingHosts.contains(host)
                : null;
    }

    private static Set<String> textSet(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    public void reportMisroutedWorker(MisroutedWorker worker) {
        if (settings.memberId().equals(shards.leaderId())) {
            leader.onMisroutedWorker(worker);
            return;
        }
        sendToLeader(
                "/peer/stray",
                WireFormat.newMap()
                        .put("from", settings.memberId())
                        .put("host", worker.host())
                        .put("addr", worker.address())
                        .put("shape", worker.machineType())
                        .put("site", worker.zone())
                        .put("preemptible", worker.spot())
                        .put("stuck", worker.ownedElsewhere())
                        .put("term", worker.fencingToken()),
                () -> {});
    }

    private void sendStatusToLeader() {
        if (shards.localShard() == null || settings.memberId().equals(shards.leaderId())) {
            return;
        }
        ObjectNode body =
                WireFormat.newMap()
                        .put("from", settings.memberId())
                        .put(
                                "hold",
                                shards.member(settings.memberId()) == null
                                        ? 0
                                        : shards.member(settings.memberId()).leaseId())
                        .put("seq", ++lastSentSequence);
        ArrayNode schedulableHosts = body.putArray("fit");
        ArrayNode bootingHosts = body.putArray("booting");
        for (ShardWorker worker : workerGateway.workers()) {
            if (worker.isSchedulable()) {
                schedulableHosts.add(worker.host);
            }
            if (worker.isBooting()) {
                bootingHosts.add(worker.host);
            }
        }
        sendToLeader("/peer/news", body, () -> acknowledgedAtMillis = eventLoop.nowMillis());
    }

    private void sendToLeader(String path, ObjectNode body, Runnable onAccepted) {
        ClusterMembership.Member leaderMember =
                shards.leaderId() == null ? null : shards.member(shards.leaderId());
        if (leaderMember != null) {
            transport.call(
                    leaderMember.address(),
                    "POST",
                    path,
                    WireFormat.JSON,
                    WireFormat.JSON.encode(body),
                    TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS,
                    (status, bytes) -> {
                        if (status == 200) {
                            onAccepted.run();
                        }
                    });
        }
    }
}
