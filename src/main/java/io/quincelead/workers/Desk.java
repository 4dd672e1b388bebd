package io.quincelead.workers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Job;
import io.quincelead.records.JobTable;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
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

    /** A worker that reports to {@code at} and isn't of its block; {@code stuck}: it has an owner and keeps coming all the same. */
    public record Stray(String host, String addr, String shape, String site, boolean spot, String at, boolean stuck) { }

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

    /** Since when a machine has been reporting here though it is granted elsewhere under this term. */
    private record Astray(long term, long since) { }

    /** States of a machine of our block; {@link Own#become} is the one function that changes them. */
    public enum Phase {
        /** Granted; no message bearing our term has come from it. Nothing may be concluded or started. */
        CLAIMING,
        /** It has shown our term: its reports are evidence. */
        FENCED,
        /** Its return has been recorded or is being recorded. */
        LEAVING
    }

    /** A machine of our block and what we know of it under the current term. */
    public final class Own {
        public final String host;
        public final long term;
        /** Generation of the grant: until the watch has passed it, records of what was there before may be out of date. */
        private final long grantedAt;
        private Phase phase = Phase.CLAIMING;
        String addr;
        long tenure = -1;
        long serial = -1;
        long reportTenure = -1;
        long reportSerial = -1;
        long heardAt;
        long reportedAt;
        /** Whether anything came from it under this term: before, it may still be booting. */
        boolean heard;
        long claimedAt;
        double warningS = -1;
        long warnedAt;
        int failuresInRow;
        final Set<String> failedJobs = new HashSet<>();
        long fullUntil;
        Map<String, Report.Shown> list = Map.of();
        Request parked;
        long parkedUntil;
        boolean parkedIdle;

        Own(String host, long term, long grantedAt) {
            this.host = host;
            this.term = term;
            this.grantedAt = grantedAt;
            this.heardAt = loop.now();
        }

        void become(Phase next) {
            if (phase != next) {
                LOG.debug("machine {} {} -> {}", host, phase, next);
                phase = next;
            }
        }

        /** Whether new tasks may go there. */
        public boolean fit() {
            return phase == Phase.FENCED && warningS < 0 && failuresInRow < Constants.SICK_FAILURES && loop.now() >= fullUntil
                    && loop.now() - heardAt < silentMs / 2;
        }

        /** Seconds until a start can leave for it: an open answer takes one along at once. */
        public double reachS() {
            return parked != null ? 0 : Math.max(0, Math.min(settings.workers().reportS(), settings.workers().reportS() - (loop.now() - reportedAt) / 1000.0));
        }

        public boolean draining() {
            return warningS >= 0;
        }

        public double warningLeftS() {
            return warningS - (loop.now() - warnedAt) / 1000.0;
        }

        /** Whether nothing shows that it ever came up. */
        public boolean booting() {
            return !heard && jobs.on(host).isEmpty();
        }
    }

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Mirror mirror;
    private final StoreClient store;
    private final Transport transport;
    private final Office office;
    private final long silentMs;
    private final Map<String, Own> mine = new LinkedHashMap<>();
    private final Map<String, Astray> strays = new HashMap<>();
    /** Workers of others that are answered here while the store can't be reached. */
    private final Map<String, Astray> kept = new HashMap<>();
    /** When each zone was last cut off from here. */
    private final Map<String, Long> unreachedAt = new HashMap<>();
    /** Machines whose records changed since the last look. */
    private final Set<String> touched = new HashSet<>();
    /** Machines whose report's answer waits for the round that is due. */
    private final Set<Own> forRound = new LinkedHashSet<>();
    /** Reports whose answers wait, by the loop time in ms at which that is over. */
    private final Map<Long, List<Parked>> parking = new HashMap<>();

    public Desk(Loop loop, Settings settings, Session session, Blocks blocks, JobTable jobs, MachineTable machines,
            Catalog catalog, Mirror mirror, StoreClient store, Transport transport, Office office) {
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.mirror = mirror;
        this.store = store;
        this.transport = transport;
        this.office = office;
        this.silentMs = (long) (settings.workers().leaseS() * 1000 * (1 + Constants.DRIFT)) + Constants.SILENCE_SLACK_MS;
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
                Own o = new Own(e.getKey(), e.getValue(), mirror.stamp(block.key()));
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
        if (o.parked != null) {
            redirect(o.parked, o.host);
            o.parked = null;
        }
    }

    /** Shows the worker our term at once, so that nothing from before can run there, and learns what it holds. */
    private void claim(Own o) {
        if (mine.get(o.host) == o && o.phase == Phase.CLAIMING && o.addr != null && session.valid()) {
            o.claimedAt = loop.now();
            orders(o, o.tenure < 0 ? 1 : o.tenure, Codec.list());
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
            strayReport(request, host, body);
            return;
        }
        if (body.epoch > o.term) {
            // Somebody newer commands this worker; an answer of ours would be dropped and hold it here.
            redirect(request, host);
            return;
        }
        strays.remove(host);
        o.addr = body.addr == null ? o.addr : body.addr;
        if (o.parked != null) {
            flush(o);
        }
        boolean fresh = absorb(o, body, true);
        o.parked = request;
        long now = loop.now();
        boolean roomy = fresh && o.fit() && session.valid();
        o.parkedIdle = roomy;
        o.parkedUntil = now + (fresh && office.roundPending() ? Constants.REPORT_PATIENCE_MS : 0);
        if (roomy) {
            o.parkedUntil = Math.max(o.parkedUntil, now + parkMs(o));
        }
        if (o.parkedUntil <= now || hasOrders(o)) {
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

    private void strayReport(Request request, String host, Report body) {
        if (!mirror.synced() || !session.joined()) {
            request.later(503, "not ready");
            return;
        }
        long now = loop.now();
        String owner = blocks.owner(host);
        if (!session.valid() && owner != null && keepAlive(request, host, body, blocks.of(owner).machines().get(host))) {
            return;
        }
        Long granted = owner == null ? null : blocks.of(owner).machines().get(host);
        long term = granted == null ? 0 : granted;
        // Counted anew for each grant: a worker on its way to a new owner would else be moved back before it gets there, and
        // two controllers could pass a machine to each other for ever.
        Astray a = strays.merge(host, new Astray(term, now), (old, fresh) -> old.term == term ? old : fresh);
        if (owner == null || now - a.since > Constants.STRAY_MS) {
            office.stray(new Stray(host, body.addr == null ? "" : body.addr, body.shape, body.site, body.spot, settings.member(), owner != null));
            if (owner == null && settings.member().equals(blocks.leader())) {
                // The grant is a few ms away: the worker then hears at once where to go.
                loop.after(Constants.REPORT_PATIENCE_MS, () -> redirect(request, host));
                return;
            }
        }
        redirect(request, host);
    }

    /**
     * Cut off from the store, perhaps with a whole zone: a worker that can't reach its owner either is answered under the owner's
     * term, without any order, so that its tasks live on. Every now and then it is sent to look for its owner again.
     */
    private boolean keepAlive(Request request, String host, Report body, long term) {
        long now = loop.now();
        double leaseMs = settings.workers().leaseS() * 1000;
        // Sent on, a worker may try all others in vain; its lease must outlast that.
        if (leaseMs < Constants.WORKER_TRY_MS * (settings.count() - 1) * Constants.KEEP_ALIVE_TRIES) {
            return false;
        }
        // Not among the strays: on record again, it has its time to find its owner from then on.
        strays.remove(host);
        Astray a = kept.merge(host, new Astray(term, now), (old, fresh) -> old.term == term ? old : fresh);
        if (now - a.since > leaseMs * Constants.KEEP_ALIVE_SHARE) {
            kept.remove(host);
            return false;
        }
        if (body.epoch > term) {
            return false;
        }
        ObjectNode answer = Codec.map().put("epoch", term);
        answer.putArray("orders");
        request.answer(200, answer);
        return true;
    }

    private void redirect(Request request, String host) {
        String to = blocks.owner(host) != null ? blocks.owner(host) : blocks.leader();
        ObjectNode body = Codec.map();
        if (to != null && !to.equals(settings.member())) {
            body.put("controller", to);
        }
        request.answer(421, body);
    }

    /**
     * Takes a worker's list as evidence, if it is newer than all before and bears our term. A body of {@code /orders}
     * may overtake the answer to a report, so it never proves that a start of ours did not arrive.
     */
    private boolean absorb(Own o, Report body, boolean isReport) {
        long tenure = body.tenure;
        long serial = body.serial;
        if (tenure < o.tenure || tenure == o.tenure && serial <= o.serial) {
            return false;
        }
        o.tenure = tenure;
        o.serial = serial;
        if (isReport) {
            o.reportedAt = loop.now();
            o.reportTenure = tenure;
            o.reportSerial = serial;
        }
        o.heardAt = loop.now();
        o.heard = true;
        if (body.warningS >= 0) {
            if (o.warningS < 0) {
                LOG.info("machine {} will be taken back in {} s", o.host, body.warningS);
                office.wake();
            }
            o.warningS = body.warningS;
            o.warnedAt = loop.now();
        }
        if (body.epoch != o.term) {
            return true;
        }
        if (o.phase == Phase.CLAIMING) {
            o.become(Phase.FENCED);
            office.wake();
        }
        o.list = body.members;
        for (Placement p : jobs.on(o.host).values()) {
            judge(o, p, Report.Shown.of(o.list.get(p.name()), p.attempt));
        }
        return true;
    }

    private void judge(Own o, Placement p, Report.Shown entry) {
        if (p.over()) {
            return;
        }
        if (entry == null) {
            boolean answered = p.phase() == Placement.Phase.SENT
                    && (o.reportTenure > p.sentTenure || o.reportTenure == p.sentTenure && o.reportSerial > p.sentSerial);
            if (p.phase() == Placement.Phase.SEEN) {
                lost(o, p, "no longer on");
            } else if (answered || p.phase() == Placement.Phase.RECORDED) {
                // It never arrived there. The record stands, so its start may be sent (again), unless it is unwanted.
                if (p.stop || p.job.cancelled()) {
                    lost(o, p, "never reached");
                }
            }
            return;
        }
        if (!entry.ended()) {
            p.become(Placement.Phase.SEEN);
            if (entry.status.equals("running") && p.runningSince == 0) {
                p.runningSince = loop.now();
            }
            p.reported = entry.status;
            return;
        }
        Job job = p.job;
        switch (entry.reason) {
            case "done" -> {
                p.become(Placement.Phase.DONE);
                o.failuresInRow = 0;
                o.failedJobs.clear();
                job.failures = 0;
                job.successes++;
                office.over(p);
            }
            case "error" -> {
                failed(o, job);
                lost(o, p, "failed on");
            }
            case "full" -> {
                o.fullUntil = loop.now() + Constants.FULL_PAUSE_MS;
                lost(o, p, "refused (full) by");
            }
            case "busy" -> {
                // Another attempt of the task is there: only its end makes the task free to go elsewhere.
                Report.Shown any = o.list.get(p.name());
                if (any != null && any.ended()) {
                    lost(o, p, "refused (busy) by");
                }
            }
            case "unknown" -> {
                job.notBefore = loop.now() + Constants.JOB_BACKOFF_MS;
                lost(o, p, "refused (unknown) by");
            }
            default -> lost(o, p, "stopped (" + entry.reason + ") on");
        }
    }

    private void lost(Own o, Placement p, String how) {
        LOG.debug("task {} try {} {} {}", p.name(), p.attempt, how, o.host);
        p.become(Placement.Phase.GONE);
        office.over(p);
    }

    /** Blames the machine if other jobs fail there too or the job does well elsewhere; else the job, which pauses. */
    private void failed(Own o, Job job) {
        o.failuresInRow++;
        o.failedJobs.add(job.spec.id());
        job.failures++;
        job.failedOn.add(o.host);
        // What others saw end well counts too: this process may be new.
        if (job.successes == 0 && job.doneCount() == 0 && job.failures >= 2 && o.failedJobs.size() == 1) {
            // Where it has failed often and on no other machine, nothing will ever show whose fault it is: once, the machine goes.
            boolean lone = job.failedOn.size() == 1 && job.failures >= Constants.LONE_FAILURES;
            o.failuresInRow = lone ? Constants.SICK_FAILURES : Math.min(o.failuresInRow, Constants.SICK_FAILURES - 1);
        }
        if (job.failures >= 2) {
            long pause = Constants.JOB_BACKOFF_MS << Math.min(job.failures - 2, 10);
            job.notBefore = loop.now() + Math.min(pause, Constants.JOB_BACKOFF_MAX_MS);
        }
    }

    // ---- answers

    private boolean wanted(Placement p) {
        return !p.stop && !p.job.cancelled();
    }

    private boolean startDue(Own o, Placement p) {
        if (p.over() || !wanted(p) || o.phase != Phase.FENCED || mirror.generation() < o.grantedAt) {
            // A leader applies its own grant before the watch brings what its predecessors on that machine recorded:
            // a start by such a record could be of a task that has been placed elsewhere since.
            return false;
        }
        return p.phase() == Placement.Phase.RECORDED || p.phase() == Placement.Phase.SENT
                && (o.reportTenure > p.sentTenure || o.reportTenure == p.sentTenure && o.reportSerial > p.sentSerial);
    }

    private boolean hasOrders(Own o) {
        if (o.phase != Phase.FENCED || !session.valid()) {
            return true;
        }
        for (Placement p : jobs.on(o.host).values()) {
            if (startDue(o, p)) {
                return true;
            }
        }
        return !stops(o).isEmpty();
    }

    /** Kills for what must not run and clears for ends that are on record. */
    private ArrayNode stops(Own o) {
        ArrayNode out = Codec.list();
        Map<String, Placement> recorded = jobs.on(o.host);
        for (Report.Shown first : o.list.values()) {
            Placement p = recorded.get(first.member);
            for (Report.Shown t = first; t != null; t = t.next()) {
                boolean onRecord = p != null && p.attempt == t.attempt;
                if (t.ended()) {
                    if (!onRecord) {
                        out.addObject().put("verb", "clear").put("member", t.member).put("try", t.attempt);
                    }
                } else if (!onRecord) {
                    kill(out, t.member, t.attempt, 0);
                } else if (!wanted(p) && !t.status.equals("saving")) {
                    kill(out, t.member, t.attempt, graceS(p));
                } else if (p.job.cancelled()) {
                    kill(out, t.member, t.attempt, 0);
                }
            }
        }
        return out;
    }

    private static void kill(ArrayNode out, String name, long attempt, double graceS) {
        out.addObject().put("verb", "kill").put("member", name).put("try", attempt).put("drainS", graceS);
    }

    private static double graceS(Placement p) {
        return p.job.cancelled() || p.job.spec.snapshotEveryS() <= 0 ? 0 : Math.ceil(p.job.spec.snapshotS()) + 1;
    }

    private void flush(Own o) {
        Request request = o.parked;
        o.parked = null;
        if (request == null) {
            return;
        }
        ObjectNode body = Codec.map().put("epoch", o.term);
        ArrayNode orders = body.putArray("orders");
        if (o.phase == Phase.FENCED) {
            if (session.joined()) {
                orders.addAll(stops(o));
            }
            if (session.valid() && blocks.mine() != null) {
                for (Placement p : jobs.on(o.host).values()) {
                    if (startDue(o, p) && orders.size() < Constants.MAX_ORDERS) {
                        orders.addObject().put("verb", "start").put("member", p.name()).put("try", p.attempt);
                        p.become(Placement.Phase.SENT);
                        p.sentTenure = o.reportTenure;
                        p.sentSerial = o.reportSerial;
                    }
                }
            }
        }
        request.answer(200, body);
    }

    /** Called when records changed or a round ended: answers what need not wait longer and sends kills at once. */
    public void settle() {
        for (String host : touched) {
            Own o = mine.get(host);
            if (o != null) {
                if (o.parked != null && hasOrders(o)) {
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
        if (o.phase == Phase.CLAIMING || o.addr == null || !session.joined()) {
            return;
        }
        long now = loop.now();
        ArrayNode out = null;
        for (Placement p : jobs.on(o.host).values()) {
            if (!wanted(p) && p.phase() == Placement.Phase.SEEN && !p.reported.equals("saving")
                    && (p.killedAt == 0 || now - p.killedAt > Constants.KILL_AGAIN_MS)) {
                out = out == null ? Codec.list() : out;
                if (out.size() < Constants.MAX_ORDERS) {
                    kill(out, p.name(), p.attempt, graceS(p));
                    p.killedAt = now;
                }
            }
        }
        if (out != null) {
            orders(o, o.tenure, out);
        }
    }

    private void orders(Own o, long tenure, ArrayNode list) {
        ObjectNode body = Codec.map().put("epoch", o.term).put("tenure", tenure);
        body.set("orders", list);
        transport.call(o.addr, "POST", "/orders", Codec.CBOR, Codec.CBOR.write(body), Constants.NEAR_TIMEOUT_MS, (status, bytes) -> {
            Report answer = Report.read(bytes);
            if (mine.get(o.host) != o || answer == null || status != 200 && status != 409) {
                return;
            }
            if (status == 409) {
                // Nothing was executed; a newer session of the worker is claimed under its number.
                if (answer.tenure > tenure && o.phase == Phase.CLAIMING) {
                    o.tenure = Math.max(o.tenure, answer.tenure);
                    claim(o);
                }
                return;
            }
            absorb(o, answer, false);
            touched.add(o.host);
            settle();
        });
    }

    // ---- health

    private void tick() {
        long now = loop.now();
        strays.values().removeIf(a -> now - a.since > 20 * Constants.STRAY_MS);
        if (session.valid()) {
            kept.clear();
        }
        if (!session.valid() || blocks.mine() == null) {
            return;
        }
        Map<Own, String> lost = new LinkedHashMap<>();
        Set<String> unreached = unreached();
        unreached.forEach(z -> unreachedAt.put(z, now));
        for (Own o : mine.values()) {
            if (o.phase == Phase.CLAIMING && now - o.claimedAt > Constants.NEAR_TIMEOUT_MS) {
                claim(o);
            }
            if (o.phase == Phase.LEAVING) {
                continue;
            }
            boolean cutOff = unreached.contains(site(o));
            // When a zone can be reached again, each of its machines has its time anew.
            long silence = now - (cutOff ? o.heardAt : Math.max(o.heardAt, unreachedAt.getOrDefault(site(o), Long.MIN_VALUE)));
            if (o.booting()) {
                if (bootOver(o.host) && silence > silentMs && !cutOff) {
                    lost.put(o, "never came up");
                }
                continue;
            }
            boolean taken = o.draining() && o.warningLeftS() < -1;
            if (silence > (taken ? Constants.SILENCE_SLACK_MS + (long) (settings.workers().reportS() * 1500) : patienceMs(o, cutOff))) {
                lost.put(o, "silent");
            } else if (o.failuresInRow >= Constants.SICK_FAILURES) {
                lost.put(o, "fails what runs elsewhere");
            } else if (overdueCancel(o)) {
                lost.put(o, "doesn't let go of cancelled work");
            }
        }
        giveUp(lost);
        touched.addAll(mine.keySet());
        settle();
    }

    private String site(Own o) {
        MachineTable.Machine m = machines.get(o.host);
        return m == null ? "" : m.site();
    }

    /** Zones of which hardly a machine can be heard here: not the machines are at fault but the way to them. */
    private Set<String> unreached() {
        long old = loop.now() - (long) (settings.workers().reportS() * 1000 * Constants.HEARD_REPORTS);
        Map<String, int[]> zones = new HashMap<>();
        for (Own o : mine.values()) {
            if (!o.booting() || o.addr != null) {
                int[] n = zones.computeIfAbsent(site(o), z -> new int[2]);
                n[0]++;
                n[1] += o.heard && o.heardAt >= old ? 1 : 0;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((zone, n) -> {
            if (n[0] >= Constants.ZONE_LEAST && n[1] < n[0] * Constants.ZONE_HEARD_SHARE) {
                out.add(zone);
            }
        });
        return out;
    }

    /**
     * How long a machine's silence is borne. In a zone that is cut off, its tasks go on, kept by a controller inside; giving them up
     * would only lose them. Elsewhere a silent machine hangs or is dead; what should run all the time is not left there for long.
     */
    private long patienceMs(Own o, boolean cutOff) {
        if (cutOff) {
            return (long) (settings.workers().leaseS() * 1000 * Constants.ZONE_PATIENCE_LEASES);
        }
        boolean always = false;
        for (Placement p : jobs.on(o.host).values()) {
            always |= p.job.spec.service() && !p.over();
        }
        return always ? silentMs / 2 : silentMs;
    }

    private boolean bootOver(String host) {
        MachineTable.Machine m = machines.get(host);
        Catalog.Shape shape = m == null ? null : catalog.get(m.shape());
        return shape != null && loop.wall() - m.rentedAt() > shape.bootS() * 1000 * Constants.BOOT_PATIENCE + Constants.BOOT_SLACK_MS;
    }

    private boolean overdueCancel(Own o) {
        double limitMs = settings.workers().cancelS() * 1000 * Constants.CANCEL_RELEASE_SHARE;
        for (Placement p : jobs.on(o.host).values()) {
            if (p.job.cancelled() && loop.wall() - p.job.cancelledAt > limitMs && !p.over()) {
                return true;
            }
        }
        return false;
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
            o.become(Phase.LEAVING);
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
            going.stream().filter(o -> mine.get(o.host) == o).forEach(o -> o.become(Phase.CLAIMING));
        });
    }
}
