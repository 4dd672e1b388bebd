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
 * An entry of the deadline calendar: on its days, covered work is to be published at a time of day.
 * From the lead before, covered work is due by then; what isn't done within the grace is missed.
 *
 * <p>Nights when clocks change: a time that a day lacks is published as much later as the clock
 * jumps; one that it has twice, at the first of the two. Yearly dates (month and day) that a year
 * lacks, 29 February, have no occurrence in it.
 *
 * @param name names the entry among all
 * @param timeOfDay when the publication is due
 * @param timeZone the zone of all dates and times of day here
 * @param weekdays days of each week; empty if dates are stated
 * @param dates single days
 * @param yearlyDates days of each year
 * @param selectors the jobs that it covers: those that any selector matches
 * @param leadSeconds how long before the publication its window opens
 * @param graceSeconds how long after the publication covered work still counts as in time
 * @param skippedDates days that operators took out
 * @param movedTimes times of day of single days that operators moved
 * @param effectiveFromMillis publications before this time, in ms since 1970, don't count
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
    /** The sets and maps are taken over as they are and returned as views. */
    public CalendarEntry {
        weekdays = Collections.unmodifiableSet(weekdays);
        dates = Collections.unmodifiableSet(dates);
        yearlyDates = Collections.unmodifiableSet(yearlyDates);
        selectors = List.copyOf(selectors);
        skippedDates = Collections.unmodifiableSet(skippedDates);
        movedTimes = Collections.unmodifiableMap(movedTimes);
    }

    /**
     * One publication.
     *
     * @param date its day in the entry's time zone
     * @param epochMillis its time in ms since 1970
     */
    public record Publication(LocalDate date, long epochMillis) {}

    CalendarEntry withEffectiveFrom(long epochMillis) {
        return with(skippedDates, movedTimes, epochMillis);
    }

    CalendarEntry withSkippedDate(LocalDate date) {
        Set<LocalDate> updatedDates = new TreeSet<>(skippedDates);
        updatedDates.add(date);
        return with(updatedDates, movedTimes, effectiveFromMillis);
    }

    CalendarEntry withMovedTime(LocalDate date, LocalTime newTime) {
        Map<LocalDate, LocalTime> updatedTimes = new TreeMap<>(movedTimes);
        updatedTimes.put(date, newTime);
        return with(skippedDates, updatedTimes, effectiveFromMillis);
    }

    private CalendarEntry with(
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

    /** When that day's publication is, in ms since 1970. */
    long publicationMillis(LocalDate date) {
        return ZonedDateTime.of(date, movedTimes.getOrDefault(date, timeOfDay), timeZone)
                .toInstant()
                .toEpochMilli();
    }

    /** When the window of a publication opens, both in ms since 1970. */
    long opensAtMillis(long publicationMillis) {
        return publicationMillis - (long) (leadSeconds * 1000);
    }

    /**
     * Its publications after {@code fromMillis} and up to {@code toMillis}, both in ms since 1970,
     * in order; days that are skipped are left out.
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
