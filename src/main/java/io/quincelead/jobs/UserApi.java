package io.quincelead.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.net.Request;
import io.quincelead.policy.Policy;
import io.quincelead.records.Blocks;
import io.quincelead.records.Catalog;
import io.quincelead.records.Chunk;
import io.quincelead.records.Job;
import io.quincelead.records.JobSpec;
import io.quincelead.records.JobTable;
import io.quincelead.state.Committer;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import io.quincelead.state.Session;
import io.quincelead.state.StoreClient;
import io.quincelead.state.Txn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers users. Acceptance, cancellation and completion are committed before they are told. A poll is answered only
 * after a read barrier has shown that what this controller knows of the job is what the store has now.
 */
public final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final String RUNS = "/v2/runs";

    private final Loop loop;
    private final Settings settings;
    private final Session session;
    private final Mirror mirror;
    private final StoreClient store;
    private final Committer committer;
    private final Blocks blocks;
    private final JobTable jobs;
    private final Catalog catalog;
    private final Policy policy;
    private final Entrance entrance;
    private final Cache<String, ObjectNode> finals = Caffeine.newBuilder().maximumSize(Constants.FINAL_CACHE).executor(Runnable::run).build();
    private final ArrayDeque<Poll> polls = new ArrayDeque<>();
    private final Set<String> finishing = new HashSet<>();
    private boolean barrierDue;
    private int barriersOut;
    private boolean sweeping;

    /** {@code otherwise}, {@code why}: how it is refused once the store has shown that there is no such job. */
    private record Poll(String id, Request request, long deadline, int otherwise, String why) { }

    /** What a barrier compares for a poll; {@code absent}: nothing is known of the job here. */
    private record Compared(Poll poll, Job job, boolean absent, List<String> keys) { }

    public UserApi(Loop loop, Settings settings, Session session, Mirror mirror, StoreClient store, Committer committer,
            Blocks blocks, JobTable jobs, Catalog catalog, Policy policy, Entrance entrance) {
        this.policy = policy;
        this.loop = loop;
        this.settings = settings;
        this.session = session;
        this.mirror = mirror;
        this.store = store;
        this.committer = committer;
        this.blocks = blocks;
        this.jobs = jobs;
        this.catalog = catalog;
        this.entrance = entrance;
        mirror.onChange(this::finish);
    }

    /** Whether users should be sent here: the store has answered lately and all is read. */
    public boolean ready() {
        return mirror.synced() && session.valid();
    }

    public void handle(Request request) {
        String path = request.path;
        if (path.equals(RUNS)) {
            if (allowed(request, "POST")) {
                submit(request);
            }
            return;
        }
        if (!path.startsWith(RUNS + "/")) {
            request.refuse(404, "no such path");
            return;
        }
        String rest = path.substring(RUNS.length() + 1);
        if (rest.endsWith("/cancel")) {
            if (allowed(request, "POST")) {
                cancel(rest.substring(0, rest.length() - "/cancel".length()), request);
            }
        } else if (rest.indexOf('/') >= 0) {
            request.refuse(404, "no such path");
        } else if (allowed(request, "GET")) {
            poll(rest, request);
        }
    }

    private static boolean allowed(Request request, String method) {
        if (request.method.equals(method)) {
            return true;
        }
        request.refuse(405, "only " + method + " is allowed here");
        return false;
    }

    // ---- submissions

    private void submit(Request request) {
        ObjectNode body = Codec.CBOR.readMap(request.body);
        JobSpec spec;
        try {
            spec = JobSpec.parse(body);
        } catch (JobSpec.Malformed e) {
            String id = body == null ? "" : body.path("nameId").asText();
            if (JobSpec.validId(id)) {
                poll(id, request, 400, e.getMessage());
            } else {
                request.refuse(400, e.getMessage());
            }
            return;
        }
        if (finals.getIfPresent(spec.id()) != null || jobs.get(spec.id()) != null) {
            poll(spec.id(), request);
            return;
        }
        if (!ready() || !catalog.known()) {
            request.later(503, "not ready");
            return;
        }
        String never = impossible(spec);
        if (never != null) {
            poll(spec.id(), request, 422, never);
            return;
        }
        if (committer.full() || jobs.all().size() >= Constants.MAX_OPEN_JOBS || jobs.openTasks() + spec.members() > Constants.MAX_OPEN_TASKS) {
            request.later(429, "too much to do");
            return;
        }
        Job job = new Job(spec, settings.member(), loop.wall());
        Txn.Done done = outcome -> {
            switch (outcome.result()) {
                case DONE -> request.answer(201, Codec.map().put("nameId", spec.id()).put("status", "pending"));
                case CONFLICT -> poll(spec.id(), request);
                default -> request.later(503, "the state service does not answer");
            }
        };
        if (!entrance.take(job, Constants.USER_PATIENCE_MS, done)) {
            Txn txn = new Txn().guard(job.key(), 0).guard(Keys.FINAL + spec.id(), 0).put(job.key(), job.encode());
            committer.submit(txn, Constants.USER_PATIENCE_MS, done);
        }
    }

    private String impossible(JobSpec s) {
        Settings.Team team = settings.teams().get(s.owner());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!catalog.fitsSome(s)) {
            return "shapes, site, vcpus, cards, ramGb: no allowed machine type holds one task";
        }
        int atOnce = s.mode() == JobSpec.Mode.ARRAY ? 1 : s.members();
        if (s.vcpus() * atOnce > team.cpusMax() + 1e-9 || s.cards() * atOnce > team.gpusMax() + 1e-9) {
            return "members, vcpus, cards: more than the team's limit";
        }
        if (s.mode() != JobSpec.Mode.ARRAY && s.scatter() && s.members() > 1 && (s.oneZone() || s.site() != null)) {
            return "scatter: all tasks at once in one zone are more than half of them";
        }
        return null;
    }

    // ---- polls

    private void poll(String id, Request request) {
        poll(id, request, 404, "no such job");
    }

    /** A job that was accepted once is never refused, whatever its submission would get now: that is told only where there is none. */
    private void poll(String id, Request request, int otherwise, String why) {
        ObjectNode end = finals.getIfPresent(id);
        if (end != null) {
            request.answer(200, end);
            return;
        }
        if (!JobSpec.validId(id)) {
            request.refuse(404, "no such job");
            return;
        }
        if (!mirror.synced() || !session.joined()) {
            request.later(503, "not ready");
            return;
        }
        if (polls.size() >= Constants.MAX_WAITING_POLLS) {
            request.later(429, "too many polls");
            return;
        }
        polls.addLast(new Poll(id, request, loop.now() + Constants.USER_PATIENCE_MS, otherwise, why));
        wantBarrier(Constants.BARRIER_GAP_MS);
    }

    private void wantBarrier(long ms) {
        if (!barrierDue) {
            barrierDue = true;
            loop.after(ms, this::barrier);
        }
    }

    /** One comparison in the store for all waiting polls: each known stamp must still be the job's stamp. */
    private void barrier() {
        barrierDue = false;
        long now = loop.now();
        while (!polls.isEmpty() && polls.peekFirst().deadline < now) {
            polls.pollFirst().request.later(503, "the state service does not answer");
        }
        if (polls.isEmpty()) {
            return;
        }
        if (barriersOut >= 2) {
            wantBarrier(Constants.BARRIER_GAP_MS);
            return;
        }
        long wait = store.waitMs();
        if (wait > Constants.BARRIER_GAP_MS) {
            wantBarrier(Math.min(wait, Constants.RETRY_MS));
            return;
        }
        Txn compare = new Txn();
        List<Compared> batch = new ArrayList<>();
        while (!polls.isEmpty()) {
            Compared next = compared(polls.peekFirst());
            if (next.keys.size() > store.txnOps() * Constants.GUARDS_PER_OP) {
                // More records than a comparison holds: they are read.
                readFresh(polls.pollFirst());
                continue;
            }
            if (!compare.fits(0, next.keys.size(), store.txnOps())) {
                break;
            }
            polls.pollFirst();
            next.keys.forEach(k -> compare.guard(k, mirror.stamp(k)));
            batch.add(next);
        }
        if (!batch.isEmpty()) {
            barriersOut++;
            store.commit(compare, outcome -> {
                barriersOut--;
                batch.forEach(c -> settle(c, outcome));
            });
        }
        if (!polls.isEmpty()) {
            wantBarrier(1);
        }
    }

    /** All that an answer is made of: the job's own record, and those of its tasks where these are kept apart. */
    private Compared compared(Poll p) {
        Job job = jobs.get(p.id);
        List<String> keys = new ArrayList<>(List.of(Keys.JOB + p.id));
        boolean absent = mirror.stamp(Keys.JOB + p.id) == 0;
        if (absent) {
            keys.add(Keys.FINAL + p.id);
        } else if (job != null && !job.single()) {
            for (int k = 0; k < job.chunks.length; k++) {
                keys.add(job.chunk(k).key());
            }
        }
        return new Compared(p, job, absent, keys);
    }

    /** 404 only if the store itself has just shown that neither record exists. */
    private void settle(Compared c, Txn.Outcome outcome) {
        Poll p = c.poll;
        if (outcome.result() != Txn.Result.DONE && outcome.result() != Txn.Result.CONFLICT) {
            p.request.later(503, "the state service does not answer");
            return;
        }
        boolean held = outcome.result() == Txn.Result.DONE || !outcome.failed().isEmpty() && c.keys.stream().noneMatch(outcome.failed()::contains);
        if (held && c.absent) {
            p.request.refuse(p.otherwise, p.why);
        } else if (held && c.job != null && jobs.get(p.id) == c.job) {
            p.request.answer(200, c.job.status());
        } else {
            // Changed since, or it ended elsewhere while the barrier was out: it is on record under one key or the other.
            readFresh(p);
        }
    }

    /** The mirror is behind on this job: the answer is made of its records themselves. Jobs move to their final key, never back. */
    private void readFresh(Poll p) {
        store.get(Keys.JOB + p.id, (status, body) -> {
            if (status == 200 && body.path("value").path("s").path("members").asInt() > Constants.CHUNK_TASKS) {
                readTasks(p, null, new Chunk.Counts(0, 0));
            } else if (status == 200) {
                p.request.answer(200, Job.status(p.id, Chunk.Counts.of(body.path("value").path("k"))));
            } else {
                notLive(p, status);
            }
        });
    }

    /** The tasks of a larger job, page by page; then whether the job still was there, so that nothing was swept away meanwhile. */
    private void readTasks(Poll p, String after, Chunk.Counts before) {
        store.list(Keys.CHUNK + p.id + "/", after, (status, body) -> {
            if (status != 200 || !body.path("items").isArray()) {
                p.request.later(503, "the state service does not answer");
                return;
            }
            Chunk.Counts counts = before;
            String last = after;
            for (JsonNode item : body.path("items")) {
                counts = counts.and(Chunk.Counts.of(item.path("value")));
                last = item.path("path").asText();
            }
            if (body.path("truncated").asBoolean() && last != null) {
                readTasks(p, last, counts);
                return;
            }
            Chunk.Counts all = counts;
            store.get(Keys.JOB + p.id, (now, job) -> {
                if (now == 200) {
                    p.request.answer(200, Job.status(p.id, all));
                } else {
                    notLive(p, now);
                }
            });
        });
    }

    private void notLive(Poll p, int status) {
        if (status == 404) {
            readFinal(p.id, p.request, () -> p.request.refuse(p.otherwise, p.why));
        } else {
            p.request.later(503, "the state service does not answer");
        }
    }

    private void readFinal(String id, Request request, Runnable otherwise) {
        store.get(Keys.FINAL + id, (status, body) -> {
            if (status == 200) {
                ObjectNode answer = finalAnswer(id, body.path("value").path("s").asText(), body.path("value").path("n").asInt());
                finals.put(id, answer);
                request.answer(200, answer);
            } else if (status == 404) {
                otherwise.run();
            } else {
                request.later(503, "the state service does not answer");
            }
        });
    }

    private static ObjectNode finalAnswer(String id, String status, int done) {
        return Codec.map().put("nameId", id).put("status", status).put("done", done).put("running", 0);
    }

    // ---- cancellations

    private void cancel(String id, Request request) {
        ObjectNode end = finals.getIfPresent(id);
        if (end != null) {
            request.answer(200, end);
            return;
        }
        if (!JobSpec.validId(id)) {
            request.refuse(404, "no such job");
            return;
        }
        if (!ready()) {
            request.later(503, "not ready");
            return;
        }
        Job job = jobs.get(id);
        LOG.debug("the cancellation of {} is asked for", id);
        if (job == null) {
            store.get(Keys.JOB + id, (status, body) -> {
                if (status == 200) {
                    request.later(503, "this controller is catching up");
                } else if (status == 404) {
                    readFinal(id, request, () -> request.refuse(404, "no such job"));
                } else {
                    request.later(503, "the state service does not answer");
                }
            });
            return;
        }
        if (job.cancelled()) {
            untilGone(id, request, loop.now() + Constants.USER_PATIENCE_MS, false);
            return;
        }
        if (committer.full()) {
            request.later(429, "too much to do");
            return;
        }
        commitCancel(job, request, loop.now() + Constants.USER_PATIENCE_MS);
    }

    private void commitCancel(Job job, Request request, long deadline) {
        Txn txn = new Txn().guard(job.key(), mirror.stamp(job.key())).put(job.key(), job.encode(job.controller, loop.wall()));
        committer.submit(txn, Math.max(0, deadline - loop.now()), outcome -> {
            LOG.debug("the cancellation of {}: {}", job.spec.id(), outcome.result());
            switch (outcome.result()) {
                case DONE -> untilGone(job.spec.id(), request, deadline, false);
                case CONFLICT -> loop.after(Constants.BARRIER_GAP_MS, () -> {
                    if (loop.now() > deadline) {
                        request.later(503, "try again");
                    } else {
                        cancel(job.spec.id(), request);
                    }
                });
                default -> request.later(503, "the state service does not answer");
            }
        });
    }

    /**
     * "Cancelled" is told when every task is gone, by evidence. Told before, it would be a promise that nobody can keep for
     * a machine behind a cut that the cloud can't release either: the time of {@code cancel_s} runs from the telling. From
     * the record on nothing starts, and the job ends by itself; a user who is sent away asks again. {@code empty}: at the last look
     * no task had a place on record, and yet its own controller had not ended it; the store may refuse that one alone.
     */
    private void untilGone(String id, Request request, long deadline, boolean empty) {
        Job job = jobs.get(id);
        boolean over = job != null && job.cancelled() && job.placedCount() == 0;
        // Every chunk must fit the guards: its own controller alone knows all of a larger job.
        if (over && empty && job.chunks.length < store.txnOps() && ready() && !committer.full() && finishing.add(id)) {
            end(job);
        }
        if (job == null) {
            LOG.debug("the cancellation of {} is told", id);
            readFinal(id, request, () -> request.later(503, "try again"));
        } else if (loop.now() >= deadline) {
            request.later(503, "its tasks are being stopped");
        } else {
            loop.after(Constants.BARRIER_GAP_MS, () -> untilGone(id, request, deadline, over));
        }
    }

    // ---- ends

    /** Moves jobs that are over to their final key. Only then is a user told "done". */
    public void finish() {
        if (!session.valid() || committer.full()) {
            return;
        }
        for (Job job : jobs.all()) {
            boolean over = job.complete() || job.cancelled() && job.placedCount() == 0
                    || job.seenComplete() && blocks.mine() != null && job.chunks.length <= store.txnOps() - 2;
            boolean ours = over && ( job.controller.equals(settings.member()) || blocks.node(job.controller) == null && settings.member().equals(blocks.leader()));
            if (ours && finishing.add(job.spec.id())) {
                end(job);
            }
        }
        sweep();
    }

    private void end(Job job) {
        String id = job.spec.id();
        String status = job.cancelled() ? "cancelled" : "done";
        int done = job.cancelled() ? job.doneCount() : job.spec.members();
        ObjectNode last = Codec.map().put("s", status).put("n", done);
        Txn txn = new Txn().guard(job.key(), mirror.stamp(job.key())).remove(job.key()).put(Keys.FINAL + id, last);
        policy.ended(job, last, txn, loop.wall());
        for (int k = 0; k < job.chunks.length; k++) {
            String key = job.chunk(k).key();
            boolean there = job.chunks[k] != null;
            if (!job.single() && txn.fits(there ? 1 : 0, 1, store.txnOps())) {
                // Also where none is known: whoever else ends a job may not have heard yet that its tasks got places.
                txn.guard(key, mirror.stamp(key));
                if (there) {
                    txn.remove(key);
                }
            }
        }
        if (!job.complete() && !job.cancelled()) {
            // The last ends are known by evidence, which counts only while the machines are ours.
            txn.guard(blocks.mine().key(), mirror.stamp(blocks.mine().key()));
        }
        ObjectNode answer = finalAnswer(id, status, done);
        committer.submit(txn, Constants.STORE_TIMEOUT_MS, outcome -> {
            if (outcome.result() == Txn.Result.DONE) {
                finals.put(id, answer);
                finishing.remove(id);
            } else {
                LOG.debug("the end of {} was not recorded: {}", id, outcome.result());
                loop.after(Constants.RETRY_MS, () -> {
                    finishing.remove(id);
                    finish();
                });
            }
        });
    }

    /** Removes chunks that a large job left behind. */
    private void sweep() {
        if (sweeping || jobs.orphans().isEmpty() || !settings.member().equals(blocks.leader())) {
            return;
        }
        Txn txn = new Txn();
        for (String key : jobs.orphans()) {
            // Only where the job is over for good: after a relist a chunk may be seen before its job.
            String job = Keys.JOB + key.substring(Keys.CHUNK.length(), key.lastIndexOf('/'));
            if (!txn.fits(1, 1, store.txnOps())) {
                break;
            }
            txn.guard(job, 0).remove(key);
        }
        sweeping = true;
        committer.submit(txn, Constants.STORE_TIMEOUT_MS, outcome -> loop.after(Constants.RETRY_MS, () -> {
            sweeping = false;
            finish();
        }));
    }
}
