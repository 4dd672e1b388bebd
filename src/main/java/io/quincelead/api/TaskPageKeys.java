package io.quincelead.api;

import io.quincelead.cluster.Job;
import java.util.ArrayList;
import java.util.List;

/** Store keys of the task state pages of a job. */
final class TaskPageKeys {
    private TaskPageKeys() {}

    /**
     * The keys of the job's pages by page number, also of those that are on no record yet; empty if
     * the job's own record holds its only page.
     */
    static List<String> of(Job job) {
        if (job.hasSinglePage()) {
            return List.of();
        }
        List<String> keys = new ArrayList<>(job.pages.length);
        for (int page = 0; page < job.pages.length; page++) {
            keys.add(job.pageOrEmpty(page).storeKey());
        }
        return keys;
    }
}
