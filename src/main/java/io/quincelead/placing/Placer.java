package io.quincelead.placing;

import io.quincelead.base.Constants;
import io.quincelead.base.OperatorSettings;
import io.quincelead.policy.Policy;
import io.quincelead.records.Chunk;
import io.quincelead.records.ImageCaches;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Runs the TEBAS pass for one job after the other and writes where its tasks go into the plan. */
final class Placer {
    private final OperatorSettings operator;
    private final MachineTable machines;
    private final ImageCaches images;
    private final Plan plan;
    private final Policy policy;
    private final boolean spreadServices;
    private boolean lastResort;
    /** Machines that may still be left to run empty. */
    private int holds;
    private int tier;
    /** Demands that no machine had any room for: on those that suit, and as a last resort on all that are allowed. */
    private final Unmet unmet = new Unmet();
    private final Unmet unmetAnywhere = new Unmet();

    Placer(OperatorSettings operator, MachineTable machines, ImageCaches images, Policy policy, Plan plan) {
        this.policy = policy;
        this.spreadServices = operator.zones().on();
        this.operator = operator;
        this.machines = machines;
        this.images = images;
        this.plan = plan;
        this.holds = Math.max(Constants.HOLD_LEAST, (int) (plan.rooms.size() * Constants.HOLD_SHARE));
    }

    /** Places what fits, as a last resort also on machines that should be left to others; returns how many tasks found no place. */
    int place(QueueOrder.Ranked ranked, boolean anywhere) {
        Job job = ranked.job();
        lastResort = anywhere;
        tier = ranked.tier();
        JobSpec s = job.spec;
        int wanted = Math.min(ranked.most(), plan.pending(job));
        int tasks = Math.min(wanted, plan.quota(s));
        if (s.urgency() == JobSpec.Urgency.BEST_EFFORT && s.ordinary()) {
            // What urgent work will need before long is left free: displacing low work costs it its run, and the store changes.
            tasks = Math.min(tasks, Tebas.remainCap((anywhere ? plan.freeCpus(true) : plan.freeCpus()) - plan.reserve, Double.MAX_VALUE, 0, s.vcpus(), 0, 0));
        }
        if (tasks <= 0 || s.gang() && tasks < wanted || (anywhere ? unmetAnywhere : unmet).covers(s)) {
            return wanted;
        }
        if (s.gang() && job.chunks.length > plan.changes - plan.edits.size()) {
            // All of it must be in one write.
            plan.truncated = true;
            return wanted;
        }
        Map<String, Integer> spread = new LinkedHashMap<>();
        int left = assign(job, tasks, true, spread);
        if (left > 0 && plan.leading) {
            if (s.gang()) {
                spread.clear();
            }
            left = assign(job, s.gang() ? tasks : left, false, spread);
        }
        if (s.gang() && left > 0) {
            return wanted;
        }
        return wanted - record(job, spread);
    }

    /**
     * Leaves the machines that will soonest have room for so many tasks to run empty: on a full cluster, smaller tasks would take each
     * part of them as it comes free, for ever. For a gang, whose tasks start together, also those that have some room now.
     */
    void hold(JobSpec s, int tasks) {
        int most = s.gang() ? Math.max(Constants.HOLD_LEAST, (int) (plan.rooms.size() * Constants.HOLD_GANG_SHARE)) : Math.min(tasks, holds);
        if (most <= 0 || plan.quota(s) < (s.gang() ? tasks : 1)) {
            return;
        }
        Map<String, List<Room>> near = new LinkedHashMap<>();
        for (Room.Kind kind : plan.kinds.values()) {
            for (Room r : kind.suits(s, tier) ? kind.rooms : List.<Room>of()) {
                if (r.heldFor == Integer.MAX_VALUE && (r.inBlock || plan.leading) && (s.gang() || r.cap(s) == 0)) {
                    near.computeIfAbsent(s.oneZone() ? kind.site : "", z -> new ArrayList<>()).add(r);
                }
            }
        }
        List<Room> best = List.of();
        double bestFree = -1;
        for (List<Room> zone : near.values()) {
            zone.sort(Comparator.comparingDouble((Room r) -> -r.freeCpus()).thenComparing(r -> r.host));
            int left = tasks;
            int n = 0;
            double free = 0;
            while (left > 0 && n < Math.min(most, zone.size())) {
                Room r = zone.get(n++);
                free += r.freeCpus();
                left -= s.gang() ? r.kind.most(s) : 1;
            }
            if (free > bestFree && (left <= 0 || !s.gang())) {
                best = zone.subList(0, n);
                bestFree = free;
            }
        }
        for (Room r : best) {
            r.heldFor = tier;
            holds--;
        }
    }

    /** Runs the pass over the block's machines (or, for the leader, all machines) within the job's zone rules. */
    private int assign(Job job, int tasks, boolean blockOnly, Map<String, Integer> spread) {
        JobSpec s = job.spec;
        Map<String, List<Tebas.Seat>> byZone = seats(s, blockOnly, spread);
        if (byZone.isEmpty() && spread.isEmpty() && (!blockOnly || !plan.leading)) {
            (lastResort ? unmetAnywhere : unmet).add(s);
        }
        int half = policy.zoneMost(job);
        if (s.service() && !s.oneZone() && (spreadServices || half < s.members() && !s.scatter())) {
            return evenly(job, tasks, byZone, spread, half);
        }
        if (!s.oneZone() && !s.scatter()) {
            List<Tebas.Seat> all = new ArrayList<>();
            byZone.values().forEach(all::addAll);
            int left = Tebas.pass(all, tasks, operator.beta());
            all.forEach(seat -> count(spread, seat));
            return left;
        }
        Map<String, Integer> perZone = zonesOf(job);
        spread.forEach((host, n) -> perZone.merge(plan.rooms.get(host).kind.site, n, Integer::sum));
        List<String> zones = new ArrayList<>(byZone.keySet());
        zones.sort(Comparator.comparingInt((String z) -> -byZone.get(z).stream().mapToInt(x -> x.remainCap).sum()).thenComparing(z -> z));
        int left = tasks;
        for (String z : zones) {
            if (s.oneZone() && !perZone.isEmpty() && !perZone.containsKey(z)) {
                continue;
            }
            int most = s.scatter() ? Math.min(left, half - perZone.getOrDefault(z, 0)) : left;
            int room = byZone.get(z).stream().mapToInt(x -> x.remainCap).sum();
            if (most <= 0 || s.oneZone() && s.gang() && room < left) {
                continue;
            }
            left -= most - Tebas.pass(byZone.get(z), most, operator.beta());
            byZone.get(z).forEach(seat -> count(spread, seat));
            perZone.merge(z, 0, Integer::sum);
            if (left == 0) {
                break;
            }
        }
        return left;
    }

    /** A service's replicas go where the fewest are, one by one, within what one zone may have; within a zone the pass places them. */
    private int evenly(Job job, int tasks, Map<String, List<Tebas.Seat>> byZone, Map<String, Integer> spread, int most) {
        Map<String, Integer> has = zonesOf(job);
        spread.forEach((host, n) -> has.merge(plan.rooms.get(host).kind.site, n, Integer::sum));
        Map<String, Integer> room = new TreeMap<>();
        byZone.forEach((z, seats) -> room.put(z, seats.stream().mapToInt(x -> x.remainCap).sum()));
        Map<String, Integer> give = new TreeMap<>();
        int left = tasks;
        while (left > 0) {
            String best = null;
            for (String z : room.keySet()) {
                boolean open = room.get(z) > give.getOrDefault(z, 0) && has.getOrDefault(z, 0) < most;
                if (open && (best == null || has.getOrDefault(z, 0) < has.getOrDefault(best, 0))) {
                    best = z;
                }
            }
            if (best == null) {
                break;
            }
            give.merge(best, 1, Integer::sum);
            has.merge(best, 1, Integer::sum);
            left--;
        }
        int unplaced = left;
        for (Map.Entry<String, Integer> g : give.entrySet()) {
            unplaced += Tebas.pass(byZone.get(g.getKey()), g.getValue(), operator.beta());
            byZone.get(g.getKey()).forEach(seat -> count(spread, seat));
        }
        return unplaced;
    }

    /** The machines with room for a task of the job, by zone. */
    private Map<String, List<Tebas.Seat>> seats(JobSpec s, boolean blockOnly, Map<String, Integer> spread) {
        Map<String, List<Tebas.Seat>> byZone = new LinkedHashMap<>();
        for (Room.Kind kind : plan.kinds.values()) {
            if (!(lastResort ? kind.allows(s) : kind.suits(s, tier))) {
                continue;
            }
            List<Tebas.Seat> seats = null;
            double clock = operator.frequency().getOrDefault(kind.shape.label(), 1.0);
            // Where the time to reach a worker doesn't count, a kind's machines differ by the image alone.
            boolean urgent = s.urgency().ordinal() <= JobSpec.Urgency.HIGH.ordinal();
            double with = Tebas.fitness(operator.alpha(), s.vcpus(), frequency(s, kind, clock, true, 0));
            double without = Tebas.fitness(operator.alpha(), s.vcpus(), frequency(s, kind, clock, false, 0));
            for (Room r : kind.rooms) {
                int cap = blockOnly && !r.inBlock || !r.open() || tier >= r.heldFor ? 0 : r.cap(s) - (spread.isEmpty() ? 0 : spread.getOrDefault(r.host, 0));
                if (cap > 0) {
                    boolean image = images.has(r.host, s.container());
                    double fitness = !urgent || r.reachS <= 0 ? image ? with : without
                            : Tebas.fitness(operator.alpha(), s.vcpus(), frequency(s, kind, clock, image, r.reachS));
                    seats = seats == null ? byZone.computeIfAbsent(kind.site, z -> new ArrayList<>()) : seats;
                    seats.add(new Tebas.Seat(r.host, fitness, cap, cap));
                }
            }
        }
        return byZone;
    }

    /**
     * The machine's frequency as this task gets to feel it: while its image is fetched, nothing runs. Where fetches take
     * as long as the tasks themselves, the paper's gain of a machine is mostly a matter of who has the image.
     */
    private static double frequency(JobSpec s, Room.Kind kind, double clock, boolean image, double waitS) {
        double fetchS = image ? 0 : s.sizeGb() / Math.max(kind.shape.pullGbPerS(), 0.01);
        double runS = s.service() ? Constants.SERVICE_RANK_S : Math.max(s.runtimeS(), 1);
        // Where workers report seldom, whose answer is still open matters as well to work that should start at once.
        return clock * runS / (runS + fetchS + waitS);
    }

    private static void count(Map<String, Integer> spread, Tebas.Seat seat) {
        if (seat.assigned > 0) {
            spread.merge(seat.host, seat.assigned, Integer::sum);
        }
    }

    /** The zones where the job may have more tasks than it has: room made elsewhere would be of no use to it. */
    Predicate<String> zonesFor(Job job) {
        JobSpec s = job.spec;
        int most = policy.zoneMost(job);
        if (!s.oneZone() && most >= s.members()) {
            return z -> true;
        }
        Map<String, Integer> has = zonesOf(job);
        return z -> s.oneZone() ? has.isEmpty() || has.containsKey(z) : has.getOrDefault(z, 0) < most;
    }

    /** Where the job's tasks may be now, by zone, evidence of this round included. */
    private Map<String, Integer> zonesOf(Job job) {
        Map<String, Integer> out = new HashMap<>();
        for (Chunk c : job.chunks) {
            if (c == null) {
                continue;
            }
            count(out, c.placed.stream().filter(p -> plan.edits.get(c) == null));
        }
        for (int k = 0; k < job.chunks.length; k++) {
            Chunk.Edit e = plan.edits.get(job.chunk(k));
            if (e != null) {
                // What an earlier pass of this round has placed counts too.
                count(out, e.holding().stream());
            }
        }
        return out;
    }

    private void count(Map<String, Integer> zones, java.util.stream.Stream<Placement> placed) {
        placed.map(p -> machines.get(p.host)).filter(java.util.Objects::nonNull).forEach(m -> zones.merge(m.site(), 1, Integer::sum));
    }

    /** Writes the spread into the chunks; returns how many tasks got a place. */
    private int record(Job job, Map<String, Integer> spread) {
        List<String> places = new ArrayList<>();
        spread.forEach((host, n) -> {
            for (int i = 0; i < n; i++) {
                places.add(host);
            }
        });
        int next = 0;
        long gangTry = 0;
        for (int k = 0; k < job.chunks.length; k++) {
            gangTry = Math.max(gangTry, job.chunk(k).lastTry);
        }
        for (int k = 0; k < job.chunks.length && next < places.size(); k++) {
            if (plan.pending(job, k) == 0) {
                continue;
            }
            Chunk.Edit e = plan.edit(job, k);
            if (e == null) {
                break;
            }
            long attempt = (job.spec.gang() ? gangTry : e.chunk().lastTry) + 1;
            for (int i = e.chunk().first(); i < e.chunk().first() + e.chunk().size() && next < places.size(); i++) {
                if (e.placeable(i)) {
                    Room r = plan.rooms.get(places.get(next));
                    e.place(i, r.host, attempt);
                    plan.take(r, job.spec, 1);
                    plan.use(plan.myUse, job.spec, 1);
                    plan.use(plan.allUse, job.spec, 1);
                    next++;
                }
            }
        }
        return next;
    }
}
