package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import java.util.List;

/**
 * One generation of the priority classes, in their stated order; the first that matches a job is
 * its class.
 */
public final class PriorityClasses {
    /** No record: every job is ranked as the protocol and the settings say. */
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
        for (PriorityClass jobClass : all) {
            if (jobClass.selector().matches(spec)) {
                return jobClass;
            }
        }
        return null;
    }
}
