package io.quincelead.api;

import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.transport.IncomingRequest;

/**
 * The users' HTTP API: routes requests to submissions, queries and cancellations, and completes
 * jobs whenever records change.
 */
public final class UserApi {
    private static final String RUNS_PATH = "/v2/runs";

    private final ApiStore store;
    private final JobSubmissions submissions;
    private final JobQueries queries;
    private final JobCancellations cancellations;
    private final JobCompleter completion;

    /**
     * Builds the API and has it informed of changes of records.
     *
     * @param loop the event loop on which everything here runs
     * @param store the ways to the store
     * @param cluster what is known of the cluster
     * @param policy told of each completion before it is committed
     * @param admission takes submitted jobs into the next scheduling cycle
     */
    public UserApi(
            EventLoop loop,
            ApiStore store,
            ApiCluster cluster,
            Policy policy,
            JobAdmission admission) {
        this.store = store;
        FinalStates finalStates = new FinalStates(store.client());
        completion = new JobCompleter(loop, store, cluster, policy, finalStates);
        queries = new JobQueries(loop, store, cluster.jobs(), finalStates);
        cancellations = new JobCancellations(loop, store, cluster.jobs(), finalStates, completion);
        submissions = new JobSubmissions(loop, store, cluster, admission, finalStates, queries);
        store.cache().addChangeListener(completion::completeTerminatedJobs);
    }

    /** Whether users should be sent here: the store has answered lately and all is read. */
    public boolean isReady() {
        return store.isReady();
    }

    /** Records the final states of jobs whose tasks have all terminated. */
    public void completeTerminatedJobs() {
        completion.completeTerminatedJobs();
    }

    /** Answers a request of a user, now or later; 404 for other paths, 405 for other methods. */
    public void handle(IncomingRequest request) {
        String path = request.path;
        if (path.equals(RUNS_PATH)) {
            if (requireMethod(request, "POST")) {
                submissions.submit(request);
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
                cancellations.cancel(
                        rest.substring(0, rest.length() - "/cancel".length()), request);
            }
        } else if (rest.indexOf('/') >= 0) {
            request.respondError(404, "no such path");
        } else if (requireMethod(request, "GET")) {
            queries.query(rest, request);
        }
    }

    private static boolean requireMethod(IncomingRequest request, String method) {
        if (request.method.equals(method)) {
            return true;
        }
        request.respondError(405, "only " + method + " is allowed here");
        return false;
    }
}
