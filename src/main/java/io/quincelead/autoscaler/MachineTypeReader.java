package io.quincelead.autoscaler;

import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.MachineTypeCatalog.MachineType;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import java.util.List;

/**
 * Reads the machine types and their prices from the cloud at intervals, and records types that are
 * new. Prices are kept in this controller's memory only.
 */
final class MachineTypeReader {
    private final EventLoop eventLoop;
    private final MachineTypeCatalog catalog;
    private final LeaderStore leaderStore;
    private final CloudClient cloudClient;
    private final SingleFlightCommitter committer;
    private boolean isReadInFlight;
    private long readAtMillis = Long.MIN_VALUE / 2;

    MachineTypeReader(
            EventLoop eventLoop,
            MachineTypeCatalog catalog,
            LeaderStore leaderStore,
            CloudClient cloudClient,
            SingleFlightCommitter committer) {
        this.eventLoop = eventLoop;
        this.catalog = catalog;
        this.leaderStore = leaderStore;
        this.cloudClient = cloudClient;
        this.committer = committer;
    }

    /**
     * Reads the catalog unless it was read recently; at shorter intervals while no type is known.
     */
    void readIfDue() {
        long intervalMillis =
                catalog.isLoaded()
                        ? AutoscalerConstants.CATALOG_INTERVAL_MILLIS
                        : AutoscalerConstants.AUTOSCALER_INTERVAL_MILLIS;
        if (!isReadInFlight && eventLoop.nowMillis() - readAtMillis > intervalMillis) {
            isReadInFlight = true;
            cloudClient.readCatalog(
                    machineTypes -> {
                        isReadInFlight = false;
                        onCatalog(machineTypes);
                    },
                    () -> isReadInFlight = false);
        }
    }

    private void onCatalog(List<MachineType> machineTypes) {
        readAtMillis = eventLoop.nowMillis();
        Transaction transaction = leaderStore.newTransaction();
        for (MachineType machineType : machineTypes) {
            String key = StoreKeys.MACHINE_TYPE_PREFIX + machineType.name();
            if (leaderStore.watchCache().modRevision(key) == 0
                    && leaderStore.fits(transaction, 1, 0)) {
                transaction.put(key, machineType.encode());
            }
        }
        if (transaction.isEmpty()) {
            machineTypes.forEach(catalog::overrideLocally);
        } else {
            committer.commit(
                    transaction,
                    () ->
                            machineTypes.stream()
                                    .filter(type -> catalog.get(type.name()) != null)
                                    .forEach(catalog::overrideLocally));
        }
    }
}
