package io.quincelead.zone;

import io.quincelead.cluster.ZoneTable;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.store.WatchCache;

/**
 * The state from which zones are evaluated and their recovery is planned. No component is null.
 *
 * @param cluster the cluster as this controller's watch cache shows it
 * @param watchCache the mod revisions of the records
 * @param zones the zones on record; a zone without a record is up
 * @param visibility what the owners of machines know about them
 */
public record ZoneView(
        ClusterView cluster,
        WatchCache watchCache,
        ZoneTable zones,
        MachineVisibility visibility) {}
