package io.quincelead.scheduler;

/** Whether, in one plan, work was held back from free capacity that is left to others. */
final class CapacityWithholding {
    private boolean occurred;
    private boolean mayAdmit;

    /**
     * @param mayAdmit whether one task is let in all the same
     */
    CapacityWithholding(boolean mayAdmit) {
        this.mayAdmit = mayAdmit;
    }

    /** Whether it still makes a difference that some work is held back. */
    boolean canChange() {
        return !occurred || mayAdmit;
    }

    /** Some work is held back. Returns whether one task of it is let in: at most once a plan. */
    boolean tryAdmitTask() {
        occurred = true;
        boolean admitted = mayAdmit;
        mayAdmit = false;
        return admitted;
    }

    /** Whether any work was held back. */
    boolean occurred() {
        return occurred;
    }
}
