package io.quincelead.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.leader.Leader;
import io.quincelead.net.Codec;
import io.quincelead.net.Transport;
import io.quincelead.placing.QueueOrder;
import io.quincelead.placing.Tebas;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's part with the cloud: reads the catalog, rents ahead of need, returns what is idle, faulty, silent or
 * unexpected. Every rental is on record before it is asked for, under a name that is never used again.
 */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final Loop loop;
    private final Settings settings;
    private final OperatorSettings operator;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Leader leader;
    private final CloudClient cloud;
    private final QueueOrder order;
    private final Booting booting;
    private final Consumer<Placement> over;
    private final Kinds kinds;

    /** What can be rented. */
    private record Option(Catalog.Shape shape, String site, boolean spot) {
        String id() {
            return shape.label() + "/" + site + "/" + (spot ? "spot" : "ordinary");
        }
    }

    /** What a machine's owner says of it: whether it has not come up yet; null when that isn't known. */
    @FunctionalInterface
    public interface Booting {
        Boolean of(String owner, String host);
    }

    /** Returns that go into one change: several machines of one block or one record may leave together. */
    private final class Leaving {
        final Txn txn = leader.txn();
        final MachineTable.Edits edits = machines.edits(txn);
        final Map<String, Blocks.Block> shrunk = new HashMap<>();
    }

    private record Refusal(long until, long pause) { }

    /** A rental on record: its outcome is not known until the cloud has answered under this very name. */
    private record Rental(String name, String shape, String site, boolean spot, int howMany) { }

    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Refusal> refusals = new HashMap<>();
    private final Map<String, Long> idleSince = new HashMap<>();
    private final Set<String> releasing = new HashSet<>();
    private final Map<String, Long> released = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private long names;
    private boolean fetching;
    private long catalogAt = Long.MIN_VALUE / 2;
    private long listAt = Long.MIN_VALUE / 2;
    private long ledSince;
    private boolean writing;
    private final Demand demand;
    private Demand.Capacity capacity = new Demand.Capacity();
    private Demand.Need need;
    private final List<MachineTable.Machine> up = new ArrayList<>();

    public Fleet(Loop loop, Settings settings, OperatorSettings operator, Session session, Mirror mirror, StoreClient store,
            Blocks blocks, JobTable jobs, MachineTable machines, Catalog catalog, Leader leader, Transport transport, Booting booting,
            Consumer<Placement> over, Kinds kinds) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.cloud = new CloudClient(loop, transport, settings);
        this.order = new QueueOrder(settings);
        this.booting = booting;
        this.over = over;
        this.kinds = kinds;
        this.demand = new Demand(loop, order, settings);
        mirror.view(Keys.RENTAL, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                String name = key.substring(Keys.RENTAL.length());
                rentals.put(name, new Rental(name, v.path("k").asText(), v.path("s").asText(), v.path("p").asBoolean(), v.path("n").asInt()));
            }

            @Override public void remove(String key) {
                rentals.remove(key.substring(Keys.RENTAL.length()));
            }
        });
        loop.every(Constants.RENT_TICK_MS, this::tick);
        loop.every(Constants.RELEASE_TICK_MS, this::release);
    }

    /** Whether a rental's outcome isn't on record yet. */
    public boolean rentalsOpen() {
        return !rentals.isEmpty();
    }

    private void tick() {
        long now = loop.now();
        if (!leader.leading()) {
            idleSince.clear();
            ledSince = now;
            return;
        }
        if (!fetching && now - catalogAt > (catalog.known() ? Constants.CATALOG_EVERY_MS : Constants.RENT_TICK_MS)) {
            readCatalog();
        }
        if (!catalog.known()) {
            return;
        }
        demand.observe(jobs);
        rentals.values().forEach(this::ask);
        if (now - listAt > Constants.LIST_EVERY_MS && !cloud.crowded()) {
            listAt = now;
            readList(null);
        }
        countCapacity();
        need = demand.need(jobs, capacity, loop.wall());
        if (!writing) {
            returnSome();
        }
        if (!writing && !leader.adopting()) {
            rentSome();
        }
    }

    private void commit(Txn txn, Runnable done) {
        writing = true;
        store.commit(txn, outcome -> {
            writing = false;
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
                done.run();
            }
        });
    }

    // ---- catalog and list

    private void readCatalog() {
        fetching = true;
        cloud.call("GET", "/catalog", null, true, (status, body) -> {
            fetching = false;
            if (status != 200 || !body.path("shapes").isArray()) {
                return;
            }
            catalogAt = loop.now();
            Txn txn = leader.txn();
            List<Catalog.Shape> read = new ArrayList<>();
            for (JsonNode n : body.path("shapes")) {
                Catalog.Shape s = Catalog.Shape.read(n);
                if (s.label().isEmpty() || s.vcpus() <= 0 || s.ramGb() <= 0 || s.sites().isEmpty()) {
                    LOG.info("a machine type of the catalog can't be read: {}", n);
                    continue;
                }
                read.add(s);
                if (mirror.stamp(Keys.SHAPE + s.label()) == 0 && txn.fits(1, 0, store.txnOps())) {
                    txn.put(Keys.SHAPE + s.label(), s.encode());
                }
            }
            if (txn.isEmpty()) {
                read.forEach(catalog::current);
            } else {
                commit(txn, () -> read.stream().filter(s -> catalog.get(s.label()) != null).forEach(catalog::current));
            }
        });
    }

    /** Looks for machines that nobody knows, and for failed ones. The list lags: absence from it means nothing. */
    private void readList(String after) {
        cloud.call("GET", "/rentals?limit=500" + (after == null ? "" : "&after=" + after), null, false, (status, body) -> {
            if (status != 200 || !leader.leading()) {
                return;
            }
            long now = loop.now();
            released.values().removeIf(t -> now - t > Constants.FORGET_RELEASED_MS);
            String last = after;
            Leaving leaving = new Leaving();
            Txn txn = leaving.txn;
            // What a predecessor returned stays listed for a while; a service that starts on a cluster that is up has none.
            boolean adopt = leader.mayAdopt() && (machines.all().isEmpty() || now - ledSince > Constants.STRANGER_LAGS * settings.cloudLimits().listLagS() * 1000);
            int adopted = 0;
            for (JsonNode h : body.path("hosts")) {
                String host = h.path("nameId").asText();
                last = host;
                MachineTable.Machine m = machines.get(host);
                boolean failed = h.path("status").asText().equals("failed");
                double age = h.path("ageS").asDouble();
                if (m == null) {
                    if (adopt && !failed && !released.containsKey(host) && !txn.fits(1, 1, store.txnOps())) {
                        listAt = now - Constants.LIST_EVERY_MS + Constants.RENT_TICK_MS;
                    } else if (adopt && !failed && !released.containsKey(host)) {
                        adopted++;
                        leaving.edits.adopt(host, h.path("shape").asText(), h.path("site").asText(), h.path("preemptible").asBoolean(),
                                h.path("addr").asText(null), loop.wall() - (long) (age * 1000));
                    }
                } else if (failed && !m.returning()) {
                    giveBack(leaving, m, "failed");
                } else if (m.addr() == null && h.hasNonNull("addr") && txn.fits(1, 1, store.txnOps())) {
                    leaving.edits.put(m.at(h.path("addr").asText()));
                }
            }
            if (adopted > 0) {
                LOG.info("{} machines are in the cloud's list and on no record; they are taken in", adopted);
            }
            if (!txn.isEmpty() && !writing) {
                commit(txn, () -> { });
            }
            if (body.path("truncated").asBoolean() && last != null) {
                readList(last);
            }
        });
    }

    /** Adds a machine's return to a change: marked on record and out of its block at once, so nothing more is placed there. */
    private boolean giveBack(Leaving leaving, MachineTable.Machine m, String why) {
        String owner = blocks.owner(m.host());
        Txn txn = leaving.txn;
        if (!txn.fits(2, 2, store.txnOps())) {
            return false;
        }
        if (owner != null) {
            if (blocks.node(owner) == null) {
                return false;
            }
            Blocks.Block block = leaving.shrunk.computeIfAbsent(owner, o -> blocks.of(o).copy());
            block.machines().remove(m.host());
            txn.guard(block.key(), mirror.stamp(block.key())).put(block.key(), block.encode(), blocks.node(owner).grant());
        }
        LOG.info("machine {} ({}, {}{}) is returned: {}", m.host(), m.shape(), m.site(), m.spot() ? ", spot" : "", why);
        leaving.edits.put(m.returned());
        return true;
    }

    // ---- renting

    /** A machine, real or planned, with the room that is left in the plan. */
    private static final class Room {
        final Option option;
        double cpu;
        double ram;
        double gpu;

        Room(Option option) {
            this.option = option;
            cpu = option.shape.vcpus();
            ram = option.shape.ramGb();
            gpu = option.shape.cards();
        }

        int cap(JobSpec s) {
            return Tebas.remainCap(cpu, ram, gpu, s.vcpus(), s.ramGb(), s.cards());
        }

        void take(JobSpec s, int n) {
            cpu -= n * s.vcpus();
            ram -= n * s.ramGb();
            gpu -= n * s.cards();
        }
    }

    private static boolean allows(JobSpec s, Option o) {
        return Catalog.allowed(s, o.shape.label()) && (s.site() == null || s.site().equals(o.site)) && (s.preemptible() || !o.spot)
                && o.shape.holds(s);
    }

    /**
     * Rents for what the machines that are up or on their way can't finish in time. Ordinary work is sized by
     * {@link Demand}; work that only some machines may run is planned task by task.
     */
    private void rentSome() {
        long now = loop.now();
        Map<String, double[]> use = new HashMap<>();
        for (Job j : jobs.all()) {
            double[] u = use.computeIfAbsent(j.spec.owner(), t -> new double[2]);
            u[0] += j.placedCount() * j.spec.vcpus();
            u[1] += j.placedCount() * j.spec.cards();
        }
        List<QueueOrder.Ranked> queue = new ArrayList<>();
        for (Job j : jobs.all()) {
            if (!j.cancelled() && j.pendingCount() > 0 && now >= j.notBefore) {
                queue.add(order.rank(j, true, loop.wall()));
            }
        }
        queue.sort(QueueOrder.ORDER);
        Map<Option, Integer> buy = new LinkedHashMap<>();
        List<Room> rooms = rooms();
        for (QueueOrder.Ranked q : queue) {
            if (!q.job().spec.ordinary()) {
                plan(q.job(), rooms, use, buy, now);
            }
        }
        buyOrdinary(need, buy, now);
        Txn txn = leader.txn();
        List<Rental> asked = new ArrayList<>();
        for (Map.Entry<Option, Integer> b : buy.entrySet()) {
            if (rentals.size() + asked.size() >= Constants.MAX_RENTALS_OPEN || !txn.fits(1, 0, store.txnOps())) {
                break;
            }
            Option o = b.getKey();
            String name = "r-" + blocks.lead().term() + "-" + session.incarnation() + "-" + ++names;
            int n = Math.min(b.getValue(), Constants.MAX_RENT);
            Rental r = new Rental(name, o.shape.label(), o.site, o.spot, n);
            txn.put(Keys.RENTAL + name, Codec.map().put("k", r.shape).put("s", r.site).put("p", r.spot).put("n", n));
            asked.add(r);
        }
        if (!asked.isEmpty()) {
            LOG.debug("need {} with {} CPUs up or coming", need, capacity.cpus());
            commit(txn, () -> asked.forEach(this::ask));
        }
    }

    /** Cheap machines for the usual load and for what is late; ordinary ones only for what would else be late. */
    private void buyOrdinary(Demand.Need need, Map<Option, Integer> buy, long now) {
        double cheap = Math.max(need.usualCpus(), need.inUse() + need.waitingCpus() * Constants.CHEAP_SHARE);
        double missing = Math.max(need.urgentCpus(), cheap - capacity.cpus());
        double late = need.urgentCpus() - capacity.cpus() * Constants.DEAR_SHARE;
        double least = need.waitingCpus() > 0 ? 0.5 : Constants.CHEAP_LEAST_CPUS;
        while (missing > least) {
            Option best = null;
            double bestCost = Double.MAX_VALUE;
            for (Catalog.Shape shape : catalog.all()) {
                if (shape.cards() > 0) {
                    continue;
                }
                for (String site : shape.sites()) {
                    for (boolean spot : new boolean[] {true, false}) {
                        Option o = new Option(shape, site, spot);
                        Refusal refusal = refusals.get(o.id());
                        if (refusal != null && now < refusal.until || !spot && late <= 0.5 || buy.getOrDefault(o, 0) >= Constants.MAX_RENT) {
                            continue;
                        }
                        // Unused parts of a machine cost too, and so do its boot and its first fetch.
                        double useful = Math.min(shape.vcpus(), Math.max(missing, shape.vcpus() / 2));
                        double cost = shape.price(spot) / useful * (1 + shape.bootS() / Constants.EXPECTED_STAY_S);
                        if (!spot) {
                            // A dear machine must go again soon, and a large one takes long to run empty.
                            cost *= 1 + shape.vcpus() / Constants.SLOW_EMPTY_CPUS;
                        }
                        if (cost < bestCost) {
                            best = o;
                            bestCost = cost;
                        }
                    }
                }
            }
            if (best == null) {
                return;
            }
            buy.merge(best, 1, Integer::sum);
            missing -= best.shape.vcpus();
            late -= best.shape.vcpus();
        }
    }

    private List<Room> rooms() {
        List<Room> rooms = new ArrayList<>();
        for (MachineTable.Machine m : machines.all()) {
            Catalog.Shape shape = catalog.get(m.shape());
            if (!m.returning() && shape != null) {
                Room r = new Room(new Option(shape, m.site(), m.spot()));
                for (Placement p : jobs.on(m.host()).values()) {
                    r.take(p.job.spec, 1);
                }
                rooms.add(r);
            }
        }
        for (Rental r : rentals.values()) {
            Catalog.Shape shape = catalog.get(r.shape);
            for (int i = 0; shape != null && i < r.howMany; i++) {
                rooms.add(new Room(new Option(shape, r.site, r.spot)));
            }
        }
        return rooms;
    }

    private void plan(Job job, List<Room> rooms, Map<String, double[]> use, Map<Option, Integer> buy, long now) {
        JobSpec s = job.spec;
        Settings.Team team = settings.teams().get(s.owner());
        if (team == null) {
            return;
        }
        double[] u = use.computeIfAbsent(s.owner(), t -> new double[2]);
        int quota = Tebas.remainCap(team.cpusMax() - u[0], Double.MAX_VALUE, team.gpusMax() - u[1], s.vcpus(), 0, s.cards());
        double drain = operator.drainBacklogS();
        double part = s.mode() == JobSpec.Mode.ARRAY ? Math.min(1, Math.max(s.runtimeS(), 1) / drain) : 1;
        int need = Math.min(quota, (int) Math.ceil(job.pendingCount() * part));
        u[0] += need * s.vcpus();
        u[1] += need * s.cards();
        for (Room r : rooms) {
            if (need <= 0) {
                return;
            }
            if (allows(s, r.option)) {
                int n = Math.min(need, r.cap(s));
                r.take(s, n);
                need -= n;
            }
        }
        while (need > 0) {
            Option best = cheapest(s, need, now);
            if (best == null) {
                return;
            }
            Room r = new Room(best);
            int n = Math.min(need, r.cap(s));
            r.take(s, n);
            need -= n;
            rooms.add(r);
            buy.merge(best, 1, Integer::sum);
        }
    }

    private Option cheapest(JobSpec s, int need, long now) {
        Option best = null;
        double bestCost = Double.MAX_VALUE;
        for (Catalog.Shape shape : catalog.all()) {
            int cap = shape.holds(s) ? Tebas.remainCap(shape.vcpus(), shape.ramGb(), shape.cards(), s.vcpus(), s.ramGb(), s.cards()) : 0;
            if (cap <= 0) {
                continue;
            }
            for (String site : shape.sites()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Option o = new Option(shape, site, spot);
                    Refusal refusal = refusals.get(o.id());
                    if (!allows(s, o) || refusal != null && now < refusal.until) {
                        continue;
                    }
                    // A machine costs for its boot and the fetch too, so a slow start makes its work dearer.
                    double start = shape.bootS() + s.sizeGb() / Math.max(shape.pullGbPerS(), 0.01);
                    double cost = shape.price(spot) / Math.min(cap, need) * (1 + start / Constants.EXPECTED_STAY_S);
                    if (cost < bestCost) {
                        best = o;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    /** Asks for a recorded rental; repeated under the same name until the cloud has said yes or no. */
    private void ask(Rental r) {
        if (!leader.leading() || !asking.add(r.name)) {
            return;
        }
        ObjectNode body = Codec.map().put("rental", r.name).put("shape", r.shape).put("site", r.site).put("preemptible", r.spot).put("howMany", r.howMany);
        cloud.call("POST", "/rentals", body, false, (status, answer) -> {
            String id = r.shape + "/" + r.site + "/" + (r.spot ? "spot" : "ordinary");
            Txn txn = leader.txn().remove(Keys.RENTAL + r.name);
            int got = 0;
            if (status == 200 && answer.path("hosts").isArray()) {
                MachineTable.Edits edits = machines.edits(txn);
                for (JsonNode h : answer.path("hosts")) {
                    got++;
                    if (machines.get(h.asText()) == null) {
                        edits.put(new MachineTable.Machine(h.asText(), r.name, r.shape, r.site, r.spot, loop.wall()));
                    }
                }
                LOG.info("rented {} of {} {} in {}{}", got, r.howMany, r.shape, r.site, r.spot ? ", spot" : "");
            } else if (status == 400) {
                LOG.error("the cloud calls a rental malformed: {}", body);
            } else if (status != 503 || answer == null || !answer.path("error").asText().contains("capacity")) {
                loop.after(Constants.RENT_TICK_MS, () -> asking.remove(r.name));
                return;
            }
            if (got < r.howMany) {
                Refusal before = refusals.get(id);
                long pause = before == null || loop.now() - before.until > before.pause ? Constants.NO_CAPACITY_MS
                        : Math.min(Constants.NO_CAPACITY_MAX_MS, before.pause * 2);
                refusals.put(id, new Refusal(loop.now() + pause, pause));
            }
            settleRental(r, txn);
        });
    }

    private void settleRental(Rental r, Txn txn) {
        store.commit(txn, outcome -> {
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
            }
            // Otherwise the record stands and the same name is asked for again; the answer will be the same.
            loop.after(Constants.RETRY_MS, () -> asking.remove(r.name));
        });
    }

    // ---- returning

    /** Counts what is up and what is on its way. */
    private void countCapacity() {
        long now = loop.now();
        Set<String> present = new HashSet<>();
        capacity = new Demand.Capacity();
        up.clear();
        for (Rental r : rentals.values()) {
            Catalog.Shape shape = catalog.get(r.shape);
            if (shape != null) {
                capacity.add(r.howMany * shape.vcpus(), shape.bootS() + shape.bootS() / 4);
            }
        }
        for (MachineTable.Machine m : machines.all()) {
            Catalog.Shape shape = catalog.get(m.shape());
            present.add(m.host());
            if (m.returning() || shape == null) {
                continue;
            }
            double age = (loop.wall() - m.rentedAt()) / 1000.0;
            Boolean said = booting.of(blocks.owner(m.host()), m.host());
            if (said != null ? said : age < shape.bootS() * 1.2) {
                capacity.add(shape.vcpus(), Math.max(5, shape.bootS() * 1.2 - age));
                continue;
            }
            if (!jobs.on(m.host()).isEmpty()) {
                idleSince.remove(m.host());
            } else {
                idleSince.putIfAbsent(m.host(), now);
            }
            if (!m.closed()) {
                capacity.add(shape.vcpus(), 0);
            }
            up.add(m);
        }
        idleSince.keySet().retainAll(present);
    }

    /** Closes and returns machines beyond the need. */
    private void returnSome() {
        Leaving leaving = new Leaving();
        returnIdle(leaving, loop.now());
        if (leaving.txn.isEmpty()) {
            closeSome(leaving);
        }
        if (!leaving.txn.isEmpty()) {
            commit(leaving.txn, this::release);
        }
    }

    private double perCpu(MachineTable.Machine m) {
        Catalog.Shape s = catalog.get(m.shape());
        return s.price(m.spot()) / s.vcpus();
    }

    /** Whether constrained work, of which {@link Demand} knows nothing, has use for the machine. */
    private boolean kept(MachineTable.Machine m) {
        return kinds.wanted(catalog.get(m.shape()), m.site(), m.spot());
    }

    private void returnIdle(Leaving leaving, long now) {
        double spareDear = capacity.upCpus() - need.keepDear(operator.headroom());
        double spareCheap = capacity.upCpus() - need.keepCheap(operator.headroom());
        up.sort(Comparator.comparingDouble(m -> -perCpu(m)));
        // Cheap machines stay while dear ones are open: those go first, even if they take longer to empty.
        boolean dearOpen = up.stream().anyMatch(m -> !m.spot() && !m.closed());
        for (MachineTable.Machine m : up) {
            Long since = idleSince.get(m.host());
            double age = (loop.wall() - m.rentedAt()) / 1000.0;
            if (since == null || age < Constants.MIN_CHARGE_S - 2) {
                continue;
            }
            double c = catalog.get(m.shape()).vcpus();
            if (!m.closed() && now - since < Constants.KIND_REMEMBERED_MS && kept(m)) {
                continue;
            }
            if (m.closed()) {
                giveBack(leaving, m, "closed and empty");
            } else if (m.spot() && dearOpen) {
                continue;
            } else if (now - since > operator.idleReturnS() * 1000 && need.urgentCpus() <= 0 && (m.spot() ? spareCheap : spareDear) >= c / 2) {
                if (giveBack(leaving, m, "idle")) {
                    spareDear -= c;
                    spareCheap -= c;
                }
            }
        }
    }

    /** About when the last task on the machine ends. */
    private double emptyInS(MachineTable.Machine m, long now) {
        double last = 0;
        for (Placement p : jobs.on(m.host()).values()) {
            JobSpec s = p.job.spec;
            double left = Math.max(s.runtimeS() - (now - p.since) / 1000.0, s.runtimeS() * 0.2);
            last = Math.max(last, s.service() ? Double.MAX_VALUE : left);
        }
        return last;
    }

    /**
     * The pass spreads tasks over all machines, so a dear machine beyond the need would never run empty: it is closed to
     * new tasks, and returned when its last one has ended. When the need comes back first, it is opened again.
     */
    private void closeSome(Leaving leaving) {
        double spare = capacity.upCpus() - need.keepDear(operator.headroom());
        // Those that run empty soonest come first: a closed machine is paid for until its last task has ended.
        long now = loop.now();
        Map<String, Double> emptyIn = new HashMap<>();
        up.forEach(m -> emptyIn.put(m.host(), emptyInS(m, now)));
        up.sort(Comparator.comparing(MachineTable.Machine::spot).thenComparingDouble(m -> emptyIn.get(m.host())));
        for (MachineTable.Machine m : up) {
            double c = catalog.get(m.shape()).vcpus();
            if (leaving.txn.writes() >= Math.min(Constants.CLOSE_WRITES, Math.max(2, store.affordable()))) {
                break;
            }
            if (m.closed() && need.urgentCpus() > 0.5) {
                leaving.edits.put(m.closed(false));
            } else if (!m.closed() && !m.spot() && need.urgentCpus() <= 0 && spare >= Math.min(c, Constants.CLOSE_MOST_CPUS) * Constants.CLOSE_MARGIN
                    && (loop.wall() - m.rentedAt()) / 1000.0 > Constants.CLOSE_AFTER_S && !kept(m)) {
                leaving.edits.put(m.closed(true));
                spare -= c;
            }
        }
    }

    /** Releases what is marked; the cloud's 200 is the evidence that everything on the machines is gone. */
    private void release() {
        if (!leader.leading()) {
            return;
        }
        List<String> hosts = new ArrayList<>();
        Txn cleared = leader.txn();
        MachineTable.Edits edits = machines.edits(cleared);
        for (MachineTable.Machine m : machines.all()) {
            if (!m.returning() || blocks.owner(m.host()) != null) {
                continue;
            }
            Long gone = goneAt.get(m.host());
            if (gone == null) {
                if (!releasing.contains(m.host()) && hosts.size() < Constants.MAX_RELEASE) {
                    hosts.add(m.host());
                }
            } else if (mirror.generation() >= gone) {
                // Nothing can have been placed there after its mark; all that was, we know by now.
                for (Placement p : new ArrayList<>(jobs.on(m.host()).values())) {
                    if (!p.over()) {
                        p.become(Placement.Phase.GONE);
                        over.accept(p);
                    }
                }
                if (jobs.on(m.host()).isEmpty() && cleared.fits(1, 1, store.txnOps())) {
                    edits.remove(m);
                }
            }
        }
        goneAt.keySet().removeIf(h -> machines.get(h) == null);
        if (!cleared.isEmpty() && !writing) {
            commit(cleared, () -> { });
        }
        if (!hosts.isEmpty()) {
            releaseNow(hosts);
        }
    }

    private void releaseNow(List<String> hosts) {
        releasing.addAll(hosts);
        Map<String, Long> marked = new HashMap<>();
        hosts.forEach(h -> marked.put(h, mirror.stamp(machines.get(h).key())));
        ObjectNode body = Codec.map();
        hosts.forEach(body.putArray("hosts")::add);
        cloud.call("POST", "/rentals/release", body, true, (status, answer) -> {
            releasing.removeAll(hosts);
            if (status == 200) {
                hosts.forEach(h -> {
                    goneAt.put(h, marked.get(h));
                    released.put(h, loop.now());
                    idleSince.remove(h);
                });
                release();
            }
        });
    }
}
