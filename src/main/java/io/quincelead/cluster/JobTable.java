package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
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
    private final EventLoop loop;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, MachineLoad> loadByHost = new HashMap<>();

    /** The same jobs, the longest accepted first. */
    private final List<Job> jobsOldestFirst = new ArrayList<>();

    private final Set<String> orphanPageKeys = new LinkedHashSet<>();
    private long unfinishedTaskCount;
    private Consumer<Placement> placementListener = p -> {};
    private Consumer<String> machineListener = h -> {};
    private Consumer<Job> jobListener = j -> {};

    public JobTable(EventLoop loop, WatchCache mirror) {
        this.loop = loop;
        mirror.addPrefixListener(
                StoreKeys.JOB_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long stamp) {
                        applyJob(key, value);
                    }

                    @Override
                    public void onRemove(String key) {
                        removeJob(key.substring(StoreKeys.JOB_PREFIX.length()));
                    }
                });
        mirror.addPrefixListener(
                StoreKeys.TASK_STATE_PAGE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long stamp) {
                        applyPage(key, value);
                    }

                    @Override
                    public void onRemove(String key) {
                        applyPage(key, null);
                    }
                });
    }

    /** Called for each start that appears on record. */
    public void onPlacementRecorded(Consumer<Placement> listener) {
        placementListener = listener;
    }

    /** Called for each job that appears on record. */
    public void onJobAdded(Consumer<Job> listener) {
        jobListener = listener;
    }

    /** Called with each machine for which a record or its meaning has changed. */
    public void onMachineChanged(Consumer<String> listener) {
        machineListener = listener;
    }

    public Job get(String jobId) {
        return jobs.get(jobId);
    }

    public Collection<Job> all() {
        return jobs.values();
    }

    /** All jobs, the longest accepted first. */
    public List<Job> jobsOldestFirst() {
        return jobsOldestFirst;
    }

    private static int compareByAge(Job left, Job right) {
        return left.acceptedAtEpochMillis != right.acceptedAtEpochMillis
                ? Long.compare(left.acceptedAtEpochMillis, right.acceptedAtEpochMillis)
                : left.spec.jobId().compareTo(right.spec.jobId());
    }

    public long unfinishedTaskCount() {
        return unfinishedTaskCount;
    }

    /** Chunks left behind by jobs that are over. */
    public Set<String> orphanPageKeys() {
        return orphanPageKeys;
    }

    /** Where tasks may be on a machine, by task name. */
    public Map<String, Placement> placementsOn(String host) {
        MachineLoad load = loadByHost.get(host);
        return load == null ? Map.of() : load.placementsByTask;
    }

    /** What those tasks use; null if there are none. */
    public MachineLoad loadOf(String host) {
        return loadByHost.get(host);
    }

    private void applyJob(String key, JsonNode value) {
        String jobId = key.substring(StoreKeys.JOB_PREFIX.length());
        Job job = jobs.get(jobId);
        if (job == null) {
            try {
                job = new Job(JobSpec.decode((ObjectNode) value.path("s")));
            } catch (JobSpec.MalformedJobException | ClassCastException malformed) {
                LOG.error(
                        "the record {} can't be read ({}); the job is left alone",
                        key,
                        malformed.getMessage());
                return;
            }
            jobs.put(jobId, job);
            unfinishedTaskCount += job.spec.taskCount();
            job.applyRecord(value);
            int position = jobsOldestFirst.size();
            while (position > 0 && compareByAge(job, jobsOldestFirst.get(position - 1)) < 0) {
                position--;
            }
            jobsOldestFirst.add(position, job);
            jobListener.accept(job);
        }
        boolean wasCancelled = job.isCancelled();
        job.applyRecord(value);
        if (job.hasSinglePage()) {
            applyPage(job, 0, value.get("k"));
        }
        if (job.isCancelled() && !wasCancelled) {
            for (TaskStatePage page : job.pages) {
                if (page != null) {
                    for (Placement placement : page.placements) {
                        placement.machineLoad.invalidate();
                        machineListener.accept(placement.host);
                    }
                }
            }
        }
    }

    private void removeJob(String jobId) {
        Job job = jobs.remove(jobId);
        if (job == null) {
            return;
        }
        unfinishedTaskCount -= job.spec.taskCount();
        jobsOldestFirst.remove(job);
        for (TaskStatePage page : job.pages) {
            if (page != null) {
                if (!job.hasSinglePage()) {
                    orphanPageKeys.add(page.storeKey());
                }
                for (Placement placement : page.placements) {
                    unindex(placement);
                    machineListener.accept(placement.host);
                }
            }
        }
    }

    private void applyPage(String key, JsonNode value) {
        String rest = key.substring(StoreKeys.TASK_STATE_PAGE_PREFIX.length());
        int slash = rest.lastIndexOf('/');
        Job job = slash < 0 ? null : jobs.get(rest.substring(0, slash));
        if (job == null) {
            if (value == null) {
                orphanPageKeys.remove(key);
            } else {
                orphanPageKeys.add(key);
            }
            return;
        }
        int pageNumber;
        try {
            pageNumber = Integer.parseInt(rest.substring(slash + 1));
        } catch (NumberFormatException e) {
            pageNumber = -1;
        }
        if (pageNumber < 0 || pageNumber >= job.pages.length || job.hasSinglePage()) {
            LOG.error("the record {} does not belong to its job; it is left alone", key);
            return;
        }
        applyPage(job, pageNumber, value);
    }

    private void applyPage(Job job, int pageNumber, JsonNode value) {
        TaskStatePage previousPage = job.pages[pageNumber];
        TaskStatePage nextPage;
        try {
            nextPage =
                    value == null
                            ? null
                            : TaskStatePageCodec.decode(
                                    job, pageNumber, value, previousPage, loop.nowMillis());
        } catch (MalformedRecordException e) {
            LOG.error("{} can't be read; the record is left alone", e.getMessage(), e);
            return;
        }
        PlacementTable placementsBefore = previousPage == null ? null : previousPage.placements;
        PlacementTable placementsAfter = nextPage == null ? null : nextPage.placements;
        PlacementTable.forEachChange(
                placementsBefore,
                placementsAfter,
                (previous, current) -> {
                    if (previous != null) {
                        unindex(previous);
                        if (current == null) {
                            machineListener.accept(previous.host);
                        }
                    }
                });
        job.replacePage(pageNumber, nextPage);
        PlacementTable.forEachChange(
                placementsBefore,
                placementsAfter,
                (previous, current) -> {
                    if (current != null) {
                        index(previous, current);
                    }
                });
    }

    private void index(Placement previous, Placement placement) {
        boolean sameStart =
                previous != null
                        && previous.isSameStart(
                                placement.taskIndex, placement.host, placement.attempt);
        if (!sameStart) {
            placementListener.accept(placement);
        }
        if (!sameStart || previous.stopRequested != placement.stopRequested) {
            machineListener.accept(placement.host);
        }
        placement.machineLoad = loadByHost.computeIfAbsent(placement.host, h -> new MachineLoad());
        placement.machineLoad.placementsByTask.put(placement.taskName(), placement);
        placement.machineLoad.invalidate();
    }

    private void unindex(Placement placement) {
        MachineLoad load = loadByHost.get(placement.host);
        if (load != null) {
            load.placementsByTask.remove(placement.taskName());
            load.invalidate();
            if (load.placementsByTask.isEmpty()) {
                loadByHost.remove(placement.host);
            }
        }
        placement.machineLoad = null;
    }
}
