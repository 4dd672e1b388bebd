package io.quincelead.net;

import io.quincelead.base.Loop;

/** A token bucket with a burst of one second's worth, kept a little below what the other side allows. */
public final class RateBudget {
    private final Loop loop;
    private double perSecond;
    private final double burst;
    private double least;
    private double most;
    private double tokens;
    private long last;

    public RateBudget(Loop loop, double perSecond, double burstSeconds) {
        this.loop = loop;
        this.perSecond = perSecond;
        this.burst = Math.max(1, perSecond * burstSeconds);
        this.least = perSecond;
        this.most = perSecond;
        this.tokens = burst;
        this.last = loop.now();
    }

    /** Lets the rate move between these. */
    public RateBudget within(double low, double high) {
        least = low;
        most = Math.max(low, high);
        return this;
    }

    /** Changes the rate by this factor, within its bounds. */
    public void scale(double factor) {
        refill();
        perSecond = Math.max(least, Math.min(most, perSecond * factor));
    }

    private void refill() {
        long now = loop.now();
        tokens = Math.min(burst, tokens + (now - last) / 1000.0 * perSecond);
        last = now;
    }

    public boolean take(double n) {
        refill();
        if (tokens < Math.min(n, burst)) {
            return false;
        }
        tokens -= n;
        return true;
    }

    /** Takes what a call that can't wait needs, even into debt. */
    public void force(double n) {
        refill();
        tokens -= n;
    }

    /** What can be taken now; below zero while in debt. */
    public double available() {
        refill();
        return tokens;
    }

    /** ms until {@code n} can be taken. */
    public long waitMs(double n) {
        refill();
        double missing = Math.min(n, burst) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * 1000);
    }

    /** The other side says we are over its limit. */
    public void drain() {
        tokens = Math.min(tokens, 0);
    }
}
