package io.quincelead.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobRecordSize;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;

/**
 * Accepts jobs. A job that was accepted once is never rejected later: a repeated submission is
 * answered like a query, and a submission is rejected as invalid only after the store has shown
 * that no such job exists.
 */
final class JobSubmissions {
    private final EventLoop loop;
    private final ApiStore store;
    private final ApiCluster cluster;
    private final JobAdmission admission;
    private final FinalStates finalStates;
    private final JobQueries queries;

    JobSubmissions(
            EventLoop loop,
            ApiStore store,
            ApiCluster cluster,
            JobAdmission admission,
            FinalStates finalStates,
            JobQueries queries) {
        this.loop = loop;
        this.store = store;
        this.cluster = cluster;
        this.admission = admission;
        this.finalStates = finalStates;
        this.queries = queries;
    }

    void submit(IncomingRequest request) {
        ObjectNode body = WireFormat.CBOR.decodeRequest(request.body);
        JobSpec spec;
        try {
            spec = JobSpec.decode(body);
        } catch (JobSpec.MalformedJobException malformed) {
            String jobId = ApiCodec.decodeJobId(body);
            if (JobSpec.isValidJobId(jobId)) {
                queries.query(jobId, request, ApiResponses.BAD_REQUEST, malformed.getMessage());
            } else {
                request.respondError(ApiResponses.BAD_REQUEST, malformed.getMessage());
            }
            return;
        }
        if (finalStates.cached(spec.jobId()) != null || cluster.jobs().get(spec.jobId()) != null) {
            queries.query(spec.jobId(), request);
            return;
        }
        if (!store.isReady() || !cluster.machineTypes().isLoaded()) {
            ApiResponses.respondNotReady(request);
            return;
        }
        String reason = unsatisfiableReason(spec);
        if (reason != null) {
            queries.query(spec.jobId(), request, ApiResponses.UNPROCESSABLE, reason);
            return;
        }
        String oversizedField =
                JobRecordSize.oversizedField(spec, cluster.settings().storeLimits().maxValueKb());
        if (oversizedField != null) {
            queries.query(
                    spec.jobId(),
                    request,
                    ApiResponses.BAD_REQUEST,
                    oversizedField + ": too long for the job's record");
            return;
        }
        if (isOverloadedBy(spec)) {
            ApiResponses.respondOverloaded(request);
            return;
        }
        recordJob(new Job(spec, cluster.settings().memberId(), loop.wallClockMillis()), request);
    }

    private boolean isOverloadedBy(JobSpec spec) {
        JobTable jobs = cluster.jobs();
        return store.committer().isFull()
                || jobs.all().size() >= ApiConstants.MAX_OPEN_JOBS
                || jobs.unfinishedTaskCount() + spec.taskCount() > ApiConstants.MAX_OPEN_TASKS;
    }

    /**
     * Lets the next scheduling cycle record the job; commits the job's record at once if the job
     * isn't admitted to a cycle.
     */
    private void recordJob(Job job, IncomingRequest request) {
        boolean admitted =
                admission.admit(
                        job,
                        ApiConstants.USER_REQUEST_TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome.result() == Transaction.Result.INVALID) {
                                // Any part of the cycle's transaction may be what is invalid.
                                commitRecord(job, request);
                            } else {
                                respond(job.spec.jobId(), request, outcome);
                            }
                        });
        if (!admitted) {
            commitRecord(job, request);
        }
    }

    private void commitRecord(Job job, IncomingRequest request) {
        String jobId = job.spec.jobId();
        Transaction transaction =
                new Transaction()
                        .requireRevision(job.storeKey(), 0)
                        .requireRevision(StoreKeys.FINAL_STATE_PREFIX + jobId, 0)
                        .put(job.storeKey(), job.encode());
        store.committer()
                .submit(
                        transaction,
                        ApiConstants.USER_REQUEST_TIMEOUT_MILLIS,
                        outcome -> respond(jobId, request, outcome));
    }

    private void respond(String jobId, IncomingRequest request, Transaction.Outcome outcome) {
        switch (outcome.result()) {
            case COMMITTED -> request.respond(201, ApiCodec.encodeAccepted(jobId));
            case CONFLICT -> queries.query(jobId, request);
            case INVALID ->
                    queries.query(
                            jobId,
                            request,
                            ApiResponses.BAD_REQUEST,
                            "the job's description can't be recorded");
            default -> ApiResponses.respondStoreUnavailable(request);
        }
    }

    /** Why the job can never run, in terms of the fields on the wire; null if it can run. */
    private String unsatisfiableReason(JobSpec spec) {
        Settings.Team team = cluster.settings().teams().get(spec.team());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!cluster.machineTypes().canEverFit(spec)) {
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
                && (spec.zoneAffinity() || cluster.machineTypes().zonesThatFit(spec).size() < 2)) {
            return "scatter: all tasks at once in one zone are more than half of them";
        }
        return null;
    }
}
