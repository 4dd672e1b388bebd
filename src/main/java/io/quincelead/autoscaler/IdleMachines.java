package io.quincelead.autoscaler;

import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTable;
import io.quincelead.eventloop.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when machines that are up have had no task. The times are kept in memory only: a new
 * leader starts without them.
 */
final class IdleMachines {
    private final EventLoop eventLoop;
    private final JobTable jobs;
    private final Map<String, Long> idleSinceMillisByHost = new HashMap<>();

    IdleMachines(EventLoop eventLoop, JobTable jobs) {
        this.eventLoop = eventLoop;
        this.jobs = jobs;
    }

    /**
     * Records which of the machines that are up have no task.
     *
     * @param presentHosts all hosts on record; others are forgotten
     */
    void observe(List<MachineTable.Machine> readyMachines, Set<String> presentHosts) {
        for (MachineTable.Machine machine : readyMachines) {
            if (!jobs.placementsOn(machine.host()).isEmpty()) {
                idleSinceMillisByHost.remove(machine.host());
            } else {
                idleSinceMillisByHost.putIfAbsent(machine.host(), eventLoop.nowMillis());
            }
        }
        idleSinceMillisByHost.keySet().retainAll(presentHosts);
    }

    /**
     * Since when the machine has had no task, on the event loop's clock; null when it has tasks or
     * isn't known to be up.
     */
    Long idleSinceMillis(String host) {
        return idleSinceMillisByHost.get(host);
    }

    void forget(String host) {
        idleSinceMillisByHost.remove(host);
    }

    void clear() {
        idleSinceMillisByHost.clear();
    }
}
