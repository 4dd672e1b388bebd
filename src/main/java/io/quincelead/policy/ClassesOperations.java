package io.quincelead.policy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.policy.OperatorApi.Responder;
import io.quincelead.store.StoreClient;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.Transaction;
import io.quincelead.store.WatchCache;
import io.quincelead.transport.WireFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Operators' commands on priority classes. A command only proposes a change; the leader puts it in
 * force.
 */
final class ClassesOperations {
    /** Counts of the jobs and tasks of one class. */
    private static final class ClassTally {
        private int jobs;
        private int waitingTasks;
        private int runningTasks;
        private int overdueJobs;
    }

    private final EventLoop loop;
    private final WatchCache watchCache;
    private final StoreClient store;
    private final JobTable jobs;
    private final Policy policy;
    private final PolicyRecords records;
    private final OperatorApi api;

    ClassesOperations(
            EventLoop loop,
            WatchCache watchCache,
            StoreClient store,
            JobTable jobs,
            Policy policy,
            OperatorApi api) {
        this.loop = loop;
        this.watchCache = watchCache;
        this.store = store;
        this.jobs = jobs;
        this.policy = policy;
        this.records = policy.records();
        this.api = api;
    }

    void registerHandlers() {
        api.register("/ops/classes/list", this::listClasses);
        api.register("/ops/classes/apply", this::applyClasses);
        api.register("/ops/classes/rollback", this::rollBackClasses);
        api.register("/ops/classes/history", this::listHistory);
    }

    private void listClasses(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        out.set("list", PriorityClassesCodec.encode(records.activeClasses()).get("classes"));
        ClassesHead head = records.classesHead();
        out.put("rules", head.activeGeneration())
                .put("was", head.previousGeneration())
                .put("next", head.proposedGeneration());
        if (head.rejectedGeneration() != 0) {
            out.put("refused", head.rejectedGeneration()).put("why", head.rejectionReason());
        }
        if (!policy.isActiveGenerationReadable()) {
            out.put("unread", head.activeGeneration());
        }
        ObjectNode talliesNode = out.putObject("now");
        tallyJobs()
                .forEach(
                        (className, tally) ->
                                talliesNode
                                        .putObject(className)
                                        .put("jobs", tally.jobs)
                                        .put("waiting", tally.waitingTasks)
                                        .put("running", tally.runningTasks)
                                        .put("overdue", tally.overdueJobs));
        responder.respondOk(out);
    }

    /** Tallies by class name; empty name: jobs of no class. */
    private Map<String, ClassTally> tallyJobs() {
        Map<String, ClassTally> tallies = new TreeMap<>();
        for (Job job : jobs.all()) {
            EffectivePriority priority = policy.effectivePriorityOf(job);
            String className =
                    priority.priorityClass() == null ? "" : priority.priorityClass().name();
            ClassTally tally = tallies.computeIfAbsent(className, name -> new ClassTally());
            tally.jobs++;
            tally.waitingTasks += job.waitingTaskCount();
            tally.runningTasks += job.possiblyRunningTaskCount();
            long waitedMillis = loop.wallClockMillis() - job.acceptedAtEpochMillis();
            if (!job.isCancelled()
                    && job.completedTaskCount() + job.possiblyRunningTaskCount() == 0
                    && waitedMillis > priority.startWithinSeconds() * 1000) {
                tally.overdueJobs++;
            }
        }
        return tallies;
    }

    private void applyClasses(ObjectNode body, Responder responder) {
        try {
            ObjectNode file = WireFormat.newMap();
            file.set("classes", body.get("classes"));
            long generation = records.classesHead().highestGeneration() + 1;
            String source = body.path("file").asText("classes");
            propose(PriorityClassesCodec.decode(file, generation, source), body, responder);
        } catch (InvalidRecordException e) {
            responder.respondError(400, e.getMessage());
        }
    }

    private void rollBackClasses(ObjectNode body, Responder responder) {
        long target = body.path("to").asLong(records.classesHead().previousGeneration());
        try {
            PriorityClasses earlier =
                    target == 0 ? PriorityClasses.NONE : records.loadGeneration(target);
            long generation = records.classesHead().highestGeneration() + 1;
            propose(new PriorityClasses(generation, earlier.all()), body, responder);
        } catch (InvalidRecordException e) {
            responder.respondError(
                    404,
                    "generation "
                            + target
                            + " is not on record any more; there are "
                            + records.recordedGenerations());
        }
    }

    private void propose(PriorityClasses classes, ObjectNode body, Responder responder) {
        List<String> parts = PriorityClassesCodec.encodeParts(classes);
        int maxParts =
                Math.min(PolicyConstants.MAX_CLASSES_PARTS, store.maxTransactionOperations() - 1);
        if (parts.size() > maxParts) {
            responder.respondError(
                    400,
                    "classes: too long, "
                            + PriorityClassesCodec.encode(classes).toString().length()
                            + " characters; at most "
                            + maxParts * PolicyConstants.MAX_CLASSES_PART_CHARS);
            return;
        }
        ObjectNode out = new ClassesPreview(jobs, records.activeClasses(), classes).compute();
        if (body.path("dryRun").asBoolean()) {
            responder.respondOk(out.put("state", "dry run"));
            return;
        }
        String changeId = OperatorApi.requireChangeId(body, responder);
        if (changeId == null) {
            return;
        }
        ClassesHead head = records.classesHead();
        Long earlierGeneration = head.generationByChangeId().get(changeId);
        if (earlierGeneration != null) {
            responder.respondOk(
                    out.put("proposed", earlierGeneration)
                            .put("state", head.stateOf(earlierGeneration, "ruled")));
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
        api.commit(
                proposal(head.withProposal(changeId, generation), generation, parts),
                responder,
                out.put("proposed", generation).put("state", "proposed"));
    }

    private Transaction proposal(ClassesHead head, long generation, List<String> parts) {
        Transaction txn =
                new Transaction()
                        .requireRevision(
                                StoreKeys.CLASSES_HEAD,
                                watchCache.modRevision(StoreKeys.CLASSES_HEAD));
        for (int i = 0; i < parts.size(); i++) {
            txn.put(
                    StoreKeys.CLASSES_PART_PREFIX + generation + "/" + i,
                    PriorityClassesCodec.encodePart(parts.get(i)));
        }
        return txn.put(StoreKeys.CLASSES_HEAD, PriorityClassesCodec.encodeHead(head));
    }

    private void listHistory(ObjectNode body, Responder responder) {
        ObjectNode out = WireFormat.newMap();
        ArrayNode list = out.putArray("list");
        ClassesHead head = records.classesHead();
        for (long generation : records.recordedGenerations()) {
            ObjectNode node =
                    list.addObject()
                            .put("number", generation)
                            .put("state", head.stateOf(generation, "past"));
            head.generationByChangeId()
                    .forEach(
                            (changeId, changed) -> {
                                if (changed == generation) {
                                    node.put("change", changeId);
                                }
                            });
            try {
                node.put("count", records.loadGeneration(generation).all().size());
            } catch (InvalidRecordException e) {
                node.put("error", e.getMessage());
            }
        }
        responder.respondOk(out);
    }
}
