package io.quincelead.scheduler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.ImageCaches;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.policy.Policy;

/**
 * The cluster as this controller's watch cache shows it: what a scheduling cycle reads and never
 * writes. None of the components is null.
 *
 * @param membership members, shards and quota shares
 * @param jobs unfinished jobs and their placements
 * @param machines machines on record
 * @param machineTypes machine types that the cloud offers
 * @param imageCaches container images known to be on machines
 * @param constrainedDemand recent demand of constrained work
 * @param policy the operators' priority classes and calendar
 */
public record ClusterView(
        ClusterMembership membership,
        JobTable jobs,
        MachineTable machines,
        MachineTypeCatalog machineTypes,
        ImageCaches imageCaches,
        ConstrainedDemand constrainedDemand,
        Policy policy) {}
