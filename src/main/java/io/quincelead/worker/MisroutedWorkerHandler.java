package io.quincelead.worker;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.config.constants.WorkerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreAccess;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Workers that send their heartbeats here and belong to another controller, or to none: redirected,
 * reported to the leader, or kept alive behind a partition.
 */
final class MisroutedWorkerHandler {
    /**
     * Since when a machine's heartbeats have arrived here though it is granted elsewhere under this
     * token.
     */
    private record Sighting(long fencingToken, long sinceMillis) {}

    private final EventLoop loop;
    private final Settings settings;
    private final StoreAccess store;
    private final ClusterMembership membership;
    private final Transport transport;
    private final Consumer<MisroutedWorker> leaderNotifier;
    private final Map<String, Sighting> misrouted = new HashMap<>();

    /** Workers of other shards that are answered here while the store can't be reached. */
    private final Map<String, Sighting> keptAlive = new HashMap<>();

    /**
     * Agent epoch and serial of the newest heartbeat of each host that came here: an older one is a
     * duplicate, or was delayed on its way.
     */
    private final Map<String, long[]> newestHeartbeats = new HashMap<>();

    private final Set<String> hostsBeingProbed = new HashSet<>();

    MisroutedWorkerHandler(
            EventLoop loop,
            Settings settings,
            StoreAccess store,
            ClusterMembership membership,
            Transport transport,
            Consumer<MisroutedWorker> leaderNotifier) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.membership = membership;
        this.transport = transport;
        this.leaderNotifier = leaderNotifier;
    }

    /**
     * The machine has left our shard; these are the agent epoch and serial of its last heartbeat.
     */
    void onWorkerRemoved(String host, long agentEpoch, long serial) {
        newestHeartbeats.put(host, new long[] {agentEpoch, serial});
    }

    /** Whether this heartbeat or a newer one came before; else this is the newest now. */
    private boolean isStale(Heartbeat heartbeat) {
        long[] last = newestHeartbeats.get(heartbeat.host);
        if (last != null
                && !Heartbeat.isNewer(heartbeat.agentEpoch, heartbeat.serial, last[0], last[1])) {
            return true;
        }
        newestHeartbeats.put(heartbeat.host, new long[] {heartbeat.agentEpoch, heartbeat.serial});
        return false;
    }

    /** The worker sends its heartbeats to its owner. */
    void onWorkerReachedOwner(String host) {
        misrouted.remove(host);
    }

    /** Forgets what has become irrelevant; to be called regularly. */
    void expireEntries() {
        misrouted
                .values()
                .removeIf(
                        sighting ->
                                loop.nowMillis() - sighting.sinceMillis
                                        > 20 * WorkerConstants.REASSIGN_MISROUTED_AFTER_MILLIS);
        newestHeartbeats.keySet().removeIf(host -> membership.ownerOf(host) == null);
        if (store.lease().isValid()) {
            keptAlive.clear();
        }
    }

    /** Answers a worker that isn't of our shard. */
    void handleHeartbeat(IncomingRequest request, Heartbeat heartbeat) {
        String host = heartbeat.host;
        if (!store.watchCache().isSynced() || !store.lease().isMember()) {
            request.respondRetryLater(503, "not ready");
            return;
        }
        if (isStale(heartbeat)) {
            redirectToOwner(request, host);
            return;
        }
        long now = loop.nowMillis();
        String owner = membership.ownerOf(host);
        if (!store.lease().isValid()
                && owner != null
                && keepAliveForOwner(
                        request,
                        host,
                        heartbeat,
                        membership.shardOf(owner).fencingTokensByHost().get(host))) {
            return;
        }
        Long grantedToken =
                owner == null ? null : membership.shardOf(owner).fencingTokensByHost().get(host);
        long fencingToken = grantedToken == null ? 0 : grantedToken;
        Sighting sighting = firstSighting(misrouted, host, fencingToken, now);
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
            if (settings.memberId().equals(membership.leaderId())) {
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
     * The first sighting of the host under this token; this one, if there is none. Counted anew for
     * each grant: a worker on its way to a new owner would else be moved back before it gets there,
     * and two controllers could pass a machine to each other for ever.
     */
    private static Sighting firstSighting(
            Map<String, Sighting> sightings, String host, long fencingToken, long nowMillis) {
        return sightings.merge(
                host,
                new Sighting(fencingToken, nowMillis),
                (previous, current) -> previous.fencingToken == fencingToken ? previous : current);
    }

    /**
     * Reports the worker to the leader if it gets our responses and is still where that heartbeat
     * says it is. One that is unreachable inbound tries all controllers in turn, and would be
     * passed around for ever; a delayed heartbeat says nothing of the present.
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
     * Answers a worker while this controller is cut off from the store, perhaps with a whole zone:
     * a worker that can't reach its owner either is answered under the owner's token, without any
     * command, so that its tasks live on. Every now and then it is sent to look for its owner
     * again.
     *
     * @return false if the worker was not answered
     */
    private boolean keepAliveForOwner(
            IncomingRequest request, String host, Heartbeat heartbeat, long fencingToken) {
        long now = loop.nowMillis();
        double leaseMillis = settings.workerTimings().leaseSeconds() * 1000;
        // Redirected, a worker may try all others in vain; its lease must outlast that.
        if (leaseMillis
                < WorkerConstants.CONTROLLER_RETRY_INTERVAL_MILLIS
                        * (settings.controllerCount() - 1)
                        * WorkerConstants.MIN_CONTROLLER_SWEEPS_PER_LEASE) {
            return false;
        }
        // No longer counted as misrouted: its time to find its owner begins anew afterwards.
        misrouted.remove(host);
        Sighting sighting = firstSighting(keptAlive, host, fencingToken, now);
        if (now - sighting.sinceMillis
                > leaseMillis * WorkerConstants.MISROUTED_KEEP_ALIVE_LEASE_FRACTION) {
            keptAlive.remove(host);
            return false;
        }
        if (heartbeat.fencingToken > fencingToken) {
            return false;
        }
        request.respond(200, WorkerMessageCodec.newHeartbeatResponse(fencingToken));
        return true;
    }

    /** Answers 421 with the owner or, where there is none, the leader, if that is another one. */
    void redirectToOwner(IncomingRequest request, String host) {
        String owner = membership.ownerOf(host);
        String controller = owner != null ? owner : membership.leaderId();
        boolean isSelf = settings.memberId().equals(controller);
        request.respond(421, WorkerMessageCodec.encodeRedirect(isSelf ? null : controller));
    }
}
