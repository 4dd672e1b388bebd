package io.quincelead.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decoding of operators' records, the errors that reject them, and edge cases of the calendar. */
class OperatorRecordsTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text.replace('\'', '"'));
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static String rejectionMessage(String classes) {
        return assertThrows(
                        InvalidRecordException.class,
                        () ->
                                PriorityClassesCodec.decode(
                                        json("{'classes':[" + classes + "]}"), 1, "f.json"))
                .getMessage();
    }

    private static CalendarEntry entry(String otherFields) throws InvalidRecordException {
        return CalendarCodec.decodeEntry(
                json("{'name':'e','zone':'America/Toronto','covers':[{}]," + otherFields + "}"),
                "entry");
    }

    private static List<String> publications(CalendarEntry entry, String from, String to) {
        return entry
                .publicationsBetween(
                        Instant.parse(from).toEpochMilli(), Instant.parse(to).toEpochMilli())
                .stream()
                .map(
                        publication ->
                                publication.date()
                                        + " "
                                        + Instant.ofEpochMilli(publication.epochMillis()))
                .toList();
    }

    @Test
    void errorsNameFileFieldAndConstraint() {
        assertEquals(
                "f.json.classes[0].rank: a whole number from 0 to 1000 is required",
                rejectionMessage("{'name':'a'}"));
        assertEquals(
                "f.json.classes[0].rank: must be a whole number from 0 to 1000",
                rejectionMessage("{'name':'a','rank':1.5}"));
        assertEquals(
                "f.json.classes[0].keep: must be one of [protocol, urgent, never]",
                rejectionMessage("{'name':'a','rank':1,'keep':'always'}"));
        assertTrue(
                rejectionMessage("{'name':'a','rank':1,'color':'red'}")
                        .startsWith("f.json.classes[0].color: is not known here"));
        assertEquals(
                "f.json.classes[1].name: \"a\" stands twice",
                rejectionMessage(
                        "{'name':'a','rank':1,'match':{'owner':'x'}},{'name':'a','rank':2}"));
    }

    @Test
    void classThatNeverMatchesIsRejected() throws InvalidRecordException {
        assertTrue(
                rejectionMessage(
                                "{'name':'a','rank':1,'match':{'owner':'x'}},{'name':'b','rank':2,'match':{'owner':'x','mode':'array'}}")
                        .contains("never matches"));
        // Three classes, one for each mode, together match all jobs of the team.
        assertTrue(
                rejectionMessage(
                                "{'name':'a','rank':1,'match':{'mode':'array'}},{'name':'b','rank':1,'match':{'mode':'ensemble'}},"
                                    + "{'name':'c','rank':1,'match':{'mode':'standing'}},{'name':'d','rank':2,'match':{'owner':'x'}}")
                        .contains("classes[3].match"));
        assertEquals(
                2,
                PriorityClassesCodec.decode(
                                json(
                                        "{'classes':[{'name':'a','rank':1,'match':{'owner':'x'}},{'name':'b','rank':2}]}"),
                                1,
                                "f")
                        .all()
                        .size());
    }

    @Test
    void encodedRecordsDecodeToEqualValues() throws InvalidRecordException {
        PriorityClasses classes =
                PriorityClassesCodec.decode(
                        json(
                                "{'classes':[{'name':'a','rank':1,'match':{'owner':'x','urgency':'high'},'keep':'urgent','passes':'normal','beginWithinS':60,"
                                    + "'leastShare':0.25,'zonePatienceS':30,'zoneSpare':0.5}]}"),
                        1,
                        "f");
        assertEquals(
                classes.all(),
                PriorityClassesCodec.decode(PriorityClassesCodec.encode(classes), 1, "f").all());
        CalendarEntry entry =
                entry("'time':'06:30','days':['mon','fri'],'leadS':600,'graceS':60")
                        .withSkippedDate(LocalDate.parse("2026-12-04"))
                        .withMovedTime(LocalDate.parse("2026-12-07"), LocalTime.parse("07:00"));
        assertEquals(entry, CalendarCodec.decodeEntry(CalendarCodec.encodeEntry(entry), "e"));
    }

    /** On 14 March 2027 clocks go from 02:00 to 03:00, on 7 November from 02:00 back to 01:00. */
    @Test
    void publicationTimesFollowClockChanges() throws InvalidRecordException {
        CalendarEntry inSkippedHour = entry("'time':'02:30','days':['sat','sun','mon']");
        assertEquals(
                List.of(
                        "2027-03-13 2027-03-13T07:30:00Z",
                        "2027-03-14 2027-03-14T07:30:00Z",
                        "2027-03-15 2027-03-15T06:30:00Z"),
                publications(inSkippedHour, "2027-03-13T00:00:00Z", "2027-03-16T00:00:00Z"));
        CalendarEntry inRepeatedHour = entry("'time':'01:30','days':['sun']");
        assertEquals(
                List.of("2027-11-07 2027-11-07T05:30:00Z"),
                publications(inRepeatedHour, "2027-11-06T12:00:00Z", "2027-11-08T00:00:00Z"));
    }

    @Test
    void leapDayOccursInLeapYearsOnly() throws InvalidRecordException {
        CalendarEntry entry = entry("'time':'12:00','dates':['--02-29']");
        assertEquals(
                List.of("2028-02-29 2028-02-29T17:00:00Z"),
                publications(entry, "2026-01-01T00:00:00Z", "2031-01-01T00:00:00Z"));
    }

    @Test
    void skippedAndMovedDatesChangePublications() throws InvalidRecordException {
        CalendarEntry entry =
                entry("'time':'06:00','days':['mon','tue','wed']")
                        .withSkippedDate(LocalDate.parse("2026-12-08"))
                        .withMovedTime(LocalDate.parse("2026-12-09"), LocalTime.parse("08:15"));
        assertEquals(
                List.of("2026-12-07 2026-12-07T11:00:00Z", "2026-12-09 2026-12-09T13:15:00Z"),
                publications(entry, "2026-12-07T00:00:00Z", "2026-12-10T23:00:00Z"));
        assertThrows(InvalidRecordException.class, () -> entry("'time':'25:00','days':['mon']"));
        assertThrows(
                InvalidRecordException.class,
                () -> entry("'time':'05:00','days':['mon'],'dates':['2026-01-01']"));
        assertThrows(
                InvalidRecordException.class,
                () ->
                        CalendarCodec.decodeEntry(
                                json(
                                        "{'name':'e','time':'05:00','zone':'Lake/Huron','days':['mon'],'covers':[{}]}"),
                                "entry"));
    }

    @Test
    void verdictsAreFinal() throws InvalidRecordException {
        ScheduledOccurrence occurrence =
                ScheduledOccurrence.planned(
                        entry("'time':'06:00','days':['mon']"),
                        new CalendarEntry.Publication(LocalDate.parse("2026-12-07"), 1_000_000));
        assertThrows(
                IllegalStateException.class,
                () -> occurrence.transitionTo(ScheduledOccurrence.State.PUBLISHED));
        occurrence.transitionTo(ScheduledOccurrence.State.OPEN);
        occurrence.transitionTo(ScheduledOccurrence.State.MISSED);
        assertThrows(
                IllegalStateException.class,
                () -> occurrence.transitionTo(ScheduledOccurrence.State.PUBLISHED));
        assertThrows(
                IllegalStateException.class,
                () -> occurrence.transitionTo(ScheduledOccurrence.State.SKIPPED));
        occurrence.transitionTo(ScheduledOccurrence.State.CLOSED);
        assertThrows(
                IllegalStateException.class,
                () -> occurrence.transitionTo(ScheduledOccurrence.State.OPEN));
    }
}
