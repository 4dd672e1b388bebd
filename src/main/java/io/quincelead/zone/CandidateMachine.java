package io.quincelead.zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A machine in a zone that is not lost, with its free capacity and the capacity used by tasks that
 * more urgent work may displace.
 */
final class CandidateMachine {
    private static final double TOLERANCE = 1e-9;

    private final String host;
    private final MachineOffering offering;
    private final Set<String> cachedImages;

    /** Capacity used by displaceable tasks, by the ordinal of the tasks' priority. */
    private final List<Resources> displaceableByPriority;

    private Resources free;

    /** The collections are copied. */
    CandidateMachine(
            String host,
            MachineOffering offering,
            Resources free,
            List<Resources> displaceableByPriority,
            Set<String> cachedImages) {
        this.host = host;
        this.offering = offering;
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
     * The ordinal of the most urgent priority whose tasks must be displaced for a replica, if the
     * least urgent tasks are displaced first; null if displacing all of them isn't enough.
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

    /**
     * Allocates the capacity for a replica, displacing the least urgent tasks first if necessary.
     */
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
