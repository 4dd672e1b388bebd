package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.ApiConstants;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Answers operators' commands, in JSON, on any controller. Reading needs no leader. A change is one
 * commit, guarded by the generation it was decided from and bearing the operator's change id, so a
 * repeat takes effect once; what comes of it when the store doesn't answer is told as unknown,
 * never as refused.
 */
public final class OperatorApi {
    /** Answers one command. */
    public interface CommandHandler {
        void handle(ObjectNode body, Responder responder);
    }

    /** What a command is answered with. */
    public interface Responder {
        /** Status and body; who answers and by which generations is added. */
        void respond(int status, ObjectNode body);

        default void respondOk(ObjectNode body) {
            respond(200, body);
        }

        default void respondError(int status, String reason) {
            respond(status, WireFormat.newMap().put("error", reason));
        }
    }

    private final EventLoop loop;
    private final String memberId;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final JobTable jobs;
    private final Policy policy;
    private final Map<String, CommandHandler> handlers = new HashMap<>();

    public OperatorApi(
            EventLoop loop,
            String memberId,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            Policy policy) {
        this.loop = loop;
        this.memberId = memberId;
        this.watchCache = watchCache;
        this.store = store;
        this.jobs = jobs;
        this.policy = policy;
        register("/ops/classes/list", this::listClasses);
        register("/ops/classes/apply", this::applyClasses);
        register("/ops/classes/rollback", this::rollBackClasses);
        register("/ops/classes/history", this::listClassesHistory);
        register("/ops/calendar/list", this::listEntries);
        register("/ops/calendar/add", this::addEntry);
        register(
                "/ops/calendar/move",
                (body, responder) ->
                        changeEntry(
                                body,
                                responder,
                                e ->
                                        e.withMovedTime(
                                                requireChangeableDate(body, e),
                                                CalendarEntry.parseTime(
                                                        body.path("time").asText(), "time"))));
        register(
                "/ops/calendar/skip",
                (body, responder) ->
                        changeEntry(
                                body,
                                responder,
                                e -> e.withSkippedDate(requireChangeableDate(body, e))));
        register(
                "/ops/calendar/remove",
                (body, responder) -> changeEntry(body, responder, e -> null));
        register("/ops/calendar/next", this::listUpcoming);
        register("/ops/calendar/ledger", this::listLedger);
    }

    /** Another duty's command. */
    public void register(String path, CommandHandler handler) {
        handlers.put(path, handler);
    }

    /** Whether the path is a command. */
    public boolean handles(String path) {
        return handlers.containsKey(path);
    }

    public void handle(IncomingRequest request) {
        ObjectNode body = WireFormat.JSON.decodeMap(request.body);
        Responder responder =
                (status, out) -> {
                    out.put("by", memberId)
                            .put("generation", watchCache.storeRevision())
                            .put("classes", policy.activeClasses().generation())
                            .put("calendar", policy.calendarGeneration());
                    request.respond(
                            status,
                            WireFormat.JSON,
                            out,
                            status == 503 ? ApiConstants.RETRY_AFTER_SECONDS : 0);
                };
        if (body == null) {
            responder.respondError(400, "the body must be a JSON map of at most 64 KiB");
        } else if (!watchCache.isSynced()) {
            responder.respondError(503, "not ready");
        } else {
            handlers.get(request.path).handle(body, responder);
        }
    }

    // ---- one change

    /** The change's id, under which a repeat is known; null after a refusal. */
    private static String requireChangeId(ObjectNode body, Responder responder) {
        String changeId = body.path("change").asText();
        if (!changeId.matches("[A-Za-z0-9._-]{1,60}")) {
            responder.respondError(
                    400,
                    "change: an id of 1 to 60 letters, digits, dots, dashes or underscores is"
                            + " required");
            return null;
        }
        return changeId;
    }

    /** Commits and tells what came of it. */
    public void commit(Transaction txn, Responder responder, ObjectNode successBody) {
        store.commit(
                txn,
                outcome -> {
                    switch (outcome.result()) {
                        case COMMITTED -> {
                            watchCache.applyCommitted(txn, outcome.storeRevision());
                            responder.respondOk(successBody);
                        }
                        case CONFLICT ->
                                responder.respondError(
                                        409,
                                        "somebody else has changed this meanwhile; look again and"
                                                + " repeat");
                        case THROTTLED, REJECTED ->
                                responder.respondError(
                                        503, "the state service took nothing; repeat later");
                        default ->
                                responder.respond(
                                        503,
                                        WireFormat.newMap()
                                                .put(
                                                        "error",
                                                        "the state service did not answer; the"
                                                            + " change may have been made: repeat"
                                                            + " it with the same id")
                                                .put("unknown", true));
                    }
                });
    }

    // ---- classes

    private void listClasses(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        out.set("list", policy.activeClasses().encode().get("classes"));
        Policy.ClassesHead head = policy.classesHead();
        out.put("rules", head.activeGeneration())
                .put("was", head.previousGeneration())
                .put("next", head.proposedGeneration());
        if (head.rejectedGeneration() != 0) {
            out.put("refused", head.rejectedGeneration()).put("why", head.rejectionReason());
        }
        if (!policy.isReady()) {
            out.put("unread", head.activeGeneration());
        }
        Map<String, int[]> counts = new TreeMap<>();
        for (Job job : jobs.all()) {
            JobClass jobClass = policy.priorityOf(job).jobClass();
            int[] tally =
                    counts.computeIfAbsent(
                            jobClass == null ? "" : jobClass.name(), k -> new int[4]);
            tally[0]++;
            tally[1] += job.waitingTaskCount();
            tally[2] += job.possiblyRunningTaskCount();
            boolean overdue =
                    !job.isCancelled()
                            && job.completedTaskCount() + job.possiblyRunningTaskCount() == 0
                            && loop.wallClockMillis() - job.acceptedAtEpochMillis()
                                    > (jobClass == null
                                                    ? PolicyConstants.DEFAULT_BEGIN_WITHIN_SECONDS
                                                    : jobClass.startWithinSeconds())
                                            * 1000;
            tally[3] += overdue ? 1 : 0;
        }
        ObjectNode countsNode = out.putObject("now");
        counts.forEach(
                (name, tally) ->
                        countsNode
                                .putObject(name)
                                .put("jobs", tally[0])
                                .put("waiting", tally[1])
                                .put("running", tally[2])
                                .put("overdue", tally[3]));
        responder.respondOk(out);
    }

    private void applyClasses(ObjectNode body, Responder responder) {
        try {
            ObjectNode file = WireFormat.newMap();
            file.set("classes", body.get("classes"));
            proposeClasses(
                    PriorityClasses.decode(
                            file,
                            policy.classesHead().highestGeneration() + 1,
                            body.path("file").asText("classes")),
                    body,
                    responder);
        } catch (InvalidRecordException e) {
            responder.respondError(400, e.getMessage());
        }
    }

    private void rollBackClasses(ObjectNode body, Responder responder) {
        long targetGeneration = body.path("to").asLong(policy.classesHead().previousGeneration());
        try {
            PriorityClasses target =
                    targetGeneration == 0
                            ? PriorityClasses.NONE
                            : policy.loadGeneration(targetGeneration);
            proposeClasses(
                    new PriorityClasses(policy.classesHead().highestGeneration() + 1, target.all()),
                    body,
                    responder);
        } catch (InvalidRecordException e) {
            responder.respondError(
                    404,
                    "generation "
                            + targetGeneration
                            + " is not on record any more; there are "
                            + policy.recordedGenerations());
        }
    }

    private void proposeClasses(PriorityClasses classes, ObjectNode body, Responder responder) {
        Policy.ClassesHead head = policy.classesHead();
        List<String> parts = classes.encodeParts();
        int maxParts =
                Math.min(PolicyConstants.MAX_CLASSES_PARTS, store.maxTransactionOperations() - 1);
        if (parts.size() > maxParts) {
            responder.respondError(
                    400,
                    "classes: too long, "
                            + classes.encode().toString().length()
                            + " characters; at most "
                            + maxParts * PolicyConstants.MAX_CLASSES_PART_CHARS);
            return;
        }
        ObjectNode out = previewClasses(classes);
        if (body.path("dryRun").asBoolean()) {
            responder.respondOk(out.put("state", "dry run"));
            return;
        }
        String changeId = requireChangeId(body, responder);
        if (changeId == null) {
            return;
        }
        Long earlierGeneration = head.generationByChangeId().get(changeId);
        if (earlierGeneration != null) {
            responder.respondOk(
                    out.put("proposed", earlierGeneration)
                            .put(
                                    "state",
                                    earlierGeneration == head.activeGeneration()
                                            ? "rules"
                                            : earlierGeneration == head.proposedGeneration()
                                                    ? "proposed"
                                                    : earlierGeneration == head.rejectedGeneration()
                                                            ? "refused"
                                                            : "ruled"));
            return;
        }
        if (head.proposedGeneration() != 0) {
            responder.respondError(
                    409,
                    "generation "
                            + head.proposedGeneration()
                            + " is proposed and waits for a leader");
            return;
        }
        long generation = classes.generation();
        Map<String, Long> generationByChangeId = new LinkedHashMap<>();
        head.generationByChangeId().entrySet().stream()
                .skip(
                        Math.max(
                                0,
                                head.generationByChangeId().size()
                                        - PolicyConstants.MAX_REMEMBERED_CHANGES
                                        + 1))
                .forEach(e -> generationByChangeId.put(e.getKey(), e.getValue()));
        generationByChangeId.put(changeId, generation);
        Transaction txn =
                new Transaction()
                        .requireRevision(
                                StoreKeys.CLASSES_HEAD,
                                watchCache.modRevision(StoreKeys.CLASSES_HEAD));
        for (int i = 0; i < parts.size(); i++) {
            txn.put(
                    StoreKeys.CLASSES_PART_PREFIX + generation + "/" + i,
                    WireFormat.newMap().put("t", parts.get(i)));
        }
        txn.put(
                StoreKeys.CLASSES_HEAD,
                PolicyReconciler.encodeClassesHead(
                        new Policy.ClassesHead(
                                head.activeGeneration(),
                                head.previousGeneration(),
                                generation,
                                generation,
                                generationByChangeId,
                                head.rejectedGeneration(),
                                head.rejectionReason())));
        commit(txn, responder, out.put("proposed", generation).put("state", "proposed"));
    }

    /**
     * What the classes would change for the jobs that wait now, and where their bounds can't be
     * kept, in figures.
     */
    private ObjectNode previewClasses(PriorityClasses classes) {
        ObjectNode out = WireFormat.newMap();
        Map<String, int[]> movesByTransition = new TreeMap<>();
        Map<String, double[]> wantedCpusByClass = new LinkedHashMap<>();
        classes.all().forEach(k -> wantedCpusByClass.put(k.name(), new double[2]));
        double runningCpus = 0;
        for (Job job : jobs.all()) {
            JobClass currentClass = policy.activeClasses().classOf(job.spec);
            JobClass newClass = classes.classOf(job.spec);
            runningCpus += job.possiblyRunningTaskCount() * job.spec.cpus();
            if (job.waitingTaskCount() > 0 && !job.isCancelled()) {
                String fromLabel =
                        currentClass == null
                                ? "none"
                                : currentClass.name() + " (" + currentClass.rank() + ")";
                String toLabel =
                        newClass == null ? "none" : newClass.name() + " (" + newClass.rank() + ")";
                movesByTransition
                        .computeIfAbsent(fromLabel + " -> " + toLabel, k -> new int[2])[0]++;
                movesByTransition.get(fromLabel + " -> " + toLabel)[1] += job.waitingTaskCount();
                if (newClass != null) {
                    wantedCpusByClass.get(newClass.name())[0] +=
                            job.waitingTaskCount() * newClass.minStartedShare() * job.spec.cpus();
                }
            }
        }
        ObjectNode movesNode = out.putObject("waiting");
        movesByTransition.forEach(
                (k, n) -> movesNode.putObject(k).put("jobs", n[0]).put("tasks", n[1]));
        ArrayNode warnings = out.putArray("warnings");
        double totalCpus = 0;
        for (JobClass k : classes.all()) {
            double cpus = wantedCpusByClass.get(k.name())[0];
            totalCpus += cpus;
            if (k.startWithinSeconds() < SchedulerConstants.LONG_WAIT_SECONDS) {
                warnings.add(
                        k.name()
                                + ": beginWithinS is "
                                + k.startWithinSeconds()
                                + " s; a machine rented for it takes "
                                + (long) AutoscalerConstants.TYPICAL_BOOT_SECONDS
                                + " s and more to be up");
            }
        }
        if (totalCpus > runningCpus && runningCpus > 0) {
            warnings.add(
                    "the shares that should begin in time come to "
                            + Math.round(totalCpus)
                            + " CPUs of waiting work; "
                            + Math.round(runningCpus)
                            + " CPUs are in use now: what can't begin in time is shared by age");
        }
        return out;
    }

    private void listClassesHistory(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        Policy.ClassesHead head = policy.classesHead();
        for (long number : policy.recordedGenerations()) {
            ObjectNode node =
                    list.addObject()
                            .put("number", number)
                            .put(
                                    "state",
                                    number == head.activeGeneration()
                                            ? "rules"
                                            : number == head.proposedGeneration()
                                                    ? "proposed"
                                                    : number == head.rejectedGeneration()
                                                            ? "refused"
                                                            : "past");
            head.generationByChangeId()
                    .forEach(
                            (id, changedGeneration) -> {
                                if (changedGeneration == number) {
                                    node.put("change", id);
                                }
                            });
            try {
                node.put("count", policy.loadGeneration(number).all().size());
            } catch (InvalidRecordException e) {
                node.put("error", e.getMessage());
            }
        }
        responder.respondOk(out);
    }

    // ---- calendar

    private interface EntryEdit {
        /** The entry as it should be; null: removed. */
        CalendarEntry apply(CalendarEntry current) throws InvalidRecordException;
    }

    private LocalDate requireChangeableDate(ObjectNode body, CalendarEntry entry)
            throws InvalidRecordException {
        LocalDate date = CalendarEntry.parseDate(body.path("date").asText(), "date");
        if (!entry.isScheduledOn(date)) {
            throw new InvalidRecordException(
                    "date", entry.name() + " has no publication on " + date);
        }
        ScheduledOccurrence occurrence = policy.occurrences().get(entry.name() + "/" + date);
        if (occurrence != null
                        && occurrence.state() != ScheduledOccurrence.State.PLANNED
                        && occurrence.state() != ScheduledOccurrence.State.OPEN
                || date.isBefore(today(entry).minusDays(1))) {
            throw new InvalidRecordException(
                    "date", "the verdict on " + entry.name() + " of " + date + " is given");
        }
        return date;
    }

    private LocalDate today(CalendarEntry entry) {
        return java.time.Instant.ofEpochMilli(loop.wallClockMillis())
                .atZone(entry.timeZone())
                .toLocalDate();
    }

    /**
     * The id of a change of the calendar, empty for a dry run; null after an answer: a bad id, or a
     * repeat.
     */
    private String requireCalendarChangeId(ObjectNode body, Responder responder) {
        String changeId = body.path("dryRun").asBoolean() ? "" : requireChangeId(body, responder);
        if (changeId != null && policy.calendarHead().recentChangeIds().contains(changeId)) {
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
        CalendarEntry current = policy.entries().get(name);
        if (current == null) {
            responder.respondError(
                    404,
                    "name: there is no entry \""
                            + name
                            + "\"; there are "
                            + policy.entries().keySet());
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
            CalendarEntry e =
                    CalendarEntry.decode(body.get("entry"), body.path("file").asText("entry"))
                            .withEffectiveFrom(loop.wallClockMillis());
            if (policy.entries().containsKey(e.name()) && !body.path("replace").asBoolean()) {
                responder.respondError(
                        409,
                        "name: there is an entry \""
                                + e.name()
                                + "\" already; --replace puts this one in its place");
            } else if (policy.entries().size() >= PolicyConstants.MAX_CALENDAR_ENTRIES) {
                responder.respondError(
                        409,
                        "the calendar has "
                                + PolicyConstants.MAX_CALENDAR_ENTRIES
                                + " entries, as many as it may have");
            } else {
                writeEntry(e.name(), e, changeId, body, responder);
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
            addUpcoming(out.putArray("next"), updated, 7);
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
                        .put(StoreKeys.CALENDAR_HEAD, policy.calendarHead().encodeNext(changeId));
        if (updated == null) {
            txn.remove(key);
        } else {
            txn.put(key, updated.encode());
        }
        commit(txn, responder, out.put("state", "done"));
    }

    private void listEntries(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        policy.entries().values().forEach(e -> list.add(e.encode()));
        ArrayNode now = out.putArray("occurrences");
        policy.occurrences()
                .values()
                .forEach(
                        o ->
                                now.add(
                                        o.encodeSummary()
                                                .put("entry", o.entryName)
                                                .put("date", o.date)
                                                .put("unfinished", o.openJobIds.size())));
        responder.respondOk(out);
    }

    private void addUpcoming(ArrayNode publications, CalendarEntry entry, int days) {
        for (CalendarEntry.Publication publication :
                entry.publicationsBetween(
                        loop.wallClockMillis(), loop.wallClockMillis() + days * 86_400_000L)) {
            ObjectNode node =
                    publications
                            .addObject()
                            .put("entry", entry.name())
                            .put("date", publication.date().toString())
                            .put(
                                    "publication",
                                    java.time.Instant.ofEpochMilli(publication.epochMillis())
                                            .toString())
                            .put(
                                    "opens",
                                    java.time.Instant.ofEpochMilli(
                                                    publication.epochMillis()
                                                            - (long) (entry.leadSeconds() * 1000))
                                            .toString());
            List<Double> peaks = policy.historyOf(entry.name()).peakCpus();
            if (!peaks.isEmpty()) {
                node.put("expectedCpus", peaks.stream().sorted().toList().get(peaks.size() / 2));
            }
        }
    }

    private void listUpcoming(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        int days = Math.max(1, Math.min(31, body.path("days").asInt(2)));
        for (CalendarEntry entry : policy.entries().values()) {
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
