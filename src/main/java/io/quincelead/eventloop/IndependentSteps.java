package io.quincelead.eventloop;

/**
 * Runs steps that don't depend on each other, so that an exception in one prevents none of the
 * others. The first exception is thrown again at the end.
 */
public final class IndependentSteps {
    private RuntimeException firstFailure;

    /** Runs a step; an exception that it throws is kept. */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            if (firstFailure == null) {
                firstFailure = failure;
            } else {
                firstFailure.addSuppressed(failure);
            }
        }
    }

    /** Throws the first exception of a step, if any step threw one. */
    public void throwFirstFailure() {
        if (firstFailure != null) {
            throw firstFailure;
        }
    }
}
