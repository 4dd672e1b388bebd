package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;

/** Assertions that hold at the end of most scenarios. */
final class ClusterAssertions {
    private ClusterAssertions() {}

    /** Asserts that no invariant has been violated so far. */
    static void assertNoViolations(SimulatedCluster cluster) {
        assertEquals(Set.of(), cluster.violations());
    }

    /**
     * Asserts that no invariant has been violated and that so many jobs were accepted, each of
     * which has a final status that its user was told.
     */
    static void assertAllJobsFinished(SimulatedCluster cluster, int jobCount) {
        assertNoViolations(cluster);
        assertEquals(jobCount, cluster.acceptedJobCount());
        assertEquals(List.of(), cluster.unfinishedJobs());
    }
}
