package io.quincelead.zone;

/** What the controllers that own machines know of them by their workers' heartbeats. */
public interface MachineVisibility {
    /**
     * Whether the machine is still booting; null when its owner wasn't heard recently, or no shard
     * holds the machine.
     */
    Boolean isBooting(String host);

    /** Whether heartbeats of the machine's worker reach its owner. */
    boolean isReachable(String host);
}
