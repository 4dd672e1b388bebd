package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Workers that report here and belong to another controller, or to none: sent on, told of, or kept
 * alive behind a cut.
 */
final class MisroutedWorkers {
    /**
     * Since when a machine has been reporting here though it is granted elsewhere under this term.
     */
    private record Sighting(long fencingToken, long sinceMillis) {}

    private final EventLoop loop;
    private final Settings settings;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final ClusterMembership shards;
    private final Transport transport;
    private final Consumer<MisroutedWorker> leaderNotifier;
    private final Map<String, Sighting> misrouted = new HashMap<>();

    /** Workers of others that are answered here while the store can't be reached. */
    private final Map<String, Sighting> keptAlive = new HashMap<>();

    MisroutedWorkers(
            EventLoop loop,
            Settings settings,
            MembershipLease membershipLease,
            WatchCache watchCache,
            ClusterMembership shards,
            Transport transport,
            Consumer<MisroutedWorker> leaderNotifier) {
        this.loop = loop;
        this.settings = settings;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.shards = shards;
        this.transport = transport;
        this.leaderNotifier = leaderNotifier;
    }

    /**
     * The newest report of each machine that came here, as tenure and serial: an older one is a
     * copy, or was held up on its way.
     */
    private final Map<String, long[]> newestHeartbeats = new HashMap<>();

    private final Set<String> hostsBeingProbed = new HashSet<>();

    /** The machine is ours no longer; these were the tenure and serial of its last report here. */
    void onWorkerReleased(String host, long agentEpoch, long serial) {
        newestHeartbeats.put(host, new long[] {agentEpoch, serial});
    }

    /** Whether a newer report has been here; else this is the newest now. */
    private boolean isStale(Heartbeat heartbeat) {
        long[] last = newestHeartbeats.get(heartbeat.host);
        if (last != null
                && !Heartbeat.isNewer(heartbeat.agentEpoch, heartbeat.serial, last[0], last[1])) {
            return true;
        }
        newestHeartbeats.put(heartbeat.host, new long[] {heartbeat.agentEpoch, heartbeat.serial});
        return false;
    }

    /** The worker is where it belongs. */
    void onWorkerAtOwner(String host) {
        misrouted.remove(host);
    }

    void expireEntries() {
        misrouted
                .values()
                .removeIf(
                        sighting ->
                                loop.nowMillis() - sighting.sinceMillis
                                        > 20 * WorkerConstants.REASSIGN_MISROUTED_AFTER_MILLIS);
        newestHeartbeats.keySet().removeIf(host -> shards.ownerOf(host) == null);
        if (membershipLease.isValid()) {
            keptAlive.clear();
        }
    }

    /** Answers a worker that isn't of our block. */
    void handleHeartbeat(IncomingRequest request, Heartbeat heartbeat) {
        String host = heartbeat.host;
        if (!watchCache.isSynced() || !membershipLease.isMember()) {
            request.respondRetryLater(503, "not ready");
            return;
        }
        if (isStale(heartbeat)) {
            redirectToOwner(request, host);
            return;
        }
        long now = loop.nowMillis();
        String owner = shards.ownerOf(host);
        if (!membershipLease.isValid()
                && owner != null
                && keepAliveForOwner(
                        request,
                        host,
                        heartbeat,
                        shards.shardOf(owner).fencingTokensByHost().get(host))) {
            return;
        }
        Long grantedToken =
                owner == null ? null : shards.shardOf(owner).fencingTokensByHost().get(host);
        long fencingToken = grantedToken == null ? 0 : grantedToken;
        // Counted anew for each grant: a worker on its way to a new owner would else be moved back
        // before it gets there, and
        // two controllers could pass a machine to each other for ever.
        Sighting sighting =
                misrouted.merge(
                        host,
                        new Sighting(fencingToken, now),
                        (previous, current) ->
                                previous.fencingToken == fencingToken ? previous : current);
        MisroutedWorker worker =
                new MisroutedWorker(
                        host,
                        heartbeat.address == null ? "" : heartbeat.address,
                        heartbeat.machineType,
                        heartbeat.zone,
                        heartbeat.spot,
                        settings.memberId(),
                        owner != null,
                        fencingToken);
        if (owner == null) {
            leaderNotifier.accept(worker);
            if (settings.memberId().equals(shards.leaderId())) {
                // The grant is a few ms away: the worker then hears at once where to go.
                loop.runAfter(
                        WorkerConstants.HEARTBEAT_CYCLE_WAIT_MILLIS,
                        () -> redirectToOwner(request, host));
                return;
            }
        } else if (now - sighting.sinceMillis > WorkerConstants.REASSIGN_MISROUTED_AFTER_MILLIS) {
            probeWorker(worker, heartbeat);
        }
        redirectToOwner(request, host);
    }

    /**
     * Says that the worker is stuck here if it hears us and is where that report says it is. One
     * that hears nobody tries all controllers in turn, and would be passed around for ever; a
     * report that was held up speaks of long ago.
     */
    private void probeWorker(MisroutedWorker worker, Heartbeat heartbeat) {
        if (worker.address().isEmpty() || !hostsBeingProbed.add(worker.host())) {
            return;
        }
        transport.call(
                worker.address(),
                "GET",
                "/show",
                WireFormat.CBOR,
                null,
                TransportConstants.CLUSTER_CALL_TIMEOUT_MILLIS,
                (status, bytes) -> {
                    hostsBeingProbed.remove(worker.host());
                    Heartbeat current = Heartbeat.parse(bytes);
                    if (status == 200
                            && current != null
                            && current.agentEpoch == heartbeat.agentEpoch
                            && current.serial
                                    <= heartbeat.serial
                                            + WorkerConstants
                                                    .MAX_MISROUTED_SERIAL_ADVANCE_HEARTBEATS) {
                        leaderNotifier.accept(worker);
                    }
                });
    }

    /**
     * Cut off from the store, perhaps with a whole zone: a worker that can't reach its owner either
     * is answered under the owner's term, without any order, so that its tasks live on. Every now
     * and then it is sent to look for its owner again.
     */
    private boolean keepAliveForOwner(
            IncomingRequest request, String host, Heartbeat heartbeat, long fencingToken) {
        long now = loop.nowMillis();
        double leaseMillis = settings.workerTimings().leaseSeconds() * 1000;
        // Sent on, a worker may try all others in vain; its lease must outlast that.
        if (leaseMillis
                < WorkerConstants.CONTROLLER_RETRY_INTERVAL_MILLIS
                        * (settings.controllerCount() - 1)
                        * WorkerConstants.MIN_CONTROLLER_SWEEPS_PER_LEASE) {
            return false;
        }
        // Not among the strays: on record again, it has its time to find its owner from then on.
        misrouted.remove(host);
        Sighting sighting =
                keptAlive.merge(
                        host,
                        new Sighting(fencingToken, now),
                        (previous, current) ->
                                previous.fencingToken == fencingToken ? previous : current);
        if (now - sighting.sinceMillis
                > leaseMillis * WorkerConstants.MISROUTED_KEEP_ALIVE_LEASE_FRACTION) {
            keptAlive.remove(host);
            return false;
        }
        if (heartbeat.fencingToken > fencingToken) {
            return false;
        }
        ObjectNode response = WireFormat.newMap().put("epoch", fencingToken);
        response.putArray("orders");
        request.respond(200, response);
        return true;
    }

    void redirectToOwner(IncomingRequest request, String host) {
        String controller = shards.ownerOf(host) != null ? shards.ownerOf(host) : shards.leaderId();
        ObjectNode body = WireFormat.newMap();
        if (controller != null && !controller.equals(settings.memberId())) {
            body.put("controller", controller);
        }
        request.respond(421, body);
    }
}
