package io.quincelead.cluster;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/**
 * What a user asks for, as submitted; it never changes.
 *
 * @param jobId names the job for ever
 * @param jobClass the class of jobs that it belongs to; the settings' objectives name them
 * @param team whose quota it uses
 * @param taskCount tasks of an array, members of a gang, replicas of a service
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 * @param memoryGb memory of one task
 * @param machineTypes the machine types allowed; null: any. Not to be changed
 * @param zone the zone required; null: any
 * @param zoneAffinity whether all tasks have to be in one zone
 * @param zoneSpread whether at most half of the tasks, rounded up, may be in one zone
 * @param preemptible whether it may run on spot machines
 * @param image the container image
 * @param runtimeSeconds the user's estimate of a task's run time, often wrong; 0 for services
 * @param checkpointIntervalSeconds progress between two checkpoints; 0: a task never saves
 * @param checkpointSeconds time that a task needs to save when it is stopped
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

    /** Stands for the deadline of a job that has none. */
    public static final double NO_DEADLINE = -1;

    private static final Pattern JOB_ID_PATTERN = Pattern.compile("wk-[0-9]{1,40}");

    /** How the tasks of a job belong together. */
    public enum Mode {
        /** A job array: each task runs on its own. */
        ARRAY("array"),
        /** All tasks run at the same time or none does. */
        GANG("ensemble"),
        /** Its replicas run until it is cancelled. */
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
        /** Before everything else. */
        PRODUCTION("production"),
        /** Before what is normal. */
        HIGH("high"),
        /** The usual one. */
        NORMAL("normal"),
        /** Takes what the others leave. */
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

    /** A submission that is not a job; the message names the wrong field. */
    public static final class MalformedJobException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJobException(String message) {
            // Without stack trace: an expected outcome, as often as users like.
            super(message, null, false, false);
        }
    }

    /** Whether a job may be named so. */
    public static boolean isValidJobId(String jobId) {
        return JOB_ID_PATTERN.matcher(jobId).matches();
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return mode == Mode.GANG;
    }

    /** Whether its priority is HIGH or PRODUCTION. */
    public boolean isUrgent() {
        return priority.ordinal() <= Priority.HIGH.ordinal();
    }

    /** Whether its tasks are independent of each other and end by themselves. */
    public boolean isArray() {
        return mode == Mode.ARRAY;
    }

    /** Whether its replicas run until it is cancelled. */
    public boolean isService() {
        return mode == Mode.SERVICE;
    }

    /** Whether any machine may run it and it is counted in CPUs alone. */
    public boolean isUnconstrained() {
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
     * @param node null where the body of a submission was no map
     * @throws MalformedJobException if it is not a job; the message is for the user
     */
    public static JobSpec decode(ObjectNode node) throws MalformedJobException {
        return JobSpecCodec.decode(node);
    }

    /** The job as submitted and stored. */
    public ObjectNode encode() {
        return JobSpecCodec.encode(this);
    }
}
