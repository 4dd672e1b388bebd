package io.quincelead.leadership;

import io.quincelead.cluster.ClusterMembership;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobSpec;
import io.quincelead.cluster.JobTable;
import io.quincelead.cluster.MachineEdits;
import io.quincelead.cluster.MachineTable;
import io.quincelead.cluster.MachineTypeCatalog;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.LeadershipConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.Policy;
import io.quincelead.store.IndeterminateWriteFence;
import io.quincelead.store.MembershipLease;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import io.quincelead.worker.MisroutedWorker;
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
 * Election, and what the leader does for all: grants machines to blocks under rising terms, splits
 * the teams' limits into allowances, and gives the jobs of lost controllers to live ones. All of it
 * is guarded by the leader's key and by the stamps of the blocks it changes.
 */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** States of the election; {@link #transitionTo} is the one function that changes them. */
    public enum Phase {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    private final EventLoop eventLoop;
    private final Settings settings;
    private final MembershipLease membershipLease;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final ClusterMembership shards;
    private final JobTable jobs;
    private final MachineTable machines;
    private final MachineTypeCatalog catalog;
    private final Policy policy;
    private final Map<String, MisroutedWorker> misroutedWorkers = new LinkedHashMap<>();
    private final Map<String, Long> aliveSinceMillis = new HashMap<>();
    private final IndeterminateWriteFence writeFence;
    private BooleanSupplier provisioningPending = () -> true;
    private Phase phase = Phase.FOLLOWER;
    private boolean commitInFlight;
    private boolean rerunRequested;

    /** Which controller is the next to get jobs of lost ones that use something. */
    private int nextNewOwner;

    private long quotaDistributedAtMillis;
    private long registeredAtMillis;
    private long rebalancedAtMillis;

    public Leader(
            EventLoop eventLoop,
            Settings settings,
            MembershipLease membershipLease,
            WatchCache watchCache,
            StoreClient store,
            ClusterMembership shards,
            JobTable jobs,
            MachineTable machines,
            MachineTypeCatalog catalog,
            Policy policy) {
        this.policy = policy;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membershipLease = membershipLease;
        this.watchCache = watchCache;
        this.store = store;
        this.shards = shards;
        this.jobs = jobs;
        this.machines = machines;
        this.catalog = catalog;
        this.writeFence =
                new IndeterminateWriteFence(
                        eventLoop,
                        store,
                        watchCache,
                        StoreKeys.LEADER,
                        () ->
                                shards.leaderRecord() == null
                                        ? null
                                        : newTransaction()
                                                .put(
                                                        StoreKeys.LEADER,
                                                        shards.leaderRecord().encode(),
                                                        membershipLease.leaseId()));
        eventLoop.runEvery(LeadershipConstants.LEADER_INTERVAL_MILLIS, this::runCycle);
        watchCache.addChangeListener(this::refreshPhase);
    }

    /** {@code open} tells whether a rental's machines may not all be on record yet. */
    public void setProvisioningPending(BooleanSupplier pending) {
        provisioningPending = pending;
    }

    private void transitionTo(Phase next) {
        if (phase != next) {
            LOG.info("leadership {} -> {}", phase, next);
            phase = next;
        }
    }

    /** Whether this controller surely leads now. */
    public boolean isLeading() {
        refreshPhase();
        return phase == Phase.LEADER && membershipLease.isValid();
    }

    private void refreshPhase() {
        ClusterMembership.LeaderRecord leader = shards.leaderRecord();
        boolean isSelf =
                leader != null
                        && leader.memberId().equals(settings.memberId())
                        && leader.incarnation() == membershipLease.incarnation();
        if (isSelf) {
            transitionTo(Phase.LEADER);
        } else if (phase == Phase.LEADER) {
            transitionTo(Phase.FOLLOWER);
            misroutedWorkers.clear();
        }
    }

    /** The guard that every change by the leader bears. */
    public Transaction newTransaction() {
        return new Transaction()
                .requireRevision(StoreKeys.LEADER, watchCache.modRevision(StoreKeys.LEADER));
    }

    /** Takes the outcome of a change that bears the leader's guard. */
    public void onOutcome(Transaction transaction, Transaction.Outcome outcome) {
        writeFence.onOutcome(transaction, outcome);
    }

    /**
     * Whether every change that bore the leader's guard has an outcome; until then the leader
     * decides nothing by record.
     */
    public boolean areWritesSettled() {
        return writeFence.trySettle();
    }

    private void runCycle() {
        if (!membershipLease.isValid() || !watchCache.isSynced() || commitInFlight) {
            return;
        }
        if (shards.leaderRecord() == null && shards.member(settings.memberId()) != null) {
            campaign();
        } else if (isLeading()
                && areWritesSettled()
                && (store.canAffordUrgentWrite() || shards.localShard() == null)) {
            // Even the leader's changes don't go far into debt: what users wait for would pay for
            // it.
            runLeaderDuties();
        }
    }

    private void campaign() {
        transitionTo(Phase.CANDIDATE);
        long fencingToken = shards.latestFencingToken() + 1;
        Transaction transaction =
                new Transaction()
                        .requireRevision(StoreKeys.LEADER, 0)
                        .requireRevision(
                                StoreKeys.FENCING_TOKEN_COUNTER,
                                watchCache.modRevision(StoreKeys.FENCING_TOKEN_COUNTER))
                        .put(
                                StoreKeys.LEADER,
                                new ClusterMembership.LeaderRecord(
                                                settings.memberId(),
                                                membershipLease.incarnation(),
                                                fencingToken)
                                        .encode(),
                                membershipLease.leaseId())
                        .put(
                                StoreKeys.FENCING_TOKEN_COUNTER,
                                WireFormat.newMap().put("n", fencingToken));
        commit(transaction, () -> transitionTo(Phase.FOLLOWER));
    }

    private void commit(Transaction transaction, Runnable onFailure) {
        commitInFlight = true;
        store.commit(
                transaction,
                outcome -> {
                    commitInFlight = false;
                    onOutcome(transaction, outcome);
                    if (outcome.result() == Transaction.Result.COMMITTED) {
                        watchCache.applyCommitted(transaction, outcome.storeRevision());
                        if (rerunRequested) {
                            rerunRequested = false;
                            eventLoop.runAfter(0, this::runCycle);
                        }
                    } else {
                        onFailure.run();
                    }
                });
    }

    /** A machine that has come up, or whose owner can't be reached. */
    public void onMisroutedWorker(MisroutedWorker worker) {
        if (isLeading() && misroutedWorkers.size() < ApiConstants.MAX_OPEN_JOBS) {
            misroutedWorkers.put(worker.host(), worker);
            if (shards.ownerOf(worker.host()) == null && machines.get(worker.host()) != null) {
                if (commitInFlight) {
                    rerunRequested = true;
                } else {
                    eventLoop.runAfter(
                            LeadershipConstants.SHARD_ASSIGNMENT_BATCH_MILLIS, this::runCycle);
                }
            }
        }
    }

    private void runLeaderDuties() {
        for (ClusterMembership.Member member : shards.members()) {
            aliveSinceMillis.putIfAbsent(member.memberId(), eventLoop.nowMillis());
        }
        aliveSinceMillis.keySet().removeIf(memberId -> shards.member(memberId) == null);
        Transaction transaction = newTransaction();
        Map<String, ClusterMembership.Shard> nextShards = new LinkedHashMap<>();
        for (ClusterMembership.Member member : shards.members()) {
            ClusterMembership.Shard shard = shards.shardOf(member.memberId());
            nextShards.put(
                    member.memberId(),
                    shard == null
                            ? new ClusterMembership.Shard(
                                    member.memberId(), new LinkedHashMap<>(), new LinkedHashMap<>())
                            : shard.copy());
        }
        if (nextShards.isEmpty()) {
            return;
        }
        List<String> changedMembers = new ArrayList<>();
        for (String memberId : nextShards.keySet()) {
            if (shards.shardOf(memberId) == null) {
                changedMembers.add(memberId);
            }
        }
        boolean tokensAssigned =
                assignMachines(nextShards, changedMembers, transaction)
                        | rebalance(nextShards, changedMembers);
        if (eventLoop.nowMillis() - quotaDistributedAtMillis
                        >= LeadershipConstants.QUOTA_SHARES_INTERVAL_MILLIS
                || !changedMembers.isEmpty()) {
            quotaDistributedAtMillis = eventLoop.nowMillis();
            distributeQuota(nextShards, changedMembers);
        }
        if (!changedMembers.isEmpty()) {
            if (tokensAssigned) {
                transaction
                        .requireRevision(
                                StoreKeys.FENCING_TOKEN_COUNTER,
                                watchCache.modRevision(StoreKeys.FENCING_TOKEN_COUNTER))
                        .put(
                                StoreKeys.FENCING_TOKEN_COUNTER,
                                WireFormat.newMap().put("n", shards.latestFencingToken() + 1));
            }
            for (ClusterMembership.Shard shard : shards.shards()) {
                transaction.requireRevision(
                        shard.storeKey(), watchCache.modRevision(shard.storeKey()));
            }
            for (String memberId : changedMembers.stream().distinct().toList()) {
                ClusterMembership.Shard shard = nextShards.get(memberId);
                trimToRecordLimit(shard, shards.latestFencingToken() + 1);
                if (shard.equals(shards.shardOf(memberId))) {
                    continue;
                }
                transaction
                        .requireRevision(shard.storeKey(), watchCache.modRevision(shard.storeKey()))
                        .put(shard.storeKey(), shard.encode(), shards.member(memberId).leaseId());
            }
        } else {
            reassignJobs(transaction);
        }
        if (!transaction.isEmpty()) {
            commit(transaction, () -> {});
        }
    }

    /**
     * Gives machines without an owner, and those whose owner can't hear them, to live controllers
     * under a new term.
     */
    private boolean assignMachines(
            Map<String, ClusterMembership.Shard> nextShards,
            List<String> changedMembers,
            Transaction transaction) {
        long fencingToken = shards.latestFencingToken() + 1;
        boolean assignedAny = false;
        Map<String, Double> cpusByMember = new HashMap<>();
        nextShards.forEach((memberId, shard) -> cpusByMember.put(memberId, shardCpus(shard)));
        // A machine granted just while its return was recorded: it would never be released.
        nextShards.forEach(
                (memberId, shard) -> {
                    if (shard.fencingTokensByHost()
                            .keySet()
                            .removeIf(
                                    host ->
                                            machines.get(host) != null
                                                    && machines.get(host).releasing())) {
                        changedMembers.add(memberId);
                    }
                });
        MachineEdits edits = machines.beginEdits(transaction);
        for (MachineTable.Machine machine : machines.all()) {
            // Also while it boots: its worker then hears at its first report where to go.
            if (!machine.releasing() && shards.ownerOf(machine.host()) == null) {
                MisroutedWorker worker = misroutedWorkers.remove(machine.host());
                assignToShard(
                        nextShards,
                        cpusByMember,
                        changedMembers,
                        machine.host(),
                        worker == null ? null : worker.reportsTo(),
                        fencingToken);
                assignedAny = true;
            }
        }
        boolean mayRegister =
                mayRegisterUnexpectedMachines()
                        && eventLoop.nowMillis() - registeredAtMillis
                                >= LeadershipConstants.UNEXPECTED_MACHINE_BATCH_MILLIS;
        for (MisroutedWorker worker : new ArrayList<>(misroutedWorkers.values())) {
            if (!transaction.fits(2 + nextShards.size() + 1, 5, store.maxTransactionOperations())) {
                rerunRequested = true;
                break;
            }
            String owner = shards.ownerOf(worker.host());
            MachineTable.Machine machine = machines.get(worker.host());
            if (owner == null && machine == null && !mayRegister) {
                continue;
            }
            misroutedWorkers.remove(worker.host());
            if (owner != null) {
                // A worker that was sent away just before its machine was granted will find its
                // owner by itself.
                // And of one that was granted anew since, this may be an old word.
                if (worker.ownedElsewhere()
                        && !owner.equals(worker.reportsTo())
                        && nextShards.containsKey(worker.reportsTo())
                        && worker.fencingToken()
                                == shards.shardOf(owner).fencingTokensByHost().get(worker.host())) {
                    LOG.info(
                            "machine {} reports to {} instead of its owner {}; it moves",
                            worker.host(),
                            worker.reportsTo(),
                            owner);
                    if (nextShards.containsKey(owner)) {
                        nextShards.get(owner).fencingTokensByHost().remove(worker.host());
                        changedMembers.add(owner);
                    }
                    nextShards
                            .get(worker.reportsTo())
                            .fencingTokensByHost()
                            .put(worker.host(), fencingToken);
                    changedMembers.add(worker.reportsTo());
                    assignedAny = true;
                }
                continue;
            }
            if (machine != null
                    || nextShards.values().stream()
                            .anyMatch(
                                    shard ->
                                            shard.fencingTokensByHost()
                                                    .containsKey(worker.host()))) {
                continue;
            }
            registeredAtMillis = eventLoop.nowMillis();
            // Granted with the next look, when it is on record; until then it goes on reporting.
            edits.addUnexpected(
                    worker.host(),
                    worker.machineType(),
                    worker.zone(),
                    worker.spot(),
                    worker.address(),
                    eventLoop.wallClockMillis());
        }
        return assignedAny;
    }

    /**
     * Whether an unexpected machine may be taken in: not while it could be one of a rental that
     * isn't settled, or that a predecessor settled and the watch has not brought yet, for a machine
     * must never be on two records.
     */
    public boolean mayRegisterUnexpectedMachines() {
        return !provisioningPending.getAsBoolean()
                && watchCache.storeRevision() >= watchCache.modRevision(StoreKeys.LEADER);
    }

    /**
     * Whether machines that are on no record report here: until they are taken in, nothing should
     * be rented.
     */
    public boolean hasUnregisteredMachines() {
        return misroutedWorkers.keySet().stream().anyMatch(h -> machines.get(h) == null);
    }

    private void assignToShard(
            Map<String, ClusterMembership.Shard> nextShards,
            Map<String, Double> cpusByMember,
            List<String> changedMembers,
            String host,
            String preferredOwner,
            long fencingToken) {
        String newOwner =
                preferredOwner != null && nextShards.containsKey(preferredOwner)
                        ? preferredOwner
                        : nextShards.keySet().stream()
                                .min(Comparator.comparingDouble(cpusByMember::get))
                                .orElseThrow();
        nextShards.get(newOwner).fencingTokensByHost().put(host, fencingToken);
        cpusByMember.merge(newOwner, machineCpus(host), Double::sum);
        if (!changedMembers.contains(newOwner)) {
            changedMembers.add(newOwner);
        }
    }

    /**
     * Takes back what was just granted as far as a block's record would pass the store's limit for
     * a value.
     */
    private void trimToRecordLimit(ClusterMembership.Shard shard, long fencingToken) {
        int maxLength = (int) (settings.storeLimits().maxValueKb() * 1024);
        List<String> assignedHosts = new ArrayList<>(shard.fencingTokensByHost().keySet());
        assignedHosts.removeIf(
                assigned -> shard.fencingTokensByHost().get(assigned) != fencingToken);
        while (shard.encode().toString().length() > maxLength && !assignedHosts.isEmpty()) {
            String host = assignedHosts.remove(assignedHosts.size() - 1);
            LOG.info(
                    "machine {} stays without a controller: the block of {} does not fit one"
                            + " record",
                    host,
                    shard.ownerId());
            shard.fencingTokensByHost().remove(host);
        }
    }

    private double shardCpus(ClusterMembership.Shard shard) {
        return shard.fencingTokensByHost().keySet().stream().mapToDouble(this::machineCpus).sum();
    }

    private double machineCpus(String host) {
        MachineTable.Machine machine = machines.get(host);
        MachineTypeCatalog.MachineType machineType =
                machine == null ? null : catalog.get(machine.machineType());
        return machineType == null ? 1 : machineType.cpus();
    }

    /**
     * Moves a few machines to a controller that has been up for a while and holds much less than
     * its share.
     */
    private boolean rebalance(
            Map<String, ClusterMembership.Shard> nextShards, List<String> changedMembers) {
        if (!changedMembers.isEmpty() || nextShards.size() < 2) {
            return false;
        }
        ClusterMembership.Shard smallest =
                nextShards.values().stream()
                        .min(Comparator.comparingDouble(this::shardCpus))
                        .orElseThrow();
        ClusterMembership.Shard largest =
                nextShards.values().stream()
                        .max(Comparator.comparingDouble(this::shardCpus))
                        .orElseThrow();
        if (eventLoop.nowMillis()
                                - aliveSinceMillis.getOrDefault(
                                        smallest.ownerId(), eventLoop.nowMillis())
                        < LeadershipConstants.MIN_UPTIME_BEFORE_REBALANCE_MILLIS
                || eventLoop.nowMillis() - rebalancedAtMillis
                        < LeadershipConstants.REBALANCE_INTERVAL_MILLIS
                || largest.fencingTokensByHost().size() < 2) {
            return false;
        }
        double smallestCpus = shardCpus(smallest);
        double largestCpus = shardCpus(largest);
        int moved = 0;
        int maxMoves =
                Math.max(
                        LeadershipConstants.MIN_REBALANCE_MACHINES,
                        (int)
                                (largest.fencingTokensByHost().size()
                                        * LeadershipConstants.REBALANCE_MACHINES_FRACTION));
        for (String host : new ArrayList<>(largest.fencingTokensByHost().keySet())) {
            double hostCpus = machineCpus(host);
            if (moved >= maxMoves
                    || smallestCpus > largestCpus * LeadershipConstants.BALANCED_CAPACITY_FRACTION
                    || smallestCpus + hostCpus > largestCpus - hostCpus) {
                break;
            }
            largest.fencingTokensByHost().remove(host);
            smallest.fencingTokensByHost().put(host, shards.latestFencingToken() + 1);
            smallestCpus += hostCpus;
            largestCpus -= hostCpus;
            moved++;
        }
        if (moved > 0) {
            rebalancedAtMillis = eventLoop.nowMillis();
            changedMembers.add(smallest.ownerId());
            changedMembers.add(largest.ownerId());
        }
        return moved > 0;
    }

    // ---- allowances

    /** What a controller's jobs of a team use and still want. */
    private static final class TeamDemand {
        double usedCpus;
        double usedGpus;

        /** By urgency. */
        final double[] wantedCpus = new double[JobSpec.Priority.values().length];

        final double[] wantedGpus = new double[JobSpec.Priority.values().length];

        void addWanted(int priority, int taskCount, JobSpec spec) {
            wantedCpus[priority] += taskCount * spec.cpus();
            wantedGpus[priority] += taskCount * spec.gpus();
        }
    }

    /**
     * Splits each team's limit. A controller can't use more than the larger of its allowance and
     * its use, and use is known exactly up to the mirror's generation; so only what is free under
     * the allowances <em>on record</em> is given out, and what one write takes away can be given
     * out only by a later one, when the mirror has caught up.
     */
    private void distributeQuota(
            Map<String, ClusterMembership.Shard> nextShards, List<String> changedMembers) {
        for (ClusterMembership.Shard shard : shards.shards()) {
            if (watchCache.modRevision(shard.storeKey()) > watchCache.storeRevision()) {
                return;
            }
        }
        for (Settings.Team team : settings.teams().values()) {
            Map<String, TeamDemand> demandByMember = new LinkedHashMap<>();
            nextShards.keySet().forEach(memberId -> demandByMember.put(memberId, new TeamDemand()));
            double orphanedCpus = 0;
            double orphanedGpus = 0;
            for (Job job : jobs.all()) {
                if (!job.spec.team().equals(team.name())) {
                    continue;
                }
                double usedCpus = job.placedTaskCount() * job.spec.cpus();
                double usedGpus = job.placedTaskCount() * job.spec.gpus();
                TeamDemand memberDemand =
                        shards.shardOf(job.controllerId) == null
                                ? null
                                : demandByMember.get(job.controllerId);
                if (memberDemand == null) {
                    orphanedCpus += usedCpus;
                    orphanedGpus += usedGpus;
                    continue;
                }
                memberDemand.usedCpus += usedCpus;
                memberDemand.usedGpus += usedGpus;
                if (!job.isCancelled()) {
                    // What a job would be left behind by is wanted as much as normal work: of a
                    // team at its limit, low work would else get nothing.
                    int overdueTasks =
                            Math.min(
                                    job.pendingTaskCount(),
                                    Math.max(
                                            0,
                                            policy.requiredStartedTaskCount(
                                                            job, eventLoop.wallClockMillis())
                                                    - job.completedTaskCount()
                                                    - job.possiblyRunningTaskCount()));
                    memberDemand.addWanted(
                            Math.min(
                                    job.spec.priority().ordinal(),
                                    JobSpec.Priority.NORMAL.ordinal()),
                            overdueTasks,
                            job.spec);
                    memberDemand.addWanted(
                            job.spec.priority().ordinal(),
                            job.pendingTaskCount() - overdueTasks,
                            job.spec);
                }
            }
            // A block that isn't on our list of live controllers may still be in use.
            for (ClusterMembership.Shard shard : shards.shards()) {
                if (!nextShards.containsKey(shard.ownerId())) {
                    return;
                }
            }
            double[] cpuShares =
                    splitResource(
                            team.maxCpus(),
                            orphanedCpus,
                            nextShards.keySet(),
                            demandByMember,
                            true,
                            team.name());
            double[] gpuShares =
                    splitResource(
                            team.maxGpus(),
                            orphanedGpus,
                            nextShards.keySet(),
                            demandByMember,
                            false,
                            team.name());
            int index = 0;
            for (Map.Entry<String, ClusterMembership.Shard> entry : nextShards.entrySet()) {
                ClusterMembership.QuotaShare newShare =
                        new ClusterMembership.QuotaShare(cpuShares[index], gpuShares[index]);
                index++;
                ClusterMembership.QuotaShare oldShare = entry.getValue().quotaShare(team.name());
                if (Math.abs(newShare.cpus() - oldShare.cpus()) > 1e-6
                        || Math.abs(newShare.gpus() - oldShare.gpus()) > 1e-6) {
                    entry.getValue().quotaShares().put(team.name(), newShare);
                    changedMembers.add(entry.getKey());
                }
            }
        }
    }

    private double[] splitResource(
            double limit,
            double orphanedUse,
            java.util.Set<String> memberIds,
            Map<String, TeamDemand> demandByMember,
            boolean forCpus,
            String team) {
        double[] currentShares = new double[memberIds.size()];
        double[] usedByMember = new double[memberIds.size()];
        double[][] wantedByPriority = new double[memberIds.size()][];
        boolean hasNewMember = false;
        int index = 0;
        for (String memberId : memberIds) {
            TeamDemand memberDemand = demandByMember.get(memberId);
            ClusterMembership.QuotaShare quotaShare =
                    shards.shardOf(memberId) == null
                            ? ClusterMembership.QuotaShare.NONE
                            : shards.shardOf(memberId).quotaShare(team);
            hasNewMember |=
                    shards.shardOf(memberId) == null
                            || !shards.shardOf(memberId).quotaShares().containsKey(team);
            currentShares[index] = forCpus ? quotaShare.cpus() : quotaShare.gpus();
            usedByMember[index] = forCpus ? memberDemand.usedCpus : memberDemand.usedGpus;
            wantedByPriority[index] = forCpus ? memberDemand.wantedCpus : memberDemand.wantedGpus;
            index++;
        }
        return QuotaShares.split(
                limit, orphanedUse, currentShares, usedByMember, wantedByPriority, hasNewMember);
    }

    // ---- jobs of lost controllers

    /**
     * What a job's tasks use moves with it, beside what its new controller may use by its
     * allowance. A round that this one planned before it knew of the job must not land after it, so
     * the new controller's block is rewritten in the same change; jobs that use something go to one
     * heir at a time, for a block's record is large.
     */
    private void reassignJobs(Transaction transaction) {
        List<String> liveMembers =
                shards.shards().stream()
                        .map(ClusterMembership.Shard::ownerId)
                        .filter(memberId -> shards.member(memberId) != null)
                        .toList();
        if (liveMembers.isEmpty()) {
            return;
        }
        int nextMember = 0;
        String newOwner = liveMembers.get(nextNewOwner % liveMembers.size());
        List<Job> orphanedJobs = new ArrayList<>();
        jobs.all().stream()
                .filter(job -> shards.member(job.controllerId) == null)
                .forEach(orphanedJobs::add);
        // Those first that have something to be done; what runs needs a controller only when
        // something happens to it.
        orphanedJobs.sort(
                Comparator.comparing((Job job) -> job.pendingTaskCount() == 0 && !job.isCancelled())
                        .thenComparing(job -> job.spec.priority()));
        int maxWrites = store.affordableWrites();
        for (Job job : orphanedJobs) {
            boolean hasPlacements = job.placedTaskCount() > 0;
            ClusterMembership.Shard newOwnerShard = shards.shardOf(newOwner);
            int writes = hasPlacements && !transaction.writesKey(newOwnerShard.storeKey()) ? 2 : 1;
            if (transaction.operationCount() + writes > maxWrites
                    || !transaction.fits(writes, 2 + writes, store.maxTransactionOperations())) {
                break;
            }
            // Only after the lost controller's block is gone: then nothing it placed can be unknown
            // to us.
            if (shards.shardOf(job.controllerId) == null) {
                transaction
                        .requireRevision(job.storeKey(), watchCache.modRevision(job.storeKey()))
                        .requireRevision(StoreKeys.SHARD_PREFIX + job.controllerId, 0)
                        .put(
                                job.storeKey(),
                                job.encode(
                                        hasPlacements
                                                ? newOwner
                                                : liveMembers.get(
                                                        nextMember++ % liveMembers.size()),
                                        job.cancelledAtEpochMillis));
                if (writes > 1) {
                    nextNewOwner++;
                    transaction
                            .requireRevision(
                                    newOwnerShard.storeKey(),
                                    watchCache.modRevision(newOwnerShard.storeKey()))
                            .put(
                                    newOwnerShard.storeKey(),
                                    newOwnerShard.encode(),
                                    shards.member(newOwner).leaseId());
                }
            }
        }
    }
}
