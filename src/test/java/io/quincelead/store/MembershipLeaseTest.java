package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.TestSettings;
import io.quincelead.simulation.SimulatedClock;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipLeaseTest {
    private static final long LEASE_MILLIS = 10_000;
    private static final long RESPONSE_DELAY_MILLIS = 1;

    private final SimulatedClock clock = new SimulatedClock(1);
    private final SimulatedClock.SimulatedProcess loop = clock.newProcess();

    /** Simulated time at which each renewal was sent. */
    private final List<Long> renewalsSentAtMillis = new ArrayList<>();

    private int renewalStatus = 200;
    private int renewalsInFlight;
    private int maxRenewalsInFlight;
    private long lastLeaseId;

    private MembershipLease startedLease() {
        StoreClient store =
                new StoreClient(
                        loop,
                        (address, method, path, codec, body, timeoutMillis, handler) ->
                                respond(path, timeoutMillis, handler),
                        TestSettings.SINGLE_CONTROLLER);
        MembershipLease lease =
                new MembershipLease(loop, store, "worker-0", "10.0.0.1:8081", LEASE_MILLIS);
        lease.start();
        clock.runUntil(500);
        assertTrue(lease.isValid());
        return lease;
    }

    private void respond(String path, long timeoutMillis, Transport.ResponseHandler handler) {
        ObjectNode body = WireFormat.newMap();
        int status = 200;
        long delayMillis = RESPONSE_DELAY_MILLIS;
        boolean renewal = path.endsWith("/touch");
        if (renewal) {
            renewalsSentAtMillis.add(clock.nowMillis());
            renewalsInFlight++;
            maxRenewalsInFlight = Math.max(maxRenewalsInFlight, renewalsInFlight);
            status = renewalStatus;
            delayMillis = status == Transport.NO_RESPONSE ? timeoutMillis : delayMillis;
        } else if (path.equals("/holds")) {
            body.put("grant", ++lastLeaseId);
        } else if (path.equals("/commit")) {
            body.put("generation", 7);
        } else {
            status = 404;
        }
        int responseStatus = status;
        clock.schedule(
                delayMillis,
                () -> {
                    renewalsInFlight -= renewal ? 1 : 0;
                    handler.onResponse(responseStatus, WireFormat.CBOR.encode(body));
                });
    }

    /**
     * Without a prompt retry of failed renewals, a controller refused work for up to a quarter of
     * its lease after an outage had ended.
     */
    @Test
    void leaseIsValidWithinHalfASecondOfTheEndOfAnOutage() {
        MembershipLease lease = startedLease();
        renewalStatus = 503;
        for (long endMillis = 15_000; endMillis < 60_000; endMillis += 15_300) {
            clock.runUntil(endMillis);
            assertFalse(lease.isValid());
            renewalStatus = 200;
            clock.runUntil(endMillis + 500);
            assertTrue(lease.isValid(), "outage that ends at " + endMillis);
            renewalStatus = 503;
        }
    }

    @Test
    void renewalsThatGetNoResponseNeverOverlap() {
        MembershipLease lease = startedLease();
        renewalStatus = Transport.NO_RESPONSE;
        clock.runUntil(60_000);
        assertFalse(lease.isValid());
        assertEquals(1, maxRenewalsInFlight);
    }

    @Test
    void renewalRateStaysLowDuringAnOutage() {
        startedLease();
        renewalsSentAtMillis.clear();
        renewalStatus = 503;
        clock.runUntil(60_500);
        assertTrue(renewalsSentAtMillis.size() > 120, "sent: " + renewalsSentAtMillis.size());
        assertTrue(renewalsSentAtMillis.size() <= 330, "sent: " + renewalsSentAtMillis.size());
    }

    @Test
    void expiredLeaseIsReplacedByANewOne() {
        MembershipLease lease = startedLease();
        renewalStatus = 404;
        clock.runUntil(5_000);
        renewalStatus = 200;
        clock.runUntil(6_000);
        assertTrue(lease.isValid());
        assertTrue(lease.leaseId() > 1);
    }
}
