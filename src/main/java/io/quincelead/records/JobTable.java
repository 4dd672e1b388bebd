package io.quincelead.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Loop;
import io.quincelead.state.Keys;
import io.quincelead.state.Mirror;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All unfinished jobs and where their tasks may be, as mirrored from the store. */
public final class JobTable {
    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    private final Loop loop;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, HostLoad> byHost = new HashMap<>();
    /** The same jobs, the longest accepted first. */
    private final List<Job> byAge = new ArrayList<>();
    private final Set<String> orphans = new LinkedHashSet<>();
    private long openTasks;
    private Consumer<Placement> onPlaced = p -> { };
    private Consumer<String> onTouched = h -> { };
    private Consumer<Job> onJob = j -> { };

    public JobTable(Loop loop, Mirror mirror) {
        this.loop = loop;
        mirror.view(Keys.JOB, new Mirror.View() {
            @Override public void put(String key, JsonNode value, long stamp) {
                putJob(key, value);
            }

            @Override public void remove(String key) {
                removeJob(key.substring(Keys.JOB.length()));
            }
        });
        mirror.view(Keys.CHUNK, new Mirror.View() {
            @Override public void put(String key, JsonNode value, long stamp) {
                putChunk(key, value);
            }

            @Override public void remove(String key) {
                putChunk(key, null);
            }
        });
    }

    /** Called for each start that appears on record. */
    public void onPlaced(Consumer<Placement> listener) {
        onPlaced = listener;
    }

    /** Called for each job that appears on record. */
    public void onJob(Consumer<Job> listener) {
        onJob = listener;
    }

    /** Called with each machine for which a record or its meaning has changed. */
    public void onTouched(Consumer<String> listener) {
        onTouched = listener;
    }

    public Job get(String id) {
        return jobs.get(id);
    }

    public Collection<Job> all() {
        return jobs.values();
    }

    /** All jobs, the longest accepted first. */
    public List<Job> byAge() {
        return byAge;
    }

    private static int older(Job a, Job b) {
        return a.acceptedAt != b.acceptedAt ? Long.compare(a.acceptedAt, b.acceptedAt) : a.spec.id().compareTo(b.spec.id());
    }

    public long openTasks() {
        return openTasks;
    }

    /** Chunks left behind by jobs that are over. */
    public Set<String> orphans() {
        return orphans;
    }

    /** Where tasks may be on a machine, by task name. */
    public Map<String, Placement> on(String host) {
        HostLoad load = byHost.get(host);
        return load == null ? Map.of() : load.tasks;
    }

    /** What those tasks use; null if there are none. */
    public HostLoad load(String host) {
        return byHost.get(host);
    }

    private void putJob(String key, JsonNode value) {
        String id = key.substring(Keys.JOB.length());
        Job job = jobs.get(id);
        if (job == null) {
            try {
                job = new Job(JobSpec.parse((ObjectNode) value.path("s")));
            } catch (JobSpec.Malformed | ClassCastException e) {
                LOG.error("the record {} can't be read ({}); the job is left alone", key, e.getMessage());
                return;
            }
            jobs.put(id, job);
            openTasks += job.spec.members();
            job.read(value);
            int at = byAge.size();
            while (at > 0 && older(job, byAge.get(at - 1)) < 0) {
                at--;
            }
            byAge.add(at, job);
            onJob.accept(job);
        }
        boolean wasCancelled = job.cancelled();
        job.read(value);
        if (job.single()) {
            putChunk(job, 0, value.get("k"));
        }
        if (job.cancelled() && !wasCancelled) {
            for (Chunk c : job.chunks) {
                if (c != null) {
                    for (Placement p : c.placed) {
                        p.load.touch();
                        onTouched.accept(p.host);
                    }
                }
            }
        }
    }

    private void removeJob(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        openTasks -= job.spec.members();
        byAge.remove(job);
        for (Chunk c : job.chunks) {
            if (c != null) {
                if (!job.single()) {
                    orphans.add(c.key());
                }
                for (Placement p : c.placed) {
                    unindex(p);
                    onTouched.accept(p.host);
                }
            }
        }
    }

    private void putChunk(String key, JsonNode value) {
        String rest = key.substring(Keys.CHUNK.length());
        int slash = rest.lastIndexOf('/');
        Job job = slash < 0 ? null : jobs.get(rest.substring(0, slash));
        if (job == null) {
            if (value == null) {
                orphans.remove(key);
            } else {
                orphans.add(key);
            }
            return;
        }
        int number;
        try {
            number = Integer.parseInt(rest.substring(slash + 1));
        } catch (NumberFormatException e) {
            number = -1;
        }
        if (number < 0 || number >= job.chunks.length || job.single()) {
            LOG.error("the record {} does not belong to its job; it is left alone", key);
            return;
        }
        putChunk(job, number, value);
    }

    private void putChunk(Job job, int number, JsonNode value) {
        Chunk before = job.chunks[number];
        Chunk next;
        try {
            next = value == null ? null : Chunk.decode(job, number, value, before, loop.now());
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            LOG.error("the places of {} in record {} can't be read; the record is left alone", job.spec.id(), number);
            return;
        }
        Places was = before == null ? null : before.placed;
        Places is = next == null ? null : next.placed;
        Places.changes(was, is, (old, p) -> {
            if (old != null) {
                unindex(old);
                if (p == null) {
                    onTouched.accept(old.host);
                }
            }
        });
        job.set(number, next);
        Places.changes(was, is, (old, p) -> {
            if (p != null) {
                index(old, p);
            }
        });
    }

    private void index(Placement old, Placement p) {
        boolean same = old != null && old.same(p.index, p.host, p.attempt);
        if (!same) {
            onPlaced.accept(p);
        }
        if (!same || old.stop != p.stop) {
            onTouched.accept(p.host);
        }
        p.load = byHost.computeIfAbsent(p.host, h -> new HostLoad());
        p.load.tasks.put(p.name(), p);
        p.load.touch();
    }

    private void unindex(Placement p) {
        HostLoad load = byHost.get(p.host);
        if (load != null) {
            load.tasks.remove(p.name());
            load.touch();
            if (load.tasks.isEmpty()) {
                byHost.remove(p.host);
            }
        }
        p.load = null;
    }
}
