package io.quincelead.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.leader.Leader;
import io.quincelead.net.Codec;
import io.quincelead.records.Blocks;
import io.quincelead.records.MachineTable;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rentals on record: each is recorded before it is asked for, under a name that is never used again, until its outcome is known. */
final class Rentals {
    private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

    /** A rental on record: its outcome is not known until the cloud has answered under this very name. */
    record Rental(String name, String shape, String site, boolean spot, int howMany) { }

    private record Refusal(long until, long pause) { }

    private final Loop loop;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Blocks blocks;
    private final MachineTable machines;
    private final Leader leader;
    private final CloudClient cloud;
    private final Changes changes;
    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Refusal> refusals = new HashMap<>();
    private long names;
    private long recorded;

    Rentals(Loop loop, Session session, Mirror mirror, StoreClient store, Blocks blocks, MachineTable machines, Leader leader,
            CloudClient cloud, Changes changes) {
        this.loop = loop;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.blocks = blocks;
        this.machines = machines;
        this.leader = leader;
        this.cloud = cloud;
        this.changes = changes;
        mirror.view(Keys.RENTALS, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                recorded = v.path("n").asLong();
            }

            @Override public void remove(String key) {
                recorded = 0;
            }
        });
        mirror.view(Keys.RENTAL, new Mirror.View() {
            @Override public void put(String key, JsonNode v, long stamp) {
                String name = key.substring(Keys.RENTAL.length());
                rentals.put(name, new Rental(name, v.path("k").asText(), v.path("s").asText(), v.path("p").asBoolean(), v.path("n").asInt()));
            }

            @Override public void remove(String key) {
                rentals.remove(key.substring(Keys.RENTAL.length()));
            }
        });
    }

    /** Those whose outcome isn't on record yet. */
    Collection<Rental> open() {
        return rentals.values();
    }

    /** Whether the cloud said of late that it has no more of these. */
    boolean refused(Option o) {
        Refusal r = refusals.get(o.id());
        return r != null && loop.now() < r.until;
    }

    /** Records what is to be rented, as much as may be open at one time, and asks for it. */
    void rent(Map<Option, Integer> buy) {
        // A copy of this change, minutes later, would record rentals again whose machines are long gone.
        Txn txn = leader.txn().guard(Keys.RENTALS, mirror.stamp(Keys.RENTALS)).put(Keys.RENTALS, Codec.map().put("n", recorded + buy.size()));
        List<Rental> asked = new ArrayList<>();
        for (Map.Entry<Option, Integer> b : buy.entrySet()) {
            if (rentals.size() + asked.size() >= Constants.MAX_RENTALS_OPEN || !txn.fits(1, 0, store.txnOps())) {
                break;
            }
            Option o = b.getKey();
            String name = "r-" + blocks.lead().term() + "-" + session.incarnation() + "-" + ++names;
            int n = Math.min(b.getValue(), Constants.MAX_RENT);
            Rental r = new Rental(name, o.shape().label(), o.site(), o.spot(), n);
            txn.put(Keys.RENTAL + name, Codec.map().put("k", r.shape).put("s", r.site).put("p", r.spot).put("n", n));
            asked.add(r);
        }
        if (!asked.isEmpty()) {
            changes.commit(txn, () -> asked.forEach(this::ask));
        }
    }

    /** Asks for a recorded rental; repeated under the same name until the cloud has said yes or no. */
    void ask(Rental r) {
        if (!leader.leading() || !leader.settled() || !asking.add(r.name)) {
            return;
        }
        ObjectNode body = Codec.map().put("rental", r.name).put("shape", r.shape).put("site", r.site).put("preemptible", r.spot).put("howMany", r.howMany);
        cloud.call("POST", "/rentals", body, false, (status, answer) -> {
            // Settled once: carried out late, after the machines have gone again, it would bring their records back.
            String key = Keys.RENTAL + r.name;
            if (mirror.stamp(key) == 0) {
                asking.remove(r.name);
                return;
            }
            Txn txn = leader.txn().guard(key, mirror.stamp(key)).remove(key);
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
                refuse(Option.id(r.shape, r.site, r.spot));
            }
            settle(r, txn);
        });
    }

    private void refuse(String id) {
        Refusal before = refusals.get(id);
        long pause = before == null || loop.now() - before.until > before.pause ? Constants.NO_CAPACITY_MS
                : Math.min(Constants.NO_CAPACITY_MAX_MS, before.pause * 2);
        refusals.put(id, new Refusal(loop.now() + pause, pause));
    }

    private void settle(Rental r, Txn txn) {
        store.commit(txn, outcome -> {
            leader.heard(txn, outcome);
            if (outcome.result() == Txn.Result.DONE) {
                mirror.applied(txn, outcome.generation());
            }
            // Otherwise the record stands and the same name is asked for again; the answer will be the same.
            loop.after(Constants.RETRY_MS, () -> asking.remove(r.name));
        });
    }
}
