package io.quincelead.autoscaler;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.ConstrainedDemand;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.ZoneTable;
import io.quincelead.policy.Policy;

/**
 * The tables from which the autoscaler decides: what this controller knows of the cluster, kept up
 * to date by its watch on the store. None may be null.
 *
 * @param membership the controllers, the leader and the shards of machines
 * @param jobs the jobs with their placements
 * @param machines the machines on record
 * @param catalog the machine types, as last read from the cloud
 * @param zones the zones that are not simply up
 * @param constrainedDemand what work that only some machines may run has asked for of late
 * @param policy the operators' job classes and calendar
 */
public record ClusterView(
        ClusterMembership membership,
        JobTable jobs,
        MachineTable machines,
        MachineTypeCatalog catalog,
        ZoneTable zones,
        ConstrainedDemand constrainedDemand,
        Policy policy) {}
