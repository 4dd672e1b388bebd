package io.quincelead.transport;

import io.quincelead.eventloop.EventLoop;

/** A token bucket that keeps the rate of calls to a service below the service's limit. */
public final class RateLimiter {
    private final EventLoop loop;
    private double ratePerSecond;
    private final double capacity;
    private double minRatePerSecond;
    private double maxRatePerSecond;
    private double tokens;
    private long refilledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond number of tokens that are added per second
     * @param burstSeconds capacity of the bucket, in seconds of the rate; it holds at least one
     *     token
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

    /** Sets the bounds of the rate for {@link #scaleRate} and returns this limiter. */
    public RateLimiter withRateBounds(double minPerSecond, double maxPerSecond) {
        minRatePerSecond = minPerSecond;
        maxRatePerSecond = Math.max(minPerSecond, maxPerSecond);
        return this;
    }

    /** Multiplies the rate by a factor, within the bounds of the rate. */
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

    /**
     * Takes tokens if enough are available or the bucket is full. Returns whether they were taken.
     */
    public boolean tryTake(double amount) {
        refill();
        if (tokens < Math.min(amount, capacity)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes tokens for a call that can't wait, even if the balance becomes negative. */
    public void takeUnconditionally(double amount) {
        refill();
        tokens -= amount;
    }

    /**
     * Returns the number of tokens that are available now; negative while the bucket is overdrawn.
     */
    public double availableTokens() {
        refill();
        return tokens;
    }

    /** Returns the number of tokens in a full bucket. */
    public double capacity() {
        return capacity;
    }

    /**
     * Returns the milliseconds until {@link #tryTake} succeeds if no tokens are taken before; 0 if
     * it succeeds now.
     */
    public long millisUntilAvailable(double amount) {
        refill();
        double missing = Math.min(amount, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * 1000);
    }

    /** Empties the bucket after the service has reported that its limit is exceeded. */
    public void drain() {
        tokens = Math.min(tokens, 0);
    }
}
