package io.quincelead.leadership;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.cluster.ClusterMembership;
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
 * Checks a model of quota over all interleavings up to a given depth. The modelled cluster has two
 * controllers (the first one is the leader), a team limited to two CPUs, four tasks of one CPU in
 * three jobs, and two machines. Scheduling cycles and splits are planned and commit later or never;
 * workers start and lose tasks and send heartbeats; machines change their owner; a job is
 * reassigned. The model calls {@link QuotaShareCalculator} itself.
 */
class QuotaShareModelTest {
    /** The safeguards of the protocol; the model can omit one to show that it is needed. */
    private enum Safeguard {
        USE_BY_RECORD,
        USE_MOVES_WITH_JOB,
        GROWTH_WAITS_FOR_FREE_QUOTA,
        SHARD_REVISION,
        JOB_REVISION
    }

    private static final double LIMIT = 2;
    private static final int[] JOB_OF = {0, 1, 1, 2};
    private static final int TASKS = JOB_OF.length;

    /** By job; the first one has the lower priority, so the other jobs' demand precedes its own. */
    private static final int[] PRIORITY = {1, 0, 0};

    /** What a machine's owner knows of a task whose placement on the machine is on record. */
    private enum Evidence {
        NOTHING,
        RUNNING,
        TERMINATED
    }

    /**
     * The write of a scheduling cycle that may still commit: the placement of a task, and whether
     * its preconditions hold.
     */
    private record CycleCommit(
            int task, int machine, boolean shardUnchanged, boolean jobUnchanged) {}

    /** A write of quota shares that may still commit. */
    private record Split(double first, double second, boolean shardsUnchanged) {}

    private static final class State {
        double[] quotaShare = {1, 1};
        int[] controller = {0, 1, 1};
        int[] owner = {0, 1};

        /** By task: the machine of its placement on record; -1 if it has none. */
        int[] machineOnRecord = {-1, -1, -1, -1};

        /** By task and machine: whether the task runs on the machine. */
        boolean[][] runsOn = new boolean[TASKS][2];

        Evidence[] evidence = {
            Evidence.NOTHING, Evidence.NOTHING, Evidence.NOTHING, Evidence.NOTHING
        };
        CycleCommit[] pendingCycle = new CycleCommit[2];
        Split pendingSplit;

        State copy() {
            State copy = new State();
            copy.quotaShare = quotaShare.clone();
            copy.controller = controller.clone();
            copy.owner = owner.clone();
            copy.machineOnRecord = machineOnRecord.clone();
            copy.runsOn = Arrays.stream(runsOn).map(boolean[]::clone).toArray(boolean[][]::new);
            copy.evidence = evidence.clone();
            copy.pendingCycle = pendingCycle.clone();
            copy.pendingSplit = pendingSplit;
            return copy;
        }

        String key() {
            return Arrays.toString(quotaShare)
                    + Arrays.toString(controller)
                    + Arrays.toString(owner)
                    + Arrays.toString(machineOnRecord)
                    + Arrays.deepToString(runsOn)
                    + Arrays.toString(evidence)
                    + Arrays.toString(pendingCycle)
                    + pendingSplit;
        }

        boolean violatesSafety() {
            int running = 0;
            boolean runsTwice = false;
            for (boolean[] machines : runsOn) {
                running += (machines[0] ? 1 : 0) + (machines[1] ? 1 : 0);
                runsTwice |= machines[0] && machines[1];
            }
            return running > LIMIT || runsTwice;
        }

        double used(int controllerId, boolean byRecord) {
            double total = 0;
            for (int task = 0; task < TASKS; task++) {
                boolean knownTerminated =
                        !byRecord
                                && evidence[task] == Evidence.TERMINATED
                                && machineOnRecord[task] >= 0
                                && owner[machineOnRecord[task]] == controllerId;
                total +=
                        controller[JOB_OF[task]] == controllerId
                                        && machineOnRecord[task] >= 0
                                        && !knownTerminated
                                ? 1
                                : 0;
            }
            return total;
        }

        void onShardChanged(int controllerId) {
            CycleCommit cycle = pendingCycle[controllerId];
            pendingCycle[controllerId] =
                    cycle == null
                            ? null
                            : new CycleCommit(cycle.task, cycle.machine, false, cycle.jobUnchanged);
            pendingSplit =
                    pendingSplit == null
                            ? null
                            : new Split(pendingSplit.first, pendingSplit.second, false);
        }

        void onJobChanged(int job) {
            for (int controllerId = 0; controllerId < 2; controllerId++) {
                CycleCommit cycle = pendingCycle[controllerId];
                pendingCycle[controllerId] =
                        cycle == null || JOB_OF[cycle.task] != job
                                ? cycle
                                : new CycleCommit(
                                        cycle.task, cycle.machine, cycle.shardUnchanged, false);
            }
        }
    }

    private record Step(String name, State to) {}

    private static final class Model {
        final Safeguard omitted;
        final List<Step> successors = new ArrayList<>();
        long states;
        int depth;

        Model(Safeguard omitted) {
            this.omitted = omitted;
        }

        private void addSuccessor(String name, State successor) {
            successors.add(new Step(name, successor));
        }

        private void expand(State state) {
            successors.clear();
            for (int controllerId = 0; controllerId < 2; controllerId++) {
                if (state.pendingCycle[controllerId] == null) {
                    planCycle(state, controllerId);
                } else {
                    finishCycle(state, controllerId);
                }
            }
            for (int task = 0; task < TASKS; task++) {
                if (state.machineOnRecord[task] >= 0) {
                    stepWorker(state, task);
                }
            }
            for (int machine = 0; machine < 2; machine++) {
                State successor = state.copy();
                successor.owner[machine] = 1 - successor.owner[machine];
                for (int task = 0; task < TASKS; task++) {
                    // The former owner's evidence is lost with its ownership.
                    successor.evidence[task] =
                            successor.machineOnRecord[task] == machine
                                    ? Evidence.NOTHING
                                    : successor.evidence[task];
                }
                successor.onShardChanged(0);
                successor.onShardChanged(1);
                addSuccessor("machine " + machine + " to " + successor.owner[machine], successor);
            }
            stepLeader(state);
        }

        private void planCycle(State state, int controllerId) {
            for (int task = 0; task < TASKS; task++) {
                boolean withinShare =
                        state.quotaShare[controllerId]
                                        - state.used(
                                                controllerId, omitted != Safeguard.USE_BY_RECORD)
                                >= 1 - 1e-9;
                for (int machine = 0; machine < 2; machine++) {
                    if (withinShare
                            && state.controller[JOB_OF[task]] == controllerId
                            && state.machineOnRecord[task] < 0
                            && state.owner[machine] == controllerId) {
                        State successor = state.copy();
                        successor.pendingCycle[controllerId] =
                                new CycleCommit(task, machine, true, true);
                        addSuccessor(controllerId + " plans " + task + " on " + machine, successor);
                    }
                }
            }
        }

        private void finishCycle(State state, int controllerId) {
            CycleCommit cycle = state.pendingCycle[controllerId];
            State uncommitted = state.copy();
            uncommitted.pendingCycle[controllerId] = null;
            addSuccessor("cycle of " + controllerId + " does not commit", uncommitted);
            if ((cycle.shardUnchanged || omitted == Safeguard.SHARD_REVISION)
                    && (cycle.jobUnchanged || omitted == Safeguard.JOB_REVISION)) {
                State successor = state.copy();
                successor.pendingCycle[controllerId] = null;
                successor.machineOnRecord[cycle.task] = cycle.machine;
                successor.evidence[cycle.task] = Evidence.NOTHING;
                successor.onJobChanged(JOB_OF[cycle.task]);
                addSuccessor(
                        "cycle of "
                                + controllerId
                                + " places "
                                + cycle.task
                                + " on "
                                + cycle.machine,
                        successor);
            }
        }

        private void stepWorker(State state, int task) {
            int machine = state.machineOnRecord[task];
            if (state.evidence[task] == Evidence.NOTHING) {
                State successor = state.copy();
                successor.runsOn[task][machine] = true;
                successor.evidence[task] = Evidence.RUNNING;
                addSuccessor(
                        task
                                + (state.runsOn[task][machine] ? " is reported on " : " starts on ")
                                + machine,
                        successor);
            } else if (state.evidence[task] == Evidence.RUNNING && !state.runsOn[task][machine]) {
                State successor = state.copy();
                successor.evidence[task] = Evidence.TERMINATED;
                addSuccessor(task + " is reported gone from " + machine, successor);
            } else if (state.evidence[task] == Evidence.TERMINATED) {
                State successor = state.copy();
                successor.machineOnRecord[task] = -1;
                successor.evidence[task] = Evidence.NOTHING;
                successor.onJobChanged(JOB_OF[task]);
                addSuccessor(task + " is recorded as gone", successor);
            }
            if (state.runsOn[task][machine]) {
                State successor = state.copy();
                successor.runsOn[task][machine] = false;
                addSuccessor(task + " is lost on " + machine, successor);
            }
        }

        private void stepLeader(State state) {
            if (state.pendingSplit != null) {
                State uncommitted = state.copy();
                uncommitted.pendingSplit = null;
                addSuccessor("split does not commit", uncommitted);
                if (state.pendingSplit.shardsUnchanged || omitted == Safeguard.SHARD_REVISION) {
                    State successor = state.copy();
                    successor.quotaShare =
                            new double[] {state.pendingSplit.first, state.pendingSplit.second};
                    successor.pendingSplit = null;
                    successor.onShardChanged(0);
                    successor.onShardChanged(1);
                    addSuccessor("split " + Arrays.toString(successor.quotaShare), successor);
                }
            } else {
                double[] used = {state.used(0, true), state.used(1, true)};
                double[][] pending = new double[2][2];
                for (int task = 0; task < TASKS; task++) {
                    pending[state.controller[JOB_OF[task]]][PRIORITY[JOB_OF[task]]] +=
                            state.machineOnRecord[task] < 0 ? 1 : 0;
                }
                // Without the safeguard, quota that other members may still use counts as free, so
                // each member gets its target at once.
                double[] currentShares =
                        omitted == Safeguard.GROWTH_WAITS_FOR_FREE_QUOTA ? used : state.quotaShare;
                double[] newShares =
                        QuotaShareCalculator.split(LIMIT, 0, currentShares, used, pending, false);
                if (!Arrays.equals(newShares, state.quotaShare)) {
                    State successor = state.copy();
                    successor.pendingSplit = new Split(newShares[0], newShares[1], true);
                    addSuccessor("leader plans " + Arrays.toString(newShares), successor);
                }
            }
            if (state.controller[1] == 1) {
                State successor = state.copy();
                successor.controller[1] = 0;
                int placed =
                        (state.machineOnRecord[1] >= 0 ? 1 : 0)
                                + (state.machineOnRecord[2] >= 0 ? 1 : 0);
                if (placed > 0 && omitted != Safeguard.USE_MOVES_WITH_JOB) {
                    successor.quotaShare[1] =
                            new ClusterMembership.QuotaShare(state.quotaShare[1], 0)
                                    .minusTasks(placed, 1, 0)
                                    .cpus();
                    successor.onShardChanged(1);
                }
                successor.onJobChanged(1);
                addSuccessor("job 1 is reassigned to 0", successor);
            }
        }

        /**
         * The shortest trace to a state that exceeds the limit or has a task that runs twice; null
         * if there is none within the given depth and number of states.
         */
        List<String> search(int maxDepth, int maxStates) {
            record Node(State state, Node from, String step, int depth) {}
            ArrayDeque<Node> queue = new ArrayDeque<>();
            Set<String> seen = new HashSet<>();
            queue.add(new Node(new State(), null, "", 0));
            while (!queue.isEmpty() && states < maxStates) {
                Node node = queue.poll();
                states++;
                depth = node.depth;
                if (node.state.violatesSafety()) {
                    List<String> trace = new ArrayList<>();
                    for (Node onTrace = node; onTrace.from != null; onTrace = onTrace.from) {
                        trace.add(0, onTrace.step);
                    }
                    return trace;
                }
                expand(node.state);
                for (Step step : node.depth < maxDepth ? successors : List.<Step>of()) {
                    if (seen.add(step.to.key())) {
                        queue.add(new Node(step.to, node, step.name, node.depth + 1));
                    }
                }
            }
            return null;
        }
    }

    @Test
    void noInterleavingPassesTheLimit() {
        Model model = new Model(null);
        assertNull(model.search(100, 400_000));
        System.out.println("quota share model: " + model.states + " states, depth " + model.depth);
        assertTrue(model.states > 20_000);
    }

    /** Without any one safeguard, some interleaving exceeds the limit or runs a task twice. */
    @ParameterizedTest
    @EnumSource(Safeguard.class)
    void eachSafeguardIsNeeded(Safeguard safeguard) {
        Model model = new Model(safeguard);
        List<String> trace = model.search(100, 400_000);
        System.out.println(
                "without "
                        + safeguard
                        + " ("
                        + model.states
                        + " states, depth "
                        + model.depth
                        + "): "
                        + trace);
        assertNotNull(trace);
    }
}
