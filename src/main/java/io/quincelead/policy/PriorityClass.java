package io.quincelead.policy;

/**
 * A priority class that operators define.
 *
 * @param name names the class among all of its generation
 * @param description for people; may be empty
 * @param selector the jobs that are of the class, unless an earlier one matches them
 * @param rank the smaller, the earlier among waiting work of one tier
 * @param startWithinSeconds seconds within which each of its jobs should have started
 * @param minStartedShare part of a job's tasks, 0 to 1, that should have started by then
 * @param preemptionProtection whom its running tasks may be preempted for
 * @param priorityFloor the priority by which its waiting jobs are ordered
 * @param unreachableZoneTimeoutSeconds seconds for which replicas in a zone that can't be reached
 *     are left there, though they may serve nobody; negative: as without the class
 * @param minShareAfterZoneLoss part of a service's replicas, 0 to 1, that should be left when any
 *     one zone is lost; 0: as without the class
 */
public record PriorityClass(
        String name,
        String description,
        JobSelector selector,
        int rank,
        double startWithinSeconds,
        double minStartedShare,
        PreemptionProtection preemptionProtection,
        PriorityFloor priorityFloor,
        double unreachableZoneTimeoutSeconds,
        double minShareAfterZoneLoss) {
    /**
     * Whose work its running tasks may be preempted for. It only narrows what the protocol allows.
     */
    public enum PreemptionProtection {
        /** Whatever the protocol allows. */
        PROTOCOL("protocol"),
        /** Production and high work alone. */
        URGENT("urgent"),
        /** Nobody's; drains and cancellations apart. */
        NEVER("never");

        private final String wireName;

        PreemptionProtection(String wireName) {
            this.wireName = wireName;
        }

        /** The name in operators' files and on record. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Up to which priority its waiting jobs are ordered as if they had it; what they may preempt
     * stays as it is.
     */
    public enum PriorityFloor {
        /** By their own priority. */
        NONE("none"),
        /** At least as normal work. */
        NORMAL("normal"),
        /** At least as high work. */
        HIGH("high"),
        /** As production work. */
        PRODUCTION("production");

        private final String wireName;

        PriorityFloor(String wireName) {
            this.wireName = wireName;
        }

        /** The name in operators' files and on record. */
        public String wireName() {
            return wireName;
        }
    }
}
