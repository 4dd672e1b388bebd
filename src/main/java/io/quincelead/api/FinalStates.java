package io.quincelead.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.transport.IncomingRequest;

/** Reads the final states of jobs from the store and keeps a bounded cache of them. */
final class FinalStates {
    private final StoreClient store;
    private final Cache<String, ObjectNode> responses =
            Caffeine.newBuilder()
                    .maximumSize(ApiConstants.MAX_CACHED_FINAL_STATES)
                    .executor(Runnable::run)
                    .build();

    FinalStates(StoreClient store) {
        this.store = store;
    }

    /** The response that reports the job's final state; null if it isn't cached. */
    ObjectNode cached(String jobId) {
        return responses.getIfPresent(jobId);
    }

    /** Caches a final state that has been committed. */
    void cacheCommitted(String jobId, ObjectNode response) {
        responses.put(jobId, response);
    }

    /** Responds with the stored final state; runs {@code ifAbsent} if none is stored. */
    void respondFromRecord(String jobId, IncomingRequest request, Runnable ifAbsent) {
        store.get(
                StoreKeys.FINAL_STATE_PREFIX + jobId,
                (status, body) -> {
                    if (status == 200) {
                        ObjectNode response = ApiCodec.finalStatusOf(jobId, body);
                        responses.put(jobId, response);
                        request.respond(200, response);
                    } else if (status == 404) {
                        ifAbsent.run();
                    } else {
                        ApiResponses.respondStoreUnavailable(request);
                    }
                });
    }
}
