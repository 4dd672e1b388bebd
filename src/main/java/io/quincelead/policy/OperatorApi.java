package io.quincelead.policy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers operators' commands, in JSON, on any controller. Neither reads nor changes need a leader.
 * A change is one transaction, with the revisions of the records it was decided from as
 * preconditions. A change of classes or calendar carries the operator's change id, so that a
 * repeated request takes effect once. When the store doesn't answer, the outcome is reported as
 * unknown, never as rejected.
 */
public final class OperatorApi {
    /** Handles one command. */
    public interface CommandHandler {
        /**
         * Handles the command and responds, now or later.
         *
         * @param body the command's arguments
         */
        void handle(ObjectNode body, Responder responder);
    }

    /** Sends the one response to a command. */
    public interface Responder {
        /**
         * Responds with an HTTP status and a body, to which this controller's member id and the
         * generations in force are added.
         */
        void respond(int status, ObjectNode body);

        /** Responds that the command is carried out. */
        default void respondOk(ObjectNode body) {
            respond(200, body);
        }

        /** Responds that nothing has changed, with the reason as text for people. */
        default void respondError(int status, String reason) {
            respond(status, WireFormat.newMap().put("error", reason));
        }
    }

    private final String memberId;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final Policy policy;
    private final Map<String, CommandHandler> handlers = new HashMap<>();

    /**
     * Registers the commands on classes and calendar.
     *
     * @param memberId this controller's member id, included in each response
     */
    public OperatorApi(
            EventLoop loop,
            String memberId,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            Policy policy) {
        this.memberId = memberId;
        this.watchCache = watchCache;
        this.store = store;
        this.policy = policy;
        new ClassesOperations(loop, watchCache, store, jobs, policy, this).registerHandlers();
        new CalendarOperations(loop, watchCache, store, policy.records(), this).registerHandlers();
    }

    /** Registers a command, also another package's, to be served at the path. */
    public void register(String path, CommandHandler handler) {
        handlers.put(path, handler);
    }

    /** Whether a command is registered at the path. */
    public boolean handles(String path) {
        return handlers.containsKey(path);
    }

    /** Answers a request at a path where a command is registered. */
    public void handle(IncomingRequest request) {
        ObjectNode body = WireFormat.JSON.decodeRequest(request.body);
        Responder responder =
                (status, out) -> {
                    out.put("by", memberId)
                            .put("generation", watchCache.storeRevision())
                            .put("classes", policy.activeClasses().generation())
                            .put("calendar", policy.calendarGeneration());
                    request.respond(
                            status,
                            WireFormat.JSON,
                            out,
                            status == 503 ? ApiConstants.RETRY_AFTER_SECONDS : 0);
                };
        if (body == null) {
            responder.respondError(400, "the body must be a JSON map of at most 64 KiB");
        } else if (!watchCache.isSynced()) {
            responder.respondError(503, "not ready");
        } else {
            handlers.get(request.path).handle(body, responder);
        }
    }

    /**
     * The change's id, by which a repeated request is recognized; null if it is missing or invalid,
     * after an error response.
     */
    static String requireChangeId(ObjectNode body, Responder responder) {
        String changeId = body.path("change").asText();
        if (!changeId.matches("[A-Za-z0-9._-]{1,60}")) {
            responder.respondError(
                    400,
                    "change: an id of 1 to 60 letters, digits, dots, dashes or underscores is"
                            + " required");
            return null;
        }
        return changeId;
    }

    /**
     * Commits a change and responds with its outcome.
     *
     * @param successBody the response if the transaction is committed
     */
    public void commit(Transaction txn, Responder responder, ObjectNode successBody) {
        store.commit(
                txn,
                outcome -> {
                    switch (outcome.result()) {
                        case COMMITTED -> {
                            watchCache.applyCommitted(txn, outcome.storeRevision());
                            responder.respondOk(successBody);
                        }
                        case CONFLICT ->
                                responder.respondError(
                                        409,
                                        "somebody else has changed this meanwhile; look again and"
                                                + " repeat");
                        case INVALID -> responder.respondError(400, "the change can't be recorded");
                        case THROTTLED, REJECTED ->
                                responder.respondError(
                                        503, "the state service took nothing; repeat later");
                        default ->
                                responder.respond(
                                        503,
                                        WireFormat.newMap()
                                                .put(
                                                        "error",
                                                        "the state service did not answer; the"
                                                            + " change may have been made: repeat"
                                                            + " it with the same id")
                                                .put("unknown", true));
                    }
                });
    }
}
