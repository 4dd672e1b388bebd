package io.quincelead.leader;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.MachineTable;
import io.quincelead.state.Fence;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import io.quincelead.workers.Stray;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Election, and what the leader does for all: grants machines to blocks under rising terms, splits the teams' limits
 * into allowances, and gives the jobs of lost controllers to live ones. All of it is guarded by the leader's key and
 * by the stamps of the blocks it changes.
 */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** States of the election; {@link #become} is the one function that changes them. */
    public enum Phase { FOLLOWING, STANDING, LEADING }

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Policy policy;
    private final Map<String, Stray> strays = new LinkedHashMap<>();
    private final Map<String, Long> aliveSince = new HashMap<>();
    private final Fence fence;
    private BooleanSupplier rentalsOpen = () -> true;
    private Phase phase = Phase.FOLLOWING;
    private boolean busy;
    private boolean again;
    /** Which controller is the next to get jobs of lost ones that use something. */
    private int heirs;
    private long allowancesAt;
    private long adoptedAt;
    private long balancedAt;

    public Leader(Loop loop, Settings settings, Session session, Mirror mirror, StoreClient store, Blocks blocks, JobTable jobs,
            MachineTable machines, Catalog catalog, Policy policy) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.fence = new Fence(loop, store, mirror, Keys.LEAD, () -> blocks.lead() == null ? null : txn().put(Keys.LEAD, blocks.lead().encode(), session.grant()));
        loop.every(Constants.LEADER_TICK_MS, this::tick);
        mirror.onChange(this::look);
    }

    /** {@code open} tells whether a rental's machines may not all be on record yet. */
    public void wire(BooleanSupplier open) {
        rentalsOpen = open;
    }

    private void become(Phase next) {
        if (phase != next) {
            LOG.info("leadership {} -> {}", phase, next);
            phase = next;
        }
    }

    /** Whether this controller surely leads now. */
    public boolean leading() {
        look();
        return phase == Phase.LEADING && session.valid();
    }

    private void look() {
        Blocks.Lead lead = blocks.lead();
        boolean mine = lead != null && lead.member().equals(settings.member()) && lead.incarnation() == session.incarnation();
        if (mine) {
            become(Phase.LEADING);
        } else if (phase == Phase.LEADING) {
            become(Phase.FOLLOWING);
            strays.clear();
        }
    }

    /** The guard that every change by the leader bears. */
    public Txn txn() {
        return new Txn().guard(Keys.LEAD, mirror.stamp(Keys.LEAD));
    }

    /** Takes the outcome of a change that bears the leader's guard. */
    public void heard(Txn txn, Txn.Outcome outcome) {
        fence.heard(txn, outcome);
    }

    /** Whether every change that bore the leader's guard has an outcome; until then the leader decides nothing by record. */
    public boolean settled() {
        return fence.clear();
    }

    private void tick() {
        if (!session.valid() || !mirror.synced() || busy) {
            return;
        }
        if (blocks.lead() == null && blocks.node(settings.member()) != null) {
            stand();
        } else if (leading() && settled() && (store.urgentAffordable() || blocks.mine() == null)) {
            // Even the leader's changes don't go far into debt: what users wait for would pay for it.
            lead();
        }
    }

    private void stand() {
        become(Phase.STANDING);
        long term = blocks.term() + 1;
        Txn txn = new Txn().guard(Keys.LEAD, 0).guard(Keys.TERM, mirror.stamp(Keys.TERM))
                .put(Keys.LEAD, new Blocks.Lead(settings.member(), session.incarnation(), term).encode(), session.grant())
                .put(Keys.TERM, Codec.map().put("n", term));
        commit(txn, () -> become(Phase.FOLLOWING));
    }

    private void commit(Txn txn, Runnable otherwise) {
        busy = true;
        store.commit(txn, outcome -> {
            busy = false;
            heard(txn, outcome);
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
                if (again) {
                    again = false;
                    loop.after(0, this::tick);
                }
            } else {
                otherwise.run();
            }
        });
    }

    /** A machine that has come up, or whose owner can't be reached. */
    public void stray(Stray s) {
        if (leading() && strays.size() < Constants.MAX_OPEN_JOBS) {
            strays.put(s.host(), s);
            if (blocks.owner(s.host()) == null && machines.get(s.host()) != null) {
                if (busy) {
                    again = true;
                } else {
                    loop.after(Constants.GRANT_GAP_MS, this::tick);
                }
            }
        }
    }

    private void lead() {
        for (Blocks.Node n : blocks.nodes()) {
            aliveSince.putIfAbsent(n.member(), loop.now());
        }
        aliveSince.keySet().removeIf(m -> blocks.node(m) == null);
        Txn txn = txn();
        Map<String, Blocks.Block> next = new LinkedHashMap<>();
        for (Blocks.Node n : blocks.nodes()) {
            Blocks.Block b = blocks.of(n.member());
            next.put(n.member(), b == null ? new Blocks.Block(n.member(), new LinkedHashMap<>(), new LinkedHashMap<>()) : b.copy());
        }
        if (next.isEmpty()) {
            return;
        }
        List<String> changed = new ArrayList<>();
        for (String m : next.keySet()) {
            if (blocks.of(m) == null) {
                changed.add(m);
            }
        }
        boolean terms = grant(next, changed, txn) | balance(next, changed);
        if (loop.now() - allowancesAt >= Constants.ALLOWANCES_EVERY_MS || !changed.isEmpty()) {
            allowancesAt = loop.now();
            allowances(next, changed);
        }
        if (!changed.isEmpty()) {
            if (terms) {
                txn.guard(Keys.TERM, mirror.stamp(Keys.TERM)).put(Keys.TERM, Codec.map().put("n", blocks.term() + 1));
            }
            for (Blocks.Block b : blocks.all()) {
                txn.guard(b.key(), mirror.stamp(b.key()));
            }
            for (String m : changed.stream().distinct().toList()) {
                Blocks.Block b = next.get(m);
                trim(b, blocks.term() + 1);
                if (b.equals(blocks.of(m))) {
                    continue;
                }
                txn.guard(b.key(), mirror.stamp(b.key())).put(b.key(), b.encode(), blocks.node(m).grant());
            }
        } else {
            reassign(txn);
        }
        if (!txn.isEmpty()) {
            commit(txn, () -> { });
        }
    }

    /** Gives machines without an owner, and those whose owner can't hear them, to live controllers under a new term. */
    private boolean grant(Map<String, Blocks.Block> next, List<String> changed, Txn txn) {
        long term = blocks.term() + 1;
        boolean any = false;
        Map<String, Double> sizes = new HashMap<>();
        next.forEach((member, b) -> sizes.put(member, capacity(b)));
        // A machine granted just while its return was recorded: it would never be released.
        next.forEach((member, b) -> {
            if (b.machines().keySet().removeIf(h -> machines.get(h) != null && machines.get(h).returning())) {
                changed.add(member);
            }
        });
        MachineTable.Edits edits = machines.edits(txn);
        for (MachineTable.Machine m : machines.all()) {
            // Also while it boots: its worker then hears at its first report where to go.
            if (!m.returning() && blocks.owner(m.host()) == null) {
                Stray s = strays.remove(m.host());
                give(next, sizes, changed, m.host(), s == null ? null : s.at(), term);
                any = true;
            }
        }
        boolean adopt = mayAdopt() && loop.now() - adoptedAt >= Constants.ADOPT_GAP_MS;
        for (Stray s : new ArrayList<>(strays.values())) {
            if (!txn.fits(2 + next.size() + 1, 5, store.txnOps())) {
                again = true;
                break;
            }
            String owner = blocks.owner(s.host());
            MachineTable.Machine m = machines.get(s.host());
            if (owner == null && m == null && !adopt) {
                continue;
            }
            strays.remove(s.host());
            if (owner != null) {
                // A worker that was sent away just before its machine was granted will find its owner by itself.
                // And of one that was granted anew since, this may be an old word.
                if (s.stuck() && !owner.equals(s.at()) && next.containsKey(s.at()) && s.term() == blocks.of(owner).machines().get(s.host())) {
                    LOG.info("machine {} reports to {} instead of its owner {}; it moves", s.host(), s.at(), owner);
                    if (next.containsKey(owner)) {
                        next.get(owner).machines().remove(s.host());
                        changed.add(owner);
                    }
                    next.get(s.at()).machines().put(s.host(), term);
                    changed.add(s.at());
                    any = true;
                }
                continue;
            }
            if (m != null || next.values().stream().anyMatch(b -> b.machines().containsKey(s.host()))) {
                continue;
            }
            adoptedAt = loop.now();
            // Granted with the next look, when it is on record; until then it goes on reporting.
            edits.adopt(s.host(), s.shape(), s.site(), s.spot(), s.addr(), loop.wall());
        }
        return any;
    }

    /**
     * Whether an unexpected machine may be taken in: not while it could be one of a rental that isn't settled, or that a
     * predecessor settled and the watch has not brought yet, for a machine must never be on two records.
     */
    public boolean mayAdopt() {
        return !rentalsOpen.getAsBoolean() && mirror.generation() >= mirror.stamp(Keys.LEAD);
    }

    /** Whether machines that are on no record report here: until they are taken in, nothing should be rented. */
    public boolean adopting() {
        return strays.keySet().stream().anyMatch(h -> machines.get(h) == null);
    }

    private void give(Map<String, Blocks.Block> next, Map<String, Double> sizes, List<String> changed, String host, String preferred, long term) {
        String to = preferred != null && next.containsKey(preferred) ? preferred
                : next.keySet().stream().min(Comparator.comparingDouble(sizes::get)).orElseThrow();
        next.get(to).machines().put(host, term);
        sizes.merge(to, cpus(host), Double::sum);
        if (!changed.contains(to)) {
            changed.add(to);
        }
    }

    /** Takes back what was just granted as far as a block's record would pass the store's limit for a value. */
    private void trim(Blocks.Block b, long term) {
        int limit = (int) (settings.store().valueKb() * 1024);
        List<String> granted = new ArrayList<>(b.machines().keySet());
        granted.removeIf(h -> b.machines().get(h) != term);
        while (b.encode().toString().length() > limit && !granted.isEmpty()) {
            String host = granted.remove(granted.size() - 1);
            LOG.info("machine {} stays without a controller: the block of {} does not fit one record", host, b.member());
            b.machines().remove(host);
        }
    }

    private double capacity(Blocks.Block b) {
        return b.machines().keySet().stream().mapToDouble(this::cpus).sum();
    }

    private double cpus(String host) {
        MachineTable.Machine m = machines.get(host);
        Catalog.Shape s = m == null ? null : catalog.get(m.shape());
        return s == null ? 1 : s.vcpus();
    }

    /** Moves a few machines to a controller that has been up for a while and holds much less than its share. */
    private boolean balance(Map<String, Blocks.Block> next, List<String> changed) {
        if (!changed.isEmpty() || next.size() < 2) {
            return false;
        }
        Blocks.Block least = next.values().stream().min(Comparator.comparingDouble(this::capacity)).orElseThrow();
        Blocks.Block most = next.values().stream().max(Comparator.comparingDouble(this::capacity)).orElseThrow();
        if (loop.now() - aliveSince.getOrDefault(least.member(), loop.now()) < Constants.BALANCE_AFTER_MS
                || loop.now() - balancedAt < Constants.BALANCE_GAP_MS || most.machines().size() < 2) {
            return false;
        }
        double low = capacity(least);
        double high = capacity(most);
        int moved = 0;
        int moves = Math.max(Constants.BALANCE_MOVES, (int) (most.machines().size() * Constants.BALANCE_MOVES_SHARE));
        for (String h : new ArrayList<>(most.machines().keySet())) {
            double c = cpus(h);
            if (moved >= moves || low > high * Constants.BALANCE_SHARE || low + c > high - c) {
                break;
            }
            most.machines().remove(h);
            least.machines().put(h, blocks.term() + 1);
            low += c;
            high -= c;
            moved++;
        }
        if (moved > 0) {
            balancedAt = loop.now();
            changed.add(least.member());
            changed.add(most.member());
        }
        return moved > 0;
    }

    // ---- allowances

    /** What a controller's jobs of a team use and still want. */
    private static final class Demand {
        double useCpu;
        double useGpu;
        /** By urgency. */
        final double[] wantCpu = new double[JobSpec.Urgency.values().length];
        final double[] wantGpu = new double[JobSpec.Urgency.values().length];

        void want(int urgency, int tasks, JobSpec s) {
            wantCpu[urgency] += tasks * s.vcpus();
            wantGpu[urgency] += tasks * s.cards();
        }
    }

    /**
     * Splits each team's limit. A controller can't use more than the larger of its allowance and its use, and use is
     * known exactly up to the mirror's generation; so only what is free under the allowances <em>on record</em> is
     * given out, and what one write takes away can be given out only by a later one, when the mirror has caught up.
     */
    private void allowances(Map<String, Blocks.Block> next, List<String> changed) {
        for (Blocks.Block b : blocks.all()) {
            if (mirror.stamp(b.key()) > mirror.generation()) {
                return;
            }
        }
        for (Settings.Team team : settings.teams().values()) {
            Map<String, Demand> demand = new LinkedHashMap<>();
            next.keySet().forEach(m -> demand.put(m, new Demand()));
            double deadCpu = 0;
            double deadGpu = 0;
            for (Job j : jobs.all()) {
                if (!j.spec.owner().equals(team.name())) {
                    continue;
                }
                double useCpu = j.placedCount() * j.spec.vcpus();
                double useGpu = j.placedCount() * j.spec.cards();
                Demand d = blocks.of(j.controller) == null ? null : demand.get(j.controller);
                if (d == null) {
                    deadCpu += useCpu;
                    deadGpu += useGpu;
                    continue;
                }
                d.useCpu += useCpu;
                d.useGpu += useGpu;
                if (!j.cancelled()) {
                    // What a job would be left behind by is wanted as much as normal work: of a team at its limit, low work would else get nothing.
                    int late = Math.min(j.pendingCount(), Math.max(0, policy.entitled(j, loop.wall()) - j.doneCount() - j.heldCount()));
                    d.want(Math.min(j.spec.urgency().ordinal(), JobSpec.Urgency.NORMAL.ordinal()), late, j.spec);
                    d.want(j.spec.urgency().ordinal(), j.pendingCount() - late, j.spec);
                }
            }
            // A block that isn't on our list of live controllers may still be in use.
            for (Blocks.Block b : blocks.all()) {
                if (!next.containsKey(b.member())) {
                    return;
                }
            }
            double[] cpu = split(team.cpusMax(), deadCpu, next.keySet(), demand, true, team.name());
            double[] gpu = split(team.gpusMax(), deadGpu, next.keySet(), demand, false, team.name());
            int i = 0;
            for (Map.Entry<String, Blocks.Block> e : next.entrySet()) {
                Blocks.Amount to = new Blocks.Amount(cpu[i], gpu[i]);
                i++;
                Blocks.Amount from = e.getValue().allowance(team.name());
                if (Math.abs(to.cpus() - from.cpus()) > 1e-6 || Math.abs(to.gpus() - from.gpus()) > 1e-6) {
                    e.getValue().allowances().put(team.name(), to);
                    changed.add(e.getKey());
                }
            }
        }
    }

    private double[] split(double limit, double dead, java.util.Set<String> members, Map<String, Demand> demand, boolean cpus, String team) {
        double[] now = new double[members.size()];
        double[] use = new double[members.size()];
        double[][] want = new double[members.size()][];
        boolean fresh = false;
        int i = 0;
        for (String m : members) {
            Demand d = demand.get(m);
            Blocks.Amount a = blocks.of(m) == null ? Blocks.Amount.NONE : blocks.of(m).allowance(team);
            fresh |= blocks.of(m) == null || !blocks.of(m).allowances().containsKey(team);
            now[i] = cpus ? a.cpus() : a.gpus();
            use[i] = cpus ? d.useCpu : d.useGpu;
            want[i] = cpus ? d.wantCpu : d.wantGpu;
            i++;
        }
        return Allowances.split(limit, dead, now, use, want, fresh);
    }

    // ---- jobs of lost controllers

    /**
     * What a job's tasks use moves with it, beside what its new controller may use by its allowance. A round that this one planned
     * before it knew of the job must not land after it, so the new controller's block is rewritten in the same change; jobs that use
     * something go to one heir at a time, for a block's record is large.
     */
    private void reassign(Txn txn) {
        List<String> alive = blocks.all().stream().map(Blocks.Block::member).filter(m -> blocks.node(m) != null).toList();
        if (alive.isEmpty()) {
            return;
        }
        int turn = 0;
        String heir = alive.get(heirs % alive.size());
        List<Job> left = new ArrayList<>();
        jobs.all().stream().filter(j -> blocks.node(j.controller) == null).forEach(left::add);
        // Those first that have something to be done; what runs needs a controller only when something happens to it.
        left.sort(Comparator.comparing((Job j) -> j.pendingCount() == 0 && !j.cancelled()).thenComparing(j -> j.spec.urgency()));
        int most = store.affordable();
        for (Job j : left) {
            boolean uses = j.placedCount() > 0;
            Blocks.Block inherits = blocks.of(heir);
            int writes = uses && !txn.puts(inherits.key()) ? 2 : 1;
            if (txn.writes() + writes > most || !txn.fits(writes, 2 + writes, store.txnOps())) {
                break;
            }
            // Only after the lost controller's block is gone: then nothing it placed can be unknown to us.
            if (blocks.of(j.controller) == null) {
                txn.guard(j.key(), mirror.stamp(j.key())).guard(Keys.BLOCK + j.controller, 0)
                        .put(j.key(), j.encode(uses ? heir : alive.get(turn++ % alive.size()), j.cancelledAt));
                if (writes > 1) {
                    heirs++;
                    txn.guard(inherits.key(), mirror.stamp(inherits.key())).put(inherits.key(), inherits.encode(), blocks.node(heir).grant());
                }
            }
        }
    }
}
