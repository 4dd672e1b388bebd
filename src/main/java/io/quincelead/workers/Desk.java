package io.quincelead.workers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.JobTable;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.records.ZoneTable;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Speaks with the workers of this controller's block: takes their reports as evidence, answers with what the records
 * say, and sends kills at once. It never decides where a task runs, and it never concludes anything from time alone.
 */
public final class Desk {
    private static final Logger LOG = LoggerFactory.getLogger(Desk.class);

    /** What the rest of the controller does for the desk. */
    public interface Office {
        /** A worker reports to this controller though it isn't of its block, or of any. */
        void stray(Stray stray);

        /** Something changed that the next round should see. */
        void wake();

        /** There is evidence that a task is over. */
        void over(Placement p);

        /** Whether a round is due or under way whose result a report's answer should wait for. */
        boolean roundPending();
    }

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Mirror mirror;
    private final StoreClient store;
    private final Transport transport;
    private final Office office;
    private final Strays strays;
    private final Evidence evidence;
    private final Orders orders;
    private final Health health;
    private final Map<String, Own> mine = new LinkedHashMap<>();
    /** Machines whose records changed since the last look. */
    private final Set<String> touched = new HashSet<>();
    /** Machines whose report's answer waits for the round that is due. */
    private final Set<Own> forRound = new LinkedHashSet<>();
    /** Reports whose answers wait, by the loop time in ms at which that is over. */
    private final Map<Long, List<Parked>> parking = new HashMap<>();

    public Desk(Loop loop, Settings settings, Session session, Blocks blocks, JobTable jobs, MachineTable machines,
            Catalog catalog, Mirror mirror, StoreClient store, Transport transport, Policy policy, ZoneTable zones, Office office) {
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.mirror = mirror;
        this.store = store;
        this.transport = transport;
        this.office = office;
        this.strays = new Strays(loop, settings, session, mirror, blocks, transport, office::stray);
        this.evidence = new Evidence(loop, jobs, office);
        this.orders = new Orders(loop, session, mirror, blocks, jobs);
        this.health = new Health(loop, settings, jobs, machines, catalog, policy, zones);
        blocks.onChange(this::regrant);
        jobs.onTouched(touched::add);
        loop.every(Constants.WORKER_TICK_MS, this::tick);
    }

    public Own own(String host) {
        return mine.get(host);
    }

    public Iterable<Own> owns() {
        return mine.values();
    }

    /** Takes over the machines that our block now names, each under its term; a new term starts from nothing. */
    private void regrant() {
        Blocks.Block block = blocks.mine();
        Map<String, Long> terms = block == null ? Map.of() : block.machines();
        if (block != null) {
            mine.values().removeIf(o -> {
                boolean lost = !terms.containsKey(o.host) || terms.get(o.host) != o.term;
                if (lost) {
                    release(o);
                }
                return lost;
            });
        }
        // Without a block we keep answering under the old terms: until a higher one shows up, that keeps work alive.
        for (Map.Entry<String, Long> e : terms.entrySet()) {
            if (!mine.containsKey(e.getKey())) {
                Own o = new Own(loop, jobs, settings.workers().reportS(), Health.silentMs(settings), e.getKey(), e.getValue(), mirror.stamp(block.key()));
                MachineTable.Machine m = machines.get(o.host);
                // A worker may be held by a controller that is cut off from the store alone: only a claim calls it away.
                o.addr = m == null ? null : m.addr();
                jobs.on(o.host).values().forEach(Placement::handedOver);
                mine.put(o.host, o);
                loop.after(0, () -> claim(o));
            }
        }
    }

    private void release(Own o) {
        jobs.on(o.host).values().forEach(Placement::handedOver);
        strays.left(o.host, o.reportTenure, o.reportSerial);
        if (o.parked != null) {
            strays.redirect(o.parked, o.host);
            o.parked = null;
        }
    }

    /** Shows the worker our term at once, or whether it hears us, so that nothing from before can run there, and learns what it holds. */
    private void claim(Own o) {
        if (mine.get(o.host) == o && o.phase() != Own.Phase.LEAVING && o.addr != null && session.valid()) {
            o.claimedAt = loop.now();
            send(o, o.tenure < 0 ? 1 : o.tenure, Codec.list());
        }
    }

    // ---- reports

    public void report(Request request) {
        Report body = Report.read(request.body);
        if (body == null) {
            request.refuse(400, "not a report");
            return;
        }
        String host = body.host;
        Own o = mine.get(host);
        if (o == null || blocks.mine() == null && blocks.owner(host) != null) {
            strays.report(request, body);
            return;
        }
        if (body.epoch > o.term) {
            // Somebody newer commands this worker; an answer of ours would be dropped and hold it here.
            strays.redirect(request, host);
            return;
        }
        strays.home(host);
        if (o.seen(body)) {
            // A copy, or what a cut held back: nobody waits for the answer, and the starts in it would count as sent.
            ObjectNode answer = Codec.map().put("epoch", o.term);
            answer.putArray("orders");
            request.answer(200, answer);
            return;
        }
        o.addr = body.addr == null ? o.addr : body.addr;
        if (o.parked != null) {
            flush(o);
        }
        boolean fresh = evidence.absorb(o, body, true);
        o.parked = request;
        long now = loop.now();
        if (request.crowded()) {
            // Connections are short: this one is given back, and the worker makes a new one for its next report.
            request.hangUp();
        }
        boolean roomy = fresh && o.fit() && session.valid() && !request.crowded();
        o.parkedIdle = roomy;
        o.parkedUntil = now + (fresh && office.roundPending() && !request.crowded() ? Constants.REPORT_PATIENCE_MS : 0);
        if (roomy) {
            o.parkedUntil = Math.max(o.parkedUntil, now + parkMs(o));
        }
        if (o.parkedUntil <= now || orders.due(o)) {
            flush(o);
        } else {
            if (!roomy) {
                forRound.add(o);
            }
            unpark(o, request);
        }
    }

    private record Parked(Own own, Request request) { }

    /** Answers the report when its time is up, unless that has happened; hundreds of reports share few turns of the loop. */
    private void unpark(Own o, Request request) {
        long at = (o.parkedUntil + Constants.PARK_GRID_MS - 1) / Constants.PARK_GRID_MS * Constants.PARK_GRID_MS;
        List<Parked> together = parking.get(at);
        if (together == null) {
            together = new ArrayList<>();
            parking.put(at, together);
            loop.after(at - loop.now(), () -> {
                for (Parked p : parking.remove(at)) {
                    if (p.own.parked == p.request) {
                        flush(p.own);
                    }
                }
            });
        }
        together.add(new Parked(o, request));
    }

    /** How long an answer may wait for a start: starts travel only in answers, so a parked one makes them instant. */
    private long parkMs(Own o) {
        boolean ends = false;
        for (Placement p : jobs.on(o.host).values()) {
            ends |= !p.job.spec.service();
        }
        double share = ends ? Constants.PARK_BUSY_SHARE : Constants.PARK_IDLE_SHARE;
        return (long) Math.min(settings.workers().reportS() * 1000 * share, Constants.PARK_MAX_MS);
    }

    private void flush(Own o) {
        Request request = o.parked;
        o.parked = null;
        if (request != null) {
            request.answer(200, orders.answer(o));
        }
    }

    /** Called when records changed or a round ended: answers what need not wait longer and sends kills at once. */
    public void settle() {
        for (String host : touched) {
            Own o = mine.get(host);
            if (o != null) {
                if (o.parked != null && orders.due(o)) {
                    flush(o);
                }
                sendKills(o);
            }
        }
        touched.clear();
        if (!office.roundPending()) {
            forRound.stream().filter(o -> o.parked != null && !o.parkedIdle).forEach(this::flush);
            forRound.clear();
        }
    }

    private void sendKills(Own o) {
        if (o.phase() == Own.Phase.CLAIMING || o.addr == null || !session.joined()) {
            return;
        }
        ArrayNode kills = orders.kills(o);
        if (kills != null) {
            send(o, o.tenure, kills);
        }
    }

    private void send(Own o, long tenure, ArrayNode list) {
        ObjectNode body = Codec.map().put("epoch", o.term).put("tenure", tenure);
        body.set("orders", list);
        transport.call(o.addr, "POST", "/orders", Codec.CBOR, Codec.CBOR.write(body), Constants.NEAR_TIMEOUT_MS, (status, bytes) -> {
            Report answer = Report.read(bytes);
            if (mine.get(o.host) != o || answer == null || status != 200 && status != 409) {
                return;
            }
            // Also a refusal is the worker's word: of a new session that knows our term, it proves what the old one ran to be over.
            evidence.absorb(o, answer, false);
            if (status == 200) {
                o.obeyed();
            } else if (answer.tenure > tenure && o.phase() == Own.Phase.CLAIMING) {
                // Nothing was executed; a newer session of the worker is claimed under its number.
                claim(o);
            }
            touched.add(o.host);
            settle();
        });
    }

    // ---- health

    private void tick() {
        strays.tick();
        if (!session.valid() || blocks.mine() == null) {
            return;
        }
        for (Own o : mine.values()) {
            boolean asks = o.phase() == Own.Phase.CLAIMING || o.deaf();
            if (loop.now() - o.claimedAt > (asks ? Constants.NEAR_TIMEOUT_MS : o.quiet() ? Constants.QUIET_ASK_MS : Long.MAX_VALUE)) {
                claim(o);
            }
        }
        giveUp(health.lost(mine.values()));
        touched.addAll(mine.keySet());
        settle();
    }

    /** Records that machines are to be returned and drops them from our block, in one change; the leader returns them. */
    private void giveUp(Map<Own, String> lost) {
        Blocks.Block block = blocks.mine().copy();
        Txn txn = new Txn().guard(block.key(), mirror.stamp(block.key()));
        MachineTable.Edits edits = machines.edits(txn);
        List<Own> going = new ArrayList<>();
        for (Map.Entry<Own, String> e : lost.entrySet()) {
            Own o = e.getKey();
            MachineTable.Machine m = machines.get(o.host);
            if (m == null || m.returning() || !txn.fits(2, 2, store.txnOps())) {
                continue;
            }
            LOG.info("machine {} is given up: {}", o.host, e.getValue());
            o.become(Own.Phase.LEAVING);
            going.add(o);
            block.machines().remove(o.host);
            edits.put(m.returned());
        }
        if (going.isEmpty()) {
            return;
        }
        txn.put(block.key(), block.encode(), session.grant());
        store.commit(txn, outcome -> {
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
                return;
            }
            going.stream().filter(o -> mine.get(o.host) == o).forEach(o -> o.become(Own.Phase.CLAIMING));
        });
    }
}
