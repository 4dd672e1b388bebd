package io.quincelead.zone;

import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.policy.Policy;
import io.quincelead.store.WatchCache;

/**
 * What zones are judged and restored from: the tables of this controller, kept up to date by its
 * watch on the store, and what machines' owners see of them. None may be null.
 *
 * @param watchCache the records' revisions
 * @param jobs the jobs with their placements
 * @param machines the machines on record
 * @param catalog the machine types
 * @param imageCaches the images that machines probably have
 * @param zones the zones that are not simply up
 * @param policy the operators' job classes and calendar
 * @param visibility what the owners of machines see of them
 */
public record ZoneView(
        WatchCache watchCache,
        JobTable jobs,
        MachineTable machines,
        MachineTypeCatalog catalog,
        ImageCaches imageCaches,
        ZoneTable zones,
        Policy policy,
        MachineVisibility visibility) {}
