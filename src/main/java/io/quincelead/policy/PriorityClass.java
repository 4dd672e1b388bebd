package io.quincelead.policy;

/**
 * A priority class that operators define.
 *
 * @param name unique among the classes of a generation
 * @param description for people; may be empty
 * @param selector selects the jobs of the class, unless an earlier class matches them
 * @param rank order among waiting work of one tier; smaller ranks go first
 * @param startWithinSeconds seconds within which each of its jobs should have started
 * @param minStartedShare share of a job's tasks, 0 to 1, that should have started within that time
 * @param preemptionProtection which work may preempt its running tasks
 * @param priorityFloor lowest priority by which its waiting jobs are ordered
 * @param unreachableZoneTimeoutSeconds seconds for which replicas in an unreachable zone are left
 *     there, though they may serve nobody; negative: the class doesn't set it
 * @param minShareAfterZoneLoss share of a service's replicas, 0 to 1, that should remain when any
 *     one zone is lost; 0: the class doesn't set it
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
     * Which work may preempt running tasks of the class. It only narrows what the protocol allows.
     */
    public enum PreemptionProtection {
        /** Any work that the protocol allows. */
        PROTOCOL("protocol"),
        /** Only production and high work. */
        URGENT("urgent"),
        /** No work; drains and cancellations still stop the tasks. */
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
     * Lowest priority by which waiting jobs of the class are ordered; a job with a higher priority
     * keeps its own. What the jobs may preempt doesn't change.
     */
    public enum PriorityFloor {
        /** The jobs' own priority. */
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
