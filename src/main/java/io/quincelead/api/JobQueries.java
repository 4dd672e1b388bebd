package io.quincelead.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.eventloop.IndependentSteps;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.transport.IncomingRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Answers status queries. Waiting queries share a read barrier, a transaction that compares the mod
 * revisions in the watch cache with those in the store. A query is answered from the cache if the
 * job's revisions match; otherwise the job's records are read from the store.
 */
final class JobQueries {
    private static final int MAX_BARRIERS_IN_FLIGHT = 2;

    private final EventLoop loop;
    private final ApiStore store;
    private final JobTable jobs;
    private final FinalStates finalStates;
    private final ArrayDeque<PendingQuery> pendingQueries = new ArrayDeque<>();
    private boolean barrierScheduled;
    private int barriersInFlight;

    /**
     * A query that waits for a barrier.
     *
     * @param deadlineMillis the event-loop time after which the query gets 503
     * @param absentStatus the HTTP status of the response if the store shows that there is no such
     *     job
     * @param absentReason the error text of that response
     */
    private record PendingQuery(
            String jobId,
            IncomingRequest request,
            long deadlineMillis,
            int absentStatus,
            String absentReason) {}

    /**
     * What a barrier compares for a query.
     *
     * @param job the open job as this controller knows it; null if it knows none
     * @param absent whether the watch cache has no record of an open job of that ID
     * @param keys the keys whose mod revisions are compared
     */
    private record BarrierCheck(PendingQuery query, Job job, boolean absent, List<String> keys) {}

    JobQueries(EventLoop loop, ApiStore store, JobTable jobs, FinalStates finalStates) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.finalStates = finalStates;
    }

    /** Answers with the job's status; 404 if there is no such job. */
    void query(String jobId, IncomingRequest request) {
        query(jobId, request, ApiResponses.NOT_FOUND, ApiResponses.NO_SUCH_JOB);
    }

    /**
     * Answers with the job's status; with {@code absentStatus} and {@code absentReason} if the
     * store shows that there is no such job.
     */
    void query(String jobId, IncomingRequest request, int absentStatus, String absentReason) {
        ObjectNode cached = finalStates.cached(jobId);
        if (cached != null) {
            request.respond(200, cached);
            return;
        }
        if (!JobSpec.isValidJobId(jobId)) {
            ApiResponses.respondNoSuchJob(request);
            return;
        }
        if (!store.cache().isSynced() || !store.lease().isMember()) {
            ApiResponses.respondNotReady(request);
            return;
        }
        if (pendingQueries.size() >= ApiConstants.MAX_WAITING_QUERIES) {
            request.respondRetryLater(429, "too many polls");
            return;
        }
        pendingQueries.addLast(
                new PendingQuery(
                        jobId,
                        request,
                        loop.nowMillis() + ApiConstants.USER_REQUEST_TIMEOUT_MILLIS,
                        absentStatus,
                        absentReason));
        scheduleBarrier(ApiConstants.READ_BARRIER_INTERVAL_MILLIS);
    }

    private void scheduleBarrier(long delayMillis) {
        if (!barrierScheduled) {
            barrierScheduled = true;
            loop.runAfter(delayMillis, this::runBarrier);
        }
    }

    /**
     * Compares the mod revisions in the watch cache with those in the store, in one transaction for
     * as many waiting queries as it holds.
     */
    private void runBarrier() {
        barrierScheduled = false;
        long nowMillis = loop.nowMillis();
        while (!pendingQueries.isEmpty() && pendingQueries.peekFirst().deadlineMillis < nowMillis) {
            ApiResponses.respondStoreUnavailable(pendingQueries.pollFirst().request);
        }
        if (pendingQueries.isEmpty()) {
            return;
        }
        if (barriersInFlight >= MAX_BARRIERS_IN_FLIGHT) {
            scheduleBarrier(ApiConstants.READ_BARRIER_INTERVAL_MILLIS);
            return;
        }
        long storeWaitMillis = store.client().requestDelayMillis();
        if (storeWaitMillis > ApiConstants.READ_BARRIER_INTERVAL_MILLIS) {
            scheduleBarrier(Math.min(storeWaitMillis, StoreConstants.RETRY_DELAY_MILLIS));
            return;
        }
        Transaction comparison = new Transaction();
        List<BarrierCheck> batch = collectBatch(comparison);
        if (!batch.isEmpty()) {
            barriersInFlight++;
            store.client()
                    .commit(
                            comparison,
                            outcome -> {
                                barriersInFlight--;
                                IndependentSteps steps = new IndependentSteps();
                                batch.forEach(
                                        check -> steps.run(() -> answerQuery(check, outcome)));
                                steps.throwFirstFailure();
                            });
        }
        if (!pendingQueries.isEmpty()) {
            scheduleBarrier(1);
        }
    }

    /**
     * Dequeues as many waiting queries as one comparison holds, and adds their preconditions to it.
     */
    private List<BarrierCheck> collectBatch(Transaction comparison) {
        int maxOperations = store.client().maxTransactionOperations();
        List<BarrierCheck> batch = new ArrayList<>();
        while (!pendingQueries.isEmpty()) {
            BarrierCheck next = barrierCheck(pendingQueries.peekFirst());
            if (next.keys.size() > maxOperations * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION) {
                // More records than one comparison holds: they are read from the store instead.
                readFromStore(pendingQueries.pollFirst());
                continue;
            }
            if (!comparison.fits(0, next.keys.size(), maxOperations)) {
                break;
            }
            pendingQueries.pollFirst();
            next.keys.forEach(
                    key -> comparison.requireRevision(key, store.cache().modRevision(key)));
            batch.add(next);
        }
        return batch;
    }

    /**
     * Checks all records that a response is made of: the job's own record, and its task state pages
     * if these are separate records; without a job record, its final state.
     */
    private BarrierCheck barrierCheck(PendingQuery query) {
        Job job = jobs.get(query.jobId);
        List<String> keys = new ArrayList<>(List.of(StoreKeys.JOB_PREFIX + query.jobId));
        boolean absent = store.cache().modRevision(StoreKeys.JOB_PREFIX + query.jobId) == 0;
        if (absent) {
            keys.add(StoreKeys.FINAL_STATE_PREFIX + query.jobId);
        } else if (job != null) {
            keys.addAll(TaskPageKeys.of(job));
        }
        return new BarrierCheck(query, job, absent, keys);
    }

    /**
     * Responds that there is no such job (404 to a status query) only if the store has just shown
     * that neither a job record nor a final state exists.
     */
    private void answerQuery(BarrierCheck check, Transaction.Outcome outcome) {
        PendingQuery query = check.query;
        if (outcome.result() != Transaction.Result.COMMITTED
                && outcome.result() != Transaction.Result.CONFLICT) {
            ApiResponses.respondStoreUnavailable(query.request);
            return;
        }
        boolean unchanged =
                outcome.result() == Transaction.Result.COMMITTED
                        || !outcome.failedKeys().isEmpty()
                                && check.keys.stream().noneMatch(outcome.failedKeys()::contains);
        if (unchanged && check.absent) {
            query.request.respondError(query.absentStatus, query.absentReason);
        } else if (unchanged && check.job != null && jobs.get(query.jobId) == check.job) {
            query.request.respond(200, check.job.encodeStatus());
        } else {
            // The job has changed since it was cached, or was completed while the barrier was in
            // flight: the store has it under one key or the other.
            readFromStore(query);
        }
    }

    /**
     * Responds from the job's records in the store, because the watch cache is behind on this job.
     * The job record is read before the final state: jobs move to their final key, never back.
     */
    private void readFromStore(PendingQuery query) {
        store.client()
                .get(
                        StoreKeys.JOB_PREFIX + query.jobId,
                        (status, body) -> {
                            if (status == 200 && ApiCodec.hasSeparatePages(body)) {
                                readTaskPages(query, null, new TaskStatePage.TaskCounts(0, 0));
                            } else if (status == 200) {
                                query.request.respond(
                                        200,
                                        Job.encodeStatus(
                                                query.jobId, ApiCodec.countsInJobRecord(body)));
                            } else {
                                answerFromFinalRecord(query, status);
                            }
                        });
    }

    /**
     * Sums the task counts of a larger job's separate pages; then checks that the job record still
     * exists, which shows that no page was removed meanwhile.
     */
    private void readTaskPages(
            PendingQuery query, String afterKey, TaskStatePage.TaskCounts countsBefore) {
        store.client()
                .list(
                        StoreKeys.TASK_STATE_PAGE_PREFIX + query.jobId + "/",
                        afterKey,
                        (status, body) -> {
                            if (status != 200 || !ApiCodec.isListing(body)) {
                                ApiResponses.respondStoreUnavailable(query.request);
                                return;
                            }
                            TaskStatePage.TaskCounts total =
                                    ApiCodec.addListedCounts(countsBefore, body);
                            String continuationKey = ApiCodec.continuationKey(afterKey, body);
                            if (continuationKey != null) {
                                readTaskPages(query, continuationKey, total);
                                return;
                            }
                            store.client()
                                    .get(
                                            StoreKeys.JOB_PREFIX + query.jobId,
                                            (jobStatus, job) -> {
                                                if (jobStatus == 200) {
                                                    query.request.respond(
                                                            200,
                                                            Job.encodeStatus(query.jobId, total));
                                                } else {
                                                    answerFromFinalRecord(query, jobStatus);
                                                }
                                            });
                        });
    }

    private void answerFromFinalRecord(PendingQuery query, int status) {
        if (status == 404) {
            finalStates.respondFromRecord(
                    query.jobId,
                    query.request,
                    () -> query.request.respondError(query.absentStatus, query.absentReason));
        } else {
            ApiResponses.respondStoreUnavailable(query.request);
        }
    }
}
