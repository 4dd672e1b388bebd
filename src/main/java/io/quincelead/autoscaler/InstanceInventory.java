package io.quincelead.autoscaler;

import io.quincelead.cluster.MachineTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.scheduler.ClusterView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's list of machines at intervals: registers machines that are on no record,
 * releases failed ones, and records the addresses of new ones. The list lags: absence from it means
 * nothing.
 */
final class InstanceInventory {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceInventory.class);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final ClusterView cluster;
    private final LeaderStore leaderStore;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final MachineReleaser releaser;
    private long readAtMillis = Long.MIN_VALUE / 2;
    private long notLeadingAtMillis;

    InstanceInventory(
            EventLoop eventLoop,
            Settings settings,
            ClusterView cluster,
            LeaderStore leaderStore,
            CloudClient cloudClient,
            SingleFlightCommitter committer,
            MachineReleaser releaser) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.cluster = cluster;
        this.leaderStore = leaderStore;
        this.cloudClient = cloudClient;
        this.committer = committer;
        this.releaser = releaser;
    }

    /** Called in each scaling pass while this controller doesn't lead. */
    void onNotLeading() {
        notLeadingAtMillis = eventLoop.nowMillis();
    }

    /** Reads the whole list unless it was read recently or calls to the cloud are queued. */
    void readIfDue() {
        if (eventLoop.nowMillis() - readAtMillis > AutoscalerConstants.INVENTORY_INTERVAL_MILLIS
                && !cloudClient.isBacklogged()) {
            readAtMillis = eventLoop.nowMillis();
            readPage(null);
        }
    }

    private void readPage(String afterHost) {
        cloudClient.listInstances(
                afterHost,
                page -> {
                    if (leaderStore.leader().isLeading()) {
                        onPage(page);
                        String lastHost = lastHost(page, afterHost);
                        if (page.isTruncated() && lastHost != null) {
                            readPage(lastHost);
                        }
                    }
                });
    }

    private static String lastHost(InstancePage page, String afterHost) {
        return page.instances().isEmpty()
                ? afterHost
                : page.instances().get(page.instances().size() - 1).host();
    }

    private void onPage(InstancePage page) {
        releaser.forgetOldReleases();
        MachineChanges changes = new MachineChanges(cluster, leaderStore);
        boolean mayRegister = mayRegister();
        int registeredCount = 0;
        for (InstancePage.Instance instance : page.instances()) {
            MachineTable.Machine machine = cluster.machines().get(instance.host());
            if (machine != null) {
                updateMachine(changes, machine, instance);
            } else if (mayRegister
                    && !instance.hasFailed()
                    && !releaser.wasReleased(instance.host())) {
                if (changes.fits(2, 2)) {
                    registeredCount++;
                    changes.register(
                            instance,
                            eventLoop.wallClockMillis() - (long) (instance.ageSeconds() * 1000));
                } else {
                    readAgainSoon();
                }
            }
        }
        if (registeredCount > 0) {
            LOG.info(
                    "{} machines are in the cloud's list and on no record; they are registered",
                    registeredCount);
        }
        if (!changes.transaction().isEmpty() && !committer.isBusy()) {
            committer.commit(changes.transaction());
        }
    }

    /**
     * Whether machines on no record may be registered now. Machines that the previous leader
     * released stay listed for a while, so a new leader waits; a service that starts on a running
     * cluster, with no machine on record, has no previous leader and doesn't wait.
     */
    private boolean mayRegister() {
        return leaderStore.leader().mayRegisterUnexpectedMachines()
                && (cluster.machines().all().isEmpty()
                        || eventLoop.nowMillis() - notLeadingAtMillis
                                > AutoscalerConstants.TRUST_UNEXPECTED_AFTER_LIST_LAGS
                                        * settings.cloudLimits().listLagSeconds()
                                        * 1000);
    }

    private void updateMachine(
            MachineChanges changes, MachineTable.Machine machine, InstancePage.Instance instance) {
        if (instance.hasFailed() && !machine.releasing()) {
            if (!changes.tryMarkForRelease(machine, "failed")) {
                readAgainSoon();
            }
        } else if (machine.address() == null && instance.address() != null && changes.fits(1, 1)) {
            changes.recordAddress(machine, instance.address());
        }
    }

    /**
     * Makes the next read due after one scaling interval: the machines of a zone may fail together,
     * and not all of their changes may fit one transaction.
     */
    private void readAgainSoon() {
        readAtMillis =
                eventLoop.nowMillis()
                        - AutoscalerConstants.INVENTORY_INTERVAL_MILLIS
                        + AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS;
    }
}
