package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import java.util.List;

/**
 * One generation of the priority classes, in their stated order; the first class that matches a job
 * is the job's class.
 */
public final class PriorityClasses {
    /** No classes on record: jobs are ranked by the protocol and the settings alone. */
    public static final PriorityClasses NONE = new PriorityClasses(0, List.of());

    private final long generation;
    private final List<PriorityClass> all;

    PriorityClasses(long generation, List<PriorityClass> all) {
        this.generation = generation;
        this.all = List.copyOf(all);
    }

    /** The generation's number; 0: no classes. */
    public long generation() {
        return generation;
    }

    /** The classes in their stated order. */
    public List<PriorityClass> all() {
        return all;
    }

    /** The job's class; null if none matches. */
    public PriorityClass classOf(JobSpec spec) {
        for (PriorityClass priorityClass : all) {
            if (priorityClass.selector().matches(spec)) {
                return priorityClass;
            }
        }
        return null;
    }
}
