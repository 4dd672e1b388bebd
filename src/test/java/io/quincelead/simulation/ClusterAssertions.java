package io.quincelead.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;

/** What holds at the end of most scenarios. */
final class ClusterAssertions {
    private ClusterAssertions() {}

    /** No invariant was violated so far. */
    static void assertNoViolations(SimulatedCluster cluster) {
        assertEquals(Set.of(), cluster.violations());
    }

    /**
     * Nor were they, and so many jobs were accepted, each of which has reached its end and its user
     * knows.
     */
    static void assertAllJobsFinished(SimulatedCluster cluster, int jobCount) {
        assertNoViolations(cluster);
        assertEquals(jobCount, cluster.acceptedJobCount());
        assertEquals(List.of(), cluster.unfinishedJobs());
    }
}
