package io.quincelead.cluster;

/**
 * The tables of the cluster's records, which follow this controller's watch cache. No component is
 * null.
 *
 * @param membership the controllers, their shards, and the leader
 * @param jobs the unfinished jobs and their placements
 * @param machines the machines on record
 * @param machineTypes the machine types that the cloud offers
 * @param zones the zones that have a record; a zone without one is up
 */
public record ClusterRecords(
        ClusterMembership membership,
        JobTable jobs,
        MachineTable machines,
        MachineTypeCatalog machineTypes,
        ZoneTable zones) {}
