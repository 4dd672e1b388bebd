package io.quincelead.scheduler;

/** What is known of machines apart from their records. */
interface MachineStatus {
    /**
     * Whether new tasks may go to the machine.
     *
     * @param owner member id of the controller whose shard the machine is in
     */
    boolean isAcceptingTasks(String owner, String host);

    /** Seconds until a start can be sent to the machine. */
    double startDelaySeconds(String host);
}
