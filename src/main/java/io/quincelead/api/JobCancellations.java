package io.quincelead.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.transport.IncomingRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs. A cancellation is committed with the job's mod revision as its precondition, so
 * that no later scheduling cycle starts a task of the job. The response is sent once all tasks have
 * terminated.
 */
final class JobCancellations {
    private static final Logger LOG = LoggerFactory.getLogger(JobCancellations.class);

    private final EventLoop loop;
    private final ApiStore store;
    private final JobTable jobs;
    private final FinalStates finalStates;
    private final JobCompleter completer;

    JobCancellations(
            EventLoop loop,
            ApiStore store,
            JobTable jobs,
            FinalStates finalStates,
            JobCompleter completer) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.finalStates = finalStates;
        this.completer = completer;
    }

    /**
     * Cancels a job; if it is cancelled already, repeats the response. The response is the final
     * state, which may be "done", or 503 if it can't be given in time, so that the user retries.
     */
    void cancel(String jobId, IncomingRequest request) {
        ObjectNode cached = finalStates.cached(jobId);
        if (cached != null) {
            request.respond(200, cached);
            return;
        }
        if (!JobSpec.isValidJobId(jobId)) {
            ApiResponses.respondNoSuchJob(request);
            return;
        }
        if (!store.isReady()) {
            ApiResponses.respondNotReady(request);
            return;
        }
        Job job = jobs.get(jobId);
        LOG.debug("cancellation of job {} requested", jobId);
        if (job == null) {
            store.client()
                    .get(
                            StoreKeys.JOB_PREFIX + jobId,
                            (status, body) -> {
                                if (status == 200) {
                                    request.respondRetryLater(
                                            503, "this controller is catching up");
                                } else if (status == 404) {
                                    finalStates.respondFromRecord(
                                            jobId,
                                            request,
                                            () -> ApiResponses.respondNoSuchJob(request));
                                } else {
                                    ApiResponses.respondStoreUnavailable(request);
                                }
                            });
            return;
        }
        if (job.isCancelled()) {
            awaitTermination(
                    jobId,
                    request,
                    loop.nowMillis() + ApiConstants.USER_REQUEST_TIMEOUT_MILLIS,
                    false);
            return;
        }
        if (store.committer().isFull()) {
            ApiResponses.respondOverloaded(request);
            return;
        }
        commitCancellation(
                job, request, loop.nowMillis() + ApiConstants.USER_REQUEST_TIMEOUT_MILLIS);
    }

    private void commitCancellation(Job job, IncomingRequest request, long deadlineMillis) {
        Transaction transaction =
                new Transaction()
                        .requireRevision(job.storeKey(), store.cache().modRevision(job.storeKey()))
                        .put(
                                job.storeKey(),
                                job.encode(job.controllerId(), loop.wallClockMillis()));
        store.committer()
                .submit(
                        transaction,
                        Math.max(0, deadlineMillis - loop.nowMillis()),
                        outcome -> {
                            LOG.debug(
                                    "commit of the cancellation of job {}: {}",
                                    job.spec.jobId(),
                                    outcome.result());
                            switch (outcome.result()) {
                                case COMMITTED ->
                                        awaitTermination(
                                                job.spec.jobId(), request, deadlineMillis, false);
                                case CONFLICT ->
                                        loop.runAfter(
                                                ApiConstants.READ_BARRIER_INTERVAL_MILLIS,
                                                () -> {
                                                    if (loop.nowMillis() > deadlineMillis) {
                                                        ApiResponses.respondTryAgain(request);
                                                    } else {
                                                        cancel(job.spec.jobId(), request);
                                                    }
                                                });
                                default -> ApiResponses.respondStoreUnavailable(request);
                            }
                        });
    }

    /**
     * Responds "cancelled" once evidence shows that every task has terminated. The time limit
     * {@code cancel_s} runs from this response; after an earlier response it could not be met for a
     * machine behind a network partition that the cloud can't release either. Once the cancellation
     * is on record no task starts and the job completes without further requests; a user who gets
     * 503 retries.
     *
     * @param wasTerminated whether at the previous check no task had a placement on record, and yet
     *     the job's owner had not completed the job; the store may be rejecting requests of the
     *     owner alone
     */
    private void awaitTermination(
            String jobId, IncomingRequest request, long deadlineMillis, boolean wasTerminated) {
        Job job = jobs.get(jobId);
        boolean terminated = job != null && job.isCancelled() && job.placedTaskCount() == 0;
        // Every page must fit the preconditions: only the owner knows the whole state of a larger
        // job.
        if (terminated
                && wasTerminated
                && job.pages.length < store.client().maxTransactionOperations()
                && store.isReady()
                && !store.committer().isFull()) {
            completer.complete(job);
        }
        if (job == null) {
            LOG.debug("job {} is not open any more; answering its cancellation", jobId);
            finalStates.respondFromRecord(
                    jobId, request, () -> ApiResponses.respondTryAgain(request));
        } else if (loop.nowMillis() >= deadlineMillis) {
            request.respondRetryLater(503, "its tasks are being stopped");
        } else {
            loop.runAfter(
                    ApiConstants.READ_BARRIER_INTERVAL_MILLIS,
                    () -> awaitTermination(jobId, request, deadlineMillis, terminated));
        }
    }
}
