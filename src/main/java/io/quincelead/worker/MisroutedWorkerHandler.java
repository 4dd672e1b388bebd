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
 * Handles heartbeats of workers that don't belong to this controller's shard but to another
 * controller or to none: redirects the workers, reports them to the leader, or keeps their tasks
 * alive during a network partition.
 */
final class MisroutedWorkerHandler {
    /**
     * Since when heartbeats of a machine have arrived at this controller although the machine is
     * granted to another one under this fencing token (0: to none).
     */
    private record FirstSeen(long fencingToken, long sinceMillis) {}

    private final EventLoop loop;
    private final Settings settings;
    private final StoreAccess store;
    private final ClusterMembership membership;
    private final Transport transport;
    private final Consumer<MisroutedWorker> leaderNotifier;
    private final Map<String, FirstSeen> misroutedSince = new HashMap<>();

    /**
     * Workers of other shards, by host, that this controller answers while it can't reach the
     * store.
     */
    private final Map<String, FirstSeen> keptAliveSince = new HashMap<>();

    /**
     * Agent epoch and serial of the newest heartbeat that each host sent to this controller: an
     * older heartbeat is a duplicate or was delayed in transit.
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
     * Notes that a machine has been removed from this controller's shard, with the agent epoch and
     * serial of its last heartbeat.
     */
    void onWorkerRemoved(String host, long agentEpoch, long serial) {
        newestHeartbeats.put(host, new long[] {agentEpoch, serial});
    }

    /**
     * Whether this heartbeat or a newer one has arrived before. If not, records it as the newest.
     */
    private boolean isStale(Heartbeat heartbeat) {
        long[] last = newestHeartbeats.get(heartbeat.host);
        if (last != null
                && !Heartbeat.isNewer(heartbeat.agentEpoch, heartbeat.serial, last[0], last[1])) {
            return true;
        }
        newestHeartbeats.put(heartbeat.host, new long[] {heartbeat.agentEpoch, heartbeat.serial});
        return false;
    }

    /**
     * Notes that a worker sends its heartbeats to this controller and belongs to its shard, so that
     * it is no longer misrouted.
     */
    void onWorkerReachedOwner(String host) {
        misroutedSince.remove(host);
    }

    /** Removes outdated entries; must be called periodically. */
    void expireEntries() {
        misroutedSince
                .values()
                .removeIf(
                        firstSeen ->
                                loop.nowMillis() - firstSeen.sinceMillis
                                        > 20 * WorkerConstants.REASSIGN_MISROUTED_AFTER_MILLIS);
        newestHeartbeats.keySet().removeIf(host -> membership.ownerOf(host) == null);
        if (store.lease().isValid()) {
            keptAliveSince.clear();
        }
    }

    /** Answers a heartbeat of a worker that doesn't belong to this controller's shard. */
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
        FirstSeen firstSeen = firstSeen(misroutedSince, host, fencingToken, now);
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
                // This controller is the leader and will grant the machine within a few ms: the
                // response is delayed so that it can redirect the worker to its new owner.
                loop.runAfter(
                        WorkerConstants.HEARTBEAT_CYCLE_WAIT_MILLIS,
                        () -> redirectToOwner(request, host));
                return;
            }
        } else if (now - firstSeen.sinceMillis > WorkerConstants.REASSIGN_MISROUTED_AFTER_MILLIS) {
            probeWorker(worker, heartbeat);
        }
        redirectToOwner(request, host);
    }

    /**
     * Returns the host's entry if it has the same fencing token; otherwise replaces it with one
     * that starts now. The time starts again with each grant: otherwise a worker that is being
     * redirected to a new owner would be reassigned before it arrives there, and two controllers
     * could reassign a machine to each other forever.
     */
    private static FirstSeen firstSeen(
            Map<String, FirstSeen> firstSeenByHost,
            String host,
            long fencingToken,
            long nowMillis) {
        return firstSeenByHost.merge(
                host,
                new FirstSeen(fencingToken, nowMillis),
                (previous, current) -> previous.fencingToken == fencingToken ? previous : current);
    }

    /**
     * Reports the worker to the leader if it can be reached by this controller and the heartbeat is
     * still current. A worker that is unreachable inbound tries all controllers in turn, and would
     * be reassigned forever; a delayed heartbeat doesn't show where the worker sends its heartbeats
     * now.
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
     * Answers a misrouted worker while this controller is cut off from the store, perhaps together
     * with a whole zone. If the worker can't reach its owner either, it gets a response with the
     * owner's fencing token and without commands, so that its tasks keep running. From time to time
     * the worker is redirected instead, so that it tries to reach its owner again.
     *
     * @return whether the heartbeat was answered
     */
    private boolean keepAliveForOwner(
            IncomingRequest request, String host, Heartbeat heartbeat, long fencingToken) {
        long now = loop.nowMillis();
        double leaseMillis = settings.workerTimings().leaseSeconds() * 1000;
        // After a redirect, a worker may try all other controllers without success; its lease
        // must outlast that.
        if (leaseMillis
                < WorkerConstants.CONTROLLER_RETRY_INTERVAL_MILLIS
                        * (settings.controllerCount() - 1)
                        * WorkerConstants.MIN_CONTROLLER_SWEEPS_PER_LEASE) {
            return false;
        }
        // The worker isn't misrouted while it is kept alive; the time that it has to find its
        // owner starts again afterwards.
        misroutedSince.remove(host);
        FirstSeen firstSeen = firstSeen(keptAliveSince, host, fencingToken, now);
        if (now - firstSeen.sinceMillis
                > leaseMillis * WorkerConstants.MISROUTED_KEEP_ALIVE_LEASE_FRACTION) {
            keptAliveSince.remove(host);
            return false;
        }
        if (heartbeat.fencingToken > fencingToken) {
            return false;
        }
        request.respond(200, WorkerMessageCodec.newHeartbeatResponse(fencingToken));
        return true;
    }

    /**
     * Answers 421 and names the machine's owner or, if it has none, the leader; names no controller
     * if that would be this one.
     */
    void redirectToOwner(IncomingRequest request, String host) {
        String owner = membership.ownerOf(host);
        String controller = owner != null ? owner : membership.leaderId();
        boolean isSelf = settings.memberId().equals(controller);
        request.respond(421, WorkerMessageCodec.encodeRedirect(isSelf ? null : controller));
    }
}
