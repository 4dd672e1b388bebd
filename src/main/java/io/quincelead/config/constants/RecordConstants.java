package io.quincelead.config.constants;

/** Constants of stored records. Each name ends with the unit of its value. */
public final class RecordConstants {
    /** Number of tasks in one task state page. The record of a page must fit a value of 8 KiB. */
    public static final int TASKS_PER_STATE_PAGE = 200;

    /**
     * Length in characters up to which a record of machines also lists the large images that they
     * have cached.
     */
    public static final int MAX_MACHINE_RECORD_CHARS = 7_000;

    /**
     * Longest text of one placement in a record: task index, host, attempt and their separators.
     */
    public static final int MAX_PLACEMENT_BYTES = 24;

    /**
     * Longest part of a job's record beside its description and placements: controller, times,
     * field names.
     */
    public static final int MAX_JOB_RECORD_OVERHEAD_BYTES = 300;

    private RecordConstants() {}
}
