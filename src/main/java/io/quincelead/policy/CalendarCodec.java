package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.MonthDay;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Encodes and decodes calendar entries in operators' files, and the calendar's records in the
 * store.
 */
final class CalendarCodec {
    private static final Set<String> ENTRY_FIELDS =
            Set.of(
                    "name", "time", "zone", "days", "dates", "covers", "leadS", "graceS", "skipped",
                    "moved", "since");
    private static final int MAX_DATES = 100;
    private static final int MAX_SELECTORS = 20;

    private CalendarCodec() {}

    /**
     * Decodes an entry.
     *
     * @param path the entry's path, named in errors
     * @throws InvalidRecordException if a field is missing, unknown or wrong
     */
    static CalendarEntry decodeEntry(JsonNode node, String path) throws InvalidRecordException {
        RecordFieldReader fields = new RecordFieldReader(node, path, ENTRY_FIELDS);
        String name = fields.readName("name");
        LocalTime timeOfDay = readTime(fields, fields.readText("time", true), "time");
        ZoneId timeZone = readTimeZone(fields);
        Set<DayOfWeek> weekdays = EnumSet.noneOf(DayOfWeek.class);
        for (String text : fields.readTexts("days")) {
            weekdays.add(readWeekday(fields, text));
        }
        Set<LocalDate> dates = new TreeSet<>();
        Set<MonthDay> yearlyDates = new TreeSet<>();
        readDates(fields, dates, yearlyDates);
        if (weekdays.isEmpty() == (dates.isEmpty() && yearlyDates.isEmpty())) {
            throw fields.invalid("days", "either days or dates must be given, not both");
        }
        List<JobSelector> selectors = readSelectors(fields);
        Set<LocalDate> skippedDates = new TreeSet<>();
        for (String text : fields.readTexts("skipped")) {
            skippedDates.add(parseDate(text, fields.pathOf("skipped")));
        }
        Map<LocalDate, LocalTime> movedTimes = readMovedTimes(fields);
        if (dates.size() + yearlyDates.size() > MAX_DATES
                || skippedDates.size() > MAX_DATES
                || movedTimes.size() > MAX_DATES) {
            throw fields.invalid("dates", "at most " + MAX_DATES + " dates, skipped or moved days");
        }
        return new CalendarEntry(
                name,
                timeOfDay,
                timeZone,
                weekdays,
                dates,
                yearlyDates,
                selectors,
                fields.readNumber("leadS", 1, 86_400, 3_600),
                fields.readNumber("graceS", 0, 86_400, 0),
                skippedDates,
                movedTimes,
                (long) fields.readNumber("since", 0, 1e15, 0));
    }

    private static ZoneId readTimeZone(RecordFieldReader fields) throws InvalidRecordException {
        try {
            return ZoneId.of(fields.readText("zone", true));
        } catch (DateTimeException e) {
            throw fields.invalid("zone", "must be an IANA zone like America/Toronto", e);
        }
    }

    private static DayOfWeek readWeekday(RecordFieldReader fields, String text)
            throws InvalidRecordException {
        for (DayOfWeek weekday : DayOfWeek.values()) {
            if (encodeWeekday(weekday).equals(text)) {
                return weekday;
            }
        }
        throw fields.invalid(
                "days", "must be of mon, tue, wed, thu, fri, sat, sun, not \"" + text + "\"");
    }

    private static void readDates(
            RecordFieldReader fields, Set<LocalDate> dates, Set<MonthDay> yearlyDates)
            throws InvalidRecordException {
        for (String text : fields.readTexts("dates")) {
            try {
                if (text.startsWith("--")) {
                    yearlyDates.add(MonthDay.parse(text));
                } else {
                    dates.add(LocalDate.parse(text));
                }
            } catch (DateTimeException e) {
                throw fields.invalid(
                        "dates",
                        "must be dates like 2027-01-31, or like --01-31 for each year, not \""
                                + text
                                + "\"",
                        e);
            }
        }
    }

    private static List<JobSelector> readSelectors(RecordFieldReader fields)
            throws InvalidRecordException {
        List<JobSelector> selectors = new ArrayList<>();
        JsonNode selectorNodes = fields.get("covers");
        if (selectorNodes == null
                || !selectorNodes.isArray()
                || selectorNodes.isEmpty()
                || selectorNodes.size() > MAX_SELECTORS) {
            throw fields.invalid("covers", "must be a list of 1 to 20 matches");
        }
        for (int i = 0; i < selectorNodes.size(); i++) {
            selectors.add(
                    PriorityClassesCodec.decodeSelector(
                            selectorNodes.get(i), fields.pathOf("covers[" + i + "]")));
        }
        return selectors;
    }

    private static Map<LocalDate, LocalTime> readMovedTimes(RecordFieldReader fields)
            throws InvalidRecordException {
        Map<LocalDate, LocalTime> movedTimes = new TreeMap<>();
        if (fields.has("moved")) {
            JsonNode moved = fields.get("moved");
            for (String text : (Iterable<String>) moved::fieldNames) {
                movedTimes.put(
                        parseDate(text, fields.pathOf("moved")),
                        readTime(fields, moved.path(text).asText(), "moved"));
            }
        }
        return movedTimes;
    }

    private static LocalTime readTime(RecordFieldReader fields, String text, String field)
            throws InvalidRecordException {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw fields.invalid(field, "must be a time of day like 06:30", e);
        }
    }

    /** Parses a date in a command or record; {@code path} is named in errors. */
    static LocalDate parseDate(String text, String path) throws InvalidRecordException {
        try {
            return LocalDate.parse(text);
        } catch (DateTimeException e) {
            throw new InvalidRecordException(
                    path, "must be a date like 2027-01-31, not \"" + text + "\"", e);
        }
    }

    /** Parses a time of day in a command; {@code path} is named in errors. */
    static LocalTime parseTime(String text, String path) throws InvalidRecordException {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw new InvalidRecordException(
                    path, "must be a time of day like 06:30, not \"" + text + "\"", e);
        }
    }

    static ObjectNode encodeEntry(CalendarEntry entry) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("name", entry.name())
                        .put("time", entry.timeOfDay().toString())
                        .put("zone", entry.timeZone().getId());
        if (!entry.weekdays().isEmpty()) {
            ArrayNode dayNodes = node.putArray("days");
            entry.weekdays().forEach(weekday -> dayNodes.add(encodeWeekday(weekday)));
        } else {
            ArrayNode dateNodes = node.putArray("dates");
            entry.dates().forEach(date -> dateNodes.add(date.toString()));
            entry.yearlyDates().forEach(date -> dateNodes.add(date.toString()));
        }
        ArrayNode selectorNodes = node.putArray("covers");
        entry.selectors()
                .forEach(
                        selector ->
                                selectorNodes.add(PriorityClassesCodec.encodeSelector(selector)));
        node.put("leadS", entry.leadSeconds()).put("graceS", entry.graceSeconds());
        if (!entry.skippedDates().isEmpty()) {
            ArrayNode skippedNodes = node.putArray("skipped");
            entry.skippedDates().forEach(date -> skippedNodes.add(date.toString()));
        }
        if (!entry.movedTimes().isEmpty()) {
            ObjectNode movedNode = node.putObject("moved");
            entry.movedTimes()
                    .forEach((date, time) -> movedNode.put(date.toString(), time.toString()));
        }
        return node.put("since", entry.effectiveFromMillis());
    }

    private static String encodeWeekday(DayOfWeek weekday) {
        return weekday.name().substring(0, 3).toLowerCase(Locale.ROOT);
    }

    static CalendarHead decodeHead(JsonNode node) {
        List<String> changeIds = new ArrayList<>();
        node.path("changes").forEach(change -> changeIds.add(change.asText()));
        return new CalendarHead(node.path("g").asLong(), changeIds);
    }

    static ObjectNode encodeHead(CalendarHead head) {
        ObjectNode node = WireFormat.newMap().put("g", head.generation());
        ArrayNode changeIdNodes = node.putArray("changes");
        head.recentChangeIds().forEach(changeIdNodes::add);
        return node;
    }

    static EntryHistory decodeHistory(JsonNode node) {
        List<Double> peakCpus = new ArrayList<>();
        node.path("cpus").forEach(peak -> peakCpus.add(peak.asDouble()));
        return new EntryHistory(node.path("through").asLong(), peakCpus);
    }

    static ObjectNode encodeHistory(EntryHistory history) {
        ObjectNode node = WireFormat.newMap().put("through", history.closedThroughMillis());
        ArrayNode peakNodes = node.putArray("cpus");
        history.peakCpus().forEach(peakNodes::add);
        return node;
    }

    static UncountedCompletion decodeCompletion(JsonNode node) {
        List<String> occurrenceKeys = new ArrayList<>();
        node.path("occ").forEach(key -> occurrenceKeys.add(key.asText()));
        return new UncountedCompletion(
                node.path("s").asText(), node.path("t").asLong(), occurrenceKeys);
    }

    static ObjectNode encodeCompletion(UncountedCompletion completion) {
        ObjectNode node =
                WireFormat.newMap()
                        .put("s", completion.state())
                        .put("t", completion.completedAtMillis());
        ArrayNode occurrenceNodes = node.putArray("occ");
        completion.occurrenceKeys().forEach(occurrenceNodes::add);
        return node;
    }

    /**
     * Decodes from a job's final record how the job completed.
     *
     * @param defaultMillis time of completion if the record doesn't hold it, in ms since 1970
     */
    static JobCompletion decodeFinalState(JsonNode node, long defaultMillis) {
        return new JobCompletion(
                node.path("s").asText().equals("done"), node.path("t").asLong(defaultMillis));
    }
}
