package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.transport.WireFormat;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.MonthDay;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An entry of the deadline calendar: at {@code time} of day in {@code zone}, on the stated weekdays
 * or dates, what it covers is to be published; from {@code leadS} seconds before, covered work is
 * due by then, and {@code graceS} seconds after, what isn't done is missed.
 *
 * <p>Nights when clocks change: a time that a day lacks is published as much later as the clock
 * jumps; one that it has twice, at the first of the two. Yearly dates (month and day) that a year
 * lacks, 29 February, have no occurrence in it.
 */
public record CalendarEntry(
        String name,
        LocalTime timeOfDay,
        ZoneId timeZone,
        Set<DayOfWeek> weekdays,
        Set<LocalDate> dates,
        Set<MonthDay> yearlyDates,
        List<JobSelector> selectors,
        double leadSeconds,
        double graceSeconds,
        Set<LocalDate> skippedDates,
        Map<LocalDate, LocalTime> movedTimes,
        long effectiveFromMillis) {
    private static final Set<String> FIELDS =
            Set.of(
                    "name", "time", "zone", "days", "dates", "covers", "leadS", "graceS", "skipped",
                    "moved", "since");
    private static final int MAX_DATES = 100;

    /** One publication: its date in the entry's zone, and the time in ms since 1970. */
    public record Publication(LocalDate date, long epochMillis) {}

    public static CalendarEntry decode(JsonNode node, String path) throws InvalidRecordException {
        RecordFieldReader fields = new RecordFieldReader(node, path, FIELDS);
        String name = fields.readName("name");
        LocalTime timeOfDay = parseTime(fields, fields.readText("time", true), "time");
        ZoneId timeZone;
        try {
            timeZone = ZoneId.of(fields.readText("zone", true));
        } catch (DateTimeException e) {
            throw fields.invalid("zone", "must be an IANA zone like America/Toronto");
        }
        Set<DayOfWeek> weekdays = EnumSet.noneOf(DayOfWeek.class);
        for (String text : fields.readTexts("days")) {
            weekdays.add(parseWeekday(fields, text));
        }
        Set<LocalDate> dates = new TreeSet<>();
        Set<MonthDay> yearlyDates = new TreeSet<>();
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
                                + "\"");
            }
        }
        if (weekdays.isEmpty() == (dates.isEmpty() && yearlyDates.isEmpty())) {
            throw fields.invalid("days", "either days or dates must be given, not both");
        }
        List<JobSelector> selectors = new ArrayList<>();
        JsonNode selectorNodes = fields.get("covers");
        if (selectorNodes == null
                || !selectorNodes.isArray()
                || selectorNodes.isEmpty()
                || selectorNodes.size() > 20) {
            throw fields.invalid("covers", "must be a list of 1 to 20 matches");
        }
        for (int i = 0; i < selectorNodes.size(); i++) {
            selectors.add(
                    JobSelector.decode(selectorNodes.get(i), fields.pathOf("covers[" + i + "]")));
        }
        Set<LocalDate> skippedDates = new TreeSet<>();
        for (String text : fields.readTexts("skipped")) {
            skippedDates.add(parseDate(text, fields.pathOf("skipped")));
        }
        Map<LocalDate, LocalTime> movedTimes = new TreeMap<>();
        if (fields.has("moved")) {
            for (String text : (Iterable<String>) () -> fields.get("moved").fieldNames()) {
                movedTimes.put(
                        parseDate(text, fields.pathOf("moved")),
                        parseTime(fields, fields.get("moved").path(text).asText(), "moved"));
            }
        }
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
                List.copyOf(selectors),
                fields.readNumber("leadS", 1, 86_400, 3_600),
                fields.readNumber("graceS", 0, 86_400, 0),
                skippedDates,
                movedTimes,
                (long) fields.readNumber("since", 0, 1e15, 0));
    }

    private static DayOfWeek parseWeekday(RecordFieldReader fields, String text)
            throws InvalidRecordException {
        for (DayOfWeek weekday : DayOfWeek.values()) {
            if (weekday.name().substring(0, 3).toLowerCase(Locale.ROOT).equals(text)) {
                return weekday;
            }
        }
        throw fields.invalid(
                "days", "must be of mon, tue, wed, thu, fri, sat, sun, not \"" + text + "\"");
    }

    private static LocalTime parseTime(RecordFieldReader fields, String text, String field)
            throws InvalidRecordException {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw fields.invalid(field, "must be a time of day like 06:30");
        }
    }

    /** A date as it stands in commands and records. */
    static LocalDate parseDate(String text, String path) throws InvalidRecordException {
        try {
            return LocalDate.parse(text);
        } catch (DateTimeException e) {
            throw new InvalidRecordException(
                    path, "must be a date like 2027-01-31, not \"" + text + "\"");
        }
    }

    static LocalTime parseTime(String text, String path) throws InvalidRecordException {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw new InvalidRecordException(
                    path, "must be a time of day like 06:30, not \"" + text + "\"");
        }
    }

    ObjectNode encode() {
        ObjectNode node =
                WireFormat.newMap()
                        .put("name", name)
                        .put("time", timeOfDay.toString())
                        .put("zone", timeZone.getId());
        if (!weekdays.isEmpty()) {
            ArrayNode list = node.putArray("days");
            weekdays.forEach(d -> list.add(d.name().substring(0, 3).toLowerCase(Locale.ROOT)));
        } else {
            ArrayNode list = node.putArray("dates");
            dates.forEach(d -> list.add(d.toString()));
            yearlyDates.forEach(d -> list.add(d.toString()));
        }
        ArrayNode list = node.putArray("covers");
        selectors.forEach(m -> list.add(m.encode()));
        node.put("leadS", leadSeconds).put("graceS", graceSeconds);
        if (!skippedDates.isEmpty()) {
            ArrayNode skippedNodes = node.putArray("skipped");
            skippedDates.forEach(d -> skippedNodes.add(d.toString()));
        }
        if (!movedTimes.isEmpty()) {
            ObjectNode m = node.putObject("moved");
            movedTimes.forEach((d, t) -> m.put(d.toString(), t.toString()));
        }
        return node.put("since", effectiveFromMillis);
    }

    CalendarEntry withEffectiveFrom(long epochMillis) {
        return new CalendarEntry(
                name,
                timeOfDay,
                timeZone,
                weekdays,
                dates,
                yearlyDates,
                selectors,
                leadSeconds,
                graceSeconds,
                skippedDates,
                movedTimes,
                epochMillis);
    }

    CalendarEntry withSkippedDate(LocalDate date) {
        Set<LocalDate> updatedDates = new TreeSet<>(skippedDates);
        updatedDates.add(date);
        return new CalendarEntry(
                name,
                timeOfDay,
                timeZone,
                weekdays,
                dates,
                yearlyDates,
                selectors,
                leadSeconds,
                graceSeconds,
                updatedDates,
                movedTimes,
                effectiveFromMillis);
    }

    CalendarEntry withMovedTime(LocalDate date, LocalTime newTime) {
        Map<LocalDate, LocalTime> updatedTimes = new TreeMap<>(movedTimes);
        updatedTimes.put(date, newTime);
        return new CalendarEntry(
                name,
                timeOfDay,
                timeZone,
                weekdays,
                dates,
                yearlyDates,
                selectors,
                leadSeconds,
                graceSeconds,
                skippedDates,
                updatedTimes,
                effectiveFromMillis);
    }

    /** Whether its publication falls on that day, skipped or not. */
    boolean isScheduledOn(LocalDate date) {
        return weekdays.contains(date.getDayOfWeek())
                || dates.contains(date)
                || yearlyDates.stream()
                        .anyMatch(
                                y ->
                                        y.isValidYear(date.getYear())
                                                && y.equals(MonthDay.from(date)));
    }

    /** When that day's publication is. */
    long publicationMillis(LocalDate date) {
        return ZonedDateTime.of(date, movedTimes.getOrDefault(date, timeOfDay), timeZone)
                .toInstant()
                .toEpochMilli();
    }

    /**
     * Its publications after {@code fromMs} and up to {@code toMs}, in order; days that are skipped
     * left out.
     */
    public List<Publication> publicationsBetween(long fromMillis, long toMillis) {
        List<Publication> publications = new ArrayList<>();
        LocalDate lastDate = Instant.ofEpochMilli(toMillis).atZone(timeZone).toLocalDate();
        for (LocalDate date = Instant.ofEpochMilli(fromMillis).atZone(timeZone).toLocalDate();
                !date.isAfter(lastDate);
                date = date.plusDays(1)) {
            long epochMillis =
                    isScheduledOn(date) && !skippedDates.contains(date)
                            ? publicationMillis(date)
                            : Long.MIN_VALUE;
            if (epochMillis > fromMillis && epochMillis <= toMillis) {
                publications.add(new Publication(date, epochMillis));
            }
        }
        return publications;
    }

    boolean covers(JobSpec spec) {
        return selectors.stream().anyMatch(m -> m.matches(spec));
    }
}
