package io.quincelead.workers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.net.Transport;
import io.quincelead.records.Blocks;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Workers that report here and belong to another controller, or to none: sent on, told of, or kept alive behind a cut. */
final class Strays {
    /** Since when a machine has been reporting here though it is granted elsewhere under this term. */
    private record Astray(long term, long since) { }

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Mirror mirror;
    private final Blocks blocks;
    private final Transport transport;
    private final Consumer<Stray> leader;
    private final Map<String, Astray> strays = new HashMap<>();
    /** Workers of others that are answered here while the store can't be reached. */
    private final Map<String, Astray> kept = new HashMap<>();

    Strays(Loop loop, Settings settings, Session session, Mirror mirror, Blocks blocks, Transport transport, Consumer<Stray> leader) {
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.mirror = mirror;
        this.blocks = blocks;
        this.transport = transport;
        this.leader = leader;
    }

    /** The newest report of each machine that came here, as tenure and serial: an older one is a copy, or was held up on its way. */
    private final Map<String, long[]> newest = new HashMap<>();
    private final Set<String> probing = new HashSet<>();

    /** The machine is ours no longer; these were the tenure and serial of its last report here. */
    void left(String host, long tenure, long serial) {
        newest.put(host, new long[] {tenure, serial});
    }

    /** Whether a newer report has been here; else this is the newest now. */
    private boolean old(Report r) {
        long[] last = newest.get(r.host);
        if (last != null && !Report.newer(r.tenure, r.serial, last[0], last[1])) {
            return true;
        }
        newest.put(r.host, new long[] {r.tenure, r.serial});
        return false;
    }

    /** The worker is where it belongs. */
    void home(String host) {
        strays.remove(host);
    }

    void tick() {
        strays.values().removeIf(a -> loop.now() - a.since > 20 * Constants.STRAY_MS);
        newest.keySet().removeIf(h -> blocks.owner(h) == null);
        if (session.valid()) {
            kept.clear();
        }
    }

    /** Answers a worker that isn't of our block. */
    void report(Request request, Report body) {
        String host = body.host;
        if (!mirror.synced() || !session.joined()) {
            request.later(503, "not ready");
            return;
        }
        if (old(body)) {
            redirect(request, host);
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
        Stray stray = new Stray(host, body.addr == null ? "" : body.addr, body.shape, body.site, body.spot, settings.member(), owner != null, term);
        if (owner == null) {
            leader.accept(stray);
            if (settings.member().equals(blocks.leader())) {
                // The grant is a few ms away: the worker then hears at once where to go.
                loop.after(Constants.REPORT_PATIENCE_MS, () -> redirect(request, host));
                return;
            }
        } else if (now - a.since > Constants.STRAY_MS) {
            probe(stray, body);
        }
        redirect(request, host);
    }

    /**
     * Says that the worker is stuck here if it hears us and is where that report says it is. One that hears nobody tries all
     * controllers in turn, and would be passed around for ever; a report that was held up speaks of long ago.
     */
    private void probe(Stray stray, Report body) {
        if (stray.addr().isEmpty() || !probing.add(stray.host())) {
            return;
        }
        transport.call(stray.addr(), "GET", "/show", Codec.CBOR, null, Constants.NEAR_TIMEOUT_MS, (status, bytes) -> {
            probing.remove(stray.host());
            Report now = Report.read(bytes);
            if (status == 200 && now != null && now.tenure == body.tenure && now.serial <= body.serial + Constants.STRAY_SERIALS) {
                leader.accept(stray);
            }
        });
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

    void redirect(Request request, String host) {
        String to = blocks.owner(host) != null ? blocks.owner(host) : blocks.leader();
        ObjectNode body = Codec.map();
        if (to != null && !to.equals(settings.member())) {
            body.put("controller", to);
        }
        request.answer(421, body);
    }
}
