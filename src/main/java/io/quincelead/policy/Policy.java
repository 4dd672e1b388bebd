package io.quincelead.policy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Applies operators' records to jobs: their effective priority, how soon they should start, how
 * widely they are spread, and the CPUs that the calendar will need. All rules are functions of the
 * records alone, so all controllers apply the same ones at equal generations.
 */
public final class Policy {
    private static final EffectivePriority DEFAULT_PRIORITY =
            new EffectivePriority(null, PolicyConstants.DEFAULT_RANK, null, 0);

    /** Keeps a share that comes to a whole number of replicas from being rounded down below it. */
    private static final double ROUNDING_SLACK = 1e-9;

    private final WatchCache watchCache;
    private final Map<Job, EffectivePriority> effectivePriorityByJob = new IdentityHashMap<>();
    private final PolicyRecords records;

    /**
     * Subscribes to the operators' records.
     *
     * @param watchCache delivers the records on the event loop
     */
    public Policy(WatchCache watchCache) {
        this.watchCache = watchCache;
        this.records = new PolicyRecords(watchCache, effectivePriorityByJob::clear);
    }

    PolicyRecords records() {
        return records;
    }

    /** Generation of the calendar that this controller has in force. */
    public long calendarGeneration() {
        return records.calendarHead().generation();
    }

    /** Whether this controller can read the classes in force, so that it may schedule by them. */
    public boolean isActiveGenerationReadable() {
        return records.unreadableGeneration() == 0;
    }

    /** Whether any operators' record exists that work is ranked by. */
    public boolean hasPriorityRules() {
        return records.hasPriorityRules();
    }

    /** The priority classes that this controller has in force. */
    public PriorityClasses activeClasses() {
        return records.activeClasses();
    }

    /**
     * Adds preconditions by which the transaction fails if the classes or the calendar have changed
     * since it was decided.
     */
    public void requireCurrentPolicy(Transaction txn) {
        txn.requireRevision(StoreKeys.CLASSES_HEAD, watchCache.modRevision(StoreKeys.CLASSES_HEAD))
                .requireRevision(
                        StoreKeys.CALENDAR_HEAD, watchCache.modRevision(StoreKeys.CALENDAR_HEAD));
    }

    /**
     * The job's position among waiting work. Of several open windows that cover the job, the one
     * with the earliest publication counts.
     */
    public EffectivePriority effectivePriorityOf(Job job) {
        if (!hasPriorityRules()) {
            return DEFAULT_PRIORITY;
        }
        EffectivePriority priority = effectivePriorityByJob.get(job);
        if (priority == null) {
            priority = computePriority(job);
            if (effectivePriorityByJob.size() >= ApiConstants.MAX_OPEN_JOBS) {
                effectivePriorityByJob.clear();
            }
            effectivePriorityByJob.put(job, priority);
        }
        return priority;
    }

    private EffectivePriority computePriority(Job job) {
        PriorityClass priorityClass = records.activeClasses().classOf(job.spec);
        ScheduledOccurrence earliest = null;
        for (ScheduledOccurrence occurrence : records.priorityOccurrences()) {
            if ((earliest == null || occurrence.publicationMillis() < earliest.publicationMillis())
                    && occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                earliest = occurrence;
            }
        }
        if (priorityClass == null && earliest == null) {
            return DEFAULT_PRIORITY;
        }
        return new EffectivePriority(
                priorityClass,
                priorityClass == null ? PolicyConstants.DEFAULT_RANK : priorityClass.rank(),
                earliest,
                earliest == null ? 0 : earliest.publicationMillis());
    }

    /**
     * How many of the job's tasks must have started by now for the job not to starve, by the limits
     * of its class.
     *
     * @param wallClockMillis now, in ms since 1970
     */
    public int requiredStartedTaskCount(Job job, long wallClockMillis) {
        EffectivePriority priority = effectivePriorityOf(job);
        return job.requiredStartedTaskCount(
                wallClockMillis, priority.startWithinSeconds(), priority.minStartedShare());
    }

    /**
     * Adds a covered job's completion to the transaction that writes the job's final record. The
     * final record gets the time of completion. If the records of some covering occurrences don't
     * list the job yet, an uncounted completion is written as well, so that every covered job is
     * counted even if no leader ever saw it.
     *
     * @param finalRecord gets the time of the completion
     * @param wallClockMillis now, in ms since 1970
     */
    public void recordCompletion(
            Job job, ObjectNode finalRecord, Transaction txn, long wallClockMillis) {
        List<ScheduledOccurrence> covering = occurrencesCovering(job);
        if (covering.isEmpty()) {
            return;
        }
        finalRecord.put("t", wallClockMillis);
        String jobId = job.spec.jobId();
        List<String> uncountedKeys =
                covering.stream()
                        .filter(occurrence -> !occurrence.openJobIds().contains(jobId))
                        .map(ScheduledOccurrence::key)
                        .toList();
        if (!uncountedKeys.isEmpty()) {
            txn.put(
                    StoreKeys.UNCOUNTED_COMPLETION_PREFIX + jobId,
                    CalendarCodec.encodeCompletion(
                            new UncountedCompletion(
                                    finalRecord.path("s").asText(),
                                    wallClockMillis,
                                    uncountedKeys)));
        }
    }

    /** Whether the window of any occurrence is open. */
    public boolean isAnyWindowOpen() {
        return records.priorityOccurrences().stream()
                .anyMatch(occurrence -> occurrence.state() == ScheduledOccurrence.State.OPEN);
    }

    /**
     * How many of the job's tasks may be in one zone, by the job's own spread and, for a service,
     * by the share of replicas that its class requires to remain when any zone is lost.
     */
    public int maxTasksPerZone(Job job) {
        int taskCount = job.spec.taskCount();
        int maxTasks = job.spec.zoneSpread() ? (taskCount + 1) / 2 : taskCount;
        PriorityClass priorityClass = effectivePriorityOf(job).priorityClass();
        if (priorityClass != null
                && priorityClass.minShareAfterZoneLoss() > 0
                && job.spec.isService()
                && !job.spec.zoneAffinity()
                && job.spec.zone() == null) {
            double maxLostTasks = taskCount * (1 - priorityClass.minShareAfterZoneLoss());
            maxTasks =
                    Math.min(
                            maxTasks, Math.max(1, (int) Math.floor(maxLostTasks + ROUNDING_SLACK)));
        }
        return maxTasks;
    }

    /**
     * How long the job's tasks are left on a silent machine in an unreachable zone, in ms;
     * negative: the job's class doesn't set it.
     */
    public double unreachableZoneTimeoutMillis(Job job) {
        PriorityClass priorityClass = effectivePriorityOf(job).priorityClass();
        return priorityClass == null || priorityClass.unreachableZoneTimeoutSeconds() < 0
                ? -1
                : priorityClass.unreachableZoneTimeoutSeconds() * 1000;
    }

    /** The occurrences that cover the job and raise the priority of covered work now. */
    private List<ScheduledOccurrence> occurrencesCovering(Job job) {
        List<ScheduledOccurrence> covering = new ArrayList<>();
        for (ScheduledOccurrence occurrence : records.priorityOccurrences()) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                covering.add(occurrence);
            }
        }
        return covering;
    }

    /**
     * CPUs that windows which open soon or have just opened are expected to need: the median peak
     * of the entry's earlier occurrences, less what covered work already uses or waits for.
     *
     * @param jobs the open jobs
     * @param wallClockMillis now, in ms since 1970
     * @param provisioningSeconds how long before the opening a machine must be provisioned to be up
     *     by then
     */
    public double forecastCpus(
            Collection<Job> jobs, long wallClockMillis, double provisioningSeconds) {
        double totalCpus = 0;
        for (ScheduledOccurrence occurrence : records.occurrences().values()) {
            if (needsReserve(occurrence, wallClockMillis, provisioningSeconds)) {
                OptionalDouble expected = records.historyOf(occurrence.entryName).expectedCpus();
                if (expected.isPresent()) {
                    totalCpus +=
                            Math.max(0, expected.getAsDouble() - requestedCpus(occurrence, jobs));
                }
            }
        }
        return totalCpus;
    }

    private static boolean needsReserve(
            ScheduledOccurrence occurrence, long wallClockMillis, double provisioningSeconds) {
        if (wallClockMillis >= occurrence.publicationMillis()) {
            return false;
        }
        return switch (occurrence.state()) {
            case PLANNED ->
                    wallClockMillis >= occurrence.opensAtMillis() - provisioningSeconds * 1000;
            case OPEN ->
                    wallClockMillis
                            < occurrence.opensAtMillis()
                                    + PolicyConstants.CALENDAR_RESERVE_SECONDS * 1000;
            default -> false;
        };
    }

    private static double requestedCpus(ScheduledOccurrence occurrence, Collection<Job> jobs) {
        double cpus = 0;
        for (Job job : jobs) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis()) && !job.isCancelled()) {
                cpus += (job.possiblyRunningTaskCount() + job.waitingTaskCount()) * job.spec.cpus();
            }
        }
        return cpus;
    }
}
