package io.quincelead.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A job as a user submitted it; immutable.
 *
 * @param jobId identifies the job; never reused
 * @param jobClass the job's class, as named in the settings' objectives
 * @param team the team whose quota the job uses
 * @param taskCount number of tasks of an array or gang, or of replicas of a service
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 * @param memoryGb memory of one task
 * @param machineTypes the machine types allowed; null: any. Must not be modified
 * @param zone the zone required; null: any
 * @param zoneAffinity whether all tasks have to be in one zone
 * @param zoneSpread whether at most half of the tasks, rounded up, may be in one zone
 * @param preemptible whether the job may run on spot machines
 * @param image the container image
 * @param runtimeSeconds the user's estimate of a task's run time, often wrong; 0 for services
 * @param checkpointIntervalSeconds progress between two checkpoints; 0: no checkpoints
 * @param checkpointSeconds time that a task needs to write a checkpoint when it is stopped
 * @param deadlineSeconds time from the submission to the deadline; {@link #NO_DEADLINE}: none
 */
public record JobSpec(
        String jobId,
        String jobClass,
        String team,
        Mode mode,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> machineTypes,
        String zone,
        boolean zoneAffinity,
        boolean zoneSpread,
        boolean preemptible,
        String image,
        double imageSizeGb,
        double runtimeSeconds,
        double checkpointIntervalSeconds,
        double checkpointSeconds,
        double deadlineSeconds) {

    /** Value of {@code deadlineSeconds} for a job without a deadline. */
    public static final double NO_DEADLINE = -1;

    private static final Pattern JOB_ID_PATTERN = Pattern.compile("wk-[0-9]{1,40}");

    /** How the tasks of a job depend on each other. */
    public enum Mode {
        /** A job array: each task runs on its own. */
        ARRAY("array"),
        /** All tasks run at the same time or none does. */
        GANG("ensemble"),
        /** A service: the replicas run until the job is cancelled. */
        SERVICE("standing");

        private final String wireName;

        Mode(String wireName) {
            this.wireName = wireName;
        }

        /** The name in submissions, records and operators' commands. */
        public String wireName() {
            return wireName;
        }
    }

    /** Priorities, most urgent first. */
    public enum Priority {
        /** Scheduled before all other priorities. */
        PRODUCTION("production"),
        /** Scheduled before {@link #NORMAL}. */
        HIGH("high"),
        /** The usual priority. */
        NORMAL("normal"),
        /** Uses only capacity that other priorities leave free. */
        BEST_EFFORT("best_effort");

        private final String wireName;

        Priority(String wireName) {
            this.wireName = wireName;
        }

        /** The name in submissions, records and operators' commands. */
        public String wireName() {
            return wireName;
        }
    }

    /** Thrown if a submission is not a valid job; the message names the invalid field. */
    public static final class MalformedJobException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJobException(String message) {
            // No stack trace: invalid submissions are expected, and users may send any number of
            // them.
            super(message, null, false, false);
        }
    }

    /** Whether the text is a valid job id. */
    public static boolean isValidJobId(String jobId) {
        return JOB_ID_PATTERN.matcher(jobId).matches();
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return mode == Mode.GANG;
    }

    /** Whether the priority is HIGH or PRODUCTION. */
    public boolean isUrgent() {
        return priority.ordinal() <= Priority.HIGH.ordinal();
    }

    /** Whether the tasks are independent of each other and end by themselves. */
    public boolean isArray() {
        return mode == Mode.ARRAY;
    }

    /** Whether the job is a service, whose replicas run until it is cancelled. */
    public boolean isService() {
        return mode == Mode.SERVICE;
    }

    /**
     * Whether the job is an array that names no machine type, zone or pricing and needs no GPUs.
     * Its tasks may still be too large for some machine types: see {@link
     * MachineTypeCatalog#isUnconstrained}.
     */
    public boolean allowsAnyOffering() {
        return isArray()
                && gpus == 0
                && machineTypes == null
                && zone == null
                && preemptible
                && !zoneAffinity;
    }

    /**
     * Decodes a job as submitted or stored.
     *
     * @param node null if the body of a submission was not a map
     * @throws MalformedJobException if the node is not a valid job; the message is meant for the
     *     user
     */
    public static JobSpec decode(ObjectNode node) throws MalformedJobException {
        return JobSpecCodec.decode(node);
    }

    /** Encodes the job in the form in which it is submitted and stored. */
    public ObjectNode encode() {
        return JobSpecCodec.encode(this);
    }
}
