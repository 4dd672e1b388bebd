package io.quincelead.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' records as this controller has them from the mirror: the ruling generation of the
 * priority classes, the calendar and its occurrences. All it says is a function of the records
 * alone, so every controller says the same at equal generations.
 */
public final class Policy {
    private static final Logger LOG = LoggerFactory.getLogger(Policy.class);
    private static final EffectivePriority DEFAULT_PRIORITY =
            new EffectivePriority(null, PolicyConstants.DEFAULT_RANK, null, 0);

    /**
     * The head of the classes. {@code rules}: the generation in force; {@code was}: the one before
     * it that all could read; {@code next}: proposed; {@code last}: the highest number ever given.
     */
    record ClassesHead(
            long activeGeneration,
            long previousGeneration,
            long proposedGeneration,
            long highestGeneration,
            Map<String, Long> generationByChangeId,
            long rejectedGeneration,
            String rejectionReason) {}

    static final ClassesHead EMPTY_CLASSES_HEAD = new ClassesHead(0, 0, 0, 0, Map.of(), 0, "");

    /** Generation of the calendar, and the operators' last changes of it. */
    record CalendarHead(long generation, List<String> recentChangeIds) {
        /** The next generation, with the change that makes it; null: the leader's own. */
        ObjectNode encodeNext(String changeId) {
            ObjectNode node = WireFormat.newMap().put("g", generation + 1);
            ArrayNode changeIdNodes = node.putArray("changes");
            recentChangeIds.stream()
                    .skip(
                            changeId == null
                                    ? 0
                                    : Math.max(
                                            0,
                                            recentChangeIds.size()
                                                    - PolicyConstants.MAX_REMEMBERED_CHANGES
                                                    + 1))
                    .forEach(changeIdNodes::add);
            if (changeId != null) {
                changeIdNodes.add(changeId);
            }
            return node;
        }
    }

    static final CalendarHead EMPTY_CALENDAR_HEAD = new CalendarHead(0, List.of());

    /**
     * What is remembered of an entry: up to when its occurrences are closed, and the peaks of the
     * last ones in CPUs.
     */
    record EntryHistory(long closedThroughMillis, List<Double> peakCpus) {}

    private final WatchCache watchCache;
    private ClassesHead classesHead = EMPTY_CLASSES_HEAD;
    private CalendarHead calendarHead = EMPTY_CALENDAR_HEAD;
    private final Map<Long, TreeMap<Integer, String>> classesParts = new TreeMap<>();
    private final Map<String, Long> unreadableGenerationByMember = new TreeMap<>();
    private final Map<String, CalendarEntry> entries = new TreeMap<>();
    private final Map<String, ScheduledOccurrence> occurrences = new TreeMap<>();

    /** Those whose window is open. */
    private final List<ScheduledOccurrence> priorityOccurrences = new ArrayList<>();

    private final Map<String, EntryHistory> historyByEntry = new HashMap<>();
    private final Map<String, JsonNode> uncountedCompletions = new TreeMap<>();
    private PriorityClasses classes = PriorityClasses.NONE;

    /** Generation of the classes that can't be read here; 0: none. */
    private long unreadableGeneration;

    private long version;
    private final Map<Job, EffectivePriority> priorityByJob = new java.util.IdentityHashMap<>();

    public Policy(WatchCache watchCache) {
        this.watchCache = watchCache;
        subscribe(
                StoreKeys.CLASSES_HEAD,
                (rest, v) -> classesHead = v == null ? EMPTY_CLASSES_HEAD : decodeClassesHead(v));
        subscribe(StoreKeys.CLASSES_PART_PREFIX, this::onClassesPart);
        subscribe(
                StoreKeys.CLASSES_OBJECTION_PREFIX,
                (member, v) ->
                        putOrRemove(
                                unreadableGenerationByMember,
                                member,
                                v == null ? null : v.path("g").asLong()));
        subscribe(StoreKeys.CALENDAR_ENTRY_PREFIX, this::onEntry);
        watchCache.addPrefixListener(
                StoreKeys.OCCURRENCE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long stamp) {
                        onOccurrence(key.substring(StoreKeys.OCCURRENCE_PREFIX.length()), value);
                    }

                    @Override
                    public void onRemove(String key) {
                        onOccurrence(key.substring(StoreKeys.OCCURRENCE_PREFIX.length()), null);
                    }
                });
        subscribe(
                StoreKeys.ENTRY_HISTORY_PREFIX,
                (name, v) ->
                        putOrRemove(historyByEntry, name, v == null ? null : decodeHistory(v)));
        subscribe(
                StoreKeys.UNCOUNTED_COMPLETION_PREFIX,
                (id, v) -> putOrRemove(uncountedCompletions, id, v));
        subscribe(
                StoreKeys.CALENDAR_HEAD,
                (rest, v) ->
                        calendarHead = v == null ? EMPTY_CALENDAR_HEAD : decodeCalendarHead(v));
        // Only when a whole batch is in: a generation's head and its parts come together.
        watchCache.addChangeListener(this::refreshClasses);
    }

    private interface RecordConsumer {
        void accept(String keySuffix, JsonNode value);
    }

    private void subscribe(String prefix, RecordConsumer consumer) {
        watchCache.addPrefixListener(
                prefix,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long stamp) {
                        applyChange(() -> consumer.accept(key.substring(prefix.length()), value));
                    }

                    @Override
                    public void onRemove(String key) {
                        applyChange(() -> consumer.accept(key.substring(prefix.length()), null));
                    }
                });
    }

    private void applyChange(Runnable change) {
        change.run();
        version++;
        priorityByJob.clear();
    }

    private static <V> void putOrRemove(Map<String, V> map, String key, V value) {
        if (value == null) {
            map.remove(key);
        } else {
            map.put(key, value);
        }
    }

    private static ClassesHead decodeClassesHead(JsonNode node) {
        Map<String, Long> generationByChangeId = new java.util.LinkedHashMap<>();
        node.path("changes")
                .forEach(c -> generationByChangeId.put(c.path(0).asText(), c.path(1).asLong()));
        return new ClassesHead(
                node.path("rules").asLong(),
                node.path("was").asLong(),
                node.path("next").asLong(),
                node.path("last").asLong(),
                generationByChangeId,
                node.path("refused").asLong(),
                node.path("why").asText());
    }

    private static CalendarHead decodeCalendarHead(JsonNode node) {
        List<String> changeIds = new ArrayList<>();
        node.path("changes").forEach(c -> changeIds.add(c.asText()));
        return new CalendarHead(node.path("g").asLong(), changeIds);
    }

    private void onClassesPart(String keySuffix, JsonNode node) {
        int slash = keySuffix.indexOf('/');
        try {
            long generation = Long.parseLong(keySuffix.substring(0, slash));
            int index = Integer.parseInt(keySuffix.substring(slash + 1));
            TreeMap<Integer, String> partTexts =
                    classesParts.computeIfAbsent(generation, k -> new TreeMap<>());
            if (node == null) {
                partTexts.remove(index);
            } else {
                partTexts.put(index, node.path("t").asText());
            }
            if (partTexts.isEmpty()) {
                classesParts.remove(generation);
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            LOG.error(
                    "the record {}{} does not belong to any classes; it is left alone",
                    StoreKeys.CLASSES_PART_PREFIX,
                    keySuffix);
        }
    }

    private void onEntry(String name, JsonNode node) {
        try {
            putOrRemove(entries, name, node == null ? null : CalendarEntry.decode(node, name));
        } catch (InvalidRecordException e) {
            // The entry as it was goes on ruling; occurrences under way hold what they cover.
            LOG.error(
                    "the calendar's entry {} can't be read ({}); as it was it stays in force",
                    name,
                    e.getMessage());
        }
    }

    private void onOccurrence(String keySuffix, JsonNode node) {
        int slash = keySuffix.lastIndexOf('/');
        if (slash < 0) {
            return;
        }
        ScheduledOccurrence before = occurrences.get(keySuffix);
        try {
            putOrRemove(
                    occurrences,
                    keySuffix,
                    node == null
                            ? null
                            : ScheduledOccurrence.decode(
                                    keySuffix.substring(0, slash),
                                    keySuffix.substring(slash + 1),
                                    node));
        } catch (InvalidRecordException e) {
            LOG.error(
                    "the occurrence {} can't be read ({}); as it was it stays in force",
                    keySuffix,
                    e.getMessage());
        }
        ScheduledOccurrence now = occurrences.get(keySuffix);
        // Counts are written often and change nobody's standing.
        boolean samePriority =
                before != null
                        && now != null
                        && before.state() == now.state()
                        && before.publicationMillis == now.publicationMillis
                        && before.selectors.equals(now.selectors);
        priorityOccurrences.clear();
        occurrences.values().stream()
                .filter(ScheduledOccurrence::raisesPriority)
                .forEach(priorityOccurrences::add);
        if (!samePriority) {
            applyChange(() -> {});
        }
    }

    private static EntryHistory decodeHistory(JsonNode node) {
        List<Double> peakCpus = new ArrayList<>();
        node.path("cpus").forEach(p -> peakCpus.add(p.asDouble()));
        return new EntryHistory(node.path("through").asLong(), peakCpus);
    }

    /**
     * Reads the ruling generation, once its parts are here. Until then nothing is placed by another
     * one.
     */
    private void refreshClasses() {
        PriorityClasses before = classes;
        loadActiveClasses();
        if (before != classes) {
            LOG.info("priority classes: generation {} rules", classes.generation());
            version++;
            priorityByJob.clear();
        }
    }

    private void loadActiveClasses() {
        if (classesHead.activeGeneration == classes.generation()) {
            unreadableGeneration = 0;
            return;
        }
        if (classesHead.activeGeneration == 0) {
            classes = PriorityClasses.NONE;
            unreadableGeneration = 0;
            return;
        }
        try {
            classes = loadGeneration(classesHead.activeGeneration);
            unreadableGeneration = 0;
        } catch (InvalidRecordException e) {
            if (unreadableGeneration != classesHead.activeGeneration) {
                LOG.error(
                        "generation {} of the priority classes can't be read here ({}); nothing is"
                                + " placed until one can be read",
                        classesHead.activeGeneration,
                        e.getMessage());
                unreadableGeneration = classesHead.activeGeneration;
            }
        }
    }

    /** A generation as its parts say; refused while one is missing. */
    PriorityClasses loadGeneration(long generation) throws InvalidRecordException {
        TreeMap<Integer, String> partTexts = classesParts.getOrDefault(generation, new TreeMap<>());
        String text = String.join("", partTexts.values());
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new InvalidRecordException(
                    "generation " + generation, "its " + partTexts.size() + " parts are no JSON");
        }
        return PriorityClasses.decode(root, generation, "generation " + generation);
    }

    Collection<Long> recordedGenerations() {
        return classesParts.keySet();
    }

    Collection<String> partKeys(long generation) {
        return classesParts.getOrDefault(generation, new TreeMap<>()).keySet().stream()
                .map(i -> StoreKeys.CLASSES_PART_PREFIX + generation + "/" + i)
                .toList();
    }

    ClassesHead classesHead() {
        return classesHead;
    }

    CalendarHead calendarHead() {
        return calendarHead;
    }

    /** Generation of the calendar that is in force here. */
    public long calendarGeneration() {
        return calendarHead.generation;
    }

    Map<String, Long> unreadableGenerationByMember() {
        return unreadableGenerationByMember;
    }

    /** The generation that can't be read here; 0: all can. */
    long unreadableGeneration() {
        return unreadableGeneration;
    }

    /** Whether this controller knows the classes it would place by. */
    public boolean isReady() {
        return unreadableGeneration == 0;
    }

    /** Whether any operators' record exists that work is ranked by. */
    public boolean isInForce() {
        return classesHead.activeGeneration != 0 || !occurrences.isEmpty();
    }

    public PriorityClasses activeClasses() {
        return classes;
    }

    Map<String, CalendarEntry> entries() {
        return entries;
    }

    Map<String, ScheduledOccurrence> occurrences() {
        return occurrences;
    }

    EntryHistory historyOf(String entry) {
        return historyByEntry.getOrDefault(entry, new EntryHistory(0, List.of()));
    }

    Map<String, JsonNode> uncountedCompletions() {
        return uncountedCompletions;
    }

    /** Rises with every change of an operators' record. */
    public long version() {
        return version;
    }

    /**
     * The change then fails if it was decided by another generation of classes or calendar than
     * rules when it is carried out.
     */
    public void requireCurrentPolicy(Transaction txn) {
        txn.requireRevision(StoreKeys.CLASSES_HEAD, watchCache.modRevision(StoreKeys.CLASSES_HEAD))
                .requireRevision(
                        StoreKeys.CALENDAR_HEAD, watchCache.modRevision(StoreKeys.CALENDAR_HEAD));
    }

    /** Of two open windows that cover a job, the one that is published first counts. */
    public EffectivePriority priorityOf(Job job) {
        if (!isInForce()) {
            return DEFAULT_PRIORITY;
        }
        EffectivePriority priority = priorityByJob.get(job);
        if (priority == null) {
            JobClass jobClass = classes.classOf(job.spec);
            ScheduledOccurrence first = null;
            for (ScheduledOccurrence occurrence : priorityOccurrences) {
                if ((first == null || occurrence.publicationMillis < first.publicationMillis)
                        && occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                    first = occurrence;
                }
            }
            priority =
                    jobClass == null && first == null
                            ? DEFAULT_PRIORITY
                            : new EffectivePriority(
                                    jobClass,
                                    jobClass == null
                                            ? PolicyConstants.DEFAULT_RANK
                                            : jobClass.rank(),
                                    first,
                                    first == null ? 0 : first.publicationMillis);
            if (priorityByJob.size() >= ApiConstants.MAX_OPEN_JOBS) {
                priorityByJob.clear();
            }
            priorityByJob.put(job, priority);
        }
        return priority;
    }

    /**
     * How many of the job's tasks must have begun by now, so that nobody is left behind by the
     * bounds of its class.
     */
    public int requiredStartedTaskCount(Job job, long wallClockMillis) {
        EffectivePriority priority = priorityOf(job);
        return job.requiredStartedTaskCount(
                wallClockMillis, priority.startWithinSeconds(), priority.minStartedShare());
    }

    /**
     * A covered job's end: its final record says when, and what no occurrence's record names yet is
     * recorded beside it in the same change, so that every covered job is counted though no leader
     * ever saw it.
     */
    public void recordCompletion(
            Job job, ObjectNode finalRecord, Transaction txn, long wallClockMillis) {
        List<ScheduledOccurrence> covering = occurrencesCovering(job);
        if (covering.isEmpty()) {
            return;
        }
        finalRecord.put("t", wallClockMillis);
        List<ScheduledOccurrence> missing =
                covering.stream().filter(o -> !o.openJobIds.contains(job.spec.jobId())).toList();
        if (!missing.isEmpty()) {
            ObjectNode uncountedCompletion =
                    WireFormat.newMap()
                            .put("s", finalRecord.path("s").asText())
                            .put("t", wallClockMillis);
            ArrayNode occurrenceNodes = uncountedCompletion.putArray("occ");
            missing.forEach(o -> occurrenceNodes.add(o.entryName + "/" + o.date));
            txn.put(StoreKeys.UNCOUNTED_COMPLETION_PREFIX + job.spec.jobId(), uncountedCompletion);
        }
    }

    /** Whether any window is open. */
    public boolean isAnyWindowOpen() {
        return priorityOccurrences.stream()
                .anyMatch(o -> o.state() == ScheduledOccurrence.State.OPEN);
    }

    /**
     * How many of a service's replicas may be in one zone, by the job and by the part that its
     * class wants left when any zone is lost.
     */
    public int maxTasksPerZone(Job job) {
        int taskCount = job.spec.taskCount();
        int maxTasks = job.spec.zoneSpread() ? (taskCount + 1) / 2 : taskCount;
        JobClass jobClass = priorityOf(job).jobClass();
        if (jobClass != null
                && jobClass.minShareAfterZoneLoss() > 0
                && job.spec.isService()
                && !job.spec.zoneAffinity()
                && job.spec.zone() == null) {
            maxTasks =
                    Math.min(
                            maxTasks,
                            Math.max(
                                    1,
                                    (int)
                                            Math.floor(
                                                    taskCount
                                                                    * (1
                                                                            - jobClass
                                                                                    .minShareAfterZoneLoss())
                                                            + 1e-9)));
        }
        return maxTasks;
    }

    /**
     * ms for which the silence of a machine with this job's tasks is borne in a zone that is cut
     * off; negative: as without operators' word.
     */
    public double unreachableZonePatienceMillis(Job job) {
        JobClass jobClass = priorityOf(job).jobClass();
        return jobClass == null || jobClass.unreachableZonePatienceSeconds() < 0
                ? -1
                : jobClass.unreachableZonePatienceSeconds() * 1000;
    }

    /** The occurrences whose window is open and that cover the job. */
    List<ScheduledOccurrence> occurrencesCovering(Job job) {
        List<ScheduledOccurrence> occurrencesCovering = new ArrayList<>();
        for (ScheduledOccurrence occurrence : priorityOccurrences) {
            if (occurrence.covers(job.spec, job.acceptedAtEpochMillis())) {
                occurrencesCovering.add(occurrence);
            }
        }
        return occurrencesCovering;
    }

    /**
     * CPUs that windows which open soon or have just opened will need, by what earlier ones took:
     * the middle of their peaks, less what their covered work uses already. {@code aheadS}: how
     * long before the opening a machine must be rented to be up.
     */
    public double forecastCpus(
            Collection<Job> jobs, long wallClockMillis, double provisioningSeconds) {
        double totalCpus = 0;
        for (ScheduledOccurrence occurrence : occurrences.values()) {
            boolean opensSoon =
                    occurrence.state() == ScheduledOccurrence.State.PLANNED
                            && wallClockMillis
                                    >= occurrence.opensAtMillis - provisioningSeconds * 1000
                            && wallClockMillis < occurrence.publicationMillis;
            boolean justOpened =
                    occurrence.state() == ScheduledOccurrence.State.OPEN
                            && wallClockMillis
                                    < occurrence.opensAtMillis
                                            + PolicyConstants.CALENDAR_RESERVE_SECONDS * 1000
                            && wallClockMillis < occurrence.publicationMillis;
            List<Double> peakCpus = historyOf(occurrence.entryName).peakCpus;
            if ((opensSoon || justOpened) && !peakCpus.isEmpty()) {
                double usedCpus = 0;
                for (Job job : jobs) {
                    if (occurrence.covers(job.spec, job.acceptedAtEpochMillis())
                            && !job.isCancelled()) {
                        usedCpus +=
                                (job.possiblyRunningTaskCount() + job.waitingTaskCount())
                                        * job.spec.cpus();
                    }
                }
                totalCpus +=
                        Math.max(
                                0,
                                peakCpus.stream().sorted().toList().get(peakCpus.size() / 2)
                                        - usedCpus);
            }
        }
        return totalCpus;
    }
}
