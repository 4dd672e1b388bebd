package io.quincelead.policy;

/**
 * What is counted of the work that an occurrence covers.
 *
 * @param jobs covered jobs seen so far
 * @param done those that are done
 * @param cancelled those that were cancelled
 * @param lastDoneMillis when the last one was done, in ms since 1970; 0: none yet
 * @param peakCpus CPUs that they used at their peak
 */
record OccurrenceCounts(int jobs, int done, int cancelled, long lastDoneMillis, double peakCpus) {
    /** Nothing is counted yet. */
    static final OccurrenceCounts NONE = new OccurrenceCounts(0, 0, 0, 0, 0);

    OccurrenceCounts plusJob() {
        return new OccurrenceCounts(jobs + 1, done, cancelled, lastDoneMillis, peakCpus);
    }

    OccurrenceCounts plusCompletion(JobCompletion completion) {
        return completion.done()
                ? new OccurrenceCounts(
                        jobs,
                        done + 1,
                        cancelled,
                        Math.max(lastDoneMillis, completion.completedAtMillis()),
                        peakCpus)
                : new OccurrenceCounts(jobs, done, cancelled + 1, lastDoneMillis, peakCpus);
    }

    OccurrenceCounts withPeakCpus(double cpus) {
        return new OccurrenceCounts(jobs, done, cancelled, lastDoneMillis, cpus);
    }
}
