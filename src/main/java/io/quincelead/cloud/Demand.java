package io.quincelead.cloud;

import io.quincelead.app.Constants;
import io.quincelead.app.Loop;
import io.quincelead.app.Settings;
import io.quincelead.jobs.Chunk;
import io.quincelead.jobs.Job;
import io.quincelead.jobs.JobSpec;
import io.quincelead.jobs.JobTable;
import io.quincelead.jobs.Placement;
import io.quincelead.placing.QueueOrder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How many CPUs the work needs: the usual load, from what arrived lately, and what must be there so that the work in
 * the queue is done by its due times (demand bound: for each due time, the work due by then against the CPU time until then).
 */
final class Demand {
    private final Loop loop;
    private final QueueOrder order;
    private final Settings settings;
    private final Set<String> seen = new HashSet<>();
    private final double[] arrivedWork = new double[JobSpec.Urgency.values().length];
    private long arrivedAt;
    private long observing = -1;

    Demand(Loop loop, QueueOrder order, Settings settings) {
        this.loop = loop;
        this.order = order;
        this.settings = settings;
    }

    /** CPUs that are up, or will be after a while. */
    static final class Capacity {
        private record Part(double cpus, double readyInS) { }

        private final List<Part> parts = new ArrayList<>();

        void add(double cpus, double readyInS) {
            parts.add(new Part(cpus, readyInS));
        }

        double cpus() {
            return parts.stream().mapToDouble(Part::cpus).sum();
        }

        double upCpus() {
            return parts.stream().filter(p -> p.readyInS <= 0).mapToDouble(Part::cpus).sum();
        }

        /** CPU seconds until then. */
        double work(double withinS) {
            return parts.stream().mapToDouble(p -> p.cpus * Math.max(0, withinS - p.readyInS)).sum();
        }
    }

    /** CPUs for the usual load, CPUs missing for what would be late, CPUs in use, and CPUs the queue needs in time. */
    record Need(double usualCpus, double urgentCpus, double inUse, double queueCpus) {
        /** What should be kept: less than this is not returned to. */
        double keepCpus(double headroom) {
            return Math.max(usualCpus, Math.max(inUse * (1 + headroom), queueCpus));
        }
    }

    /** Work that any machine may run and that is counted in CPUs alone. */
    static boolean ordinary(JobSpec s) {
        return s.mode() == JobSpec.Mode.ARRAY && s.cards() == 0 && s.shapes() == null && s.site() == null && s.preemptible() && !s.oneZone();
    }

    /** Notes what has arrived since the last look. */
    void observe(JobTable jobs) {
        long now = loop.now();
        if (observing < 0) {
            observing = now;
            arrivedAt = now;
        }
        double fade = Math.exp(-(now - arrivedAt) / 1000.0 / Constants.LOAD_WINDOW_S);
        for (int u = 0; u < arrivedWork.length; u++) {
            arrivedWork[u] *= fade;
        }
        arrivedAt = now;
        seen.removeIf(id -> jobs.get(id) == null);
        for (Job j : jobs.all()) {
            if (seen.add(j.spec.id()) && ordinary(j.spec)) {
                arrivedWork[j.spec.urgency().ordinal()] += j.spec.members() * j.spec.vcpus() * Math.max(1, j.spec.runtimeS());
            }
        }
    }

    /** CPUs that work arriving at the present rate keeps busy, counting only urgencies before this one. */
    private double usual(int beforeUrgency) {
        double watchedS = Math.max(20, (loop.now() - observing) / 1000.0);
        double window = Constants.LOAD_WINDOW_S * (1 - Math.exp(-watchedS / Constants.LOAD_WINDOW_S));
        double sum = 0;
        for (int u = 0; u < beforeUrgency; u++) {
            sum += arrivedWork[u];
        }
        return sum / window;
    }

    private record Due(double inS, double work, int urgency) { }

    Need need(JobTable jobs, Capacity capacity, long wall) {
        List<Due> dues = new ArrayList<>();
        Map<String, Double> waiting = new HashMap<>();
        double inUse = 0;
        long now = loop.now();
        for (Job j : jobs.all()) {
            JobSpec s = j.spec;
            double run = Math.max(1, s.runtimeS());
            for (Chunk c : j.chunks) {
                if (c == null) {
                    continue;
                }
                for (Placement p : c.placed.values()) {
                    inUse += s.vcpus();
                    double ran = (now - p.since) / 1000.0;
                    double left = s.service() ? 1e6 : Math.max(run - ran, run * 0.2);
                    dues.add(new Due(left, left * s.vcpus(), 0));
                }
            }
            if (j.cancelled() || j.pendingCount() == 0 || !ordinary(s) || now < j.notBefore) {
                continue;
            }
            double most = settings.teams().containsKey(s.owner()) ? settings.teams().get(s.owner()).cpusMax() : 0;
            double cpus = Math.min(j.pendingCount() * s.vcpus(), Math.max(0, most * 3 - waiting.getOrDefault(s.owner(), 0.0)));
            waiting.merge(s.owner(), cpus, Double::sum);
            double due = order.rank(j, true, wall).slackS() + run * Constants.ESTIMATE_DISTRUST;
            if (due < run) {
                due = Constants.LATE_DRAIN_S;
            }
            // Tasks run in whole waves: of the time until it is due, only whole run times count.
            double waves = Math.max(run, Math.floor(due / run) * run);
            dues.add(new Due(Math.min(due, waves), cpus * run, s.urgency().ordinal()));
        }
        dues.sort(Comparator.comparingDouble(Due::inS));
        double work = 0;
        double urgent = 0;
        double queue = 0;
        double bootS = Constants.TYPICAL_BOOT_S;
        for (Due d : dues) {
            work += d.work;
            double t = Math.max(d.inS, 5);
            queue = Math.max(queue, work / t);
            // Until then, more urgent work will arrive and go first.
            double missing = work + usual(d.urgency) * t - capacity.work(t);
            if (missing > 0) {
                urgent = Math.max(urgent, missing / Math.max(t - bootS, Constants.LEAST_HELP_S));
            }
        }
        return new Need(usual(arrivedWork.length) * Constants.LOAD_MARGIN, urgent, inUse, Math.min(queue, inUse * 2 + 50));
    }
}
