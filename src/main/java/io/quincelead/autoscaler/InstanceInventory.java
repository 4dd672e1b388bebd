package io.quincelead.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.leadership.Leader;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the cloud says without being asked for anything: its machine types with their prices, and
 * its list of machines.
 */
final class InstanceInventory {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceInventory.class);
    private final EventLoop eventLoop;
    private final Settings settings;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final Leader leader;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private final ScaleInController scaleInController;
    private boolean isCatalogReadInFlight;
    private long catalogReadAtMillis = Long.MIN_VALUE / 2;
    private long instancesReadAtMillis = Long.MIN_VALUE / 2;
    private long notLeadingAtMillis;

    InstanceInventory(
            EventLoop eventLoop,
            Settings settings,
            WatchCache watchCache,
            StoreClient store,
            MachineTable machines,
            MachineTypeCatalog catalog,
            Leader leader,
            CloudClient cloudClient,
            SingleFlightCommitter committer,
            ScaleInController scaleInController) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.watchCache = watchCache;
        this.store = store;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.cloudClient = cloudClient;
        this.committer = committer;
        this.scaleInController = scaleInController;
    }

    /** Another controller leads. */
    void onNotLeading() {
        notLeadingAtMillis = eventLoop.nowMillis();
    }

    void readCatalogIfDue() {
        if (!isCatalogReadInFlight
                && eventLoop.nowMillis() - catalogReadAtMillis
                        > (catalog.isLoaded()
                                ? AutoscalerConstants.CATALOG_INTERVAL_MILLIS
                                : AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS)) {
            readCatalog();
        }
    }

    void readInstancesIfDue() {
        if (eventLoop.nowMillis() - instancesReadAtMillis
                        > AutoscalerConstants.INVENTORY_INTERVAL_MILLIS
                && !cloudClient.isBacklogged()) {
            instancesReadAtMillis = eventLoop.nowMillis();
            readInstances(null);
        }
    }

    private void readCatalog() {
        isCatalogReadInFlight = true;
        cloudClient.call(
                "GET",
                "/catalog",
                null,
                true,
                (status, response) -> {
                    isCatalogReadInFlight = false;
                    if (status != 200 || !response.path("shapes").isArray()) {
                        return;
                    }
                    catalogReadAtMillis = eventLoop.nowMillis();
                    Transaction transaction = leader.newTransaction();
                    List<MachineTypeCatalog.MachineType> machineTypes = new ArrayList<>();
                    for (JsonNode node : response.path("shapes")) {
                        MachineTypeCatalog.MachineType machineType =
                                MachineTypeCatalog.MachineType.decode(node);
                        if (machineType.name().isEmpty()
                                || machineType.cpus() <= 0
                                || machineType.memoryGb() <= 0
                                || machineType.zones().isEmpty()) {
                            LOG.info("a machine type of the catalog can't be read: {}", node);
                            continue;
                        }
                        machineTypes.add(machineType);
                        if (watchCache.modRevision(
                                                StoreKeys.MACHINE_TYPE_PREFIX + machineType.name())
                                        == 0
                                && transaction.fits(1, 0, store.maxTransactionOperations())) {
                            transaction.put(
                                    StoreKeys.MACHINE_TYPE_PREFIX + machineType.name(),
                                    machineType.encode());
                        }
                    }
                    if (transaction.isEmpty()) {
                        machineTypes.forEach(catalog::overrideLocally);
                    } else {
                        committer.commit(
                                transaction,
                                () ->
                                        machineTypes.stream()
                                                .filter(
                                                        machineType ->
                                                                catalog.get(machineType.name())
                                                                        != null)
                                                .forEach(catalog::overrideLocally));
                    }
                });
    }

    /**
     * Looks for machines that nobody knows, and for failed ones. The list lags: absence from it
     * means nothing.
     */
    private void readInstances(String afterHost) {
        cloudClient.call(
                "GET",
                "/rentals?limit=500" + (afterHost == null ? "" : "&after=" + afterHost),
                null,
                false,
                (status, response) -> {
                    if (status != 200 || !leader.isLeading()) {
                        return;
                    }
                    long nowMillis = eventLoop.nowMillis();
                    scaleInController.forgetOldReleases();
                    String lastHost = afterHost;
                    ScaleInController.ReturnBatch returnBatch = scaleInController.newReturnBatch();
                    Transaction transaction = returnBatch.transaction;
                    // What a predecessor returned stays listed for a while; a service that starts
                    // on a cluster that is up has none.
                    boolean mayRegister =
                            leader.mayRegisterUnexpectedMachines()
                                    && (machines.all().isEmpty()
                                            || nowMillis - notLeadingAtMillis
                                                    > AutoscalerConstants
                                                                    .TRUST_UNEXPECTED_AFTER_LIST_LAGS
                                                            * settings.cloudLimits()
                                                                    .listLagSeconds()
                                                            * 1000);
                    int registeredCount = 0;
                    for (JsonNode instance : response.path("hosts")) {
                        String host = instance.path("nameId").asText();
                        lastHost = host;
                        MachineTable.Machine machine = machines.get(host);
                        boolean hasFailed = instance.path("status").asText().equals("failed");
                        double ageSeconds = instance.path("ageS").asDouble();
                        if (machine == null) {
                            if (mayRegister
                                    && !hasFailed
                                    && !scaleInController.wasReleased(host)
                                    && !transaction.fits(2, 2, store.maxTransactionOperations())) {
                                instancesReadAtMillis =
                                        nowMillis
                                                - AutoscalerConstants.INVENTORY_INTERVAL_MILLIS
                                                + AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS;
                            } else if (mayRegister
                                    && !hasFailed
                                    && !scaleInController.wasReleased(host)) {
                                registeredCount++;
                                returnBatch.edits.addUnexpected(
                                        host,
                                        instance.path("shape").asText(),
                                        instance.path("site").asText(),
                                        instance.path("preemptible").asBoolean(),
                                        instance.path("addr").asText(null),
                                        eventLoop.wallClockMillis() - (long) (ageSeconds * 1000));
                            }
                        } else if (hasFailed && !machine.releasing()) {
                            if (!scaleInController.addReturn(returnBatch, machine, "failed")) {
                                // A zone's machines may fail together: what one change has no room
                                // for is looked at again at once.
                                instancesReadAtMillis =
                                        nowMillis
                                                - AutoscalerConstants.INVENTORY_INTERVAL_MILLIS
                                                + AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS;
                            }
                        } else if (machine.address() == null
                                && instance.hasNonNull("addr")
                                && transaction.fits(1, 1, store.maxTransactionOperations())) {
                            returnBatch.edits.put(
                                    machine.withAddress(instance.path("addr").asText()));
                        }
                    }
                    if (registeredCount > 0) {
                        LOG.info(
                                "{} machines are in the cloud's list and on no record; they are"
                                        + " taken in",
                                registeredCount);
                    }
                    if (!transaction.isEmpty() && !committer.isBusy()) {
                        committer.commit(transaction, () -> {});
                    }
                    if (response.path("truncated").asBoolean() && lastHost != null) {
                        readInstances(lastHost);
                    }
                });
    }
}
