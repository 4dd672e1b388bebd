package io.quincelead.policy;

import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the jobs that occurrences cover. A job that is gone from the job table has a final record,
 * which is read from the store and kept in memory until each occurrence has counted the job.
 */
final class CoveredJobCounter {
    private final EventLoop loop;
    private final StoreClient store;
    private final JobTable jobs;
    private final PolicyRecords records;
    private final Map<String, JobCompletion> completionByJobId = new HashMap<>();
    private final Set<String> readsInFlight = new HashSet<>();

    CoveredJobCounter(EventLoop loop, StoreClient store, JobTable jobs, PolicyRecords records) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.records = records;
    }

    /**
     * Updates an occurrence's counts from the job table, the final records read so far and the
     * uncounted completions.
     *
     * @param countedCompletions receives the ids of the jobs whose uncounted completions are
     *     counted now
     * @return whether any count has changed
     */
    boolean updateCounts(ScheduledOccurrence occurrence, List<String> countedCompletions) {
        boolean changed = countOpenJobs(occurrence);
        changed |= countCompletedJobs(occurrence);
        changed |= countUncountedCompletions(occurrence, countedCompletions);
        return changed;
    }

    private boolean countOpenJobs(ScheduledOccurrence occurrence) {
        boolean changed = false;
        double usedCpus = 0;
        for (Job job : jobs.all()) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                usedCpus += job.possiblyRunningTaskCount() * job.spec.cpus();
                if (!occurrence.openJobIds().contains(job.spec.jobId())
                        && occurrence.openJobIds().size() < PolicyConstants.MAX_COVERED_OPEN_JOBS) {
                    occurrence.addOpenJob(job.spec.jobId());
                    changed = true;
                }
            }
        }
        return occurrence.updatePeakCpus(usedCpus) || changed;
    }

    private boolean countCompletedJobs(ScheduledOccurrence occurrence) {
        boolean changed = false;
        for (String jobId : new ArrayList<>(occurrence.openJobIds())) {
            if (jobs.get(jobId) == null) {
                JobCompletion completion = completionByJobId.get(jobId);
                if (completion == null) {
                    readCompletion(jobId);
                } else {
                    occurrence.completeOpenJob(jobId, completion);
                    changed = true;
                }
            }
        }
        return changed;
    }

    private boolean countUncountedCompletions(
            ScheduledOccurrence occurrence, List<String> countedCompletions) {
        boolean changed = false;
        for (Map.Entry<String, UncountedCompletion> entry :
                records.uncountedCompletions().entrySet()) {
            String jobId = entry.getKey();
            UncountedCompletion uncounted = entry.getValue();
            if (uncounted.occurrenceKeys().contains(occurrence.key())
                    && countedCompletions.size() < PolicyConstants.MAX_RECORDS_PER_SWEEP) {
                if (!occurrence.openJobIds().contains(jobId)) {
                    occurrence.addCompletedJob(uncounted.completion());
                }
                countedCompletions.add(jobId);
                changed = true;
            }
        }
        return changed;
    }

    /** Reads the final record of a covered job that is gone from the job table. */
    private void readCompletion(String jobId) {
        if (readsInFlight.size() >= PolicyConstants.MAX_CONCURRENT_FINAL_STATE_READS
                || !readsInFlight.add(jobId)) {
            return;
        }
        store.get(
                StoreKeys.FINAL_STATE_PREFIX + jobId,
                (status, body) -> {
                    readsInFlight.remove(jobId);
                    if (status == 200) {
                        completionByJobId.put(
                                jobId,
                                CalendarCodec.decodeFinalState(
                                        body.path("value"), loop.wallClockMillis()));
                    }
                });
    }

    /** Drops completions that no live occurrence has yet to count. */
    void dropUnreferencedCompletions() {
        completionByJobId
                .keySet()
                .removeIf(
                        jobId ->
                                records.occurrences().values().stream()
                                        .noneMatch(
                                                occurrence ->
                                                        occurrence.openJobIds().contains(jobId)));
    }

    /** Drops all completions that were read. */
    void forgetCompletions() {
        completionByJobId.clear();
    }
}
