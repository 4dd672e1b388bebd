package io.quincelead.placing;

import io.quincelead.app.Constants;
import io.quincelead.app.Settings;
import io.quincelead.jobs.Job;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** Who comes first: urgency, then teams within their guarantee, then nearness to the deadline or objective. */
public final class QueueOrder {
    private final Map<String, Double> withinS = new HashMap<>();

    public QueueOrder(Settings settings) {
        for (Settings.Objective o : settings.objectives()) {
            if (!o.jobClass().isEmpty() && o.withinS() > 0) {
                withinS.merge(o.jobClass(), o.withinS(), Math::min);
            }
        }
    }

    /** A job and what its place in the queue depends on. */
    public record Ranked(Job job, int urgency, boolean withinGuarantee, boolean hopeless, double slackS) { }

    public static final Comparator<Ranked> ORDER = Comparator.comparingInt(Ranked::urgency)
            .thenComparing(r -> !r.withinGuarantee).thenComparing(Ranked::hopeless)
            .thenComparingDouble(Ranked::slackS).thenComparing(r -> r.job.spec.id());

    public Ranked rank(Job job, boolean withinGuarantee, long wallNow) {
        double age = (wallNow - job.acceptedAt) / 1000.0;
        double run = job.spec.runtimeS();
        double due = job.spec.dueS() >= 0 ? job.spec.dueS() : withinS.getOrDefault(job.spec.jobClass(), 2 * run + Constants.UNSTATED_DUE_S);
        double slack = due - age - run * Constants.ESTIMATE_DISTRUST;
        return new Ranked(job, job.spec.urgency().ordinal(), withinGuarantee, slack < -run, slack);
    }
}
