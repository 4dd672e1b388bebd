package io.quincelead.placing;

import io.quincelead.base.Constants;
import io.quincelead.base.Settings;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who comes first: urgent work, then what its team is guaranteed, whatever its urgency, then the rest by urgency; last by
 * nearness to the deadline or objective. A guarantee that waits behind other teams' surplus would be none.
 */
public final class QueueOrder {
    private final Map<String, Double> withinS = new HashMap<>();
    private final Map<String, Settings.Team> teams;

    public QueueOrder(Settings settings) {
        teams = settings.teams();
        for (Settings.Objective o : settings.objectives()) {
            if (!o.jobClass().isEmpty() && o.withinS() > 0) {
                withinS.merge(o.jobClass(), o.withinS(), Math::min);
            }
        }
    }

    /** A job and what its place in the queue depends on. */
    public record Ranked(Job job, int urgency, boolean withinGuarantee, boolean hopeless, double slackS) {
        int tier() {
            return QueueOrder.tier(urgency, withinGuarantee);
        }
    }

    /** The smaller, the earlier; work may be stopped only for work of a smaller one, or the two would displace each other without end. */
    static int tier(int urgency, boolean withinGuarantee) {
        int urgent = JobSpec.Urgency.HIGH.ordinal();
        return urgency <= urgent ? urgency : withinGuarantee ? urgent + 1 : urgency + 1;
    }

    public static final Comparator<Ranked> ORDER = QueueOrder::compare;

    private static int compare(Ranked a, Ranked b) {
        int c = Integer.compare(a.tier(), b.tier());
        c = c != 0 ? c : Integer.compare(a.urgency, b.urgency);
        c = c != 0 ? c : Boolean.compare(!a.withinGuarantee, !b.withinGuarantee);
        c = c != 0 ? c : Boolean.compare(a.hopeless, b.hopeless);
        c = c != 0 ? c : Double.compare(a.slackS, b.slackS);
        return c != 0 ? c : a.job.spec.id().compareTo(b.job.spec.id());
    }

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs; given by age. */
    public Set<Job> guaranteed(Collection<Job> byAge) {
        Map<String, double[]> wanted = new HashMap<>();
        Set<Job> out = new HashSet<>();
        for (Job j : byAge) {
            Settings.Team team = teams.get(j.spec.owner());
            if (team == null || j.cancelled()) {
                continue;
            }
            int open = j.spec.members() - j.doneCount();
            double[] w = wanted.computeIfAbsent(team.name(), t -> new double[2]);
            w[0] += open * j.spec.vcpus();
            w[1] += open * j.spec.cards();
            if (w[0] <= team.cpus() + 1e-9 && w[1] <= team.gpus() + 1e-9) {
                out.add(j);
            }
        }
        return out;
    }

    public Ranked rank(Job job, boolean withinGuarantee, long wallNow) {
        double age = (wallNow - job.acceptedAt) / 1000.0;
        double run = job.spec.runtimeS();
        double due = job.spec.dueS() >= 0 ? job.spec.dueS() : withinS.getOrDefault(job.spec.jobClass(), 2 * run + Constants.UNSTATED_DUE_S);
        double slack = due - age - run * Constants.ESTIMATE_DISTRUST;
        return new Ranked(job, job.spec.urgency().ordinal(), withinGuarantee, slack < -run, slack);
    }
}
