package io.quincelead.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.RateLimiter;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Client of the state service, within this controller's share of its request and write limits. */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private final EventLoop loop;
    private final Transport transport;
    private final String storeAddress;
    private final int maxTransactionOperations;
    private final RateLimiter requestBudget;
    private final RateLimiter writeBudget;
    private boolean writesDelayed;
    private boolean writesThrottled;

    /** 0 to 1: for how long this controller's writes have been delayed or throttled. */
    private double backpressure;

    /** A client that sends its calls over this transport. */
    public StoreClient(EventLoop loop, Transport transport, Settings settings) {
        this.loop = loop;
        this.transport = transport;
        this.storeAddress = settings.storeAddress();
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

    /** Takes a response on the event loop. */
    @FunctionalInterface
    public interface ResponseHandler {
        /**
         * Called once per request.
         *
         * @param status HTTP status, or {@link Transport#NO_RESPONSE}
         * @param body the body's map; null if there is none or it isn't a map; with the status 200
         *     only where a lease was renewed or revoked
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
        transport.call(
                storeAddress,
                method,
                path,
                WireFormat.CBOR,
                body == null ? null : WireFormat.CBOR.encode(body),
                timeoutMillis,
                (status, bytes) -> {
                    ObjectNode responseBody = WireFormat.CBOR.decodeMap(bytes);
                    if (status == 429) {
                        requestBudget.drain();
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

    /** Reads one key, linearizably; 404 if it doesn't exist. */
    public void get(String key, ResponseHandler handler) {
        call("GET", "/store/" + key, null, StoreConstants.REQUEST_TIMEOUT_MILLIS, handler);
    }

    /**
     * Lists one page of the keys under a prefix, in key order, after {@code afterKey}, or from the
     * first if it is null.
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
                "/watch?prefix="
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

    /** Milliseconds until a transaction without operations may be sent; 0: now. */
    public long requestDelayMillis() {
        return requestBudget.millisUntilAvailable(1);
    }

    /**
     * How many operations this controller may write now; scheduling cycles and periodic work keep
     * within it. Less than one full transaction counts as a delay.
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
     * Whether a transaction that users wait for may be sent: it goes ahead of all else, even into
     * debt, which scheduling cycles then pay off.
     */
    public boolean canAffordUrgentWrite() {
        boolean affordable =
                requestBudget.millisUntilAvailable(1) == 0
                        && writeBudget.availableTokens() > -maxTransactionOperations;
        writesDelayed |= !affordable;
        return affordable;
    }

    /**
     * Controllers share the store's write limit by need, without messages: one whose writes were
     * delayed raises its share as long as the store throttles nothing, and lowers it when the store
     * does. No share falls far below an even one.
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
     * throttled recently. Work that can wait then waits longer and shares writes.
     */
    public double backpressure() {
        return backpressure;
    }

    /** A delay in milliseconds between the two, proportional to the backpressure. */
    public long backpressureDelayMillis(long minMillis, long maxMillis) {
        return minMillis + (long) (backpressure * (maxMillis - minMillis));
    }

    /**
     * Sends a transaction; the handler gets its outcome. An outcome doesn't change the watch cache:
     * see {@link WatchCache#applyCommitted}.
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
                    handler.onOutcome(StoreCodec.decodeOutcome(status, body));
                });
    }
}
