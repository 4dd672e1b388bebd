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
    private final JobCompleter completer;

    /**
     * Creates the API and registers its listener for changes of the watch cache.
     *
     * @param loop the event loop on which all requests are handled
     * @param store access to the store
     * @param cluster the cluster state that requests are answered from
     * @param policy adds what it records to the transaction of each completion
     * @param admission admits submitted jobs to the next scheduling cycle
     */
    public UserApi(
            EventLoop loop,
            ApiStore store,
            ApiCluster cluster,
            Policy policy,
            JobAdmission admission) {
        this.store = store;
        FinalStates finalStates = new FinalStates(store.client());
        completer = new JobCompleter(loop, store, cluster, policy, finalStates);
        queries = new JobQueries(loop, store, cluster.jobs(), finalStates);
        cancellations = new JobCancellations(loop, store, cluster.jobs(), finalStates, completer);
        submissions = new JobSubmissions(loop, store, cluster, admission, finalStates, queries);
        store.cache().addChangeListener(completer::completeTerminatedJobs);
    }

    /**
     * Whether this controller can serve users: its lease was confirmed recently and its watch cache
     * holds all records.
     */
    public boolean isReady() {
        return store.isReady();
    }

    /** Records the final states of jobs whose tasks have all terminated. */
    public void completeTerminatedJobs() {
        completer.completeTerminatedJobs();
    }

    /**
     * Handles a user's request; the response may be sent later. Other paths get 404, other methods
     * 405.
     */
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
        String subPath = path.substring(RUNS_PATH.length() + 1);
        if (subPath.endsWith("/cancel")) {
            if (requireMethod(request, "POST")) {
                cancellations.cancel(
                        subPath.substring(0, subPath.length() - "/cancel".length()), request);
            }
        } else if (subPath.indexOf('/') >= 0) {
            request.respondError(404, "no such path");
        } else if (requireMethod(request, "GET")) {
            queries.query(subPath, request);
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
