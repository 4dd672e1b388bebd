package io.quincelead.transport;

import io.quincelead.eventloop.EventLoop;

/** A token bucket: bounds the rate of calls to a service below what it allows. */
public final class RateLimiter {
    private final EventLoop loop;
    private double ratePerSecond;
    private final double capacity;
    private double minRatePerSecond;
    private double maxRatePerSecond;
    private double tokens;
    private long refilledAtMillis;

    /**
     * A full bucket.
     *
     * @param ratePerSecond tokens that come back in a second
     * @param burstSeconds how many seconds' tokens it holds; at least one token
     */
    public RateLimiter(EventLoop loop, double ratePerSecond, double burstSeconds) {
        this.loop = loop;
        this.ratePerSecond = ratePerSecond;
        this.capacity = Math.max(1, ratePerSecond * burstSeconds);
        this.minRatePerSecond = ratePerSecond;
        this.maxRatePerSecond = ratePerSecond;
        this.tokens = capacity;
        this.refilledAtMillis = loop.nowMillis();
    }

    /** Sets the bounds of {@link #scaleRate}; returns this. */
    public RateLimiter withRateBounds(double minPerSecond, double maxPerSecond) {
        minRatePerSecond = minPerSecond;
        maxRatePerSecond = Math.max(minPerSecond, maxPerSecond);
        return this;
    }

    /** Changes the rate by this factor, within its bounds. */
    public void scaleRate(double factor) {
        refill();
        ratePerSecond =
                Math.max(minRatePerSecond, Math.min(maxRatePerSecond, ratePerSecond * factor));
    }

    private void refill() {
        long nowMillis = loop.nowMillis();
        tokens =
                Math.min(
                        capacity, tokens + (nowMillis - refilledAtMillis) / 1000.0 * ratePerSecond);
        refilledAtMillis = nowMillis;
    }

    /** Takes tokens if there are enough, or the bucket is full; says whether it did. */
    public boolean tryTake(double amount) {
        refill();
        if (tokens < Math.min(amount, capacity)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes tokens for a call that can't wait, even into debt. */
    public void takeUnconditionally(double amount) {
        refill();
        tokens -= amount;
    }

    /** Tokens that can be taken now; below zero while in debt. */
    public double availableTokens() {
        refill();
        return tokens;
    }

    /** Milliseconds until {@link #tryTake} succeeds, if nothing is taken before; 0: now. */
    public long millisUntilAvailable(double amount) {
        refill();
        double missing = Math.min(amount, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * 1000);
    }

    /** Empties the bucket: the service says that its limit is passed. */
    public void drain() {
        tokens = Math.min(tokens, 0);
    }
}
