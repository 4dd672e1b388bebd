package io.quincelead.zone;

import io.quincelead.cluster.ZoneTable;
import io.quincelead.scheduler.ClusterView;
import io.quincelead.store.WatchCache;

/**
 * What zones are judged and restored from. None of the components is null.
 *
 * @param cluster the cluster as this controller's watch cache shows it
 * @param watchCache the records' revisions
 * @param zones the zones that are not simply up
 * @param visibility what the owners of machines see of them
 */
public record ZoneView(
        ClusterView cluster,
        WatchCache watchCache,
        ZoneTable zones,
        MachineVisibility visibility) {}
