package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.OperatorApi.Responder;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;

/** Operators' commands on the deadline calendar. */
final class CalendarOperations {
    private static final long MILLIS_PER_DAY = 86_400_000L;
    private static final int PREVIEW_DAYS = 7;
    private static final int DEFAULT_LIST_DAYS = 2;
    private static final int MAX_LIST_DAYS = 31;

    private final EventLoop loop;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final PolicyRecords records;
    private final OperatorApi api;

    CalendarOperations(
            EventLoop loop,
            WatchCache watchCache,
            StoreClient store,
            PolicyRecords records,
            OperatorApi api) {
        this.loop = loop;
        this.watchCache = watchCache;
        this.store = store;
        this.records = records;
        this.api = api;
    }

    void registerHandlers() {
        api.register("/ops/calendar/list", this::listEntries);
        api.register("/ops/calendar/add", this::addEntry);
        api.register(
                "/ops/calendar/move",
                (body, responder) ->
                        changeEntry(
                                body,
                                responder,
                                entry ->
                                        entry.withMovedTime(
                                                requireChangeableDate(body, entry),
                                                CalendarCodec.parseTime(
                                                        body.path("time").asText(), "time"))));
        api.register(
                "/ops/calendar/skip",
                (body, responder) ->
                        changeEntry(
                                body,
                                responder,
                                entry ->
                                        entry.withSkippedDate(requireChangeableDate(body, entry))));
        api.register(
                "/ops/calendar/remove",
                (body, responder) -> changeEntry(body, responder, entry -> null));
        api.register("/ops/calendar/next", this::listUpcoming);
        api.register("/ops/calendar/ledger", this::listLedger);
    }

    /** A command's edit of an entry. */
    private interface EntryEdit {
        /** The entry after the edit; null: removed. */
        CalendarEntry apply(CalendarEntry current) throws InvalidRecordException;
    }

    /** The command's date, which must be that of a publication whose verdict isn't given yet. */
    private LocalDate requireChangeableDate(ObjectNode body, CalendarEntry entry)
            throws InvalidRecordException {
        LocalDate date = CalendarCodec.parseDate(body.path("date").asText(), "date");
        if (!entry.isScheduledOn(date)) {
            throw new InvalidRecordException(
                    "date", entry.name() + " has no publication on " + date);
        }
        ScheduledOccurrence occurrence = records.occurrences().get(entry.name() + "/" + date);
        if (occurrence != null && !occurrence.isBeforeVerdict()
                || date.isBefore(today(entry).minusDays(1))) {
            throw new InvalidRecordException(
                    "date", "the verdict on " + entry.name() + " of " + date + " is given");
        }
        return date;
    }

    private LocalDate today(CalendarEntry entry) {
        return Instant.ofEpochMilli(loop.wallClockMillis()).atZone(entry.timeZone()).toLocalDate();
    }

    /**
     * The id of a change of the calendar, empty for a dry run; null if it is missing, invalid or
     * repeated, after a response that says so.
     */
    private String requireCalendarChangeId(ObjectNode body, Responder responder) {
        String changeId =
                body.path("dryRun").asBoolean() ? "" : OperatorApi.requireChangeId(body, responder);
        if (changeId != null && records.calendarHead().recentChangeIds().contains(changeId)) {
            responder.respondOk(WireFormat.newMap().put("state", "done before"));
            return null;
        }
        return changeId;
    }

    private void changeEntry(ObjectNode body, Responder responder, EntryEdit edit) {
        String name = body.path("name").asText();
        String changeId = requireCalendarChangeId(body, responder);
        if (changeId == null) {
            return;
        }
        CalendarEntry current = records.entries().get(name);
        if (current == null) {
            responder.respondError(
                    404,
                    "name: there is no entry \""
                            + name
                            + "\"; there are "
                            + records.entries().keySet());
            return;
        }
        try {
            writeEntry(name, edit.apply(current), changeId, body, responder);
        } catch (InvalidRecordException e) {
            responder.respondError(400, e.getMessage());
        }
    }

    private void addEntry(ObjectNode body, Responder responder) {
        String changeId = requireCalendarChangeId(body, responder);
        if (changeId == null) {
            return;
        }
        try {
            CalendarEntry entry =
                    CalendarCodec.decodeEntry(body.get("entry"), body.path("file").asText("entry"))
                            .withEffectiveFrom(loop.wallClockMillis());
            if (records.entries().containsKey(entry.name()) && !body.path("replace").asBoolean()) {
                responder.respondError(
                        409,
                        "name: there is an entry \""
                                + entry.name()
                                + "\" already; --replace puts this one in its place");
            } else if (records.entries().size() >= PolicyConstants.MAX_CALENDAR_ENTRIES) {
                responder.respondError(
                        409,
                        "the calendar has "
                                + PolicyConstants.MAX_CALENDAR_ENTRIES
                                + " entries, as many as it may have");
            } else {
                writeEntry(entry.name(), entry, changeId, body, responder);
            }
        } catch (InvalidRecordException e) {
            responder.respondError(400, e.getMessage());
        }
    }

    private void writeEntry(
            String name,
            CalendarEntry updated,
            String changeId,
            ObjectNode body,
            Responder responder) {
        ObjectNode out = WireFormat.newMap();
        if (updated != null) {
            addUpcoming(out.putArray("next"), updated, PREVIEW_DAYS);
        }
        if (body.path("dryRun").asBoolean()) {
            responder.respondOk(out.put("state", "dry run"));
            return;
        }
        String key = StoreKeys.CALENDAR_ENTRY_PREFIX + name;
        Transaction txn =
                new Transaction()
                        .requireRevision(key, watchCache.modRevision(key))
                        .requireRevision(
                                StoreKeys.CALENDAR_HEAD,
                                watchCache.modRevision(StoreKeys.CALENDAR_HEAD))
                        .put(
                                StoreKeys.CALENDAR_HEAD,
                                CalendarCodec.encodeHead(
                                        records.calendarHead().withNextGeneration(changeId)));
        if (updated == null) {
            txn.remove(key);
        } else {
            txn.put(key, CalendarCodec.encodeEntry(updated));
        }
        api.commit(txn, responder, out.put("state", "done"));
    }

    private void listEntries(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        records.entries().values().forEach(entry -> list.add(CalendarCodec.encodeEntry(entry)));
        ArrayNode occurrenceNodes = out.putArray("occurrences");
        for (ScheduledOccurrence occurrence : records.occurrences().values()) {
            occurrenceNodes.add(
                    OccurrenceCodec.encodeSummary(occurrence)
                            .put("entry", occurrence.entryName)
                            .put("date", occurrence.date)
                            .put("unfinished", occurrence.openJobIds().size()));
        }
        responder.respondOk(out);
    }

    private void addUpcoming(ArrayNode publications, CalendarEntry entry, int days) {
        for (CalendarEntry.Publication publication :
                entry.publicationsBetween(
                        loop.wallClockMillis(), loop.wallClockMillis() + days * MILLIS_PER_DAY)) {
            Instant due = Instant.ofEpochMilli(publication.epochMillis());
            Instant opens = Instant.ofEpochMilli(entry.opensAtMillis(publication.epochMillis()));
            ObjectNode node =
                    publications
                            .addObject()
                            .put("entry", entry.name())
                            .put("date", publication.date().toString())
                            .put("publication", due.toString())
                            .put("opens", opens.toString());
            records.historyOf(entry.name())
                    .expectedCpus()
                    .ifPresent(cpus -> node.put("expectedCpus", cpus));
        }
    }

    private void listUpcoming(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        int days = Math.max(1, Math.min(MAX_LIST_DAYS, body.path("days").asInt(DEFAULT_LIST_DAYS)));
        for (CalendarEntry entry : records.entries().values()) {
            if (list.size() < PolicyConstants.MAX_LISTED_PUBLICATIONS) {
                addUpcoming(list, entry, days);
            }
        }
        responder.respondOk(out);
    }

    private void listLedger(ObjectNode body, Responder responder) {
        String name = body.path("name").asText();
        store.list(
                StoreKeys.LEDGER_PREFIX + name + "/",
                null,
                (status, listing) -> {
                    if (status != 200) {
                        responder.respondError(503, "the state service does not answer");
                        return;
                    }
                    ObjectNode out = WireFormat.newMap();
                    List<ObjectNode> summaries = new ArrayList<>();
                    for (JsonNode item : listing.path("items")) {
                        String path = item.path("path").asText();
                        if (item.path("value").isObject()) {
                            summaries.add(
                                    ((ObjectNode) item.path("value"))
                                            .deepCopy()
                                            .put("entry", name)
                                            .put(
                                                    "date",
                                                    path.substring(path.lastIndexOf('/') + 1)));
                        }
                    }
                    ArrayNode list = out.putArray("list");
                    summaries.forEach(list::add);
                    responder.respondOk(out);
                });
    }
}
