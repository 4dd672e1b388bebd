package io.quincelead.zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine in a zone that is not lost, with its free capacity, and with the capacity that work
 * holds which may be displaced by more urgent work.
 */
final class CandidateMachine {
    private static final double TOLERANCE = 1e-9;

    private final String host;
    private final MachineOffering offering;
    private final Set<String> cachedImages;

    /** What work that may be stopped holds, by the ordinal of that work's priority. */
    private final List<Resources> displaceableByPriority;

    private Resources free;

    /** The collections are copied. */
    CandidateMachine(
            String host,
            MachineOffering offer,
            Resources free,
            List<Resources> displaceableByPriority,
            Set<String> cachedImages) {
        this.host = host;
        this.offering = offer;
        this.free = free;
        this.displaceableByPriority = new ArrayList<>(displaceableByPriority);
        this.cachedImages = new HashSet<>(cachedImages);
    }

    String host() {
        return host;
    }

    MachineOffering offering() {
        return offering;
    }

    String zone() {
        return offering.zone();
    }

    boolean hasImage(RecoverableService service) {
        return cachedImages.contains(service.image());
    }

    int cachedImageCount() {
        return cachedImages.size();
    }

    /** Whether a replica fits the free capacity. */
    boolean fits(RecoverableService service) {
        return free.covers(service.demand(), TOLERANCE);
    }

    /**
     * The ordinal of the most urgent priority whose work must be stopped for a replica, when the
     * least urgent work is stopped first; null if all that may be stopped isn't enough.
     */
    Integer displacedPriority(RecoverableService service) {
        Resources available = free;
        for (int priority = displaceableByPriority.size() - 1;
                priority > service.priority();
                priority--) {
            available = available.plus(displaceableByPriority.get(priority));
            if (available.covers(service.demand(), TOLERANCE)) {
                return priority;
            }
        }
        return null;
    }

    /** Takes the capacity for a replica, stopping the least urgent work first if need be. */
    void allocate(RecoverableService service) {
        Resources missing = service.demand().minus(free);
        for (int priority = displaceableByPriority.size() - 1;
                priority > service.priority() && missing.isAnyAbove(TOLERANCE);
                priority--) {
            Resources displaced = displaceableByPriority.set(priority, Resources.NONE);
            free = free.plus(displaced);
            missing = missing.minus(displaced);
        }
        free = free.minus(service.demand());
        cachedImages.add(service.image());
    }
}
