package io.quincelead.policy;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.MonthDay;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An entry of the deadline calendar: on each of its days, the work that it covers is to be
 * published at a time of day. A publication's window opens the lead time before it; from then on,
 * covered work is due by the publication. If the work isn't done by the end of the grace period,
 * the publication is missed.
 *
 * <p>When clocks change, a time that a day lacks moves later by the length of the gap; of a time
 * that occurs twice, the first one is taken. A yearly date (month and day) that a year lacks, such
 * as 29 February, has no occurrence in that year.
 *
 * @param name unique among all entries
 * @param timeOfDay time of day at which the publication is due
 * @param timeZone time zone of all dates and times of day of the entry
 * @param weekdays days of each week; empty if dates are stated
 * @param dates single days
 * @param yearlyDates days of each year
 * @param selectors select the covered jobs: those that any selector matches
 * @param leadSeconds seconds before the publication at which its window opens
 * @param graceSeconds seconds after the publication within which covered work still counts as in
 *     time
 * @param skippedDates days that operators removed
 * @param movedTimes times of day of publications that operators moved, by date
 * @param effectiveFromMillis publications up to this time, in ms since 1970, are ignored
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
    /**
     * Keeps the sets and maps without copying them; accessors return them as unmodifiable views.
     */
    public CalendarEntry {
        weekdays = Collections.unmodifiableSet(weekdays);
        dates = Collections.unmodifiableSet(dates);
        yearlyDates = Collections.unmodifiableSet(yearlyDates);
        selectors = List.copyOf(selectors);
        skippedDates = Collections.unmodifiableSet(skippedDates);
        movedTimes = Collections.unmodifiableMap(movedTimes);
    }

    /**
     * One publication of an entry.
     *
     * @param date its day in the entry's time zone
     * @param epochMillis its time in ms since 1970
     */
    public record Publication(LocalDate date, long epochMillis) {}

    CalendarEntry withEffectiveFrom(long epochMillis) {
        return copyWith(skippedDates, movedTimes, epochMillis);
    }

    CalendarEntry withSkippedDate(LocalDate date) {
        Set<LocalDate> updatedDates = new TreeSet<>(skippedDates);
        updatedDates.add(date);
        return copyWith(updatedDates, movedTimes, effectiveFromMillis);
    }

    CalendarEntry withMovedTime(LocalDate date, LocalTime newTime) {
        Map<LocalDate, LocalTime> updatedTimes = new TreeMap<>(movedTimes);
        updatedTimes.put(date, newTime);
        return copyWith(skippedDates, updatedTimes, effectiveFromMillis);
    }

    private CalendarEntry copyWith(
            Set<LocalDate> skipped, Map<LocalDate, LocalTime> moved, long effectiveFrom) {
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
                skipped,
                moved,
                effectiveFrom);
    }

    /** Whether the entry has a publication on that day, skipped or not. */
    boolean isScheduledOn(LocalDate date) {
        return weekdays.contains(date.getDayOfWeek())
                || dates.contains(date)
                || yearlyDates.stream()
                        .anyMatch(
                                yearlyDate ->
                                        yearlyDate.isValidYear(date.getYear())
                                                && yearlyDate.equals(MonthDay.from(date)));
    }

    /** Time of the entry's publication on that day, in ms since 1970. */
    long publicationMillis(LocalDate date) {
        return ZonedDateTime.of(date, movedTimes.getOrDefault(date, timeOfDay), timeZone)
                .toInstant()
                .toEpochMilli();
    }

    /** Time at which the window of a publication opens; both times in ms since 1970. */
    long opensAtMillis(long publicationMillis) {
        return publicationMillis - (long) (leadSeconds * 1000);
    }

    /**
     * The entry's publications after {@code fromMillis} and up to {@code toMillis}, both in ms
     * since 1970, in order, without those on skipped days.
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
}
