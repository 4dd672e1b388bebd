package io.quincelead.autoscaler;

import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.eventloop.EventLoop;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the offerings that the cloud has recently refused for lack of capacity. A refusal no later
 * than one pause length after the end of the offering's last pause doubles the pause, up to a
 * maximum.
 */
final class CapacityBackoff {
    private record Pause(long untilMillis, long lengthMillis) {}

    private final EventLoop eventLoop;
    private final Map<String, Pause> pausesByOffering = new HashMap<>();

    CapacityBackoff(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    boolean isPaused(String offeringId) {
        Pause pause = pausesByOffering.get(offeringId);
        return pause != null && eventLoop.nowMillis() < pause.untilMillis;
    }

    void recordRefusal(String offeringId) {
        Pause previous = pausesByOffering.get(offeringId);
        long lengthMillis =
                previous == null
                                || eventLoop.nowMillis() - previous.untilMillis
                                        > previous.lengthMillis
                        ? AutoscalerConstants.NO_CAPACITY_BACKOFF_INITIAL_MILLIS
                        : Math.min(
                                AutoscalerConstants.NO_CAPACITY_BACKOFF_MAX_MILLIS,
                                previous.lengthMillis * 2);
        pausesByOffering.put(
                offeringId, new Pause(eventLoop.nowMillis() + lengthMillis, lengthMillis));
    }
}
