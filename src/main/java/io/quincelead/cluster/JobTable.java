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
 * All unfinished jobs and where their tasks may be, as the watch cache has them. Changes of a
 * record replace what it says and keep what this process has observed. A record that can't be read
 * is left alone.
 */
public final class JobTable {
    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);
    private final EventLoop loop;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
    private final MachineLoadIndex loads = new MachineLoadIndex();

    /** The same jobs, the longest accepted first. */
    private final List<Job> jobsOldestFirst = new ArrayList<>();

    private final List<Job> jobsOldestFirstView = Collections.unmodifiableList(jobsOldestFirst);
    private final Set<String> orphanPageKeys = new LinkedHashSet<>();
    private final Set<String> orphanPageKeysView = Collections.unmodifiableSet(orphanPageKeys);
    private long unfinishedTaskCount;
    private Consumer<Placement> placementListener = placement -> {};
    private Consumer<String> machineListener = host -> {};
    private Consumer<Job> jobListener = job -> {};

    /** Empty until the watch cache has read the store. */
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

    /** Sets the one listener that is called with each start that appears on record. */
    public void onPlacementRecorded(Consumer<Placement> listener) {
        placementListener = listener;
    }

    /** Sets the one listener that is called with each job that appears on record. */
    public void onJobAdded(Consumer<Job> listener) {
        jobListener = listener;
    }

    /**
     * Sets the one listener that is called with each machine for which a record or its meaning has
     * changed.
     */
    public void onMachineTasksChanged(Consumer<String> listener) {
        machineListener = listener;
    }

    /** The unfinished job of this name; null: there is none on record. */
    public Job get(String jobId) {
        return jobs.get(jobId);
    }

    /** All unfinished jobs in the order in which they appeared; a live, unmodifiable view. */
    public Collection<Job> all() {
        return jobsView;
    }

    /** All unfinished jobs, the longest accepted first; a live, unmodifiable view. */
    public List<Job> jobsOldestFirst() {
        return jobsOldestFirstView;
    }

    private static int compareByAge(Job left, Job right) {
        return left.acceptedAtEpochMillis() != right.acceptedAtEpochMillis()
                ? Long.compare(left.acceptedAtEpochMillis(), right.acceptedAtEpochMillis())
                : left.spec.jobId().compareTo(right.spec.jobId());
    }

    /** How many tasks all unfinished jobs have, completed ones included. */
    public long unfinishedTaskCount() {
        return unfinishedTaskCount;
    }

    /**
     * The store keys of pages whose jobs are no longer on record, to be removed; a live,
     * unmodifiable view.
     */
    public Set<String> orphanPageKeys() {
        return orphanPageKeysView;
    }

    /** The placements on record on a machine, by task name; live, not to be changed. */
    public Map<String, Placement> placementsOn(String host) {
        return loads.placementsOn(host);
    }

    /** What the tasks that may be on the machine use; null if there are none. */
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
                LOG.error("the record {} can't be read; the job is left alone", key, e);
                return;
            }
            if (!job.spec.jobId().equals(jobId)) {
                LOG.error("the record {} is of {}; it is left alone", key, job.spec.jobId());
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
                        machineListener.accept(placement.host);
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
                    machineListener.accept(placement.host);
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
        int pageNumber = parsePageNumber(rest.substring(slash + 1));
        if (pageNumber < 0 || pageNumber >= job.pages.length || job.hasSinglePage()) {
            LOG.error("the record {} does not belong to its job; it is left alone", key);
            return;
        }
        applyPage(job, pageNumber, value);
    }

    /** The number in a page's store key; -1: it has none. */
    private static int parsePageNumber(String digits) {
        try {
            return Integer.parseInt(digits);
        } catch (NumberFormatException e) {
            return -1;
        }
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
        PlacementTable before = previousPage == null ? null : previousPage.placements;
        PlacementTable after = nextPage == null ? null : nextPage.placements;
        PlacementTable.forEachChange(
                before,
                after,
                (previous, current) -> {
                    if (previous != null) {
                        loads.remove(previous);
                        if (current == null) {
                            machineListener.accept(previous.host);
                        }
                    }
                });
        job.replacePage(pageNumber, nextPage);
        PlacementTable.forEachChange(
                before,
                after,
                (previous, current) -> {
                    if (current != null) {
                        announce(previous, current);
                        loads.add(current);
                    }
                });
    }

    private void announce(Placement previous, Placement current) {
        boolean sameStart =
                previous != null
                        && previous.isSameStart(current.taskIndex, current.host, current.attempt);
        if (!sameStart) {
            placementListener.accept(current);
        }
        if (!sameStart || previous.stopRequested != current.stopRequested) {
            machineListener.accept(current.host);
        }
    }
}
