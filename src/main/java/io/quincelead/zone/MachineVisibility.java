package io.quincelead.zone;

/** What the owners of machines know about them from the workers' heartbeats. */
public interface MachineVisibility {
    /**
     * Whether the machine is still booting; null if its owner hasn't reported recently, or if no
     * shard contains the machine.
     */
    Boolean isBooting(String host);

    /** Whether heartbeats of the machine's worker reach its owner. */
    boolean isReachable(String host);
}
