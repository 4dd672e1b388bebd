package io.quincelead.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.records.JobSpec;
import io.quincelead.records.Placement;
import io.quincelead.world.Jobs;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QueuePassTest {
    /**
     * The plain way: each job in the order of the queue filters all machines, sorts them, runs the pass over them with nothing
     * left out, and takes the room. What the pass with kept loads and remembered failures assigns must be the same.
     */
    private static Map<String, Map<String, Integer>> plainly(Cluster c, List<JobSpec> queue) {
        Map<String, double[]> free = new TreeMap<>();
        c.hosts.forEach((host, shape) -> {
            double[] f = {shape.vcpus(), shape.ramGb()};
            for (Placement p : c.jobs.on(host).values()) {
                f[0] -= p.over() ? 0 : p.job.spec.vcpus();
                f[1] -= p.over() ? 0 : p.job.spec.ramGb();
            }
            free.put(host, f);
        });
        Map<String, Map<String, Integer>> out = new TreeMap<>();
        for (JobSpec s : queue) {
            List<Tebas.Seat> seats = new ArrayList<>();
            for (Map.Entry<String, double[]> f : free.entrySet()) {
                boolean allowed = s.shapes() == null || s.shapes().contains(c.hosts.get(f.getKey()).label());
                int cap = Tebas.remainCap(f.getValue()[0], f.getValue()[1], 0, s.vcpus(), s.ramGb(), 0);
                if (allowed && cap > 0) {
                    double k = s.runtimeS() / (s.runtimeS() + s.sizeGb() / c.hosts.get(f.getKey()).pullGbPerS());
                    seats.add(new Tebas.Seat(f.getKey(), Tebas.fitness(0.9, s.vcpus(), k), cap, cap));
                }
            }
            sweep(seats, s.members());
            Map<String, Integer> places = new TreeMap<>();
            for (Tebas.Seat seat : seats) {
                if (seat.assigned > 0) {
                    places.put(seat.host, seat.assigned);
                }
                free.get(seat.host)[0] -= seat.assigned * s.vcpus();
                free.get(seat.host)[1] -= seat.assigned * s.ramGb();
            }
            out.put(s.id(), places);
        }
        return out;
    }

    /** Algorithm 1 over all machines, fully sorted. */
    private static void sweep(List<Tebas.Seat> seats, int tasks) {
        seats.sort(Comparator.comparingDouble((Tebas.Seat s) -> -s.fitness).thenComparingDouble(s -> -s.room).thenComparing(s -> s.host));
        int n = seats.size();
        int groups = Math.max(1, n / 3);
        int left = tasks;
        for (int before = -1; n > 0 && left > 0 && left != before;) {
            before = left;
            int average = 0;
            for (int i = 0; i < n && left > 0; i++) {
                int group = Math.min(i / (n / groups), groups - 1);
                if (i == group * (n / groups)) {
                    average = left / (group < groups - 1 ? n / groups : n - n / groups * (groups - 1));
                }
                int take = Math.min(left, Math.min(Math.max(average, 1), seats.get(i).remainCap));
                seats.get(i).assigned += take;
                seats.get(i).remainCap -= take;
                left -= take;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void assignsWhatThePlainWayAssigns(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        for (int day = 0; day < 25; day++) {
            Cluster c = new Cluster(3 + r.nextInt(60), r);
            int id = 0;
            for (int i = r.nextInt(40); i > 0; i--) {
                c.running(Jobs.array(++id, "red", JobSpec.Urgency.NORMAL, 1 + r.nextInt(4), 0.5 + r.nextInt(8) / 2.0, 60), r);
            }
            // Ends that are known but not on record leave room at once.
            c.jobs.all().forEach(j -> j.chunks[0].placed.forEach(p -> {
                if (r.nextInt(6) == 0) {
                    p.become(Placement.Phase.DONE);
                }
            }));
            List<JobSpec> waiting = new ArrayList<>();
            for (int i = 1 + r.nextInt(60); i > 0; i--) {
                waiting.add(c.waiting(Jobs.job(++id, "red", JobSpec.Mode.ARRAY, JobSpec.Urgency.NORMAL, 1 + r.nextInt(12), 0.5 + r.nextInt(20) / 2.0, 0,
                        10 + r.nextInt(50), r.nextInt(4) == 0 ? List.of("big") : null, null, false, false, true, 0)));
            }
            Plan plan = c.plan(10_000);
            c.pass.place(plan, null, c.noEnds);
            Map<String, Map<String, Integer>> kept = new TreeMap<>();
            waiting.forEach(s -> kept.put(s.id(), Cluster.byMachine(plan, s)));
            assertEquals(plainly(c, c.queue(waiting)), kept);
        }
    }

    /**
     * Rough day 14: ends known by evidence once freed allowance before they were on record. The machine then changed hands, the
     * record entitled its new owner to start the ended tasks again, and the team ran past its limit.
     */
    @Test void anEndFreesAllowanceOnlyInTheChangeThatRecordsIt() {
        SplittableRandom r = new SplittableRandom(1);
        Cluster c = new Cluster(6, r);
        JobSpec ended = c.running(Jobs.array(1, "red", JobSpec.Urgency.NORMAL, 2, 4, 60), r);
        JobSpec next = c.waiting(Jobs.array(2, "red", JobSpec.Urgency.HIGH, 2, 4, 60));
        c.allowance = 8;
        c.jobs.get(ended.id()).chunks[0].placed.forEach(p -> p.become(Placement.Phase.GONE));
        Plan without = c.plan(10_000);
        c.pass.place(without, null, c.noEnds);
        assertEquals(Map.of(), Cluster.byMachine(without, next));
        Plan with = c.plan(10_000);
        c.pass.place(with, null, c.allEnds);
        assertEquals(2, Cluster.byMachine(with, next).values().stream().mapToInt(n -> n).sum());
        assertTrue(with.edits.containsKey(c.jobs.get(ended.id()).chunks[0]));
    }

    /** A change that was full of jobs entering with it once placed none of them: each waited for a second change. */
    @Test void jobsThatEnterWithAFullChangeArePlacedByIt() {
        Cluster c = new Cluster(20, new SplittableRandom(3));
        List<JobSpec> specs = new ArrayList<>();
        for (int i = 1; i <= 12; i++) {
            specs.add(c.waiting(Jobs.array(i, "red", JobSpec.Urgency.HIGH, 1, 1, 10)));
        }
        Plan plan = c.plan(12);
        specs.forEach(s -> plan.edit(c.jobs.get(s.id()), 0));
        assertTrue(plan.full());
        c.pass.place(plan, null, c.noEnds);
        specs.forEach(s -> assertEquals(1, Cluster.byMachine(plan, s).size()));
    }
}
