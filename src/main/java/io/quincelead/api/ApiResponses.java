package io.quincelead.api;

import io.quincelead.transport.IncomingRequest;

/** Error responses that several parts of the user API share. */
final class ApiResponses {
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int UNPROCESSABLE = 422;
    static final String NO_SUCH_JOB = "no such job";

    private ApiResponses() {}

    /** 404: neither an open job nor a final state has this ID. */
    static void respondNoSuchJob(IncomingRequest request) {
        request.respondError(NOT_FOUND, NO_SUCH_JOB);
    }

    /** 503: the state of the cluster has not been read yet, or the lease may have expired. */
    static void respondNotReady(IncomingRequest request) {
        request.respondRetryLater(503, "not ready");
    }

    /** 503: the store did not respond, or its response leaves the result unknown. */
    static void respondStoreUnavailable(IncomingRequest request) {
        request.respondRetryLater(503, "the state service does not answer");
    }

    /** 503: nothing was decided; the same request may succeed if it is retried at once. */
    static void respondTryAgain(IncomingRequest request) {
        request.respondRetryLater(503, "try again");
    }

    /** 429: a limit on open jobs, their tasks or queued commits is reached. */
    static void respondOverloaded(IncomingRequest request) {
        request.respondRetryLater(429, "too much to do");
    }
}
