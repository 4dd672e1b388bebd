package io.quincelead.transport;

import io.quincelead.eventloop.EventLoop;

/**
 * A token bucket with a burst of one second's worth, kept a little below what the other side
 * allows.
 */
public final class RateLimiter {
    private final EventLoop loop;
    private double ratePerSecond;
    private final double capacity;
    private double minRatePerSecond;
    private double maxRatePerSecond;
    private double tokens;
    private long refilledAtMillis;

    public RateLimiter(EventLoop loop, double ratePerSecond, double burstSeconds) {
        this.loop = loop;
        this.ratePerSecond = ratePerSecond;
        this.capacity = Math.max(1, ratePerSecond * burstSeconds);
        this.minRatePerSecond = ratePerSecond;
        this.maxRatePerSecond = ratePerSecond;
        this.tokens = capacity;
        this.refilledAtMillis = loop.nowMillis();
    }

    /** Lets the rate move between these. */
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

    public boolean tryTake(double amount) {
        refill();
        if (tokens < Math.min(amount, capacity)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes what a call that can't wait needs, even into debt. */
    public void takeUnconditionally(double amount) {
        refill();
        tokens -= amount;
    }

    /** What can be taken now; below zero while in debt. */
    public double availableTokens() {
        refill();
        return tokens;
    }

    /** ms until {@code n} can be taken. */
    public long millisUntilAvailable(double amount) {
        refill();
        double missing = Math.min(amount, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * 1000);
    }

    /** The other side says we are over its limit. */
    public void drain() {
        tokens = Math.min(tokens, 0);
    }
}
