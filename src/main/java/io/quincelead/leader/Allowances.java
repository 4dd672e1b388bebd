package io.quincelead.leader;

import io.quincelead.base.Constants;
import java.util.Arrays;

/** How a team's limit is split over controllers: arithmetic alone, which the leader calls and a model explores. */
public final class Allowances {
    private Allowances() { }

    /**
     * The next allowances by controller. Each may use the larger of its allowance {@code now} and its {@code use} on record;
     * {@code dead} is what tasks of lost controllers use, {@code want} what waits by controller and urgency, and
     * {@code fresh} says that some controller has had none yet. Only what is free under the allowances on record is given
     * out: what this takes away can be given by a later split, when it is on record.
     */
    public static double[] split(double limit, double dead, double[] now, double[] use, double[][] want, boolean fresh) {
        int n = now.length;
        double[] wants = new double[n];
        double used = dead;
        double committed = dead;
        boolean unmet = false;
        for (int i = 0; i < n; i++) {
            wants[i] = Arrays.stream(want[i]).sum();
            used += use[i];
            committed += Math.max(now[i], use[i]);
            unmet |= wants[i] > 0 && now[i] - use[i] < wants[i] - 1e-9;
        }
        if (!unmet && !fresh) {
            return now;
        }
        double[][] stages = targets(Math.max(0, limit - used), use, want);
        double[] target = stages[stages.length - 1];
        double free = Math.max(0, limit - committed);
        double[] out = new double[n];
        for (int i = 0; i < n; i++) {
            // Records may show ends late and so, for a while, more use than there is; nobody's allowance rises by that.
            double held = committed > limit + 1e-6 ? now[i] : Math.max(now[i], use[i]);
            out[i] = Math.min(target[i], held);
        }
        boolean lacksLittle = grow(out, stages, now, use, free, n * Constants.ALLOWANCE_NEAR * limit);
        for (int i = 0; i < n; i++) {
            boolean enough = wants[i] <= 0 || now[i] - use[i] > Constants.ALLOWANCE_NEAR * limit;
            boolean completes = false;
            for (double[] stage : stages) {
                completes |= now[i] < stage[i] - 1e-9 && now[i] - use[i] < wants[i] - 1e-9 && out[i] >= stage[i] - 1e-9;
            }
            if (now[i] > 0 && Math.abs(out[i] - now[i]) < least(limit, enough, completes || lacksLittle && out[i] < now[i])) {
                out[i] = now[i];
            }
        }
        return out;
    }

    /**
     * The least change worth a record, for each one rewrites blocks and fails the rounds in flight. But what somebody is short
     * of is taken back to the last bit, and whoever is short gets the last bit of its target: a gang that lacks a tenth of a
     * CPU waits as much as one that lacks all.
     */
    private static double least(double limit, boolean enough, boolean counts) {
        if (counts) {
            return 1e-6;
        }
        return Math.max(Constants.ALLOWANCE_STEP, enough ? Constants.ALLOWANCE_NEAR * limit : 0);
    }

    /**
     * Gives out what is free, the more urgent wants first; returns whether little was lacking, so that the last bits which
     * others hold would serve somebody. Where much is lacking, small changes would only rewrite blocks all the time.
     */
    private static boolean grow(double[] out, double[][] stages, double[] now, double[] use, double free, double little) {
        boolean lacksLittle = false;
        double left = free;
        for (double[] stage : stages) {
            double[] more = new double[out.length];
            for (int i = 0; i < out.length; i++) {
                more[i] = Math.max(0, stage[i] - Math.max(out[i], Math.max(now[i], use[i])));
            }
            double growth = Arrays.stream(more).sum();
            double share = growth <= left ? 1 : left / growth;
            lacksLittle |= growth > left + 1e-9 && growth <= left + little;
            for (int i = 0; i < out.length; i++) {
                // From what it holds, which it may use already, up to this stage's part of its target.
                out[i] = more[i] <= 0 || share <= 0 ? out[i] : Math.max(out[i], Math.max(now[i], use[i])) + more[i] * share;
            }
            left -= growth * share;
        }
        return lacksLittle;
    }

    /**
     * What each would get if everything could move at once, by urgency and summed up over it: the more urgent wants first, for
     * shared evenly, a large low job would keep an urgent gang from ever fitting. Last, what nobody wants is shared evenly.
     */
    private static double[][] targets(double rest, double[] use, double[][] want) {
        double[][] stages = new double[want[0].length + 1][];
        double[] target = use.clone();
        for (int u = 0; u < want[0].length; u++) {
            double wanted = 0;
            for (double[] w : want) {
                wanted += w[u];
            }
            double given = Math.min(rest, wanted);
            for (int i = 0; i < want.length && wanted > 0; i++) {
                target[i] += given * want[i][u] / wanted;
            }
            rest -= given;
            stages[u] = target.clone();
        }
        for (int i = 0; i < target.length; i++) {
            target[i] += rest / target.length;
        }
        stages[want[0].length] = target;
        return stages;
    }
}
