package io.quincelead.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.cluster.TaskStatePage;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.RecordConstants;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.GroupCommitter;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers users. Acceptance, cancellation and completion are committed before they are told. A poll
 * is answered only after a read barrier has shown that what this controller knows of the job is
 * what the store has now.
 */
public final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final String RUNS_PATH = "/v2/runs";

    private final EventLoop loop;
    private final Settings settings;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final GroupCommitter committer;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTypeCatalog catalog;
    private final Policy policy;
    private final JobAdmission admission;
    private final Cache<String, ObjectNode> finalResponses =
            Caffeine.newBuilder()
                    .maximumSize(ApiConstants.MAX_CACHED_FINAL_STATES)
                    .executor(Runnable::run)
                    .build();
    private final ArrayDeque<PendingQuery> pendingQueries = new ArrayDeque<>();
    private final Set<String> completing = new HashSet<>();
    private boolean barrierScheduled;
    private int barriersInFlight;
    private boolean removingOrphans;

    /**
     * {@code otherwise}, {@code why}: how it is refused once the store has shown that there is no
     * such job.
     */
    private record PendingQuery(
            String jobId,
            IncomingRequest request,
            long deadlineMillis,
            int absentStatus,
            String absentReason) {}

    /** What a barrier compares for a poll; {@code absent}: nothing is known of the job here. */
    private record BarrierCheck(PendingQuery query, Job job, boolean absent, List<String> keys) {}

    public UserApi(
            EventLoop loop,
            Settings settings,
            MembershipLease membershipLease,
            WatchCache watchCache,
            StoreClient store,
            GroupCommitter committer,
            ClusterMembership shards,
            JobTable jobs,
            MachineTypeCatalog catalog,
            Policy policy,
            JobAdmission admission) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.store = store;
        this.committer = committer;
        this.shards = shards;
        this.jobs = jobs;
        this.catalog = catalog;
        this.admission = admission;
        watchCache.addChangeListener(this::completeTerminatedJobs);
    }

    /** Whether users should be sent here: the store has answered lately and all is read. */
    public boolean isReady() {
        return watchCache.isSynced() && membershipLease.isValid();
    }

    public void handle(IncomingRequest request) {
        String path = request.path;
        if (path.equals(RUNS_PATH)) {
            if (requireMethod(request, "POST")) {
                submitJob(request);
            }
            return;
        }
        if (!path.startsWith(RUNS_PATH + "/")) {
            request.respondError(404, "no such path");
            return;
        }
        String rest = path.substring(RUNS_PATH.length() + 1);
        if (rest.endsWith("/cancel")) {
            if (requireMethod(request, "POST")) {
                cancelJob(rest.substring(0, rest.length() - "/cancel".length()), request);
            }
        } else if (rest.indexOf('/') >= 0) {
            request.respondError(404, "no such path");
        } else if (requireMethod(request, "GET")) {
            queryJob(rest, request);
        }
    }

    private static boolean requireMethod(IncomingRequest request, String method) {
        if (request.method.equals(method)) {
            return true;
        }
        request.respondError(405, "only " + method + " is allowed here");
        return false;
    }

    // ---- submissions

    private void submitJob(IncomingRequest request) {
        ObjectNode body = WireFormat.CBOR.decodeMap(request.body);
        JobSpec spec;
        try {
            spec = JobSpec.decode(body);
        } catch (JobSpec.MalformedJobException malformed) {
            String jobId = body == null ? "" : body.path("nameId").asText();
            if (JobSpec.isValidJobId(jobId)) {
                queryJob(jobId, request, 400, malformed.getMessage());
            } else {
                request.respondError(400, malformed.getMessage());
            }
            return;
        }
        if (finalResponses.getIfPresent(spec.jobId()) != null || jobs.get(spec.jobId()) != null) {
            queryJob(spec.jobId(), request);
            return;
        }
        if (!isReady() || !catalog.isLoaded()) {
            request.respondRetryLater(503, "not ready");
            return;
        }
        String reason = unsatisfiableReason(spec);
        if (reason != null) {
            queryJob(spec.jobId(), request, 422, reason);
            return;
        }
        if (committer.isFull()
                || jobs.all().size() >= ApiConstants.MAX_OPEN_JOBS
                || jobs.unfinishedTaskCount() + spec.taskCount() > ApiConstants.MAX_OPEN_TASKS) {
            request.respondRetryLater(429, "too much to do");
            return;
        }
        Job job = new Job(spec, settings.memberId(), loop.wallClockMillis());
        Transaction.OutcomeHandler onOutcome =
                outcome -> {
                    switch (outcome.result()) {
                        case COMMITTED ->
                                request.respond(
                                        201,
                                        WireFormat.newMap()
                                                .put("nameId", spec.jobId())
                                                .put("status", "pending"));
                        case CONFLICT -> queryJob(spec.jobId(), request);
                        default ->
                                request.respondRetryLater(503, "the state service does not answer");
                    }
                };
        if (!admission.admit(job, ApiConstants.USER_REQUEST_TIMEOUT_MILLIS, onOutcome)) {
            Transaction transaction =
                    new Transaction()
                            .requireRevision(job.storeKey(), 0)
                            .requireRevision(StoreKeys.FINAL_STATE_PREFIX + spec.jobId(), 0)
                            .put(job.storeKey(), job.encode());
            committer.submit(transaction, ApiConstants.USER_REQUEST_TIMEOUT_MILLIS, onOutcome);
        }
    }

    private String unsatisfiableReason(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!catalog.canEverFit(spec)) {
            return "shapes, site, vcpus, cards, ramGb: no allowed machine type holds one task";
        }
        int concurrentTasks = spec.mode() == JobSpec.Mode.ARRAY ? 1 : spec.taskCount();
        if (spec.cpus() * concurrentTasks > team.maxCpus() + 1e-9
                || spec.gpus() * concurrentTasks > team.maxGpus() + 1e-9) {
            return "members, vcpus, cards: more than the team's limit";
        }
        if (spec.mode() != JobSpec.Mode.ARRAY
                && spec.zoneSpread()
                && spec.taskCount() > 1
                && (spec.zoneAffinity() || spec.zone() != null)) {
            return "scatter: all tasks at once in one zone are more than half of them";
        }
        return null;
    }

    // ---- polls

    private void queryJob(String jobId, IncomingRequest request) {
        queryJob(jobId, request, 404, "no such job");
    }

    /**
     * A job that was accepted once is never refused, whatever its submission would get now: that is
     * told only where there is none.
     */
    private void queryJob(
            String jobId, IncomingRequest request, int absentStatus, String absentReason) {
        ObjectNode cached = finalResponses.getIfPresent(jobId);
        if (cached != null) {
            request.respond(200, cached);
            return;
        }
        if (!JobSpec.isValidJobId(jobId)) {
            request.respondError(404, "no such job");
            return;
        }
        if (!watchCache.isSynced() || !membershipLease.isMember()) {
            request.respondRetryLater(503, "not ready");
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
     * One comparison in the store for all waiting polls: each known stamp must still be the job's
     * stamp.
     */
    private void runBarrier() {
        barrierScheduled = false;
        long now = loop.nowMillis();
        while (!pendingQueries.isEmpty() && pendingQueries.peekFirst().deadlineMillis < now) {
            pendingQueries
                    .pollFirst()
                    .request
                    .respondRetryLater(503, "the state service does not answer");
        }
        if (pendingQueries.isEmpty()) {
            return;
        }
        if (barriersInFlight >= 2) {
            scheduleBarrier(ApiConstants.READ_BARRIER_INTERVAL_MILLIS);
            return;
        }
        long storeWaitMillis = store.requestDelayMillis();
        if (storeWaitMillis > ApiConstants.READ_BARRIER_INTERVAL_MILLIS) {
            scheduleBarrier(Math.min(storeWaitMillis, StoreConstants.RETRY_DELAY_MILLIS));
            return;
        }
        Transaction comparison = new Transaction();
        List<BarrierCheck> batch = new ArrayList<>();
        while (!pendingQueries.isEmpty()) {
            BarrierCheck next = barrierCheck(pendingQueries.peekFirst());
            if (next.keys.size()
                    > store.maxTransactionOperations()
                            * StoreConstants.MAX_PRECONDITIONS_PER_OPERATION) {
                // More records than a comparison holds: they are read.
                readFromStore(pendingQueries.pollFirst());
                continue;
            }
            if (!comparison.fits(0, next.keys.size(), store.maxTransactionOperations())) {
                break;
            }
            pendingQueries.pollFirst();
            next.keys.forEach(key -> comparison.requireRevision(key, watchCache.modRevision(key)));
            batch.add(next);
        }
        if (!batch.isEmpty()) {
            barriersInFlight++;
            store.commit(
                    comparison,
                    outcome -> {
                        barriersInFlight--;
                        batch.forEach(check -> answerQuery(check, outcome));
                    });
        }
        if (!pendingQueries.isEmpty()) {
            scheduleBarrier(1);
        }
    }

    /**
     * All that an answer is made of: the job's own record, and those of its tasks where these are
     * kept apart.
     */
    private BarrierCheck barrierCheck(PendingQuery query) {
        Job job = jobs.get(query.jobId);
        List<String> keys = new ArrayList<>(List.of(StoreKeys.JOB_PREFIX + query.jobId));
        boolean absent = watchCache.modRevision(StoreKeys.JOB_PREFIX + query.jobId) == 0;
        if (absent) {
            keys.add(StoreKeys.FINAL_STATE_PREFIX + query.jobId);
        } else if (job != null && !job.hasSinglePage()) {
            for (int page = 0; page < job.pages.length; page++) {
                keys.add(job.page(page).storeKey());
            }
        }
        return new BarrierCheck(query, job, absent, keys);
    }

    /** 404 only if the store itself has just shown that neither record exists. */
    private void answerQuery(BarrierCheck check, Transaction.Outcome outcome) {
        PendingQuery query = check.query;
        if (outcome.result() != Transaction.Result.COMMITTED
                && outcome.result() != Transaction.Result.CONFLICT) {
            query.request.respondRetryLater(503, "the state service does not answer");
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
            // Changed since, or it ended elsewhere while the barrier was out: it is on record under
            // one key or the other.
            readFromStore(query);
        }
    }

    /**
     * The mirror is behind on this job: the answer is made of its records themselves. Jobs move to
     * their final key, never back.
     */
    private void readFromStore(PendingQuery query) {
        store.get(
                StoreKeys.JOB_PREFIX + query.jobId,
                (status, body) -> {
                    if (status == 200
                            && body.path("value").path("s").path("members").asInt()
                                    > RecordConstants.TASKS_PER_STATE_PAGE) {
                        readTaskPages(query, null, new TaskStatePage.TaskCounts(0, 0));
                    } else if (status == 200) {
                        query.request.respond(
                                200,
                                Job.encodeStatus(
                                        query.jobId,
                                        TaskStatePage.TaskCounts.of(body.path("value").path("k"))));
                    } else {
                        answerFromFinalRecord(query, status);
                    }
                });
    }

    /**
     * The tasks of a larger job, page by page; then whether the job still was there, so that
     * nothing was swept away meanwhile.
     */
    private void readTaskPages(
            PendingQuery query, String afterKey, TaskStatePage.TaskCounts countsBefore) {
        store.list(
                StoreKeys.TASK_STATE_PAGE_PREFIX + query.jobId + "/",
                afterKey,
                (status, body) -> {
                    if (status != 200 || !body.path("items").isArray()) {
                        query.request.respondRetryLater(503, "the state service does not answer");
                        return;
                    }
                    TaskStatePage.TaskCounts counts = countsBefore;
                    String lastKey = afterKey;
                    for (JsonNode item : body.path("items")) {
                        counts = counts.plus(TaskStatePage.TaskCounts.of(item.path("value")));
                        lastKey = item.path("path").asText();
                    }
                    if (body.path("truncated").asBoolean() && lastKey != null) {
                        readTaskPages(query, lastKey, counts);
                        return;
                    }
                    TaskStatePage.TaskCounts total = counts;
                    store.get(
                            StoreKeys.JOB_PREFIX + query.jobId,
                            (jobStatus, job) -> {
                                if (jobStatus == 200) {
                                    query.request.respond(
                                            200, Job.encodeStatus(query.jobId, total));
                                } else {
                                    answerFromFinalRecord(query, jobStatus);
                                }
                            });
                });
    }

    private void answerFromFinalRecord(PendingQuery query, int status) {
        if (status == 404) {
            readFinalRecord(
                    query.jobId,
                    query.request,
                    () -> query.request.respondError(query.absentStatus, query.absentReason));
        } else {
            query.request.respondRetryLater(503, "the state service does not answer");
        }
    }

    private void readFinalRecord(String jobId, IncomingRequest request, Runnable ifAbsent) {
        store.get(
                StoreKeys.FINAL_STATE_PREFIX + jobId,
                (status, body) -> {
                    if (status == 200) {
                        ObjectNode response =
                                finalResponse(
                                        jobId,
                                        body.path("value").path("s").asText(),
                                        body.path("value").path("n").asInt());
                        finalResponses.put(jobId, response);
                        request.respond(200, response);
                    } else if (status == 404) {
                        ifAbsent.run();
                    } else {
                        request.respondRetryLater(503, "the state service does not answer");
                    }
                });
    }

    private static ObjectNode finalResponse(String jobId, String status, int completedTasks) {
        return WireFormat.newMap()
                .put("nameId", jobId)
                .put("status", status)
                .put("done", completedTasks)
                .put("running", 0);
    }

    // ---- cancellations

    private void cancelJob(String jobId, IncomingRequest request) {
        ObjectNode cached = finalResponses.getIfPresent(jobId);
        if (cached != null) {
            request.respond(200, cached);
            return;
        }
        if (!JobSpec.isValidJobId(jobId)) {
            request.respondError(404, "no such job");
            return;
        }
        if (!isReady()) {
            request.respondRetryLater(503, "not ready");
            return;
        }
        Job job = jobs.get(jobId);
        LOG.debug("the cancellation of {} is asked for", jobId);
        if (job == null) {
            store.get(
                    StoreKeys.JOB_PREFIX + jobId,
                    (status, body) -> {
                        if (status == 200) {
                            request.respondRetryLater(503, "this controller is catching up");
                        } else if (status == 404) {
                            readFinalRecord(
                                    jobId, request, () -> request.respondError(404, "no such job"));
                        } else {
                            request.respondRetryLater(503, "the state service does not answer");
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
        if (committer.isFull()) {
            request.respondRetryLater(429, "too much to do");
            return;
        }
        commitCancellation(
                job, request, loop.nowMillis() + ApiConstants.USER_REQUEST_TIMEOUT_MILLIS);
    }

    private void commitCancellation(Job job, IncomingRequest request, long deadlineMillis) {
        Transaction transaction =
                new Transaction()
                        .requireRevision(job.storeKey(), watchCache.modRevision(job.storeKey()))
                        .put(
                                job.storeKey(),
                                job.encode(job.controllerId(), loop.wallClockMillis()));
        committer.submit(
                transaction,
                Math.max(0, deadlineMillis - loop.nowMillis()),
                outcome -> {
                    LOG.debug("the cancellation of {}: {}", job.spec.jobId(), outcome.result());
                    switch (outcome.result()) {
                        case COMMITTED ->
                                awaitTermination(job.spec.jobId(), request, deadlineMillis, false);
                        case CONFLICT ->
                                loop.runAfter(
                                        ApiConstants.READ_BARRIER_INTERVAL_MILLIS,
                                        () -> {
                                            if (loop.nowMillis() > deadlineMillis) {
                                                request.respondRetryLater(503, "try again");
                                            } else {
                                                cancelJob(job.spec.jobId(), request);
                                            }
                                        });
                        default ->
                                request.respondRetryLater(503, "the state service does not answer");
                    }
                });
    }

    /**
     * "Cancelled" is told when every task is gone, by evidence. Told before, it would be a promise
     * that nobody can keep for a machine behind a cut that the cloud can't release either: the time
     * of {@code cancel_s} runs from the telling. From the record on nothing starts, and the job
     * ends by itself; a user who is sent away asks again. {@code empty}: at the last look no task
     * had a place on record, and yet its own controller had not ended it; the store may refuse that
     * one alone.
     */
    private void awaitTermination(
            String jobId, IncomingRequest request, long deadlineMillis, boolean wasTerminated) {
        Job job = jobs.get(jobId);
        boolean terminated = job != null && job.isCancelled() && job.placedTaskCount() == 0;
        // Every chunk must fit the guards: its own controller alone knows all of a larger job.
        if (terminated
                && wasTerminated
                && job.pages.length < store.maxTransactionOperations()
                && isReady()
                && !committer.isFull()
                && completing.add(jobId)) {
            recordCompletion(job);
        }
        if (job == null) {
            LOG.debug("the cancellation of {} is told", jobId);
            readFinalRecord(jobId, request, () -> request.respondRetryLater(503, "try again"));
        } else if (loop.nowMillis() >= deadlineMillis) {
            request.respondRetryLater(503, "its tasks are being stopped");
        } else {
            loop.runAfter(
                    ApiConstants.READ_BARRIER_INTERVAL_MILLIS,
                    () -> awaitTermination(jobId, request, deadlineMillis, terminated));
        }
    }

    // ---- ends

    /** Moves jobs that are over to their final key. Only then is a user told "done". */
    public void completeTerminatedJobs() {
        if (!membershipLease.isValid() || committer.isFull()) {
            return;
        }
        for (Job job : jobs.all()) {
            boolean terminated =
                    job.isComplete()
                            || job.isCancelled() && job.placedTaskCount() == 0
                            || job.isCompleteByEvidence()
                                    && shards.localShard() != null
                                    && job.pages.length <= store.maxTransactionOperations() - 2;
            boolean ours =
                    terminated
                            && (job.controllerId().equals(settings.memberId())
                                    || shards.member(job.controllerId()) == null
                                            && settings.memberId().equals(shards.leaderId()));
            if (ours && completing.add(job.spec.jobId())) {
                recordCompletion(job);
            }
        }
        removeOrphanedPages();
    }

    private void recordCompletion(Job job) {
        String jobId = job.spec.jobId();
        String status = job.isCancelled() ? "cancelled" : "done";
        int completedTasks = job.isCancelled() ? job.completedTaskCount() : job.spec.taskCount();
        ObjectNode finalRecord = WireFormat.newMap().put("s", status).put("n", completedTasks);
        Transaction transaction =
                new Transaction()
                        .requireRevision(job.storeKey(), watchCache.modRevision(job.storeKey()))
                        .remove(job.storeKey())
                        .put(StoreKeys.FINAL_STATE_PREFIX + jobId, finalRecord);
        policy.recordCompletion(job, finalRecord, transaction, loop.wallClockMillis());
        for (int page = 0; page < job.pages.length; page++) {
            String key = job.page(page).storeKey();
            boolean exists = job.pages[page] != null;
            if (!job.hasSinglePage()
                    && transaction.fits(exists ? 1 : 0, 1, store.maxTransactionOperations())) {
                // Also where none is known: whoever else ends a job may not have heard yet that its
                // tasks got places.
                transaction.requireRevision(key, watchCache.modRevision(key));
                if (exists) {
                    transaction.remove(key);
                }
            }
        }
        if (!job.isComplete() && !job.isCancelled()) {
            // The last ends are known by evidence, which counts only while the machines are ours.
            transaction.requireRevision(
                    shards.localShard().storeKey(),
                    watchCache.modRevision(shards.localShard().storeKey()));
        }
        ObjectNode response = finalResponse(jobId, status, completedTasks);
        committer.submit(
                transaction,
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                outcome -> {
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        finalResponses.put(jobId, response);
                        completing.remove(jobId);
                    } else {
                        LOG.debug("the end of {} was not recorded: {}", jobId, outcome.result());
                        loop.runAfter(
                                StoreConstants.RETRY_DELAY_MILLIS,
                                () -> {
                                    completing.remove(jobId);
                                    completeTerminatedJobs();
                                });
                    }
                });
    }

    /** Removes chunks that a large job left behind. */
    private void removeOrphanedPages() {
        if (removingOrphans
                || jobs.orphanPageKeys().isEmpty()
                || !settings.memberId().equals(shards.leaderId())) {
            return;
        }
        Transaction transaction = new Transaction();
        for (String key : jobs.orphanPageKeys()) {
            // Only where the job is over for good: after a relist a chunk may be seen before its
            // job.
            String jobKey =
                    StoreKeys.JOB_PREFIX
                            + key.substring(
                                    StoreKeys.TASK_STATE_PAGE_PREFIX.length(),
                                    key.lastIndexOf('/'));
            if (!transaction.fits(1, 1, store.maxTransactionOperations())) {
                break;
            }
            transaction.requireRevision(jobKey, 0).remove(key);
        }
        removingOrphans = true;
        committer.submit(
                transaction,
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                outcome ->
                        loop.runAfter(
                                StoreConstants.RETRY_DELAY_MILLIS,
                                () -> {
                                    removingOrphans = false;
                                    completeTerminatedJobs();
                                }));
    }
}
