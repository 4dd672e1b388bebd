package io.quincelead.placing;

import io.quincelead.app.Constants;
import io.quincelead.app.Settings;
import io.quincelead.jobs.Job;
import io.quincelead.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who comes first: urgency, then teams within their guarantee, then nearness to the deadline or objective. Low work that
 * would soon miss what its class is expected to reach counts as normal work: on a full cluster it would else wait for ever.
 */
public final class QueueOrder {
    private final Map<String, List<Settings.Objective>> objectives = new HashMap<>();
    private final Map<String, Settings.Team> teams;

    public QueueOrder(Settings settings) {
        teams = settings.teams();
        for (Settings.Objective o : settings.objectives()) {
            if (!o.jobClass().isEmpty()) {
                objectives.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(o);
            }
        }
    }

    /** A job and what its place in the queue depends on; the urgency is the one it counts as having. */
    public record Ranked(Job job, int urgency, boolean withinGuarantee, boolean hopeless, double slackS) { }

    public static final Comparator<Ranked> ORDER = Comparator.comparingInt(Ranked::urgency)
            .thenComparing(r -> !r.withinGuarantee).thenComparing(Ranked::hopeless)
            .thenComparingDouble(Ranked::slackS).thenComparing(r -> r.job.spec.id());

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
    public Set<Job> guaranteed(Collection<Job> jobs) {
        List<Job> byAge = new ArrayList<>(jobs);
        byAge.sort(Comparator.comparingLong((Job j) -> j.acceptedAt).thenComparing(j -> j.spec.id()));
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
        double run = job.spec.runtimeS() * Constants.ESTIMATE_DISTRUST;
        double next = Double.MAX_VALUE;
        double last = -Double.MAX_VALUE;
        boolean stated = false;
        if (job.spec.dueS() >= 0) {
            stated = true;
            last = job.spec.dueS() - age - run;
            next = last >= 0 ? last : next;
        }
        for (Settings.Objective o : objectives.getOrDefault(job.spec.jobClass(), List.of())) {
            double by = switch (o.kind()) {
                case "wait" -> o.withinS();
                case "finished" -> o.withinS() - run;
                case "deadline" -> job.spec.dueS() < 0 ? -1 : job.spec.dueS() * Math.max(1, o.times()) - run;
                default -> -1;
            };
            if (by > 0) {
                stated = true;
                last = Math.max(last, by - age);
                next = by >= age ? Math.min(next, by - age) : next;
            }
        }
        if (!stated) {
            last = 2 * job.spec.runtimeS() + Constants.UNSTATED_DUE_S - age - run;
            next = last >= 0 ? last : next;
        }
        // What can't be reached any more no longer hurries a job; the next objective does, and after the last one, none.
        double slack = next < Double.MAX_VALUE ? next : last;
        boolean hopeless = slack < -job.spec.runtimeS();
        return new Ranked(job, counts(job.spec.urgency(), slack), withinGuarantee, hopeless, slack);
    }

    private static int counts(JobSpec.Urgency stated, double slack) {
        boolean ages = stated == JobSpec.Urgency.BEST_EFFORT && slack >= 0 && slack < Constants.AGED_SLACK_S;
        return (ages ? JobSpec.Urgency.NORMAL : stated).ordinal();
    }
}
