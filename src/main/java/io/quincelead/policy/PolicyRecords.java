package io.quincelead.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' records, decoded from the watch cache. If a record can't be read, its previous
 * version stays in force.
 */
final class PolicyRecords {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyRecords.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Runnable onPriorityChange;
    private ClassesHead classesHead = ClassesHead.EMPTY;
    private CalendarHead calendarHead = CalendarHead.EMPTY;
    private final Map<Long, TreeMap<Integer, String>> classesParts = new TreeMap<>();
    private final Map<String, Long> unreadableGenerationByMember = new TreeMap<>();
    private final Map<String, CalendarEntry> entries = new TreeMap<>();
    private final Map<String, ScheduledOccurrence> occurrences = new TreeMap<>();
    private final List<ScheduledOccurrence> priorityOccurrences = new ArrayList<>();
    private final Map<String, CalendarEntry> entriesView = Collections.unmodifiableMap(entries);
    private final Map<String, ScheduledOccurrence> occurrencesView =
            Collections.unmodifiableMap(occurrences);
    private final List<ScheduledOccurrence> priorityOccurrencesView =
            Collections.unmodifiableList(priorityOccurrences);
    private final Map<String, EntryHistory> historyByEntry = new HashMap<>();
    private final Map<String, UncountedCompletion> uncountedCompletions = new TreeMap<>();
    private PriorityClasses activeClasses = PriorityClasses.NONE;
    private long unreadableGeneration;
    private long priorityVersion;

    /**
     * @param onPriorityChange runs after each change that can change a job's effective priority
     */
    PolicyRecords(WatchCache watchCache, Runnable onPriorityChange) {
        this.onPriorityChange = onPriorityChange;
        subscribe(watchCache, StoreKeys.CLASSES_HEAD, (rest, value) -> onClassesHead(value));
        subscribe(watchCache, StoreKeys.CLASSES_PART_PREFIX, this::onClassesPart);
        subscribe(
                watchCache,
                StoreKeys.CLASSES_UNREADABLE_PREFIX,
                (member, value) ->
                        putOrRemove(
                                unreadableGenerationByMember,
                                member,
                                value == null
                                        ? null
                                        : PriorityClassesCodec.decodeUnreadable(value)));
        subscribe(watchCache, StoreKeys.CALENDAR_ENTRY_PREFIX, this::onEntry);
        // Occurrences are written often; their content decides whether a change affects priorities.
        watchCache.addPrefixListener(
                StoreKeys.OCCURRENCE_PREFIX,
                listener(StoreKeys.OCCURRENCE_PREFIX, this::onOccurrence));
        subscribe(
                watchCache,
                StoreKeys.ENTRY_HISTORY_PREFIX,
                (name, value) ->
                        putOrRemove(
                                historyByEntry,
                                name,
                                value == null ? null : CalendarCodec.decodeHistory(value)));
        subscribe(
                watchCache,
                StoreKeys.UNCOUNTED_COMPLETION_PREFIX,
                (id, value) ->
                        putOrRemove(
                                uncountedCompletions,
                                id,
                                value == null ? null : CalendarCodec.decodeCompletion(value)));
        subscribe(watchCache, StoreKeys.CALENDAR_HEAD, (rest, value) -> onCalendarHead(value));
        // Runs after a whole batch, since a generation's head and its parts arrive together.
        watchCache.addChangeListener(this::refreshActiveClasses);
    }

    /** Receives a record and its key's suffix after the prefix; a null value: it was removed. */
    private interface RecordConsumer {
        void accept(String keySuffix, JsonNode value);
    }

    private void subscribe(WatchCache watchCache, String prefix, RecordConsumer consumer) {
        watchCache.addPrefixListener(
                prefix,
                listener(
                        prefix,
                        (keySuffix, value) -> {
                            consumer.accept(keySuffix, value);
                            priorityChanged();
                        }));
    }

    private static WatchCache.PrefixListener listener(String prefix, RecordConsumer consumer) {
        return new WatchCache.PrefixListener() {
            @Override
            public void onPut(String key, JsonNode value, long modRevision) {
                consumer.accept(key.substring(prefix.length()), value);
            }

            @Override
            public void onRemove(String key) {
                consumer.accept(key.substring(prefix.length()), null);
            }
        };
    }

    private void priorityChanged() {
        priorityVersion++;
        onPriorityChange.run();
    }

    private static <V> void putOrRemove(Map<String, V> map, String key, V value) {
        if (value == null) {
            map.remove(key);
        } else {
            map.put(key, value);
        }
    }

    private void onClassesHead(JsonNode value) {
        classesHead = value == null ? ClassesHead.EMPTY : PriorityClassesCodec.decodeHead(value);
    }

    private void onCalendarHead(JsonNode value) {
        calendarHead = value == null ? CalendarHead.EMPTY : CalendarCodec.decodeHead(value);
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
                partTexts.put(index, PriorityClassesCodec.decodePart(node));
            }
            if (partTexts.isEmpty()) {
                classesParts.remove(generation);
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            LOG.error(
                    "the record {}{} does not belong to any classes; ignoring the record",
                    StoreKeys.CLASSES_PART_PREFIX,
                    keySuffix);
        }
    }

    private void onEntry(String name, JsonNode node) {
        try {
            putOrRemove(entries, name, node == null ? null : CalendarCodec.decodeEntry(node, name));
        } catch (InvalidRecordException e) {
            // The entry's previous version stays in force; existing occurrences hold their own
            // selectors.
            LOG.error(
                    "the calendar's entry {} can't be read ({}); keeping its previous version",
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
                            : OccurrenceCodec.decode(
                                    keySuffix.substring(0, slash),
                                    keySuffix.substring(slash + 1),
                                    node));
        } catch (InvalidRecordException e) {
            LOG.error(
                    "the occurrence {} can't be read ({}); keeping its previous version",
                    keySuffix,
                    e.getMessage());
        }
        ScheduledOccurrence after = occurrences.get(keySuffix);
        priorityOccurrences.clear();
        occurrences.values().stream()
                .filter(ScheduledOccurrence::raisesPriority)
                .forEach(priorityOccurrences::add);
        // Counts are written often and don't affect priorities.
        if (before == null || after == null || !before.hasSamePriorityEffect(after)) {
            priorityChanged();
        }
    }

    /**
     * Reads the active generation once its parts have arrived. Until then nothing is scheduled by
     * another generation.
     */
    private void refreshActiveClasses() {
        PriorityClasses before = activeClasses;
        loadActiveClasses();
        if (before != activeClasses) {
            LOG.info("priority classes: generation {} is in force", activeClasses.generation());
            priorityChanged();
        }
    }

    private void loadActiveClasses() {
        long active = classesHead.activeGeneration();
        if (active == activeClasses.generation()) {
            unreadableGeneration = 0;
            return;
        }
        if (active == 0) {
            activeClasses = PriorityClasses.NONE;
            unreadableGeneration = 0;
            return;
        }
        try {
            activeClasses = loadGeneration(active);
            unreadableGeneration = 0;
        } catch (InvalidRecordException e) {
            if (unreadableGeneration != active) {
                LOG.error(
                        "generation {} of the priority classes can't be read by this controller"
                            + " ({}); nothing is placed until a readable generation is in force",
                        active,
                        e.getMessage());
                unreadableGeneration = active;
            }
        }
    }

    /**
     * Decodes a generation from its parts.
     *
     * @throws InvalidRecordException if a part is missing or the text can't be read
     */
    PriorityClasses loadGeneration(long generation) throws InvalidRecordException {
        Map<Integer, String> partTexts = partsOf(generation);
        JsonNode root;
        try {
            root = JSON.readTree(String.join("", partTexts.values()));
        } catch (JsonProcessingException e) {
            throw new InvalidRecordException(
                    "generation " + generation,
                    "its " + partTexts.size() + " parts are no JSON",
                    e);
        }
        return PriorityClassesCodec.decode(root, generation, "generation " + generation);
    }

    private Map<Integer, String> partsOf(long generation) {
        TreeMap<Integer, String> parts = classesParts.get(generation);
        return parts == null ? Map.of() : parts;
    }

    /** Generations of which any part is on record, in ascending order. */
    Collection<Long> recordedGenerations() {
        return Collections.unmodifiableSet(classesParts.keySet());
    }

    /** Store keys of a generation's parts, in order. */
    Collection<String> partKeys(long generation) {
        return partsOf(generation).keySet().stream()
                .map(index -> StoreKeys.CLASSES_PART_PREFIX + generation + "/" + index)
                .toList();
    }

    ClassesHead classesHead() {
        return classesHead;
    }

    CalendarHead calendarHead() {
        return calendarHead;
    }

    /** The generations that controllers report as unreadable, by member id. */
    Map<String, Long> unreadableGenerationByMember() {
        return Collections.unmodifiableMap(unreadableGenerationByMember);
    }

    /** The active generation if this controller can't read it; 0: it can. */
    long unreadableGeneration() {
        return unreadableGeneration;
    }

    /**
     * The classes that this controller has in force; they lag behind the head while its generation
     * can't be read.
     */
    PriorityClasses activeClasses() {
        return activeClasses;
    }

    /** Calendar entries by name. */
    Map<String, CalendarEntry> entries() {
        return entriesView;
    }

    /** Live occurrences by {@link ScheduledOccurrence#key}. */
    Map<String, ScheduledOccurrence> occurrences() {
        return occurrencesView;
    }

    /** The live occurrences that raise the priority of covered work now. */
    List<ScheduledOccurrence> priorityOccurrences() {
        return priorityOccurrencesView;
    }

    EntryHistory historyOf(String entryName) {
        return historyByEntry.getOrDefault(entryName, EntryHistory.EMPTY);
    }

    /** Completions that occurrences have yet to count, by job id. */
    Map<String, UncountedCompletion> uncountedCompletions() {
        return Collections.unmodifiableMap(uncountedCompletions);
    }

    /** Whether any record exists that work is ranked by. */
    boolean hasPriorityRules() {
        return classesHead.activeGeneration() != 0 || !occurrences.isEmpty();
    }

    /** Rises with every change that can change a job's effective priority. */
    long priorityVersion() {
        return priorityVersion;
    }
}
