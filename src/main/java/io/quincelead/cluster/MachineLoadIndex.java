package io.quincelead.cluster;

import java.util.HashMap;
import java.util.Map;

/** The placements on record and the resources they use, by machine. */
final class MachineLoadIndex {
    private final Map<String, MachineLoad> loadByHost = new HashMap<>();

    /** The machine's load; null if no task is placed on the machine. */
    MachineLoad get(String host) {
        return loadByHost.get(host);
    }

    /** The placements on the machine, by task id. */
    Map<String, Placement> placementsOn(String host) {
        MachineLoad load = loadByHost.get(host);
        return load == null ? Map.of() : load.placementsByTask;
    }

    /** Adds the placement, replacing an earlier one of the same task on the same machine. */
    void add(Placement placement) {
        placement.machineLoad = loadByHost.computeIfAbsent(placement.host, h -> new MachineLoad());
        placement.machineLoad.placementsByTask.put(placement.taskId(), placement);
        placement.machineLoad.invalidate();
    }

    void remove(Placement placement) {
        MachineLoad load = loadByHost.get(placement.host);
        if (load != null) {
            load.placementsByTask.remove(placement.taskId());
            load.invalidate();
            if (load.placementsByTask.isEmpty()) {
                loadByHost.remove(placement.host);
            }
        }
        placement.machineLoad = null;
    }
}
