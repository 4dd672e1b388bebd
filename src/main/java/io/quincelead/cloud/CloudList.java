package io.quincelead.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.leader.Leader;
import io.quincelead.records.Catalog;
import io.quincelead.records.MachineTable;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the cloud says without being asked for anything: its machine types with their prices, and its list of machines. */
final class CloudList {
    private static final Logger LOG = LoggerFactory.getLogger(CloudList.class);
    private final Loop loop;
    private final Settings settings;
    private final Mirror mirror;
    private final StoreClient store;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Leader leader;
    private final CloudClient cloud;
    private final Changes changes;
    private final Returns returns;
    private boolean fetching;
    private long catalogAt = Long.MIN_VALUE / 2;
    private long listAt = Long.MIN_VALUE / 2;
    private long ledSince;

    CloudList(Loop loop, Settings settings, Mirror mirror, StoreClient store, MachineTable machines, Catalog catalog, Leader leader,
            CloudClient cloud, Changes changes, Returns returns) {
        this.loop = loop;
        this.settings = settings;
        this.mirror = mirror;
        this.store = store;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.cloud = cloud;
        this.changes = changes;
        this.returns = returns;
    }

    /** Another controller leads. */
    void followed() {
        ledSince = loop.now();
    }

    void readCatalogIfDue() {
        if (!fetching && loop.now() - catalogAt > (catalog.known() ? Constants.CATALOG_EVERY_MS : Constants.RENT_TICK_MS)) {
            readCatalog();
        }
    }

    void readListIfDue() {
        if (loop.now() - listAt > Constants.LIST_EVERY_MS && !cloud.crowded()) {
            listAt = loop.now();
            readList(null);
        }
    }

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
                changes.commit(txn, () -> read.stream().filter(s -> catalog.get(s.label()) != null).forEach(catalog::current));
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
            returns.forgetReleased();
            String last = after;
            Returns.Leaving leaving = returns.leaving();
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
                    if (adopt && !failed && !returns.released(host) && !txn.fits(2, 2, store.txnOps())) {
                        listAt = now - Constants.LIST_EVERY_MS + Constants.RENT_TICK_MS;
                    } else if (adopt && !failed && !returns.released(host)) {
                        adopted++;
                        leaving.edits.adopt(host, h.path("shape").asText(), h.path("site").asText(), h.path("preemptible").asBoolean(),
                                h.path("addr").asText(null), loop.wall() - (long) (age * 1000));
                    }
                } else if (failed && !m.returning()) {
                    if (!returns.giveBack(leaving, m, "failed")) {
                        // A zone's machines may fail together: what one change has no room for is looked at again at once.
                        listAt = now - Constants.LIST_EVERY_MS + Constants.RENT_TICK_MS;
                    }
                } else if (m.addr() == null && h.hasNonNull("addr") && txn.fits(1, 1, store.txnOps())) {
                    leaving.edits.put(m.at(h.path("addr").asText()));
                }
            }
            if (adopted > 0) {
                LOG.info("{} machines are in the cloud's list and on no record; they are taken in", adopted);
            }
            if (!txn.isEmpty() && !changes.writing()) {
                changes.commit(txn, () -> { });
            }
            if (body.path("truncated").asBoolean() && last != null) {
                readList(last);
            }
        });
    }
}
