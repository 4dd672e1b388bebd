package io.quincelead.api;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.Settings;

/**
 * The cluster state that the user API reads.
 *
 * @param settings the deployment's settings, among them this controller's member ID and the teams
 * @param membership the controllers, their shards, and the leader
 * @param jobs the open jobs
 * @param machineTypes the catalog of machine types
 */
public record ApiCluster(
        Settings settings,
        ClusterMembership membership,
        JobTable jobs,
        MachineTypeCatalog machineTypes) {
    /** Whether this controller is the leader, as far as it knows. */
    boolean isLeader() {
        return settings.memberId().equals(membership.leaderId());
    }
}
