package io.quincelead.api;

import io.quincelead.cluster.Job;
import java.util.ArrayList;
import java.util.List;

/** Store keys of the task state pages of a job. */
final class TaskPageKeys {
    private TaskPageKeys() {}

    /**
     * The keys of the job's separate pages by page index, including pages that have no record yet;
     * empty if the job's own record contains its only page.
     */
    static List<String> of(Job job) {
        if (job.hasSinglePage()) {
            return List.of();
        }
        List<String> keys = new ArrayList<>(job.pages.length);
        for (int pageIndex = 0; pageIndex < job.pages.length; pageIndex++) {
            keys.add(job.pageOrEmpty(pageIndex).storeKey());
        }
        return keys;
    }
}
