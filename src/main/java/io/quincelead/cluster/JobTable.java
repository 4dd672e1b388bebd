package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import io.quincelead.eventloop.EventLoop;
import io.quincelead.store.StoreKeys;
import io.quincelead.store.WatchCache;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All unfinished jobs and the placements of their tasks; follows the watch cache. A changed record
 * replaces the recorded state and keeps what this process has observed. A record that can't be read
 * is logged, ignored and left unchanged in the store.
 */
public final class JobTable {
    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    private final EventLoop loop;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
    private final MachineLoadIndex loads = new MachineLoadIndex();

    /** All unfinished jobs, ordered by acceptance time, oldest first. */
    private final List<Job> jobsOldestFirst = new ArrayList<>();

    private final List<Job> jobsOldestFirstView = Collections.unmodifiableList(jobsOldestFirst);
    private final Set<String> orphanPageKeys = new LinkedHashSet<>();
    private final Set<String> orphanPageKeysView = Collections.unmodifiableSet(orphanPageKeys);
    private long unfinishedTaskCount;
    private Consumer<Placement> placementListener = placement -> {};
    private Consumer<String> machineTasksListener = host -> {};
    private Consumer<Job> jobListener = job -> {};

    /** Creates a table that is empty until the watch cache has read the store. */
    public JobTable(EventLoop loop, WatchCache watchCache) {
        this.loop = loop;
        watchCache.addPrefixListener(
                StoreKeys.JOB_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        applyJob(key, value);
                    }

                    @Override
                    public void onRemove(String key) {
                        removeJob(key.substring(StoreKeys.JOB_PREFIX.length()));
                    }
                });
        watchCache.addPrefixListener(
                StoreKeys.TASK_STATE_PAGE_PREFIX,
                new WatchCache.PrefixListener() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        applyPage(key, value);
                    }

                    @Override
                    public void onRemove(String key) {
                        applyPage(key, null);
                    }
                });
    }

    /** Sets the single listener for new starts: placements that first appear on record. */
    public void onPlacementRecorded(Consumer<Placement> listener) {
        placementListener = listener;
    }

    /** Sets the single listener that is called with each job that first appears on record. */
    public void onJobAdded(Consumer<Job> listener) {
        jobListener = listener;
    }

    /**
     * Sets the single listener that is called with the host of a machine when a start, a stop
     * request or a removal of a task there appears on record, or when the job of a task there is
     * cancelled.
     */
    public void onMachineTasksChanged(Consumer<String> listener) {
        machineTasksListener = listener;
    }

    /** The unfinished job with this id; null if none is on record. */
    public Job get(String jobId) {
        return jobs.get(jobId);
    }

    /**
     * All unfinished jobs in the order in which they appeared on record; a live, unmodifiable view.
     */
    public Collection<Job> all() {
        return jobsView;
    }

    /** All unfinished jobs by acceptance time, oldest first; a live, unmodifiable view. */
    public List<Job> jobsOldestFirst() {
        return jobsOldestFirstView;
    }

    private static int compareByAge(Job left, Job right) {
        return left.acceptedAtEpochMillis() != right.acceptedAtEpochMillis()
                ? Long.compare(left.acceptedAtEpochMillis(), right.acceptedAtEpochMillis())
                : left.spec.jobId().compareTo(right.spec.jobId());
    }

    /** The total number of tasks of all unfinished jobs, completed tasks included. */
    public long unfinishedTaskCount() {
        return unfinishedTaskCount;
    }

    /**
     * The store keys of task state pages whose jobs are no longer on record; these pages are to be
     * removed. A live, unmodifiable view.
     */
    public Set<String> orphanPageKeys() {
        return orphanPageKeysView;
    }

    /** The placements on record on a machine, by task id; a live view that must not be modified. */
    public Map<String, Placement> placementsOn(String host) {
        return loads.placementsOn(host);
    }

    /** The load of the tasks that may be on the machine; null if there are none. */
    public MachineLoad loadOf(String host) {
        return loads.get(host);
    }

    private void applyJob(String key, JsonNode value) {
        String jobId = key.substring(StoreKeys.JOB_PREFIX.length());
        Job job = jobs.get(jobId);
        if (job == null) {
            try {
                job = new Job(JobCodec.decodeSpec(value));
            } catch (MalformedRecordException e) {
                LOG.error("job record {} can't be read; ignoring the job", key, e);
                return;
            }
            if (!job.spec.jobId().equals(jobId)) {
                LOG.error(
                        "job record {} contains job {}; ignoring the record",
                        key,
                        job.spec.jobId());
                return;
            }
            job.applyRecord(value);
            add(jobId, job);
        }
        boolean wasCancelled = job.isCancelled();
        job.applyRecord(value);
        if (job.hasSinglePage()) {
            applyPage(job, 0, JobCodec.singlePage(value));
        }
        if (job.isCancelled() && !wasCancelled) {
            job.forEachPlacement(
                    placement -> {
                        placement.machineLoad.invalidate();
                        machineTasksListener.accept(placement.host);
                    });
        }
    }

    private void add(String jobId, Job job) {
        jobs.put(jobId, job);
        unfinishedTaskCount += job.spec.taskCount();
        int position = jobsOldestFirst.size();
        while (position > 0 && compareByAge(job, jobsOldestFirst.get(position - 1)) < 0) {
            position--;
        }
        jobsOldestFirst.add(position, job);
        jobListener.accept(job);
    }

    private void removeJob(String jobId) {
        Job job = jobs.remove(jobId);
        if (job == null) {
            return;
        }
        unfinishedTaskCount -= job.spec.taskCount();
        jobsOldestFirst.remove(job);
        if (!job.hasSinglePage()) {
            for (TaskStatePage page : job.pages) {
                if (page != null) {
                    orphanPageKeys.add(page.storeKey());
                }
            }
        }
        job.forEachPlacement(
                placement -> {
                    loads.remove(placement);
                    machineTasksListener.accept(placement.host);
                });
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
        int pageIndex = parsePageIndex(rest.substring(slash + 1));
        if (pageIndex < 0 || pageIndex >= job.pages.length || job.hasSinglePage()) {
            LOG.error("the record {} does not belong to its job; ignoring the record", key);
            return;
        }
        applyPage(job, pageIndex, value);
    }

    /** Parses the page index at the end of a page's store key; -1 if it is not a number. */
    private static int parsePageIndex(String digits) {
        try {
            return Integer.parseInt(digits);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void applyPage(Job job, int pageIndex, JsonNode value) {
        TaskStatePage previousPage = job.pages[pageIndex];
        TaskStatePage nextPage;
        try {
            nextPage =
                    value == null
                            ? null
                            : TaskStatePageCodec.decode(
                                    job, pageIndex, value, previousPage, loop.nowMillis());
        } catch (MalformedRecordException e) {
            LOG.error("{} can't be read; ignoring the record", e.getMessage(), e);
            return;
        }
        PlacementTable before = previousPage == null ? null : previousPage.placements;
        PlacementTable after = nextPage == null ? null : nextPage.placements;
        PlacementTable.forEachChange(
                before,
                after,
                (previous, current) -> {
                    if (previous != null) {
                        loads.remove(previous);
                        if (current == null) {
                            machineTasksListener.accept(previous.host);
                        }
                    }
                });
        job.replacePage(pageIndex, nextPage);
        PlacementTable.forEachChange(
                before,
                after,
                (previous, current) -> {
                    if (current != null) {
                        notifyListeners(previous, current);
                        loads.add(current);
                    }
                });
    }

    private void notifyListeners(Placement previous, Placement current) {
        boolean sameStart =
                previous != null
                        && previous.isSameStart(current.taskIndex, current.host, current.attempt);
        if (!sameStart) {
            placementListener.accept(current);
        }
        if (!sameStart || previous.stopRequested != current.stopRequested) {
            machineTasksListener.accept(current.host);
        }
    }
}
