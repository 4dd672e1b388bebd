package io.quincelead.policy;

/**
 * Counts of the jobs that an occurrence covers.
 *
 * @param jobs covered jobs seen so far
 * @param done covered jobs that are done
 * @param cancelled covered jobs that were cancelled
 * @param lastDoneMillis when the last covered job was done, in ms since 1970; 0: none yet
 * @param peakCpus peak of the CPUs that covered jobs used
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
