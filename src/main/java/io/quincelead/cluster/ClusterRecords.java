package io.quincelead.cluster;

/**
 * The live records of the cluster as this controller's watch cache has them. None of the components
 * is null.
 *
 * @param membership the controllers, their shards, and the leader
 * @param jobs the unfinished jobs and their placements
 * @param machines the machines on record
 * @param machineTypes the machine types that the cloud offers
 * @param zones the zones that are not simply up
 */
public record ClusterRecords(
        ClusterMembership membership,
        JobTable jobs,
        MachineTable machines,
        MachineTypeCatalog machineTypes,
        ZoneTable zones) {}
