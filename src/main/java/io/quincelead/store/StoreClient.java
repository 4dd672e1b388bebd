package io.quincelead.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.MessageSender;
import io.quincelead.transport.RateLimiter;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service. Keeps this controller's requests and writes within its share of the
 * service's limits.
 */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final String WATCH_PATH = "/watch";
    private final MessageSender sender;
    private final int maxTransactionOperations;
    private final RateLimiter requestBudget;
    private final RateLimiter writeBudget;
    private boolean answering;
    private boolean writesDelayed;
    private boolean writesThrottled;

    /**
     * From 0 to 1; rises while this controller's writes are delayed or throttled, and falls
     * otherwise.
     */
    private double backpressure;

    /** Creates a client that sends its requests over this transport. */
    public StoreClient(EventLoop loop, Transport transport, Settings settings) {
        this.sender = new MessageSender(loop, transport, settings.storeAddress(), WireFormat.CBOR);
        this.maxTransactionOperations = settings.storeLimits().maxTransactionOperations();
        this.requestBudget =
                new RateLimiter(
                        loop,
                        settings.storeLimits().requestsPerSecond()
                                / settings.controllerCount()
                                * StoreConstants.PLANNED_RATE_FRACTION,
                        StoreConstants.REQUEST_BURST_SECONDS);
        double evenShare = settings.storeLimits().writesPerSecond() / settings.controllerCount();
        this.writeBudget =
                new RateLimiter(
                                loop,
                                evenShare * StoreConstants.PLANNED_RATE_FRACTION,
                                Math.max(1, maxTransactionOperations / evenShare))
                        .withRateBounds(
                                evenShare * StoreConstants.MIN_WRITE_SHARE_FRACTION,
                                settings.storeLimits().writesPerSecond()
                                        * StoreConstants.MAX_WRITE_SHARE_FRACTION);
        loop.runEvery(StoreConstants.WRITE_SHARE_INTERVAL_MILLIS, this::adjustWriteShare);
    }

    /** Receives a response on the event loop. */
    @FunctionalInterface
    public interface ResponseHandler {
        /**
         * Called once per request.
         *
         * @param status the HTTP status, or one of the constants of {@link Transport}
         * @param body the decoded body; null if the response has none or it isn't a map. With
         *     status 200 it is null only for the renewal or revocation of a lease
         */
        void onResponse(int status, ObjectNode body);
    }

    /** The store's limit on the operations of one transaction. */
    public int maxTransactionOperations() {
        return maxTransactionOperations;
    }

    private void call(
            String method,
            String path,
            ObjectNode body,
            long timeoutMillis,
            ResponseHandler handler) {
        requestBudget.takeUnconditionally(1);
        sender.send(
                method,
                path,
                body,
                timeoutMillis,
                (status, bytes) -> {
                    ObjectNode responseBody = WireFormat.CBOR.decodeMap(bytes);
                    if (status == 429) {
                        requestBudget.drain();
                    }
                    if (!path.startsWith(WATCH_PATH)) {
                        answering = isAnswer(status);
                    }
                    if (status == 200
                            && responseBody == null
                            && !method.equals("DELETE")
                            && !path.endsWith("/touch")) {
                        LOG.info(
                                "the store's response to {} {} can't be read; treated as no"
                                        + " response",
                                method,
                                path);
                        handler.onResponse(Transport.NO_RESPONSE, null);
                    } else {
                        handler.onResponse(status, responseBody);
                    }
                });
    }

    private static boolean isAnswer(int status) {
        return status == 200 || status == 404 || status == 409 || status == 429;
    }

    /** Whether the store answered the last request other than a watch. */
    boolean isAnswering() {
        return answering;
    }

    /** Reads one key, linearizably. The status is 404 if the key doesn't exist. */
    public void get(String key, ResponseHandler handler) {
        call("GET", "/store/" + key, null, StoreConstants.REQUEST_TIMEOUT_MILLIS, handler);
    }

    /**
     * Lists one page of the keys under a prefix, in key order, starting after {@code afterKey}, or
     * at the first key if {@code afterKey} is null.
     */
    public void list(String prefix, String afterKey, ResponseHandler handler) {
        String path =
                "/store?prefix="
                        + prefix
                        + "&limit="
                        + StoreConstants.MAX_ITEMS_PER_LIST_PAGE
                        + (afterKey == null ? "" : "&after=" + afterKey);
        call("GET", path, null, 2 * StoreConstants.REQUEST_TIMEOUT_MILLIS, handler);
    }

    void watch(String prefix, long afterRevision, ResponseHandler handler) {
        call(
                "GET",
                WATCH_PATH
                        + "?prefix="
                        + prefix
                        + "&after="
                        + afterRevision
                        + "&holdMs="
                        + StoreConstants.WATCH_LONG_POLL_MILLIS,
                null,
                StoreConstants.WATCH_LONG_POLL_MILLIS + StoreConstants.WATCH_TIMEOUT_SLACK_MILLIS,
                handler);
    }

    void createLease(long leaseMillis, ResponseHandler handler) {
        call(
                "POST",
                "/holds",
                StoreCodec.encodeLeaseRequest(leaseMillis),
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                handler);
    }

    void renewLease(long leaseId, ResponseHandler handler) {
        call(
                "POST",
                "/holds/" + leaseId + "/touch",
                WireFormat.newMap(),
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                handler);
    }

    void revokeLease(long leaseId, ResponseHandler handler) {
        call("DELETE", "/holds/" + leaseId, null, StoreConstants.REQUEST_TIMEOUT_MILLIS, handler);
    }

    /** Milliseconds until a transaction without operations may be sent; 0 if it may be sent now. */
    public long requestDelayMillis() {
        return requestBudget.millisUntilAvailable(1);
    }

    /**
     * How many operations this controller may write now. Scheduling cycles and periodic work stay
     * within this number. If it is less than one full transaction, writes count as delayed.
     */
    public int affordableWrites() {
        int affordableWrites =
                requestBudget.millisUntilAvailable(1) > 0
                        ? 0
                        : (int) Math.floor(writeBudget.availableTokens());
        writesDelayed |= affordableWrites < maxTransactionOperations;
        return affordableWrites;
    }

    /**
     * The most operations that {@link #affordableWrites} ever allows, with a full budget. It can be
     * fewer than one transaction holds.
     */
    public int maxAffordableWrites() {
        return (int) Math.floor(writeBudget.capacity());
    }

    /**
     * Whether a transaction that users wait for may be sent. Such transactions take precedence over
     * all others and are sent even when the write budget is overdrawn, by less than one full
     * transaction; scheduling cycles write less until the budget has recovered.
     */
    public boolean canAffordUrgentWrite() {
        boolean affordable =
                requestBudget.millisUntilAvailable(1) == 0
                        && writeBudget.availableTokens() > -maxTransactionOperations;
        writesDelayed |= !affordable;
        return affordable;
    }

    /**
     * Adjusts this controller's share of the store's write limit. Controllers divide the limit by
     * need, without exchanging messages: a controller whose writes were delayed raises its share as
     * long as the store doesn't throttle it, and lowers its share when the store does. No share
     * falls far below an even one.
     */
    private void adjustWriteShare() {
        if (writesThrottled) {
            writeBudget.scaleRate(StoreConstants.WRITE_SHARE_SHRINK_FACTOR);
        } else if (writesDelayed) {
            writeBudget.scaleRate(StoreConstants.WRITE_SHARE_GROWTH_FACTOR);
        }
        backpressure =
                Math.max(
                        0,
                        Math.min(
                                1,
                                backpressure
                                        + (writesDelayed || writesThrottled
                                                ? StoreConstants
                                                        .BACKPRESSURE_RISE_PER_INTERVAL_FRACTION
                                                : -StoreConstants
                                                        .BACKPRESSURE_FALL_PER_INTERVAL_FRACTION)));
        writesThrottled = false;
        writesDelayed = false;
    }

    /**
     * Backpressure from 0 (none) to 1: how much this controller's writes have been delayed or
     * throttled recently. Under backpressure, work that can wait is delayed longer, so that more of
     * it shares a write.
     */
    public double backpressure() {
        return backpressure;
    }

    /**
     * A delay in milliseconds that rises from {@code minMillis} to {@code maxMillis} in proportion
     * to the backpressure.
     */
    public long backpressureDelayMillis(long minMillis, long maxMillis) {
        return minMillis + (long) (backpressure * (maxMillis - minMillis));
    }

    /**
     * Sends a transaction and passes its outcome to the handler. A committed transaction isn't
     * applied to the watch cache; the caller does that with {@link WatchCache#applyCommitted}.
     */
    public void commit(Transaction transaction, Transaction.OutcomeHandler handler) {
        writeBudget.takeUnconditionally(transaction.operationCount());
        call(
                "POST",
                "/commit",
                transaction.encode(),
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                (status, body) -> {
                    if (status == 429) {
                        writeBudget.drain();
                        writesThrottled = true;
                    } else if (status == 400) {
                        LOG.info("the store rejected a transaction: {}", body);
                    }
                    Transaction.Outcome outcome = StoreCodec.decodeOutcome(status, body);
                    if (outcome.result() == Transaction.Result.INVALID) {
                        LOG.error(
                                "the transaction on {} can't be committed",
                                transaction.operations().keySet());
                    }
                    handler.onOutcome(outcome);
                });
    }
}
