package io.quincelead.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which submissions reached a controller that could have accepted them. A job that was never
 * accepted has no first start, but counts as starved unless at each of its submission attempts the
 * controller was dead, was partitioned from the user or the store, was refused by the store, or had
 * been so until just before.
 */
final class SubmissionReachability {
    /**
     * Time in ms until a controller is ready again after the end of an impairment, as
     * docs/operations/capacity.md states.
     */
    private static final long RECOVERY_MILLIS = 500;

    /** Interval in ms between two checks of the controllers. */
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

    /** Records which controllers are impaired; called every {@link #CHECK_INTERVAL_MILLIS}. */
    void check() {
        for (SimulatedCluster.SimulatedController controller : cluster.controllers) {
            if (isImpaired(controller)) {
                impairedAtMillis.put(controller, cluster.nowMillis());
            }
        }
    }

    /** Called when a submission of the job is sent to a controller. */
    void onAttempt(String jobId, SimulatedCluster.SimulatedController controller) {
        attemptedJobs.add(jobId);
        long readyAtMillis = impairedAtMillis.getOrDefault(controller, 0L) + RECOVERY_MILLIS;
        if (!isImpaired(controller) && cluster.nowMillis() >= readyAtMillis) {
            reachedJobs.add(jobId);
        }
    }

    /**
     * Whether no submission attempt of the job reached a controller that could have accepted it.
     */
    boolean neverReachedReadyController(String jobId) {
        return attemptedJobs.contains(jobId)
                && !reachedJobs.contains(jobId)
                && !cluster.acceptedJobs().contains(jobId);
    }
}
