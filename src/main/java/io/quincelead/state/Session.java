package io.quincelead.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.net.Codec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's membership: a hold in the store that it renews, and its node key attached to it. Its blocks and
 * its leadership hang on the same hold, so all of it lapses together.
 */
public final class Session {
    private static final Logger LOG = LoggerFactory.getLogger(Session.class);

    /** States of the membership; {@link #become} is the one function that changes them. */
    public enum Phase {
        /** No hold yet. */
        OUT,
        /** Has a hold; ends its predecessor's and announces itself. */
        JOINING,
        /** Member. Whether the lease still stands is a question of time: {@link #valid}. */
        IN
    }

    private final Loop loop;
    private final StoreClient store;
    private final String member;
    private final String address;
    private final long lifeMs;
    private final long incarnation;
    private Phase phase = Phase.OUT;
    private long grant;
    private long validUntil;

    public Session(Loop loop, StoreClient store, String member, String address, long lifeMs) {
        this.loop = loop;
        this.store = store;
        this.member = member;
        this.address = address;
        this.lifeMs = lifeMs;
        this.incarnation = loop.wall();
    }

    /** How long a controller's lease lasts on this deployment: the design's 20 s, or less where workers give up sooner. */
    public static long lifeMs(double blockLeaseS, double workerLeaseS) {
        return (long) (Math.min(blockLeaseS, workerLeaseS * Constants.LEASE_SHARE) * 1000);
    }

    private void become(Phase next) {
        LOG.info("membership {} -> {}", phase, next);
        phase = next;
    }

    public void start() {
        join();
        loop.every(lifeMs / Constants.RENEWALS_PER_LEASE, this::renew);
    }

    public boolean joined() {
        return phase == Phase.IN;
    }

    /** Whether our keys surely still stand: counted from the sending of the last renewal, with a margin for drift. */
    public boolean valid() {
        return phase == Phase.IN && loop.now() < validUntil;
    }

    public long incarnation() {
        return incarnation;
    }

    public long grant() {
        return grant;
    }

    private void join() {
        become(Phase.OUT);
        long sent = loop.now();
        store.createHold(lifeMs, (status, body) -> {
            if (status != 200 || !body.path("grant").isNumber()) {
                loop.after(Constants.RETRY_MS, this::join);
                return;
            }
            grant = body.path("grant").asLong();
            validUntil = until(sent);
            become(Phase.JOINING);
            endPredecessor();
        });
    }

    /** The platform runs one process a member, so whatever holds our node key is dead: its lease need not run out. */
    private void endPredecessor() {
        store.get(Keys.NODE + member, (status, body) -> {
            if (status == 404) {
                announce();
            } else if (status == 200 && body.path("grant").isNumber() && body.path("grant").asLong() != grant) {
                store.endHold(body.path("grant").asLong(), (s, b) -> loop.after(s == 200 || s == 404 ? 0 : Constants.RETRY_MS, this::endPredecessor));
            } else if (status == 200) {
                announce();
            } else {
                loop.after(Constants.RETRY_MS, this::endPredecessor);
            }
        });
    }

    private void announce() {
        ObjectNode value = Codec.map().put("a", address).put("i", incarnation).put("g", grant);
        long mine = grant;
        store.commit(new Txn().put(Keys.NODE + member, value, mine), outcome -> {
            switch (outcome.result()) {
                case DONE -> become(Phase.IN);
                case REFUSED, CONFLICT -> loop.after(Constants.RETRY_MS, loop.now() < validUntil ? this::announce : this::join);
                default -> loop.after(Constants.RETRY_MS, this::endPredecessor);
            }
        });
    }

    private void renew() {
        if (phase == Phase.OUT) {
            return;
        }
        long sent = loop.now();
        long mine = grant;
        store.touchHold(mine, (status, body) -> {
            if (mine != grant) {
                return;
            }
            if (status == 200) {
                validUntil = Math.max(validUntil, until(sent));
            } else if (status == 404 && phase != Phase.OUT) {
                LOG.info("the hold {} has lapsed", mine);
                join();
            }
        });
    }

    private long until(long sent) {
        return sent + (long) (lifeMs * (1 - Constants.DRIFT)) - Constants.LEASE_MARGIN_MS;
    }
}
