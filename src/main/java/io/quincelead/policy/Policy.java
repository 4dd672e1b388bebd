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
 * What operators' records mean for jobs: their effective priority, how soon and how widely they
 * should run, and the CPUs that the calendar will need. All it says is a function of the records
 * alone, so every controller says the same at equal generations.
 */
public final class Policy {
    private static final EffectivePriority DEFAULT_PRIORITY =
            new EffectivePriority(null, PolicyConstants.DEFAULT_RANK, null, 0);

    /** Keeps a share of replicas that is a whole number from being rounded below it. */
    private static final double ROUNDING_SLACK = 1e-9;

    private final WatchCache watchCache;
    private final Map<Job, EffectivePriority> priorityByJob = new IdentityHashMap<>();
    private final PolicyRecords records;

    /**
     * Follows the operators' records.
     *
     * @param watchCache calls back on the event loop
     */
    public Policy(WatchCache watchCache) {
        this.watchCache = watchCache;
        this.records = new PolicyRecords(watchCache, priorityByJob::clear);
    }

    PolicyRecords records() {
        return records;
    }

    /** Generation of the calendar that is in force here. */
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

    /** The priority classes in force here. */
    public PriorityClasses activeClasses() {
        return records.activeClasses();
    }

    /**
     * Adds preconditions by which the transaction fails if other generations of the classes or the
     * calendar are in force when it is carried out than those it was decided by.
     */
    public void requireCurrentPolicy(Transaction txn) {
        txn.requireRevision(StoreKeys.CLASSES_HEAD, watchCache.modRevision(StoreKeys.CLASSES_HEAD))
                .requireRevision(
                        StoreKeys.CALENDAR_HEAD, watchCache.modRevision(StoreKeys.CALENDAR_HEAD));
    }

    /**
     * The job's position among waiting work. Of two open windows that cover it, the one that is
     * published first counts.
     */
    public EffectivePriority effectivePriorityOf(Job job) {
        if (!hasPriorityRules()) {
            return DEFAULT_PRIORITY;
        }
        EffectivePriority priority = priorityByJob.get(job);
        if (priority == null) {
            priority = computePriority(job);
            if (priorityByJob.size() >= ApiConstants.MAX_OPEN_JOBS) {
                priorityByJob.clear();
            }
            priorityByJob.put(job, priority);
        }
        return priority;
    }

    private EffectivePriority computePriority(Job job) {
        PriorityClass jobClass = records.activeClasses().classOf(job.spec);
        ScheduledOccurrence first = null;
        for (ScheduledOccurrence occurrence : records.priorityOccurrences()) {
            if ((first == null || occurrence.publicationMillis() < first.publicationMillis())
                    && occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                first = occurrence;
            }
        }
        if (jobClass == null && first == null) {
            return DEFAULT_PRIORITY;
        }
        return new EffectivePriority(
                jobClass,
                jobClass == null ? PolicyConstants.DEFAULT_RANK : jobClass.rank(),
                first,
                first == null ? 0 : first.publicationMillis());
    }

    /**
     * How many of the job's tasks must have started by now for the job not to starve, by the bounds
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
     * Adds a covered job's completion to the transaction that writes the job's final record: the
     * final record says when it was, and what no occurrence's record names yet is recorded beside
     * it, so that every covered job is counted though no leader ever saw it.
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
     * How many of the job's tasks may be in one zone: by its own spread and, for a service, by the
     * share of replicas that its class wants left when any zone is lost.
     */
    public int maxTasksPerZone(Job job) {
        int taskCount = job.spec.taskCount();
        int maxTasks = job.spec.zoneSpread() ? (taskCount + 1) / 2 : taskCount;
        PriorityClass jobClass = effectivePriorityOf(job).priorityClass();
        if (jobClass != null
                && jobClass.minShareAfterZoneLoss() > 0
                && job.spec.isService()
                && !job.spec.zoneAffinity()
                && job.spec.zone() == null) {
            double mayBeLost = taskCount * (1 - jobClass.minShareAfterZoneLoss());
            maxTasks =
                    Math.min(maxTasks, Math.max(1, (int) Math.floor(mayBeLost + ROUNDING_SLACK)));
        }
        return maxTasks;
    }

    /**
     * How long the job's tasks are left on a silent machine in a zone that can't be reached, in ms;
     * negative: its class doesn't say.
     */
    public double unreachableZoneTimeoutMillis(Job job) {
        PriorityClass jobClass = effectivePriorityOf(job).priorityClass();
        return jobClass == null || jobClass.unreachableZoneTimeoutSeconds() < 0
                ? -1
                : jobClass.unreachableZoneTimeoutSeconds() * 1000;
    }

    /** The occurrences that cover the job and whose covered work ranks ahead now. */
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
     * CPUs that windows which open soon or have just opened will need, by what earlier ones took:
     * the median of their peaks, less what their covered work uses or waits for already.
     *
     * @param jobs the open jobs
     * @param wallClockMillis now, in ms since 1970
     * @param provisioningSeconds how long before the opening a machine must be rented to be up
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
