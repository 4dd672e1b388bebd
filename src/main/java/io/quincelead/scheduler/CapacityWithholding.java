package io.quincelead.scheduler;

/** Tracks whether one plan withheld free capacity from some work in favour of other work. */
final class CapacityWithholding {
    private boolean occurred;
    private boolean mayAdmit;

    /**
     * @param mayAdmit whether one task may be admitted to the withheld capacity
     */
    CapacityWithholding(boolean mayAdmit) {
        this.mayAdmit = mayAdmit;
    }

    /** Whether a call to {@link #tryAdmitTask} would still change this state. */
    boolean canChange() {
        return !occurred || mayAdmit;
    }

    /**
     * Records that capacity is withheld from a task. Returns whether the task is admitted to it all
     * the same: at most once per plan.
     */
    boolean tryAdmitTask() {
        occurred = true;
        boolean admitted = mayAdmit;
        mayAdmit = false;
        return admitted;
    }

    /** Whether capacity was withheld from any work. */
    boolean occurred() {
        return occurred;
    }
}
