package io.quincelead.leader;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.records.Blocks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * All interleavings, to a stated depth, of a small service: two controllers (the first leads), a team limited to two CPUs,
 * four tasks of one CPU in three jobs, two machines. Rounds and splits are prepared and take effect later or never;
 * workers start, lose and are heard; machines change hands; a job is handed over. The arithmetic is the product's own.
 */
class AllowanceModelTest {
    /** What the protocol relies on; the model can leave one out, to see that it is needed. */
    private enum Guard { USE_BY_RECORD, USE_MOVES_WITH_JOB, GROWTH_WAITS_FOR_WHAT_IS_FREE, BLOCK_STAMP, JOB_STAMP }

    private static final double LIMIT = 2;
    private static final int[] JOB_OF = {0, 1, 1, 2};
    private static final int TASKS = JOB_OF.length;
    /** By job; the first is less urgent, so that the others' wants go ahead of it. */
    private static final int[] URGENCY = {1, 0, 0};

    /** What a machine's owner knows of a task recorded there. */
    private enum Known { NOTHING, SEEN, GONE }

    /** A round that was sent and may take effect: where it places a task, and whether its guards still hold. */
    private record Round(int task, int machine, boolean blockSame, boolean jobSame) { }

    /** A split that was sent and may take effect. */
    private record Split(double a, double b, boolean blocksSame) { }

    private static final class State {
        double[] allowance = {1, 1};
        int[] controller = {0, 1, 1};
        int[] owner = {0, 1};
        /** By task: the machine on record; -1 for none. */
        int[] record = {-1, -1, -1, -1};
        /** By task and machine: whether it runs there. */
        boolean[][] on = new boolean[TASKS][2];
        Known[] known = {Known.NOTHING, Known.NOTHING, Known.NOTHING, Known.NOTHING};
        Round[] round = new Round[2];
        Split split;

        State copy() {
            State s = new State();
            s.allowance = allowance.clone();
            s.controller = controller.clone();
            s.owner = owner.clone();
            s.record = record.clone();
            s.on = Arrays.stream(on).map(boolean[]::clone).toArray(boolean[][]::new);
            s.known = known.clone();
            s.round = round.clone();
            s.split = split;
            return s;
        }

        String key() {
            return Arrays.toString(allowance) + Arrays.toString(controller) + Arrays.toString(owner) + Arrays.toString(record) + Arrays.deepToString(on)
                    + Arrays.toString(known) + Arrays.toString(round) + split;
        }

        boolean broken() {
            int running = 0;
            boolean twice = false;
            for (boolean[] t : on) {
                running += (t[0] ? 1 : 0) + (t[1] ? 1 : 0);
                twice |= t[0] && t[1];
            }
            return running > LIMIT || twice;
        }

        double use(int c, boolean byRecord) {
            double n = 0;
            for (int t = 0; t < TASKS; t++) {
                boolean freed = !byRecord && known[t] == Known.GONE && record[t] >= 0 && owner[record[t]] == c;
                n += controller[JOB_OF[t]] == c && record[t] >= 0 && !freed ? 1 : 0;
            }
            return n;
        }

        void blockChanged(int c) {
            Round r = round[c];
            round[c] = r == null ? null : new Round(r.task, r.machine, false, r.jobSame);
            split = split == null ? null : new Split(split.a, split.b, false);
        }

        void jobChanged(int job) {
            for (int c = 0; c < 2; c++) {
                Round r = round[c];
                round[c] = r == null || JOB_OF[r.task] != job ? r : new Round(r.task, r.machine, r.blockSame, false);
            }
        }
    }

    private record Step(String name, State to) { }

    private static final class Model {
        final Guard without;
        final List<Step> next = new ArrayList<>();
        long states;
        int depth;

        Model(Guard without) {
            this.without = without;
        }

        private void step(String name, State to) {
            next.add(new Step(name, to));
        }

        private void steps(State s) {
            next.clear();
            for (int c = 0; c < 2; c++) {
                if (s.round[c] == null) {
                    plan(s, c);
                } else {
                    finish(s, c);
                }
            }
            for (int t = 0; t < TASKS; t++) {
                if (s.record[t] >= 0) {
                    worker(s, t);
                }
            }
            for (int m = 0; m < 2; m++) {
                State n = s.copy();
                n.owner[m] = 1 - n.owner[m];
                for (int t = 0; t < TASKS; t++) {
                    // What the former owner concluded ends with its ownership.
                    n.known[t] = n.record[t] == m ? Known.NOTHING : n.known[t];
                }
                n.blockChanged(0);
                n.blockChanged(1);
                step("machine " + m + " to " + n.owner[m], n);
            }
            leader(s);
        }

        private void plan(State s, int c) {
            for (int t = 0; t < TASKS; t++) {
                boolean room = s.allowance[c] - s.use(c, without != Guard.USE_BY_RECORD) >= 1 - 1e-9;
                for (int m = 0; m < 2; m++) {
                    if (room && s.controller[JOB_OF[t]] == c && s.record[t] < 0 && s.owner[m] == c) {
                        State n = s.copy();
                        n.round[c] = new Round(t, m, true, true);
                        step(c + " plans " + t + " on " + m, n);
                    }
                }
            }
        }

        private void finish(State s, int c) {
            Round r = s.round[c];
            State lost = s.copy();
            lost.round[c] = null;
            step("round of " + c + " has no effect", lost);
            if ((r.blockSame || without == Guard.BLOCK_STAMP) && (r.jobSame || without == Guard.JOB_STAMP)) {
                State n = s.copy();
                n.round[c] = null;
                n.record[r.task] = r.machine;
                n.known[r.task] = Known.NOTHING;
                n.jobChanged(JOB_OF[r.task]);
                step("round of " + c + " places " + r.task + " on " + r.machine, n);
            }
        }

        private void worker(State s, int t) {
            int m = s.record[t];
            if (s.known[t] == Known.NOTHING) {
                State n = s.copy();
                n.on[t][m] = true;
                n.known[t] = Known.SEEN;
                step(t + (s.on[t][m] ? " is seen on " : " starts on ") + m, n);
            } else if (s.known[t] == Known.SEEN && !s.on[t][m]) {
                State n = s.copy();
                n.known[t] = Known.GONE;
                step(t + " is seen to be gone from " + m, n);
            } else if (s.known[t] == Known.GONE) {
                State n = s.copy();
                n.record[t] = -1;
                n.known[t] = Known.NOTHING;
                n.jobChanged(JOB_OF[t]);
                step(t + " is recorded as gone", n);
            }
            if (s.on[t][m]) {
                State n = s.copy();
                n.on[t][m] = false;
                step(t + " is lost on " + m, n);
            }
        }

        private void leader(State s) {
            if (s.split != null) {
                State lost = s.copy();
                lost.split = null;
                step("split has no effect", lost);
                if (s.split.blocksSame || without == Guard.BLOCK_STAMP) {
                    State n = s.copy();
                    n.allowance = new double[] {s.split.a, s.split.b};
                    n.split = null;
                    n.blockChanged(0);
                    n.blockChanged(1);
                    step("split " + Arrays.toString(n.allowance), n);
                }
            } else {
                double[] use = {s.use(0, true), s.use(1, true)};
                double[][] want = new double[2][2];
                for (int t = 0; t < TASKS; t++) {
                    want[s.controller[JOB_OF[t]]][URGENCY[JOB_OF[t]]] += s.record[t] < 0 ? 1 : 0;
                }
                // As if what others may still use were free already: each gets its target at once.
                double[] now = without == Guard.GROWTH_WAITS_FOR_WHAT_IS_FREE ? use : s.allowance;
                double[] to = Allowances.split(LIMIT, 0, now, use, want, false);
                if (!Arrays.equals(to, s.allowance)) {
                    State n = s.copy();
                    n.split = new Split(to[0], to[1], true);
                    step("leader plans " + Arrays.toString(to), n);
                }
            }
            if (s.controller[1] == 1) {
                State n = s.copy();
                n.controller[1] = 0;
                int placed = (s.record[1] >= 0 ? 1 : 0) + (s.record[2] >= 0 ? 1 : 0);
                if (placed > 0 && without != Guard.USE_MOVES_WITH_JOB) {
                    n.allowance[1] = new Blocks.Amount(s.allowance[1], 0).without(placed, 1, 0).cpus();
                    n.blockChanged(1);
                }
                n.jobChanged(1);
                step("job 1 is handed to 0", n);
            }
        }

        /** The shortest way past the limit, or to a task that runs twice; null if there is none within the depth. */
        List<String> search(int most, int mostStates) {
            record Node(State state, Node from, String step, int depth) { }
            ArrayDeque<Node> queue = new ArrayDeque<>();
            Set<String> seen = new HashSet<>();
            queue.add(new Node(new State(), null, "", 0));
            while (!queue.isEmpty() && states < mostStates) {
                Node node = queue.poll();
                states++;
                depth = node.depth;
                if (node.state.broken()) {
                    List<String> trace = new ArrayList<>();
                    for (Node n = node; n.from != null; n = n.from) {
                        trace.add(0, n.step);
                    }
                    return trace;
                }
                steps(node.state);
                for (Step e : node.depth < most ? next : List.<Step>of()) {
                    if (seen.add(e.to.key())) {
                        queue.add(new Node(e.to, node, e.name, node.depth + 1));
                    }
                }
            }
            return null;
        }
    }

    @Test void noInterleavingPassesTheLimit() {
        Model m = new Model(null);
        assertNull(m.search(100, 400_000));
        System.out.println("allowance model: " + m.states + " states, depth " + m.depth);
        assertTrue(m.states > 20_000);
    }

    /** Each guard, left out alone, lets some interleaving pass the limit or run a task twice. */
    @ParameterizedTest
    @EnumSource(Guard.class)
    void eachGuardIsNeeded(Guard g) {
        Model m = new Model(g);
        List<String> trace = m.search(100, 400_000);
        System.out.println("without " + g + " (" + m.states + " states, depth " + m.depth + "): " + trace);
        assertNotNull(trace);
    }
}
