package io.quincelead.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which submissions met a controller that could have accepted them. A job that nobody ever accepted
 * has no first start; it counts as starved all the same unless each of its attempts met a
 * controller that was dead, or cut off from the user or the store, or had been until just before.
 */
final class SubmissionReachability {
    /**
     * ms after which a controller is ready again once nothing impairs it any more, as
     * docs/operations/capacity.md states.
     */
    private static final long RECOVERY_MILLIS = 500;

    /** ms between two looks at the controllers. */
    static final long CHECK_INTERVAL_MILLIS = 50;

    private final SimulatedCluster cluster;
    private final Map<SimulatedCluster.SimulatedController, Long> impairedAtMillis =
            new HashMap<>();
    private final Set<String> attemptedJobs = new HashSet<>();
    private final Set<String> reachedJobs = new HashSet<>();

    SubmissionReachability(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    private boolean isImpaired(SimulatedCluster.SimulatedController controller) {
        return !controller.isStarted()
                || !controller.isAlive()
                || cluster.network.isPartitioned(controller.ip, SimulatedCluster.USERS_ADDRESS)
                || cluster.network.isPartitioned(controller.ip, SimulatedCluster.STORE_ADDRESS)
                || cluster.store.isUnavailableTo(controller.ip);
    }

    /** Looks at every controller; called at each interval. */
    void check() {
        for (SimulatedCluster.SimulatedController controller : cluster.controllers) {
            if (isImpaired(controller)) {
                impairedAtMillis.put(controller, cluster.nowMillis());
            }
        }
    }

    /** The job's submission is being sent to this controller. */
    void onAttempt(String jobId, SimulatedCluster.SimulatedController controller) {
        attemptedJobs.add(jobId);
        long readyAtMillis = impairedAtMillis.getOrDefault(controller, 0L) + RECOVERY_MILLIS;
        if (!isImpaired(controller) && cluster.nowMillis() >= readyAtMillis) {
            reachedJobs.add(jobId);
        }
    }

    /** Whether no attempt to submit the job met a controller that could have accepted it. */
    boolean neverReachedReadyController(String jobId) {
        return attemptedJobs.contains(jobId)
                && !reachedJobs.contains(jobId)
                && !cluster.acceptedJobs().contains(jobId);
    }
}
