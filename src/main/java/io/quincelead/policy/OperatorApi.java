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
 * Answers operators' commands, in JSON, on any controller. Neither reading nor changing needs a
 * leader. A change is one transaction, with the records it was decided from as preconditions; one
 * of classes or calendar bears the operator's change id, so a repeat takes effect once. When the
 * store doesn't answer, the outcome is told as unknown, never as refused.
 */
public final class OperatorApi {
    /** Answers one command. */
    public interface CommandHandler {
        /**
         * Answers the command, now or later.
         *
         * @param body the command's arguments
         */
        void handle(ObjectNode body, Responder responder);
    }

    /** Where a command's response goes, once. */
    public interface Responder {
        /**
         * Answers with an HTTP status and a body, to which it is added who answers and by which
         * generations.
         */
        void respond(int status, ObjectNode body);

        /** Answers that the command is carried out. */
        default void respondOk(ObjectNode body) {
            respond(200, body);
        }

        /** Answers that nothing has changed, with the reason for people. */
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
     * Serves the commands on classes and calendar.
     *
     * @param memberId this controller's id, told in each response
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

    /** Has another package's command served at the path. */
    public void register(String path, CommandHandler handler) {
        handlers.put(path, handler);
    }

    /** Whether the path is a command's. */
    public boolean handles(String path) {
        return handlers.containsKey(path);
    }

    /** Answers a request whose path is a command's. */
    public void handle(IncomingRequest request) {
        ObjectNode body = WireFormat.JSON.decodeMap(request.body);
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

    /** The change's id, under which a repeat is known; null if it is missing: that is answered. */
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
     * Commits a change and answers what came of it.
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
