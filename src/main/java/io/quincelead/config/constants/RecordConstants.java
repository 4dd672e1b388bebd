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

    private RecordConstants() {}
}
