package io.quincelead.autoscaler;

import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.Placement;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Releases the machines that are marked for release on record, and takes the cloud's confirmation
 * as evidence that every task on them has terminated.
 */
final class MachineReleaser {
    private final EventLoop eventLoop;
    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final Consumer<Placement> onTaskTerminated;
    private final Consumer<String> onReleased;
    private final Set<String> hostsInRelease = new HashSet<>();

    /** When the cloud confirmed a release, by host; forgotten after a while. */
    private final Map<String, Long> releasedAtMillisByHost = new HashMap<>();

    /**
     * For hosts that are released and still on record: the mod revision of the record that marks
     * the host for release.
     */
    private final Map<String, Long> markRevisionByReleasedHost = new HashMap<>();

    /**
     * @param onTaskTerminated receives the placement of each task that terminated with its machine
     * @param onReleased receives each host whose release the cloud has confirmed
     */
    MachineReleaser(
            EventLoop eventLoop,
            ClusterView cluster,
            LeaderStore leaderStore,
            CloudClient cloudClient,
            SingleFlightCommitter committer,
            Consumer<Placement> onTaskTerminated,
            Consumer<String> onReleased) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.cloudClient = cloudClient;
        this.committer = committer;
        this.onTaskTerminated = onTaskTerminated;
        this.onReleased = onReleased;
        eventLoop.runEvery(AutoscalerConstants.RELEASE_INTERVAL_MILLIS, this::releaseMarked);
    }

    /**
     * Whether the cloud has recently confirmed the machine's release, though it may still be
     * listed.
     */
    boolean wasReleased(String host) {
        return releasedAtMillisByHost.containsKey(host);
    }

    /** Forgets releases that are so old that the cloud's list can't show the machines any more. */
    void forgetOldReleases() {
        releasedAtMillisByHost
                .values()
                .removeIf(
                        releasedAtMillis ->
                                eventLoop.nowMillis() - releasedAtMillis
                                        > AutoscalerConstants.FORGET_RELEASED_AFTER_MILLIS);
    }

    /**
     * Asks the cloud to release the marked machines that no shard holds any more, and removes those
     * it has released from the record.
     */
    void releaseMarked() {
        if (!leaderStore.leader().isLeading()) {
            return;
        }
        MachineTable machines = cluster.machines();
        List<String> hosts = new ArrayList<>();
        MachineChanges cleanup = new MachineChanges(cluster, leaderStore);
        for (MachineTable.Machine machine : machines.all()) {
            if (!machine.releasing() || cluster.membership().ownerOf(machine.host()) != null) {
                continue;
            }
            Long markRevision = markRevisionByReleasedHost.get(machine.host());
            if (markRevision == null) {
                if (!hostsInRelease.contains(machine.host())
                        && hosts.size() < AutoscalerConstants.MAX_MACHINES_PER_RELEASE_REQUEST) {
                    hosts.add(machine.host());
                }
            } else if (leaderStore.watchCache().storeRevision() >= markRevision) {
                terminateTasks(machine.host());
                if (cluster.jobs().placementsOn(machine.host()).isEmpty() && cleanup.fits(1, 1)) {
                    cleanup.remove(machine);
                }
            }
        }
        markRevisionByReleasedHost.keySet().removeIf(host -> machines.get(host) == null);
        if (!cleanup.transaction().isEmpty() && !committer.isBusy()) {
            committer.commit(cleanup.transaction());
        }
        if (!hosts.isEmpty()) {
            release(hosts);
        }
    }

    /**
     * Marks all tasks on a released machine as terminated. No task can have been placed there after
     * the machine was marked, and the watch cache has reached the mark's revision, so all earlier
     * placements are known.
     */
    private void terminateTasks(String host) {
        JobTable jobs = cluster.jobs();
        for (Placement placement : new ArrayList<>(jobs.placementsOn(host).values())) {
            if (!placement.isTerminated()) {
                placement.transitionTo(Placement.Phase.GONE);
                onTaskTerminated.accept(placement);
            }
        }
    }

    private void release(List<String> hosts) {
        hostsInRelease.addAll(hosts);
        Map<String, Long> markRevisions = new HashMap<>();
        for (String host : hosts) {
            markRevisions.put(
                    host,
                    leaderStore.watchCache().modRevision(cluster.machines().get(host).storeKey()));
        }
        cloudClient.release(
                hosts,
                isReleased -> {
                    hostsInRelease.removeAll(hosts);
                    if (isReleased) {
                        for (String host : hosts) {
                            markRevisionByReleasedHost.put(host, markRevisions.get(host));
                            releasedAtMillisByHost.put(host, eventLoop.nowMillis());
                            onReleased.accept(host);
                        }
                        releaseMarked();
                    }
                });
    }
}
