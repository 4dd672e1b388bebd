package io.quincelead.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.config.constants.PeerConstants;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.leader.Leader;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import io.quincelead.records.Blocks;
import io.quincelead.workers.Desk;
import io.quincelead.workers.Own;
import io.quincelead.workers.Stray;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What controllers tell each other, in JSON: the leader hears of machines that report to the wrong place and of those
 * that should get no work. All of it is advice; nothing that a rule depends on travels here.
 */
public final class Peers {
    private final Loop eventLoop;
    private final Settings settings;
    private final Blocks shards;
    private final Transport transport;
    private final Leader leader;
    private final Map<String, News> statusByMember = new HashMap<>();
    private Desk workerGateway;
    private long lastSentSequence;
    private long acknowledgedAtMillis = Long.MIN_VALUE / 2;

    /** Machines that may get work: named one by one, for a machine granted since isn't known to be up. */
    private record News(long receivedAtMillis, long leaseId, long sequence, Set<String> schedulableHosts, Set<String> bootingHosts) { }

    public Peers(Loop eventLoop, Settings settings, Blocks shards, Transport transport, Leader leader) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.shards = shards;
        this.transport = transport;
        this.leader = leader;
        eventLoop.runEvery(PeerConstants.STATUS_INTERVAL_MILLIS, this::sendStatusToLeader);
    }

    public void setWorkerGateway(Desk gateway) {
        workerGateway = gateway;
    }

    public void handle(Request request) {
        ObjectNode body = Codec.JSON.decodeMap(request.body);
        if (body == null || !body.path("from").isTextual()) {
            request.respond(400, Codec.JSON, Codec.newMap().put("error", "not a message"), 0);
            return;
        }
        switch (request.path) {
            case "/peer/stray" -> {
                leader.onMisroutedWorker(new Stray(body.path("host").asText(), body.path("addr").asText(), body.path("shape").asText(),
                        body.path("site").asText(), body.path("preemptible").asBoolean(), body.path("from").asText(), body.path("stuck").asBoolean(), body.path("term").asLong()));
                request.respond(200, Codec.JSON, Codec.newMap(), 0);
            }
            case "/peer/news" -> {
                acceptIfNewer(body.path("from").asText(), new News(eventLoop.nowMillis(), body.path("hold").asLong(), body.path("seq").asLong(),
                        textSet(body.path("fit")), textSet(body.path("booting"))));
                request.respond(200, Codec.JSON, Codec.newMap(), 0);
            }
            default -> request.respond(404, Codec.JSON, Codec.newMap().put("error", "no such message"), 0);
        }
    }

    /** What was told before, by the same process or by its predecessor, may arrive after what is told now. */
    private void acceptIfNewer(String senderId, News status) {
        News previous = statusByMember.get(senderId);
        if (previous == null || status.leaseId == 0 || status.leaseId > previous.leaseId || status.leaseId == previous.leaseId && status.sequence > previous.sequence) {
            statusByMember.put(senderId, status);
        }
    }

    /** Whether the leader has taken our word of late: without it, it leaves our block alone. */
    public boolean isAcknowledgedByLeader() {
        return eventLoop.nowMillis() - acknowledgedAtMillis < PeerConstants.STATUS_VALID_MILLIS;
    }

    /** Whether the owner said of late that the machine may get work. */
    public boolean isReportedSchedulable(String owner, String host) {
        News status = statusByMember.get(owner);
        return status != null && eventLoop.nowMillis() - status.receivedAtMillis < PeerConstants.STATUS_VALID_MILLIS && status.schedulableHosts.contains(host);
    }

    /** Whether the owner said of late that the machine has not come up yet; null without its word. */
    public Boolean reportedBooting(String owner, String host) {
        News status = owner == null ? null : statusByMember.get(owner);
        return status != null && eventLoop.nowMillis() - status.receivedAtMillis < PeerConstants.STATUS_VALID_MILLIS ? status.bootingHosts.contains(host) : null;
    }

    private static Set<String> textSet(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }

    public void reportMisroutedWorker(Stray worker) {
        if (settings.memberId().equals(shards.leaderId())) {
            leader.onMisroutedWorker(worker);
            return;
        }
        sendToLeader("/peer/stray", Codec.newMap().put("from", settings.memberId()).put("host", worker.host()).put("addr", worker.address())
                .put("shape", worker.machineType()).put("site", worker.zone()).put("preemptible", worker.spot()).put("stuck", worker.ownedElsewhere()).put("term", worker.fencingToken()), () -> { });
    }

    private void sendStatusToLeader() {
        if (shards.localShard() == null || settings.memberId().equals(shards.leaderId())) {
            return;
        }
        ObjectNode body = Codec.newMap().put("from", settings.memberId()).put("hold", shards.member(settings.memberId()) == null ? 0 : shards.member(settings.memberId()).leaseId())
                .put("seq", ++lastSentSequence);
        ArrayNode schedulableHosts = body.putArray("fit");
        ArrayNode bootingHosts = body.putArray("booting");
        for (Own worker : workerGateway.workers()) {
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
        Blocks.Node leaderMember = shards.leaderId() == null ? null : shards.member(shards.leaderId());
        if (leaderMember != null) {
            transport.call(leaderMember.address(), "POST", path, Codec.JSON, Codec.JSON.encode(body), TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS, (status, bytes) -> {
                if (status == 200) {
                    onAccepted.run();
                }
            });
        }
    }
}
