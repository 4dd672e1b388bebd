package io.quincelead.records;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What constrained work has asked for lately: work that not every machine may run. The machines it needs are kept for it
 * and left free for it, for more of the same is likely to come.
 */
public final class Kinds {
    /** What a task demands of its machine. */
    private record Kind(double vcpus, double cards, double ramGb, List<String> shapes, String site, boolean preemptible) {
        boolean fits(Catalog.Shape shape, String at, boolean spot) {
            return vcpus <= shape.vcpus() && cards <= shape.cards() && ramGb <= shape.ramGb() && (shapes == null || shapes.contains(shape.label()))
                    && (site == null || site.equals(at)) && (preemptible || !spot);
        }
    }

    private final Loop loop;
    /** When each kind was last asked for, the oldest first. */
    private final Map<Kind, Long> asked = new LinkedHashMap<>();

    /** CPUs asked for by urgent work, fading with time. */
    private double urgentCpus;
    private long fadedAt;

    public Kinds(Loop loop, JobTable jobs) {
        this.loop = loop;
        jobs.onJob(this::note);
    }

    private void note(Job job) {
        JobSpec s = job.spec;
        if (s.ordinary()) {
            return;
        }
        // After a start, old jobs appear all at once: they say nothing of the rate.
        if (s.cards() == 0 && s.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal()
                && loop.wall() - job.acceptedAt < Constants.RESERVE_WINDOW_S * 1000) {
            fade();
            urgentCpus += s.members() * s.vcpus();
        }
        Kind kind = new Kind(s.vcpus(), s.cards(), s.ramGb(), s.shapes(), s.site(), s.preemptible());
        asked.remove(kind);
        asked.put(kind, loop.now());
        long old = loop.now() - Constants.KIND_REMEMBERED_MS;
        while (asked.size() > Constants.KINDS_REMEMBERED || asked.values().iterator().next() < old) {
            asked.remove(asked.keySet().iterator().next());
        }
    }

    private void fade() {
        urgentCpus *= Math.exp(-(loop.now() - fadedAt) / 1000.0 / Constants.RESERVE_WINDOW_S);
        fadedAt = loop.now();
    }

    /** CPUs that urgent constrained work without GPUs would ask for in this time, at the rate of late. */
    public double urgentCpus(double withinS) {
        fade();
        return urgentCpus / Constants.RESERVE_WINDOW_S * withinS;
    }

    private boolean any(Catalog.Shape shape, String site, boolean spot, boolean cardsOnly) {
        long old = loop.now() - Constants.KIND_REMEMBERED_MS;
        for (Map.Entry<Kind, Long> e : asked.entrySet()) {
            if (e.getValue() >= old && (!cardsOnly || e.getKey().cards > 0) && e.getKey().fits(shape, site, spot)) {
                return true;
            }
        }
        return false;
    }

    /** Whether constrained work of late could use such a machine. */
    public boolean wanted(Catalog.Shape shape, String site, boolean spot) {
        return any(shape, site, spot, false);
    }

    /** Whether work of late needs the GPUs of such a machine: other work should leave it alone. */
    public boolean cardsWanted(Catalog.Shape shape, String site, boolean spot) {
        return shape.cards() > 0 && any(shape, site, spot, true);
    }
}
