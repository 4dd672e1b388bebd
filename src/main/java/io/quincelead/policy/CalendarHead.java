package io.quincelead.policy;

import io.quincelead.config.constants.PolicyConstants;
import java.util.ArrayList;
import java.util.List;

/**
 * Head record of the calendar, whose generation rises with each change of an entry and of an
 * occurrence's state.
 *
 * @param generation 0 before the first change
 * @param recentChangeIds ids of the operators' last changes, the oldest first
 */
record CalendarHead(long generation, List<String> recentChangeIds) {
    /** The calendar was never changed. */
    static final CalendarHead EMPTY = new CalendarHead(0, List.of());

    CalendarHead {
        recentChangeIds = List.copyOf(recentChangeIds);
    }

    /** The head after a change that isn't an operator's. */
    CalendarHead withNextGeneration() {
        return new CalendarHead(generation + 1, recentChangeIds);
    }

    /** The head after an operator's change. */
    CalendarHead withNextGeneration(String changeId) {
        int droppedCount = recentChangeIds.size() - PolicyConstants.MAX_REMEMBERED_CHANGES + 1;
        List<String> changeIds =
                new ArrayList<>(
                        recentChangeIds.subList(Math.max(0, droppedCount), recentChangeIds.size()));
        changeIds.add(changeId);
        return new CalendarHead(generation + 1, changeIds);
    }
}
