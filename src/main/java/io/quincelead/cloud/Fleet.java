package io.quincelead.cloud;

import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.OperatorSettings;
import io.quincelead.base.Settings;
import io.quincelead.leader.Leader;
import io.quincelead.net.Transport;
import io.quincelead.placing.QueueOrder;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.records.Kinds;
import io.quincelead.records.MachineTable;
import io.quincelead.records.Placement;
import io.quincelead.records.ZoneTable;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's part with the cloud: reads the catalog, rents ahead of need, returns what is idle, faulty, silent or unexpected. */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private final Loop loop;
    private final Blocks blocks;
    private final JobTable jobs;
    private final MachineTable machines;
    private final Catalog catalog;
    private final Leader leader;
    private final Booting booting;
    private final Policy policy;
    private final Demand demand;
    private final Changes changes;
    private final Rentals rentals;
    private final Renting renting;
    private final Returns returns;
    private final CloudList list;

    /** What a machine's owner says of it: whether it has not come up yet; null when that isn't known. */
    @FunctionalInterface
    public interface Booting {
        Boolean of(String owner, String host);
    }

    public Fleet(Loop loop, Settings settings, OperatorSettings operator, Session session, Mirror mirror, StoreClient store,
            Blocks blocks, JobTable jobs, MachineTable machines, Catalog catalog, Leader leader, Transport transport, Booting booting,
            Consumer<Placement> over, Kinds kinds, Policy policy, ZoneTable zones,
            Supplier<Map<String, List<JobSpec>>> moves) {
        this.policy = policy;
        this.loop = loop;
        this.blocks = blocks;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.leader = leader;
        this.booting = booting;
        CloudClient cloud = new CloudClient(loop, transport, settings);
        QueueOrder order = new QueueOrder(settings, policy);
        this.demand = new Demand(loop, order, settings);
        this.changes = new Changes(store, mirror, leader);
        this.rentals = new Rentals(loop, session, mirror, store, blocks, machines, leader, cloud, changes);
        this.renting = new Renting(loop, settings, operator, jobs, machines, catalog, order, rentals, kinds, zones, policy, moves);
        this.returns = new Returns(loop, operator, mirror, store, blocks, jobs, machines, catalog, leader, cloud, changes, over, kinds);
        this.list = new CloudList(loop, settings, mirror, store, machines, catalog, leader, cloud, changes, returns);
        loop.every(Constants.RENT_TICK_MS, this::tick);
    }

    /** Whether a rental's outcome isn't on record yet. */
    public boolean rentalsOpen() {
        return !rentals.open().isEmpty();
    }

    private void tick() {
        if (!leader.leading()) {
            returns.followed();
            list.followed();
            return;
        }
        list.readCatalogIfDue();
        if (!catalog.known()) {
            return;
        }
        demand.observe(jobs);
        rentals.open().forEach(rentals::ask);
        list.readListIfDue();
        List<MachineTable.Machine> up = new ArrayList<>();
        Demand.Capacity capacity = count(up);
        double bootS = catalog.all().stream().mapToDouble(Catalog.Shape::bootS).max().orElse(0) * Constants.BOOT_USUAL_MOST + Constants.CALENDAR_RENT_SLACK_S;
        Demand.Need need = demand.need(jobs, capacity, loop.wall()).booked(policy.bookedCpus(jobs.all(), loop.wall(), bootS));
        if (!changes.writing()) {
            returns.returnSome(up, need, capacity, renting::inTheWay);
        }
        if (!changes.writing() && !leader.adopting()) {
            Map<Option, Integer> buy = renting.wanted(need, capacity);
            if (!buy.isEmpty()) {
                LOG.debug("need {} with {} CPUs up or coming", need, capacity.cpus());
                rentals.rent(buy);
            }
        }
    }

    /** Counts what is up and what is on its way. */
    private Demand.Capacity count(List<MachineTable.Machine> up) {
        Set<String> present = new HashSet<>();
        Demand.Capacity capacity = new Demand.Capacity();
        for (Rentals.Rental r : rentals.open()) {
            Catalog.Shape shape = catalog.get(r.shape());
            if (shape != null) {
                capacity.add(r.howMany() * shape.vcpus(), shape.bootS() + shape.bootS() / 4);
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
            if (!m.closed()) {
                capacity.add(shape.vcpus(), 0);
            }
            up.add(m);
        }
        returns.idle(up, present);
        return capacity;
    }
}
