package io.quincelead.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.StoreConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.transport.RateLimiter;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's protocol, within this controller's share of its limits. */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private final EventLoop loop;
    private final Transport transport;
    private final String storeAddress;
    private final int maxTransactionOperations;
    final RateLimiter requestBudget;
    final RateLimiter writeBudget;
    private boolean writesDelayed;
    private boolean writesThrottled;

    /** 0 to 1: how long this controller has been short of changes. */
    private double backpressure;

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
                                * 0.95,
                        0.9);
        double evenShare = settings.storeLimits().writesPerSecond() / settings.controllerCount();
        this.writeBudget =
                new RateLimiter(
                                loop,
                                evenShare * 0.95,
                                Math.max(1, maxTransactionOperations / evenShare))
                        .withRateBounds(
                                evenShare * StoreConstants.MIN_WRITE_SHARE_FRACTION,
                                settings.storeLimits().writesPerSecond()
                                        * StoreConstants.MAX_WRITE_SHARE_FRACTION);
        loop.runEvery(StoreConstants.WRITE_SHARE_INTERVAL_MILLIS, this::adjustWriteShare);
    }

    /** An answer with its map; node is null where the body is none. */
    @FunctionalInterface
    public interface ResponseHandler {
        void onResponse(int status, ObjectNode body);
    }

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
                                "the store's answer to {} {} can't be read; taken for none",
                                method,
                                path);
                        handler.onResponse(Transport.NO_RESPONSE, null);
                    } else {
                        handler.onResponse(status, responseBody);
                    }
                });
    }

    public void get(String key, ResponseHandler handler) {
        call("GET", "/store/" + key, null, StoreConstants.REQUEST_TIMEOUT_MILLIS, handler);
    }

    /** One page of what lies under a prefix, in key order, after the given key if any. */
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
                WireFormat.newMap().put("lifeMs", leaseMillis),
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

    /** ms until a comparison without changes may be sent; 0: now. */
    public long requestDelayMillis() {
        return requestBudget.millisUntilAvailable(1);
    }

    /** How many changes this controller may make now; rounds and housekeeping keep within it. */
    public int affordableWrites() {
        int affordableWrites =
                requestBudget.millisUntilAvailable(1) > 0
                        ? 0
                        : (int) Math.floor(writeBudget.availableTokens());
        writesDelayed |= affordableWrites < maxTransactionOperations;
        return affordableWrites;
    }

    /**
     * Whether what users wait for may be written: it goes ahead of all else, even into debt, which
     * rounds then pay off.
     */
    public boolean canAffordUrgentWrite() {
        boolean affordable =
                requestBudget.millisUntilAvailable(1) == 0
                        && writeBudget.availableTokens() > -maxTransactionOperations;
        writesDelayed |= !affordable;
        return affordable;
    }

    /**
     * Changes are shared by need: a controller that had to wait asks for more as long as the store
     * refuses nothing, and for less when it does. None falls below an even share for long, and
     * nobody has to tell anybody.
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
     * From 0 to 1: how short of changes the store has been of late; what can wait then waits
     * longer, and goes together.
     */
    public double backpressure() {
        return backpressure;
    }

    /** A pause in ms that grows while the store's changes are short. */
    public long throttledDelayMillis(long minMillis, long maxMillis) {
        return minMillis + (long) (backpressure * (maxMillis - minMillis));
    }

    public void commit(Transaction transaction, Transaction.OutcomeHandler handler) {
        writeBudget.takeUnconditionally(transaction.operationCount());
        call(
                "POST",
                "/commit",
                transaction.encode(),
                StoreConstants.REQUEST_TIMEOUT_MILLIS,
                (status, body) -> {
                    long storeRevision = body == null ? 0 : body.path("generation").asLong();
                    switch (status) {
                        case 200 ->
                                handler.onOutcome(
                                        new Transaction.Outcome(
                                                Transaction.Result.COMMITTED,
                                                storeRevision,
                                                Set.of()));
                        case 409 -> {
                            Set<String> failedKeys = new HashSet<>();
                            if (body != null) {
                                for (JsonNode failedKey : body.path("failed")) {
                                    failedKeys.add(failedKey.asText());
                                }
                            }
                            handler.onOutcome(
                                    new Transaction.Outcome(
                                            Transaction.Result.CONFLICT,
                                            storeRevision,
                                            failedKeys));
                        }
                        case 400, 429, 503 -> {
                            if (status == 429) {
                                writeBudget.drain();
                                writesThrottled = true;
                            }
                            if (status == 400) {
                                LOG.info("the store refused a transaction: {}", body);
                            }
                            handler.onOutcome(
                                    new Transaction.Outcome(
                                            status == 429
                                                    ? Transaction.Result.THROTTLED
                                                    : Transaction.Result.REJECTED,
                                            storeRevision,
                                            Set.of()));
                        }
                        default ->
                                handler.onOutcome(
                                        new Transaction.Outcome(
                                                Transaction.Result.INDETERMINATE, 0, Set.of()));
                    }
                });
    }
}
