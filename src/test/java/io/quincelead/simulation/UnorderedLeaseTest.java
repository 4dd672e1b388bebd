package io.quincelead.simulation;

import static io.quincelead.simulation.ClusterAssertions.assertAllJobsFinished;
import static io.quincelead.simulation.CompoundFaultFixtures.clusterWithReadyMachines;
import static io.quincelead.simulation.CompoundFaultFixtures.machinesOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Lease IDs in no order: a restarted controller's lease may have a smaller ID than its last one.
 */
class UnorderedLeaseTest {
    private static final long START_LIMIT_MILLIS = 30_000;

    /** The leader ignored a restarted controller's statuses and left its machines unused. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leaderUsesMachinesOfARestartedController(long seed) {
        SimulatedCluster cluster = clusterWithReadyMachines(seed, 3, 12);
        cluster.start();
        cluster.runUntil(12_000);
        int restarted = (cluster.leaderIndex() + 1) % 3;
        String memberId = cluster.controllers.get(restarted).memberId;
        long firstLease = leaseId(cluster, memberId);
        cluster.faults.crashController(restarted, 3_000);
        cluster.expectFaultsUntil(16_000);
        cluster.runUntil(24_000);
        assertTrue(leaseId(cluster, memberId) < firstLease, "the new lease has a larger ID");
        assertTrue(!machinesOf(cluster, memberId).isEmpty(), "it has no machines");
        // As much as all machines hold, so that the leader has to use the restarted one's.
        cluster.submit(
                JobFixtures.array(1, "red", JobSpec.Priority.NORMAL, 96, 1, 60),
                cluster.leaderIndex());

        cluster.runUntil(24_000 + START_LIMIT_MILLIS);

        assertEquals(96, cluster.taskStartsByJob.getOrDefault("wk-000001", 0));
        cluster.runUntil(180_000);
        assertAllJobsFinished(cluster, 1);
    }

    private static long leaseId(SimulatedCluster cluster, String memberId) {
        return cluster.store.value("a/n/" + memberId).path("g").asLong();
    }
}
